"""Command line that runs an emulated worker as a process: ``python -m emulator.process``."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import signal
import sys
from collections.abc import Callable
from pathlib import Path

import click
import msgspec
from returns.result import Failure

from wingwood.context.curl_client import CurlHttpClient
from wingwood.context.logs import EliotLog
from wingwood.context.protocols import Context
from wingwood.context.real import RealClock, RealDisk, RealNetwork, RealTasks
from wingwood.identifiers import DaemonName, Seconds, parse_address

from .worker import EmulatedWorker, Run, WorkerOptions

STOP_TIMEOUT_S = 15.0
"""Maximum time from SIGTERM to exit, for running calls to end and for a daemon to acknowledge the departure."""


def _write_runs(path: Path) -> Callable[[Run], None]:
    """Returns a callback that appends a JSON line at each start and end of a run.

    The file is unbuffered, so that observers have all lines even after the process was killed.
    """
    output = path.open("ab", buffering=0)

    def write(run: Run) -> None:
        output.write(msgspec.json.encode(run) + b"\n")

    return write


async def _run(options: WorkerOptions, runs_file: Path | None) -> int:
    """Runs the worker until SIGTERM or SIGINT; returns the exit code of the process."""
    log = EliotLog(DaemonName(options.name))
    ended = asyncio.Event()

    def crash(reason: str) -> None:
        log.event("worker-crashed", reason=reason)
        os._exit(1)

    context = Context(
        clock=RealClock(),
        network=RealNetwork(),
        disk=RealDisk(Path(".")),
        http=CurlHttpClient(),
        random=random.Random(),
        log=log,
        tasks=RealTasks(log, crash),
    )
    worker = EmulatedWorker(context, options, _write_runs(runs_file) if runs_file else None)
    started = worker.start()
    if isinstance(started, Failure):
        log.event("worker-not-started", reason=started.failure().detail)
        return 1

    async def stop_gracefully() -> None:
        worker.drain()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await worker.idle.wait()
                await worker.announcer.departed.wait()
        ended.set()

    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, lambda: context.tasks.spawn("leave", stop_gracefully()))
    loop.add_signal_handler(signal.SIGINT, ended.set)
    await ended.wait()
    worker.stop()
    return 0


@click.command()
@click.option("--name", default="worker", show_default=True, help="Start of the names of its instances.")
@click.option("--address", required=True, help="Address to listen on, such as 127.0.0.1:27100.")
@click.option(
    "--announce", multiple=True, help="Operator address of a daemon to announce to; may be given several times."
)
@click.option("--pool", default="model", show_default=True)
@click.option("--zone", default="a", show_default=True)
@click.option("--kind", type=click.Choice(["model", "plain"]), default="model", show_default=True)
@click.option("--slots", default=8, show_default=True, help="Number of calls that run at the same time.")
@click.option("--waiting-limit", default=64, show_default=True)
@click.option("--cache-tokens", default=120_000, show_default=True)
@click.option("--prefill-per-token", default=0.00015, show_default=True, help="Seconds for each uncached token.")
@click.option("--decode-per-token", default=0.02, show_default=True, help="Seconds for each generated token.")
@click.option("--decode-per-other-stream", default=0.001, show_default=True, help="Seconds more for each other stream.")
@click.option("--plain-seconds", default=0.02, show_default=True, help="Seconds that a plain call takes.")
@click.option("--tells-load/--hides-load", default=True, show_default=True)
@click.option("--runs-file", type=click.Path(path_type=Path), help="File to which runs are appended, for observers.")
def main(
    name: str,
    address: str,
    announce: tuple[str, ...],
    pool: str,
    zone: str,
    kind: str,
    slots: int,
    waiting_limit: int,
    cache_tokens: int,
    prefill_per_token: float,
    decode_per_token: float,
    decode_per_other_stream: float,
    plain_seconds: float,
    tells_load: bool,
    runs_file: Path | None,
) -> None:
    """Runs an emulated worker with batch slots, prefill, KV cache, decode pace and, on request, faults."""
    options = WorkerOptions(
        name=name,
        address=parse_address(address),
        announce=tuple(parse_address(text) for text in announce),
        pool=pool,
        zone=zone,
        kind=kind,
        slots=slots,
        waiting_limit=waiting_limit,
        cache_tokens=cache_tokens,
        prefill_per_token=Seconds(prefill_per_token),
        decode_per_token=Seconds(decode_per_token),
        decode_per_other_stream=Seconds(decode_per_other_stream),
        plain_seconds=Seconds(plain_seconds),
        tells_load=tells_load,
    )
    sys.exit(asyncio.run(_run(options, runs_file)))


if __name__ == "__main__":
    main()
