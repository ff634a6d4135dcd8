"""A daemon's session with a coordinator, and its view of the members (docs/DESIGN.md section 8)."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence

from returns.result import Success

from ..context.protocols import Context, Task
from ..identifiers import Address, BundleVersion, Epoch, Incarnation, Instant, Seconds
from ..transport.frames import Identity
from ..transport.messenger import Messenger
from .coordinator import MAX_PEERS_PER_ANSWER
from .limits import SessionTimes
from .member_list import MemberList, NamedView, bucket_count
from .messages import (
    ClusterUpdate,
    CompareMembers,
    EndSession,
    Heartbeat,
    HeartbeatAnswer,
    KnownControls,
    KnownControlsRequest,
    Member,
    MembersCompared,
    Position,
    identity_of,
)
from .rendezvous import ranked

UpdateCallback = Callable[[ClusterUpdate, Instant], None]
MAX_CONTROL_ADDRESSES = 128
PEERS_ASKED_PER_ROUND = 2
COORDINATORS_TRIED_PER_HEARTBEAT = 6


class MembershipClient:
    """Implements ``Membership`` on a router, with one session at a time at the coordinator ranked first."""

    def __init__(
        self,
        context: Context,
        messenger: Messenger,
        seeds: Sequence[Address],
        times: SessionTimes | None = None,
    ) -> None:
        self._context = context
        self._messenger = messenger
        self._identity = messenger.identity
        self._seeds = tuple(seeds)
        self._times = times or SessionTimes()
        self._list = MemberList(max_retained_changes=0)
        self._coordinator: Address | None = None
        self._position: Position | None = None
        self._settled = False
        """Whether the list was compared with the list of a coordinator that was not settling."""
        self._proven_at: Instant | None = None
        self._answered_at: Instant | None = None
        self._controls: dict[Address, None] = {}
        """Addresses of control daemons that were reported; the latest is last."""
        self._peer_addresses: tuple[Address, ...] = ()
        self._failed_at: dict[Address, Instant] = {}
        self._epoch = Epoch(0)
        self._latest_version = BundleVersion(0)
        self._primary: Address | None = None
        self._version_source: Callable[[], BundleVersion] = lambda: BundleVersion(0)
        self._change_callbacks: list[Callable[[], None]] = []
        self._update_callbacks: list[UpdateCallback] = []
        self._lost_callbacks: list[Callable[[], None]] = []
        self._had_session = False
        self._proof_is_old = False
        self._coordinator_is_isolated = False
        self._more = False
        """Whether the coordinator has more changes than it included in its answer."""
        self._task: Task | None = None
        self._rebalance_at = Instant(0.0)
        self._view = NamedView(self._list)
        messenger.on_call(KnownControlsRequest, self._on_ask_known_controls)
        messenger.on_post(KnownControls, self._on_controls_announced)

    # -- wiring

    def report_version(self, in_force: Callable[[], BundleVersion]) -> None:
        """Sets the function that returns the bundle version to report in heartbeats."""
        self._version_source = in_force

    def on_update(self, callback: UpdateCallback) -> None:
        """Registers a callback for the update in each heartbeat answer.

        It receives the update and the local clock's time before the heartbeat was sent.
        """
        self._update_callbacks.append(callback)

    def on_session_lost(self, callback: Callable[[], None]) -> None:
        """Registers a callback for an answer that says that others have seen this daemon leave since the last one."""
        self._lost_callbacks.append(callback)

    def use_seeds(self, seeds: Sequence[Address]) -> None:
        """Replaces the seeds; addresses that were learned since the start are retained."""
        self._seeds = tuple(seeds)

    def start(self) -> None:
        self._rebalance_at = Instant(self._context.clock.monotonic() + self._times.rebalance_interval)
        self._task = self._context.tasks.spawn("membership session", self._maintain_session())

    def stop(self) -> None:
        """Ends the session at once, so that others need not wait for the session timeout."""
        if self._task is not None:
            self._task.cancel()
        if self._coordinator is not None:
            self._messenger.post(self._coordinator, EndSession())

    # -- Membership

    def members(self) -> Sequence[Identity]:
        return self._view.members()

    def routers(self) -> Sequence[Identity]:
        return self._view.of_role("router")

    def controls(self) -> Sequence[Identity]:
        return self._view.of_role("control")

    def is_member(self, incarnation: Incarnation) -> bool:
        return incarnation in self._list

    def session_proven_at(self) -> Instant | None:
        return self._proven_at

    def on_change(self, callback: Callable[[], None]) -> None:
        self._change_callbacks.append(callback)

    # -- for health, operators' calls and distribution

    def primary_address(self) -> Address | None:
        """Returns the internal address of the presumed primary according to the latest update."""
        return self._primary

    def epoch(self) -> Epoch:
        """Returns the latest known epoch."""
        return self._epoch

    def known_controls(self) -> list[Address]:
        """Returns the control members first, then other known control daemons (latest first), then the seeds."""
        live = [member.internal for member in self.controls()]
        return list(dict.fromkeys([*live, *reversed(self._controls), *self._seeds]))

    def peer_addresses(self) -> list[Address]:
        """Returns the internal addresses of other routers; also works before the first session."""
        known = [member.internal for member in self.routers()] or list(self._peer_addresses)
        return [address for address in known if address != self._identity.internal]

    def coordinator(self) -> Address | None:
        return self._coordinator

    # -- the session

    async def _maintain_session(self) -> None:
        clock = self._context.clock
        while True:
            asked = clock.monotonic()
            if await self._heartbeat():
                pace = self._times.heartbeat_interval / (4.0 if self._more else 2.0 if self._proof_is_old else 1.0)
                pause = pace * (0.8 + 0.2 * self._context.random.random())
            else:
                await self._ask_peers()
                pause = self._times.retry_pause * (0.8 + 0.4 * self._context.random.random())
            await clock.sleep(Seconds(max(0.02, asked + pause - clock.monotonic())))

    async def _heartbeat(self, again: bool = True) -> bool:
        """Sends one heartbeat, to the next coordinator when one fails; returns False when none of those tried answers.

        After a period without answers, the first heartbeat only shows the coordinator that answers arrive; the second
        one renews the session.
        """
        for address in self._candidates():
            asked = self._context.clock.monotonic()
            position = self._position if address == self._coordinator else None
            last_answer_age = None if self._answered_at is None else Seconds(asked - self._answered_at)
            outcome = await self._messenger.call(
                address,
                Heartbeat(position, self._version_source(), self._epoch, last_answer_age),
                HeartbeatAnswer,
                self._times.answer_timeout,
            )
            match outcome:
                case Success(answer):
                    await self._apply_answer(address, answer, asked)
                    late = (
                        not answer.admitted
                        or last_answer_age is None
                        or last_answer_age > self._times.session_timeout / 2
                    )
                    return await self._heartbeat(again=False) if late and again else True
                case _:
                    if outcome.failure().kind == "rejected":
                        await self._ask_known_controls(address)
                    late = self._context.clock.monotonic() - asked > 2 * self._times.answer_timeout
                    if late and outcome.failure().kind == "timeout":
                        return False  # This process was suspended; the coordinator may be well.
                    self._failed_at[address] = self._context.clock.monotonic()
                    if address == self._coordinator:
                        self._context.log.event("session-keeper-silent", keeper=address, kind=outcome.failure().kind)
                        self._coordinator = None
        return False

    def _candidates(self) -> Iterator[Address]:
        """Yields the current coordinator, then a few others.

        When a rebalance is due or the current coordinator is isolated, the order of ``_order`` applies from the start.
        """
        now = self._context.clock.monotonic()
        present = self._coordinator
        if present is not None and now < self._rebalance_at and not self._coordinator_is_isolated:
            yield present
        else:
            self._rebalance_at = Instant(
                now + self._times.rebalance_interval * (0.8 + 0.4 * self._context.random.random())
            )
            if present is not None and self._coordinator_is_isolated:
                self._failed_at[present] = now
            present = None
        yield from (address for address in self._order()[:COORDINATORS_TRIED_PER_HEARTBEAT] if address != present)

    def _order(self) -> list[Address]:
        """Returns the coordinators to try: control members of this zone, other control members, then other addresses.

        Those that failed are last, the latest failure at the end.
        """
        own_name = self._identity.name
        controls = self.controls()
        near = [member.internal for member in controls if member.zone == self._identity.zone]
        far = [member.internal for member in controls if member.zone != self._identity.zone]
        rest = [address for address in (*self._controls, *self._seeds) if address not in near and address not in far]
        suited = [
            address
            for group in (near, far, rest)
            for address in ranked(f"keeper/{own_name}", dict.fromkeys(group), str)
            if address != self._identity.internal
        ]
        now = self._context.clock.monotonic()
        self._failed_at = {
            address: at for address, at in self._failed_at.items() if now - at < self._times.rebalance_interval
        }
        suited.sort(key=lambda address: self._failed_at.get(address, float("-inf")))
        return suited

    async def _apply_answer(self, address: Address, answer: HeartbeatAnswer, asked: Instant) -> None:
        changed_coordinator, self._coordinator = self._coordinator != address, address
        self._failed_at.pop(address, None)
        self._record_control(address)
        if not answer.was_member and answer.admitted and self._had_session and not answer.settling:
            self._context.log.event("session-lost", keeper=address)
            for lost in self._lost_callbacks:
                lost()
        self._had_session |= answer.admitted
        if changed_coordinator:
            self._context.log.event("session-held", keeper=address, was_member=answer.was_member)
            self._settled = False
        self._answered_at = asked
        if answer.admitted:
            self._proven_at = asked
        update = answer.update
        self._epoch = max(self._epoch, update.epoch)
        self._latest_version = max(self._latest_version, update.latest_version, update.proof_version)
        self._proof_is_old = update.proof_age is None or update.proof_age > 2 * self._times.heartbeat_interval
        if update.primary is not None:
            self._primary = update.primary
        for callback in self._update_callbacks:
            callback(update, asked)
        changed = False
        if answer.incremental:
            for member in answer.joined:
                changed |= self._put(member)
            for incarnation in () if answer.settling else answer.left:
                changed |= self._list.drop(incarnation)
        self._position = answer.position
        self._coordinator_is_isolated = answer.isolated
        self._more = answer.more and answer.incremental
        if self._list.digest == answer.digest:
            self._settled = not answer.settling
        elif not self._more and (not answer.settling or not answer.incremental):
            changed |= await self._compare(address, answer.size)
        if changed:
            self._notify_change()

    async def _compare(self, address: Address, size: int) -> bool:
        """Makes the local list more like the coordinator's, by transferring the buckets that differ.

        While the coordinator is settling, members are only added.
        """
        count = bucket_count(max(size, len(self._list)))
        outcome = await self._messenger.call(
            address, CompareMembers(self._list.buckets(count)), MembersCompared, Seconds(2 * self._times.answer_timeout)
        )
        if not isinstance(outcome, Success):
            self._position = None
            return False
        compared = outcome.unwrap()
        listed = {member.incarnation for member in compared.members}
        changed = False
        if not compared.settling:
            for identity in self._list.in_buckets(compared.buckets, count):
                if identity.incarnation not in listed:
                    changed |= self._list.drop(identity.incarnation)
        for member in compared.members:
            changed |= self._put(member)
        self._position = None if compared.more else compared.position
        self._more = compared.more
        self._settled = not compared.settling and not compared.more
        return changed

    def _put(self, member: Member) -> bool:
        identity = identity_of(member)
        if identity.role == "control":
            self._record_control(identity.internal)
        return self._list.put(identity)

    def _notify_change(self) -> None:
        for callback in self._change_callbacks:
            callback()

    # -- finding control daemons

    def _record_control(self, address: Address) -> None:
        self._controls.pop(address, None)
        self._controls[address] = None
        while len(self._controls) > MAX_CONTROL_ADDRESSES:
            del self._controls[next(iter(self._controls))]

    async def _ask_known_controls(self, address: Address) -> KnownControls | None:
        outcome = await self._messenger.call(address, KnownControlsRequest(), KnownControls, self._times.answer_timeout)
        if not isinstance(outcome, Success):
            return None
        known: KnownControls = outcome.unwrap()
        self._epoch = max(self._epoch, known.epoch)
        self._latest_version = max(self._latest_version, known.version)
        for control in known.controls:
            if control not in self._controls:
                self._record_control(control)
        if known.peers:
            self._peer_addresses = known.peers
        return known

    def _on_controls_announced(self, peer: Identity, message: KnownControls) -> None:
        """Handles the announcement of a control daemon that has this daemon in its address book.

        The announcing daemon counts as the latest known one.
        """
        if peer.role == "control":
            for control in reversed(message.controls):
                self._record_control(control)

    async def _ask_peers(self) -> None:
        """Asks other routers for control daemons at other addresses, after no coordinator has answered."""
        peers = self.peer_addresses()
        for address in self._context.random.sample(peers, min(PEERS_ASKED_PER_ROUND, len(peers))):
            await self._ask_known_controls(address)

    async def _on_ask_known_controls(self, peer: Identity, message: KnownControlsRequest) -> KnownControls:
        live = [member.internal for member in self.controls()]
        controls = list(dict.fromkeys([*live, *reversed(self._controls)]))
        peers = [member.internal for member in self.routers() if member.incarnation != peer.incarnation]
        return KnownControls(
            tuple(controls[:64]),
            tuple(peers[:MAX_PEERS_PER_ANSWER]),
            self._epoch,
            max(self._latest_version, self._version_source()),
        )
