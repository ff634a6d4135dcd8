"""Commands `wingwood bundle`: check, sign, push, change, show, history, diff."""

from __future__ import annotations

from collections.abc import Sequence
from datetime import UTC, datetime
from pathlib import Path

import click
import msgspec
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from ..bundle.model import Order, OrderOutcome
from ..bundle.reading import HistoryAnswer
from ..identifiers import Address, BundleVersion
from ..operator_api.reading import BundleDocument
from ..rollout.plan import preserve_rollouts, read_rollouts
from .change import changed_slices, differences, rebase
from .client import OperatorClient
from .errors import CommandError, ExitCode
from .options import json_option, key_option, retry_timeout_option, to_option
from .orders import latest_slices, operator_client, print_message, private_key, sign_order, slices_of, submit
from .output import print_json, print_table
from .rollout_table import print_rollouts
from .source import Slices, check_bundle, read_source, write_source

EXIT_CODE_BY_OUTCOME = {"accepted": ExitCode.DONE, "conflict": ExitCode.CONFLICT, "invalid": ExitCode.REFUSED}
MAX_REBASES = 10
"""Number of times that a change is made again after a conflict."""


@click.group()
def bundle() -> None:
    """The signed configuration: check, sign, push, change, show, history, diff."""


@bundle.command()
@click.argument("source", type=click.Path(path_type=Path))
@json_option
def check(source: Path, as_json: bool) -> None:
    """Reads SOURCE (a TOML file or a folder of them) and checks all that daemons check."""
    slices = read_source(source)
    checked = check_bundle(slices)
    counts = {
        "services": len(checked.services),
        "routes": len(checked.routes),
        "classes": len(checked.classes),
        "tenants": len(checked.tenants),
        "keys": len(checked.keys),
        "bytes": sum(map(len, slices.values())),
    }
    if as_json:
        print_json(counts)
    else:
        click.echo("in order: " + ", ".join(f"{count} {name}" for name, count in counts.items()))


@bundle.command()
@click.argument("source", type=click.Path(path_type=Path))
@key_option
@click.option("--output", type=click.Path(path_type=Path), required=True, help="Where the signed order goes.")
@click.option("--base", type=click.IntRange(0), help="The version it builds on. Without --base and --to: 0.")
@click.option("--order", help="The order's id; made up when left out.")
@to_option
@json_option
def sign(
    source: Path,
    key_file: Path | None,
    output: Path,
    base: int | None,
    order: str | None,
    addresses: tuple[Address, ...],
    as_json: bool,
) -> None:
    """Signs SOURCE as a whole bundle, to be pushed from elsewhere. With --to it builds on the newest version.

    Without --to nothing but SOURCE remains: roll-outs that are under way end with it.
    """
    slices = read_source(source)
    check_bundle(slices)
    private = private_key(key_file)
    before: Slices = {}
    version = BundleVersion(base or 0)
    if base is None and addresses:
        version, before = latest_slices(operator_client(addresses))
        slices = preserve_rollouts(before, slices)
        check_bundle(slices)
    signed = sign_order(version, before, slices, private, order)
    if not before:
        signed = msgspec.structs.replace(signed, replaces_all=True)
    try:
        output.write_bytes(msgspec.json.encode(signed) + b"\n")
    except OSError as problem:
        raise CommandError(f"{output}: cannot be written: {problem.strerror}") from None
    summary = {"order": signed.manifest.order, "version": signed.manifest.version, "file": str(output)}
    if as_json:
        print_json(summary)
    else:
        click.echo(f"order {summary['order']} for version {summary['version']} signed, in {output}")


@bundle.command()
@click.argument("file", type=click.Path(path_type=Path))
@key_option
@click.option("--order", help="The order's id; made up when left out.")
@click.option(
    "--rebase", "may_rebase", is_flag=True, help="After a conflict, make the same change to the version that won."
)
@retry_timeout_option("Seconds of trying.")
@to_option
@json_option
def push(
    file: Path,
    key_file: Path | None,
    order: str | None,
    may_rebase: bool,
    retry_timeout: float,
    addresses: tuple[Address, ...],
    as_json: bool,
) -> None:
    """Puts FILE in force: a bundle source (signed now, against the newest version) or a signed order.

    After a lost answer the same order goes to the next daemon; run again with the saved order, it is safe.
    """
    client = operator_client(addresses, retry_timeout)
    if file.is_dir() or file.suffix == ".toml":
        wanted = read_source(file)
        check_bundle(wanted)
        version, before = latest_slices(client)
        wanted = preserve_rollouts(before, wanted)
        check_bundle(wanted)
        _push(client, version, before, wanted, private_key(key_file), order, may_rebase, as_json)
        return
    _report(submit(client, _read_order(file), file), as_json, hint="")


