"""Runs scenario files and prints what came of them: ``python -m simulation.run FILE`` (section 16.4)."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from .scenario import help_text, load, run_scenario


@click.command()
@click.argument("files", nargs=-1, type=click.Path(exists=True, path_type=Path))
@click.option("--seed", type=int, help="Instead of the file's own.")
@click.option("--lines", is_flag=True, help="Shows the lines that a scenario may hold.")
@click.option("--events", is_flag=True, help="Prints the time line of passed runs too.")
def main(files: tuple[Path, ...], seed: int | None, lines: bool, events: bool) -> None:
    """Runs scenarios on a simulated fleet; exit code 1 when one failed."""
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
