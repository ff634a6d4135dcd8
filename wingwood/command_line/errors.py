"""The errors that end a command, and the exit codes that all commands share (docs/COMMANDS.md)."""

from __future__ import annotations

from enum import IntEnum

import click


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


class ConflictError(CommandError):
    """Another order took the version number or changed the same slice."""

    exit_code = int(ExitCode.CONFLICT)


class OutcomeUnknownError(CommandError):
    """No daemon reported the outcome of an order that may have been received."""

    exit_code = int(ExitCode.UNKNOWN)


class UnreachableError(CommandError):
    """No daemon answered."""

    exit_code = int(ExitCode.UNREACHABLE)


class BundleMissingError(CommandError):
    """The daemon has no bundle yet."""
