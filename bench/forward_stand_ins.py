"""The other slices of a router, as small as they can be, for the bench of the request path."""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Sequence
from typing import Literal

from returns.result import Result, Success

from wingwood.bundle.model import Bundle, Manifest, PriorityClass, Route, Service, Tenant
from wingwood.identifiers import (
    Address,
    BundleVersion,
    ClassName,
    Digest,
    Instant,
    KeyDigest,
    OrderId,
    PoolName,
    Seconds,
    ServiceName,
    TenantName,
    WallTime,
    WorkerInstance,
    Zone,
)
from wingwood.ledger.protocols import CallKey, Claimed, Known, Unreachable
from wingwood.limits.protocols import ShareRefused
from wingwood.placement.protocols import Choice, NoWorker, Turn
from wingwood.registry.protocols import Worker


def bench_bundle(key: str) -> Bundle:
    """Two services on one pool, one tenant with one key."""
    digest = KeyDigest(hashlib.sha256(key.encode()).hexdigest())
    tenant = Tenant(
        name=TenantName("bench"), priority_class=ClassName("gold"), paid_rate=1e6, keys=(digest,), services=()
    )
    services = [
        Service(name=ServiceName("chat"), pool=PoolName("model")),
        Service(name=ServiceName("plain"), pool=PoolName("model"), kind="plain", streaming=False),
    ]
    return Bundle(
        manifest=Manifest(
            version=BundleVersion(1),
            base=BundleVersion(0),
            root=Digest(""),
            order=OrderId(""),
            signed_at=WallTime(0.0),
            signer="",
        ),
        slices={},
        services={service.name: service for service in services},
        routes=tuple(
            Route(name=service.name, path_prefix=f"/{service.name}", service=service.name) for service in services
        ),
        tenants={tenant.name: tenant},
        classes={ClassName("gold"): PriorityClass(name=ClassName("gold"))},
        keys={digest: tenant.name},
    )


class AlwaysInForce:
    def __init__(self, bundle: Bundle) -> None:
        self._bundle = bundle

    def current(self) -> Bundle | None:
        return self._bundle

    def proven_newest_at(self) -> Instant | None:
        return None

    def may_serve(self) -> bool:
        return True

    def on_change(self, callback: Callable[[Bundle], None]) -> None: ...


class NoShares:
    async def take(self, tenant: Tenant, cost: int = 1) -> ShareRefused | None:
        return None


class NoLimits:
    """Admission that refuses nothing; no retries."""

    def take(self, service: Service, pool: PoolName | None = None) -> bool:
        return False

    def refuse(self, service: Service, predicted_first_token: Seconds) -> ShareRefused | None:
        return None

    def earned(self, service: Service, pool: PoolName | None = None) -> None: ...


class NoLedger:
    async def claim(self, key: CallKey, timeout: Seconds) -> Claimed | Known | Unreachable:
        return Claimed("ticket")

    async def settle(self, key: CallKey, ticket: str, state: Literal["ran", "unknown", "not-run"]) -> bool:
        return True


class OneWorker:
    """Placement and registry with a single worker."""

    def __init__(self, address: Address) -> None:
        worker = Worker(
            instance=WorkerInstance("w-1"), address=address, pool=PoolName("model"), zone=Zone("a"), slots=1000
        )
        self._choice = Choice(worker=worker, how="award", first_token=Seconds(0.01))

    async def choose(self, turn: Turn, excluded: Sequence[WorkerInstance]) -> Result[Choice, NoWorker]:
        return Success(self._choice)

    def begun(self, turn: Turn, choice: Choice, first_token_after: Seconds) -> None: ...

    def finished(
        self,
        turn: Turn,
        choice: Choice,
        outcome: Literal["whole", "refused", "broken", "cancelled"],
        generated_tokens: int,
        first_token_after: Seconds | None,
    ) -> None: ...

    def ready(self, pool: PoolName) -> Sequence[Worker]:
        return [self._choice.worker]

    def find(self, instance: WorkerInstance) -> Worker | None:
        return self._choice.worker

    async def confirm(self, worker: Worker) -> bool:
        return True

    def suspect(self, instance: WorkerInstance) -> None: ...

    def on_change(self, callback: Callable[[Worker], None]) -> None: ...
