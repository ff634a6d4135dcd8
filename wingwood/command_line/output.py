"""Prints tables for people and JSON for programs."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import click
import msgspec


def print_json(value: object) -> None:
    """Prints a value as indented JSON on standard output."""
    click.echo(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def print_table(titles: Sequence[str], rows: Iterable[Sequence[object]]) -> None:
    """Prints rows in columns as wide as their widest cell; columns of numbers are aligned to the right."""
    shown = [[_cell(value) for value in row] for row in rows]
    numbers = [bool(shown) and all(_is_number(row[column]) for row in shown) for column in range(len(titles))]
    widths = [max(len(row[column]) for row in [list(titles), *shown]) for column in range(len(titles))]
    for row in [list(titles), *shown]:
        cells = [
            cell.rjust(width) if number else cell.ljust(width)
            for cell, width, number in zip(row, widths, numbers, strict=True)
        ]
        click.echo("  ".join(cells).rstrip())


def _cell(value: object) -> str:
    match value:
        case None:
            return "-"
        case bool():
            return "yes" if value else "no"
        case float():
            return f"{value:g}"
        case list() | tuple():
            return ", ".join(str(each) for each in value) or "-"
        case _:
            return str(value)


def _is_number(text: str) -> bool:
    return text == "-" or text.replace(".", "", 1).replace("-", "", 1).isdigit()
