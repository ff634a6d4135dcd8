"""Delivers new worker states to the owners of all zones (docs/DESIGN.md section 10.2)."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping, Sequence

import msgspec
from returns.result import Success

from ..context.protocols import Context
from ..identifiers import Instant, Seconds, Zone
from ..membership.protocols import Membership
from ..transport.frames import Identity
from ..transport.messenger import Messenger
from .messages import ObservedState, WorkerStateReceipt, WorkerStateReport
from .pool_owners import PoolOwners
from .pool_ownership import PoolOwnership
from .protocols import Worker

DELIVERY_TIMEOUT_S = Seconds(0.4)
"""A worker abandons an unanswered announcement after 1 s; this leaves it time to try another daemon."""
SLOW_OWNER_S = Seconds(0.1)
"""How long an announcement waits for all owners; after that, enough of them suffice."""
REDELIVERY_INTERVAL_S = Seconds(0.3)
REDELIVERY_LIMIT_S = Seconds(10.0)
"""For how long a state of a leaving worker is sent again to zones whose owner did not reply."""


class Delivery(msgspec.Struct):
    """One announcement that is being delivered to the owners of all zones."""

    owners: Mapping[Zone, Identity]
    results: dict[Zone, WorkerStateReceipt | None] = msgspec.field(default_factory=dict)
    """Receipts by zone; None for an owner that did not reply in time."""
    changed: asyncio.Event = msgspec.field(default_factory=asyncio.Event)

    def receipts(self) -> list[WorkerStateReceipt]:
        """Returns the receipts of the owners that replied."""
        return [receipt for receipt in self.results.values() if receipt is not None]

    def missing(self) -> list[Zone]:
        """Returns the zones whose owner has not replied, or not in time."""
        return [zone for zone in self.owners if self.results.get(zone) is None]

    def is_over(self) -> bool:
        """Returns whether every owner has replied or failed to."""
        return len(self.results) == len(self.owners)

    def has_majority(self) -> bool:
        """Returns whether owners in a majority of the zones have received the announcement.

        Only daemons that consider themselves owner count. The number of zones is the highest that any of the
        receivers or this daemon knows.
        """
        zones = max((receipt.zones for receipt in self.receipts()), default=0)
        return sum(receipt.is_owner for receipt in self.receipts()) > max(zones, len(self.owners)) // 2

    def suffices(self, worker: Worker) -> bool:
        """Returns whether the announcement may be acknowledged.

        A state of a leaving worker needs a majority of the zones, any other one a single owner.
        """
        return bool(self.receipts()) if worker.state == "ready" else self.has_majority()


class StateDelivery:
    """Sends a worker's state to the owner of its pool in each zone."""

    def __init__(
        self,
        context: Context,
        messenger: Messenger,
        membership: Membership,
        pool_owners: PoolOwners,
        ownership: PoolOwnership,
    ) -> None:
        self._context = context
        self._messenger = messenger
        self._membership = membership
        self._pool_owners = pool_owners
        self._ownership = ownership

    async def deliver(self, worker: Worker, sequence: int) -> Delivery:
        """Delivers the state: waits for all owners for ``SLOW_OWNER_S``, then only until ``Delivery.suffices``.

        Returns after ``DELIVERY_TIMEOUT_S`` at the latest; without any owner it returns at once.
        """
        delivery = Delivery(self._pool_owners.by_zone(worker.pool))
        if not delivery.owners:
            return delivery
        for zone, owner in delivery.owners.items():
            self._context.tasks.spawn(
                f"deliver to {owner.name}", self._deliver_to(delivery, zone, owner, worker, sequence)
            )
        now = self._context.clock.monotonic()
        until = Instant(now + DELIVERY_TIMEOUT_S)
        await self._wait(delivery, Instant(now + SLOW_OWNER_S))
        if delivery.is_over() and not delivery.missing():
            return delivery
        if worker.state != "ready":
            self._notify_zone_routers(worker, delivery.missing())
        await self._wait(delivery, until, worker)
        return delivery

    async def retry(self, worker: Worker, sequence: int, missing: Sequence[Zone]) -> None:
        """Sends the state again until the current owner of each missing zone has it, or the limit is reached."""
        until = self._context.clock.monotonic() + REDELIVERY_LIMIT_S
        remaining = list(missing)
        while remaining and self._context.clock.monotonic() < until:
            await self._context.clock.sleep(REDELIVERY_INTERVAL_S)
            owners = self._pool_owners.by_zone(worker.pool)
            requested = [(zone, owners[zone]) for zone in remaining if zone in owners]
            receipts = await asyncio.gather(*(self._send(owner, worker, sequence) for _, owner in requested))
            remaining = [zone for (zone, _), receipt in zip(requested, receipts, strict=True) if receipt is None]

    def _notify_zone_routers(self, worker: Worker, zones: Sequence[Zone]) -> None:
        """Sends a final state directly to the routers of zones whose owner does not reply."""
        for router in self._membership.routers():
            if router.zone in zones:
                self._messenger.post(router.internal, ObservedState(worker))

    async def _wait(self, delivery: Delivery, until: Instant, worker: Worker | None = None) -> None:
        """Returns when all owners have replied or failed, at ``until``, or once the replies suffice for ``worker``."""
        while not delivery.is_over() and (remaining := until - self._context.clock.monotonic()) > 0:
            if worker is not None and delivery.suffices(worker):
                return
            delivery.changed.clear()
            try:
                async with asyncio.timeout(remaining):
                    await delivery.changed.wait()
            except TimeoutError:
                return

    async def _deliver_to(self, delivery: Delivery, zone: Zone, owner: Identity, worker: Worker, sequence: int) -> None:
        delivery.results[zone] = await self._send(owner, worker, sequence)
        delivery.changed.set()

    async def _send(self, owner: Identity, worker: Worker, sequence: int) -> WorkerStateReceipt | None:
        if owner.incarnation == self._messenger.identity.incarnation:
            return self._ownership.accept_from_worker(worker, sequence)
        outcome = await self._messenger.call(
            owner.internal, WorkerStateReport(worker, sequence), WorkerStateReceipt, DELIVERY_TIMEOUT_S
        )
        return outcome.unwrap() if isinstance(outcome, Success) else None
