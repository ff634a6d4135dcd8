"""Simulated disks of machines (docs/DESIGN.md section 16).

A change becomes visible first and durable at its end, when the sync is complete. A process that is killed during
an operation leaves any part of the change visible. A machine that loses power keeps what was durable and any part
of what was only visible (truncated file ends, undone renames). The operations of a disk run one after another, as on
the single thread of the real disk.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Sequence
from random import Random
from typing import Any, Literal

from returns.result import Failure, Result, Success

from wingwood.context.protocols import DiskFault

from .virtual_time import INCARNATION, Incarnation, VirtualTimeLoop

Mode = Literal["well", "slow", "stalled", "full", "failing"]


class Operation:
    """A queued operation: ``work`` applies it in full, ``partial`` applies any part of it."""

    def __init__(
        self,
        work: Callable[[], Result[Any, DiskFault]],
        partial: Callable[[], None] | None,
        answer: asyncio.Future[Result[Any, DiskFault]],
        incarnation: Incarnation | None,
        writes: bool,
    ) -> None:
        self.work = work
        self.partial = partial
        self.answer = answer
        self.incarnation = incarnation
        self.writes = writes


class MachineDisk:
    """The data folder of one machine and its injected faults."""

    def __init__(self, loop: VirtualTimeLoop, random: Random) -> None:
        self._loop = loop
        self._random = random
        self.visible: dict[str, bytes] = {}
        self.durable: dict[str, bytes] = {}
        self.mode: Mode = "well"
        self.read_latency = 0.0002
        self.sync_latency = 0.0015
        self.slow_factor = 200.0
        self.capacity_bytes: int | None = None
        self.locked_by: Incarnation | None = None
        self.operations_done = 0
        self._queue: deque[Operation] = deque()
        self._busy = False
        self._finish_pending = False

    # -- faults

    def set_mode(self, mode: Mode) -> None:
        self.mode = mode
        if mode != "stalled" and self._finish_pending:
            self._finish_pending = False
            self._loop.kernel_at(self._loop.now + self._latency(), self._finish)

    def wipe(self) -> None:
        """Deletes all files, durable ones included; a running process keeps its memory."""
        self.visible.clear()
        self.durable.clear()

    def process_ended(self, incarnation: Incarnation) -> None:
        """Ends a killed process: its running operation takes effect fully, partly or not; queued ones never do."""
        if self.locked_by is incarnation:
            self.locked_by = None
        if self._queue and self._busy and self._queue[0].incarnation is incarnation:
            running = self._queue[0]
            self._queue = deque(
                [running] + [operation for operation in self._queue if operation.incarnation is not incarnation]
            )
            if running.writes and self.mode not in ("full", "failing"):
                choice = self._random.random()
                if choice < 0.4:
                    running.work()
                elif choice < 0.8 and running.partial is not None:
                    running.partial()
            running.work = lambda: Success(None)
            if self._finish_pending:
                self._finish_pending = False
                self._loop.kernel_at(self._loop.now, self._finish)
        else:
            self._queue = deque(operation for operation in self._queue if operation.incarnation is not incarnation)

    def power_lost(self) -> None:
        """Loses all or part of what was not durable; to be called after the machine's processes have ended."""
        self.locked_by = None
        for name in sorted(set(self.visible) | set(self.durable)):
            visible, durable = self.visible.get(name), self.durable.get(name)
            if visible == durable:
                continue
            if visible is not None and durable is not None and visible.startswith(durable):
                self.visible[name] = visible[: self._random.randint(len(durable), len(visible))]
            elif self._random.random() < 0.7:
                if durable is None:
                    del self.visible[name]
                else:
                    self.visible[name] = durable
        self.durable = dict(self.visible)

    def truncate_last_record(self, name: str, most: int = 12) -> None:
        """Removes 1 to ``most`` bytes from the end of a file, for tests of its reader."""
        data = self.visible.get(name, b"")
        self.visible[name] = self.durable[name] = data[: max(0, len(data) - self._random.randint(1, most))]

    # -- operations

    def submit(
        self, work: Callable[[], Result[Any, DiskFault]], partial: Callable[[], None] | None = None, writes: bool = True
    ) -> asyncio.Future[Result[Any, DiskFault]]:
        answer: asyncio.Future[Result[Any, DiskFault]] = self._loop.create_future()
        self._queue.append(Operation(work, partial, answer, INCARNATION.get(), writes))
        self._next()
        return answer

    def _latency(self) -> float:
        writes = bool(self._queue) and self._queue[0].writes
        base = (self.sync_latency if writes else self.read_latency) * (0.5 + self._random.random())
        return base * self.slow_factor if self.mode == "slow" else base

    def _next(self) -> None:
        if not self._busy and self._queue:
            self._busy = True
            self._loop.kernel_at(self._loop.now + self._latency(), self._finish)

    def _finish(self) -> None:
        if self.mode == "stalled":
            self._finish_pending = True
            return
        operation = self._queue.popleft()
        self._busy = False
        if operation.writes and self.mode in ("full", "failing"):
            if operation.partial is not None and self._random.random() < 0.5:
                operation.partial()
            kind: Literal["full", "failed"] = "full" if self.mode == "full" else "failed"
            outcome: Result[Any, DiskFault] = Failure(DiskFault(kind, f"the disk is {self.mode}"))
        else:
            outcome = operation.work()
        self.operations_done += 1
        if not operation.answer.done():
            operation.answer.set_result(outcome)
        self._next()

    # -- effects of operations: on the visible content first, then on the durable content

    def sync(self, name: str) -> None:
        if name in self.visible:
            self.durable[name] = self.visible[name]
        else:
            self.durable.pop(name, None)

    def has_room_for(self, count: int) -> bool:
        return (
            self.capacity_bytes is None
            or sum(len(data) for data in self.visible.values()) + count <= self.capacity_bytes
        )

    def some_of(self, data: bytes) -> bytes:
        return data[: self._random.randint(0, len(data))]


