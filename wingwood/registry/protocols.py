"""The workers a router may use, as the other slices see them (docs/DESIGN.md section 10)."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Literal, Protocol

import msgspec

from ..identifiers import Address, PoolName, WorkerInstance, Zone


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


class RunningExchange(Protocol):
    """How many turns the whole fleet runs on each worker, told along with the feed (section 10.4)."""

    def count_running_with(self, count: Callable[[PoolName], dict[WorkerInstance, float]]) -> None:
        """``count`` gives this router's running and expected turns of a pool, by worker; zeros left out."""
        ...

    def running_elsewhere(self, instance: WorkerInstance) -> float:
        """Running and expected turns of all other routers, about a third of a second old; 0 when unknown."""
        ...
