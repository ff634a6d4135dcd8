"""Collects from the emulated workers the cache hit rate and the load balance of a run."""

from __future__ import annotations

import asyncio
import statistics
from collections import Counter
from typing import Any

from fleet.http import JsonClient

from .target import Target

SAMPLE_INTERVAL_S = 0.5


class WorkerMonitor:
    """Samples the load of each worker during the run, and reads the list of its runs at the end."""

    def __init__(self, target: Target, http: JsonClient) -> None:
        self._target = target
        self._http = http
        self._before: dict[str, int] = {}
        self.samples: dict[str, list[int]] = {name: [] for name in target.workers}

    async def record_baseline(self) -> None:
        """Records the number of earlier runs of each worker, which ``report`` leaves out."""
        for name, worker in self._target.workers.items():
            reply = await self._http.get(worker.address, "/runs", timeout=10.0)
            self._before[name] = len(reply.body["runs"]) if reply.succeeded else 0

    async def sample(self) -> None:
        while True:
            replies = await asyncio.gather(
                *(self._http.get(worker.address, "/health") for worker in self._target.workers.values())
            )
            for name, reply in zip(self._target.workers, replies, strict=True):
                if reply.succeeded:
                    self.samples[name].append(reply.body["running"] + reply.body["waiting"])
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def report(self) -> dict[str, Any]:
        """Returns prompt and cached tokens of routed runs and the imbalance of load by pool.

        The imbalance is the mean load of the most loaded worker divided by that of the median worker.
        """
        pools: dict[str, Any] = {}
        for pool in sorted({worker.pool for worker in self._target.workers.values()}):
            names = [name for name, worker in self._target.workers.items() if worker.pool == pool]
            runs = [run for name in names for run in await self._runs(name) if run["request"]]
            prompt = sum(run["prompt_tokens"] for run in runs)
            cached = sum(run["cached_tokens"] for run in runs)
            loads = {name: statistics.fmean(self.samples[name] or [0]) for name in names}
            median = statistics.median(loads.values())
            keyed = Counter(run["idempotency_key"] for run in runs if run["idempotency_key"])
            pools[pool] = {
                "runs": len(runs),
                "prompt_tokens": prompt,
                "cached_tokens": cached,
                "hit_rate": round(cached / prompt, 4) if prompt else None,
                "mean_load": {name: round(load, 3) for name, load in loads.items()},
                "imbalance": round(max(loads.values()) / median, 3) if median else None,
                "run_twice": sorted(key for key, times in keyed.items() if times > 1),
            }
        return pools

    async def _runs(self, name: str) -> list[dict[str, Any]]:
        worker = self._target.workers[name]
        reply = await self._http.get(worker.address, f"/runs?after={self._before[name]}", timeout=30.0)
        return list(reply.body["runs"]) if reply.succeeded else []
