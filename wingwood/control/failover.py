"""Failover to this member when its primary is unresponsive or released leadership (docs/DESIGN.md section 7.4)."""

from __future__ import annotations

from ..context.protocols import Context
from ..identifiers import Instant
from .control_options import ControlOptions
from .election import Candidate
from .guarded_store import GuardedStore
from .member_state import MemberState
from .messages import ControlStatus, ControlStatusQuery
from .own_leadership import OwnLeadership
from .peer_client import PeerClient
from .primary import Primary
from .replica import Replica
from .views import View

NEVER = Instant(0.0)
RELEASED_PRIMARY_TIMEOUT_FACTOR = 0.7
"""Fraction of ``primary_timeout`` that a primary waits after it gave up leadership.

So its backups become candidates first.
"""


class Failover:
    """Decides when this member becomes a candidate. Owns the times of the latest status query and release.

    Time decides only who becomes a candidate and when; whether it wins is decided by the acceptors.
    """

    def __init__(
        self,
        context: Context,
        options: ControlOptions,
        peers: PeerClient,
        guarded: GuardedStore,
        replica: Replica,
        state: MemberState,
        leadership: OwnLeadership,
        candidate: Candidate,
        primary: Primary,
    ) -> None:
        self._context = context
        self._options = options
        self._peers = peers
        self._guarded = guarded
        self._store = guarded.store
        self._replica = replica
        self._state = state
        self._leadership = leadership
        self._candidate = candidate
        self._primary = primary
        self._own_incarnation = state.own.incarnation
        self._last_status_query = self._last_release = NEVER

    def _now(self) -> Instant:
        return self._context.clock.monotonic()

    def repeat_release(self, view: View, now: Instant) -> None:
        """Notifies the others, at intervals, that we no longer lead a view that names us as primary.

        This happens after a restart, for instance; the others then need not wait for the timeout. The
        message is repeated, since the others may be restarting too.
        """
        if now - self._last_release < self._options.status_query_interval:
            return
        self._last_release = now
        self._state.primary_released(view.epoch)
        self._leadership.announce_release(view)

    async def run_when_due(self, view: View, now: Instant) -> None:
        """Starts an election if the primary timed out here and a majority does not hear it either."""
        unresponsive = now - self._state.primary_heard_at >= self._primary_timeout(view)
        query_due = now - self._last_status_query >= self._options.status_query_interval
        if unresponsive and query_due and now >= self._state.no_election_before:
            if await self.may_be_candidate(view):
                await self._fail_over()
            self._last_status_query = self._now()

    def _primary_timeout(self, view: View) -> float:
        """Returns how long this member waits without a message of the primary before it tries to fail over."""
        if self._state.is_released(view):
            return self._released_timeout_factor(view) * self._options.primary_timeout
        return self._timeout_factor(view) * self._options.primary_timeout

    def _backup_rank(self, view: View) -> int | None:
        return view.backups.index(self._own_incarnation) if self._own_incarnation in view.backups else None

    def _released_timeout_factor(self, view: View) -> float:
        if view.primary == self._own_incarnation:
            return RELEASED_PRIMARY_TIMEOUT_FACTOR
        rank = self._backup_rank(view)
        return 0.3 if rank is None else min(0.15 * rank, 0.3)

    def _timeout_factor(self, view: View) -> float:
        """The backups try first, one after another, then other holders; a witness only looks for newer views."""
        rank = self._backup_rank(view)
        if rank is not None:
            return min(1.0 + 0.15 * rank, 1.4)
        if view.primary == self._own_incarnation:
            return 1.2 if len(view.backups) < 2 else 1.3
        return 1.4

    async def may_be_candidate(self, view: View) -> bool:
        """Whether a majority of the members of the latest known view receives no messages of its primary either."""

        def majority_misses_primary(answers: list[ControlStatus]) -> bool:
            return view.majority(
                {self._own_incarnation, *(answer.by for answer in answers if not answer.hears_primary)}
            )

        calls = [
            self._peers.ask(member, ControlStatusQuery(), ControlStatus)
            for member in view.others(self._own_incarnation)
        ]
        answers = await self._peers.gather(calls, majority_misses_primary)
        for answer in answers:
            self._state.observe_epoch(answer.prepared_epoch)
            self._state.observe_view(answer.view)
        return majority_misses_primary(answers) and self._is_eligible(view)

    def _is_eligible(self, view: View) -> bool:
        """Whether this member may become a candidate.

        It knows no newer view, its disk has the state of the latest view, and no primary sends it messages.
        """
        accepted_view = self._store.view
        if self._state.known_view != view or self._leadership.current is not None:
            return False
        if accepted_view is None or self._own_incarnation not in accepted_view.holders:
            return False
        if self._guarded.fault is not None or self._replica.needs_load:
            return False
        return self._now() - self._state.primary_heard_at >= self._primary_timeout(view)

    async def _fail_over(self) -> None:
        started = self._now()
        with self._state.candidacy():
            view = await self._candidate.run_election(None)
        if view is None:
            self._state.back_off_election()
            return
        self._context.log.event(
            "failover-completed",
            epoch=view.epoch,
            primary_unheard_for=started - self._state.primary_heard_at,
            election_took=self._now() - started,
        )
        self._primary.begin(view)
