"""What a router does as the home of a pool: takes states and renewals, judges silence (docs/DESIGN.md section 10.2)."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import msgspec

from ..context.protocols import Context
from ..identifiers import Incarnation, Instant, PoolName, Seconds, WorkerInstance
from ..membership.protocols import Membership
from ..transport.messenger import Messenger
from .feed_limits import DEAF_AFTER, SESSION_BOUND
from .messages import Renewal, StateSeen, StateTaken, WorkerEntry
from .protocols import Worker, WorkerLoad
from .worker_directory import WorkerDirectory
from .zone_homes import ZoneHomes

NEVER = Instant(float("-inf"))
UNKNOWN_AGE = Seconds(float("inf"))

TellZone = Callable[[PoolName, Sequence[Worker], int], None]
"""Tells the zone's routers of changed workers; with the table's sequence before the change."""
HomeAge = Callable[[PoolName], Seconds]
"""See ``HomeDuties.age``."""


class _Home(msgspec.Struct):
    """This daemon's own duty for one pool."""

    settled: bool = False
    answered: dict[Incarnation, Instant] = msgspec.field(default_factory=dict)
    """The other zones' homes that have answered, and when they were last asked with success."""


class HomeDuties:
    """The pools whose home this daemon is, and what workers or other daemons tell it first hand.

    ``by_trial``: workers are checked by trial calls (``worker_check``), so a silence of all is not theirs.
    """

    def __init__(
        self,
        context: Context,
        messenger: Messenger,
        membership: Membership,
        directory: WorkerDirectory,
        zone_homes: ZoneHomes,
        tell_zone: TellZone,
        by_trial: bool,
        unrenewed_after: Seconds,
    ) -> None:
        self._context = context
        self._messenger = messenger
        self._membership = membership
        self._directory = directory
        self._zone_homes = zone_homes
        self._tell_zone = tell_zone
        self._by_trial = by_trial
        self._unrenewed_after = unrenewed_after
        self._homes: dict[PoolName, _Home] = {}
        self._renewals_heard_at = context.clock.monotonic()

    # --- which pools --------------------------------------------------------------------------

    def pools(self) -> list[PoolName]:
        return sorted(self._homes)

    def has(self, pool: PoolName) -> bool:
        return pool in self._homes

    def begin(self, pool: PoolName) -> None:
        """This daemon has become the pool's home: the workers' time for renewals counts from now."""
        self._homes[pool] = _Home()
        self._directory.table(pool).all_renewed(self._now())
        self.settle(pool)

    def end(self, pool: PoolName) -> None:
        del self._homes[pool]

    # --- whether a home knows enough ----------------------------------------------------------

    def is_settled(self, pool: PoolName) -> bool:
        home = self._homes.get(pool)
        return home is not None and home.settled

    def note_answered(self, pool: PoolName, other: Incarnation, asked_at: Instant) -> None:
        """Another zone's home has answered a question asked then."""
        self._homes[pool].answered[other] = asked_at
        self.settle(pool)

    def settle(self, pool: PoolName) -> None:
        """A new home counts as settled when every other zone's home has answered. Until then it vouches for nothing."""
        home = self._homes.get(pool)
        if home is None or home.settled:
            return
        home.settled = self._other_homes(pool) <= home.answered.keys()

    def unsettle(self) -> None:
        """This daemon was frozen or cut off: it must pull again what others keep, and may have missed renewals."""
        for pool, home in self._homes.items():
            home.settled = False
            home.answered.clear()
            self._directory.table(pool).all_renewed(self._now())

    def age(self, pool: PoolName) -> Seconds:
        """How old this home's knowledge is: that of the freshest majority of the zones' homes, its own among them.

        An acknowledged state is with a majority of them, so one of these has it.
        """
        home = self._homes.get(pool)
        now = self._now()
        session = self._membership.session_proven_at()
        if home is None or not home.settled or session is None or now - session > SESSION_BOUND:
            return UNKNOWN_AGE
        others = self._other_homes(pool)
        answered = sorted((home.answered.get(other, NEVER) for other in others), reverse=True)
        needed = (len(others) + 1) // 2
        return Seconds(0.0 if needed == 0 else now - answered[needed - 1])

    def _other_homes(self, pool: PoolName) -> set[Incarnation]:
        return {home.incarnation for home in self._zone_homes.elsewhere(pool)}

    # --- states -------------------------------------------------------------------------------

    def take_first_hand(self, worker: Worker, sequence: int) -> StateTaken:
        """A worker's own word."""
        table = self._directory.table(worker.pool)
        previous, is_new = table.sequence, worker.instance not in table.records
        changed = table.announced(worker, self._now(), sequence)
        self._directory.changed(changed)
        self._tell_zone(worker.pool, changed, previous)
        self._hear_renewals()
        if is_new and worker.state == "ready":
            self._end_in_other_pools(worker)
        is_home = self._zone_homes.is_own(worker.pool)
        return StateTaken(table.records[worker.instance].worker, is_home, self._zone_homes.count())

    def _end_in_other_pools(self, worker: Worker) -> None:
        """Its address was another's, of another pool: that one is gone."""
        for table in self._directory.tables():
            if table.pool != worker.pool:
                for other in table.at_address(worker.address):
                    if other.instance != worker.instance:
                        self.learnt(msgspec.structs.replace(other, state="gone", load=None))

    def take_handed_over(self, entry: WorkerEntry) -> None:
        """What another daemon knows of a worker; its word on renewals does not count."""
        worker = entry.worker
        previous = self._directory.table(worker.pool).sequence
        if self._directory.merge(entry, judge_renewal=False):
            self._tell_zone(worker.pool, [worker], previous)

    def learnt(self, seen: Worker) -> None:
        """A state learnt in another way than from the home is told to all homes."""
        self.take_handed_over(WorkerEntry(seen, True))
        for home in self._zone_homes.of(seen.pool).values():
            if home.incarnation != self._messenger.identity.incarnation:
                self._messenger.post(home.internal, StateSeen(seen))

    # --- renewals -----------------------------------------------------------------------------

    def renew(self, renewals: Sequence[Renewal]) -> tuple[WorkerInstance, ...]:
        """Gives the workers that are not known here."""
        self._hear_renewals()
        unknown = []
        for renewal in renewals:
            if not self._renew_one(renewal):
                unknown.append(renewal.instance)
        return tuple(unknown)

    def _renew_one(self, renewal: Renewal) -> bool:
        """False: not known here."""
        table = self._directory.table(renewal.pool)
        previous = table.sequence
        load = None if renewal.load is None else WorkerLoad(*renewal.load)
        renewed_again = table.renewed(renewal.instance, load, self._now(), renewal.sequence)
        if renewed_again is None:
            return False
        worker = table.records[renewal.instance].worker
        if renewed_again:
            self._directory.changed([worker])
            self._tell_zone(renewal.pool, [worker], previous)
        elif load is not None:
            self._directory.notify([worker])
        return True

    def _hear_renewals(self) -> None:
        """After a time in which nobody was heard, each worker's own silence counts from now."""
        now = self._now()
        if self._is_deaf(now):
            for pool in self._homes:
                self._directory.table(pool).all_renewed(now)
        self._renewals_heard_at = now

    def _is_deaf(self, now: Instant) -> bool:
        return self._by_trial and now - self._renewals_heard_at > DEAF_AFTER

    def expire(self, pool: PoolName) -> None:
        """Marks the workers that were silent for too long, if this home knows enough to judge that."""
        now = self._now()
        if not self.is_settled(pool) or self._is_deaf(now):
            return
        table = self._directory.table(pool)
        previous = table.sequence
        expired = table.expire(now, self._unrenewed_after)
        self._directory.changed(expired)
        self._tell_zone(pool, expired, previous)

    def _now(self) -> Instant:
        return self._context.clock.monotonic()
