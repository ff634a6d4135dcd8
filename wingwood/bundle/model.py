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
from .route import Route
from .route_index import RouteIndex


class PoolShare(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One pool of a split service and its part of the calls."""

    pool: PoolName
    weight: int


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
    split: tuple[PoolShare, ...] = ()
    """Pools that share the calls in proportion to their weights; empty: all calls go to ``pool``."""
    latency_objective: Seconds | None = None
    """A first piece (stream) or whole answer within this is on time; None: no objective is set."""
    longest_pause: Seconds | None = None
    """Longest pause between two pieces of a stream that is still on time."""
    attempts: int = 4
    """Most workers to which one call may be sent."""
    urgency: int = 5
    """0 goes first, 9 last; a tenant's priority class may set another."""
    resumable: bool = False
    """A broken stream may be continued at another worker after the last whole event."""
    idempotency_keys: bool = True
    """Calls that may not be repeated carry an idempotency key, which the ledger claims.

    False: callers send none. Each call is then sent to a worker at most once by this fleet, and a
    caller's own repetition is another call.
    """


class Engine(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """What is known beforehand of the model engines of a pool's workers."""

    slots: int
    """Calls that one worker runs side by side."""
    cache_tokens: int
    """KV cache of one worker, shared by running calls and kept prefixes."""
    tokens_per_event: int = 1
    """Generated tokens that one event of a stream holds."""


class Pool(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Slice ``pool/NAME``: what is true of all workers of one pool. A bundle declares all of its pools or none."""

    name: PoolName
    connections: int = 0
    """Most connections that one worker takes from all routers together; 0: no bound is known."""
    health_path: str = "/health"
    engine: Engine | None = None
    position: int = 0
    annotations: dict[str, Any] = {}


class CallerLimits(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Slice ``limits/callers``: what callers may send and how long they may take or rest."""

    name: str = "callers"
    head_bytes: int = 32 * 1024
    body_bytes: int = 4 * 1024 * 1024
    head_time: Seconds = Seconds(10.0)
    idle: Seconds = Seconds(75.0)
    annotations: dict[str, Any] = {}


class Edition(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Slice ``edition/operator``: the number that the operator gave to this bundle, beside the fleet's own version."""

    name: str = "operator"
    number: int = 0
    annotations: dict[str, Any] = {}


class PriorityClass(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Slice ``class/NAME``: what a tenant's payment weighs in bids and queues."""

    name: ClassName
    weight: float = 1.0
    urgency: int | None = None
    """In place of the service's, when given; 0 goes first, 9 last."""


class Tenant(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Slice ``tenant/NAME``: a paying customer, its paid share and its keys (digests only)."""

    name: TenantName
    priority_class: ClassName
    paid_rate: float
    """Calls (or tokens, see ``unit``) per second over the whole fleet that it has paid for."""
    burst: Seconds = Seconds(1.0)
    """How many seconds' worth of unused share it may save up."""
    keys: tuple[KeyDigest, ...] = ()
    services: tuple[ServiceName, ...] = ()
    """Which services it may call; empty means all."""
    limited: bool = True
    """False: ``paid_rate`` does not count and nothing is refused."""
    unit: Literal["calls", "tokens"] = "calls"
    """What ``paid_rate`` counts."""
    plain_tokens: int = 1
    """What a call that tells no token counts costs, where ``unit`` is ``tokens``."""
    position: int = 0
    annotations: dict[str, Any] = {}


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
    pools: Mapping[PoolName, Pool] = msgspec.field(default_factory=dict)
    caller_limits: CallerLimits | None = None
    edition: Edition | None = None
    route_index: RouteIndex = msgspec.field(default_factory=RouteIndex)
    """Over ``routes``; made from them where it is not given."""

    def __post_init__(self) -> None:
        if self.routes and self.route_index.is_empty():
            msgspec.structs.force_setattr(self, "route_index", RouteIndex.of(self.routes))

    @property
    def version(self) -> BundleVersion:
        return self.manifest.version

    def find_route(self, host: str, path: str, method: str) -> Route | None:
        """The route of a call: of the longest prefix, for its host before any host, in time O(parts of the path).

        ``host`` as callers send it, with or without a port. Where routes stand at that prefix but none takes the
        method, one of them is given: its ``methods`` lack it. A prefix ends where a part of the path does.
        """
        found = self.route_index.find(host, path)
        return next((route for route in found if method in route.methods), found[0] if found else None)


class Order(msgspec.Struct, frozen=True, kw_only=True):
    """What an operator sends: the signed manifest of the result, and what differs from the base.

    ``replaces_all`` True means that ``changed`` is everything and nothing else remains.
    """

    manifest: Manifest
    changed: dict[SliceName, bytes]
    removed: tuple[SliceName, ...] = ()
    replaces_all: bool = msgspec.field(name="whole", default=False)


class EditionChange(msgspec.Struct, frozen=True, kw_only=True):
    """An order on the operator's own numbers: control makes the manifest and signs it.

    ``order`` is the same whenever the same order is sent again, and differs between orders. The slice of the
    edition itself may stand in ``changed``, with this ``number``, for the sake of its annotations.
    """

    order: OrderId
    base: int
    """Edition on which it builds; 0: there is none yet."""
    number: int
    """Its own edition, above the base."""
    changed: dict[SliceName, bytes]
    removed: tuple[SliceName, ...] = ()
    replaces_all: bool = msgspec.field(name="whole", default=False)
    """``changed`` is everything and nothing else remains."""


class OrderOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """The first outcome of an order, given again to each resending."""

    order: OrderId
    outcome: Literal["accepted", "conflict", "invalid", "unknown"]
    version: BundleVersion
    """The accepted version; for a conflict the version that is newest."""
    reason: str = ""
    edition: int = 0
    """Of an ``EditionChange``: the accepted edition; for a conflict the one that is newest."""


class EditionStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Where the operator's numbers stand, as the primary knows it."""

    number: int
    """Newest edition; 0: there is none yet."""
    version: BundleVersion
    """Newest version; the edition's content is the one of this version."""
    outcome: OrderOutcome | None = None
    """Of the order asked about, when it was accepted."""


class BundleDelta(msgspec.Struct, frozen=True, kw_only=True):
    """What takes a holder of ``since`` (0: nothing) to ``manifest.version``."""

    since: BundleVersion
    manifest: Manifest
    changed: dict[SliceName, bytes]
    removed: tuple[SliceName, ...]
