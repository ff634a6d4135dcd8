"""An asyncio event loop on virtual time, shared by many simulated processes (docs/DESIGN.md section 16).

Virtual time advances only when no callback is ready, and then jumps to the next timer. Every callback belongs to
the process whose contextvars.Context it carries: callbacks of a frozen process wait until it wakes, and those of a
killed process never run. Callbacks of the simulated kernel and network carry no context.
"""

from __future__ import annotations

import asyncio
import contextvars
import heapq
import itertools
from collections import deque
from collections.abc import Callable, Coroutine, Generator, Sequence
from random import Random
from typing import Any, cast

from tornado.ioloop import IOLoop
from tornado.platform.asyncio import BaseAsyncIOLoop

MAX_CALLBACKS_PER_INSTANT = 5_000_000
"""More callbacks than this without progress of virtual time count as an endless loop."""


class NoProgressError(Exception):
    """Virtual time can't advance: callbacks keep queuing callbacks at one instant, or nothing is scheduled."""


class Incarnation:
    """One incarnation (start) of a simulated process, as the event loop schedules it."""

    def __init__(self, name: str, offset: float = 0.0, rate: float = 1.0) -> None:
        self.name = name
        self.dead = False
        self.frozen = False
        self.suspended = False
        """True when the incarnation is dead or frozen, so that its callbacks don't run."""
        self.parked: deque[VirtualHandle] = deque()
        """Callbacks that became due while the process was frozen."""
        self.retained_after_death: deque[object] = deque()
        """Callbacks and tasks of a killed process; garbage collection of a task would run its ``finally`` blocks."""
        self.offset = offset
        self.rate = rate

    def local(self, now: float) -> float:
        """Converts virtual time to the clock of the process."""
        return now * self.rate + self.offset

    def world(self, when: float) -> float:
        """Converts a time on the clock of the process to virtual time."""
        return (when - self.offset) / self.rate


def _nothing() -> None:
    pass


INCARNATION: contextvars.ContextVar[Incarnation | None] = contextvars.ContextVar("incarnation", default=None)


class VirtualHandle(asyncio.TimerHandle):
    """A scheduled callback; ``at`` is its virtual time, ``_when`` the same instant on the clock of its process."""

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


Arrangement = Callable[[Sequence[VirtualHandle]], Sequence[Sequence[VirtualHandle]]]
"""Returns the callbacks that became due while a process was frozen, grouped by iteration of the event loop."""


class VirtualTask(asyncio.Task[Any]):
    """A task that knows the incarnation that created it and whose hash is the same in every run."""

    incarnation: Incarnation | None
    number: int

    def __new__(cls, coroutine: Coroutine[Any, Any, Any], *, loop: VirtualTimeLoop, **_: Any) -> VirtualTask:
        task = super().__new__(cls)
        task.number = next(loop.task_numbers)
        task.incarnation = loop.running_incarnation
        return task

    def __hash__(self) -> int:
        return self.number


class Descriptor:
    """The read and write readiness of one end of a connection, as the event loop watches it."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.handler: VirtualHandle | None = None
        """The callback for read and write events, set by tornado's loop."""
        self.reads = False
        self.writes = False
        self.reader_queued = False
        self.writer_queued = False

    def readable(self) -> bool:
        """Returns whether a read would give bytes, the end or an error."""
        raise NotImplementedError

    def writable(self) -> bool:
        """Returns whether a write would be accepted or give an error."""
        raise NotImplementedError


