"""Plays the cases of one iteration at all moments, with each division of the events into one or two iterations.

Usage: ``python -m wingwood.forward.tests.all_orders [--processes N]``. Prints the runs and failures of each family of
cases, and ends with 1 when one failed.
"""

from __future__ import annotations

import collections
import concurrent.futures

import click

from .one_iteration_cases import EVENTS_BESIDE, MOMENTS, cases_at, failures_of, late_arrivals, waits_before_attempt

WAITS = "waits before an attempt"
ARRIVALS = "late arrivals"
SHOWN_FAILURES = 40


def play_family(moment: str, beside: str) -> tuple[str, list[str], int]:
    """Plays one family and returns its name, what failed and the number of runs."""
    others = {WAITS: waits_before_attempt, ARRIVALS: late_arrivals}
    cases = others[moment]() if moment in others else cases_at(MOMENTS[moment], **EVENTS_BESIDE[beside])
    failures, runs = failures_of(cases, two_iterations=True)
    return f"{moment}, {beside}", failures, runs


@click.command()
@click.option("--processes", default=4, show_default=True)
@click.option("--only", default="", help="Only families whose name contains this.")
def main(processes: int, only: str) -> None:
    """Plays all families in parallel."""
    families = [(moment, beside) for moment in MOMENTS for beside in EVENTS_BESIDE]
    families += [(WAITS, "nothing else"), (ARRIVALS, "nothing else")]
    chosen = [family for family in families if only in ", ".join(family)]
    total = failed = 0
    with concurrent.futures.ProcessPoolExecutor(processes) as pool:
        for name, failures, runs in pool.map(play_family, *zip(*chosen, strict=True)):
            total += runs
            failed += len(failures)
            click.echo(f"{name}: {runs} runs, {len(failures)} failures")
            kinds = collections.Counter(failure.partition("; order")[0] for failure in failures)
            for kind, count in kinds.most_common(SHOWN_FAILURES):
                example = next(failure for failure in failures if failure.startswith(kind))
                click.echo(f"  {count} x {example}")
    click.echo(f"{total} runs, {failed} failures")
    raise SystemExit(failed > 0)


if __name__ == "__main__":
    main()
