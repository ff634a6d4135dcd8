"""The common base of all parts of a member of the control core: state, known views, calls to other members.

``Member`` and the classes on top of it (``StoreGuard``, ``Backup``, ``Voter``, ``Replicator``, ``CommandIntake``,
``LeadershipProofs``, ``Candidate``, ``Primary``, ``Follower``) are the parts of one ``ReplicatedCore``; each
inherits from the parts that it uses (docs/DESIGN.md section 7).
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from typing import Any, TypeVar

import msgspec
from returns.result import Success

from ..context.protocols import Context
from ..identifiers import Address, Epoch, Instant, Seconds
from ..transport.messenger import Messenger
from .commands import fail_all
from .control_options import ControlOptions
from .leadership import Leadership
from .messages import ControlLeadershipReleased
from .protocols import Applier
from .replica import Replica
from .store import Contents, ControlStore
from .views import View, ViewMember

Reply = TypeVar("Reply", bound=msgspec.Struct)

INITIAL_TIMEOUT_FRACTION = 0.4
"""At its start, a member assumes that it last saw its primary this fraction of ``primary_timeout`` ago."""
BACKOFF_AFTER_STEPPING_DOWN_S = (0.8, 1.2)
BACKOFF_BEFORE_ELECTION_S = (0.4, 0.7)
"""Each pause is drawn at random from its range, so that two members rarely become candidates at the same time."""


class MemberSetup(msgspec.Struct, frozen=True, kw_only=True):
    """The parts that a member is built from; see ``ReplicatedCore``."""

    context: Context
    messenger: Messenger
    store: ControlStore
    contents: Contents
    appliers: Sequence[Applier]
    seeds: Sequence[Address]
    knows_of_history: Callable[[], bool]
    other_controls: Callable[[], Sequence[Address]]
    options: ControlOptions
    on_data_lost: Callable[[], None] | None
    failures_tolerated: int


class Member:
    """The state and the operations that all parts share."""

    def __init__(self, setup: MemberSetup) -> None:
        context, store, identity = setup.context, setup.store, setup.messenger.identity
        self._context = context
        self._messenger = setup.messenger
        self._options = setup.options
        self._seeds = tuple(sorted(setup.seeds))
        """Sorted, so that all daemons have the same order, whatever the order in their settings."""
        self._other_controls = setup.other_controls
        self._desired_backup_count = setup.failures_tolerated
        self._desired_member_count = 2 * setup.failures_tolerated + 1
        self._own_member = ViewMember(store.incarnation, identity.name, identity.internal)
        self._own_incarnation = store.incarnation
        self._store = store
        self._lock = asyncio.Lock()
        """Held during each use of the store."""
        self._disk_fault: str | None = None
        """Why the store may not be used; None when it may. Cleared once the journal was read back."""
        self._replica = Replica(setup.appliers, setup.contents)
        self._stale = False
        """The replica must be loaded from the journal before it may be used."""
        self._leadership: Leadership | None = None
        self._known_view = store.view
        self._highest_epoch = store.prepared.epoch
        self._released_epoch: Epoch | None = None
        """The epoch whose primary gave up leadership and asked the others to take over."""
        now = context.clock.monotonic()
        self._primary_heard_at = Instant(now - INITIAL_TIMEOUT_FRACTION * self._options.primary_timeout)
        """When a message of the primary was last received."""
        self._no_election_before = now
        """Until then this member does not become a candidate."""
        self._stopped = False
        self._wakeup = asyncio.Event()
        """Set when something changed that the task running commands may be waiting for."""
        self._on_change: list[Callable[[], None]] = []

    # -- public

    def leads(self) -> bool:
        leadership = self._leadership
        return (
            leadership is not None and self._now() - leadership.confirmed < self._options.leadership_unconfirmed_after
        )

    def epoch(self) -> Epoch:
        return self._known_view.epoch if self._known_view is not None else Epoch(0)

    def primary_address(self) -> Address | None:
        member = self._known_view.member(self._known_view.primary) if self._known_view is not None else None
        return member.address if member is not None else None

    def control_addresses(self) -> Sequence[Address]:
        """Returns the addresses of all control daemons known here, that of the presumed primary first."""
        addresses = [self.primary_address()]
        addresses += [member.address for member in (self._known_view.members if self._known_view is not None else ())]
        addresses += [*self._seeds, *self._other_controls()]
        return tuple(dict.fromkeys(address for address in addresses if address is not None))

    def on_change(self, callback: Callable[[], None]) -> None:
        self._on_change.append(callback)

    def on_commit(self, callback: Callable[[], None]) -> None:
        """Calls back on primary and backups after each advance, when the appliers hold exactly the committed state."""
        self._replica.on_commit(callback)

    # -- time, log and events

    def _now(self) -> Instant:
        return self._context.clock.monotonic()

    def _log(self, name: str, **fields: object) -> None:
        self._context.log.event(name, **fields)

    def _changed(self) -> None:
        self._wakeup.set()
        for callback in self._on_change:
            callback()

    # -- views and epochs

    def _note_epoch(self, epoch: Epoch) -> None:
        """Records that a member has promised this epoch; a candidate uses a higher one."""
        self._highest_epoch = max(self._highest_epoch, epoch)

    def _note_view(self, view: View | None) -> None:
        if view is None:
            return
        self._note_epoch(view.epoch)
        if view.supersedes(self._known_view):
            self._known_view = view
            self._changed()

    def _other_primary(self) -> Address | None:
        address = self.primary_address()
        return None if address == self._own_member.address else address

    def _other_members(self, view: View) -> list[ViewMember]:
        return [member for member in view.members if member.incarnation != self._own_incarnation]

    # -- leadership

    def _member_is_live(self, leadership: Leadership, member: ViewMember) -> bool:
        return leadership.is_live(member.incarnation, self._now(), self._options.member_timeout)

    def _follows(self, leadership: Leadership, member: ViewMember) -> bool:
        """Whether the member is live and knows that our view is chosen.

        Such a member can continue without us and without the former members.
        """
        return (
            self._member_is_live(leadership, member)
            and leadership.chosen_epochs.get(member.incarnation) == leadership.view.epoch
        )

    def _accepts_orders(self, leadership: Leadership) -> bool:
        return leadership.in_sync and len(leadership.view.members) >= self._desired_member_count

    def _step_down(self, reason: str) -> None:
        """Stops leading: fails the commands that wait for backups and asks the other members to take over."""
        leadership, self._leadership = self._leadership, None
        assert leadership is not None
        self._log("stepped-down", epoch=leadership.view.epoch, reason=reason)
        self._stale = True
        self._primary_heard_at = self._now()
        self._put_off_candidacy(BACKOFF_AFTER_STEPPING_DOWN_S)
        fail_all(leadership.take_pending(), f"stopped leading: {reason}")
        self._announce_release(leadership.view)
        self._changed()

    def _announce_release(self, view: View) -> None:
        """Notifies the other members that this daemon no longer leads the view."""
        for member in self._other_members(view):
            self._messenger.post(member.address, ControlLeadershipReleased(view.epoch, self._own_incarnation))

    def _put_off_candidacy(self, pause: tuple[float, float] = BACKOFF_BEFORE_ELECTION_S) -> None:
        self._no_election_before = Instant(self._now() + self._context.random.uniform(*pause))

    # -- calls

    async def _ask(
        self, member: ViewMember, message: msgspec.Struct, reply_type: type[Reply], timeout: Seconds | None = None
    ) -> Reply | None:
        """Returns the answer of exactly that incarnation, or None."""
        outcome = await self._messenger.call(member.address, message, reply_type, timeout or self._options.call_timeout)
        match outcome:
            case Success(found) if getattr(found, "by", None) == member.incarnation:
                reply: Reply = found
                return reply
        return None

    async def _ask_address(self, address: Address, message: msgspec.Struct, reply_type: type[Reply]) -> Reply | None:
        """Returns the answer of whichever daemon is at that address, or None."""
        match await self._messenger.call(address, message, reply_type, self._options.call_timeout):
            case Success(found):
                reply: Reply = found
                return reply
        return None

    async def _gather(
        self,
        work: Sequence[Coroutine[Any, Any, Reply | None]],
        enough: Callable[[list[Reply]], bool],
        timeout: Seconds,
        linger: Seconds = Seconds(0.0),  # noqa: B008
    ) -> list[Reply]:
        """Collects answers in the order of their arrival.

        Ends when all have arrived, after ``timeout``, or ``linger`` seconds after the answers were ``enough``.
        """
        answers: list[Reply] = []
        loop = asyncio.get_running_loop()
        left = [loop.create_task(one) for one in work]
        end = self._now() + timeout
        satisfied = False
        while left:
            wait = end - self._now()
            if wait <= 0:
                break
            done, _ = await asyncio.wait(left, timeout=wait, return_when=asyncio.FIRST_COMPLETED)
            for task in [task for task in left if task in done]:
                left.remove(task)
                answer = task.result()
                if answer is not None:
                    answers.append(answer)
            if not satisfied and enough(answers):
                satisfied = True
                end = min(end, self._now() + linger)
        return answers
