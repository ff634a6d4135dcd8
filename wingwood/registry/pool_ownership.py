"""What a router does as owner of a pool: it records states and renewals and expires renewals.

See docs/DESIGN.md section 10.2.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from ..context.protocols import Context
from ..identifiers import Incarnation, Instant, PoolName, Seconds, WorkerInstance
from ..membership.protocols import Membership
from ..transport.frames import Identity
from ..transport.messenger import Messenger
from .feed_publisher import FeedPublisher
from .feed_timing import NO_RENEWALS_AFTER_S, SESSION_CONFIRMATION_MAX_AGE_S
from .messages import (
    ObservedState,
    Renewal,
    RenewalBatch,
    RenewalBatchReceipt,
    WorkerEntry,
    WorkerStateReceipt,
    WorkerStateReport,
)
from .pool_owners import PoolOwners
from .protocols import Worker, WorkerLoad
from .worker_directory import WorkerDirectory

NEVER = Instant(float("-inf"))
UNKNOWN_AGE = Seconds(float("inf"))


class _OwnedPool(msgspec.Struct):
    """State of this daemon's ownership of one pool."""

    synced: bool = False
    """Whether the owners of all other zones have replied since this ownership started or was interrupted."""
    replied: dict[Incarnation, Instant] = msgspec.field(default_factory=dict)
    """The other zones' owners that have replied, and when the last request that got a reply was sent."""


