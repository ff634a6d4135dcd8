"""Interface of the registry to the other packages: the workers that a router may use (docs/DESIGN.md section 10)."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Literal, Protocol

import msgspec

from ..identifiers import Address, PoolName, Seconds, WorkerInstance, Zone


class WorkerLoad(msgspec.Struct, frozen=True):
    """Load figures that some workers announce about themselves."""

    running: int
    waiting: int
    cache_tokens_used: int = 0


class Worker(msgspec.Struct, frozen=True, kw_only=True):
    """One instance of a worker process, as it was announced; a restarted process is another instance."""

    instance: WorkerInstance
    address: Address
    pool: PoolName
    zone: Zone
    slots: int
    """How many turns the worker runs concurrently."""
    cache_tokens: int = 0
    """Size of the worker's KV cache in tokens; 0 for plain workers."""
    state: Literal["ready", "draining", "gone"] = "ready"
    """Draining and gone are final: an instance never becomes ready again."""
    load: WorkerLoad | None = None
    software: str = ""
    """Version of the worker's software."""
    weights: int | None = None
    """Version of the model weights that the worker serves; None if it announces none."""
    slow_start_remaining: Seconds = msgspec.field(name="cold_left", default=Seconds(0.0))
    """For how much longer the worker ran slower after its start, as of the time when it became known here.

    ``CallOutcomes.slow_start_remaining`` counts it down.
    """


class Registry(Protocol):
    """The workers that this router knows."""

    def ready(self, pool: PoolName) -> Sequence[Worker]:
        """Returns the workers that may get new turns now, sorted by instance (section 10.6 says which are excluded)."""
        ...

    def find(self, instance: WorkerInstance) -> Worker | None:
        """Returns the worker, in whatever state; None if it is unknown here."""
        ...

    async def confirm(self, worker: Worker) -> bool:
        """Returns whether the worker may get a turn now.

        Where workers' health is checked, the worker itself is asked if the feed is too old.
        """
        ...

    def suspect(self, instance: WorkerInstance) -> None:
        """Records that a call to the worker failed to connect or stopped answering.

        The worker is excluded for a while, or until it answers a health check.
        """
        ...

    def on_change(self, callback: Callable[[Worker], None]) -> None:
        """Registers a callback that is called with each worker whose state or load changed."""
        ...


class CallOutcomes(Protocol):
    """Receives the outcomes of calls to workers (section 10.6); implemented by the same object as ``Registry``."""

    def begin(self, instance: WorkerInstance) -> bool:
        """Called right before a turn is sent; if it returns False, the turn must go to another worker.

        A suspected worker gets one turn at a time. Each turn that was begun ends with one of
        ``succeeded``, ``failed``, ``Registry.suspect``, ``misplaced`` and ``abandoned``.
        """
        ...

    def succeeded(self, instance: WorkerInstance) -> None:
        """Records that the worker is answering a turn properly."""
        ...

    def failed(self, instance: WorkerInstance) -> None:
        """Records that a turn failed for a reason that indicates a fault of the worker, although it is reachable.

        Examples are an internal error, an answer that is truncated, malformed or far too slow. A worker that refuses
        a turn because it is full or leaving has not failed.
        """
        ...

    def misplaced(self, instance: WorkerInstance) -> None:
        """Records that another worker answered at this worker's address."""
        ...

    def abandoned(self, instance: WorkerInstance) -> None:
        """Records that a turn ended with no information about the worker, for example because its caller left."""
        ...

    def slow_start_remaining(self, instance: WorkerInstance) -> Seconds:
        """Returns for how much longer the worker runs slower after its start."""
        ...


class ObservedLoad(msgspec.Struct, frozen=True, array_like=True):
    """The load of a worker as routers count it, in contrast to ``WorkerLoad``, which the worker reports."""

    running: float = 0.0
    """Turns that run or wait at the worker now."""
    expected: float = 0.0
    """Sessions whose next turn is reserved at the worker and whose last turn was recent."""
    prefill: float = 0.0
    """Prompt tokens per second that the worker has to prefill."""
    streams: float = 0.0
    """Long streams that run at the worker."""

    def plus(self, other: ObservedLoad) -> ObservedLoad:
        """Returns the sum of both, field by field."""
        return ObservedLoad(
            self.running + other.running,
            self.expected + other.expected,
            self.prefill + other.prefill,
            self.streams + other.streams,
        )

    def minus(self, other: ObservedLoad) -> ObservedLoad:
        """Returns the difference of both, field by field."""
        return ObservedLoad(
            self.running - other.running,
            self.expected - other.expected,
            self.prefill - other.prefill,
            self.streams - other.streams,
        )


class ObservedLoadExchange(Protocol):
    """Exchanges observed loads with the whole fleet, together with the feed (section 10.4)."""

    def register_counter(self, count: Callable[[PoolName], dict[WorkerInstance, ObservedLoad]]) -> None:
        """Sets the function that returns this router's own counts of a pool, by worker, without workers with none."""
        ...

    def observed_load_of_others(self, instance: WorkerInstance) -> ObservedLoad:
        """Returns the sum of all other routers' counts, about a third of a second old; zeros if unknown."""
        ...
