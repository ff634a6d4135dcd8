"""``python -m bench.run_once --seeds 50``: looks for calls that run twice or have no answer, on real processes."""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from pathlib import Path

import click

from .soak import SoakOptions, SoakReport, run_soak


@click.command(help=__doc__)
@click.option("--seeds", default=1, help="Number of runs.")
@click.option("--first-seed", default=1)
@click.option("--seconds", default=30.0, help="How long troubles come in each run.")
@click.option("--machines", default=5, help="Machines with a router; the first three have a control daemon, too.")
@click.option("--workers", default=3)
@click.option("--callers", default=40)
@click.option("--folder", type=click.Path(path_type=Path), default=Path("results/run-once"))
def main(seeds: int, first_seed: int, seconds: float, machines: int, workers: int, callers: int, folder: Path) -> None:
    """Runs the seeds one after another; the exit code is 1 if anything was found."""
    found = runs = 0
    outcomes: Counter[str] = Counter()
    for seed in range(first_seed, first_seed + seeds):
        options = SoakOptions(seed=seed, seconds=seconds, machines=machines, workers=workers, callers=callers)
        report = asyncio.run(run_soak(options, folder / f"seed-{seed}"))
        _print(seed, report)
        found += not report.verdict.passed()
        runs += report.verdict.runs
        outcomes += report.outcomes
    click.echo(f"{seeds} seeds, {runs} runs of calls, {found} seeds with findings; {dict(outcomes.most_common())}")
    sys.exit(1 if found else 0)


def _print(seed: int, report: SoakReport) -> None:
    verdict = report.verdict
    answers = f"{verdict.lasting} beyond the time limit, {len(verdict.late)} late, {len(verdict.silent)} not answered"
    click.echo(f"seed {seed}: {verdict.runs} runs, {answers}, {'held' if verdict.passed() else 'FOUND'}")
    for kind, findings in (
        ("TWICE", verdict.twice),
        ("REFUSED", verdict.broken_promises),
        ("ended by itself", verdict.ended),
        ("CONFIG, no answer", verdict.silent),
        ("late answer", verdict.late),
    ):
        for finding in findings:
            click.echo(f"  {kind}: {finding}")


if __name__ == "__main__":
    main()
