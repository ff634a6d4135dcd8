"""Checks suspected workers by the outcomes of real calls (docs/DESIGN.md section 10.6)."""

from __future__ import annotations

from collections.abc import Sequence

from ..context.protocols import Context
from ..identifiers import Instant, Seconds, WorkerInstance
from .call_outcomes import OutcomeCounts, Outcomes
from .circuit_breakers import CircuitBreakers
from .ejections import Ejections
from .pool_table import PoolTable
from .protocols import Worker
from .worker_directory import WorkerDirectory


class TrialCalls:
    """Implements ``WorkerCheck``: workers are never asked for their health, the outcomes of real calls decide.

    A worker is excluded by its circuit breaker here, or because the zone's owner has ejected it.
    """

    def __init__(
        self,
        context: Context,
        directory: WorkerDirectory,
        ejections: Ejections,
        outcomes: OutcomeCounts,
        unrenewed_after: Seconds,
    ) -> None:
        """A worker that answered a call within ``unrenewed_after`` counts as renewed at this router."""
        self._context = context
        self._directory = directory
        self._ejections = ejections
        self._outcomes = outcomes
        self._unrenewed_after = unrenewed_after
        self._breakers = CircuitBreakers()
        self._succeeded_at: dict[WorkerInstance, Instant] = {}

    def ready(self, table: PoolTable) -> Sequence[Worker]:
        """Returns the responsive workers that are not excluded; if there are none, those of all active workers.

        If none of these is admitted either, it returns all responsive workers.
        """
        active = table.active()
        responsive = self._responsive(table, active)
        if not self._breakers and not any(self._ejections.is_ejected(worker.instance) for worker in responsive):
            return responsive
        return self._admitted(responsive) or self._admitted(active) or responsive

    def is_suspected(self, instance: WorkerInstance) -> bool:
        """Whether the worker is ejected, or excluded or on trial here."""
        return not self._breakers.is_closed(instance) or self._ejections.is_ejected(instance)

    async def confirm(self, worker: Worker) -> bool:
        """Returns whether the worker is known as ready; nobody is asked."""
        current = self._directory.find(worker.instance)
        return current is not None and current.state == "ready"

    def begin(self, instance: WorkerInstance) -> bool:
        """Returns whether the worker may get a turn; one turn at a time while it is on trial."""
        worker = self._directory.find(instance)
        if worker is None or worker.state != "ready":
            return False
        now = self._now()
        if self._breakers.on_trial(instance, now) and not self._is_last_resort(worker):
            return False
        self._breakers.begin(instance, now)
        return True

    def succeeded(self, instance: WorkerInstance) -> None:
        """Counts the success for the zone's owner and closes the worker's breaker."""
        self._succeeded_at[instance] = self._now()
        self._outcomes.add(instance, Outcomes(succeeded=1))
        if self._breakers.close(instance):
            self._context.log.event("worker-recovered", worker=instance)
            worker = self._directory.find(instance)
            if worker is not None:
                self._directory.notify([worker])

    def failed(self, instance: WorkerInstance) -> None:
        """Counts the failure for the zone's owner; if the worker's breaker is not closed, the trial has failed."""
        self._outcomes.add(instance, Outcomes(failed=1))
        worker = self._directory.find(instance)
        if worker is not None and not self._breakers.is_closed(instance):
            self._open(worker, "its trial failed", longest=False)

    def suspect(self, worker: Worker, reason: str) -> None:
        """Counts the failure for the zone's owner and opens the worker's breaker."""
        self._outcomes.add(worker.instance, Outcomes(failed=1))
        self._open(worker, reason, longest=False)

    def misplaced(self, worker: Worker) -> None:
        """Opens the worker's breaker for the longest backoff.

        Its state is not set to gone because of a single router's observation. The worker that has the address now
        announces itself, and this sets the other to gone.
        """
        self._open(worker, "another worker answers at its address", longest=True)

    def abandoned(self, instance: WorkerInstance) -> None:
        """Lets the next call be the trial, if the abandoned one was."""
        self._breakers.release(instance)

    def evict(self, instance: WorkerInstance) -> None:
        """Discards what is stored about a worker that was removed from the directory."""
        self._breakers.evict(instance)
        self._succeeded_at.pop(instance, None)

    def _now(self) -> Instant:
        return self._context.clock.monotonic()

    def _responsive(self, table: PoolTable, active: Sequence[Worker]) -> Sequence[Worker]:
        """Returns the workers that are renewed or recently answered a call of this router; all if there are none."""
        renewed = table.ready()
        if len(renewed) == len(active):
            return renewed
        since = self._now() - self._unrenewed_after
        responsive = tuple(
            worker
            for worker in active
            if self._directory.is_renewed(worker.instance)
            or self._succeeded_at.get(worker.instance, Instant(float("-inf"))) > since
        )
        return responsive or active

    def _admitted(self, workers: Sequence[Worker]) -> Sequence[Worker]:
        """Returns the admitted workers; at most half of ``workers`` are excluded at once.

        If more would be excluded, those excluded the longest ago are admitted to their trial early.
        """
        now = self._now()
        admitted = {worker.instance for worker in workers if self._is_admitted(worker.instance, now)}
        on_trial = {worker.instance for worker in workers if self._breakers.on_trial(worker.instance, now)}
        missing = (len(workers) + 1) // 2 - len(admitted | on_trial)
        if missing > 0:
            excluded = [worker.instance for worker in workers if worker.instance not in admitted | on_trial]
            excluded.sort(key=lambda instance: (self._breakers.opened_at(instance), instance))
            admitted.update(excluded[:missing])
        return tuple(worker for worker in workers if worker.instance in admitted)

    def _is_admitted(self, instance: WorkerInstance, now: Instant) -> bool:
        return self._breakers.admits(instance, now) and not self._ejections.is_ejected(instance)

    def _is_last_resort(self, worker: Worker) -> bool:
        """Returns whether the worker is listed as ready although it is on trial, because all others are as well."""
        return worker in self.ready(self._directory.table(worker.pool))

    def _open(self, worker: Worker, reason: str, longest: bool) -> None:
        if self._breakers.open(worker.instance, self._now(), longest):
            self._context.log.event("worker-suspected", worker=worker.instance, reason=reason)
            self._directory.notify([worker])
