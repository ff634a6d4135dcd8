"""Minimal fakes of the other components of a router, for tests and benchmarks of its request path.

The fakes refuse nothing and record nothing. Tests that inspect calls to a component, or make it refuse, use subclasses.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Sequence
from typing import Literal

from returns.result import Failure, Result, Success

from wingwood.bundle.model import Bundle, Manifest, PriorityClass, Service, Tenant
from wingwood.bundle.route import Route
from wingwood.identifiers import (
    BundleVersion,
    Digest,
    Instant,
    KeyDigest,
    OrderId,
    PoolName,
    Seconds,
    WallTime,
    WorkerInstance,
)
from wingwood.ledger.protocols import AlreadyClaimed, CallKey, Claimed, ClaimError, Outcome
from wingwood.limits.protocols import CallRejection
from wingwood.placement.protocols import Choice, NoWorker, Turn
from wingwood.registry.protocols import Worker

TICKET = "ticket"


def digest_of(key: str) -> KeyDigest:
    """Returns the digest under which a bundle lists a caller's key."""
    return KeyDigest(hashlib.sha256(key.encode()).hexdigest())


def bundle_with(services: Sequence[Service], tenants: Sequence[Tenant], classes: Sequence[PriorityClass]) -> Bundle:
    """Returns an unsigned bundle in which each service has the route ``/NAME``."""
    manifest = Manifest(
        version=BundleVersion(1),
        base=BundleVersion(0),
        root=Digest(""),
        order=OrderId(""),
        signed_at=WallTime(0.0),
        signer="",
    )
    routes = [
        Route(name=str(service.name), path_prefix=f"/{service.name}", service=service.name) for service in services
    ]
    return Bundle(
        manifest=manifest,
        slices={},
        services={service.name: service for service in services},
        routes=tuple(sorted(routes, key=lambda route: -len(route.path_prefix))),
        tenants={tenant.name: tenant for tenant in tenants},
        classes={each.name: each for each in classes},
        keys={key: tenant.name for tenant in tenants for key in tenant.keys},
    )


class FixedBundle:
    """A bundle that is in force while ``serving`` is True."""

    def __init__(self, bundle: Bundle | None) -> None:
        self.bundle = bundle
        self.serving = True

    def current(self) -> Bundle | None:
        return self.bundle

    def confirmed_latest_at(self) -> Instant | None:
        return None

    def may_serve(self) -> bool:
        return self.serving

    def on_change(self, callback: Callable[[Bundle], None]) -> None: ...


class UnlimitedShares:
    """Paid shares without a limit."""

    async def take(self, tenant: Tenant, cost: int = 1) -> CallRejection | None:
        return None


class OpenAdmission:
    """Admission that refuses nothing, and a retry budget that is always empty."""

    def take(self, service: Service, pool: PoolName | None = None) -> bool:
        return False

    def check(self, service: Service, predicted_first_token: Seconds) -> CallRejection | None:
        return None

    def record_call(self, service: Service, pool: PoolName | None = None) -> None: ...


class GrantingLedger:
    """A ledger that grants every claim."""

    async def claim(self, key: CallKey, timeout: Seconds) -> Claimed | AlreadyClaimed | ClaimError:
        return Claimed(TICKET)

    async def report_outcome(self, key: CallKey, ticket: str, outcome: Outcome) -> bool:
        return True


class ReadyWorkers:
    """Placement and registry: chooses the first worker that is not excluded."""

    def __init__(self, workers: Sequence[Worker] = ()) -> None:
        self.workers = [*workers]
        self.first_token = Seconds(0.01)

    async def choose(self, turn: Turn, excluded: Sequence[WorkerInstance]) -> Result[Choice, NoWorker]:
        for worker in self.workers:
            if worker.instance not in excluded:
                return Success(Choice(worker=worker, method="award", first_token=self.first_token))
        return Failure(NoWorker("none-ready", Seconds(2.0)))

    def first_token_received(self, turn: Turn, choice: Choice, first_token_after: Seconds) -> None: ...

    def finished(
        self,
        turn: Turn,
        choice: Choice,
        outcome: Literal["whole", "refused", "broken", "cancelled"],
        generated_tokens: int,
        first_token_after: Seconds | None,
    ) -> None: ...

    def ready(self, pool: PoolName) -> Sequence[Worker]:
        return self.workers

    def find(self, instance: WorkerInstance) -> Worker | None:
        return None

    async def confirm(self, worker: Worker) -> bool:
        return True

    def suspect(self, instance: WorkerInstance) -> None: ...

    def on_change(self, callback: Callable[[Worker], None]) -> None: ...
