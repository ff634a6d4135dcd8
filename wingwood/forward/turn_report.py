"""What one try tells the registry of its worker (docs/DESIGN.md sections 10.6 and 12.5)."""

from __future__ import annotations

from ..identifiers import WorkerInstance
from ..registry.protocols import CallOutcomes, Registry


class TurnReport:
    """One turn at one worker: ``begin``, then what came of it; at the end ``abandoned`` if nothing did.

    Without ``outcomes`` only suspicions are told.
    """

    def __init__(self, registry: Registry, outcomes: CallOutcomes | None, instance: WorkerInstance) -> None:
        self._registry = registry
        self._outcomes = outcomes
        self._instance = instance
        self._started = False
        self._reported = False
        self._failed = False

    def begin(self) -> bool:
        """Whether the turn may go there now."""
        self._started = self._outcomes is None or self._outcomes.begin(self._instance)
        return self._started

    def succeeded(self) -> None:
        if not self._reported and self._outcomes is not None:
            self._outcomes.succeeded(self._instance)
        self._reported = True

    def failed(self) -> None:
        """Once, and also after a success: an answer that began well may still break."""
        if not self._failed and self._outcomes is not None:
            self._outcomes.failed(self._instance)
        self._reported = self._failed = True

    def unresponsive(self) -> None:
        """No connection, or no sign of life."""
        self._registry.suspect(self._instance)
        self._reported = self._failed = True

    def misplaced(self) -> None:
        if self._outcomes is not None:
            self._outcomes.misplaced(self._instance)
        else:
            self._registry.suspect(self._instance)
        self._reported = True

    def ended(self) -> None:
        if self._started and not self._reported and self._outcomes is not None:
            self._outcomes.abandoned(self._instance)
        self._reported = True