@bundle.command()
@click.option("--set", "sets", multiple=True, metavar="KIND/NAME.FIELD=VALUE", help="Set a field.")
@click.option("--remove", "removes", multiple=True, metavar="KIND/NAME", help="Take a slice out.")
@click.option("--add-key", "add_keys", multiple=True, metavar="tenant/NAME=DIGEST", help="Give a tenant a key.")
@click.option("--remove-key", "remove_keys", multiple=True, metavar="DIGEST", help="Take a caller's key away.")
@click.option("--file", "files", multiple=True, type=click.Path(path_type=Path), help="Put in the slices of a source.")
@key_option
@click.option("--order", help="The order's id; made up when left out.")
@click.option(
    "--rebase", "may_rebase", is_flag=True, help="After a conflict, make the same change to the version that won."
)
@retry_timeout_option("Seconds of trying.")
@click.option("--dry-run", is_flag=True, help="Show the difference, send nothing.")
@to_option
@json_option
def change(
    sets: tuple[str, ...],
    removes: tuple[str, ...],
    add_keys: tuple[str, ...],
    remove_keys: tuple[str, ...],
    files: tuple[Path, ...],
    key_file: Path | None,
    order: str | None,
    may_rebase: bool,
    retry_timeout: float,
    dry_run: bool,
    addresses: tuple[Address, ...],
    as_json: bool,
) -> None:
    """Makes a small change to the newest version: files are put in first, then fields and keys, then removals."""
    if not any((sets, removes, add_keys, remove_keys, files)):
        raise CommandError("nothing to change: use --set, --remove, --add-key, --remove-key or --file")
    client = operator_client(addresses, retry_timeout)
    version, before = latest_slices(client)
    wanted = changed_slices(before, files=files, sets=sets, add_keys=add_keys, remove_keys=remove_keys, removes=removes)
    check_bundle(wanted)
    if dry_run:
        _print_differences(differences(before, wanted), as_json)
        return
    _push(client, version, before, wanted, private_key(key_file), order, may_rebase, as_json)


def _push(
    client: OperatorClient,
    version: BundleVersion,
    before: Slices,
    wanted: Slices,
    private: Ed25519PrivateKey,
    order: str | None,
    may_rebase: bool,
    as_json: bool,
) -> None:
    """Sends the changes from ``before`` to ``wanted``; after conflicts it rebases them if ``may_rebase`` is set."""
    for _ in range(MAX_REBASES):
        if wanted == before:
            if as_json:
                print_json({"outcome": "unchanged", "version": version})
            else:
                click.echo(f"nothing differs from version {version}; nothing sent")
            return
        outcome = submit(client, sign_order(version, before, wanted, private, order), None)
        if outcome.outcome != "conflict" or not may_rebase:
            break
        print_message(f"{outcome.reason}; making the same change to the newest version")
        base = before
        version, before = latest_slices(client)
        wanted = rebase(base, wanted, before)
        check_bundle(wanted)
        order = None
    _report(outcome, as_json, "" if may_rebase else "; --rebase makes the same change to the newest version")


def _read_order(file: Path) -> Order:
    try:
        return msgspec.json.decode(file.read_bytes(), type=Order)
    except OSError as problem:
        raise CommandError(f"{file}: cannot be read: {problem.strerror}") from None
    except (msgspec.MsgspecError, UnicodeError) as malformed:
        raise CommandError(
            f"{file}: not a signed order ({malformed}); `wingwood bundle sign` makes one, and sources end in .toml"
        ) from None


def _report(outcome: OrderOutcome, as_json: bool, hint: str) -> None:
    if as_json:
        print_json(outcome)
    elif outcome.outcome == "accepted":
        click.echo(f"accepted: version {outcome.version} (order {outcome.order})")
    elif outcome.outcome == "conflict":
        print_message(f"conflict: {outcome.reason}{hint}")
    else:
        print_message(f"{outcome.outcome}: {outcome.reason}")
    if outcome.outcome != "accepted":
        raise click.exceptions.Exit(int(EXIT_CODE_BY_OUTCOME[outcome.outcome]))


