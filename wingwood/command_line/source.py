"""Reads operators' bundle files in TOML into canonical slices and writes them back (docs/DESIGN.md section 5.6)."""

from __future__ import annotations

import tomllib
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import get_args

import msgspec
import voluptuous
from returns.result import Failure

from ..bundle.canonical import canonical_json, root_digest, slice_digest
from ..bundle.model import Bundle, CallerLimits, Engine, Pool, PoolShare, PriorityClass, Service, Tenant
from ..bundle.parse import empty_bundle, parse_bundle
from ..bundle.route import Route
from ..identifiers import SliceName
from .errors import CommandError

Slices = dict[SliceName, bytes]
"""Slices as canonical JSON, by name."""

Check = Callable[[object], object]
"""Returns the checked value of a field, or raises ``voluptuous.Invalid``."""

KINDS: Mapping[str, type[Service | Route | PriorityClass | Tenant | Pool | CallerLimits]] = {
    "service": Service,
    "route": Route,
    "class": PriorityClass,
    "tenant": Tenant,
    "pool": Pool,
    "limits": CallerLimits,
}


def _number(value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise voluptuous.Invalid("expected a number")
    return float(value)


def _integer(value: object) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise voluptuous.Invalid("expected a whole number")
    return value


def _boolean(value: object) -> bool:
    if not isinstance(value, bool):
        raise voluptuous.Invalid("expected true or false")
    return value


def _text(value: object) -> str:
    if not isinstance(value, str):
        raise voluptuous.Invalid("expected text")
    return value


def _texts(value: object) -> tuple[str, ...]:
    if not isinstance(value, (list, tuple)) or not all(isinstance(each, str) for each in value):
        raise voluptuous.Invalid("expected a list of texts")
    return tuple(value)


def _one_of(part: type[Service | Tenant], field: str) -> Callable[[object], str]:
    allowed = get_args(next(each.type for each in msgspec.structs.fields(part) if each.name == field))

    def check(value: object) -> str:
        if value not in allowed:
            raise voluptuous.Invalid(f"expected one of {', '.join(allowed)}")
        return str(value)

    return check


def _optional(check: Check) -> Check:
    return lambda value: None if value is None else check(value)


def _struct(part: object) -> Check:
    """Returns a check that converts a table to the type ``part``, or a list of tables if ``part`` is a tuple type."""

    def check(value: object) -> object:
        try:
            return msgspec.convert(value, type=part)
        except msgspec.ValidationError as problem:
            raise voluptuous.Invalid(str(problem)) from None

    return check


_ANNOTATIONS = _struct(dict[str, object])


FIELDS: Mapping[str, Mapping[str, Check]] = {
    "service": {
        "name": _text,
        "pool": _text,
        "kind": _one_of(Service, "kind"),
        "repeatable": _boolean,
        "streaming": _boolean,
        "deadline": _number,
        "first_byte_patience": _number,
        "silence_patience": _number,
        "retry_share": _number,
        "split": _struct(tuple[PoolShare, ...]),
        "latency_objective": _optional(_number),
        "longest_pause": _optional(_number),
        "attempts": _integer,
        "urgency": _integer,
        "resumable": _boolean,
        "idempotency_keys": _boolean,
    },
    "route": {
        "name": _text,
        "path_prefix": _text,
        "service": _text,
        "methods": _texts,
        "host": _text,
        "needs_key": _boolean,
        "position": _integer,
        "annotations": _ANNOTATIONS,
    },
    "class": {"name": _text, "weight": _number, "urgency": _optional(_integer)},
    "tenant": {
        "name": _text,
        "priority_class": _text,
        "paid_rate": _number,
        "burst": _number,
        "keys": _texts,
        "services": _texts,
        "limited": _boolean,
        "unit": _one_of(Tenant, "unit"),
        "plain_tokens": _integer,
        "position": _integer,
        "annotations": _ANNOTATIONS,
    },
    "pool": {
        "name": _text,
        "connections": _integer,
        "health_path": _text,
        "engine": _optional(_struct(Engine)),
        "position": _integer,
        "annotations": _ANNOTATIONS,
    },
    "limits": {
        "name": _text,
        "head_bytes": _integer,
        "body_bytes": _integer,
        "head_time": _number,
        "idle": _number,
        "annotations": _ANNOTATIONS,
    },
}


def _schema(kind: str) -> voluptuous.Schema:
    required = {each.encode_name for each in msgspec.structs.fields(KINDS[kind]) if each.required}
    marks = {name: voluptuous.Required if name in required else voluptuous.Optional for name in FIELDS[kind]}
    return voluptuous.Schema({marks[name](name): check for name, check in FIELDS[kind].items()})


_SCHEMAS = {kind: _schema(kind) for kind in FIELDS}
_ATTRIBUTES = {
    kind: {each.encode_name: each.name for each in msgspec.structs.fields(part)} for kind, part in KINDS.items()
}
"""For each kind, the attribute of its struct by the name of the field in a slice."""


def slice_from(kind: str, fields: Mapping[str, object], where: str) -> tuple[SliceName, bytes]:
    """Builds one slice from its fields; ``where`` names their place in error texts.

    Defaults are written out, so that a signed bundle never changes its meaning. The name of a variant ends in
    ``@zone=ZONE`` or ``@share=PERCENT``, which the field ``name`` of the slice omits. Raises CommandError for an
    unknown, missing or invalid field.
    """
    placement_suffix = ""
    if isinstance(fields.get("name"), str):
        bare, at, rest = str(fields["name"]).partition("@")
        fields, placement_suffix = {**fields, "name": bare}, at + rest
    try:
        checked = _SCHEMAS[kind](dict(fields))
    except voluptuous.MultipleInvalid as several:
        first = min(several.errors, key=lambda error: str(error.path))
        field = str(first.path[0]) if first.path else ""
        if field not in FIELDS[kind]:
            raise CommandError(f"{where}: {field} is unknown; the fields are {', '.join(FIELDS[kind])}") from None
        if field not in fields:
            raise CommandError(f"{where}: {field} is missing") from None
        raise CommandError(f"{where}: {field} is {fields[field]!r}: {first.msg}") from None
    part = KINDS[kind](**{_ATTRIBUTES[kind][field]: value for field, value in checked.items()})
    return SliceName(f"{kind}/{part.name}{placement_suffix}"), canonical_json(part)


def read_source(path: Path) -> Slices:
    """Reads a TOML file, or all ``*.toml`` files of a folder.

    The files have tables ``[tenant.NAME]`` or lists ``[[tenant]]`` with a name. Raises CommandError for a file that
    can't be read and for a slice that occurs twice.
    """
    files = sorted(path.glob("*.toml")) if path.is_dir() else [path]
    if not files:
        raise CommandError(f"{path}: no *.toml file in this folder")
    slices: Slices = {}
    origin: dict[SliceName, Path] = {}
    for file in files:
        for name, data in _read_file(file).items():
            if name in slices:
                raise CommandError(f"{file}: {name} stands in {origin[name]} too; keep one of them")
            slices[name], origin[name] = data, file
    return slices


def _read_file(file: Path) -> Slices:
    try:
        document = tomllib.loads(file.read_text())
    except OSError as problem:
        raise CommandError(f"{file}: cannot be read: {problem.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as problem:
        raise CommandError(f"{file}: not TOML: {problem}") from None
    slices: Slices = {}
    for kind, content in document.items():
        if kind not in KINDS:
            raise CommandError(f"{file}: {kind} is unknown; use {', '.join(f'[{known}.NAME]' for known in KINDS)}")
        for name, fields in _entries(file, kind, content):
            slice_name, data = slice_from(kind, fields, f"{file}: {kind}.{name}")
            if slice_name in slices:
                raise CommandError(f"{file}: {slice_name} stands twice; keep one of them")
            slices[slice_name] = data
    return slices


def _entries(file: Path, kind: str, content: object) -> list[tuple[str, dict[str, object]]]:
    if isinstance(content, dict):
        entries = []
        for name, fields in content.items():
            if not isinstance(fields, dict):
                raise CommandError(f"{file}: {kind}.{name} is {fields!r}: expected a table [{kind}.{name}]")
            if fields.get("name", name) != name:
                raise CommandError(
                    f"{file}: {kind}.{name}: name is {fields['name']!r}: leave it out, or write {name!r}"
                )
            entries.append((name, {"name": name, **fields}))
        return entries
    if isinstance(content, list) and all(isinstance(fields, dict) for fields in content):
        return [(str(fields.get("name", f"number {number + 1}")), fields) for number, fields in enumerate(content)]
    raise CommandError(f"{file}: {kind} is {content!r}: expected tables [{kind}.NAME] or [[{kind}]]")


def check_bundle(slices: Slices) -> Bundle:
    """Checks all that a daemon would check except the signature; raises CommandError if the bundle is invalid."""
    root = root_digest({name: slice_digest(data) for name, data in slices.items()})
    checked = parse_bundle(msgspec.structs.replace(empty_bundle().manifest, root=root), slices)
    if isinstance(checked, Failure):
        raise CommandError(str(checked.failure()))
    return checked.unwrap()


def write_source(slices: Mapping[SliceName, bytes]) -> str:
    """Formats slices as a bundle file that ``read_source`` accepts; roll-out records are left out."""
    blocks = []
    for kind in KINDS:
        for name in sorted(name for name in slices if name.startswith(f"{kind}/")):
            fields = msgspec.json.decode(slices[name], type=dict[str, object])
            del fields["name"]
            title = name.partition("/")[2]
            lines = [f"{field} = {_toml(value)}" for field, value in fields.items() if value is not None]
            blocks.append("\n".join([f'[{kind}."{title}"]', *lines]))
    return "\n\n".join(blocks) + "\n"


def _toml(value: object) -> str:
    """Formats a value on one line. TOML has no null, so that fields without a value are left out."""
    if isinstance(value, dict):
        fields = (f"{_quoted(str(key))} = {_toml(each)}" for key, each in value.items() if each is not None)
        return f"{{ {', '.join(fields)} }}" if value else "{}"
    if isinstance(value, list):
        return f"[{', '.join(_toml(each) for each in value)}]"
    return _quoted(value)


def _quoted(value: object) -> str:
    return msgspec.json.encode(value).decode()
