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
    """How much longer after its announcement it runs slower, as it told at its start."""


class Registry(Protocol):
    def ready(self, pool: PoolName) -> Sequence[Worker]:
        """Workers that may get new turns now, sorted by instance."""
        ...

    def find(self, instance: WorkerInstance) -> Worker | None: ...

    async def confirm(self, worker: Worker) -> bool:
        """Whether it may get a turn now; asks the worker itself when what is known here is older than the bound."""
        ...

    def suspect(self, instance: WorkerInstance) -> None:
        """A call to it just failed to connect or went dark: keep it out until it answers its status check."""
        ...

    def on_change(self, callback: Callable[[Worker], None]) -> None:
        """Called with each worker whose state or load changed."""
        ...


class Engagement(msgspec.Struct, frozen=True, array_like=True):
    """How taken a worker is, as counted by routers."""

    running: float = 0.0
    """Turns running or waiting there now."""
    expected: float = 0.0
    """Sessions whose next turn is awarded there and whose last one is not long ago."""


class EngagementExchange(Protocol):
    """How engaged the whole fleet has the workers, told along with the feed (section 10.4)."""

    def count_with(self, count: Callable[[PoolName], dict[WorkerInstance, Engagement]]) -> None:
        """``count`` gives this router's part for a pool, by worker; workers with none left out."""
        ...

    def elsewhere(self, instance: WorkerInstance) -> Engagement:
        """The part of all other routers, about a third of a second old; zeros when unknown."""
        ...
