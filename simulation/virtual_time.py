"""An asyncio event loop on virtual time, shared by many simulated processes (docs/DESIGN.md section 16).

Time moves only when no callback is ready, straight to the next timer. Every callback belongs to the
process whose contextvars.Context it carries: those of a frozen process are parked until it wakes,
those of a killed one are dropped for ever. Work of the simulated kernel and wires carries no context.
"""

from __future__ import annotations

import asyncio
import contextvars
import heapq
import itertools
from collections import deque
from collections.abc import Callable, Coroutine, Generator
from random import Random
from typing import Any, cast

from tornado.ioloop import IOLoop
from tornado.platform.asyncio import BaseAsyncIOLoop

MOST_CALLBACKS_AT_ONE_INSTANT = 5_000_000


class NoProgress(Exception):
    """Callbacks go on for ever at one virtual instant: some code spins."""


class Life:
    """The schedulable side of one life of a simulated process."""

    def __init__(self, name: str, offset: float = 0.0, rate: float = 1.0) -> None:
        self.name = name
        self.dead = False
        self.frozen = False
        self.held = False
        """Dead or frozen."""
        self.parked: deque[VirtualHandle] = deque()
        self.graveyard: deque[object] = deque()
        self.offset = offset
        self.rate = rate

    def local(self, now: float) -> float:
        return now * self.rate + self.offset

    def world(self, when: float) -> float:
        return (when - self.offset) / self.rate


def _nothing() -> None:
    pass


LIFE: contextvars.ContextVar[Life | None] = contextvars.ContextVar("life", default=None)


class VirtualHandle(asyncio.TimerHandle):
    __slots__ = ("at", "is_input")

    def __init__(
        self,
        callback: Callable[..., object],
        args: tuple[Any, ...],
        context: contextvars.Context | None,
        when: float = 0.0,
        at: float = 0.0,
        is_input: bool = False,
    ) -> None:
        self._callback = callback
        self._args = args
        self._context = context
        self._cancelled = False
        self._when = when
        self.at = at
        self.is_input = is_input

    def cancel(self) -> None:
        self._cancelled = True
        self._callback = _nothing
        self._args = ()

    def __repr__(self) -> str:
        return f"<VirtualHandle {self._callback}>"

    __hash__ = object.__hash__

    def __eq__(self, other: object) -> bool:
        return self is other


class VirtualTask(asyncio.Task[Any]):
    """A task that knows its process, with a hash that is the same in every run."""

    life: Life | None
    number: int

    def __new__(cls, coroutine: Coroutine[Any, Any, Any], *, loop: VirtualTimeLoop, **_: Any) -> VirtualTask:
        task = super().__new__(cls)
        task.number = next(loop.task_numbers)
        task.life = loop.running_life
        return task

    def __hash__(self) -> int:
        return self.number


class Descriptor:
    """What the loop watches of one end of a connection."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.handler: VirtualHandle | None = None
        """Takes the events; set by tornado's loop."""
        self.reads = False
        self.writes = False
        self.reader_queued = False
        self.writer_queued = False

    def readable(self) -> bool:
        raise NotImplementedError

    def writable(self) -> bool:
        raise NotImplementedError


