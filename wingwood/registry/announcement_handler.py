"""Receives workers' announcements and acknowledges them (docs/DESIGN.md sections 10.1 and 10.2)."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping, Sequence
from typing import Protocol

import msgspec
from returns.result import Failure, Success

from ..context.protocols import Context
from ..identifiers import Address, Instant, PoolName, Seconds, WorkerInstance, Zone
from ..membership.protocols import Membership
from ..membership.rendezvous import ranked
from ..operator_api.protocols import OperatorReply, OperatorRequest
from ..transport.frames import Identity
from ..transport.messenger import Messenger
from .announcements import Announcement, AnnouncementFormat, Departure
from .messages import (
    ObservedState,
    Renewal,
    RenewalBatch,
    RenewalBatchReceipt,
    WorkerAnswer,
    WorkerQuestion,
    WorkerStateReceipt,
    WorkerStateReport,
)
from .pool_table import STATE_ORDER
from .protocols import Worker

RENEWAL_INTERVAL_S = Seconds(0.25)
"""Time between two batches of renewals to the owners."""
DELIVERY_TIMEOUT_S = Seconds(0.4)
"""A worker abandons an unanswered announcement after 1 s; this leaves it time to try another daemon."""
WORKER_QUESTION_TIMEOUT_S = Seconds(0.2)
SLOW_OWNER_S = Seconds(0.1)
"""How long an announcement waits for all owners; after that, enough of them suffice."""
REDELIVERY_INTERVAL_S = Seconds(0.3)
REDELIVERY_LIMIT_S = Seconds(10.0)
"""For how long a state of a leaving worker is sent again to zones whose owner did not answer."""
CONTACT_MAX_AGE_S = Seconds(1.5)
"""A control daemon that no other daemon has answered for so long considers itself cut off."""
LOOKUP_MAX_AGE_S = Seconds(1.0)
"""A router whose knowledge is older cannot confirm that a worker is unknown."""
MAX_ACKNOWLEDGED = 20_000
"""Limit on the workers whose acknowledged announcement is remembered; the oldest are dropped first."""


class OwnerView(Protocol):
    """The part of the registry that the announcement handler uses."""

    def pool_owners(self, pool: PoolName) -> Mapping[Zone, Identity]:
        """Returns the pool's owner in each zone."""
        ...

    def accept_first_hand(self, worker: Worker, sequence: int) -> WorkerStateReceipt:
        """Records the announcement at this daemon, which is an owner itself."""
        ...

    def renew(self, renewals: Sequence[Renewal]) -> Sequence[WorkerInstance]:
        """Applies the renewals at this daemon, which is an owner itself, and returns the unknown workers."""
        ...

    def find(self, instance: WorkerInstance) -> Worker | None: ...


class _Delivery(msgspec.Struct):
    """One announcement that is being delivered to the owners of all zones."""

    owners: Mapping[Zone, Identity]
    answered: dict[Zone, WorkerStateReceipt | None] = msgspec.field(default_factory=dict)
    """Receipts by zone; None for an owner that did not answer in time."""
    changed: asyncio.Event = msgspec.field(default_factory=asyncio.Event)

    def receipts(self) -> list[WorkerStateReceipt]:
        return [answer for answer in self.answered.values() if answer is not None]

    def missing(self) -> list[Zone]:
        """Returns the zones whose owner has not answered, or not in time."""
        return [zone for zone in self.owners if self.answered.get(zone) is None]

    def is_over(self) -> bool:
        """Returns whether every owner has answered or failed to."""
        return len(self.answered) == len(self.owners)

    def has_majority(self) -> bool:
        """Returns whether owners in a majority of the zones have received the announcement.

        Only daemons that consider themselves owner count. The number of zones is the highest that any of the
        receivers or this daemon knows.
        """
        zones = max((answer.zones for answer in self.receipts()), default=0)
        return sum(answer.is_owner for answer in self.receipts()) > max(zones, len(self.owners)) // 2