class VirtualTimeLoop(asyncio.BaseEventLoop):
    """The event loop; all simulated processes of a world share it."""

    _ready: deque[VirtualHandle]

    def __init__(self, random: Random) -> None:
        super().__init__()
        self.now = 0.0
        """Virtual time of the world, in seconds since the start of the run."""
        self.running_incarnation: Incarnation | None = None
        self.callbacks_run = 0
        self.limit = float("inf")
        """The virtual time at which ``run_forever`` returns."""
        self.task_numbers = itertools.count(1)
        self._random = random
        self._sequence = itertools.count()
        self._heap: list[tuple[float, int, VirtualHandle]] = []
        self._at_this_instant = 0
        self._descriptors: dict[int, Descriptor] = {}
        self._descriptor_numbers = itertools.count(1_000_000)
        self.on_unhandled: Callable[[Incarnation | None, dict[str, Any]], None] | None = None
        self.set_exception_handler(self._unhandled)

    # -- time and scheduling

    def time(self) -> float:
        incarnation = self.running_incarnation
        return self.now if incarnation is None else incarnation.local(self.now)

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
        incarnation = self.running_incarnation
        at = self.now + (delay if incarnation is None else delay / incarnation.rate)
        return self._schedule(at, self.time() + delay, callback, args, context)

    def call_at(  # type: ignore[override]
        self, when: float, callback: Callable[..., object], *args: Any, context: contextvars.Context | None = None
    ) -> VirtualHandle:
        incarnation = self.running_incarnation
        return self._schedule(when if incarnation is None else incarnation.world(when), when, callback, args, context)

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
        """Schedules a callback at a time of the world, outside all processes."""
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
                    raise NoProgressError("no callback or timer is scheduled and the run has no time limit")
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
        if self._at_this_instant > MAX_CALLBACKS_PER_INSTANT:
            raise NoProgressError(
                f"more than {MAX_CALLBACKS_PER_INSTANT} callbacks at virtual time {self.now}; next is {ready[0]}"
            )
        self.callbacks_run += count
        popleft = ready.popleft
        for _ in range(count):
            handle = popleft()
            if handle._cancelled:
                continue
            context = handle._context
            try:
                if context is None:
                    self.running_incarnation = None
                    handle._callback(*handle._args)
                    continue
                incarnation = context.get(INCARNATION)
                if incarnation is not None and incarnation.suspended:
                    (incarnation.retained_after_death if incarnation.dead else incarnation.parked).append(handle)
                    continue
                self.running_incarnation = incarnation
                context.run(handle._callback, *handle._args)
            except (SystemExit, KeyboardInterrupt, NoProgressError):
                raise
            except BaseException as problem:
                self.call_exception_handler({"message": "exception in callback", "exception": problem})
        self.running_incarnation = None

    def _unhandled(self, _: asyncio.AbstractEventLoop, details: dict[str, Any]) -> None:
        incarnation = self.running_incarnation
        if incarnation is None:
            task = details.get("task") or details.get("future")
            incarnation = getattr(task, "incarnation", None)
        if (incarnation is None or not incarnation.dead) and self.on_unhandled is not None:
            self.on_unhandled(incarnation, details)

    # -- processes

    def create_task(  # type: ignore[override]
        self, coro: Coroutine[Any, Any, Any], *, name: object = None, context: contextvars.Context | None = None
    ) -> VirtualTask:
        task = VirtualTask(coro, loop=self, context=context)
        task.set_name(str(name) if name is not None else f"task-{task.number}")
        if context is not None:
            task.incarnation = context.get(INCARNATION)
        return task

    def freeze(self, incarnation: Incarnation) -> None:
        """Parks all callbacks of the incarnation from now on, as SIGSTOP does."""
        incarnation.frozen = incarnation.suspended = True

    def wake(self, incarnation: Incarnation, arrange: Arrangement | None = None) -> None:
        """Queues the parked callbacks; in half of the cases input comes before due timers, as epoll may deliver it.

        ``arrange`` sets their order instead, and in which iterations of the event loop they run.
        """
        incarnation.frozen = incarnation.suspended = False
        parked, incarnation.parked = incarnation.parked, deque()
        if arrange is not None:
            self._run_iterations(deque(arrange([handle for handle in parked if not handle.cancelled()])))
        elif self._random.random() < 0.5:
            self._ready.extend(handle for handle in parked if handle.is_input)
            self._ready.extend(handle for handle in parked if not handle.is_input)
        else:
            self._ready.extend(parked)

    def _run_iterations(self, iterations: deque[Sequence[VirtualHandle]]) -> None:
        """Queues the callbacks of the first iteration, and behind them what queues those of the next one."""
        if not iterations:
            return
        self._ready.extend(iterations.popleft())
        self._ready.append(VirtualHandle(self._run_iterations, (iterations,), None))

    def kill(self, incarnation: Incarnation) -> None:
        """Stops the incarnation for ever; its tasks are retained, as collecting them would run ``finally`` blocks."""
        incarnation.dead = incarnation.suspended = True
        incarnation.retained_after_death.extend(incarnation.parked)
        incarnation.parked = deque()
        tasks = [
            task
            for task in asyncio.all_tasks(self)
            if isinstance(task, VirtualTask) and task.incarnation is incarnation
        ]
        tasks.sort(key=lambda task: task.number)
        incarnation.retained_after_death.extend(tasks)

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

    def notify_readable(self, descriptor: Descriptor) -> None:
        """Queues the read handler when it wants to read and data is available (level-triggered)."""
        if descriptor.reads and not descriptor.reader_queued and descriptor.readable():
            handler = descriptor.handler
            assert handler is not None
            descriptor.reader_queued = True
            self._ready.append(VirtualHandle(self._read, (descriptor,), handler._context, is_input=True))

    def notify_writable(self, descriptor: Descriptor) -> None:
        """Queues the write handler when it wants to write and there is room (level-triggered)."""
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
                self.notify_readable(descriptor)

    def _write(self, descriptor: Descriptor) -> None:
        descriptor.writer_queued = False
        if descriptor.writes and descriptor.writable():
            handler = descriptor.handler
            assert handler is not None
            try:
                handler._callback(*handler._args, IOLoop.WRITE)
            finally:
                self.notify_writable(descriptor)

    # -- operations that simulated code must not use

    def run_in_executor(self, *_: Any, **__: Any) -> Any:  # type: ignore[override]
        raise RuntimeError("no threads in the simulator: go through Context.disk")

    def _process_events(self, _: Any) -> None:
        raise AssertionError("there is no selector")

    def _write_to_self(self) -> None:
        pass


class VirtualIOLoop(BaseAsyncIOLoop):
    """Tornado's event loop on top of the virtual time loop; it uses the virtual clock as well."""

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
            loop.notify_readable(descriptor)
        if descriptor.writes:
            loop.notify_writable(descriptor)

    def remove_handler(self, fd: Any) -> None:
        descriptor: Descriptor | None = cast(Any, self.asyncio_loop).known_descriptor(fd)
        if descriptor is not None:
            descriptor.reads = descriptor.writes = False
            descriptor.handler = None

    def _make_current(self) -> None:
        pass


def attach_tornado(loop: VirtualTimeLoop) -> IOLoop:
    """Creates tornado's event loop for the virtual time loop."""
    attached: IOLoop = VirtualIOLoop(asyncio_loop=loop)
    return attached


async def pause() -> None:
    """Yields once, so that all callbacks that are ready at this instant run."""
    await _YieldOnce()


class _YieldOnce:
    """An awaitable that yields to the event loop once."""

    def __await__(self) -> Generator[None, None, None]:
        yield
