"""Reports about the worker of one attempt to the registry (docs/DESIGN.md sections 10.6 and 12.5)."""

from __future__ import annotations

from ..identifiers import WorkerInstance
from ..registry.protocols import CallOutcomes, Registry
from .call_failures import REGISTRY


class WorkerOutcomeReporter:
    """Reports how one attempt went: ``begin``, then its outcomes, then ``ended``; owns what was reported already.

    Without ``outcomes`` only the suspicion that a worker is unreachable is reported.
    """

    def __init__(self, registry: Registry, outcomes: CallOutcomes | None, instance: WorkerInstance) -> None:
        self._registry = registry
        self._outcomes = outcomes
        self._instance = instance
        self._started = False
        self._reported = False
        self._failed = False

    def begin(self) -> bool:
        """Returns whether the call may be sent to the worker now."""
        with REGISTRY:
            self._started = self._outcomes is None or self._outcomes.begin(self._instance)
        return self._started

    def succeeded(self) -> None:
        """Reports that the worker responds properly; only the first outcome of an attempt is reported."""
        if not self._reported and self._outcomes is not None:
            with REGISTRY:
                self._outcomes.succeeded(self._instance)
        self._reported = True

    def failed(self) -> None:
        """Reports a failure of the worker once, even after a success: a response that started well may still break."""
        if not self._failed and self._outcomes is not None:
            with REGISTRY:
                self._outcomes.failed(self._instance)
        self._reported = self._failed = True

    def unresponsive(self) -> None:
        """Reports that the worker could not be connected to, or sent nothing for too long."""
        with REGISTRY:
            self._registry.suspect(self._instance)
        self._reported = self._failed = True

    def misplaced(self) -> None:
        """Reports that another instance responded at the worker's address."""
        with REGISTRY:
            if self._outcomes is not None:
                self._outcomes.misplaced(self._instance)
            else:
                self._registry.suspect(self._instance)
        self._reported = True

    def ended(self) -> None:
        """Reports an attempt that was started and ended without any outcome as abandoned."""
        if self._started and not self._reported and self._outcomes is not None:
            with REGISTRY:
                self._outcomes.abandoned(self._instance)
        self._reported = True
