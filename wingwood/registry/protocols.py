"""The workers a router may use, as the other slices see them (docs/DESIGN.md section 10)."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Literal, Protocol

import msgspec

from ..identifiers import Address, PoolName, Seconds, WorkerInstance, Zone


class WorkerLoad(msgspec.Struct, frozen=True):
    """What some workers tell of themselves."""

    running: int
    waiting: int
    cache_tokens_used: int = 0


class Worker(msgspec.Struct, frozen=True, kw_only=True):
    """One announced worker life."""

    instance: WorkerInstance
    address: Address
    pool: PoolName
    zone: Zone
    slots: int
    """How many turns it runs side by side."""
    cache_tokens: int = 0
    """Size of its KV cache in tokens; 0 for plain workers."""
    state: Literal["ready", "draining", "gone"] = "ready"
    """Draining and gone are final for an instance."""
    load: WorkerLoad | None = None
    software: str = ""
    """Version of the worker's program."""
    weights: int | None = None
    """Version of the model weights that it serves, where it tells one."""
    cold_left: Seconds = Seconds(0.0)
    """How much longer it ran slower when it became known here; ``CallOutcomes.cold_left`` counts it down."""


class Registry(Protocol):
    def ready(self, pool: PoolName) -> Sequence[Worker]:
        """Workers that may get new turns now, sorted by instance (section 10.6 for which are left out)."""
        ...

    def find(self, instance: WorkerInstance) -> Worker | None: ...

    async def confirm(self, worker: Worker) -> bool:
        """Whether it may get a turn now; where health is checked, asks the worker itself when its feed is old."""
        ...

    def suspect(self, instance: WorkerInstance) -> None:
        """A call to it just failed to connect or went dark: keep it out for a while, or until it answers for itself."""
        ...

    def on_change(self, callback: Callable[[Worker], None]) -> None:
        """Called with each worker whose state or load changed."""
        ...


class CallOutcomes(Protocol):
    """What the calls themselves tell of workers (section 10.6). The same object as ``Registry``."""

    def begin(self, instance: WorkerInstance) -> bool:
        """Called right before a turn is sent; False: send it elsewhere. A suspected worker gets one turn at a time.

        Each turn begun ends with ``succeeded``, ``failed``, ``Registry.suspect``, ``misplaced`` or ``abandoned``.
        """
        ...

    def succeeded(self, instance: WorkerInstance) -> None:
        """A turn sent there is being answered as it should be."""
        ...

    def failed(self, instance: WorkerInstance) -> None:
        """A turn sent there failed in a way that speaks against the worker, though it can be reached.

        Such as: an error of its own, an answer cut short or of wrong bytes, or far too slow. Not: full, or leaving.
        """
        ...

    def misplaced(self, instance: WorkerInstance) -> None:
        """Another worker answered at its address."""
        ...

    def abandoned(self, instance: WorkerInstance) -> None:
        """A turn begun there ended without saying anything of the worker, such as by its caller's leaving."""
        ...

    def cold_left(self, instance: WorkerInstance) -> Seconds:
        """How much longer it runs slower from its start."""
        ...


class Engagement(msgspec.Struct, frozen=True, array_like=True):
    """How taken a worker is, as counted by routers."""

    running: float = 0.0
    """Turns running or waiting there now."""
    expected: float = 0.0
    """Sessions whose next turn is awarded there and whose last one is not long ago."""
    prefill: float = 0.0
    """Prompt tokens a second that it has to prefill."""

    streams: float = 0.0
    """Long streams running there."""

    def plus(self, other: Engagement) -> Engagement:
        return Engagement(
            self.running + other.running,
            self.expected + other.expected,
            self.prefill + other.prefill,
            self.streams + other.streams,
        )

    def minus(self, other: Engagement) -> Engagement:
        return Engagement(
            self.running - other.running,
            self.expected - other.expected,
            self.prefill - other.prefill,
            self.streams - other.streams,
        )


class EngagementExchange(Protocol):
    """How engaged the whole fleet has the workers, told along with the feed (section 10.4)."""

    def register_counter(self, count: Callable[[PoolName], dict[WorkerInstance, Engagement]]) -> None:
        """``count`` gives this router's part for a pool, by worker; workers with none left out."""
        ...

    def engagement_of_others(self, instance: WorkerInstance) -> Engagement:
        """The part of all other routers, about a third of a second old; zeros when unknown."""
        ...
