"""Access of a roll-out to the fleet, by HTTP calls to daemons' operator addresses (docs/DESIGN.md section 19.4)."""

from __future__ import annotations

import asyncio

import msgspec
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from returns.result import Failure, Result, Success
from tornado.httpclient import AsyncHTTPClient, HTTPError, HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from ..bundle.model import OrderOutcome
from ..identifiers import Address, BundleVersion, DaemonName, Seconds
from ..operator_api.reading import HealthReport
from ..rollout.errors import FleetUnavailableError
from ..rollout.fleet_status import FleetStatus, RouterStatus, read_counts
from ..rollout.plan import Slices
from ..transport.frames import Identity
from .client import OperatorClient
from .errors import CommandError
from .orders import latest_slices, sign_order, submit
from .source import check_bundle

STATUS_TIMEOUT_S = Seconds(2.0)
MAX_CONCURRENT_STATUS_CALLS = 50


class HttpFleetAccess:
    """A ``FleetAccess`` that uses HTTP calls to daemons' operator addresses.

    ``private`` signs orders; it may be None where nothing is submitted.
    """

    def __init__(self, client: OperatorClient, private: Ed25519PrivateKey | None) -> None:
        self._client = client
        self._private = private

    async def latest(self) -> Result[tuple[BundleVersion, Slices], FleetUnavailableError]:
        """Returns the latest version and its slices."""
        try:
            return Success(await asyncio.to_thread(latest_slices, self._client))
        except CommandError as problem:
            return Failure(FleetUnavailableError(problem.message))

    async def submit(
        self, base: BundleVersion, before: Slices, after: Slices
    ) -> Result[OrderOutcome, FleetUnavailableError]:
        """Checks, signs and submits the change from ``before`` to ``after``."""
        assert self._private is not None
        check_bundle(after)
        order = sign_order(base, before, after, self._private, None)
        try:
            return Success(await asyncio.to_thread(submit, self._client, order, None))
        except CommandError as problem:
            return Failure(FleetUnavailableError(problem.message))

    async def observe(self) -> Result[FleetStatus, FleetUnavailableError]:
        """Returns the members and the status of each router; None for a router that doesn't answer."""
        try:
            members = await asyncio.to_thread(members_of, self._client)
        except CommandError as problem:
            return Failure(FleetUnavailableError(problem.message))
        client = SimpleAsyncHTTPClient(force_instance=True, max_clients=MAX_CONCURRENT_STATUS_CALLS)
        try:
            routers = [member for member in members if member.role == "router"]
            router_statuses = await asyncio.gather(*(_router_status(client, member.operator) for member in routers))
        finally:
            client.close()
        found: dict[DaemonName, RouterStatus | None] = dict(
            zip([each.name for each in routers], router_statuses, strict=True)
        )
        return Success(FleetStatus(members=tuple(members), router_statuses=found))


def members_of(client: OperatorClient) -> list[Identity]:
    """Reads the member lists of all daemons and returns the longest: a partitioned daemon has dropped the others."""
    return client.read_highest("/control/v1/members", list[Identity], len)


async def _router_status(client: AsyncHTTPClient, address: Address | None) -> RouterStatus | None:
    if address is None:
        return None
    try:
        answers = [
            await client.fetch(
                HTTPRequest(
                    f"http://{address}{path}",
                    connect_timeout=STATUS_TIMEOUT_S,
                    request_timeout=STATUS_TIMEOUT_S,
                    follow_redirects=False,
                    decompress_response=False,
                )
            )
            for path in ("/control/v1/health", "/metrics")
        ]
        health = msgspec.json.decode(answers[0].body, type=HealthReport)
        counts = read_counts(answers[1].body.decode())
    except (HTTPError, OSError, msgspec.MsgspecError, ValueError):
        return None
    return RouterStatus(incarnation=health.incarnation, ready=health.ready, version=health.version, counts=counts)