class SimulatedDisk:
    """The disk of one process's context (``Context.disk``)."""

    def __init__(self, machine: MachineDisk) -> None:
        self._machine = machine

    async def lock(self) -> Result[None, DiskFault]:
        machine, incarnation = self._machine, INCARNATION.get()

        def work() -> Result[None, DiskFault]:
            if machine.locked_by is not None and machine.locked_by is not incarnation and not machine.locked_by.dead:
                return Failure(DiskFault("locked", "the folder is in use by another process"))
            machine.locked_by = incarnation
            return Success(None)

        return await machine.submit(work, writes=False)

    async def names(self) -> Result[Sequence[str], DiskFault]:
        return await self._machine.submit(lambda: Success(sorted(self._machine.visible)), writes=False)

    async def read(self, name: str) -> Result[bytes, DiskFault]:
        def work() -> Result[bytes, DiskFault]:
            if name not in self._machine.visible:
                return Failure(DiskFault("missing", name))
            return Success(self._machine.visible[name])

        return await self._machine.submit(work, writes=False)

    async def append(self, name: str, data: bytes, at: int | None = None) -> Result[None, DiskFault]:
        machine = self._machine

        def work() -> Result[None, DiskFault]:
            if at is not None and len(machine.visible.get(name, b"")) != at:
                return Failure(DiskFault("missing", name))
            if not machine.has_room_for(len(data)):
                partial()
                return Failure(DiskFault("full", name))
            machine.visible[name] = machine.visible.get(name, b"") + data
            machine.sync(name)
            return Success(None)

        def partial() -> None:
            machine.visible[name] = machine.visible.get(name, b"") + machine.some_of(data)

        return await machine.submit(work, partial)

    async def write_new(self, name: str, data: bytes) -> Result[None, DiskFault]:
        machine = self._machine

        def work() -> Result[None, DiskFault]:
            if not machine.has_room_for(len(data)):
                partial()
                return Failure(DiskFault("full", name))
            machine.visible[name] = bytes(data)
            machine.sync(name)
            return Success(None)

        def partial() -> None:
            machine.visible[name] = machine.some_of(data)

        return await machine.submit(work, partial)

    async def rename(self, name: str, new_name: str) -> Result[None, DiskFault]:
        machine = self._machine

        def work() -> Result[None, DiskFault]:
            if name not in machine.visible:
                return Failure(DiskFault("missing", name))
            partial()
            machine.sync(name)
            machine.sync(new_name)
            return Success(None)

        def partial() -> None:
            if name in machine.visible:
                machine.visible[new_name] = machine.visible.pop(name)

        return await machine.submit(work, partial)

    async def truncate(self, name: str, length: int) -> Result[None, DiskFault]:
        machine = self._machine

        def work() -> Result[None, DiskFault]:
            if name not in machine.visible:
                return Failure(DiskFault("missing", name))
            partial()
            machine.sync(name)
            return Success(None)

        def partial() -> None:
            data = machine.visible.get(name)
            if data is not None:
                machine.visible[name] = data[:length] + bytes(max(0, length - len(data)))

        return await machine.submit(work, partial)

    async def remove(self, name: str) -> Result[None, DiskFault]:
        machine = self._machine

        def work() -> Result[None, DiskFault]:
            if name not in machine.visible:
                return Failure(DiskFault("missing", name))
            partial()
            machine.sync(name)
            return Success(None)

        def partial() -> None:
            machine.visible.pop(name, None)

        return await machine.submit(work, partial)
