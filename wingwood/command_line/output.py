"""Tables for people, JSON for machines, exit codes (docs/COMMANDS.md)."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from enum import IntEnum

import click
import msgspec


class ExitCode(IntEnum):
    DONE = 0
    REFUSED = 1
    """A file, a flag's content or an order is not right; the message says the field, the value and the mend."""
    USAGE = 2
    """click's own: unknown command, option or type."""
    CONFLICT = 3
    """Another order took the version."""
    UNKNOWN = 4
    """No daemon said what became of the order; sending the same one again is safe."""
    UNREACHABLE = 5
    """No daemon answered; nothing was sent."""
    UNHEALTHY = 6
    """Something of the fleet is not as it should be."""


class CommandError(click.ClickException):
    """Ends the command with one message on standard error and an exit code."""

    exit_code = int(ExitCode.REFUSED)


class Conflict(CommandError):
    exit_code = int(ExitCode.CONFLICT)


class OutcomeUnknown(CommandError):
    exit_code = int(ExitCode.UNKNOWN)


class Unreachable(CommandError):
    exit_code = int(ExitCode.UNREACHABLE)


def print_json(value: object) -> None:
    click.echo(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def print_table(titles: Sequence[str], rows: Iterable[Sequence[object]]) -> None:
    """Columns as wide as their widest cell; numbers stand right."""
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
