"""Reads the latest bundle from daemons, and signs and submits orders that change it (docs/DESIGN.md section 5.3)."""

from __future__ import annotations

import math
import time
import uuid
from collections.abc import Sequence
from pathlib import Path

import click
import msgspec
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from ..bundle.model import Order, OrderOutcome
from ..bundle.orders import make_order
from ..identifiers import Address, BundleVersion, OrderId, Seconds, WallTime
from ..operator_api.reading import BundleDocument
from .client import OperatorClient
from .errors import BundleMissingError, CommandError, OutcomeUnknownError
from .keys import read_key
from .source import Slices

LATEST_BUNDLE_PATH = "/control/v1/bundle?newest=1"


def print_message(message: str) -> None:
    """Prints one line on standard error."""
    click.echo(message, err=True)


def operator_client(addresses: Sequence[Address], retry_timeout: float = 30.0) -> OperatorClient:
    """Creates a client that is closed when the command ends; orders are sent again for ``retry_timeout`` seconds."""
    client = OperatorClient(addresses, print_message, Seconds(retry_timeout))
    click.get_current_context().call_on_close(client.close)
    return client


def latest_slices(client: OperatorClient) -> tuple[BundleVersion, Slices]:
    """Reads the latest version and its slices; returns version 0 and no slices if there is no bundle yet."""
    try:
        shown = client.read_highest(
            LATEST_BUNDLE_PATH, BundleDocument, lambda shown: math.inf if shown.is_latest else shown.version
        )
    except BundleMissingError:
        return BundleVersion(0), {}
    return shown.version, slices_of(shown)


def _slices(shown: BundleDocument) -> Slices:
    return {name: bytes(raw) for name, raw in shown.slices.items()}


def slices_of(shown: BundleDocument) -> Slices:
    """Returns the slices of a bundle that a daemon returned, by name."""
    return {name: bytes(raw) for name, raw in shown.slices.items()}


def sign_order(
    base: BundleVersion, before: Slices, after: Slices, private: Ed25519PrivateKey, order: str | None
) -> Order:
    """Signs an order that changes ``before`` to ``after``; without ``order`` it gets a random id."""
    order_id = OrderId(order or uuid.uuid4().hex)
    return make_order(base, before, after, private, order_id, WallTime(time.time()))


def private_key(key_file: Path | None) -> Ed25519PrivateKey:
    """Reads the operator's private key; raises CommandError if no file is named or it holds no key."""
    if key_file is None:
        raise CommandError("an order must be signed: name the operator's key with --key FILE or in WINGWOOD_KEY")
    return read_key(key_file)


def submit(client: OperatorClient, order: Order, file: Path | None) -> OrderOutcome:
    """Sends an order and returns its outcome.

    If the outcome stays unknown, saves the order to a file unless it was read from ``file``, and raises
    OutcomeUnknownError with the command that sends the same order again.
    """
    outcome = client.submit(order)
    if outcome is not None:
        return outcome
    if file is None:
        file = Path(f"order-{order.manifest.order}.json")
        file.write_bytes(msgspec.json.encode(order) + b"\n")
    again = f"wingwood bundle push {file} --to {client.addresses[0]}"
    raise OutcomeUnknownError(
        f"no daemon said what became of order {order.manifest.order}: it may or may not come in force. "
        f"Sending the same order again is safe: {again}"
    )
