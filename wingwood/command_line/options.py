"""Command-line options that several commands share."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

import click

from ..identifiers import Address, parse_address

Command = TypeVar("Command", bound=Callable[..., object])


class AddressType(click.ParamType[Address]):
    """A parameter of the form HOST:PORT."""

    name = "address"

    def convert(self, value: object, param: click.Parameter | None, ctx: click.Context | None) -> Address:
        """Parses an address; ends the command with a usage error for other text."""
        if isinstance(value, Address):
            return value
        try:
            return parse_address(str(value))
        except ValueError as problem:
            self.fail(str(problem), param, ctx)


def to_option(command: Command) -> Command:
    """Adds ``--to``, the operator addresses of daemons, as the argument ``addresses``."""
    return click.option(
        "--to",
        "addresses",
        type=AddressType(),
        multiple=True,
        envvar="WINGWOOD_TO",
        metavar="ADDRESS",
        help="Operator address of a daemon; several are asked in turn. Or WINGWOOD_TO, separated by spaces.",
    )(command)


def json_option(command: Command) -> Command:
    """Adds the flag ``--json`` as the argument ``as_json``."""
    return click.option("--json", "as_json", is_flag=True, help="Print JSON for machines.")(command)


def key_option(command: Command) -> Command:
    """Adds ``--key``, the file of the operator's private key, as the argument ``key_file``."""
    return click.option(
        "--key",
        "key_file",
        type=click.Path(path_type=Path),
        envvar="WINGWOOD_KEY",
        metavar="FILE",
        help="The operator's private key. Or WINGWOOD_KEY.",
    )(command)


def retry_timeout_option(description: str) -> Callable[[Command], Command]:
    """Adds ``--patience``, the seconds for which an order is sent again, as the argument ``retry_timeout``."""
    return click.option(
        "--patience",
        "retry_timeout",
        type=click.FloatRange(0, 3600),
        default=30.0,
        show_default=True,
        help=description,
    )
