"""Checks of suspected workers by a router: with health checks or with trial calls.

docs/DESIGN.md sections 10.3 and 10.6.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Protocol

import msgspec

from ..context.protocols import Context
from ..identifiers import Instant, PoolName, Seconds, WorkerInstance
from .circuit_breakers import CircuitBreakers
from .outliers import Outcomes
from .pool_table import PoolTable
from .protocols import Worker
from .worker_announcements import HealthAnswer, ask_health

FEED_MAX_AGE_S = Seconds(1.0)
"""If the feed was proven longer ago, the worker itself is asked before each turn."""
HEALTH_TIMEOUT_S = Seconds(0.3)
HEALTH_MAX_AGE_S = Seconds(0.4)
"""For how long the result of a health check is used."""
FIRST_SUSPICION_S = Seconds(0.2)
"""Pause before the first check of a suspected worker; it doubles each time the worker is suspected again."""
MAX_SUSPICION_S = Seconds(5.0)
SUSPICION_RETENTION_S = Seconds(30.0)
"""A worker that was last suspected longer ago starts over with the first pause."""


class RegistryView(Protocol):
    """The part of the registry that the checks use."""

    def find(self, instance: WorkerInstance) -> Worker | None: ...

    def ready(self, pool: PoolName) -> Sequence[Worker]: ...

    def feed_age(self, pool: PoolName) -> float: ...

    def is_renewed(self, instance: WorkerInstance) -> bool: ...

    def is_ejected(self, instance: WorkerInstance) -> bool:
        """Returns whether the zone's owner has ejected the worker because calls to it failed."""
        ...

    def report_state(self, observed: Worker) -> None:
        """Records a state learnt from the worker itself and reports it to the owners."""
        ...

    def notify_changed(self, worker: Worker) -> None:
        """Notifies the listeners that the worker was excluded or admitted again here."""
        ...


class WorkerCheck(Protocol):
    """The part of ``Registry`` that depends on the method of checking (``DaemonSettings.worker_check``)."""

    def ready(self, table: PoolTable) -> Sequence[Worker]: ...

    def is_suspected(self, instance: WorkerInstance) -> bool: ...

    async def confirm(self, worker: Worker) -> bool: ...

    def begin(self, instance: WorkerInstance) -> bool: ...

    def succeeded(self, instance: WorkerInstance) -> None: ...

    def failed(self, instance: WorkerInstance) -> None: ...

    def suspect(self, worker: Worker, reason: str) -> None: ...

    def misplaced(self, worker: Worker) -> None: ...

    def abandoned(self, instance: WorkerInstance) -> None: ...

    def collect_outcomes(self, instances: Sequence[WorkerInstance]) -> dict[WorkerInstance, Outcomes]:
        """Returns and clears the outcomes of calls to these workers since the last call of this method."""
        ...

    def forget(self, instance: WorkerInstance) -> None: ...


class _Suspicion(msgspec.Struct):
    """How often a worker was suspected, and whether it is excluded now."""

    times: int
    last: Instant
    excluded: bool


