"""A daemon as a plain process: the real context, signals, exit codes (docs/DESIGN.md section 15)."""

from __future__ import annotations

import asyncio
import contextlib
import importlib
import random
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Protocol

import msgspec
from returns.result import Failure, Result, Success

from ..context.logs import EliotLog
from ..context.no_disk import NoDisk
from ..context.pooled_client import PooledHttpClient
from ..context.protocols import Context, Disk, HttpClient
from ..context.real import RealClock, RealDisk, RealNetwork, RealTasks
from ..identifiers import Seconds
from ..settings.load import SettingsProblem
from ..settings.model import DaemonSettings

EXIT_STOPPED = 0
EXIT_NOT_STARTED = 3
EXIT_BROKEN = 4
REREAD_EVERY = Seconds(2.0)


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

    def settings_changed(self, settings: DaemonSettings) -> None:
        """The settings file was written anew: takes over what may change in a running daemon, its seeds."""
        ...


Reread = Callable[[], Result[DaemonSettings, SettingsProblem]]
"""Reads the settings once more from where they came from."""


def real_context(settings: DaemonSettings, stop: Callable[[str], None]) -> Context:
    log = EliotLog(settings.name)
    disk: Disk = NoDisk() if settings.data_folder is None else RealDisk(Path(settings.data_folder))
    clock, network, tasks = RealClock(), RealNetwork(), RealTasks(log, stop)
    return Context(
        clock=clock,
        network=network,
        disk=disk,
        http=PooledHttpClient(network, clock, tasks) if settings.keep_connections else curl_client(),
        random=random.Random(random.SystemRandom().getrandbits(128)),
        log=log,
        tasks=tasks,
    )


def curl_client() -> HttpClient:
    """libcurl and its own libraries are loaded only where connections are not kept."""
    made: HttpClient = importlib.import_module("..context.curl_client", __package__).CurlHttpClient()
    return made


def run_daemon(
    settings: DaemonSettings, build: Callable[[Context, DaemonSettings], Daemon], reread: Reread | None = None
) -> int:
    """Runs until SIGTERM or SIGINT (drains, exit 0), or a broken invariant (exit 4); 3 when it cannot start.

    With ``reread`` the settings are looked at again on SIGHUP and every ``REREAD_EVERY`` seconds.
    """
    return asyncio.run(_run(settings, build, reread))


async def _run(
    settings: DaemonSettings, build: Callable[[Context, DaemonSettings], Daemon], reread: Reread | None
) -> int:
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
    hung_up = asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, hung_up.set)
    if reread is not None:
        context.tasks.spawn("settings", follow_settings(context, settings, reread, hung_up, daemon))
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


async def follow_settings(
    context: Context, settings: DaemonSettings, reread: Reread, hung_up: asyncio.Event, daemon: Daemon
) -> None:
    """Hands changed settings to the daemon; unreadable ones are logged, and those before stay in force."""
    while True:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(REREAD_EVERY):
                await hung_up.wait()
        hung_up.clear()
        match reread():
            case Success(read) if read != settings:
                settings = read
                context.log.event("settings-changed", seeds=" ".join(map(str, read.seeds)))
                daemon.settings_changed(read)
            case Failure(problem):
                context.log.event("settings-unreadable", problem=problem)
