"""The configuration that operators sign and routers apply (docs/DESIGN.md section 5).

A bundle is a signed manifest over content-addressed slices. A slice is one route, service, tenant (with the digests
of its keys), priority class, pool, roll-out, edition or the limits for callers, as canonical JSON. The manifest's root
digest covers the sorted pairs of slice name and slice digest, so the signature covers all slices although a change
carries only the slices that differ.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Literal

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
from .route import JsonObject, Route
from .route_index import RouteIndex


class PoolShare(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One pool of a split service and its share of the calls, in proportion to the weights of all its pools."""

    pool: PoolName
    weight: int


class Service(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Slice ``service/NAME``: the rules by which calls of one kind are handled."""

    name: ServiceName
    pool: PoolName
    kind: Literal["model", "plain"] = "model"
    repeatable: bool = True
    streaming: bool = True
    deadline: Seconds = Seconds(60.0)
    """Longest total duration of a call."""
    first_byte_timeout: Seconds = msgspec.field(default=Seconds(4.0), name="first_byte_patience")
    """How long callers of this service wait for the first byte of the answer before they give up."""
    chunk_timeout: Seconds = msgspec.field(default=Seconds(10.0), name="silence_patience")
    """Longest gap between two chunks of an answer; after it the worker counts as unresponsive."""
    retry_share: float = 0.15
    """Largest number of retries, as a share of the service's calls."""
    split: tuple[PoolShare, ...] = ()
    """Pools that share the calls in proportion to their weights. Empty: all calls go to ``pool``."""
    latency_objective: Seconds | None = None
    """Time within which the first chunk of a stream, or a complete answer, is on time. None: there is no objective."""
    max_chunk_gap: Seconds | None = msgspec.field(default=None, name="longest_pause")
    """Longest gap between two chunks of a stream that is on time. None: there is no objective."""
    attempts: int = 4
    """Largest number of workers to which one call may be sent."""
    urgency: int = 5
    """From 0 (served first) to 9 (served last); the tenant's priority class may override it."""
    resumable: bool = False
    """Whether an aborted stream may be continued at another worker after its last complete event."""
    idempotency_keys: bool = True
    """Whether calls that may not be repeated carry an idempotency key, which is claimed in the ledger.

    False: callers send no key. The fleet then sends each call to a worker at most once, and a repetition by the
    caller counts as another call.
    """


class Engine(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Configured properties of the model engines that the workers of a pool run."""

    slots: int
    """Number of calls that one worker runs at the same time."""
    cache_tokens: int
    """Size of a worker's KV cache in tokens; running calls and cached prefixes share it."""
    tokens_per_event: int = 1
    """Number of generated tokens in one event of a stream."""


class Pool(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Slice ``pool/NAME``: properties of all workers of one pool. A bundle declares all of its pools or none."""

    name: PoolName
    connections: int = 0
    """Largest number of connections that one worker accepts from all routers together. 0: no limit is known."""
    health_path: str = "/health"
    engine: Engine | None = None
    position: int = 0
    annotations: JsonObject = {}


class CallerLimits(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Slice ``limits/callers``: limits on the size of requests and on the time callers may take or be idle."""

    name: str = "callers"
    head_bytes: int = 32 * 1024
    body_bytes: int = 4 * 1024 * 1024
    head_time: Seconds = Seconds(10.0)
    idle: Seconds = Seconds(75.0)
    annotations: JsonObject = {}


class Edition(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Slice ``edition/operator``: the operator's own number of this bundle, besides the fleet's version number."""

    name: str = "operator"
    number: int = 0
    annotations: JsonObject = {}


class PriorityClass(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Slice ``class/NAME``: a priority class, whose weight counts in bids and queues."""

    name: ClassName
    weight: float = 1.0
    urgency: int | None = None
    """Replaces the urgency of the service when set; from 0 (served first) to 9 (served last)."""


class Tenant(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Slice ``tenant/NAME``: a paying customer with its paid share and the digests of its keys."""

    name: TenantName
    priority_class: ClassName
    paid_rate: float
    """Calls or tokens per second (see ``unit``) that the tenant has paid for, over the whole fleet."""
    burst: Seconds = Seconds(1.0)
    """Largest unused allowance that the tenant may accumulate, in seconds of ``paid_rate``."""
    keys: tuple[KeyDigest, ...] = ()
    services: tuple[ServiceName, ...] = ()
    """Services that the tenant may call. Empty: all services."""
    limited: bool = True
    """False: ``paid_rate`` is ignored and no call is refused for it."""
    unit: Literal["calls", "tokens"] = "calls"
    """Unit of ``paid_rate``."""
    plain_tokens: int = 1
    """Cost in tokens of a call that states no token counts, when ``unit`` is ``tokens``."""
    position: int = 0
    annotations: JsonObject = {}


class RolloutChange(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The fields of one slice before and after a roll-out. The canonical JSON of either is the content of the slice."""

    slice: SliceName
    before: JsonObject
    after: JsonObject


class Rollout(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Slice ``rollout/NAME``: a change that is applied to the fleet in stages (docs/DESIGN.md section 19)."""

    name: str
    stages: tuple[str, ...]
    """Each is ``zone=NAME`` or ``share=PERCENT``, the last is ``all``. Each stage includes those before it."""
    stage: int
    """Index of the current stage."""
    state: Literal["running", "finished", "rolled-back"]
    changes: tuple[RolloutChange, ...]
    """Sorted by slice name."""
    watch: Seconds
    """How long a stage is observed before the next one starts."""
    highest_failures: float
    """Largest share of failed calls of the changed services at the routers of the stage."""
    highest_refusals: float
    """Largest share of the changed services' calls that the stage's routers may refuse for lack of capacity."""
    reached: int = 0
    """Number of routers of the stage when it started; a client that takes over can tell that some are missing."""
    reason: str = ""
    """Reason for rolling it back."""


class Manifest(msgspec.Struct, frozen=True, kw_only=True):
    """The signed part of a bundle: Ed25519 over the canonical msgpack of all fields except ``signature``."""

    version: BundleVersion
    base: BundleVersion
    """Always ``version - 1``. Of several orders with the same base only one is accepted."""
    root: Digest
    order: OrderId
    signed_at: WallTime
    signer: str
    """Public key of the operator, in hex digits."""
    signature: bytes = b""


class Bundle(msgspec.Struct, frozen=True, kw_only=True):
    """A complete, checked bundle with its parsed slices. ``slices`` holds canonical JSON by slice name.

    In a bundle that was parsed for a router (a ``VariantTarget``) ``services``, ``routes`` and ``classes`` hold the
    variants chosen for that router.
    """

    manifest: Manifest
    slices: Mapping[SliceName, bytes]
    services: Mapping[ServiceName, Service]
    routes: tuple[Route, ...]
    """Sorted by length of the path prefix, the longest first."""
    tenants: Mapping[TenantName, Tenant]
    classes: Mapping[ClassName, PriorityClass]
    keys: Mapping[KeyDigest, TenantName]
    digests: Mapping[SliceName, Digest] = msgspec.field(default_factory=dict)
    """Digests of all slices; stored so that a change needs to hash only the changed slices."""
    variants: Mapping[SliceName, Service | Route | PriorityClass] = msgspec.field(default_factory=dict)
    """All variants by full name, such as ``service/chat@zone=a``."""
    rollouts: Mapping[str, Rollout] = msgspec.field(default_factory=dict)
    plain: Bundle | None = None
    """The same bundle without any variant applied; None when no variant is applied to this one."""
    pools: Mapping[PoolName, Pool] = msgspec.field(default_factory=dict)
    caller_limits: CallerLimits | None = None
    edition: Edition | None = None
    route_index: RouteIndex = msgspec.field(default_factory=RouteIndex)
    """Index of ``routes``; built from them when it is not given."""

    def __post_init__(self) -> None:
        if self.routes and self.route_index.is_empty():
            msgspec.structs.force_setattr(self, "route_index", RouteIndex.of(self.routes))

    @property
    def version(self) -> BundleVersion:
        """The fleet's version number of this bundle."""
        return self.manifest.version

    def find_route(self, host: str, path: str, method: str) -> Route | None:
        """Returns the route of a call, or None; the time needed is proportional to the number of segments of the path.

        Routes for the host take precedence over routes for any host, then longer prefixes over shorter ones. ``host``
        may be given as the caller sent it, with or without a port. When routes match the path but none accepts the
        method, one of them is returned: its ``methods`` lack the method. A prefix matches only up to the end of a
        segment of the path.
        """
        routes = self.route_index.find(host, path)
        return next((route for route in routes if method in route.methods), routes[0] if routes else None)


class Order(msgspec.Struct, frozen=True, kw_only=True):
    """An operator's request to change the bundle: the signed manifest of the result and the differences to its base.

    With ``replaces_all`` the slices in ``changed`` are all slices of the result; any other slice is removed.
    """

    manifest: Manifest
    changed: dict[SliceName, bytes]
    removed: tuple[SliceName, ...] = ()
    replaces_all: bool = msgspec.field(name="whole", default=False)


class EditionChange(msgspec.Struct, frozen=True, kw_only=True):
    """An order that uses the operator's own edition numbers; a control daemon makes the manifest and signs it.

    ``order`` is the same whenever the same order is sent again, and differs between orders. ``changed`` may contain
    the slice of the edition itself, with this ``number``, to set its annotations.
    """

    order: OrderId
    base: int
    """Edition that the order changes; 0: there is none yet."""
    number: int
    """Number of the new edition; greater than ``base``."""
    changed: dict[SliceName, bytes]
    removed: tuple[SliceName, ...] = ()
    replaces_all: bool = msgspec.field(name="whole", default=False)
    """Whether ``changed`` holds all slices of the result, so that any other slice is removed."""


class OrderOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome of an order. The first outcome is stored and returned again when the same order is resent."""

    order: OrderId
    outcome: Literal["accepted", "conflict", "invalid", "unknown"]
    version: BundleVersion
    """The accepted version; for a conflict the latest version."""
    reason: str = ""
    edition: int = 0
    """For an ``EditionChange``: the accepted edition; for a conflict the latest edition."""


class EditionStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The latest edition and its version, as the primary knows them."""

    number: int
    """Latest edition; 0: there is none yet."""
    version: BundleVersion
    """Latest version; the content of the edition is that of this version."""
    outcome: OrderOutcome | None = None
    """Outcome of the order named in the request, if it was accepted."""


class BundleDelta(msgspec.Struct, frozen=True, kw_only=True):
    """The difference between version ``since`` (0: no slices) and ``manifest.version``."""

    since: BundleVersion
    manifest: Manifest
    changed: dict[SliceName, bytes]
    removed: tuple[SliceName, ...]
