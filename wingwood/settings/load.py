"""Reads and checks a daemon's settings (docs/DESIGN.md section 6)."""

from __future__ import annotations

import re
import tomllib
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import get_args

import msgspec
import voluptuous
from returns.result import Failure, Result, Success

from ..identifiers import Address, parse_address
from .model import DaemonSettings

MIN_FLEET_KEY_BYTES = 16
"""Length of the shortest fleet key that is accepted."""
FLEET_KEY_FILE = "fleet_key_file"
"""Settings key that names a file with the fleet key; it replaces ``fleet_key``."""
SECRET_KEYS = ("fleet_key", "signing_key")
"""Settings keys whose values are never shown and have no flag on the command line."""


Check = Callable[[object], object]
"""Returns the checked value of a key, or raises ``_Expected``."""


class SettingsProblem(msgspec.Struct, frozen=True, kw_only=True):
    """Reason for refusing settings: the file, the key, the value found there, and the value expected."""

    file: str
    key: str = ""
    value: str = ""
    expected: str

    def __str__(self) -> str:
        key = f": {self.key}" if self.key else ""
        value = f" = {self.value}" if self.value else ""
        return f"{self.file}{key}{value}: {self.expected}"


class _Expected(voluptuous.Invalid):
    """Raised for an invalid value; the message says which values are valid."""


def _integer(low: int, high: int) -> Callable[[object], int]:
    def check(value: object) -> int:
        if type(value) is not int or not low <= value <= high:
            raise _Expected(f"expected a whole number from {low} to {high}")
        return value

    return check


def _number(low: float, high: float, what: str = "a number") -> Callable[[object], float]:
    def check(value: object) -> float:
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not low <= value <= high:
            raise _Expected(f"expected {what} from {low:g} to {high:g}")
        return float(value)

    return check


def _seconds(low: float, high: float) -> Callable[[object], float]:
    return _number(low, high, "seconds as a number")


def _text(pattern: str, expected: str) -> Callable[[object], str]:
    compiled = re.compile(pattern)

    def check(value: object) -> str:
        if not isinstance(value, str) or not compiled.fullmatch(value):
            raise _Expected(f"expected {expected}")
        return value

    return check


def _one_of(*allowed: str) -> Callable[[object], str]:
    def check(value: object) -> str:
        if not isinstance(value, str) or value not in allowed:
            raise _Expected(f"expected one of {', '.join(allowed)}")
        return value

    return check


def _address(value: object) -> Address:
    if not isinstance(value, str):
        raise _Expected('expected an address as text, such as "127.0.0.1:7000"')
    try:
        return parse_address(value)
    except ValueError as problem:
        raise _Expected(f"expected an address such as 127.0.0.1:7000: {problem}") from None


def _list_of(check: Check, least: int, most: int, what: str) -> Callable[[object], tuple[object, ...]]:
    def check_list(value: object) -> tuple[object, ...]:
        if not isinstance(value, (list, tuple)) or not least <= len(value) <= most:
            raise _Expected(f"expected a list of {least} to {most} {what}")
        found = tuple(check(each) for each in value)
        if len(set(found)) != len(found):
            raise _Expected(f"expected a list of {what}, each named once")
        return found

    return check_list


def _fleet_key(value: object) -> bytes:
    if not isinstance(value, str) or not re.fullmatch(r"([0-9a-fA-F]{2}){16,64}", value):
        raise _Expected(
            f"expected {MIN_FLEET_KEY_BYTES} to 64 bytes as hex digits; `wingwood key new --fleet` makes them"
        )
    if len(set(value)) == 1:
        raise _Expected("expected a secret, not one digit over and over; `wingwood key new --fleet` makes one")
    return bytes.fromhex(value)


def _signing_key(value: object) -> bytes:
    if not isinstance(value, str) or not re.fullmatch(r"[0-9a-fA-F]{64}", value):
        raise _Expected("expected the 32 bytes of an Ed25519 private key as 64 hex digits")
    if len(set(value.lower())) == 1:
        raise _Expected("expected a secret, not one digit over and over")
    return bytes.fromhex(value)


def _boolean(value: object) -> bool:
    if not isinstance(value, bool):
        raise _Expected("expected true or false")
    return value


_NAME = _text(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}", "1 to 64 letters of A-Z a-z 0-9 . _ -")
_PATH = _text(r"[^\x00\n]{1,1024}", "a path as text")


_literals: dict[str, tuple[str, ...]] = {
    each.name: tuple(get_args(each.type)) for each in msgspec.structs.fields(DaemonSettings)
}

CHECKS: Mapping[str, Check] = {
    "name": _NAME,
    "role": _one_of(*_literals["role"]),
    "zone": _NAME,
    "internal": _address,
    "operator": _address,
    "caller": _address,
    "seeds": _list_of(_address, 1, 16, "addresses"),
    "data_folder": _PATH,
    "fleet_key": _fleet_key,
    "operator_keys": _list_of(
        _text(r"(?!(.)\1{63})[0-9a-f]{64}", "Ed25519 public keys of 64 hex digits; `wingwood key new` prints them"),
        1,
        1000,
        "operators' public keys",
    ),
    "signing_key": _signing_key,
    "removed_key_bound": _seconds(2.0, 3600.0),
    "balancing": _one_of(*_literals["balancing"]),
    "worker_check": _one_of(*_literals["worker_check"]),
    "worker_unrenewed_after": _seconds(1.0, 600.0),
    "record_file": _PATH,
    "log_calls": _boolean,
    "quota_window": _seconds(1.0, 3600.0),
    "quota_over": _number(0.0, 1.0),
    "quota_slack": _number(0.0, 1e12),
    "retry_window": _seconds(1.0, 3600.0),
    "retry_ratio": _number(0.0, 1.0),
    "retry_slack": _number(0.0, 1e6),
    "call_bounds": _one_of(*_literals["call_bounds"]),
    "keep_connections": _boolean,
    "drain_notice": _seconds(0.0, 600.0),
    "stop_within": _seconds(0.0, 600.0),
    "ledger_retention": _seconds(60.0, 7 * 86400.0),
    "outcome_retention": _integer(1_000, 10_000_000),
    "history_versions": _integer(10, 100_000),
    "body_bytes": _integer(1024, 64 * 1024 * 1024),
    "losses_borne": _integer(1, 2),
    "begin_empty_when_damaged": _boolean,
    "bundle_bytes": _integer(64 * 1024, 64 * 1024 * 1024),
}
"""One check for each key of ``DaemonSettings``; a test compares the keys of both."""

