"""Sample slices and signed orders for the tests of this and other packages."""

from __future__ import annotations

import hashlib

import msgspec
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from ...identifiers import (
    BundleVersion,
    ClassName,
    KeyDigest,
    OrderId,
    PoolName,
    Seconds,
    ServiceName,
    SliceName,
    TenantName,
    WallTime,
)
from ..canonical import canonical_json
from ..commands import SubmitEdition, SubmitOrder
from ..model import CallerLimits, Edition, EditionChange, Order, OrderOutcome, Pool, PriorityClass, Service, Tenant
from ..orders import make_order
from ..route import Route
from ..signing import public_hex
from ..state import BundleState

OPERATOR = Ed25519PrivateKey.from_private_bytes(b"\x01" * 32)
UNKNOWN_OPERATOR = Ed25519PrivateKey.from_private_bytes(b"\x02" * 32)
OPERATOR_KEYS = (public_hex(OPERATOR),)
SIGNING_KEY = b"\x03" * 32
SIGNER = public_hex(Ed25519PrivateKey.from_private_bytes(SIGNING_KEY))
"""Public key with which control daemons sign editions."""


def key_digest(key: str) -> KeyDigest:
    """Returns the digest under which a bundle lists a caller key."""
    return KeyDigest(hashlib.sha256(key.encode()).hexdigest())


def sample_slices(tenants: int = 5) -> dict[SliceName, bytes]:
    """Returns three services with a route each, two priority classes, and tenants with one key each."""
    parts: list[Service | Route | PriorityClass | Tenant] = [
        Service(name=ServiceName("summaries"), pool=PoolName("model")),
        Service(name=ServiceName("chat"), pool=PoolName("model"), first_byte_timeout=Seconds(3.0)),
        Service(name=ServiceName("cards"), pool=PoolName("plain"), kind="plain", repeatable=False, streaming=False),
        *(PriorityClass(name=ClassName(name), weight=weight) for name, weight in (("gold", 4.0), ("iron", 1.0))),
    ]
    parts += [
        Route(name=name, path_prefix=f"/v1/{name}", service=ServiceName(name))
        for name in ("summaries", "chat", "cards")
    ]
    parts += [
        Tenant(
            name=TenantName(f"tenant-{number}"),
            priority_class=ClassName("gold" if number % 2 else "iron"),
            paid_rate=10.0 + number,
            keys=(key_digest(f"key-{number}"),),
        )
        for number in range(tenants)
    ]
    return dict(slice_of(part) for part in parts)


SlicePart = Service | Route | PriorityClass | Tenant | Pool | CallerLimits | Edition


def slice_of(part: SlicePart) -> tuple[SliceName, bytes]:
    """Returns the slice name and the canonical JSON of a slice's content."""
    kinds = {
        Service: "service",
        Route: "route",
        PriorityClass: "class",
        Tenant: "tenant",
        Pool: "pool",
        CallerLimits: "limits",
        Edition: "edition",
    }
    return SliceName(f"{kinds[type(part)]}/{part.name}"), canonical_json(part)


def order_between(
    base: int,
    before: dict[SliceName, bytes],
    after: dict[SliceName, bytes],
    order: str = "",
    key: Ed25519PrivateKey = OPERATOR,
) -> Order:
    """Returns a signed order on version ``base`` that changes slices ``before`` into ``after``."""
    return make_order(BundleVersion(base), before, after, key, OrderId(order or f"order-{base + 1}"), WallTime(1000.0))


def submit(state: BundleState, order: Order) -> OrderOutcome:
    """Decides the order and applies its record immediately, as the primary does; returns the outcome."""
    record, outcome = state.decide(SubmitOrder(msgspec.msgpack.decode(msgspec.msgpack.encode(order), type=Order)))
    if record is not None:
        state.apply(record)
    assert isinstance(outcome, OrderOutcome)
    return outcome


def submit_edition(state: BundleState, change: EditionChange) -> OrderOutcome:
    """Decides the order and applies its record immediately, as the primary does; returns the outcome."""
    record, outcome = state.decide(SubmitEdition(change))
    if record is not None:
        state.apply(record)
    assert isinstance(outcome, OrderOutcome)
    return outcome


def edition_change(
    base: int, number: int, changed: dict[SliceName, bytes], order: str = "", replaces_all: bool = True
) -> EditionChange:
    """Returns an order with the operator's own edition numbers; ``replaces_all`` as in ``EditionChange``."""
    return EditionChange(
        order=OrderId(order or f"edition-{base}-{number}"),
        base=base,
        number=number,
        changed=changed,
        replaces_all=replaces_all,
    )
