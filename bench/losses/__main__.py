"""Prints a table of lost worth for each report: ``python -m bench.losses REPORT... [--json] [--least SHARE]``."""

from __future__ import annotations

import sys
from pathlib import Path

import click
import msgspec
from returns.result import Failure

from .attribution import LossTable, WorstWindow, losses_of
from .report import read_report

EXIT_UNREADABLE = 2


@click.command()
@click.argument("reports", nargs=-1, required=True, type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="Print one JSON document per report, one per line.")
@click.option("--least", default=0.01, show_default=True, help="Rows below this share are combined in one line.")
def main(reports: tuple[Path, ...], as_json: bool, least: float) -> None:
    """Prints where the days of the reports lost worth; the rows of a report add up to 1."""
    for file in reports:
        read = read_report(file)
        if isinstance(read, Failure):
            click.echo(str(read.failure()), err=True)
            sys.exit(EXIT_UNREADABLE)
        table = losses_of(read.unwrap())
        click.echo(msgspec.json.encode(table).decode() if as_json else render_table(str(file), table, least))


def render_table(title: str, table: LossTable, least: float) -> str:
    lines = [f"{title}: worth {table.worth:.3f}, lost {1 - table.worth:.3f}"]
    lines += [f"  rule broken: {rule}, {count} times" for rule, count in table.breaks.items()]
    lines.append(f"  {'share':>6} {'worth':>7}  part, moment, reason")
    shown = [row for row in table.rows if row.share >= least]
    for row in shown:
        where = ", ".join(word for word in (row.part, row.moment, row.reason) if word)
        lines.append(f"  {row.share:6.3f} {row.worth:7.4f}  {where}")
    rest = [row for row in table.rows if row.share < least]
    if rest:
        share, worth = sum(row.share for row in rest), sum(row.worth for row in rest)
        lines.append(f"  {share:6.3f} {worth:7.4f}  {len(rest)} smaller ones")
    for kind in table.kinds:
        lost = f"late {kind.late:.3f}, refused {kind.refused:.3f}, failed {kind.failed:.3f}"
        lines.append(f"  {kind.kind}: worth {kind.worth:.3f}; lost: {lost}")
    lines += [_worst_window_line(window) for window in table.worst]
    lines.append("  tries ended: " + "; ".join(f"{end}: {count}" for end, count in table.ends.items()))
    return "\n".join(lines)


def _worst_window_line(window: WorstWindow) -> str:
    counts = window.requests
    return (
        f"  worst window, second {window.second:g} ({window.moment}): worth {counts.worth:.3f}; of {counts.n} requests"
        f" {counts.in_aim} in time, {counts.late} late, {counts.refused} refused, {counts.failed} failed,"
        f" {counts.not_owed} not owed; under {', '.join(window.events) or 'nothing'}"
    )


if __name__ == "__main__":
    main()
