"""The command `wingwood replay`: replays a recorded day against a fleet, or compares two reports."""

from __future__ import annotations

import asyncio
import json
import sys
import time
import tomllib
from contextlib import ExitStack
from pathlib import Path
from typing import Literal

import click
import msgspec

from ..context.curl_client import CurlHttpClient
from ..context.real import RealClock
from ..identifiers import Address
from ..replay.day import DayReader, sort_by_time
from ..replay.player import Player, PlayerOptions
from ..replay.report import ReplayReport, comparison_table, read_report, report_table, write_report
from .errors import CommandError, UnreachableError
from .options import AddressType
from .output import print_json

PROGRESS_INTERVAL_S = 1.0


@click.command("replay")
@click.argument("days", nargs=-1, type=click.Path(path_type=Path))
@click.option(
    "--to", "routers", type=AddressType(), multiple=True, metavar="ADDRESS", help="Caller address of a router; repeat."
)
@click.option(
    "--keys",
    type=click.Path(path_type=Path),
    help='File with a line for each tenant: "TENANT" = "KEY" (TOML), or a JSON object of them.',
)
@click.option("--speed", type=click.FloatRange(min=0.0, min_open=True), default=1.0, show_default=True)
@click.option("--start", type=float, default=0.0, show_default=True, help="Begin at this second of the day.")
@click.option("--end", type=float, default=None, help="End at this second of the day.")
@click.option(
    "--spread",
    type=click.Choice(["as-recorded", "every-call"]),
    default="as-recorded",
    show_default=True,
    help="The calls of one recorded router to one router, or each call to the next one.",
)
@click.option("--in-flight", type=click.IntRange(1, 20_000), default=2000, show_default=True)
@click.option(
    "--shared-part",
    type=click.FloatRange(0.0, 1.0),
    default=0.5,
    show_default=True,
    help="How much of a body stands for the shared parts of its prefix (lengths of parts aren't recorded).",
)
@click.option("--out", type=click.Path(path_type=Path), help="Write the report there as JSON.")
@click.option("--compare", "pair", nargs=2, type=click.Path(path_type=Path), help="Print two reports side by side.")
@click.option("--json", "as_json", is_flag=True, help="Print the report as JSON.")
@click.option("--quiet", is_flag=True, help="No progress on standard error.")
def replay_command(
    days: tuple[Path, ...],
    routers: tuple[Address, ...],
    keys: Path | None,
    speed: float,
    start: float,
    end: float | None,
    spread: Literal["as-recorded", "every-call"],
    in_flight: int,
    shared_part: float,
    out: Path | None,
    pair: tuple[Path, Path] | None,
    as_json: bool,
    quiet: bool,
) -> None:
    """Replays recorded DAYS (files that routers wrote) against a fleet, or compares two reports.

    Bodies and keys are not in a recorded day: bodies are filler of the recorded length, keys come from
    --keys. Exit codes: 0 done, 1 a file or flag is not right, 5 no call got an answer.
    """
    if pair is not None:
        if days:
            raise click.UsageError("--compare takes two reports and no recorded days")
        click.echo(comparison_table(_report(pair[0]), _report(pair[1])))
        return
    if not days or not routers or keys is None:
        raise click.UsageError("a replay needs recorded DAYS, --to and --keys")
    options = PlayerOptions(
        name=f"replay-{time.strftime('%Y%m%d-%H%M%S', time.gmtime())}",
        speed=speed,
        start=start,
        end=float("inf") if end is None else end,
        spread=spread,
        in_flight=in_flight,
        shared_part=shared_part,
    )
    report = asyncio.run(_replay(days, list(routers), read_keys(keys), options, quiet))
    if out is not None:
        out.write_bytes(write_report(report))
    if as_json:
        print_json(report)
    else:
        click.echo(report_table(report))
    if not report.calls:
        raise CommandError(f"no call was sent; left out: {report.skipped or 'none'}, bad lines: {report.bad_lines}")
    if all(set(service.outcomes) <= {"no-connection", "silent"} for service in report.services.values()):
        raise UnreachableError("no call got an answer; is --to the routers' caller address?")


async def _replay(
    days: tuple[Path, ...], routers: list[Address], keys: dict[str, str], options: PlayerOptions, quiet: bool
) -> ReplayReport:
    http = CurlHttpClient()
    player = Player(RealClock(), http, routers, keys, options)
    with ExitStack() as files:
        try:
            opened = [files.enter_context(day.open("rb")) for day in days]
        except OSError as problem:
            raise CommandError(f"{problem.filename}: {problem.strerror}") from None
        reader = DayReader(opened)
        progress = None if quiet else asyncio.get_running_loop().create_task(_show_progress(player))
        try:
            report = await player.play(sort_by_time(reader))
        finally:
            if progress is not None:
                progress.cancel()
                click.echo(err=True)
            http.close()
    report.bad_lines = reader.bad_lines
    return report


async def _show_progress(player: Player) -> None:
    began = time.monotonic()
    while True:
        await asyncio.sleep(PROGRESS_INTERVAL_S)
        report = player.report
        complete = sum(service.complete for service in report.services.values())
        ended = sum(service.calls for service in report.services.values())
        line = (
            f"{time.monotonic() - began:6.0f} s  day {player.position_seconds:8.0f} s  sent {report.calls}"
            f"  ended {ended}  whole {complete}  under way {player.in_flight}"
        )
        click.echo(f"\r{line}" if sys.stderr.isatty() else line, err=True, nl=not sys.stderr.isatty())


def read_keys(file: Path) -> dict[str, str]:
    """Reads the key of each tenant; raises CommandError naming the file and the fault in it."""
    try:
        text = file.read_text()
        found = json.loads(text) if file.suffix == ".json" else tomllib.loads(text)
    except OSError as problem:
        raise CommandError(f"{file}: {problem.strerror}") from None
    except ValueError as problem:
        raise CommandError(f"{file}: {problem}") from None
    if not isinstance(found, dict):
        raise CommandError(f"{file}: expected one key for each tenant")
    for tenant, key in found.items():
        if not isinstance(key, str) or not key:
            raise CommandError(f"{file}: {tenant}: expected that tenant's key as text")
    return found


def _report(file: Path) -> ReplayReport:
    try:
        return read_report(file.read_bytes())
    except OSError as problem:
        raise CommandError(f"{file}: {problem.strerror}") from None
    except msgspec.MsgspecError as problem:
        raise CommandError(f"{file}: not a report of this tool: {problem}") from None
