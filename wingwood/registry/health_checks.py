"""Checks suspected workers by asking them for their health (docs/DESIGN.md sections 10.3 and 10.6)."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

import msgspec

from ..context.protocols import Context
from ..identifiers import Instant, PoolName, Seconds, WorkerInstance
from .pool_ownership import PoolOwnership
from .pool_table import PoolTable
from .protocols import Worker
from .worker_announcements import HealthReply, ask_health
from .worker_directory import WorkerDirectory

FEED_MAX_AGE_S = Seconds(1.0)
"""If the feed was confirmed longer ago, the worker itself is asked before each turn."""
HEALTH_TIMEOUT_S = Seconds(0.3)
HEALTH_MAX_AGE_S = Seconds(0.4)
"""For how long the result of a health check is used."""
FIRST_BACKOFF_S = Seconds(0.2)
"""Time before the first check of a suspected worker; it doubles each time the worker is suspected again."""
MAX_BACKOFF_S = Seconds(5.0)
MAX_RECHECK_INTERVAL_S = Seconds(1.0)
"""The longest time between further checks of a suspected worker, which back off by ``RECHECK_BACKOFF_FACTOR``."""
RECHECK_BACKOFF_FACTOR = 1.5
SUSPICION_RETENTION_S = Seconds(30.0)
"""A worker that was last suspected longer ago starts over with the first backoff."""


class _Suspicion(msgspec.Struct):
    """How often a worker was suspected, and whether it is excluded now."""

    times: int
    last_at: Instant
    excluded: bool


class _HealthResult(msgspec.Struct, frozen=True):
    """Whether a worker was ready according to a health check that was sent at ``asked_at``."""

    asked_at: Instant
    healthy: bool


class HealthChecks:
    """Implements ``WorkerCheck``: a suspected worker is excluded until it answers a health check.

    While the feed is too old, a worker must answer a health check before it gets a turn.
    """

    def __init__(
        self,
        context: Context,
        directory: WorkerDirectory,
        ownership: PoolOwnership,
        feed_age: Callable[[PoolName], float],
    ) -> None:
        """``feed_age`` returns the seconds since this daemon's knowledge of a pool was last confirmed."""
        self._context = context
        self._directory = directory
        self._ownership = ownership
        self._feed_age = feed_age
        self._suspicions: dict[WorkerInstance, _Suspicion] = {}
        self._results: dict[WorkerInstance, _HealthResult] = {}
        self._in_flight: dict[WorkerInstance, asyncio.Future[bool]] = {}
        """Health checks that have not been answered yet; concurrent turns share one."""

    def ready(self, table: PoolTable) -> Sequence[Worker]:
        """Returns the renewed workers that are not suspected."""
        workers = table.ready()
        if self._suspicions:
            return tuple(worker for worker in workers if not self.is_suspected(worker.instance))
        return workers

    def is_suspected(self, instance: WorkerInstance) -> bool:
        """Whether the worker is excluded until it answers a health check."""
        suspicion = self._suspicions.get(instance)
        return suspicion is not None and suspicion.excluded

    async def confirm(self, worker: Worker) -> bool:
        """Returns whether the worker may get a turn.

        If the feed is older than its limit, the worker's own health reply decides (section 10.3).
        """
        if not self._may_get_turns(worker.instance):
            return False
        if self._feed_age(worker.pool) <= FEED_MAX_AGE_S:
            return True
        known = self._results.get(worker.instance)
        if known is not None and self._now() - known.asked_at <= HEALTH_MAX_AGE_S:
            return known.healthy and self._may_get_turns(worker.instance)
        check = self._in_flight.get(worker.instance)
        if check is None:
            check = self._in_flight[worker.instance] = asyncio.get_running_loop().create_future()
            self._context.tasks.spawn(f"health {worker.instance}", self._check(worker, check))
        return await asyncio.shield(check) and self._may_get_turns(worker.instance)

    def begin(self, instance: WorkerInstance) -> bool:
        """Returns whether the worker may get a turn."""
        return self._may_get_turns(instance)

    def succeeded(self, _instance: WorkerInstance) -> None:
        """Does nothing: health checks decide."""

    def failed(self, _instance: WorkerInstance) -> None:
        """Does nothing: health checks decide."""

    def suspect(self, worker: Worker, reason: str) -> None:
        """Excludes the worker and starts to check its health."""
        now = self._now()
        suspicion = self._suspicions.get(worker.instance)
        if suspicion is None:
            suspicion = self._suspicions[worker.instance] = _Suspicion(0, now, False)
        if suspicion.excluded:
            return
        suspicion.times = suspicion.times + 1 if now - suspicion.last_at < SUSPICION_RETENTION_S else 1
        suspicion.last_at = now
        suspicion.excluded = True
        self._context.log.event("worker-suspected", worker=worker.instance, times=suspicion.times, reason=reason)
        self._context.tasks.spawn(f"recheck {worker.instance}", self._recheck(worker, suspicion))
        self._directory.notify([worker])

    def misplaced(self, worker: Worker) -> None:
        """Suspects the worker; its health check shows whether it is still at its address."""
        self.suspect(worker, "another worker answers at its address")

    def abandoned(self, _instance: WorkerInstance) -> None:
        """Does nothing: health checks decide."""

    def evict(self, instance: WorkerInstance) -> None:
        """Discards what is stored about a worker that was removed from the directory."""
        self._suspicions.pop(instance, None)
        self._results.pop(instance, None)

    def _now(self) -> Instant:
        return self._context.clock.monotonic()

    def _may_get_turns(self, instance: WorkerInstance) -> bool:
        worker = self._directory.find(instance)
        return (
            worker is not None
            and worker.state == "ready"
            and self._directory.is_renewed(instance)
            and not self.is_suspected(instance)
        )

    async def _check(self, worker: Worker, check: asyncio.Future[bool]) -> None:
        asked_at = self._now()
        reply = await ask_health(self._context.http, worker.address, HEALTH_TIMEOUT_S)
        healthy = self._apply_health_reply(worker, reply)
        self._results[worker.instance] = _HealthResult(asked_at, healthy)
        del self._in_flight[worker.instance]
        if not check.done():
            check.set_result(healthy)
        current = self._directory.find(worker.instance)
        if reply is None and current is not None and current.state != "gone":
            self.suspect(current, "no answer to its health check")

    def _apply_health_reply(self, worker: Worker, reply: HealthReply | None) -> bool:
        """Returns whether the worker is ready; reports another state, or gone if another instance replied."""
        if reply is None:
            return False
        if reply.instance == worker.instance and reply.state == "ready":
            return True
        state = reply.state if reply.instance == worker.instance else "gone"
        self._ownership.report_state(msgspec.structs.replace(worker, state=state, load=None))
        return False

    async def _recheck(self, worker: Worker, suspicion: _Suspicion) -> None:
        """Checks a suspected worker's health, with backoff, until it is ready again, leaves or is evicted."""
        backoff = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2 ** (suspicion.times - 1))
        while True:
            await self._context.clock.sleep(Seconds(backoff))
            current = self._directory.find(worker.instance)
            if current is None or current.state != "ready":
                self._suspicions.pop(worker.instance, None)
                return
            if self._apply_health_reply(
                current, await ask_health(self._context.http, worker.address, HEALTH_TIMEOUT_S)
            ):
                suspicion.excluded = False
                suspicion.last_at = self._now()
                self._context.log.event("worker-recovered", worker=worker.instance)
                self._directory.notify([current])
                return
            backoff = min(MAX_RECHECK_INTERVAL_S, max(backoff, FIRST_BACKOFF_S) * RECHECK_BACKOFF_FACTOR)