FLAG_FOR_KEY: Mapping[str, str] = {name: name.replace("_", "-") for name in CHECKS} | {
    "seeds": "seed",
    "operator_keys": "operator-key",
}
"""Command-line flag for each key; the flag of a list is given once per entry."""

_REQUIRED = tuple(each.name for each in msgspec.structs.fields(DaemonSettings) if each.required)
_SCHEMA = voluptuous.Schema(
    {(voluptuous.Required if name in _REQUIRED else voluptuous.Optional)(name): check for name, check in CHECKS.items()}
)


def read_settings(file: Path | None, flags: Mapping[str, object]) -> Result[DaemonSettings, SettingsProblem]:
    """Reads and checks settings from a TOML file (None: from flags only); flags override the file.

    Values of flags have the types that TOML would give them. Instead of ``fleet_key`` the settings may contain
    ``fleet_key_file``, the path of a file with the hex digits of the key.
    """
    document: dict[str, object] = {}
    if file is not None:
        match read_toml(file):
            case Success(read):
                document = read
            case Failure(problem):
                return Failure(problem)
    replaced = [each for each in ("fleet_key", FLEET_KEY_FILE) if each in flags]
    given = {key: value for key, value in document.items() if not (replaced and key in ("fleet_key", FLEET_KEY_FILE))}
    given.update(flags)
    name = str(file) if file is not None else "flags"
    if FLEET_KEY_FILE in given:
        if "fleet_key" in given:
            return Failure(
                SettingsProblem(file=name, key=FLEET_KEY_FILE, expected="give fleet_key or fleet_key_file, not both")
            )
        path = given.pop(FLEET_KEY_FILE)
        try:
            given["fleet_key"] = Path(str(path)).read_text().strip()
        except (OSError, ValueError) as problem:
            expected = f"cannot be read ({problem}); `wingwood key new --fleet {path}` makes it"
            return Failure(SettingsProblem(file=name, key=FLEET_KEY_FILE, value=repr(path), expected=expected))
    return check_settings(given, name, flags)


def read_toml(file: Path) -> Result[dict[str, object], SettingsProblem]:
    """Returns the content of a TOML file, or the problem when it can't be read or is not TOML."""
    try:
        return Success(tomllib.loads(file.read_text()))
    except OSError as problem:
        return Failure(SettingsProblem(file=str(file), expected=f"cannot be read: {problem.strerror}"))
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as problem:
        return Failure(SettingsProblem(file=str(file), expected=f"not TOML: {problem}"))


def check_settings(
    document: Mapping[str, object], file: str, flags: Mapping[str, object] | None = None
) -> Result[DaemonSettings, SettingsProblem]:
    """Returns the checked settings; else a problem that names the first invalid key and the flag or file with it."""
    try:
        checked = _SCHEMA(dict(document))
    except voluptuous.MultipleInvalid as several:
        first = min(several.errors, key=lambda error: (str(error.path[0]) not in document, str(error.path)))
        key = str(first.path[0]) if first.path else ""
        where = f"flag --{FLAG_FOR_KEY.get(key, key)}" if key in (flags or {}) else file
        if key not in CHECKS:
            near = f"unknown key; the keys are {', '.join([*CHECKS, FLEET_KEY_FILE])}"
            return Failure(SettingsProblem(file=where, key=key, expected=near))
        if key not in document:
            return Failure(SettingsProblem(file=file, key=key, expected=f"missing; {expectation(key)}"))
        shown = "(hidden)" if key in SECRET_KEYS else repr(document[key])[:80]
        return Failure(SettingsProblem(file=where, key=key, value=shown, expected=first.msg))
    return _check_together(DaemonSettings(**checked), file)


def _check_together(settings: DaemonSettings, file: str) -> Result[DaemonSettings, SettingsProblem]:
    """Checks the rules that involve more than one key."""

    def problem(key: str, value: object, expected: str) -> Result[DaemonSettings, SettingsProblem]:
        return Failure(SettingsProblem(file=file, key=key, value=str(value), expected=expected))

    if settings.role == "router" and settings.caller is None:
        return problem("caller", "", "missing; a router needs the address for its callers, such as 10.0.0.7:8000")
    if settings.role == "control" and settings.caller is not None:
        return problem("caller", settings.caller, "a control daemon accepts no calls; remove the key")
    if settings.record_file is not None and settings.data_folder is None:
        return problem("record_file", settings.record_file, "needs data_folder, since the file is stored below it")
    own = [each for each in (settings.internal, settings.operator, settings.caller) if each is not None]
    if len(set(own)) != len(own):
        return problem("operator", settings.operator, "internal, operator and caller need three different addresses")
    return Success(settings)


def expectation(key: str) -> str:
    """Returns a description of the valid values of a key."""
    try:
        CHECKS[key](None)
    except _Expected as expected:
        return str(expected.msg)
    raise AssertionError(f"the check of {key} accepts None")
