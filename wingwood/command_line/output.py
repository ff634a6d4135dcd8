"""Prints tables for people and JSON for programs, and defines the exit codes (docs/COMMANDS.md)."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from enum import IntEnum

import click
import msgspec


class ExitCode(IntEnum):
    """Exit codes that all commands share."""

    DONE = 0
    REFUSED = 1
    """A file, the value of a flag or an order is invalid; the message names the field, the value and the remedy."""
    USAGE = 2
    """Set by click itself: unknown command or option, or a value of the wrong type."""
    CONFLICT = 3
    """Another order took the version number."""
    UNKNOWN = 4
    """No daemon reported the outcome of the order; sending the same order again is safe."""
    UNREACHABLE = 5
    """No daemon answered; nothing was sent."""
    UNHEALTHY = 6
    """Part of the fleet is not healthy, or a roll-out was rolled back or abandoned."""


class CommandError(click.ClickException):
    """Ends the command with one message on standard error and an exit code."""

    exit_code = int(ExitCode.REFUSED)


class Conflict(CommandError):
    """Another order took the version number or changed the same slice."""

    exit_code = int(ExitCode.CONFLICT)


class OutcomeUnknown(CommandError):
    """No daemon reported the outcome of an order that may have been received."""

    exit_code = int(ExitCode.UNKNOWN)


class Unreachable(CommandError):
    """No daemon answered."""

    exit_code = int(ExitCode.UNREACHABLE)


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