class HealthChecks:
    """A suspected worker is excluded until it answers a health check.

    While the feed is too old, a worker must answer a health check before it gets a turn.
    """

    def __init__(self, context: Context, view: RegistryView) -> None:
        self._context = context
        self._view = view
        self._suspicions: dict[WorkerInstance, _Suspicion] = {}
        self._health: dict[WorkerInstance, tuple[Instant, bool]] = {}
        self._asked: dict[WorkerInstance, asyncio.Future[bool]] = {}

    def ready(self, table: PoolTable) -> Sequence[Worker]:
        workers = table.ready()
        if self._suspicions:
            return tuple(worker for worker in workers if not self.is_suspected(worker.instance))
        return workers

    def is_suspected(self, instance: WorkerInstance) -> bool:
        suspicion = self._suspicions.get(instance)
        return suspicion is not None and suspicion.excluded

    async def confirm(self, worker: Worker) -> bool:
        """Returns whether the worker may get a turn.

        If the feed is older than its limit, the worker's own health answer decides (section 10.3).
        """
        if not self._may_get_turns(worker.instance):
            return False
        if self._view.feed_age(worker.pool) <= FEED_MAX_AGE_S:
            return True
        known = self._health.get(worker.instance)
        if known is not None and self._now() - known[0] <= HEALTH_MAX_AGE_S:
            return known[1] and self._may_get_turns(worker.instance)
        asked = self._asked.get(worker.instance)
        if asked is None:
            asked = self._asked[worker.instance] = asyncio.get_running_loop().create_future()
            self._context.tasks.spawn(f"health {worker.instance}", self._ask(worker, asked))
        return await asyncio.shield(asked) and self._may_get_turns(worker.instance)

    def begin(self, instance: WorkerInstance) -> bool:
        return self._may_get_turns(instance)

    def succeeded(self, instance: WorkerInstance) -> None:
        return

    def failed(self, instance: WorkerInstance) -> None:
        return

    def suspect(self, worker: Worker, reason: str) -> None:
        now = self._now()
        suspicion = self._suspicions.get(worker.instance)
        if suspicion is None:
            suspicion = self._suspicions[worker.instance] = _Suspicion(0, now, False)
        if suspicion.excluded:
            return
        suspicion.times = suspicion.times + 1 if now - suspicion.last < SUSPICION_RETENTION_S else 1
        suspicion.last = now
        suspicion.excluded = True
        self._context.log.event("worker-suspected", worker=worker.instance, times=suspicion.times, reason=reason)
        self._context.tasks.spawn(f"recheck {worker.instance}", self._recheck(worker, suspicion))
        self._view.notify_changed(worker)

    def misplaced(self, worker: Worker) -> None:
        self.suspect(worker, "another worker answers at its address")

    def abandoned(self, instance: WorkerInstance) -> None:
        return

    def collect_outcomes(self, instances: Sequence[WorkerInstance]) -> dict[WorkerInstance, Outcomes]:
        return {}

    def forget(self, instance: WorkerInstance) -> None:
        self._suspicions.pop(instance, None)
        self._health.pop(instance, None)

    def _now(self) -> Instant:
        return self._context.clock.monotonic()

    def _may_get_turns(self, instance: WorkerInstance) -> bool:
        worker = self._view.find(instance)
        return (
            worker is not None
            and worker.state == "ready"
            and self._view.is_renewed(instance)
            and not self.is_suspected(instance)
        )

    async def _ask(self, worker: Worker, waiter: asyncio.Future[bool]) -> None:
        asked_at = self._now()
        answer = await ask_health(self._context.http, worker.address, HEALTH_TIMEOUT_S)
        healthy = self._apply_health_answer(worker, answer)
        self._health[worker.instance] = (asked_at, healthy)
        del self._asked[worker.instance]
        if not waiter.done():
            waiter.set_result(healthy)
        if answer is None and (found := self._view.find(worker.instance)) is not None and found.state != "gone":
            self.suspect(found, "no answer to its health check")

    def _apply_health_answer(self, worker: Worker, answer: HealthAnswer | None) -> bool:
        """Returns whether the worker is ready; reports another state, or gone if another instance answered."""
        if answer is None:
            return False
        if answer.instance == worker.instance and answer.state == "ready":
            return True
        state = answer.state if answer.instance == worker.instance else "gone"
        self._view.report_state(msgspec.structs.replace(worker, state=state, load=None))
        return False

    async def _recheck(self, worker: Worker, suspicion: _Suspicion) -> None:
        """Checks a suspected worker's health with pauses until it is ready again, leaves or is forgotten."""
        pause = min(MAX_SUSPICION_S, FIRST_SUSPICION_S * 2 ** (suspicion.times - 1))
        while True:
            await self._context.clock.sleep(Seconds(pause))
            current = self._view.find(worker.instance)
            if current is None or current.state != "ready":
                self._suspicions.pop(worker.instance, None)
                return
            if self._apply_health_answer(
                current, await ask_health(self._context.http, worker.address, HEALTH_TIMEOUT_S)
            ):
                suspicion.excluded = False
                suspicion.last = self._now()
                self._context.log.event("worker-trusted-again", worker=worker.instance)
                self._view.notify_changed(current)
                return
            pause = min(1.0, max(pause, FIRST_SUSPICION_S) * 1.5)


