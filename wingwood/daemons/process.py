"""A daemon as a plain process: the real context, signals, exit codes (docs/DESIGN.md section 15)."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Protocol

import msgspec
from returns.result import Failure, Result

from ..context.curl_client import CurlHttpClient
from ..context.logs import EliotLog
from ..context.no_disk import NoDisk
from ..context.protocols import Context, Disk
from ..context.real import RealClock, RealDisk, RealNetwork, RealTasks
from ..identifiers import Seconds
from ..settings.model import DaemonSettings

EXIT_STOPPED = 0
EXIT_NOT_STARTED = 3
EXIT_BROKEN = 4


class NotStarted(msgspec.Struct, frozen=True):
    """Why a daemon could not begin: an address in use, a data folder locked or damaged."""

    reason: str

    def __str__(self) -> str:
        return self.reason


class Daemon(Protocol):
    async def start(self) -> Result[None, NotStarted]: ...

    async def drain(self) -> None:
        """Ends work in an orderly way; bounded by ``settings.stop_within``."""
        ...

    def stop(self) -> None:
        """Closes everything now."""
        ...


def real_context(settings: DaemonSettings, stop: Callable[[str], None]) -> Context:
    log = EliotLog(settings.name)
    disk: Disk = NoDisk() if settings.data_folder is None else RealDisk(Path(settings.data_folder))
    return Context(
        clock=RealClock(),
        network=RealNetwork(),
        disk=disk,
        http=CurlHttpClient(),
        random=random.Random(random.SystemRandom().getrandbits(128)),
        log=log,
        tasks=RealTasks(log, stop),
    )


def run_daemon(settings: DaemonSettings, build: Callable[[Context, DaemonSettings], Daemon]) -> int:
    """Runs until SIGTERM or SIGINT (drains, exit 0), or a broken invariant (exit 4); 3 when it cannot start."""
    return asyncio.run(_run(settings, build))


async def _run(settings: DaemonSettings, build: Callable[[Context, DaemonSettings], Daemon]) -> int:
    wanted_stop = asyncio.Event()
    broken: list[str] = []

    def stop(reason: str) -> None:
        broken.append(reason)
        wanted_stop.set()

    context = real_context(settings, stop)
    daemon = build(context, settings)
    started = await daemon.start()
    if isinstance(started, Failure):
        context.log.event("not-started", role=settings.role, reason=started.failure())
        print(f"wingwood {settings.role} {settings.name}: {started.failure()}", file=sys.stderr)
        daemon.stop()
        return EXIT_NOT_STARTED
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, wanted_stop.set)
    context.log.event("started", role=settings.role, zone=settings.zone, internal=settings.internal)
    await wanted_stop.wait()
    if broken:
        context.log.event("stopped", reason=broken[0])
        daemon.stop()
        return EXIT_BROKEN
    context.log.event("stopping", role=settings.role)
    try:
        async with asyncio.timeout(Seconds(settings.stop_within + 2.0)):
            await daemon.drain()
    except TimeoutError:
        context.log.event("stopped-late", role=settings.role)
    daemon.stop()
    context.log.event("stopped", reason="asked to")
    return EXIT_STOPPED
