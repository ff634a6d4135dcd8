"""One run of the soak: a site, callers and troubles for some seconds, and the verdict."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from pathlib import Path
from typing import Final

import msgspec

from .callers import Callers
from .judge import Verdict, judge, read_ledgers
from .processes import Site
from .troubles import Troubles

_START_TIMEOUT_S: Final = 40.0
_SETTLE_S: Final = 2.0
"""After the last call, for requests that are still on their way."""


class SoakOptions(msgspec.Struct, frozen=True, kw_only=True):
    """The size of a run."""

    seed: int
    seconds: float = 30.0
    machines: int = 5
    workers: int = 3
    callers: int = 40


class SoakFailedToStartError(Exception):
    """The site did not serve its first call in time."""


class SoakReport(msgspec.Struct, frozen=True):
    """The verdict of a run, and how the tries of the callers ended."""

    verdict: Verdict
    outcomes: Counter[str]


async def run_soak(options: SoakOptions, folder: Path) -> SoakReport:
    """Runs the soak; ledgers and logs stay in ``folder``. Raises SoakFailedToStartError."""
    folder.mkdir(parents=True, exist_ok=True)
    site = Site(folder, options.machines, options.workers)
    with (folder / "callers.log").open("w") as calls_log, (folder / "troubles.log").open("w") as troubles_log:
        troubles = Troubles(site, options.seed, troubles_log)
        routers = [machine.host for machine in site.machines]
        callers = Callers(routers, site.caller_port, options.seed, calls_log)
        try:
            await _start(site, troubles, options.seed)
            await _play(callers, troubles, options)
            await asyncio.sleep(_SETTLE_S)
            ended = [each for machine in site.machines for each in machine.ended()]
        finally:
            site.close()
    verdict = judge(read_ledgers(worker.ledger for worker in site.workers), callers.tries, ended, troubles.pauses)
    return SoakReport(verdict, callers.outcomes)


async def _start(site: Site, troubles: Troubles, seed: int) -> None:
    for machine in site.machines:
        for role in machine.roles():
            machine.start(role, bootstrap=True)
    give_up_at = time.monotonic() + _START_TIMEOUT_S
    while not await troubles.send_configuration(max_attempts=2):
        if time.monotonic() > give_up_at:
            raise SoakFailedToStartError("the first configuration was not acknowledged")
        await asyncio.sleep(0.2)
    for worker in site.workers:
        worker.start(seed)
    await asyncio.sleep(3.0)


async def _play(callers: Callers, troubles: Troubles, options: SoakOptions) -> None:
    calling = asyncio.create_task(callers.run(options.callers))
    troubling = asyncio.create_task(troubles.run())
    await asyncio.sleep(options.seconds)
    troubles.stop()
    await troubling
    callers.stop()
    await calling
