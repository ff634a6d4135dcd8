"""Runs a daemon as an operating-system process: real context, signals, exit codes (docs/DESIGN.md section 15)."""

from __future__ import annotations

import asyncio
import contextlib
import importlib
import random
import signal
import sys
import traceback
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any, Protocol

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
EXIT_INVARIANT_BROKEN = 4
SETTINGS_POLL_INTERVAL_S = Seconds(2.0)
"""Interval at which the settings are read again, for changes that no SIGHUP announces."""
DRAIN_GRACE_S = Seconds(2.0)
"""Time beyond ``stop_within`` after which a drain is ended."""


class StartFailure(msgspec.Struct, frozen=True):
    """The reason why a daemon could not start, such as an address in use or a locked or damaged data folder."""

    reason: str

    def __str__(self) -> str:
        return self.reason


class Daemon(Protocol):
    """What ``run_daemon`` needs of a daemon."""

    async def start(self) -> Result[None, StartFailure]:
        """Starts to listen and to work; a failure says why the daemon cannot run."""
        ...

    async def drain(self) -> None:
        """Finishes work in progress and takes no new work; bounded by ``settings.stop_within`` seconds."""
        ...

    def stop(self) -> None:
        """Closes all connections and listeners at once."""
        ...

    def settings_changed(self, settings: DaemonSettings) -> None:
        """Applies changed settings; the only setting that can change in a running daemon is its seeds."""
        ...


ReadSettings = Callable[[], Result[DaemonSettings, SettingsProblem]]
"""Reads the settings again from their source."""


def real_context(settings: DaemonSettings, stop: Callable[[str], None]) -> Context:
    """Returns the context of a real process; ``stop`` is called with the reason when an invariant is broken."""
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
    """Returns the libcurl client, which is imported only where connections are not kept open, since it loads libcurl
    and the libraries that libcurl needs."""
    client: HttpClient = importlib.import_module("..context.curl_client", __package__).CurlHttpClient()
    return client


def run_daemon(
    settings: DaemonSettings,
    build: Callable[[Context, DaemonSettings], Daemon],
    read_settings: ReadSettings | None = None,
) -> int:
    """Runs a daemon until it is stopped and returns the exit code of the process.

    SIGTERM or SIGINT drains the daemon (exit code 0). A broken invariant stops it at once (exit code 4). Exit code 3
    says that the daemon could not start. With ``read_settings`` the settings are read again on SIGHUP and every
    ``SETTINGS_POLL_INTERVAL_S`` seconds.
    """
    _ignore_hang_up()
    return asyncio.run(_run(settings, build, read_settings))


def _ignore_hang_up() -> None:
    """Lets SIGHUP do nothing while no daemon handles it: by default it ends the process."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


async def _run(
    settings: DaemonSettings, build: Callable[[Context, DaemonSettings], Daemon], read_settings: ReadSettings | None
) -> int:
    stop_requested = asyncio.Event()
    invariant_failures: list[str] = []

    def stop(reason: str) -> None:
        invariant_failures.append(reason)
        stop_requested.set()

    context = real_context(settings, stop)
    daemon = build(context, settings)
    started = await daemon.start()
    if isinstance(started, Failure):
        context.log.event("start-failed", role=settings.role, reason=started.failure())
        print(f"wingwood {settings.role} {settings.name}: {started.failure()}", file=sys.stderr)
        daemon.stop()
        return EXIT_NOT_STARTED
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(partial(_report_callback_error, context))
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    hangup = asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, hangup.set)
    if read_settings is not None:
        context.tasks.spawn("settings", follow_settings(context, settings, read_settings, hangup, daemon))
    context.log.event("started", role=settings.role, zone=settings.zone, internal=settings.internal)
    await stop_requested.wait()
    if invariant_failures:
        context.log.event("stopped", reason=invariant_failures[0])
        daemon.stop()
        return EXIT_INVARIANT_BROKEN
    context.log.event("stopping", role=settings.role)
    try:
        async with asyncio.timeout(Seconds(settings.stop_within + DRAIN_GRACE_S)):
            await daemon.drain()
    except TimeoutError:
        context.log.event("drain-timed-out", role=settings.role)
    daemon.stop()
    loop.remove_signal_handler(signal.SIGHUP)
    _ignore_hang_up()
    context.log.event("stopped", reason="asked to")
    return EXIT_STOPPED


def _report_callback_error(context: Context, _: asyncio.AbstractEventLoop, details: dict[str, Any]) -> None:
    """Logs an error that no task and no caller of a callback receives; without a log event nobody would see it."""
    problem = details.get("exception")
    trace = "" if problem is None else "".join(traceback.format_exception(problem)).replace("\n", " | ")
    context.log.event("callback-failed", message=details.get("message"), trace=trace)


async def follow_settings(
    context: Context, settings: DaemonSettings, read_settings: ReadSettings, hangup: asyncio.Event, daemon: Daemon
) -> None:
    """Passes changed settings to the daemon; unreadable settings are logged and the previous ones stay in force."""
    while True:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SETTINGS_POLL_INTERVAL_S):
                await hangup.wait()
        hangup.clear()
        match read_settings():
            case Success(read) if read != settings:
                settings = read
                context.log.event("settings-changed", seeds=" ".join(map(str, read.seeds)))
                daemon.settings_changed(read)
            case Failure(problem):
                context.log.event("settings-unreadable", problem=problem)
