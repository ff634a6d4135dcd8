"""Counts of the calls to workers that succeeded and failed (docs/DESIGN.md section 10.6)."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from ..identifiers import WorkerInstance


class Outcomes(msgspec.Struct, frozen=True):
    """Numbers of calls to one worker that succeeded and failed."""

    succeeded: int = 0
    failed: int = 0

    def __add__(self, other: Outcomes) -> Outcomes:
        return Outcomes(self.succeeded + other.succeeded, self.failed + other.failed)

    @property
    def calls(self) -> int:
        """The number of all calls."""
        return self.succeeded + self.failed

    @property
    def failure_rate(self) -> float:
        """The share of failed calls, from 0 to 1; 0 without calls."""
        return self.failed / self.calls if self.calls else 0.0


class OutcomeCounts:
    """The outcomes of this daemon's calls since they were last collected for the zone's owner.

    Nothing is counted where workers are asked for their health.
    """

    def __init__(self) -> None:
        self._outcomes: dict[WorkerInstance, Outcomes] = {}

    def add(self, instance: WorkerInstance, outcomes: Outcomes) -> None:
        """Adds outcomes of calls to the worker."""
        self._outcomes[instance] = self._outcomes.get(instance, Outcomes()) + outcomes

    def collect(self, instances: Sequence[WorkerInstance]) -> dict[WorkerInstance, Outcomes]:
        """Returns and clears the outcomes of calls to these workers."""
        return {instance: self._outcomes.pop(instance) for instance in instances if instance in self._outcomes}

    def evict(self, instance: WorkerInstance) -> None:
        """Discards the outcomes of a worker that was removed from the directory."""
        self._outcomes.pop(instance, None)
