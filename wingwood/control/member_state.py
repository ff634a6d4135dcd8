"""What one control daemon knows about the cluster and about the presence of a primary (docs/DESIGN.md section 7.4)."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

from ..context.protocols import Context
from ..identifiers import Address, Epoch, Instant, Seconds
from .changes import ChangeSignal
from .control_options import ControlOptions
from .views import PreparedEpoch, View, ViewMember

INITIAL_TIMEOUT_FRACTION = 0.4
"""At its start, a member assumes that it last heard its primary this fraction of ``primary_timeout`` ago."""
PAUSED_TIMEOUT_FRACTION = 0.5
"""After a pause of the process, a member assumes that it last heard its primary this fraction of the timeout ago."""
BACKOFF_AFTER_STEPPING_DOWN_S = (0.8, 1.2)
BACKOFF_BEFORE_ELECTION_S = (0.4, 0.7)
"""Each backoff is drawn at random from its range, so that two members rarely become candidates at the same time."""


class MemberState:
    """The latest known view, the highest epoch seen, when the primary was last heard, and the backoff of elections.

    All of it may be outdated: safety rests on the prepared epoch and the view in the store, never on this state.
    """

    def __init__(
        self,
        context: Context,
        own: ViewMember,
        view: View | None,
        prepared: PreparedEpoch,
        options: ControlOptions,
        changes: ChangeSignal,
    ) -> None:
        self.own = own
        """This daemon as a member. Its incarnation stays the same while the process runs."""
        self._context = context
        self._primary_timeout = options.primary_timeout
        self._changes = changes
        self._known_view = view
        self._highest_epoch = prepared.epoch
        self._released_epoch: Epoch | None = None
        now = context.clock.monotonic()
        self._primary_heard_at = Instant(now - INITIAL_TIMEOUT_FRACTION * self._primary_timeout)
        self._no_election_before = now
        self._is_candidate = False
        self._stopped = False

    # -- the known view and epochs

    @property
    def known_view(self) -> View | None:
        """The latest view that this daemon knows of, whether or not it accepted the view itself."""
        return self._known_view

    @property
    def highest_epoch(self) -> Epoch:
        """The highest epoch that this daemon has seen; a candidate uses a higher one."""
        return self._highest_epoch

    def observe_epoch(self, epoch: Epoch) -> None:
        """Records that a member has prepared this epoch."""
        self._highest_epoch = max(self._highest_epoch, epoch)

    def observe_view(self, view: View | None) -> None:
        """Records a view that another daemon knows, and notifies of a change if it supersedes the known one."""
        if view is None:
            return
        self.observe_epoch(view.epoch)
        if view.supersedes(self._known_view):
            self._known_view = view
            self._changes.notify()

    def claim_next_epoch(self, prepared: PreparedEpoch) -> Epoch:
        """Returns an epoch above all that were seen or prepared here, for an election of this member."""
        self._highest_epoch = Epoch(max(self._highest_epoch, prepared.epoch) + 1)
        return self._highest_epoch

    def epoch(self) -> Epoch:
        """Returns the epoch of the known view; 0 when none is known."""
        return self._known_view.epoch if self._known_view is not None else Epoch(0)

    def primary_address(self) -> Address | None:
        """Returns the address of the primary of the known view, or None when none is known."""
        member = self._known_view.member(self._known_view.primary) if self._known_view is not None else None
        return member.address if member is not None else None

    def other_primary_address(self) -> Address | None:
        """Returns the address of the presumed primary unless it is this daemon."""
        address = self.primary_address()
        return None if address == self.own.address else address

    # -- the presence of the primary

    @property
    def primary_heard_at(self) -> Instant:
        """When a message of the primary was last received."""
        return self._primary_heard_at

    def primary_heard(self) -> None:
        """Records that a message of the primary arrived now."""
        self._primary_heard_at = self._context.clock.monotonic()

    def process_paused(self, now: Instant) -> None:
        """Gives the primary more time after a pause of this process, during which nothing could be received."""
        earliest = Instant(now - PAUSED_TIMEOUT_FRACTION * self._primary_timeout)
        self._primary_heard_at = max(self._primary_heard_at, earliest)

    def primary_released(self, epoch: Epoch) -> None:
        """Records that the primary of this epoch gave up leadership and asked the others to fail over."""
        self._released_epoch = epoch

    def is_released(self, view: View) -> bool:
        """Whether the primary of the view gave up leadership."""
        return self._released_epoch == view.epoch

    def leads_view(self) -> None:
        """Records that this member leads a chosen view, so that no earlier release counts any more."""
        self._released_epoch = None

    # -- elections

    @property
    def no_election_before(self) -> Instant:
        """Until then this member does not become a candidate."""
        return self._no_election_before

    def back_off_election(self, seconds: tuple[float, float] = BACKOFF_BEFORE_ELECTION_S) -> None:
        """Defers the next election of this member by a time drawn from the range ``seconds``."""
        self.defer_election(self._context.random.uniform(*seconds))

    def defer_election(self, seconds: float) -> None:
        """Defers the next election of this member by exactly this time."""
        self._no_election_before = Instant(self._context.clock.monotonic() + Seconds(seconds))

    def stepped_down(self) -> None:
        """Records that this member stopped leading, and lets others become primary first."""
        self.primary_heard()
        self.back_off_election(BACKOFF_AFTER_STEPPING_DOWN_S)

    @property
    def is_candidate(self) -> bool:
        """Whether an election of this member is in progress."""
        return self._is_candidate

    @contextmanager
    def candidacy(self) -> Iterator[None]:
        """Marks this member as a candidate while the block runs."""
        self._is_candidate = True
        try:
            yield
        finally:
            self._is_candidate = False

    # -- the process

    @property
    def stopped(self) -> bool:
        """Whether this daemon is about to stop."""
        return self._stopped

    def stop(self) -> None:
        """Ends the periodic work of this daemon at its next tick."""
        self._stopped = True