class TrialCalls:
    """Workers are never asked for their health: the outcomes of real calls decide (section 10.6)."""

    def __init__(self, context: Context, view: RegistryView, unrenewed_after: Seconds) -> None:
        self._context = context
        self._view = view
        self._unrenewed_after = unrenewed_after
        self._breakers = CircuitBreakers()
        self._succeeded_at: dict[WorkerInstance, Instant] = {}
        self._outcomes: dict[WorkerInstance, Outcomes] = {}

    def ready(self, table: PoolTable) -> Sequence[Worker]:
        """Returns the responsive workers that are not excluded; if there are none, those of all active workers.

        If none of these is admitted either, it returns all responsive workers.
        """
        active = table.active()
        responsive = self._responsive(table, active)
        if not self._breakers and not any(self._view.is_ejected(worker.instance) for worker in responsive):
            return responsive
        return self._admitted(responsive) or self._admitted(active) or responsive

    def is_suspected(self, instance: WorkerInstance) -> bool:
        return not self._breakers.is_closed(instance) or self._view.is_ejected(instance)

    async def confirm(self, worker: Worker) -> bool:
        found = self._view.find(worker.instance)
        return found is not None and found.state == "ready"

    def begin(self, instance: WorkerInstance) -> bool:
        worker = self._view.find(instance)
        if worker is None or worker.state != "ready":
            return False
        now = self._now()
        if self._breakers.on_trial(instance, now) and not self._is_last_resort(worker):
            return False
        self._breakers.begin(instance, now)
        return True

    def succeeded(self, instance: WorkerInstance) -> None:
        self._succeeded_at[instance] = self._now()
        self._count(instance, Outcomes(succeeded=1))
        if self._breakers.close(instance):
            self._context.log.event("worker-trusted-again", worker=instance)
            self._notify_changed(instance)

    def failed(self, instance: WorkerInstance) -> None:
        """Counts the failure for the zone's owner; if the worker's breaker is not closed, the trial has failed."""
        self._count(instance, Outcomes(failed=1))
        worker = self._view.find(instance)
        if worker is not None and not self._breakers.is_closed(instance):
            self._open(worker, "its trial failed", longest=False)

    def suspect(self, worker: Worker, reason: str) -> None:
        self._count(worker.instance, Outcomes(failed=1))
        self._open(worker, reason, longest=False)

    def misplaced(self, worker: Worker) -> None:
        """Excludes the worker for the longest pause.

        Its state is not set to gone because of a single router's observation. The worker that has the address now
        announces itself, and this sets the other to gone.
        """
        self._open(worker, "another worker answers at its address", longest=True)

    def abandoned(self, instance: WorkerInstance) -> None:
        self._breakers.release(instance)

    def collect_outcomes(self, instances: Sequence[WorkerInstance]) -> dict[WorkerInstance, Outcomes]:
        return {instance: self._outcomes.pop(instance) for instance in instances if instance in self._outcomes}

    def forget(self, instance: WorkerInstance) -> None:
        self._breakers.forget(instance)
        self._succeeded_at.pop(instance, None)
        self._outcomes.pop(instance, None)

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
            if self._view.is_renewed(worker.instance)
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
        return self._breakers.admits(instance, now) and not self._view.is_ejected(instance)

    def _is_last_resort(self, worker: Worker) -> bool:
        """Returns whether the worker is listed as ready although it is on trial, because all others are as well."""
        return worker in self._view.ready(worker.pool)

    def _open(self, worker: Worker, reason: str, longest: bool) -> None:
        if self._breakers.open(worker.instance, self._now(), longest):
            self._context.log.event("worker-suspected", worker=worker.instance, reason=reason)
            self._view.notify_changed(worker)

    def _count(self, instance: WorkerInstance, outcomes: Outcomes) -> None:
        self._outcomes[instance] = self._outcomes.get(instance, Outcomes()) + outcomes

    def _notify_changed(self, instance: WorkerInstance) -> None:
        worker = self._view.find(instance)
        if worker is not None:
            self._view.notify_changed(worker)