class PoolOwnership:
    """The pools that this daemon owns, and what workers or other daemons report to it directly."""

    def __init__(
        self,
        context: Context,
        messenger: Messenger,
        membership: Membership,
        directory: WorkerDirectory,
        pool_owners: PoolOwners,
        feed_publisher: FeedPublisher,
        uses_trial_calls: bool,
        unrenewed_after: Seconds,
    ) -> None:
        """Workers without a renewal for ``unrenewed_after`` count as unrenewed.

        ``uses_trial_calls``: workers are checked by trial calls (``worker_check``). Then, if no worker at all sends
        renewals, the cause is assumed to be elsewhere and no renewal expires.
        """
        self._context = context
        self._messenger = messenger
        self._membership = membership
        self._directory = directory
        self._pool_owners = pool_owners
        self._feed_publisher = feed_publisher
        self._uses_trial_calls = uses_trial_calls
        self._unrenewed_after = unrenewed_after
        self._owned: dict[PoolName, _OwnedPool] = {}
        self._last_renewal_at = context.clock.monotonic()
        messenger.on_call(WorkerStateReport, self._on_state_report)
        messenger.on_call(RenewalBatch, self._on_renewal_batch)
        messenger.on_post(ObservedState, self._on_observed_state)

    async def _on_state_report(self, _peer: Identity, message: WorkerStateReport) -> WorkerStateReceipt:
        return self.accept_from_worker(message.worker, message.sequence)

    async def _on_renewal_batch(self, _peer: Identity, message: RenewalBatch) -> RenewalBatchReceipt:
        return RenewalBatchReceipt(self.renew(message.renewals))

    def _on_observed_state(self, _peer: Identity, message: ObservedState) -> None:
        self.merge_reported(WorkerEntry(message.worker, True))

    # --- owned pools --------------------------------------------------------------------------

    def pools(self) -> list[PoolName]:
        """Returns the names of the owned pools, sorted."""
        return sorted(self._owned)

    def owns(self, pool: PoolName) -> bool:
        """Whether this daemon has begun to own the pool."""
        return pool in self._owned

    def begin(self, pool: PoolName) -> None:
        """Starts the ownership of a pool; each worker's time without a renewal counts from now."""
        self._owned[pool] = _OwnedPool()
        self._directory.table(pool).restart_renewal_timers(self._now())
        self.update_synced(pool)

    def end(self, pool: PoolName) -> None:
        """Ends the ownership of a pool."""
        del self._owned[pool]

    # --- whether an owner knows enough ---------------------------------------------------------

    def is_synced(self, pool: PoolName) -> bool:
        """Returns whether this daemon owns the pool and has pulled the other owners' records."""
        owned = self._owned.get(pool)
        return owned is not None and owned.synced

    def record_reply(self, pool: PoolName, other: Incarnation, asked_at: Instant) -> None:
        """Records that another zone's owner has replied to the request that was sent at ``asked_at``."""
        self._owned[pool].replied[other] = asked_at
        self.update_synced(pool)

    def update_synced(self, pool: PoolName) -> None:
        """Records an owner as synced once every other zone's owner has replied.

        Until then its replies confirm nothing to its followers.
        """
        owned = self._owned.get(pool)
        if owned is None or owned.synced:
            return
        owned.synced = self._other_owners(pool) <= owned.replied.keys()

    def reset_sync(self) -> None:
        """Records all owned pools as not synced after this process was paused or partitioned.

        It may have missed renewals and must pull the records of the other owners again.
        """
        for pool, owned in self._owned.items():
            owned.synced = False
            owned.replied.clear()
            self._directory.table(pool).restart_renewal_timers(self._now())

    def age(self, pool: PoolName) -> Seconds:
        """Returns the age of this owner's knowledge; infinite if it owns nothing or cannot confirm it.

        It is the age of the oldest reply in the freshest majority of the zones' owners, this one included. An
        acknowledged state is stored at a majority of them, so at least one owner in this majority has it.
        """
        owned = self._owned.get(pool)
        now = self._now()
        confirmed_at = self._membership.session_confirmed_at()
        if confirmed_at is None or now - confirmed_at > SESSION_CONFIRMATION_MAX_AGE_S:
            return UNKNOWN_AGE
        if owned is None or not owned.synced:
            return UNKNOWN_AGE
        others = self._other_owners(pool)
        replied = sorted((owned.replied.get(other, NEVER) for other in others), reverse=True)
        needed = (len(others) + 1) // 2
        return Seconds(0.0 if needed == 0 else now - replied[needed - 1])

    def _other_owners(self, pool: PoolName) -> set[Incarnation]:
        return {owner.incarnation for owner in self._pool_owners.in_other_zones(pool)}

    # --- states -------------------------------------------------------------------------------

    def accept_from_worker(self, worker: Worker, sequence: int) -> WorkerStateReceipt:
        """Records an announcement that came from the worker itself."""
        table = self._directory.table(worker.pool)
        previous, is_new = table.sequence, worker.instance not in table.records
        changed = table.apply_announcement(worker, self._now(), sequence)
        self._directory.record_changes(changed)
        self._feed_publisher.publish(worker.pool, changed, previous)
        self._record_renewal_received()
        if is_new and worker.state == "ready":
            self._end_workers_of_other_pools(worker)
        is_owner = self._pool_owners.is_own(worker.pool)
        return WorkerStateReceipt(table.records[worker.instance].worker, is_owner, self._pool_owners.zone_count())

    def _end_workers_of_other_pools(self, worker: Worker) -> None:
        """Sets workers of other pools at the same address to gone, since a new worker has taken the address."""
        for table in self._directory.tables():
            if table.pool != worker.pool:
                for other in table.at_address(worker.address):
                    if other.instance != worker.instance:
                        self.report_state(msgspec.structs.replace(other, state="gone", load=None))

    def merge_reported(self, entry: WorkerEntry) -> None:
        """Merges what another daemon knows of a worker, without its renewed flag."""
        worker = entry.worker
        previous = self._directory.table(worker.pool).sequence
        if self._directory.merge(entry, trust_renewal=False):
            self._feed_publisher.publish(worker.pool, [worker], previous)

    def report_state(self, observed: Worker) -> None:
        """Records a state that did not come from the owner and reports it to the owners of all zones."""
        self.merge_reported(WorkerEntry(observed, True))
        for owner in self._pool_owners.by_zone(observed.pool).values():
            if owner.incarnation != self._messenger.identity.incarnation:
                self._messenger.post(owner.internal, ObservedState(observed))

    # --- renewals -----------------------------------------------------------------------------

    def renew(self, renewals: Sequence[Renewal]) -> tuple[WorkerInstance, ...]:
        """Applies renewals and returns the workers that are not known here."""
        self._record_renewal_received()
        return tuple(renewal.instance for renewal in renewals if not self._renew_one(renewal))

    def _renew_one(self, renewal: Renewal) -> bool:
        """Returns False if the worker is not known here."""
        table = self._directory.table(renewal.pool)
        previous = table.sequence
        load = None if renewal.load is None else WorkerLoad(*renewal.load)
        renewed_again = table.apply_renewal(renewal.instance, load, self._now(), renewal.sequence)
        if renewed_again is None:
            return False
        worker = table.records[renewal.instance].worker
        if renewed_again:
            self._directory.record_changes([worker])
            self._feed_publisher.publish(renewal.pool, [worker], previous)
        elif load is not None:
            self._directory.notify([worker])
        return True

    def _record_renewal_received(self) -> None:
        """Records that a renewal arrived.

        After a time without renewals of any worker, each worker's own time without a renewal counts from now.
        """
        now = self._now()
        if self._receives_no_renewals(now):
            for pool in self._owned:
                self._directory.table(pool).restart_renewal_timers(now)
        self._last_renewal_at = now

    def _receives_no_renewals(self, now: Instant) -> bool:
        return self._uses_trial_calls and now - self._last_renewal_at > NO_RENEWALS_AFTER_S

    def expire_renewals(self, pool: PoolName) -> None:
        """Expires the renewals of workers, unless this owner is not synced or receives no renewals at all."""
        now = self._now()
        if not self.is_synced(pool) or self._receives_no_renewals(now):
            return
        table = self._directory.table(pool)
        previous = table.sequence
        expired = table.expire_renewals(now, self._unrenewed_after)
        self._directory.record_changes(expired)
        self._feed_publisher.publish(pool, expired, previous)

    def _now(self) -> Instant:
        return self._context.clock.monotonic()
