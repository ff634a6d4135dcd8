"""Commands `wingwood key` and `wingwood caller-key`, which create keys for operators, fleets and callers."""

from __future__ import annotations

import hashlib
import os
import secrets
from pathlib import Path

import click
from cryptography.exceptions import UnsupportedAlgorithm
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from cryptography.hazmat.primitives.serialization import (
    Encoding,
    NoEncryption,
    PrivateFormat,
    load_pem_private_key,
)

from ..bundle.signing import public_hex
from .errors import CommandError
from .output import print_json


@click.group()
def key() -> None:
    """Operators' signing keys, and the key that a fleet's daemons share."""


@key.command("new")
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--fleet", is_flag=True, help="Make a fleet key (hex, for fleet_key in settings), not an operator's.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def new_key(file: Path, fleet: bool, as_json: bool) -> None:
    """Makes a key in FILE, which must not exist yet and only its owner may read.

    An operator's public key goes into operator_keys of every daemon's settings.
    """
    if fleet:
        _write_secret(file, secrets.token_hex(32).encode() + b"\n")
        if as_json:
            print_json({"file": str(file)})
        else:
            click.echo(f"fleet key in {file}; it is fleet_key in the settings of every daemon")
        return
    private = Ed25519PrivateKey.generate()
    _write_secret(file, private.private_bytes(Encoding.PEM, PrivateFormat.PKCS8, NoEncryption()))
    if as_json:
        print_json({"file": str(file), "public_key": public_hex(private)})
    else:
        click.echo(f"private key in {file}; keep it secret")
        click.echo(f"public key {public_hex(private)}")


@key.command("show")
@click.argument("file", type=click.Path(path_type=Path))
def show_key(file: Path) -> None:
    """Prints the public key of the operator's private key in FILE."""
    click.echo(public_hex(read_key(file)))


@click.group("caller-key")
def caller_key() -> None:
    """Keys that tenants' callers send; bundles hold only their digests."""


@caller_key.command("new")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def new_caller_key(as_json: bool) -> None:
    """Makes a caller's key and prints it with its digest. It is kept nowhere."""
    made = secrets.token_urlsafe(32)
    digest = hashlib.sha256(made.encode()).hexdigest()
    if as_json:
        print_json({"key": made, "digest": digest})
    else:
        click.echo(f"key    {made}")
        click.echo(f"digest {digest}")
        click.echo(f"give the key to the caller; wingwood bundle change --add-key tenant/NAME={digest}")


def _write_secret(file: Path, data: bytes) -> None:
    """Creates a file that only its owner may read; raises CommandError if it exists or can't be written."""
    try:
        descriptor = os.open(file, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
    except FileExistsError:
        raise CommandError(f"{file} exists; a key is never written over, choose another name") from None
    except OSError as problem:
        raise CommandError(f"{file}: cannot be written: {problem.strerror}") from None
    with os.fdopen(descriptor, "wb") as opened:
        opened.write(data)


def read_key(file: Path) -> Ed25519PrivateKey:
    """Reads an operator's private key; raises CommandError if the file holds none."""
    try:
        private = load_pem_private_key(file.read_bytes(), password=None)
    except OSError as problem:
        raise CommandError(f"{file}: cannot be read: {problem.strerror}") from None
    except (ValueError, TypeError, UnsupportedAlgorithm):
        private = None
    if not isinstance(private, Ed25519PrivateKey):
        raise CommandError(f"{file}: not an operator's key; `wingwood key new` makes one")
    return private
