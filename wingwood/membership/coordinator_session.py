"""A router's session with a coordinator, renewed by heartbeats (docs/DESIGN.md section 8.1)."""

from __future__ import annotations

from collections.abc import Callable

from returns.result import Success

from ..context.protocols import Context, Task
from ..identifiers import Address, BundleVersion, Instant, Seconds
from ..transport.errors import TransportFailure
from ..transport.messenger import Messenger
from .control_directory import ControlDirectory
from .coordinator_selection import CoordinatorSelection
from .member_list_replica import MemberListReplica
from .membership_options import MembershipOptions
from .messages import ClusterUpdate, EndSession, Heartbeat, HeartbeatAnswer
from .observed_versions import ObservedVersions

UpdateCallback = Callable[[ClusterUpdate, Instant], None]
MIN_HEARTBEAT_DELAY_S = Seconds(0.02)


class CoordinatorSession:
    """Sends heartbeats to one coordinator at a time, and turns to the next one when it does not answer.

    Owns the times of the latest answer and confirmation, the presumed primary, and the callbacks for updates and for
    the loss of the session.
    """

    def __init__(
        self,
        context: Context,
        messenger: Messenger,
        options: MembershipOptions,
        directory: ControlDirectory,
        selection: CoordinatorSelection,
        replica: MemberListReplica,
        observed: ObservedVersions,
        own_version: Callable[[], BundleVersion],
    ) -> None:
        self._context = context
        self._messenger = messenger
        self._options = options
        self._directory = directory
        self._selection = selection
        self._replica = replica
        self._observed = observed
        self._own_version = own_version
        self._answered_at: Instant | None = None
        self._confirmed_at: Instant | None = None
        self._was_admitted = False
        self._primary: Address | None = None
        self._confirmation_overdue = False
        """Whether the coordinator's confirmation of the bundle version is old, so that heartbeats come sooner."""
        self._update_callbacks: list[UpdateCallback] = []
        self._lost_callbacks: list[Callable[[], None]] = []
        self._task: Task | None = None

    def on_update(self, callback: UpdateCallback) -> None:
        """Registers a callback for the update in each heartbeat answer.

        It receives the update and the local clock's time before the heartbeat was sent.
        """
        self._update_callbacks.append(callback)

    def on_lost(self, callback: Callable[[], None]) -> None:
        """Registers a callback for an answer that says that others have seen this daemon leave since the last one."""
        self._lost_callbacks.append(callback)

    def confirmed_at(self) -> Instant | None:
        """Returns the local time before the heartbeat whose answer last confirmed the session."""
        return self._confirmed_at

    def primary(self) -> Address | None:
        """Returns the internal address of the presumed primary according to the latest update."""
        return self._primary

    def start(self) -> None:
        """Starts the heartbeats."""
        self._selection.start()
        self._task = self._context.tasks.spawn("membership session", self._maintain())

    def stop(self) -> None:
        """Ends the session at once, so that others need not wait for the session timeout."""
        if self._task is not None:
            self._task.cancel()
        coordinator = self._selection.current()
        if coordinator is not None:
            self._messenger.post(coordinator, EndSession())

    async def _maintain(self) -> None:
        clock, random = self._context.clock, self._context.random
        while True:
            started_at = clock.monotonic()
            if await self._heartbeat():
                delay_s = self._heartbeat_interval_s() * (0.8 + 0.2 * random.random())
            else:
                await self._directory.ask_peers()
                delay_s = self._options.retry_backoff_s * (0.8 + 0.4 * random.random())
            await clock.sleep(Seconds(max(MIN_HEARTBEAT_DELAY_S, started_at + delay_s - clock.monotonic())))

    def _heartbeat_interval_s(self) -> float:
        if self._replica.changes_pending():
            return self._options.heartbeat_interval_s / 4.0
        return self._options.heartbeat_interval_s / (2.0 if self._confirmation_overdue else 1.0)

    async def _heartbeat(self, may_repeat: bool = True) -> bool:
        """Sends one heartbeat, to the next coordinator when one fails; returns False when none of those tried answers.

        After a period without answers, the first heartbeat only shows the coordinator that answers arrive; the second
        one renews the session.
        """
        for address in self._selection.candidates():
            sent_at = self._context.clock.monotonic()
            last_answer_age = None if self._answered_at is None else Seconds(sent_at - self._answered_at)
            position = self._replica.position() if address == self._selection.current() else None
            outcome = await self._messenger.call(
                address,
                Heartbeat(position, self._own_version(), self._observed.epoch, last_answer_age),
                HeartbeatAnswer,
                self._options.answer_timeout_s,
            )
            if not isinstance(outcome, Success):
                if await self._handle_no_answer(address, outcome.failure(), sent_at):
                    continue
                return False
            answer = outcome.unwrap()
            await self._apply_answer(address, answer, sent_at)
            if may_repeat and self._must_repeat(answer, last_answer_age):
                return await self._heartbeat(may_repeat=False)
            return True
        return False

    def _must_repeat(self, answer: HeartbeatAnswer, last_answer_age: Seconds | None) -> bool:
        """Returns whether the heartbeat was too long after the latest answer to renew the session for its full time."""
        if not answer.admitted or last_answer_age is None:
            return True
        return last_answer_age > self._options.session_timeout_s / 2

    async def _handle_no_answer(self, address: Address, fault: TransportFailure, sent_at: Instant) -> bool:
        """Records the failure of the coordinator; returns whether another one is to be tried now."""
        if fault.kind == "rejected":
            await self._directory.ask(address)
        late = self._context.clock.monotonic() - sent_at > 2 * self._options.answer_timeout_s
        if late and fault.kind == "timeout":
            return False  # This process was paused; the coordinator may be well.
        if self._selection.record_failure(address):
            self._context.log.event("coordinator-unresponsive", coordinator=address, kind=fault.kind)
        return True

    async def _apply_answer(self, address: Address, answer: HeartbeatAnswer, sent_at: Instant) -> None:
        changed_coordinator = self._selection.record_answer(address, answer.isolated)
        self._directory.record(address)
        if not answer.was_member and answer.admitted and self._was_admitted and not answer.warming_up:
            self._context.log.event("session-lost", coordinator=address)
            for lost in self._lost_callbacks:
                lost()
        self._was_admitted |= answer.admitted
        if changed_coordinator:
            self._context.log.event("coordinator-selected", coordinator=address, was_member=answer.was_member)
        self._answered_at = sent_at
        if answer.admitted:
            self._confirmed_at = sent_at
        self._apply_update(answer.update, sent_at)
        await self._replica.apply(address, answer)

    def _apply_update(self, update: ClusterUpdate, sent_at: Instant) -> None:
        self._observed.observe(update.epoch, max(update.latest_version, update.confirmed_version))
        age_s = update.confirmation_age
        self._confirmation_overdue = age_s is None or age_s > 2 * self._options.heartbeat_interval_s
        if update.primary is not None:
            self._primary = update.primary
        for callback in self._update_callbacks:
            callback(update, sent_at)
