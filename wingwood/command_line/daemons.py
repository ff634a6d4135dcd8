"""Commands that run daemons and check their settings: `wingwood router`, `control` and `settings check`."""

from __future__ import annotations

import importlib
from collections.abc import Callable, Mapping
from pathlib import Path

import click
import msgspec
from returns.result import Failure

from ..settings.load import FLAG_FOR_KEY, SECRET_KEYS, expectation, read_settings
from ..settings.model import DaemonSettings
from .errors import CommandError
from .options import json_option
from .output import print_json

LIST_SETTINGS = ("seeds", "operator_keys")
"""Settings that are lists; their flag is given once for each entry."""
SETTINGS_WITHOUT_FLAG = ("role", *SECRET_KEYS)
"""Settings without a flag: the subcommand determines the role, and a secret must not be on a command line."""
FLAG_DESCRIPTIONS = {
    "name": "The daemon's name, alone in the fleet",
    "zone": "The zone it stands in",
    "internal": "Where other daemons reach it",
    "operator": "Where operators, workers and the platform reach it",
    "caller": "Where callers reach it (routers only)",
    "seeds": "Internal addresses of three other daemons",
    "data_folder": "Where a control daemon keeps its files",
    "operator_keys": "Operators' public keys whose bundles are taken",
    "removed_key_bound": "A router that can't prove its bundle the newest stops in time for this; left out: serves on",
    "balancing": "How a worker is chosen for a turn",
    "record_file": "Where a router records its day, below the data folder",
    "log_calls": "Whether a router writes a line for each call",
    "worker_check": "How doubtful workers are found to work: health checks, or real calls one at a time",
    "worker_unrenewed_after": "Silence after which a worker is avoided",
    "quota_window": "Window over which the tolerance of tenants' shares is meant",
    "quota_over": "Part by which a tenant may pass its share in a window",
    "quota_slack": "What it may pass its share by beside that, in its unit",
    "retry_window": "Window over which the fleet's tries beyond the first are bounded",
    "retry_ratio": "Tries beyond the first, as a part of the window's calls",
    "retry_slack": "Tries beyond that which the fleet may make in a window",
    "call_bounds": "Whether callers' patience is the service's or told with each call",
    "keep_connections": "Whether routers keep connections to workers for later calls",
    "drain_notice": "How long a router that goes down still takes calls",
    "stop_within": "Longest time from SIGTERM to the end",
    "ledger_retention": "How long control remembers calls that may run once only",
    "outcome_retention": "How many orders' outcomes control keeps",
    "history_versions": "How many past versions' slices control keeps",
    "body_bytes": "Largest body of a call",
    "bundle_bytes": "Largest bundle",
    "losses_borne": "How many control daemons with a disk may be lost at once (1 or 2)",
    "begin_empty_when_damaged": "For one start: put a damaged journal aside and be filled by the peers",
}


FlagValue = str | tuple[str, ...] | None
"""The text of a flag; a tuple for a flag that may be given several times; None for one that was not given."""


def _flags(command: Callable[..., None]) -> Callable[..., None]:
    """Adds one option to a daemon's command for each setting that may be given as a flag."""
    for field in reversed(msgspec.structs.fields(DaemonSettings)):
        if field.name in SETTINGS_WITHOUT_FLAG:
            continue
        several = field.name in LIST_SETTINGS
        expected = "one flag each" if several else expectation(field.name).removeprefix("expected ")
        default = (
            "" if field.required or field.default in (None, msgspec.NODEFAULT) else f", {field.default} if left out"
        )
        command = click.option(
            f"--{FLAG_FOR_KEY[field.name]}",
            field.name,
            multiple=several,
            metavar="TEXT",
            help=f"{FLAG_DESCRIPTIONS[field.name]}: {expected}{default}.",
        )(command)
    return command


def _parse_flag(name: str, text: str) -> object:
    """Converts the text of a flag to a number or boolean; its range is checked together with the file's settings."""
    types = str(DaemonSettings.__annotations__[name])
    if types == "bool" and text in ("true", "false"):
        return text == "true"
    if not any(word in types for word in ("int", "Seconds")):
        return text
    try:
        return int(text)
    except ValueError:
        try:
            return float(text)
        except ValueError:
            return text


def _settings_from_flags(flags: Mapping[str, FlagValue]) -> dict[str, object]:
    found: dict[str, object] = {}
    for name, value in flags.items():
        if isinstance(value, tuple):
            if value:
                found[name] = list(value)
        elif value is not None:
            found[name] = _parse_flag(name, value)
    return found


def load_settings(file: Path | None, flags: dict[str, object]) -> DaemonSettings:
    """Reads settings from a file, overridden by flags; raises CommandError if they are invalid."""
    read = read_settings(file, flags)
    if isinstance(read, Failure):
        raise CommandError(str(read.failure()))
    return read.unwrap()


def _run_daemon(role: str, file: Path | None, fleet_key_file: Path | None, flags: Mapping[str, FlagValue]) -> None:
    given = {"role": role, **_settings_from_flags(flags)}
    if fleet_key_file is not None:
        given["fleet_key_file"] = str(fleet_key_file)
    settings = load_settings(file, given)
    module = importlib.import_module(f"..daemons.{role}", __package__)
    code = module.run(settings)
    raise click.exceptions.Exit(code if isinstance(code, int) else 0)


settings_option = click.option(
    "--settings", "file", type=click.Path(path_type=Path), help="TOML file; flags win over it. See docs/COMMANDS.md."
)
fleet_key_option = click.option(
    "--fleet-key-file", type=click.Path(path_type=Path), help="File with the daemons' shared secret as hex digits."
)


@click.command()
@settings_option
@fleet_key_option
@_flags
def router(file: Path | None, fleet_key_file: Path | None, **flags: FlagValue) -> None:
    """Runs a router daemon: takes callers' calls and chooses a worker for each turn."""
    _run_daemon("router", file, fleet_key_file, flags)


@click.command()
@settings_option
@fleet_key_option
@_flags
def control(file: Path | None, fleet_key_file: Path | None, **flags: FlagValue) -> None:
    """Runs a control daemon: keeps, checks and delivers the bundles."""
    _run_daemon("control", file, fleet_key_file, flags)


@click.group("settings")
def settings_group() -> None:
    """Daemons' settings files."""


@settings_group.command("check")
@click.argument("file", type=click.Path(path_type=Path))
@json_option
def check(file: Path, as_json: bool) -> None:
    """Reads a daemon's settings file as the daemon would and prints what it would run with."""
    settings = load_settings(file, {})
    shown = {
        field.name: "(hidden)" if field.name == "fleet_key" else getattr(settings, field.name)
        for field in msgspec.structs.fields(DaemonSettings)
    }
    if as_json:
        print_json(shown)
        return
    click.echo(f"{file}: in order")
    for name, value in shown.items():
        text = ", ".join(str(each) for each in value) if isinstance(value, tuple) else value
        click.echo(f"  {name} = {text}")