class VirtualTimeLoop(asyncio.BaseEventLoop):
    _ready: deque[VirtualHandle]

    def __init__(self, random: Random) -> None:
        super().__init__()
        self.now = 0.0
        """The world's time, in seconds since the start of the run."""
        self.running_life: Life | None = None
        self.callbacks_run = 0
        self.limit = float("inf")
        self.task_numbers = itertools.count(1)
        self._random = random
        self._sequence = itertools.count()
        self._heap: list[tuple[float, int, VirtualHandle]] = []
        self._at_this_instant = 0
        self._descriptors: dict[int, Descriptor] = {}
        self._descriptor_numbers = itertools.count(1_000_000)
        self.on_unhandled: Callable[[Life | None, dict[str, Any]], None] | None = None
        self.set_exception_handler(self._unhandled)

    # -- time and scheduling

    def time(self) -> float:
        life = self.running_life
        return self.now if life is None else life.local(self.now)

    def call_soon(  # type: ignore[override]
        self, callback: Callable[..., object], *args: Any, context: contextvars.Context | None = None
    ) -> VirtualHandle:
        handle = VirtualHandle(callback, args, contextvars.copy_context() if context is None else context)
        self._ready.append(handle)
        return handle

    call_soon_threadsafe = call_soon  # type: ignore[assignment]

    def call_later(  # type: ignore[override]
        self, delay: float, callback: Callable[..., object], *args: Any, context: contextvars.Context | None = None
    ) -> VirtualHandle:
        life = self.running_life
        at = self.now + (delay if life is None else delay / life.rate)
        return self._schedule(at, self.time() + delay, callback, args, context)

    def call_at(  # type: ignore[override]
        self, when: float, callback: Callable[..., object], *args: Any, context: contextvars.Context | None = None
    ) -> VirtualHandle:
        life = self.running_life
        return self._schedule(when if life is None else life.world(when), when, callback, args, context)

    def _schedule(
        self,
        at: float,
        when: float,
        callback: Callable[..., object],
        args: tuple[Any, ...],
        context: contextvars.Context | None,
    ) -> VirtualHandle:
        handle = VirtualHandle(
            callback, args, contextvars.copy_context() if context is None else context, when=when, at=at
        )
        heapq.heappush(self._heap, (at, next(self._sequence), handle))
        return handle

    def kernel_at(self, at: float, callback: Callable[..., object], *args: Any) -> VirtualHandle:
        """Runs at a world time, outside all processes."""
        handle = VirtualHandle(callback, args, None, when=at, at=at)
        heapq.heappush(self._heap, (at, next(self._sequence), handle))
        return handle

    def _run_once(self) -> None:
        ready = self._ready
        if not ready:
            heap = self._heap
            while heap and heap[0][2]._cancelled:
                heapq.heappop(heap)
            if not heap or heap[0][0] > self.limit:
                if self.limit == float("inf"):
                    raise NoProgress("nothing is scheduled any more")
                self.now = max(self.now, self.limit)
                self._stopping = True
                return
            at = heap[0][0]
            if at > self.now:
                self.now = at
                self._at_this_instant = 0
            while heap and heap[0][0] <= self.now:
                ready.append(heapq.heappop(heap)[2])
        count = len(ready)
        self._at_this_instant += count
        if self._at_this_instant > MOST_CALLBACKS_AT_ONE_INSTANT:
            raise NoProgress(f"more than {MOST_CALLBACKS_AT_ONE_INSTANT} callbacks at {self.now}: {ready[0]}")
        self.callbacks_run += count
        popleft = ready.popleft
        for _ in range(count):
            handle = popleft()
            if handle._cancelled:
                continue
            context = handle._context
            try:
                if context is None:
                    self.running_life = None
                    handle._callback(*handle._args)
                    continue
                life = context.get(LIFE)
                if life is not None and life.held:
                    (life.graveyard if life.dead else life.parked).append(handle)
                    continue
                self.running_life = life
                context.run(handle._callback, *handle._args)
            except (SystemExit, KeyboardInterrupt, NoProgress):
                raise
            except BaseException as problem:
                self.call_exception_handler({"message": "exception in callback", "exception": problem})
        self.running_life = None

    def _unhandled(self, _: asyncio.AbstractEventLoop, details: dict[str, Any]) -> None:
        life = self.running_life
        if life is None:
            task = details.get("task") or details.get("future")
            life = getattr(task, "life", None)
        if (life is None or not life.dead) and self.on_unhandled is not None:
            self.on_unhandled(life, details)

    # -- processes

    def create_task(  # type: ignore[override]
        self, coro: Coroutine[Any, Any, Any], *, name: object = None, context: contextvars.Context | None = None
    ) -> VirtualTask:
        task = VirtualTask(coro, loop=self, context=context)
        task.set_name(str(name) if name is not None else f"task-{task.number}")
        if context is not None:
            task.life = context.get(LIFE)
        return task

    def freeze(self, life: Life) -> None:
        life.frozen = life.held = True

    def wake(self, life: Life) -> None:
        """Queues all that waited; half of the time input comes before due timers, as epoll gives it."""
        life.frozen = life.held = False
        parked, life.parked = life.parked, deque()
        if self._random.random() < 0.5:
            self._ready.extend(handle for handle in parked if handle.is_input)
            self._ready.extend(handle for handle in parked if not handle.is_input)
        else:
            self._ready.extend(parked)

    def kill(self, life: Life) -> None:
        """Nothing of it runs any more, not even what stands in ``finally``; all is kept from the garbage collector."""
        life.dead = life.held = True
        life.graveyard.extend(life.parked)
        life.parked = deque()
        tasks = [task for task in asyncio.all_tasks(self) if isinstance(task, VirtualTask) and task.life is life]
        tasks.sort(key=lambda task: task.number)
        life.graveyard.extend(tasks)

    # -- descriptors

    def new_descriptor_number(self) -> int:
        return next(self._descriptor_numbers)

    def watch(self, descriptor: Descriptor) -> None:
        self._descriptors[descriptor.number] = descriptor

    def unwatch(self, descriptor: Descriptor) -> None:
        self._descriptors.pop(descriptor.number, None)
        descriptor.reads = descriptor.writes = False
        descriptor.handler = None

    def descriptor(self, number: int) -> Descriptor:
        return self._descriptors[number]

    def known_descriptor(self, number: int) -> Descriptor | None:
        return self._descriptors.get(number)

    def input_came(self, descriptor: Descriptor) -> None:
        """Level-triggered: queues the handler when it wants to read and something can be read."""
        if descriptor.reads and not descriptor.reader_queued and descriptor.readable():
            handler = descriptor.handler
            assert handler is not None
            descriptor.reader_queued = True
            self._ready.append(VirtualHandle(self._read, (descriptor,), handler._context, is_input=True))

    def room_came(self, descriptor: Descriptor) -> None:
        if descriptor.writes and not descriptor.writer_queued and descriptor.writable():
            handler = descriptor.handler
            assert handler is not None
            descriptor.writer_queued = True
            self._ready.append(VirtualHandle(self._write, (descriptor,), handler._context, is_input=True))

    def _read(self, descriptor: Descriptor) -> None:
        descriptor.reader_queued = False
        if descriptor.reads and descriptor.readable():
            handler = descriptor.handler
            assert handler is not None
            try:
                handler._callback(*handler._args, IOLoop.READ)
            finally:
                self.input_came(descriptor)

    def _write(self, descriptor: Descriptor) -> None:
        descriptor.writer_queued = False
        if descriptor.writes and descriptor.writable():
            handler = descriptor.handler
            assert handler is not None
            try:
                handler._callback(*handler._args, IOLoop.WRITE)
            finally:
                self.room_came(descriptor)

    # -- what simulated code may not use

    def run_in_executor(self, *_: Any, **__: Any) -> Any:  # type: ignore[override]
        raise RuntimeError("no threads in the simulator: go through Context.disk")

    def _process_events(self, _: Any) -> None:
        raise AssertionError("there is no selector")

    def _write_to_self(self) -> None:
        pass


