"""The periodic work of a control daemon, whether or not it leads (docs/DESIGN.md sections 7.2 to 7.4)."""

from __future__ import annotations

from ..context.protocols import Context
from ..identifiers import Instant
from .control_options import ControlOptions
from .failover import Failover
from .guarded_store import GuardedStore
from .joining import Joining
from .member_state import MemberState
from .own_leadership import OwnLeadership
from .primary import Primary
from .replica import Replica

NEVER = Instant(0.0)


class Follower:
    """Brings this daemon to a state in which it is a member and either leads or receives messages of a primary.

    Each tick finds out what is missing for this and takes the next step. Owns the time of the latest attempt to
    recover the disk.
    """

    def __init__(
        self,
        context: Context,
        options: ControlOptions,
        guarded: GuardedStore,
        replica: Replica,
        state: MemberState,
        leadership: OwnLeadership,
        primary: Primary,
        joining: Joining,
        failover: Failover,
    ) -> None:
        self._context = context
        self._options = options
        self._guarded = guarded
        self._replica = replica
        self._state = state
        self._leadership = leadership
        self._primary = primary
        self._joining = joining
        self._failover = failover
        self._last_recovery = NEVER

    async def run(self) -> None:
        """Runs until this daemon is about to stop."""
        clock = self._context.clock
        while not self._state.stopped:
            before_sleep = clock.monotonic()
            await clock.sleep(self._options.tick_interval)
            now = clock.monotonic()
            if now - before_sleep > self._options.primary_timeout:
                self._after_process_pause(now)
            await self._tick(now)

    async def _tick(self, now: Instant) -> None:
        if self._leadership.current is not None:
            self._primary.maintain(self._leadership.current)
        elif self._guarded.fault is not None or (self._replica.needs_load and now >= self._state.no_election_before):
            await self._recover_store_when_due(now)
        else:
            await self._seek_primary(now)

    def _after_process_pause(self, now: Instant) -> None:
        """Discards what this process concluded about peers that it could not hear while it was paused.

        Whether this daemon still leads is decided by answers alone.
        """
        self._state.process_paused(now)
        if self._leadership.current is not None:
            self._leadership.current.process_paused(now)

    async def _recover_store_when_due(self, now: Instant) -> None:
        due = now - self._last_recovery >= self._options.journal.recovery_interval
        if due or self._guarded.fault is None:
            self._last_recovery = now
            await self._guarded.recover()

    async def _seek_primary(self, now: Instant) -> None:
        own = self._state.own
        view = self._state.known_view
        if view is not None and view.primary == own.incarnation:
            self._failover.repeat_release(view, now)
        if view is None or view.member(own.incarnation) != own:
            await self._joining.join_when_due(now)
        if view is not None and view.member(own.incarnation) is not None:
            await self._failover.run_when_due(view, now)
