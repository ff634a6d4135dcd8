"""The interface of the two methods by which a router checks workers (docs/DESIGN.md sections 10.3 and 10.6)."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from ..identifiers import WorkerInstance
from .pool_table import PoolTable
from .protocols import Worker


class WorkerCheck(Protocol):
    """The part of ``Registry`` and ``CallOutcomes`` that depends on ``DaemonSettings.worker_check``."""

    def ready(self, table: PoolTable, /) -> Sequence[Worker]:
        """Returns the workers of the pool that may get new turns now."""
        ...

    def is_suspected(self, instance: WorkerInstance, /) -> bool:
        """Whether calls to the worker, or its health check, failed recently."""
        ...

    async def confirm(self, worker: Worker, /) -> bool:
        """See ``Registry.confirm``."""
        ...

    def begin(self, instance: WorkerInstance, /) -> bool:
        """See ``CallOutcomes.begin``."""
        ...

    def succeeded(self, instance: WorkerInstance, /) -> None:
        """See ``CallOutcomes.succeeded``."""
        ...

    def failed(self, instance: WorkerInstance, /) -> None:
        """See ``CallOutcomes.failed``."""
        ...

    def suspect(self, worker: Worker, reason: str, /) -> None:
        """See ``Registry.suspect``; ``reason`` goes to the log."""
        ...

    def misplaced(self, worker: Worker, /) -> None:
        """See ``CallOutcomes.misplaced``."""
        ...

    def abandoned(self, instance: WorkerInstance, /) -> None:
        """See ``CallOutcomes.abandoned``."""
        ...

    def evict(self, instance: WorkerInstance, /) -> None:
        """Discards what is stored about a worker that was removed from the directory."""
        ...
