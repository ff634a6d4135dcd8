"""Runs scenario files and prints their reports: ``python -m simulation.run FILE`` (docs/DESIGN.md section 16.4)."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from .scenario import help_text, load, run_scenario


@click.command()
@click.argument("files", nargs=-1, type=click.Path(exists=True, path_type=Path))
@click.option("--seed", type=int, help="Runs this seed instead of the seeds in the file.")
@click.option("--lines", is_flag=True, help="Lists the lines that a scenario may contain.")
@click.option("--events", is_flag=True, help="Also prints the time line of runs that passed.")
def main(files: tuple[Path, ...], seed: int | None, lines: bool, events: bool) -> None:
    """Runs scenarios on a simulated fleet and exits with code 1 when one of them failed."""
    if lines:
        print(help_text())
    failed = False
    for file in files:
        scenario = load(file)
        for each in scenario.seeds if seed is None else (seed,):
            report = run_scenario(scenario, each)
            failed = failed or not report.passed
            print(report.full(), flush=True)
            if events and report.passed:
                print(report.timeline)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
