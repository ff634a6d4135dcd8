"""Takes workers' announcements and acknowledges them (docs/DESIGN.md sections 10.1 and 10.2)."""

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
    AskWorker,
    Renewal,
    RenewalsTaken,
    StateSeen,
    StateTaken,
    TakeRenewals,
    TakeState,
    WorkerTold,
)
from .pool_table import ORDER
from .protocols import Worker

RENEW_EVERY = Seconds(0.25)
TELL_TIMEOUT = Seconds(0.4)
"""A worker gives an unanswered announcement up after a second; this leaves it time for another daemon."""
ASK_TIMEOUT = Seconds(0.2)
SLOW_HOME = Seconds(0.1)
TELL_AGAIN_EVERY = Seconds(0.3)
TELL_AGAIN_FOR = Seconds(10.0)
CONTACT_BOUND = Seconds(1.5)
"""A control daemon that no other has answered for so long takes itself for cut off."""
KNOWN_WITHIN = Seconds(1.0)
"""A router whose knowledge is older can't say that a worker is unknown."""
ACKNOWLEDGED_MOST = 20_000


class Homes(Protocol):
    """What taking announcements needs of the registry."""

    def zone_homes(self, pool: PoolName) -> Mapping[Zone, Identity]: ...

    def take_first_hand(self, worker: Worker, sequence: int) -> StateTaken:
        """As the own home."""
        ...

    def renew(self, renewals: Sequence[Renewal]) -> Sequence[WorkerInstance]:
        """As the own home; gives those not known here."""
        ...

    def find(self, instance: WorkerInstance) -> Worker | None: ...


class _Telling(msgspec.Struct):
    """One announcement on its way to the homes of all zones."""

    homes: Mapping[Zone, Identity]
    answered: dict[Zone, StateTaken | None] = msgspec.field(default_factory=dict)
    """None: no answer came."""
    changed: asyncio.Event = msgspec.field(default_factory=asyncio.Event)

    def taken(self) -> list[StateTaken]:
        return [answer for answer in self.answered.values() if answer is not None]

    def missing(self) -> list[Zone]:
        return [zone for zone in self.homes if self.answered.get(zone) is None]

    def is_over(self) -> bool:
        return len(self.answered) == len(self.homes)

    def has_majority(self) -> bool:
        """Of the zones, by whoever knows most of them, at daemons that count themselves as home."""
        zones = max((answer.zones for answer in self.taken()), default=0)
        return sum(answer.home for answer in self.taken()) > max(zones, len(self.homes)) // 2


