"""What a router does as the home of a pool: takes states and renewals, judges silence (docs/DESIGN.md section 10.2)."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import msgspec

from ..context.protocols import Context
from ..identifiers import Incarnation, Instant, PoolName, Seconds, WorkerInstance
from ..membership.protocols import Membership
from ..transport.messenger import Messenger
from .feed_limits import ALL_SILENT_AFTER_S, SESSION_PROOF_MAX_AGE_S
from .messages import ObservedState, Renewal, WorkerEntry, WorkerStateReceipt
from .pool_owners import PoolOwners
from .protocols import Worker, WorkerLoad
from .worker_directory import WorkerDirectory

NEVER = Instant(float("-inf"))
UNKNOWN_AGE = Seconds(float("inf"))

NotifyZone = Callable[[PoolName, Sequence[Worker], int], None]
"""Tells the zone's routers of changed workers; with the table's sequence before the change."""
OwnerAge = Callable[[PoolName], Seconds]
"""See ``PoolOwnership.age``."""


class _OwnedPool(msgspec.Struct):
    """This daemon's own duty for one pool."""

    synced: bool = False
    answered: dict[Incarnation, Instant] = msgspec.field(default_factory=dict)
    """The other zones' homes that have answered, and when they were last asked with success."""


class PoolOwnership:
    """The pools whose home this daemon is, and what workers or other daemons tell it first hand.

    ``uses_trial_calls``: workers are checked by trial calls (``worker_check``), so a silence of all is not theirs.
    """

    def __init__(
        self,
        context: Context,
        messenger: Messenger,
        membership: Membership,
        directory: WorkerDirectory,
        pool_owners: PoolOwners,
        notify_zone: NotifyZone,
        uses_trial_calls: bool,
        unrenewed_after: Seconds,
    ) -> None:
        self._context = context
        self._messenger = messenger
        self._membership = membership
        self._directory = directory
        self._pool_owners = pool_owners
        self._notify_zone = notify_zone
        self._uses_trial_calls = uses_trial_calls
        self._unrenewed_after = unrenewed_after
        self._owned: dict[PoolName, _OwnedPool] = {}
        self._last_renewal_at = context.clock.monotonic()

    # --- which pools --------------------------------------------------------------------------

    def pools(self) -> list[PoolName]:
        return sorted(self._owned)

    def has(self, pool: PoolName) -> bool:
        return pool in self._owned

    def begin(self, pool: PoolName) -> None:
        """This daemon has become the pool's home: the workers' time for renewals counts from now."""
        self._owned[pool] = _OwnedPool()
        self._directory.table(pool).restart_renewal_timers(self._now())
        self.update_synced(pool)

    def end(self, pool: PoolName) -> None:
        del self._owned[pool]

    # --- whether a owner knows enough ----------------------------------------------------------

    def is_synced(self, pool: PoolName) -> bool:
        owner = self._owned.get(pool)
        return owner is not None and owner.synced

    def record_answer(self, pool: PoolName, other: Incarnation, asked_at: Instant) -> None:
        """Another zone's home has answered a question asked then."""
        self._owned[pool].answered[other] = asked_at
        self.update_synced(pool)

    def update_synced(self, pool: PoolName) -> None:
        """A new home counts as settled when every other zone's home has answered. Until then it vouches for nothing."""
        owner = self._owned.get(pool)
        if owner is None or owner.synced:
            return
        owner.synced = self._other_owners(pool) <= owner.answered.keys()

    def mark_unsynced(self) -> None:
        """This daemon was frozen or cut off: it must pull again what others keep, and may have missed renewals."""
        for pool, owner in self._owned.items():
            owner.synced = False
            owner.answered.clear()
            self._directory.table(pool).restart_renewal_timers(self._now())

    def age(self, pool: PoolName) -> Seconds:
        """How old this home's knowledge is: that of the freshest majority of the zones' homes, its own among them.

        An acknowledged state is with a majority of them, so one of these has it.
        """
        owner = self._owned.get(pool)
        now = self._now()
        session = self._membership.session_proven_at()
        if owner is None or not owner.synced or session is None or now - session > SESSION_PROOF_MAX_AGE_S:
            return UNKNOWN_AGE
        others = self._other_owners(pool)
        answered = sorted((owner.answered.get(other, NEVER) for other in others), reverse=True)
        needed = (len(others) + 1) // 2
        return Seconds(0.0 if needed == 0 else now - answered[needed - 1])

    def _other_owners(self, pool: PoolName) -> set[Incarnation]:
        return {owner.incarnation for owner in self._pool_owners.in_other_zones(pool)}

    # --- states -------------------------------------------------------------------------------

    def accept_first_hand(self, worker: Worker, sequence: int) -> WorkerStateReceipt:
        """A worker's own word."""
        table = self._directory.table(worker.pool)
        previous, is_new = table.sequence, worker.instance not in table.records
        changed = table.apply_announcement(worker, self._now(), sequence)
        self._directory.record_changes(changed)
        self._notify_zone(worker.pool, changed, previous)
        self._note_renewal_received()
        if is_new and worker.state == "ready":
            self._end_in_other_pools(worker)
        is_owner = self._pool_owners.is_own(worker.pool)
        return WorkerStateReceipt(table.records[worker.instance].worker, is_owner, self._pool_owners.zone_count())

    def _end_in_other_pools(self, worker: Worker) -> None:
        """Its address was another's, of another pool: that one is gone."""
        for table in self._directory.tables():
            if table.pool != worker.pool:
                for other in table.at_address(worker.address):
                    if other.instance != worker.instance:
                        self.report_state(msgspec.structs.replace(other, state="gone", load=None))

    def merge_reported(self, entry: WorkerEntry) -> None:
        """What another daemon knows of a worker; its word on renewals does not count."""
        worker = entry.worker
        previous = self._directory.table(worker.pool).sequence
        if self._directory.merge(entry, trust_renewal=False):
            self._notify_zone(worker.pool, [worker], previous)

    def report_state(self, seen: Worker) -> None:
        """A state learnt in another way than from the home is told to all homes."""
        self.merge_reported(WorkerEntry(seen, True))
        for owner in self._pool_owners.by_zone(seen.pool).values():
            if owner.incarnation != self._messenger.identity.incarnation:
                self._messenger.post(owner.internal, ObservedState(seen))

    # --- renewals -----------------------------------------------------------------------------

    def renew(self, renewals: Sequence[Renewal]) -> tuple[WorkerInstance, ...]:
        """Gives the workers that are not known here."""
        self._note_renewal_received()
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
        renewed_again = table.apply_renewal(renewal.instance, load, self._now(), renewal.sequence)
        if renewed_again is None:
            return False
        worker = table.records[renewal.instance].worker
        if renewed_again:
            self._directory.record_changes([worker])
            self._notify_zone(renewal.pool, [worker], previous)
        elif load is not None:
            self._directory.notify([worker])
        return True

    def _note_renewal_received(self) -> None:
        """After a time in which nobody was heard, each worker's own silence counts from now."""
        now = self._now()
        if self._all_are_silent(now):
            for pool in self._owned:
                self._directory.table(pool).restart_renewal_timers(now)
        self._last_renewal_at = now

    def _all_are_silent(self, now: Instant) -> bool:
        return self._uses_trial_calls and now - self._last_renewal_at > ALL_SILENT_AFTER_S

    def expire(self, pool: PoolName) -> None:
        """Marks the workers that were silent for too long, if this home knows enough to judge that."""
        now = self._now()
        if not self.is_synced(pool) or self._all_are_silent(now):
            return
        table = self._directory.table(pool)
        previous = table.sequence
        expired = table.expire(now, self._unrenewed_after)
        self._directory.record_changes(expired)
        self._notify_zone(pool, expired, previous)

    def _now(self) -> Instant:
        return self._context.clock.monotonic()
