"""Commands to the primary: their queue, batches and answers (docs/DESIGN.md sections 7.2.5 and 7.7)."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Any

import msgspec
from returns.result import Failure, Success
from tornado.queues import Queue

from ..bundle.commands import SubmitOrder
from ..identifiers import Epoch, Instant, Seconds
from ..transport.frames import Identity
from .commands import Answer, DecidedCommand, PendingCommand, deliver_all, fail_all
from .leadership import Leadership
from .member import MemberSetup
from .messages import ControlCommand, ControlDecision, StateRecord
from .protocols import NotDecided, PreparingApplier
from .relay import forward_command
from .replicator import Replicator
from .store import encode_batch

REWRITE_FACTOR = 1.0
"""A primary rewrites its journal as soon as it is long; see ``backup.REWRITE_FACTOR``."""
SHORTEST_WAIT_S = 0.01


class CommandIntake(Replicator):
    """Accepts commands, decides them in batches, and answers them once their batch is durable."""

    def __init__(self, setup: MemberSetup) -> None:
        super().__init__(setup)
        self._commands: Queue[PendingCommand] = Queue(self._limits.queued_commands)
        self._command_types: dict[str, Any] = {
            applier.kind: getattr(applier, "command_type", SubmitOrder) for applier in setup.appliers
        }

    # -- accepting commands

    async def decide(self, kind: str, command: msgspec.Struct, timeout: Seconds | None = None) -> Answer:
        """As in ``ControlCore``; ``timeout`` may shorten the limit on the time to decide."""
        if not self.leads():
            return Failure(NotDecided("not-leading", self._other_primary()))
        bound = self._limits.decide_timeout if timeout is None else min(timeout, self._limits.decide_timeout)
        waiting = PendingCommand(kind, command, Instant(self._now() + bound))
        if self._commands.full():
            return Failure(NotDecided("busy", detail="too many commands wait"))
        self._commands.put_nowait(waiting)
        try:
            async with asyncio.timeout(bound):
                answer = await waiting.answer
        except TimeoutError:
            answer = waiting.undecided("no answer in time")
        if isinstance(answer, Success) and self._now() > waiting.deadline:
            return Failure(NotDecided("unknown", detail="decided too late"))
        return answer

    async def _on_command(self, _: Identity, message: ControlCommand) -> ControlDecision:
        primary = self._other_primary()
        if self._leadership is None and message.hops > 0 and primary is not None:
            return await forward_command(self._messenger, primary, message)
        command_type = self._command_types.get(message.kind)
        if command_type is None:
            return ControlDecision(fault=NotDecided("not-leading", detail=f"no state of kind {message.kind!r} here"))
        try:
            command = msgspec.msgpack.decode(message.command, type=command_type)
        except msgspec.MsgspecError as malformed:
            return ControlDecision(fault=NotDecided("not-leading", detail=f"malformed command: {malformed}"))
        return await self._decide_decoded(message, command)

    async def _decide_decoded(self, message: ControlCommand, command: msgspec.Struct) -> ControlDecision:
        applier = self._replica.appliers[message.kind]
        if isinstance(applier, PreparingApplier) and self.leads():
            await applier.prepare(command)
        match await self.decide(message.kind, command, message.budget):
            case Success(reply):
                return ControlDecision(reply=msgspec.msgpack.encode(reply), primary=self._own_member.address)
            case Failure(fault):
                return ControlDecision(fault=fault)
        raise AssertionError("a result is a success or a failure")

    # -- the task that runs commands

    async def _run_commands(self) -> None:
        """The only task that decides commands: decides those that wait as a batch, and answers once it is durable."""
        while True:
            await self._decide_waiting([await self._commands.get()])

    async def _decide_waiting(self, batch: list[PendingCommand]) -> None:
        """Runs until all commands of the batch, and those added meanwhile, are decided or past their deadline."""
        while batch:
            while len(batch) < self._limits.batch_commands and self._commands.qsize():
                batch.append(self._commands.get_nowait())
            leadership = self._leadership
            if leadership is None:
                for command in batch:
                    command.resolve(Failure(NotDecided("not-leading", self._other_primary())))
                return
            if await self._try_batch(leadership, batch):
                return
            now = self._now()
            batch = self._without_expired(batch, now)
            if batch:
                # A primary that gets no answers decides nothing, even right after it was frozen.
                await self._wait_for_change(min(command.deadline for command in batch) - now)

    async def _try_batch(self, leadership: Leadership, batch: Sequence[PendingCommand]) -> bool:
        """Runs the batch unless this primary accepts no orders now; returns whether it ran."""
        if not self._accepts_orders(leadership) or not self.leads():
            return False
        async with leadership.batch_lock:
            if not self._accepts_orders(leadership) or self._leadership is not leadership:
                return False
            await self._run_batch(leadership, batch)
            return True

    def _without_expired(self, batch: Sequence[PendingCommand], now: Instant) -> list[PendingCommand]:
        for command in batch:
            if now > command.deadline:
                command.resolve(command.undecided("too few backups in time"))
        return [command for command in batch if not command.answer.done()]

    async def _wait_for_change(self, timeout: float) -> None:
        self._wakeup.clear()
        try:
            async with asyncio.timeout(max(timeout, SHORTEST_WAIT_S)):
                await self._wakeup.wait()
        except TimeoutError:
            pass

    # -- one batch

    async def _run_batch(self, leadership: Leadership, batch: Sequence[PendingCommand]) -> None:
        epoch, before = leadership.view.epoch, self._store.sequence
        decided, records = self._decide_batch(batch)
        if not decided:
            return
        entry = encode_batch(before + 1, epoch, records) if records else b""
        if records:
            self._replica.applied = before + 1
        replicating = asyncio.get_running_loop().create_task(self._replicate(leadership, epoch, before, entry))
        written = not entry or await self._write_batch(leadership, entry, before + 1)
        replicated = await replicating
        if self._leadership is not leadership or not written:
            fail_all(decided, "stopped leading meanwhile")
        elif not replicated:
            leadership.in_sync = False
            leadership.pending = decided
        else:
            self._acknowledge(leadership, epoch, decided, wrote=bool(entry))

    def _decide_batch(self, batch: Sequence[PendingCommand]) -> tuple[list[DecidedCommand], list[StateRecord]]:
        """Decides and applies the commands one after another.

        Returns the commands with their replies, and the records to journal.
        """
        now = self._now()
        decided: list[DecidedCommand] = []
        records: list[StateRecord] = []
        for command in batch:
            if command.answer.done() or now > command.deadline:
                command.resolve(command.undecided("its time was over before its turn"))
                continue
            applier = self._replica.appliers[command.kind]
            command.decided = True
            record, reply = applier.decide(command.command)
            if record is not None:
                applier.apply(record)
                records.append(StateRecord(command.kind, record))
            decided.append(DecidedCommand(command, reply))
        return decided, records

    async def _write_batch(self, leadership: Leadership, entry: bytes, sequence: int) -> bool:
        async with self._lock:
            if self._leadership is not leadership:
                return False
            return self._write_succeeded(await self._store.append_batch(entry, sequence))

    def _acknowledge(
        self, leadership: Leadership, epoch: Epoch, decided: Sequence[DecidedCommand], wrote: bool
    ) -> None:
        """Commits and answers a batch that is on the disks of the primary and of all backups of the view."""
        if self._store.promise.epoch != epoch:
            raise AssertionError("a primary promised a higher epoch without stepping down")
        self._replica.commit(self._store.sequence)
        deliver_all(decided, self._now())
        if wrote:
            self._announce_commit(leadership)
            self._rewriter.rewrite_if_long(REWRITE_FACTOR)