class AnnouncementHandler:
    """Runs on every daemon to which workers announce themselves.

    New instances and states are delivered to the owners before they are acknowledged. Renewals are acknowledged
    immediately and forwarded in batches.
    """

    def __init__(
        self,
        context: Context,
        messenger: Messenger,
        membership: Membership,
        owners: OwnerView,
        announcement_format: AnnouncementFormat,
        is_control: bool,
    ) -> None:
        self._context = context
        self._messenger = messenger
        self._membership = membership
        self._owners = owners
        self._announcement_format = announcement_format
        self._is_control = is_control
        self._acknowledged: dict[WorkerInstance, Worker] = {}
        self._renewals: dict[WorkerInstance, Renewal] = {}

    def start(self) -> None:
        self._context.tasks.spawn("worker renewals", self._forward_renewals())

    async def handle_announcement(self, request: OperatorRequest) -> OperatorReply:
        match self._announcement_format.read(request):
            case Success(Announcement(worker, sequence)):
                return await self.accept_announcement(worker, sequence)
            case Success(Departure(instance)):
                return await self.accept_departure(instance)
            case Failure(problem):
                return self._announcement_format.malformed(problem)
        raise AssertionError("a result is a success or a failure")

    async def accept_announcement(self, worker: Worker, sequence: int = 0) -> OperatorReply:
        """Handles an announcement; a new instance or state is delivered to the owners before the acknowledgement."""
        if self._is_cut_off():
            return self._announcement_format.try_another_daemon("no other control daemon answers this one")
        if self._acknowledged.get(worker.instance) == _without_volatile(worker):
            load = worker.load
            figures = None if load is None else (load.running, load.waiting, load.cache_tokens_used)
            self._renewals[worker.instance] = Renewal(worker.pool, worker.instance, figures, sequence)
            return self._announcement_format.acknowledged(worker)
        delivery = _Delivery(self._owners.pool_owners(worker.pool))
        if not delivery.owners:
            return self._announcement_format.try_another_daemon("this daemon knows no router yet")
        await self._deliver(delivery, worker, sequence)
        missing, leaves = delivery.missing(), worker.state != "ready"
        if missing and leaves:
            self._context.tasks.spawn(f"tell again {worker.instance}", self._retry_delivery(worker, sequence, missing))
        if not (delivery.has_majority() if leaves else delivery.receipts()):
            return self._announcement_format.try_another_daemon(
                f"no answer from the home of {', '.join(missing) or 'most zones'}"
            )
        furthest = max((answer.worker.state for answer in delivery.receipts()), key=STATE_ORDER.__getitem__)
        if STATE_ORDER[furthest] > STATE_ORDER[worker.state]:
            return self._announcement_format.instance_over(msgspec.structs.replace(worker, state=furthest))
        self._acknowledge(worker)
        return self._announcement_format.acknowledged(worker)

    def owners_changed(self, before: Mapping[PoolName, Mapping[Zone, Identity]]) -> None:
        """Forgets acknowledgements by former owners, so that the next renewal is delivered in full.

        ``before``: the owners before the change.
        """
        for instance, worker in sorted(self._acknowledged.items()):
            if before.get(worker.pool) != self._owners.pool_owners(worker.pool):
                del self._acknowledged[instance]

    def notify_zone_routers(self, worker: Worker, zones: Sequence[Zone]) -> None:
        """Sends a final state directly to the routers of zones whose owner does not answer."""
        for router in self._membership.routers():
            if router.zone in zones:
                self._messenger.post(router.internal, ObservedState(worker))

    # --- departures that name only the instance -----------------------------------------------

    async def accept_departure(self, instance: WorkerInstance) -> OperatorReply:
        """Handles a departure: the worker's other attributes are looked up, then its state gone is delivered."""
        if self._is_cut_off():
            return self._announcement_format.try_another_daemon("no other control daemon answers this one")
        worker = self._owners.find(instance) or self._acknowledged.get(instance)
        if worker is None:
            found = await self._look_up(instance)
            if found is None:
                return self._announcement_format.try_another_daemon("too few routers could tell who this is")
            worker = found.worker
        if worker is None:
            return self._announcement_format.departure_acknowledged(instance)
        return await self.accept_announcement(msgspec.structs.replace(worker, state="gone"))

    async def _look_up(self, instance: WorkerInstance) -> WorkerAnswer | None:
        """Asks one router of each zone for the worker.

        Returns None unless one of them knows the worker or a majority have recent knowledge and do not know it.
        """
        zones: dict[Zone, list[Identity]] = {}
        for router in self._membership.routers():
            zones.setdefault(router.zone, []).append(router)
        asked = [ranked(f"departure/{instance}", routers, lambda router: router.name)[0] for routers in zones.values()]
        answers = await asyncio.gather(*(self._ask(router, instance) for router in asked))
        received = [answer for answer in answers if answer is not None]
        known = next((answer for answer in received if answer.worker is not None), None)
        if known is not None:
            return known
        sure = [answer for answer in received if answer.age <= LOOKUP_MAX_AGE_S]
        return sure[0] if 2 * len(sure) > len(asked) else None

    async def _ask(self, router: Identity, instance: WorkerInstance) -> WorkerAnswer | None:
        answered = await self._messenger.call(
            router.internal, WorkerQuestion(instance), WorkerAnswer, WORKER_QUESTION_TIMEOUT_S
        )
        return answered.unwrap() if isinstance(answered, Success) else None

    # --- delivery the owners --------------------------------------------------------------------

    def _is_cut_off(self) -> bool:
        """Returns whether this control daemon has had no contact with the others for too long.

        Routers never count as cut off: they retain their last known members, so unreachable owners are noticed. A
        control daemon alone forgets its members after a time, so it would not notice which owners are missing.
        """
        proven = self._membership.session_confirmed_at()
        return self._is_control and proven is not None and self._now() - proven > CONTACT_MAX_AGE_S

    async def _deliver(self, delivery: _Delivery, worker: Worker, sequence: int) -> None:
        """Delivers the state: waits for all owners for ``SLOW_OWNER_S``, then only for enough of them."""
        for zone, owner in delivery.owners.items():
            self._context.tasks.spawn(f"tell {owner.name}", self._deliver_to(delivery, zone, owner, worker, sequence))
        until = Instant(self._now() + DELIVERY_TIMEOUT_S)
        await self._wait_for_answers(delivery, Instant(self._now() + SLOW_OWNER_S), enough=False)
        if delivery.is_over() and not delivery.missing():
            return
        if worker.state == "ready":
            await self._wait_for_answers(delivery, until, enough=True, leaves=False)
            return
        self.notify_zone_routers(worker, delivery.missing())
        await self._wait_for_answers(delivery, until, enough=True)

    async def _wait_for_answers(self, delivery: _Delivery, until: Instant, enough: bool, leaves: bool = True) -> None:
        """Returns when all owners have answered or failed, at ``until``, or (``enough``) once the answers suffice.

        The answers suffice with a majority of the zones if the worker leaves, otherwise with any one of them.
        """
        while not delivery.is_over() and (left := until - self._now()) > 0:
            if enough and (delivery.has_majority() if leaves else delivery.receipts()):
                return
            delivery.changed.clear()
            try:
                async with asyncio.timeout(left):
                    await delivery.changed.wait()
            except TimeoutError:
                return

    async def _deliver_to(
        self, delivery: _Delivery, zone: Zone, owner: Identity, worker: Worker, sequence: int
    ) -> None:
        delivery.answered[zone] = await self._send_state(owner, worker, sequence)
        delivery.changed.set()

    async def _send_state(self, owner: Identity, worker: Worker, sequence: int) -> WorkerStateReceipt | None:
        if owner.incarnation == self._messenger.identity.incarnation:
            return self._owners.accept_first_hand(worker, sequence)
        answered = await self._messenger.call(
            owner.internal, WorkerStateReport(worker, sequence), WorkerStateReceipt, DELIVERY_TIMEOUT_S
        )
        return answered.unwrap() if isinstance(answered, Success) else None

    async def _retry_delivery(self, worker: Worker, sequence: int, missing: Sequence[Zone]) -> None:
        """Sends the state again until the current owner of each missing zone has it, or the limit is reached."""
        until = self._now() + REDELIVERY_LIMIT_S
        left = list(missing)
        while left and self._now() < until:
            await self._context.clock.sleep(REDELIVERY_INTERVAL_S)
            owners = self._owners.pool_owners(worker.pool)
            asked = [(zone, owners[zone]) for zone in left if zone in owners]
            outcomes = await asyncio.gather(*(self._send_state(owner, worker, sequence) for _, owner in asked))
            left = [zone for (zone, _), outcome in zip(asked, outcomes, strict=True) if outcome is None]

    def _acknowledge(self, worker: Worker) -> None:
        self._acknowledged[worker.instance] = _without_volatile(worker)
        while len(self._acknowledged) > MAX_ACKNOWLEDGED:
            del self._acknowledged[next(iter(self._acknowledged))]

    # --- renewals -----------------------------------------------------------------------------

    async def _forward_renewals(self) -> None:
        while True:
            await self._context.clock.sleep(RENEWAL_INTERVAL_S)
            renewals, self._renewals = self._renewals, {}
            batches: dict[Address, tuple[Identity, list[Renewal]]] = {}
            for _, renewal in sorted(renewals.items()):
                for owner in self._owners.pool_owners(renewal.pool).values():
                    batches.setdefault(owner.internal, (owner, []))[1].append(renewal)
            for _, (owner, batch) in sorted(batches.items()):
                if owner.incarnation == self._messenger.identity.incarnation:
                    self._forget(self._owners.renew(batch))
                else:
                    self._context.tasks.spawn(f"renewals to {owner.name}", self._forward_batch(owner, batch))

    async def _forward_batch(self, owner: Identity, batch: Sequence[Renewal]) -> None:
        answered = await self._messenger.call(
            owner.internal, RenewalBatch(tuple(batch)), RenewalBatchReceipt, DELIVERY_TIMEOUT_S
        )
        if isinstance(answered, Success):
            self._forget(answered.unwrap().unknown)

    def _forget(self, instances: Sequence[WorkerInstance]) -> None:
        for instance in instances:
            self._acknowledged.pop(instance, None)

    def _now(self) -> Instant:
        return self._context.clock.monotonic()


def _without_volatile(worker: Worker) -> Worker:
    """Returns the worker without its load, which renewals carry, and ``cold_left``, which each daemon counts down."""
    return msgspec.structs.replace(worker, load=None, cold_left=Seconds(0.0))
