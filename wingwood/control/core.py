"""One control daemon's part in the control core (docs/DESIGN.md section 7)."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Mapping, Sequence
from typing import Any, Literal, TypeVar

import msgspec
from returns.result import Failure, Result, Success
from tornado.queues import Queue

from ..context.protocols import Context
from ..identifiers import Address, Epoch, Incarnation, Instant, Seconds
from ..journal import JournalFault
from ..transport.frames import Identity
from ..transport.messenger import Messenger
from .limits import ControlLimits
from .messages import (
    ControlAccept,
    ControlAccepted,
    ControlCanvass,
    ControlCommand,
    ControlCommitted,
    ControlConfirm,
    ControlConfirmed,
    ControlDecision,
    ControlGiveWay,
    ControlGrant,
    ControlHeartbeat,
    ControlHeartbeatAnswer,
    ControlJoin,
    ControlJoined,
    ControlLeader,
    ControlPromise,
    ControlReplicate,
    ControlReplicated,
    ControlStanding,
    ControlStatePiece,
    ControlWhoLeads,
    Promise,
    Seat,
    SnapshotEntry,
    StateRecord,
    View,
)
from .protocols import Applier, NotDecided, PreparingApplier, SubmitOrder, ViewReport
from .relay import pass_on
from .replica import Replica
from .store import Contents, ControlStore, decode_batch, encode_batch

Reply = TypeVar("Reply", bound=msgspec.Struct)
Answer = Result[msgspec.Struct, NotDecided]


class _Command:
    """A command that waits in the queue, then for its batch."""

    __slots__ = ("answer", "command", "deadline", "kind", "taken")

    def __init__(self, kind: str, command: msgspec.Struct, deadline: Instant) -> None:
        self.kind = kind
        self.command = command
        self.deadline = deadline
        self.taken = False
        self.answer: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()


class _Lead:
    """The primary's own knowledge while it leads; a change of view by itself keeps it."""

    def __init__(self, view: View, now: Instant) -> None:
        self.view = view
        self.since = now
        self.in_sync = False
        """The view has the wanted backups, and none of them failed since."""
        self.settled = False
        """What is committed is known exactly, not only from below (after a take-over: once the backups are there)."""
        self.confirmed = now
        """By when a majority, counting us, had answered under our epoch to calls begun after it."""
        self.accepted: dict[Incarnation, Instant] = {}
        """When the newest call to a member began that it answered under our epoch."""
        self.current: dict[Incarnation, Epoch] = {}
        """Under which view a member last answered that knew it to be chosen."""
        self.synced: dict[Incarnation, int] = {}
        """Newest batch that a backup is known to have on its disk, all taken from us."""
        self.answered: dict[Incarnation, Instant] = {}
        """When the newest answered call to a healthy member began."""
        self.failed: dict[Incarnation, Instant] = {}
        """When a member last failed as backup."""
        self.failing: set[Incarnation] = set()
        """Backups of this view that left a batch undone."""
        self.outbid = False
        """A member promised a higher epoch, so it follows again only under a newer one."""
        self.gone: set[Incarnation] = set()
        """Members whose address is used by another incarnation now."""
        self.spares: dict[Incarnation, tuple[Seat, Instant]] = {}
        self.pending: list[tuple[_Command, msgspec.Struct]] = []
        """A batch that is journaled here but not at all backups."""
        self.batch = asyncio.Lock()
        """Held while a batch runs or the view changes."""
        self.changing = False
        self.calls: set[Incarnation] = set()
        """Members with a heartbeat under way."""
        self.next_call: dict[Incarnation, Instant] = {}

    def note_accepted(self, member: Incarnation, begun: Instant) -> None:
        """A member answered under our epoch to a call that began then."""
        self.accepted[member] = max(begun, self.accepted.get(member, begun))
        needed = len(self.view.members) // 2
        times = sorted((at for who, at in self.accepted.items() if self.view.seat(who) is not None), reverse=True)
        if needed and len(times) >= needed:
            self.confirmed = max(self.confirmed, times[needed - 1])


