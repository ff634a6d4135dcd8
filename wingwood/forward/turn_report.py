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
        self._begun = False
        self._told = False
        self._failed = False

    def begin(self) -> bool:
        """Whether the turn may go there now."""
        self._begun = self._outcomes is None or self._outcomes.begin(self._instance)
        return self._begun

    def succeeded(self) -> None:
        if not self._told and self._outcomes is not None:
            self._outcomes.succeeded(self._instance)
        self._told = True

    def failed(self) -> None:
        """Once, and also after a success: an answer that began well may still break."""
        if not self._failed and self._outcomes is not None:
            self._outcomes.failed(self._instance)
        self._told = self._failed = True

    def dark(self) -> None:
        """No connection, or no sign of life."""
        self._registry.suspect(self._instance)
        self._told = self._failed = True

    def misplaced(self) -> None:
        if self._outcomes is not None:
            self._outcomes.misplaced(self._instance)
        else:
            self._registry.suspect(self._instance)
        self._told = True

    def ended(self) -> None:
        if self._begun and not self._told and self._outcomes is not None:
            self._outcomes.abandoned(self._instance)
        self._told = True
