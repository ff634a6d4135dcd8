"""What operators sign and routers put in force (docs/DESIGN.md section 5).

A bundle is a signed manifest over content-addressed slices. A slice is one route, service, tenant
(with its keys' digests) or priority class, as canonical JSON. The manifest's root digest covers
the sorted pairs of slice name and slice digest, so the signature covers everything while a change
carries only the slices that differ.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Literal

import msgspec

from ..identifiers import (
    BundleVersion,
    ClassName,
    Digest,
    KeyDigest,
    OrderId,
    PoolName,
    Seconds,
    ServiceName,
    SliceName,
    TenantName,
    WallTime,
)


class Service(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Slice ``service/NAME``: how calls of one kind are treated."""

    name: ServiceName
    pool: PoolName
    kind: Literal["model", "plain"] = "model"
    repeatable: bool = True
    streaming: bool = True
    deadline: Seconds = Seconds(60.0)
    """Longest a call may take in all."""
    first_byte_patience: Seconds = Seconds(4.0)
    """How long its callers wait in silence before they give up."""
    silence_patience: Seconds = Seconds(10.0)
    """Longest pause between two pieces before the worker counts as dark."""
    retry_share: float = 0.15
    """Tries beyond the first, as a share of the service's calls."""


class Route(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Slice ``route/NAME``: calls whose path starts with ``path_prefix`` belong to ``service``; longest wins."""

    name: str
    path_prefix: str
    service: ServiceName
    methods: tuple[str, ...] = ("POST",)


class PriorityClass(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Slice ``class/NAME``: what a tenant's payment weighs in bids and queues."""

    name: ClassName
    weight: float = 1.0


class Tenant(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Slice ``tenant/NAME``: a paying customer, its paid share and its keys (digests only)."""

    name: TenantName
    priority_class: ClassName
    paid_rate: float
    """Calls per second over the whole fleet that it has paid for."""
    burst: Seconds = Seconds(1.0)
    """How many seconds' worth of unused share it may save up."""
    keys: tuple[KeyDigest, ...] = ()
    services: tuple[ServiceName, ...] = ()
    """Which services it may call; empty means all."""


class RolloutChange(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One slice's fields before and after a roll-out; its canonical JSON is the slice itself."""

    slice: SliceName
    before: dict[str, Any]
    after: dict[str, Any]


class Rollout(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Slice ``rollout/NAME``: a change that reaches the fleet in stages (docs/DESIGN.md section 19)."""

    name: str
    stages: tuple[str, ...]
    """``zone=NAME``, ``share=PERCENT``, and ``all`` as the last; each keeps those before it."""
    stage: int
    """Index of the stage reached."""
    state: Literal["running", "finished", "rolled-back"]
    changes: tuple[RolloutChange, ...]
    """Sorted by slice."""
    watch: Seconds
    """How long a stage is watched before the next one."""
    highest_failures: float
    """Share of the changed services' calls that may fail at the stage's routers."""
    highest_refusals: float
    """Share of the changed services' calls that may be refused for want of room at the stage's routers."""
    reached: int = 0
    """How many routers the stage had when it was put in place; whoever takes over can tell that some are gone."""
    reason: str = ""
    """Why it was rolled back."""


class Manifest(msgspec.Struct, frozen=True, kw_only=True):
    """What is signed: Ed25519 over the canonical msgpack of all fields but ``signature``."""

    version: BundleVersion
    base: BundleVersion
    """Always ``version - 1``; the order races on it."""
    root: Digest
    order: OrderId
    signed_at: WallTime
    signer: str
    """Hex of the operator's public key."""
    signature: bytes = b""


class Bundle(msgspec.Struct, frozen=True, kw_only=True):
    """A whole, verified bundle with its parsed slices. ``slices`` holds canonical JSON by slice name.

    At a place (a router's) ``services``, ``routes`` and ``classes`` hold the variants chosen for it.
    """

    manifest: Manifest
    slices: Mapping[SliceName, bytes]
    services: Mapping[ServiceName, Service]
    routes: tuple[Route, ...]
    """Longest path prefix first."""
    tenants: Mapping[TenantName, Tenant]
    classes: Mapping[ClassName, PriorityClass]
    keys: Mapping[KeyDigest, TenantName]
    digests: Mapping[SliceName, Digest] = msgspec.field(default_factory=dict)
    """Of all slices; kept so that a change costs one hash per changed slice."""
    variants: Mapping[SliceName, Service | Route | PriorityClass] = msgspec.field(default_factory=dict)
    """By full name, such as ``service/chat@zone=a``."""
    rollouts: Mapping[str, Rollout] = msgspec.field(default_factory=dict)
    plain: Bundle | None = None
    """Without any variant chosen; None where this is it."""

    @property
    def version(self) -> BundleVersion:
        return self.manifest.version


class Order(msgspec.Struct, frozen=True, kw_only=True):
    """What an operator sends: the signed manifest of the result, and what differs from the base.

    ``whole`` True means that ``changed`` is everything and nothing else remains.
    """

    manifest: Manifest
    changed: dict[SliceName, bytes]
    removed: tuple[SliceName, ...] = ()
    whole: bool = False


class OrderOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """The first outcome of an order, given again to each resending."""

    order: OrderId
    outcome: Literal["accepted", "conflict", "invalid", "unknown"]
    version: BundleVersion
    """The accepted version; for a conflict the version that is newest."""
    reason: str = ""


class BundleDelta(msgspec.Struct, frozen=True, kw_only=True):
    """What takes a holder of ``since`` (0: nothing) to ``manifest.version``."""

    since: BundleVersion
    manifest: Manifest
    changed: dict[SliceName, bytes]
    removed: tuple[SliceName, ...]