@bundle.command()
@click.option("--version", "version", type=click.IntRange(1), help="An older version that control still keeps.")
@click.option("--newest", is_flag=True, help="The newest version as control knows it, not what is in force there.")
@click.option("--toml", "as_toml", is_flag=True, help="Print a source that `bundle push` takes.")
@to_option
@json_option
def show(version: int | None, newest: bool, as_toml: bool, addresses: tuple[Address, ...], as_json: bool) -> None:
    """Reads back the bundle in force on a daemon."""
    shown = _read_version(operator_client(addresses), version, newest)
    if as_json:
        print_json(shown)
    elif as_toml:
        slices = slices_of(shown)
        owned = preserve_rollouts(slices, {})
        click.echo(write_source({name: data for name, data in slices.items() if name not in owned}), nl=False)
    else:
        _print_bundle(shown)


def _read_version(client: OperatorClient, version: int | None, newest: bool = False) -> BundleDocument:
    query = f"?version={version}" if version is not None else "?newest=1" if newest else ""
    return client.read(f"/control/v1/bundle{query}", BundleDocument)


def _print_bundle(shown: BundleDocument) -> None:
    manifest = shown.manifest
    click.echo(f"version {shown.version}{', the newest' if shown.is_latest else ''}, order {manifest.order}")
    click.echo(f"signed {_format_time(manifest.signed_at)} by {manifest.signer}")
    for kind, titles in (
        ("service", ("pool", "kind", "repeatable", "streaming", "deadline", "first_byte_patience", "retry_share")),
        ("route", ("path_prefix", "service", "methods")),
        ("class", ("weight",)),
        ("tenant", ("priority_class", "paid_rate", "burst", "keys", "services")),
    ):
        rows = []
        for name in sorted(name for name in shown.slices if name.startswith(f"{kind}/")):
            fields = msgspec.json.decode(shown.slices[name], type=dict[str, object])
            rows.append([name.partition("/")[2], *(_shorten(title, fields.get(title)) for title in titles)])
        if rows:
            click.echo()
            print_table((kind, *titles), rows)
    rollouts = read_rollouts(slices_of(shown))
    if rollouts:
        click.echo()
        print_rollouts(rollouts.values())


def _shorten(field: str, value: object) -> object:
    if field == "keys" and isinstance(value, list):
        return [f"{digest[:12]}.." for digest in value]
    if field == "services" and not value:
        return "all"
    return value


def _format_time(seconds: float) -> str:
    return datetime.fromtimestamp(seconds, UTC).strftime("%Y-%m-%d %H:%M:%S UTC")


@bundle.command()
@click.option("--most", type=click.IntRange(1, 1000), default=20, show_default=True, help="How many versions.")
@to_option
@json_option
def history(most: int, addresses: tuple[Address, ...], as_json: bool) -> None:
    """Lists versions, newest first: when, by whom, and what changed."""
    answer = operator_client(addresses).read(f"/control/v1/history?most={most}", HistoryAnswer)
    if as_json:
        print_json(answer)
        return
    rows = [
        (
            entry.version,
            _format_time(entry.signed_at),
            entry.signer[:12],
            entry.order,
            _names(entry.changed, entry.removed),
        )
        for entry in answer.entries
    ]
    print_table(("version", "signed", "signer", "order", "changed"), rows)


def _names(changed: Sequence[str], removed: Sequence[str]) -> str:
    names = [*changed, *(f"-{name}" for name in removed)]
    more = f" and {len(names) - 5} more" if len(names) > 5 else ""
    return (", ".join(names[:5]) or "nothing") + more


@bundle.command()
@click.argument("old", type=click.IntRange(0))
@click.argument("new", type=click.IntRange(1), required=False)
@to_option
@json_option
def diff(old: int, new: int | None, addresses: tuple[Address, ...], as_json: bool) -> None:
    """Shows what differs from version OLD to NEW (the newest when left out)."""
    client = operator_client(addresses)
    before = slices_of(_read_version(client, old)) if old else {}
    after = slices_of(_read_version(client, new, newest=True))
    _print_differences(differences(before, after), as_json)


def _print_differences(found: list[dict[str, object]], as_json: bool) -> None:
    if as_json:
        print_json(found)
        return
    if not found:
        click.echo("nothing differs")
    rows = [
        (entry["slice"], entry["done"], field, _format_value(values["old"]), _format_value(values["new"]))
        for entry in found
        if isinstance(entry["fields"], dict)
        for field, values in entry["fields"].items()
    ]
    if rows:
        print_table(("slice", "done", "field", "old", "new"), rows)


def _format_value(value: object) -> str:
    text = "-" if value is None else msgspec.json.encode(value).decode()
    return text if len(text) <= 60 else text[:57] + "..."