class VirtualIOLoop(BaseAsyncIOLoop):
    """tornado's loop on the virtual time loop, its clock included."""

    def initialize(self, **kwargs: Any) -> None:  # type: ignore[override]
        super().initialize(make_current=False, **kwargs)

    def time(self) -> float:
        return self.asyncio_loop.time()

    def add_handler(self, fd: Any, handler: Callable[..., None], events: int) -> None:
        loop: Any = self.asyncio_loop
        number, fileobj = self.split_fd(fd)
        descriptor: Descriptor = loop.descriptor(number)
        descriptor.handler = VirtualHandle(handler, (fileobj,), contextvars.copy_context())
        self.update_handler(number, events)

    def update_handler(self, fd: Any, events: int) -> None:
        loop: Any = self.asyncio_loop
        descriptor: Descriptor = loop.descriptor(fd)
        descriptor.reads = bool(events & IOLoop.READ)
        descriptor.writes = bool(events & IOLoop.WRITE)
        if descriptor.reads:
            loop.input_came(descriptor)
        if descriptor.writes:
            loop.room_came(descriptor)

    def remove_handler(self, fd: Any) -> None:
        descriptor: Descriptor | None = cast(Any, self.asyncio_loop).known_descriptor(fd)
        if descriptor is not None:
            descriptor.reads = descriptor.writes = False
            descriptor.handler = None

    def _make_current(self) -> None:
        pass


def attach_tornado(loop: VirtualTimeLoop) -> IOLoop:
    attached: IOLoop = VirtualIOLoop(asyncio_loop=loop)
    return attached


async def pause() -> None:
    """Lets all callbacks of this instant run."""
    await _Bare()


class _Bare:
    def __await__(self) -> Generator[None, None, None]:
        yield
