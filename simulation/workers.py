"""The emulated workers of a run, which record what they observe in the history (docs/DESIGN.md section 16)."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec
from tornado.httputil import HTTPServerRequest

from emulator.worker import CallBody, EmulatedWorker, Run, WorkerOptions
from wingwood.context.protocols import Context

from .history import History, ObservedArrival, ObservedDrain, ObservedRun


class ObservedWorker(EmulatedWorker):
    """An emulated worker that records arrivals, runs, events and drains in the history."""

    def __init__(self, context: Context, options: WorkerOptions, history: History, now: Callable[[], float]) -> None:
        super().__init__(context, options, self._record_run)
        self._history = history
        self._now = now
        self._seen: dict[int, ObservedRun] = {}
        self._run_of_task: dict[Any, ObservedRun] = {}

    def drain(self) -> None:
        if self.state == "ready":
            drain = ObservedDrain(worker=self.options.name, instance=self.instance, started_at=self._now())
            self._history.drains.append(drain)
            super().drain()
            self.context.tasks.spawn("drain acknowledged", self._watch(drain))

    async def _watch(self, drain: ObservedDrain) -> None:
        while self.instance == drain.instance:
            acknowledged = self.announcer.acknowledged
            if acknowledged is not None and acknowledged.instance == drain.instance and acknowledged.state != "ready":
                drain.acknowledged_at = self._now()
                return
            await asyncio.sleep(0.02)

    async def _call(self, request: HTTPServerRequest, connection: Any) -> None:
        try:
            mark = msgspec.json.decode(request.body, type=CallBody).call
        except msgspec.MsgspecError:
            mark = ""
        self._history.arrivals.append(
            ObservedArrival(
                at=self._now(),
                worker=self.options.name,
                instance=self.instance,
                state=self.state,
                mark=mark,
                idempotency_key=request.headers.get("Idempotency-Key", ""),
                tenant=request.headers.get("X-Tenant", ""),
                path=request.path,
            )
        )
        await super()._call(request, connection)

    def _record_run(self, run: Run) -> None:
        task = asyncio.current_task()
        seen = self._run_of_task.get(task)
        if seen is None:
            seen = ObservedRun(
                started_at=self._now(),
                worker=self.options.name,
                instance=run.instance,
                mark=run.call,
                idempotency_key=run.idempotency_key,
                tenant=run.tenant,
                path=run.path,
            )
            self._history.runs.append(seen)
            self._run_of_task[task] = seen
            return
        seen.finished_at = self._now()
        seen.outcome = run.outcome
        seen.cached_tokens = run.cached_tokens
        seen.prompt_tokens = run.prompt_tokens
        self._run_of_task.pop(task, None)

    async def _decode(self) -> None:
        await super()._decode()
        seen = self._run_of_task.get(asyncio.current_task())
        if seen is not None:
            seen.event_times.append(self._now())