class ReplicatedCore:
    """Primary, backup or witness, as the views have it; a ``ControlCore``.

    ``store`` and ``contents`` come from ``open_store``; the messenger's identity must carry
    ``store.incarnation``. ``knows_of_history`` says whether any daemon known here has seen a bundle or
    an epoch. ``other_controls`` gives further internal addresses of control daemons. When the data folder is
    emptied under the process, ``on_data_lost`` is called, or the process is stopped. ``losses_borne``: how many
    members may be lost at once; so many backups and twice as many members and one are wanted (section 7.1).
    """

    def __init__(
        self,
        context: Context,
        messenger: Messenger,
        store: ControlStore,
        contents: Contents,
        appliers: Sequence[Applier],
        seeds: Sequence[Address],
        knows_of_history: Callable[[], bool] = lambda: False,
        other_controls: Callable[[], Sequence[Address]] = lambda: (),
        limits: ControlLimits | None = None,
        on_data_lost: Callable[[], None] | None = None,
        losses_borne: int = 1,
    ) -> None:
        if messenger.identity.incarnation != store.incarnation:
            raise ValueError("the messenger's identity must carry the store's incarnation")
        self._context = context
        self._messenger = messenger
        self._store = store
        self._replica = Replica(appliers, contents)
        self._seeds = tuple(sorted(seeds))
        """In the same order everywhere, whatever the order in the settings."""
        self._knows_of_history = knows_of_history
        self._other_controls = other_controls
        self._limits = limits or ControlLimits()
        self._on_data_lost = on_data_lost
        self._backups_wanted = losses_borne
        self._members_wanted = 2 * losses_borne + 1
        self._command_types: dict[str, Any] = {
            applier.kind: getattr(applier, "command_type", SubmitOrder) for applier in appliers
        }
        identity = messenger.identity
        self._seat = Seat(store.incarnation, identity.name, identity.internal)
        self._me = store.incarnation
        self._lock = asyncio.Lock()
        """Held for each use of the store."""
        self._sick: str | None = None
        """Why the store may not be used; ends with a reload."""
        self._stale = False
        """The replica must be loaded from the journal before it may be used."""
        self._lead: _Lead | None = None
        self._known = store.view
        self._highest_epoch = store.promise.epoch
        self._gave_way: Epoch | None = None
        self._last_received: tuple[Epoch, int] | None = None
        """(epoch, before) of the newest batch journaled as backup."""
        self._pieces: tuple[tuple[Incarnation, Epoch, int], dict[int, bytes]] | None = None
        self._taken = (Incarnation(""), Epoch(0), 0)
        """Sender, epoch and number of the newest state taken; an older one may arrive late."""
        self._transfers = 0
        self._candidate = False
        self._stopped = False
        now = context.clock.monotonic()
        self._heard = Instant(now - 0.4 * self._limits.silence)
        self._not_before = now
        """No candidacy before this."""
        self._rewriting = False
        self._rewrite_not_before = now
        self._commands: Queue[_Command] = Queue(self._limits.waiting)
        self._turn = asyncio.Event()
        """Something changed for the runner of commands."""
        self._proofs: list[asyncio.Future[bool]] = []
        self._proof_asked = asyncio.Event()
        self._on_change: list[Callable[[], None]] = []

    # -- what the other slices see

    def leads(self) -> bool:
        lead = self._lead
        return lead is not None and self._now() - lead.confirmed < self._limits.lead_unconfirmed

    def epoch(self) -> Epoch:
        return self._known.epoch if self._known is not None else Epoch(0)

    def primary_address(self) -> Address | None:
        seat = self._known.seat(self._known.primary) if self._known is not None else None
        return seat.address if seat is not None else None

    def control_addresses(self) -> Sequence[Address]:
        """Of all control daemons known here, the presumed primary first."""
        addresses = [self.primary_address()]
        addresses += [seat.address for seat in (self._known.members if self._known is not None else ())]
        addresses += [*self._seeds, *self._other_controls()]
        return tuple(dict.fromkeys(address for address in addresses if address is not None))

    def on_change(self, callback: Callable[[], None]) -> None:
        self._on_change.append(callback)

    def on_commit(self, callback: Callable[[], None]) -> None:
        """Called on primary and backup when the appliers hold exactly the committed state, after each advance."""
        self._replica.on_commit(callback)

    def report(self) -> ViewReport:
        lead, view = self._lead, self._known
        role: Literal["primary", "backup", "witness", "spare", "candidate"]
        if lead is not None:
            role = "primary"
        elif view is None or view.seat(self._me) is None:
            role = "spare"
        elif self._candidate:
            role = "candidate"
        else:
            role = "backup" if self._me in view.backups else "witness"
        accepts = lead is not None and self._accepts(lead) and self.leads()
        complete = lead is not None and accepts and all(self._follows(lead, seat) for seat in self._others(lead.view))
        detail = f"disk: {self._sick}" if self._sick is not None else ""
        if lead is not None and not complete:
            missing = [str(seat.name) for seat in self._others(lead.view) if not self._live(lead, seat)]
            short = self._members_wanted - len(lead.view.members)
            detail = "; ".join(
                part
                for part in (
                    detail,
                    "too few backups in sync" if not lead.in_sync else "",
                    f"{short} more members with a disk are wanted" if short > 0 else "",
                    f"not answering: {', '.join(missing)}" if missing else "",
                )
                if part
            )
        return ViewReport(
            epoch=self.epoch(),
            own_role=role,
            primary=view.primary if view is not None else None,
            backups=view.backups if view is not None else (),
            members=view.incarnations() if view is not None else (),
            accepts_orders=accepts,
            complete=complete,
            detail=detail,
        )

    async def decide(self, kind: str, command: msgspec.Struct, patience: Seconds | None = None) -> Answer:
        """As in the protocol; ``patience`` may shorten the bound of the wait."""
        if not self.leads():
            return Failure(NotDecided("not-leading", self._other_primary()))
        bound = self._limits.decide if patience is None else min(patience, self._limits.decide)
        waiting = _Command(kind, command, Instant(self._now() + bound))
        if self._commands.full():
            return Failure(NotDecided("busy", detail="too many commands wait"))
        self._commands.put_nowait(waiting)
        try:
            async with asyncio.timeout(bound):
                answer = await waiting.answer
        except TimeoutError:
            answer = self._undecided(waiting, "no answer in time")
        if isinstance(answer, Success) and self._now() > waiting.deadline:
            return Failure(NotDecided("unknown", detail="decided too late"))
        return answer

    async def prove_lead(self) -> bool:
        if self._lead is None:
            return False
        asked: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._proofs.append(asked)
        self._proof_asked.set()
        try:
            async with asyncio.timeout(self._limits.proof):
                return await asked
        except TimeoutError:
            return False

    # -- life

    def start(self) -> None:
        messenger = self._messenger
        messenger.on_call(ControlCanvass, self._on_canvass)
        messenger.on_call(ControlPromise, self._on_promise)
        messenger.on_call(ControlAccept, self._on_accept)
        messenger.on_call(ControlHeartbeat, self._on_heartbeat)
        messenger.on_call(ControlReplicate, self._on_replicate)
        messenger.on_call(ControlStatePiece, self._on_state_piece)
        messenger.on_call(ControlConfirm, self._on_confirm)
        messenger.on_call(ControlJoin, self._on_join)
        messenger.on_call(ControlCommand, self._on_command)
        messenger.on_call(ControlWhoLeads, self._on_who_leads)
        messenger.on_post(ControlCommitted, self._on_committed)
        messenger.on_post(ControlGiveWay, self._on_give_way)
        spawn = self._context.tasks.spawn
        spawn("control follow", self._follow())
        spawn("control commands", self._run_commands())
        spawn("control proofs", self._run_proofs())
        spawn("control disk check", self._check_disk())

    def give_way(self) -> None:
        """Before a wanted stop: stops leading and asks the others to take over at once."""
        self._stopped = True
        if self._lead is not None:
            self._step_down("stopping")

    # -- small helps

    def _now(self) -> Instant:
        return self._context.clock.monotonic()

    def _log(self, name: str, **fields: object) -> None:
        self._context.log.event(name, **fields)

    def _changed(self) -> None:
        self._turn.set()
        for callback in self._on_change:
            callback()

    def _note_view(self, view: View | None) -> None:
        if view is None:
            return
        self._highest_epoch = max(self._highest_epoch, view.epoch)
        if view.supersedes(self._known):
            self._known = view
            self._changed()

    def _other_primary(self) -> Address | None:
        address = self.primary_address()
        return None if address == self._seat.address else address

    def _others(self, view: View) -> list[Seat]:
        return [seat for seat in view.members if seat.incarnation != self._me]

    def _live(self, lead: _Lead, seat: Seat) -> bool:
        answered = lead.answered.get(seat.incarnation)
        return answered is not None and self._now() - answered < self._limits.member_silent

    def _follows(self, lead: _Lead, seat: Seat) -> bool:
        """It is live and knows our view to be chosen, so it can go on without us and without former members."""
        return self._live(lead, seat) and lead.current.get(seat.incarnation) == lead.view.epoch

    def _accepts(self, lead: _Lead) -> bool:
        return lead.in_sync and len(lead.view.members) >= self._members_wanted

    async def _ask(
        self, seat: Seat, message: msgspec.Struct, reply_type: type[Reply], timeout: Seconds | None = None
    ) -> Reply | None:
        """The answer of exactly that incarnation, or None."""
        outcome = await self._messenger.call(seat.address, message, reply_type, timeout or self._limits.call)
        match outcome:
            case Success(found) if getattr(found, "by", None) == seat.incarnation:
                reply: Reply = found
                return reply
        return None

    async def _gather(
        self,
        work: Sequence[Coroutine[Any, Any, Reply | None]],
        enough: Callable[[list[Reply]], bool],
        patience: Seconds,
        linger: Seconds = Seconds(0.0),  # noqa: B008
    ) -> list[Reply]:
        """Answers in the order of coming, until there are enough (then ``linger`` longer) or all are in."""
        answers: list[Reply] = []
        loop = asyncio.get_running_loop()
        left = [loop.create_task(one) for one in work]
        end = self._now() + patience
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

    # -- the store: sickness and healing

    def _fail_store(self, fault: JournalFault) -> None:
        """Nothing is promised, accepted or acknowledged until the journal was read back (section 7.6)."""
        if self._sick is None:
            self._log("control-disk-sick", kind=fault.kind, detail=fault.detail)
        self._sick = f"{fault.kind} {fault.detail}"
        self._stale = True
        if self._lead is not None:
            self._step_down(f"own disk: {fault.kind}")
        self._changed()

    async def _heal(self) -> bool:
        """Under the lock. Reads the journal back, and shows with a probe that it takes writes."""
        if self._sick is None and not self._stale:
            return True
        match await self._store.reload(Seconds(5.0)):
            case Failure(fault):
                self._unreadable(fault)
                return False
            case Success(contents):
                pass
        if self._sick is not None:
            match await self._store.probe():
                case Failure(fault):
                    self._sick = f"{fault.kind} {fault.detail}"
                    return False
            self._log("control-disk-healed", sequence=self._store.sequence)
        self._replica.load(contents)
        self._sick, self._stale = None, False
        self._changed()
        return True

    def _unreadable(self, fault: JournalFault) -> None:
        self._sick = f"{fault.kind} {fault.detail}"
        if fault.kind == "missing":
            self._log("control-data-lost", detail="the data folder was emptied under this process")
            if self._on_data_lost is not None:
                self._on_data_lost()
            else:
                self._context.tasks.stop_process("the data folder was emptied under this process")
        elif fault.kind == "damaged":
            self._log("journal-damaged", offset=fault.offset, detail=fault.detail)
            self._context.tasks.stop_process(f"the control journal is damaged at byte {fault.offset}")

    async def _check_disk(self) -> None:
        while not self._stopped:
            await self._context.clock.sleep(self._limits.check)
            async with self._lock:
                if self._sick is None:
                    match await self._store.journal.check():
                        case Failure(fault):
                            self._fail_store(fault)
                            if fault.kind == "missing":
                                self._unreadable(fault)

    # -- a member's answers

    def _standing(self) -> ControlStanding:
        hears = self._lead is not None and self.leads()
        if self._lead is None and self._known is not None:
            hears = self._now() - self._heard < self._limits.heard and self._gave_way != self._known.epoch
        return ControlStanding(
            by=self._me,
            seat=self._seat,
            promised=self._store.promise.epoch,
            view=self._known,
            hears_primary=hears,
            empty=not self._store.touched and self._known is None,
            knows_history=self._knows_of_history(),
        )

    async def _on_canvass(self, _: Identity, __: ControlCanvass) -> ControlStanding:
        return self._standing()

    async def _on_promise(self, _: Identity, message: ControlPromise) -> ControlGrant:
        async with self._lock:
            granted = await self._promise(message)
            store = self._store
            return ControlGrant(
                self._me, granted, store.promise.epoch, store.view, store.sequence, empty=not store.touched
            )

    async def _promise(self, message: ControlPromise) -> bool:
        store = self._store
        if message.to != self._me or self._sick is not None or (message.forming and store.touched):
            return False
        held = store.promise
        if message.epoch < held.epoch or (message.epoch == held.epoch and message.candidate != held.candidate):
            return False
        self._highest_epoch = max(self._highest_epoch, message.epoch)
        if message.epoch > held.epoch:
            if self._lead is not None:
                self._step_down(f"promised epoch {message.epoch} to another")
            match await store.promised(Promise(message.epoch, message.candidate), message.forming):
                case Failure(fault):
                    self._fail_store(fault)
                    return False
        self._put_off_candidacy()
        return True

    def _put_off_candidacy(self) -> None:
        self._not_before = Instant(self._now() + self._context.random.uniform(0.4, 0.7))

    async def _on_accept(self, _: Identity, message: ControlAccept) -> ControlAccepted:
        if message.to != self._me:
            # We are a new incarnation at a member's address; this tells us whom to ask for the seat.
            self._note_view(message.view)
            return ControlAccepted(self._me, False, self._store.promise.epoch)
        async with self._lock:
            accepted = await self._accept(message.view)
            return ControlAccepted(self._me, accepted, self._store.promise.epoch, self._store.sequence)

    async def _accept(self, view: View) -> bool:
        store = self._store
        if self._sick is not None:
            return False
        held = store.promise
        if view.epoch < held.epoch or (view.epoch == held.epoch and view.primary != held.candidate):
            return False
        if view.supersedes(store.view):
            if self._lead is not None:
                self._step_down(f"accepted epoch {view.epoch} of another")
            known = store.view
            match await store.accepted(view):
                case Failure(fault):
                    self._fail_store(fault)
                    return False
            if known is None or known.epoch != view.epoch:
                self._last_received = None
            self._log("view-accepted", epoch=view.epoch, primary=view.primary, backups=",".join(view.backups))
        self._heard = self._now()
        self._note_view(view)
        return True

    async def _on_heartbeat(self, _: Identity, message: ControlHeartbeat) -> ControlHeartbeatAnswer:
        store, view = self._store, self._store.view
        if message.to != self._me:
            return ControlHeartbeatAnswer(self._me, False, store.promise.epoch, False)
        accepted = view is not None and view.epoch == store.promise.epoch == message.epoch
        if accepted or store.promise.candidate == message.primary:
            self._heard = self._now()
        if accepted:
            self._take_commit(message.epoch, message.committed)
        settled = view is not None and not view.former
        return ControlHeartbeatAnswer(self._me, accepted, store.promise.epoch, self._sick is None, settled)

    def _take_commit(self, epoch: Epoch, committed: int) -> None:
        view = self._store.view
        if view is None or view.epoch != epoch or self._me not in view.backups:
            return
        if self._sick is not None or self._stale:
            return
        if committed <= self._store.sequence:
            self._replica.commit(committed)

    def _on_committed(self, _: Identity, message: ControlCommitted) -> None:
        if message.to == self._me:
            self._take_commit(message.epoch, message.committed)

    async def _on_replicate(self, _: Identity, message: ControlReplicate) -> ControlReplicated:
        if message.to != self._me:
            return ControlReplicated(self._me, False, self._store.promise.epoch, "another incarnation")
        async with self._lock:
            refusal = await self._replicate_here(message)
            if refusal is None:
                self._heard = self._now()
                self._take_commit(message.epoch, message.committed)
                self._rewrite_later(1.5)
            return ControlReplicated(self._me, refusal is None, self._store.promise.epoch, refusal or "")

    async def _replicate_here(self, message: ControlReplicate) -> str | None:
        store, view = self._store, self._store.view
        if self._sick is not None or self._stale:
            return f"sick: {self._sick}"
        if message.epoch < store.promise.epoch:
            return "promised a higher epoch"
        if view is None or view.epoch != message.epoch or self._me not in view.backups:
            return "not a backup under this epoch"
        if message.entry and self._last_received == (message.epoch, message.before):
            return None
        if message.before != store.sequence:
            return f"has batch {store.sequence}"
        if message.entry:
            match await store.append_batch(message.entry, message.before + 1):
                case Failure(fault):
                    self._fail_store(fault)
                    return f"sick: {fault.kind}"
            self._last_received = (message.epoch, message.before)
            self._replica.receive(decode_batch(message.entry))
        return None

    async def _on_state_piece(self, _: Identity, message: ControlStatePiece) -> ControlReplicated:
        if message.to != self._me:
            return ControlReplicated(self._me, False, self._store.promise.epoch, "another incarnation")
        refusal = await self._take_piece(message)
        return ControlReplicated(self._me, refusal is None, self._store.promise.epoch, refusal or "")

    async def _take_piece(self, message: ControlStatePiece) -> str | None:
        mark = (message.sender, message.epoch, message.transfer)
        if self._taken[:2] == mark[:2] and message.transfer < self._taken[2]:
            return "a newer state was taken"
        if self._pieces is None or self._pieces[0] != mark:
            self._pieces = (mark, {})
        pieces = self._pieces[1]
        pieces[message.index] = message.data
        if len(pieces) < message.count:
            return None
        self._pieces = None
        data = b"".join(pieces[index] for index in range(message.count))
        async with self._lock:
            store = self._store
            if self._sick is not None:
                return f"sick: {self._sick}"
            if self._taken[:2] == mark[:2] and message.transfer < self._taken[2]:
                return "a newer state was taken"
            held = store.promise
            if message.epoch < held.epoch or (message.epoch == held.epoch and message.sender != held.candidate):
                return "promised another epoch"
            if self._lead is not None:
                self._step_down(f"takes the state of epoch {message.epoch}")
            contents = Contents(msgspec.msgpack.decode(data, type=SnapshotEntry), [])
            promise = Promise(message.epoch, message.sender)
            match await store.rewrite(lambda: contents, self._limits.rewriting(len(data)), promise):
                case Failure(fault):
                    self._fail_store(fault)
                    return f"sick: {fault.kind}"
            self._taken = mark
            self._replica.load(contents)
            self._stale = False
            self._last_received = None
            self._heard = self._now()
            self._log("state-taken", epoch=message.epoch, sequence=store.sequence, bytes=len(data))
            return None

    async def _on_confirm(self, _: Identity, message: ControlConfirm) -> ControlConfirmed:
        promised = self._store.promise.epoch
        holds = message.to == self._me and self._sick is None and promised <= message.epoch
        return ControlConfirmed(self._me, holds, promised)

    def _on_give_way(self, _: Identity, message: ControlGiveWay) -> None:
        if self._known is not None and self._known.primary == message.primary and self._known.epoch <= message.epoch:
            self._gave_way = self._known.epoch

    async def _on_join(self, _: Identity, message: ControlJoin) -> ControlJoined:
        lead = self._lead
        if lead is not None:
            seat = message.seat
            if seat.incarnation not in lead.spares:
                self._log("spare-seen", name_of_spare=seat.name, incarnation=seat.incarnation, address=seat.address)
            lead.spares[seat.incarnation] = (seat, self._now())
            for member in self._others(lead.view):
                if member.address == seat.address and member.incarnation != seat.incarnation:
                    lead.gone.add(member.incarnation)
        return ControlJoined(self._known)

    async def _on_who_leads(self, _: Identity, __: ControlWhoLeads) -> ControlLeader:
        return ControlLeader(self.primary_address(), tuple(self.control_addresses()), self.epoch())

    async def _on_command(self, _: Identity, message: ControlCommand) -> ControlDecision:
        primary = self._other_primary()
        if self._lead is None and message.hops > 0 and primary is not None:
            return await pass_on(self._messenger, primary, message)
        command_type = self._command_types.get(message.kind)
        if command_type is None:
            return ControlDecision(fault=NotDecided("not-leading", detail=f"no state of kind {message.kind!r} here"))
        try:
            command = msgspec.msgpack.decode(message.command, type=command_type)
        except msgspec.MsgspecError as malformed:
            return ControlDecision(fault=NotDecided("not-leading", detail=f"malformed command: {malformed}"))
        applier = self._replica.appliers[message.kind]
        if isinstance(applier, PreparingApplier) and self.leads():
            await applier.prepare(command)
        match await self.decide(message.kind, command, message.budget):
            case Success(reply):
                return ControlDecision(reply=msgspec.msgpack.encode(reply), primary=self._seat.address)
            case Failure(fault):
                return ControlDecision(fault=fault)
        raise AssertionError("a result is a success or a failure")

    # -- one who does not lead

    async def _follow(self) -> None:
        """Wanted: a live primary that we hear, or a seat, or the lead. Works out what is missing."""
        joined = healed = looked = Instant(0.0)
        while not self._stopped:
            lay_down = self._now()
            await self._context.clock.sleep(self._limits.tick)
            now = self._now()
            if now - lay_down > self._limits.silence:
                self._woke(now)
            if self._lead is not None:
                self._tend(self._lead)
                continue
            if self._sick is not None or (self._stale and now >= self._not_before):
                if now - healed >= self._limits.heal or self._sick is None:
                    healed = now
                    async with self._lock:
                        await self._heal()
                continue
            known = self._known
            if (known is None or known.seat(self._me) != self._seat) and now - joined >= self._limits.join:
                joined = now
                await self._join()
                if self._known is None and not self._store.touched and self._seeds[:1] == (self._seat.address,):
                    await self._form()
            if known is None or known.seat(self._me) is None:
                continue
            silent = now - self._heard >= self._silence_borne(known)
            if silent and now >= self._not_before and now - looked >= self._limits.look:
                if await self._may_stand(known):
                    await self._take_over()
                looked = self._now()

    def _woke(self, now: Instant) -> None:
        """We were frozen: the silence of the others was ours. (Whether we lead is judged by answers alone.)"""
        self._heard = max(self._heard, Instant(now - 0.5 * self._limits.silence))
        lead = self._lead
        if lead is not None:
            lead.since = now
            lead.answered = dict.fromkeys(lead.answered, now)
            lead.spares.clear()

    def _silence_borne(self, view: View) -> float:
        """The backups try first, one after another, then other holders; a witness only looks for newer views."""
        rank = view.backups.index(self._me) if self._me in view.backups else None
        if self._gave_way == view.epoch:
            return (0.3 if rank is None else min(0.15 * rank, 0.3)) * self._limits.silence
        if rank is not None:
            return min(1.0 + 0.15 * rank, 1.4) * self._limits.silence
        if view.primary == self._me:
            return 1.2 * self._limits.silence if len(view.backups) < 2 else 1.3 * self._limits.silence
        return 1.4 * self._limits.silence

    async def _canvass(self, addresses: Sequence[Address]) -> list[ControlStanding]:
        async def ask(address: Address) -> ControlStanding | None:
            match await self._messenger.call(address, ControlCanvass(), ControlStanding, self._limits.call):
                case Success(found):
                    standing: ControlStanding = found
                    return standing
            return None

        standings = await self._gather(
            [ask(address) for address in addresses if address != self._seat.address],
            lambda answers: False,
            self._limits.call,
        )
        return sorted(standings, key=lambda standing: standing.seat)

    async def _may_stand(self, view: View) -> bool:
        """Whether a majority of the newest known view's members does not hear its primary either."""

        async def ask(seat: Seat) -> ControlStanding | None:
            return await self._ask(seat, ControlCanvass(), ControlStanding)

        def deaf(answers: list[ControlStanding]) -> bool:
            return view.majority({self._me, *(answer.by for answer in answers if not answer.hears_primary)})

        answers = await self._gather([ask(seat) for seat in self._others(view)], deaf, self._limits.call)
        for answer in answers:
            self._highest_epoch = max(self._highest_epoch, answer.promised)
            self._note_view(answer.view)
        newest = self._store.view
        return (
            self._known == view
            and newest is not None
            and self._me in newest.holders
            and deaf(answers)
            and self._sick is None
            and not self._stale
            and self._lead is None
            and self._now() - self._heard >= self._silence_borne(view)
        )

    async def _take_over(self) -> None:
        self._candidate = True
        begun = self._now()
        try:
            view = await self._stand(None)
        finally:
            self._candidate = False
        if view is None:
            self._put_off_candidacy()
            return
        self._log("take-over", epoch=view.epoch, silent_for=begun - self._heard, rounds=self._now() - begun)
        self._begin_lead(view)

    async def _join(self) -> None:
        async def ask(address: Address) -> ControlJoined | None:
            match await self._messenger.call(address, ControlJoin(self._seat), ControlJoined, self._limits.call):
                case Success(found):
                    joined: ControlJoined = found
                    return joined
            return None

        addresses = [address for address in self.control_addresses() if address != self._seat.address]
        for joined in await self._gather([ask(address) for address in addresses], lambda _: False, self._limits.call):
            self._note_view(joined.view)

    async def _form(self) -> None:
        """The first view of a new fleet (section 7.2.8): all three seeds, all empty, nobody knows of any history."""
        standings = await self._canvass(self._seeds)
        seats = {standing.seat.incarnation: standing.seat for standing in [self._standing(), *standings]}
        if len(seats) != 3 or len(self._seeds) != 3 or {s.address for s in seats.values()} != set(self._seeds):
            return
        if any(not standing.empty or standing.knows_history for standing in [self._standing(), *standings]):
            return
        members = sorted(seats.values(), key=lambda seat: self._seeds.index(seat.address))
        epoch = Epoch(max(self._highest_epoch, *(standing.promised for standing in standings)) + 1)
        async with self._lock:
            if not await self._promise(ControlPromise(self._me, self._me, epoch, forming=True)):
                return
        request = [(seat, ControlPromise(seat.incarnation, self._me, epoch, forming=True)) for seat in members[1:]]
        grants = await self._gather(
            [self._ask(seat, message, ControlGrant) for seat, message in request],
            lambda _: False,
            self._limits.call,
        )
        if sum(grant.granted and grant.empty for grant in grants) != 2:
            return
        backups = tuple(seat.incarnation for seat in members[1 : 1 + self._backups_wanted])
        view = View(epoch, self._me, backups, tuple(members), (self._me, *backups))
        if not await self._accept_round(view, everyone=True):
            return
        self._log("fleet-formed", epoch=epoch, members=",".join(seat.name for seat in members))
        self._begin_lead(view)

    # -- the two rounds

    async def _stand(self, plan: _Plan | None) -> View | None:
        """Rules 3 and 4 of section 7.2. None: not won; a higher epoch has been promised here in any case."""
        async with self._lock:
            if self._sick is not None or self._store.view is None:
                return None
            epoch = Epoch(max(self._highest_epoch, self._store.promise.epoch) + 1)
            self._highest_epoch = epoch
            match await self._store.promised(Promise(epoch, self._me), False):
                case Failure(fault):
                    self._fail_store(fault)
                    return None
            newest = self._store.view
        grants: dict[Incarnation, ControlGrant] = {}
        asked = {self._me}
        while True:
            seats = [seat for seat in newest.voters() if seat.incarnation not in asked]
            if not seats:
                break
            asked.update(seat.incarnation for seat in seats)

            def enough(answers: list[ControlGrant], view: View = newest) -> bool:
                who = {self._me, *grants, *(answer.by for answer in answers if answer.granted)}
                return view.quorum(who)

            work = [self._ask(seat, ControlPromise(seat.incarnation, self._me, epoch), ControlGrant) for seat in seats]
            for grant in await self._gather(work, enough, self._limits.call, linger=Seconds(0.1)):
                self._highest_epoch = max(self._highest_epoch, grant.promised)
                if grant.granted:
                    grants[grant.by] = grant
                    if grant.view is not None and grant.view.supersedes(newest):
                        newest = grant.view
        self._note_view(newest)
        if not newest.quorum({self._me, *grants}):
            self._log("candidacy-lost", epoch=epoch, granted=len(grants), highest=self._highest_epoch)
            return None
        if self._me not in newest.holders:
            self._log("candidacy-given-up", epoch=epoch, newest=newest.epoch, reason="not a holder of the newest view")
            return None
        if plan is None:
            longer = [
                grant for by, grant in grants.items() if by in newest.holders and grant.sequence > self._store.sequence
            ]
            if longer:
                self._log("candidacy-given-up", epoch=epoch, newest=newest.epoch, reason="another holder has more")
                self._not_before = Instant(self._now() + 1.0)
                return None
        view = View(epoch, self._me, (), newest.members, newest.holders, newest.former)
        if plan is not None and newest in plan.bases:
            view = View(epoch, self._me, plan.backups, plan.members, (self._me, *plan.backups), plan.former)
        if plan is not None:
            plan.bases.append(view)
        if not await self._accept_round(view, everyone=False):
            self._log("candidacy-lost", epoch=epoch, reason="not accepted by a majority")
            return None
        return await self._settle(view)

    def _in_sync(self, view: View, sequences: Mapping[Incarnation, int]) -> bool:
        """Each backup has what we have, or it is none: whatever became of what we sent it."""
        return all(sequences.get(backup) == self._store.sequence for backup in view.backups)

    async def _settle(self, view: View) -> View | None:
        """The view is chosen, so its former members count no longer; the others hear so with the heartbeats."""
        if not view.former:
            return view
        async with self._lock:
            if self._sick is not None or self._store.promise != Promise(view.epoch, self._me):
                return None
            match await self._store.accepted(view.settled()):
                case Failure(fault):
                    self._fail_store(fault)
                    return None
        return view.settled()

    async def _accept_round(self, view: View, everyone: bool) -> bool:
        async with self._lock:
            if self._sick is not None or self._store.promise != Promise(view.epoch, self._me):
                return False
            match await self._store.accepted(view):
                case Failure(fault):
                    self._fail_store(fault)
                    return False
        others = [seat for seat in view.voters() if seat.incarnation != self._me]

        def chosen(answers: list[ControlAccepted]) -> bool:
            accepted = {answer.by: answer.sequence for answer in answers if answer.accepted}
            who = {self._me, *accepted}
            if everyone:
                return len(who) == len(view.members)
            return self._in_sync(view, accepted) and view.quorum(who)

        answers = await self._gather(
            [self._ask(seat, ControlAccept(seat.incarnation, view), ControlAccepted) for seat in others],
            chosen,
            self._limits.call,
        )
        for answer in answers:
            self._highest_epoch = max(self._highest_epoch, answer.promised)
        return chosen(answers) and self._store.promise == Promise(view.epoch, self._me) and self._sick is None

    # -- the primary

    def _begin_lead(self, view: View) -> None:
        now = self._now()
        lead = _Lead(view, now)
        self._replica.apply_up_to(None)
        self._lead = lead
        self._note_view(view)
        self._set_view(lead, view)
        self._changed()

    def _set_view(self, lead: _Lead, view: View) -> None:
        """The view is chosen and we are its primary."""
        lead.view = view
        lead.confirmed = self._now()
        lead.failing.clear()
        lead.outbid = False
        self._gave_way = None
        self._note_view(view)
        self._log(
            "leading",
            epoch=view.epoch,
            backups=",".join(view.backups),
            members=",".join(str(seat.name) for seat in view.members),
            sequence=self._store.sequence,
        )
        if len(view.backups) >= self._backups_wanted:
            lead.answered.update(dict.fromkeys(view.backups, self._now()))
            lead.synced = dict.fromkeys(view.backups, self._store.sequence)
            lead.in_sync = True
            lead.settled = True
            self._replica.commit(self._store.sequence)
            pending, lead.pending = lead.pending, []
            self._deliver(pending)
            self._tell_commit(lead)
        lead.next_call.clear()
        for seat in self._others(view):
            self._heartbeat(lead, seat)
        self._changed()

    def _step_down(self, reason: str) -> None:
        lead, self._lead = self._lead, None
        assert lead is not None
        self._log("stepped-down", epoch=lead.view.epoch, reason=reason)
        self._stale = True
        now = self._now()
        self._heard = now
        self._not_before = Instant(now + self._context.random.uniform(0.8, 1.2))
        pending, lead.pending = lead.pending, []
        for command, _ in pending:
            self._answer(command, Failure(NotDecided("unknown", detail=f"stopped leading: {reason}")))
        for seat in self._others(lead.view):
            self._messenger.post(seat.address, ControlGiveWay(lead.view.epoch, self._me))
        self._changed()

    def _tend(self, lead: _Lead) -> None:
        """Each tick of a primary: heartbeats, its own clock, and whether the view is as wanted."""
        now = self._now()
        if now - lead.confirmed > self._limits.lead_abandoned and not lead.changing:
            self._step_down("no member answers")
            return
        for seat in self._others(lead.view):
            self._heartbeat(lead, seat)
        if not lead.changing:
            plan = self._wanted(lead)
            if plan is not None:
                lead.changing = True
                self._context.tasks.spawn("control view change", self._change_view(lead, plan))

    def _heartbeat(self, lead: _Lead, seat: Seat) -> None:
        now = self._now()
        if seat.incarnation in lead.calls or now < lead.next_call.get(seat.incarnation, now):
            return
        lead.calls.add(seat.incarnation)
        lead.next_call[seat.incarnation] = Instant(now + self._limits.heartbeat - self._limits.tick / 2)
        self._context.tasks.spawn(f"heartbeat {seat.name}", self._beat(lead, seat, lead.view, now))

    async def _beat(self, lead: _Lead, seat: Seat, view: View, begun: Instant) -> None:
        committed = self._replica.committed if lead.settled else 0
        message = ControlHeartbeat(seat.incarnation, self._me, view.epoch, committed)
        outcome = await self._messenger.call(seat.address, message, ControlHeartbeatAnswer, self._limits.call)
        lead.calls.discard(seat.incarnation)
        if not isinstance(outcome, Success) or self._lead is not lead:
            return
        answer = outcome.unwrap()
        if not answer.accepted and answer.promised <= view.epoch and lead.view is view and not lead.changing:
            # It missed the view, or it is another incarnation and learns from it whom to ask for a seat.
            told = await self._ask(seat, ControlAccept(seat.incarnation, view), ControlAccepted)
            if told is not None and not told.accepted and told.promised >= view.epoch and answer.healthy:
                lead.outbid = True  # It promised the same epoch to another (to itself, when it stood meanwhile).
        if answer.by != seat.incarnation or self._lead is not lead:
            return
        self._highest_epoch = max(self._highest_epoch, answer.promised)
        if answer.accepted and not self.leads():
            self._turn.set()
        if answer.healthy:
            lead.answered[seat.incarnation] = max(begun, lead.answered.get(seat.incarnation, begun))
        if answer.accepted:
            lead.note_accepted(seat.incarnation, begun)
            await self._note_settled(lead, seat, view, answer.settled)
        elif lead.view is view and answer.promised > view.epoch and not lead.changing:
            lead.outbid = True

    async def _note_settled(self, lead: _Lead, seat: Seat, view: View, settled: bool) -> None:
        if not settled:
            told = await self._ask(seat, ControlAccept(seat.incarnation, view), ControlAccepted)
            settled = told is not None and told.accepted
        if settled:
            lead.current[seat.incarnation] = view.epoch

    def _wanted(self, lead: _Lead) -> _Plan | None:
        """The view that this primary wants next; None when the one it has is as wanted (section 7.4)."""
        view = lead.view
        members = self._wanted_members(lead)
        backups = self._wanted_backups(lead, members)
        as_wanted = members == view.members and {seat.incarnation for seat in backups} == set(view.backups)
        if as_wanted and lead.in_sync and not lead.outbid:
            return None
        paused = Instant(self._now() - self._limits.recruit_pause)
        if len(backups) < self._backups_wanted or any(
            lead.failed.get(seat.incarnation, paused) > paused for seat in backups
        ):
            return None
        return _Plan(backups, members, view)

    def _wanted_members(self, lead: _Lead) -> tuple[Seat, ...]:
        """The members as they are, with spares in the seats of those that are gone and in empty ones."""
        now, view = self._now(), lead.view
        heard = sorted(lead.spares.values(), key=lambda spare: (-spare[1], spare[0]))
        spares = [seat for seat, at in heard if now - at < self._limits.spare_silent]
        moved = {seat.incarnation: seat for seat in (self._seat, *spares)}
        members = [moved.get(seat.incarnation, seat) for seat in view.members]
        newcomers = [seat for seat in spares if view.seat(seat.incarnation) is None]
        for seat in [seat for seat in members if self._is_gone(lead, seat)][: len(newcomers)]:
            members[members.index(seat)] = newcomers.pop(0)
        missing = max(0, self._members_wanted - len(members))
        return (*members, *newcomers[:missing])

    def _is_gone(self, lead: _Lead, seat: Seat) -> bool:
        if seat.incarnation == self._me:
            return False
        answered = max(lead.since, lead.answered.get(seat.incarnation, lead.since))
        return seat.incarnation in lead.gone or self._now() - answered > self._limits.member_gone

    def _wanted_backups(self, lead: _Lead, members: Sequence[Seat]) -> tuple[Seat, ...]:
        """The backups that are well, and the likeliest of the other live members in place of the rest."""
        view = lead.view
        well = [
            seat
            for seat in members
            if seat.incarnation in view.backups and seat.incarnation not in lead.failing and self._live(lead, seat)
        ]
        recently = self._now() - 5.0

        def unlikely(seat: Seat) -> tuple[bool, bool, float]:
            failed = lead.failed.get(seat.incarnation, Instant(0.0)) > recently
            return failed, view.seat(seat.incarnation) is None, -lead.answered.get(seat.incarnation, 0.0)

        others = [
            seat
            for seat in members
            if seat not in well
            and seat.incarnation != self._me
            and (view.seat(seat.incarnation) is None or self._live(lead, seat))
        ]
        return (*well, *sorted(others, key=unlikely))[: self._backups_wanted]

    async def _change_view(self, lead: _Lead, plan: _Plan) -> None:
        """Rule 4 of section 7.2: stop deciding, send the state, then the two rounds."""
        begun = self._now()
        try:
            async with lead.batch:
                if self._lead is not lead:
                    return
                lead.in_sync = False
                if not await self._recruit(lead, plan.seats):
                    return
                for _ in range(3):
                    if self._lead is not lead:
                        return
                    view = await self._stand(plan)
                    if self._lead is not lead:
                        return
                    if view is not None:
                        self._set_view(lead, view)
                        self._log("view-changed", epoch=view.epoch, took=self._now() - begun)
                        return
                self._step_down("no majority for a new view")
        finally:
            lead.changing = False

    async def _recruit(self, lead: _Lead, seats: Sequence[Seat]) -> bool:
        """All of them have our whole state on their disks; who already has it is sent nothing."""
        behind = [seat for seat in seats if lead.synced.get(seat.incarnation) != self._store.sequence]
        sent = await asyncio.gather(*(self._send_state(lead, seat) for seat in behind))
        for seat, synced in zip(behind, sent, strict=True):
            if synced:
                lead.synced[seat.incarnation] = self._store.sequence
            else:
                lead.synced.pop(seat.incarnation, None)
                lead.failed[seat.incarnation] = self._now()
                self._log("recruit-failed", backup=seat.name)
        return all(sent)

    async def _send_state(self, lead: _Lead, seat: Seat) -> bool:
        if self._replica.applied != self._store.sequence:
            raise AssertionError(f"applied {self._replica.applied}, journaled {self._store.sequence}")
        data = msgspec.msgpack.encode(self._replica.snapshot())
        size = self._limits.piece_bytes
        self._transfers += 1
        number, epoch = self._transfers, lead.view.epoch
        count = max(1, -(-len(data) // size))
        for index in range(count):
            piece = ControlStatePiece(
                seat.incarnation, self._me, epoch, number, index, count, data[index * size : (index + 1) * size]
            )
            last = index == count - 1
            patience = self._limits.rewriting(len(data)) if last else self._limits.call
            answer = await self._ask(seat, piece, ControlReplicated, patience)
            if answer is None or not answer.synced or self._lead is not lead:
                if answer is not None:
                    self._highest_epoch = max(self._highest_epoch, answer.promised)
                    lead.outbid = lead.outbid or answer.promised > epoch
                return False
        return True

    # -- commands

    def _answer(self, command: _Command, answer: Answer) -> None:
        if not command.answer.done():
            command.answer.set_result(answer)

    def _undecided(self, command: _Command, detail: str) -> Answer:
        """A command that was taken may become durable; one that was not never runs."""
        if command.taken:
            return Failure(NotDecided("unknown", detail=detail))
        command.deadline = Instant(float("-inf"))
        return Failure(NotDecided("busy", detail=detail))

    def _deliver(self, replies: Sequence[tuple[_Command, msgspec.Struct]]) -> None:
        now = self._now()
        for command, reply in replies:
            if now <= command.deadline:
                self._answer(command, Success(reply))
            else:
                self._answer(command, Failure(NotDecided("unknown", detail="decided too late")))

    async def _run_commands(self) -> None:
        """The one runner: takes what waits, decides it as a batch, answers when it is durable (section 7.7)."""
        while True:
            batch = [await self._commands.get()]
            while batch:
                while len(batch) < self._limits.batch and self._commands.qsize():
                    batch.append(self._commands.get_nowait())
                lead = self._lead
                if lead is None:
                    for command in batch:
                        self._answer(command, Failure(NotDecided("not-leading", self._other_primary())))
                    break
                if self._accepts(lead) and self.leads():
                    async with lead.batch:
                        if self._accepts(lead) and self._lead is lead:
                            await self._run_batch(lead, batch)
                            break
                now = self._now()
                for command in batch:
                    if now > command.deadline:
                        self._answer(command, self._undecided(command, "too few backups in time"))
                batch = [command for command in batch if not command.answer.done()]
                if batch:
                    # A primary that hears nobody decides nothing, also when it has just woken up.
                    await self._wait_for_turn(min(command.deadline for command in batch) - now)

    async def _wait_for_turn(self, patience: float) -> None:
        self._turn.clear()
        try:
            async with asyncio.timeout(max(patience, 0.01)):
                await self._turn.wait()
        except TimeoutError:
            pass

    async def _run_batch(self, lead: _Lead, batch: Sequence[_Command]) -> None:
        now, epoch, before = self._now(), lead.view.epoch, self._store.sequence
        records: list[StateRecord] = []
        replies: list[tuple[_Command, msgspec.Struct]] = []
        for command in batch:
            if command.answer.done() or now > command.deadline:
                self._answer(command, self._undecided(command, "its time was over before its turn"))
                continue
            applier = self._replica.appliers[command.kind]
            command.taken = True
            record, reply = applier.decide(command.command)
            if record is not None:
                applier.apply(record)
                records.append(StateRecord(command.kind, record))
            replies.append((command, reply))
        if not replies:
            return
        entry = encode_batch(before + 1, epoch, records) if records else b""
        if records:
            self._replica.applied = before + 1
        replicating = asyncio.get_running_loop().create_task(self._replicate(lead, epoch, before, entry))
        written = not entry or await self._write_batch(lead, entry, before + 1)
        replicated = await replicating
        if self._lead is not lead or not written:
            for command, _ in replies:
                self._answer(command, Failure(NotDecided("unknown", detail="stopped leading meanwhile")))
            return
        if not replicated:
            lead.in_sync = False
            lead.pending = replies
            return
        if self._store.promise.epoch != epoch:
            raise AssertionError("a primary promised a higher epoch without stepping down")
        self._replica.commit(self._store.sequence)
        self._deliver(replies)
        if entry:
            self._tell_commit(lead)
            self._rewrite_later(1.0)

    async def _write_batch(self, lead: _Lead, entry: bytes, sequence: int) -> bool:
        async with self._lock:
            if self._lead is not lead:
                return False
            match await self._store.append_batch(entry, sequence):
                case Failure(fault):
                    self._fail_store(fault)
                    return False
            return True

    async def _replicate(self, lead: _Lead, epoch: Epoch, before: int, entry: bytes) -> bool:
        """To all backups of the view; whether each has synced it."""
        seats = [seat for seat in lead.view.members if seat.incarnation in lead.view.backups]
        done = await asyncio.gather(*(self._replicate_to(lead, seat, epoch, before, entry) for seat in seats))
        for seat, synced in zip(seats, done, strict=True):
            if synced:
                lead.synced[seat.incarnation] = before + bool(entry)
            else:
                lead.synced.pop(seat.incarnation, None)
                lead.failing.add(seat.incarnation)
        return all(done)

    async def _replicate_to(self, lead: _Lead, seat: Seat, epoch: Epoch, before: int, entry: bytes) -> bool:
        message = ControlReplicate(seat.incarnation, epoch, before, self._replica.committed, entry)
        begun = self._now()
        bound = self._limits.replicate + 2 * len(entry) / self._limits.rewrite_rate
        while True:
            left = bound - (self._now() - begun)
            if left <= 0 or self._lead is not lead:
                return False
            answer = await self._ask(seat, message, ControlReplicated, Seconds(left))
            if answer is not None:
                self._highest_epoch = max(self._highest_epoch, answer.promised)
                if not answer.synced:
                    lead.failed[seat.incarnation] = self._now()
                    self._log("backup-refused", backup=seat.name, reason=answer.reason)
                return answer.synced
            if self._now() - begun > 0.4:
                lead.failed[seat.incarnation] = self._now()
                self._log("backup-silent", backup=seat.name)
                return False
            await self._context.clock.sleep(Seconds(0.05))

    def _tell_commit(self, lead: _Lead) -> None:
        for seat in self._others(lead.view):
            if seat.incarnation in lead.view.backups:
                message = ControlCommitted(seat.incarnation, lead.view.epoch, self._replica.committed)
                self._messenger.post(seat.address, message)

    # -- rewriting the journal

    def _is_long(self, factor: float) -> bool:
        store = self._store
        return store.journal.length > factor * max(self._limits.rewrite_bytes, 2 * store.rewritten_bytes)

    def _rewrite_later(self, factor: float) -> None:
        """Call between batches. On the backup with a higher factor, so that both don't do it at once."""
        if self._is_long(factor) and not self._rewriting and self._now() >= self._rewrite_not_before:
            self._rewriting = True
            compaction = self._store.compact(self._replica.contents())
            self._context.tasks.spawn("journal rewrite", self._rewrite(compaction))

    async def _rewrite(self, compaction: Coroutine[Any, Any, Result[None, JournalFault]]) -> None:
        begun, before = self._now(), self._store.journal.length
        match await compaction:
            case Success(_):
                after = self._store.journal.length
                self._log("journal-rewritten", bytes_before=before, bytes_after=after, took=self._now() - begun)
            case Failure(fault):
                self._log("journal-not-rewritten", kind=fault.kind, detail=fault.detail)
                self._rewrite_not_before = Instant(self._now() + 10.0)
                if fault.kind == "slow" or (fault.kind != "sick" and self._store.journal.sick is not None):
                    self._fail_store(fault)
        self._rewriting = False

    # -- proof of lead

    async def _run_proofs(self) -> None:
        """Each round serves who asked before it began (section 7.2.7)."""
        while True:
            await self._proof_asked.wait()
            self._proof_asked.clear()
            asked, self._proofs = self._proofs, []
            asked = [one for one in asked if not one.done()]
            lead = self._lead
            if not asked:
                continue
            if lead is not None and await self._proof_round(lead):
                for one in asked:
                    if not one.done():
                        one.set_result(True)
            elif self._lead is None:
                for one in asked:
                    if not one.done():
                        one.set_result(False)
            else:
                await self._context.clock.sleep(Seconds(0.02))
                self._proofs = asked + self._proofs
                self._proof_asked.set()

    async def _proof_round(self, lead: _Lead) -> bool:
        view = lead.view
        if not lead.settled or self._store.promise.epoch != view.epoch:
            return False

        def confirmed(answers: list[ControlConfirmed]) -> bool:
            return view.majority({self._me, *(answer.by for answer in answers if answer.holds)})

        answers = await self._gather(
            [
                self._ask(seat, ControlConfirm(seat.incarnation, view.epoch), ControlConfirmed)
                for seat in self._others(view)
            ],
            confirmed,
            self._limits.call,
        )
        return confirmed(answers) and self._lead is lead and lead.view is view and not self._stale


class _Plan:
    """The view that a primary wants next, and the views on which it may be built."""

    def __init__(self, seats: tuple[Seat, ...], members: tuple[Seat, ...], base: View) -> None:
        self.seats = seats
        """The backups."""
        self.members = members
        changed = {seat.incarnation for seat in members} != set(base.incarnations())
        self.former = base.members if changed else ()
        """``base`` is chosen, so its own former members need not be asked again."""
        self.bases = [base]
        """``base``, then the planned views that were not accepted by enough."""

    @property
    def backups(self) -> tuple[Incarnation, ...]:
        return tuple(seat.incarnation for seat in self.seats)