class AnnouncementTaker:
    """Runs on every daemon that workers may tell. Renewals are noted and answered at once."""

    def __init__(
        self,
        context: Context,
        messenger: Messenger,
        membership: Membership,
        homes: Homes,
        form: AnnouncementFormat,
        is_control: bool,
    ) -> None:
        self._context = context
        self._messenger = messenger
        self._membership = membership
        self._homes = homes
        self._form = form
        self._is_control = is_control
        self._acknowledged: dict[WorkerInstance, Worker] = {}
        self._renewals: dict[WorkerInstance, Renewal] = {}

    def start(self) -> None:
        self._context.tasks.spawn("worker renewals", self._pass_renewals())

    async def announce(self, request: OperatorRequest) -> OperatorReply:
        match self._form.read(request):
            case Success(Announcement(worker, sequence)):
                return await self.announced(worker, sequence)
            case Success(Departure(instance)):
                return await self.departed(instance)
            case Failure(problem):
                return self._form.malformed(problem)
        raise AssertionError("a result is a success or a failure")

    async def announced(self, worker: Worker, sequence: int = 0) -> OperatorReply:
        """A new instance or state is told to the homes first."""
        if self._is_cut_off():
            return self._form.tell_another("no other control daemon answers this one")
        if self._acknowledged.get(worker.instance) == _lasting(worker):
            load = worker.load
            figures = None if load is None else (load.running, load.waiting, load.cache_tokens_used)
            self._renewals[worker.instance] = Renewal(worker.pool, worker.instance, figures, sequence)
            return self._form.taken(worker)
        telling = _Telling(self._homes.zone_homes(worker.pool))
        if not telling.homes:
            return self._form.tell_another("this daemon knows no router yet")
        await self._tell_homes(telling, worker, sequence)
        missing, leaves = telling.missing(), worker.state != "ready"
        if missing and leaves:
            self._context.tasks.spawn(f"tell again {worker.instance}", self._tell_again(worker, sequence, missing))
        if not (telling.has_majority() if leaves else telling.taken()):
            return self._form.tell_another(f"no answer from the home of {', '.join(missing) or 'most zones'}")
        furthest = max((answer.worker.state for answer in telling.taken()), key=ORDER.__getitem__)
        if ORDER[furthest] > ORDER[worker.state]:
            return self._form.over(msgspec.structs.replace(worker, state=furthest))
        self._acknowledge(worker)
        return self._form.taken(worker)

    def homes_changed(self, before: Mapping[PoolName, Mapping[Zone, Identity]]) -> None:
        """What went to former homes is announced in full again with the next renewal."""
        for instance, worker in sorted(self._acknowledged.items()):
            if before.get(worker.pool) != self._homes.zone_homes(worker.pool):
                del self._acknowledged[instance]

    def tell_around(self, worker: Worker, zones: Sequence[Zone]) -> None:
        """A final state whose home does not answer goes to the routers of that zone directly."""
        for router in self._membership.routers():
            if router.zone in zones:
                self._messenger.post(router.internal, StateSeen(worker))

    # --- leaving without a farewell -----------------------------------------------------------

    async def departed(self, instance: WorkerInstance) -> OperatorReply:
        if self._is_cut_off():
            return self._form.tell_another("no other control daemon answers this one")
        worker = self._homes.find(instance) or self._acknowledged.get(instance)
        if worker is None:
            told = await self._ask_for(instance)
            if told is None:
                return self._form.tell_another("too few routers could tell who this is")
            worker = told.worker
        if worker is None:
            return self._form.departed(instance)
        return await self.announced(msgspec.structs.replace(worker, state="gone"))

    async def _ask_for(self, instance: WorkerInstance) -> WorkerTold | None:
        """One router of each zone is asked; None unless one knows the worker or most are sure that nobody does."""
        zones: dict[Zone, list[Identity]] = {}
        for router in self._membership.routers():
            zones.setdefault(router.zone, []).append(router)
        asked = [ranked(f"departure/{instance}", routers, lambda router: router.name)[0] for routers in zones.values()]
        answers = await asyncio.gather(*(self._ask(router, instance) for router in asked))
        told = [answer for answer in answers if answer is not None]
        known = next((answer for answer in told if answer.worker is not None), None)
        if known is not None:
            return known
        sure = [answer for answer in told if answer.age <= KNOWN_WITHIN]
        return sure[0] if 2 * len(sure) > len(asked) else None

    async def _ask(self, router: Identity, instance: WorkerInstance) -> WorkerTold | None:
        answered = await self._messenger.call(router.internal, AskWorker(instance), WorkerTold, ASK_TIMEOUT)
        return answered.unwrap() if isinstance(answered, Success) else None

    # --- telling the homes --------------------------------------------------------------------

    def _is_cut_off(self) -> bool:
        """Routers keep their last members, so homes out of reach show; a control daemon alone forgets them in time."""
        proven = self._membership.session_proven_at()
        return self._is_control and proven is not None and self._now() - proven > CONTACT_BOUND

    async def _tell_homes(self, telling: _Telling, worker: Worker, sequence: int) -> None:
        """Waits for all homes a little, then for enough of them."""
        for zone, home in telling.homes.items():
            self._context.tasks.spawn(f"tell {home.name}", self._tell_one(telling, zone, home, worker, sequence))
        until = Instant(self._now() + TELL_TIMEOUT)
        await self._answered(telling, Instant(self._now() + SLOW_HOME), enough=False)
        if telling.is_over() and not telling.missing():
            return
        if worker.state == "ready":
            await self._answered(telling, until, enough=True, leaves=False)
            return
        self.tell_around(worker, telling.missing())
        await self._answered(telling, until, enough=True)

    async def _answered(self, telling: _Telling, until: Instant, enough: bool, leaves: bool = True) -> None:
        """Returns when all have answered or failed, when it is late, or (``enough``) once the answers suffice."""
        while not telling.is_over() and (left := until - self._now()) > 0:
            if enough and (telling.has_majority() if leaves else telling.taken()):
                return
            telling.changed.clear()
            try:
                async with asyncio.timeout(left):
                    await telling.changed.wait()
            except TimeoutError:
                return

    async def _tell_one(self, telling: _Telling, zone: Zone, home: Identity, worker: Worker, sequence: int) -> None:
        telling.answered[zone] = await self._tell(home, worker, sequence)
        telling.changed.set()

    async def _tell(self, home: Identity, worker: Worker, sequence: int) -> StateTaken | None:
        if home.incarnation == self._messenger.identity.incarnation:
            return self._homes.take_first_hand(worker, sequence)
        answered = await self._messenger.call(home.internal, TakeState(worker, sequence), StateTaken, TELL_TIMEOUT)
        return answered.unwrap() if isinstance(answered, Success) else None

    async def _tell_again(self, worker: Worker, sequence: int, missing: Sequence[Zone]) -> None:
        """Until each zone's home, whoever that then is, has it."""
        until = self._now() + TELL_AGAIN_FOR
        left = list(missing)
        while left and self._now() < until:
            await self._context.clock.sleep(TELL_AGAIN_EVERY)
            homes = self._homes.zone_homes(worker.pool)
            asked = [(zone, homes[zone]) for zone in left if zone in homes]
            outcomes = await asyncio.gather(*(self._tell(home, worker, sequence) for _, home in asked))
            left = [zone for (zone, _), outcome in zip(asked, outcomes, strict=True) if outcome is None]

    def _acknowledge(self, worker: Worker) -> None:
        self._acknowledged[worker.instance] = _lasting(worker)
        while len(self._acknowledged) > ACKNOWLEDGED_MOST:
            del self._acknowledged[next(iter(self._acknowledged))]

    # --- renewals -----------------------------------------------------------------------------

    async def _pass_renewals(self) -> None:
        while True:
            await self._context.clock.sleep(RENEW_EVERY)
            renewals, self._renewals = self._renewals, {}
            batches: dict[Address, tuple[Identity, list[Renewal]]] = {}
            for _, renewal in sorted(renewals.items()):
                for home in self._homes.zone_homes(renewal.pool).values():
                    batches.setdefault(home.internal, (home, []))[1].append(renewal)
            for _, (home, batch) in sorted(batches.items()):
                if home.incarnation == self._messenger.identity.incarnation:
                    self._forget(self._homes.renew(batch))
                else:
                    self._context.tasks.spawn(f"renewals to {home.name}", self._pass_batch(home, batch))

    async def _pass_batch(self, home: Identity, batch: Sequence[Renewal]) -> None:
        answered = await self._messenger.call(home.internal, TakeRenewals(tuple(batch)), RenewalsTaken, TELL_TIMEOUT)
        if isinstance(answered, Success):
            self._forget(answered.unwrap().unknown)

    def _forget(self, instances: Sequence[WorkerInstance]) -> None:
        for instance in instances:
            self._acknowledged.pop(instance, None)

    def _now(self) -> Instant:
        return self._context.clock.monotonic()


def _lasting(worker: Worker) -> Worker:
    """Without what changes from one announcement to the next and is told by renewals, or counted down by all."""
    return msgspec.structs.replace(worker, load=None, cold_left=Seconds(0.0))
