"""``python -m bench.load run|compare``."""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
from pathlib import Path
from typing import Any

import click
import msgspec

from fleet.launcher import Fleet, open_shape, push_bundle
from fleet.shape import Shape
from fleet.waiting import FleetError

from .report import comparison_table, draw_charts, summary_table
from .run import new_run_name, result_files, run_load
from .target import read_target
from .traffic import LoadOptions


@click.group()
def main() -> None:
    """Load and experiments against a fleet on this machine."""


@main.command()
@click.option("--fleet", "fleet_file", type=click.Path(path_type=Path), help="fleet.json of a fleet that is up.")
@click.option("--shape", type=click.Path(path_type=Path), help="Bring up a fleet of this shape for the run.")
@click.option("--balancing", type=click.Choice(["award", "round-robin", "least-loaded", "sticky"]))
@click.option("--seconds", default=60.0, show_default=True)
@click.option("--scale", default=1.0, show_default=True, help="Times the rates of the shape.")
@click.option("--spread", type=click.Choice(["every-turn", "per-session"]), default="every-turn", show_default=True)
@click.option("--unhinted", default=0.0, show_default=True, help="Share of turns that give no hint of the next.")
@click.option("--direct-share", default=0.05, show_default=True, help="Share of calls with a probe to a worker.")
@click.option("--flood", metavar="TENANT:RATE", help="A tenant that sends so many calls a second on top.")
@click.option("--flood-on", type=click.Choice(["one", "all"]), default="all", show_default=True, help="Which routers.")
@click.option("--seed", default=1, show_default=True)
@click.option("--results", type=click.Path(path_type=Path), default=Path("results"), show_default=True)
@click.option("--name", help="Of the result files; made up by default.")
def run(
    fleet_file: Path | None,
    shape: Path | None,
    balancing: str | None,
    seconds: float,
    scale: float,
    spread: str,
    unhinted: float,
    direct_share: float,
    flood: str | None,
    flood_on: str,
    seed: int,
    results: Path,
    name: str | None,
) -> None:
    """Runs load; writes NAME.json and NAME.png. Exits with 1 when a caller saw what must never be."""
    if (fleet_file is None) == (shape is None):
        raise click.UsageError("give either --fleet or --shape")
    fields: dict[str, Any] = {
        "seconds": seconds,
        "scale": scale,
        "spread": spread,
        "unhinted": unhinted,
        "direct_share": direct_share,
        "seed": seed,
        "run_name": new_run_name(),
    }
    options = msgspec.convert(fields, LoadOptions)
    if flood is not None:
        tenant, _, rate = flood.partition(":")
        fields |= {"flood_tenant": tenant, "flood_rate": float(rate), "flood_on": flood_on}
        options = msgspec.convert(fields, LoadOptions)
    try:
        if fleet_file is not None:
            result, _ = asyncio.run(run_load(read_target(fleet_file), options))
        else:
            assert shape is not None
            chosen = open_shape(shape)
            if balancing is not None:
                chosen = msgspec.structs.replace(chosen, balancing=balancing)
            result = asyncio.run(_with_own_fleet(chosen, options))
    except (FleetError, OSError, msgspec.MsgspecError) as problem:
        click.echo(f"error: {problem}", err=True)
        sys.exit(2)
    file, picture = result_files(results, name or f"{result['fleet']}-{result['balancing']}-{options.run_name}")
    file.write_text(json.dumps(result, indent=1))
    draw_charts(result, picture)
    click.echo(summary_table(result))
    click.echo(f"written: {file} {picture}")
    repeated_keys = [key for usage in result["workers"].values() for key in usage["run_twice"]]
    sys.exit(1 if result["problems"] or repeated_keys else 0)


async def _with_own_fleet(shape: Shape, options: LoadOptions) -> dict[str, Any]:
    with tempfile.TemporaryDirectory(prefix="wingwood-load-") as folder:
        async with Fleet(shape, Path(folder)) as fleet:
            await fleet.start()
            await push_bundle(fleet)
            await fleet.wait_until_ready()
            target = read_target(fleet.folder / "fleet.json")
            result, _ = await run_load(target, options, processes=fleet.process_ids())
            return result


@main.command()
@click.argument("first", type=click.Path(exists=True, path_type=Path))
@click.argument("second", type=click.Path(exists=True, path_type=Path))
def compare(first: Path, second: Path) -> None:
    """Puts two result files side by side."""
    click.echo(comparison_table(json.loads(first.read_text()), json.loads(second.read_text())))


if __name__ == "__main__":
    main()
