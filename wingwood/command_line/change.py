"""Makes small changes to a bundle and rebases them onto a later version (docs/DESIGN.md section 5.6)."""

from __future__ import annotations

import re
import tomllib
from collections.abc import Mapping, Sequence
from pathlib import Path

import msgspec

from ..identifiers import SliceName
from .errors import CommandError, ConflictError
from .source import FIELDS, KINDS, Slices, read_source, slice_from

_FIELD_SET = re.compile(r"([^=@]+(?:@[a-z]+=[^=]+)?)\.([^.=]+)=(.*)", re.DOTALL)


class _Keys(msgspec.Struct):
    """The field of a tenant's slice that key changes read."""

    keys: tuple[str, ...] = ()


def changed_slices(
    before: Mapping[SliceName, bytes],
    *,
    files: Sequence[Path] = (),
    sets: Sequence[str] = (),
    add_keys: Sequence[str] = (),
    remove_keys: Sequence[str] = (),
    removes: Sequence[str] = (),
) -> Slices:
    """Returns ``before`` with the slices of files added, fields set, keys added and removed, and slices removed.

    The changes are made in this order. Raises CommandError for a change that can't be made.
    """
    after = dict(before)
    for file in files:
        after.update(read_source(file))
    for text in sets:
        _set_field(after, text)
    for text in add_keys:
        name, separator, digest = text.partition("=")
        if not separator:
            raise CommandError(f"--add-key {text}: write it as tenant/NAME=DIGEST")
        _change_keys(after, _existing(after, name, "--add-key"), (), (digest,))
    for digest in remove_keys:
        _remove_key(after, digest)
    for name in removes:
        del after[_existing(after, name, "--remove")]
    return after


def _set_field(slices: Slices, text: str) -> None:
    matched = _FIELD_SET.fullmatch(text)
    if matched is None:
        raise CommandError(f"--set {text}: write it as KIND/NAME.FIELD=VALUE, such as tenant/web-shop.paid_rate=20")
    name, field, value = matched.groups()
    slice_name = _existing(slices, name, "--set")
    kind = slice_name.partition("/")[0]
    if field not in FIELDS[kind] or field == "name":
        allowed = ", ".join(each for each in FIELDS[kind] if each != "name")
        raise CommandError(f"--set {text}: {field} is unknown; the fields of a {kind} are {allowed}")
    _replace(slices, slice_name, {field: _value(value)})


def _value(text: str) -> object:
    """Parses a TOML value; anything else is taken as text, so that quotes may be left out."""
    try:
        return tomllib.loads(f"value = {text}")["value"]
    except tomllib.TOMLDecodeError:
        return text


def _replace(slices: Slices, name: SliceName, fields: Mapping[str, object]) -> None:
    current = msgspec.json.decode(slices[name], type=dict[str, object])
    kind, _, full = name.partition("/")
    new_name, data = slice_from(kind, {**current, **fields, "name": full}, name)
    slices[new_name] = data


def _existing(slices: Slices, name: str, flag: str) -> SliceName:
    slice_name = SliceName(name)
    if slice_name in slices:
        return slice_name
    kind = name.partition("/")[0]
    if kind not in KINDS:
        raise CommandError(f"{flag} {name}: write it as KIND/NAME with KIND one of {', '.join(KINDS)}")
    known = ", ".join(sorted(each for each in slices if each.startswith(f"{kind}/"))[:8]) or "none"
    raise CommandError(f"{flag} {name}: is not in the bundle; there are: {known}")


def _change_keys(slices: Slices, name: SliceName, removed: Sequence[str], added: Sequence[str]) -> None:
    if not name.startswith("tenant/"):
        raise CommandError(f"{name} has no keys; only tenants have")
    keys = msgspec.json.decode(slices[name], type=_Keys).keys
    _replace(slices, name, {"keys": [key for key in keys if key not in removed] + list(added)})


def _remove_key(slices: Slices, digest: str) -> None:
    """Removes a caller's key; ``digest`` may be shortened as ``bundle show`` prints it, while it identifies one key."""
    start = digest.removesuffix("..")
    found = [
        (name, key)
        for name in sorted(slices)
        if name.startswith("tenant/")
        for key in msgspec.json.decode(slices[name], type=_Keys).keys
        if key.startswith(start)
    ]
    if len(start) < 8 or len(found) != 1:
        raise CommandError(
            f"--remove-key {digest}: {len(found) if len(start) >= 8 else 'too short, perhaps several'} keys start so; "
            "give the digest as `wingwood bundle show --json` does, or 8 of its hex digits and more"
        )
    name, key = found[0]
    _change_keys(slices, name, (key,), ())


def rebase(old_base: Mapping[SliceName, bytes], wanted: Slices, new_base: Mapping[SliceName, bytes]) -> Slices:
    """Applies the changes from ``old_base`` to ``wanted`` to ``new_base``.

    Raises ConflictError if both changed a slice.
    """
    after = dict(new_base)
    for name in sorted({*old_base, *wanted}):
        before, mine, theirs = old_base.get(name), wanted.get(name), new_base.get(name)
        if mine in (before, theirs):
            continue
        if theirs != before:
            raise ConflictError(
                f"{name} was changed by the other order too; look at `wingwood bundle diff` and decide anew"
            )
        if mine is None:
            del after[name]
        else:
            after[name] = mine
    return after


def differences(before: Mapping[SliceName, bytes], after: Mapping[SliceName, bytes]) -> list[dict[str, object]]:
    """Returns an entry for each slice that differs: the kind of change, and the old and new value of each field."""
    found: list[dict[str, object]] = []
    for name in sorted({*before, *after}):
        old, new = before.get(name), after.get(name)
        if old == new:
            continue
        old_fields = msgspec.json.decode(old, type=dict[str, object]) if old is not None else {}
        new_fields = msgspec.json.decode(new, type=dict[str, object]) if new is not None else {}
        fields = {
            field: {"old": old_fields.get(field), "new": new_fields.get(field)}
            for field in sorted({*old_fields, *new_fields})
            if old_fields.get(field) != new_fields.get(field)
        }
        done = "added" if old is None else "removed" if new is None else "changed"
        found.append({"slice": name, "done": done, "fields": fields})
    return found
