"""What a fleet on one machine looks like, read from a file such as ``fleet/despensa.toml``."""

from __future__ import annotations

from pathlib import Path
from typing import Literal

import msgspec
from returns.result import Failure, Result, Success

HOST = "127.0.0.1"


class Hops(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One-way delays in milliseconds: for the simulator and for people; loopback has none."""

    within_zone: float = 0.2
    between_zones: float = 1.0


class Pool(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Emulated workers that are alike; see ``emulator.worker.WorkerOptions`` for the paces (seconds)."""

    name: str
    kind: Literal["model", "plain"] = "model"
    workers: int
    slots: int = 8
    cache_tokens: int = 120_000
    prefill_per_token: float = 0.00015
    decode_per_token: float = 0.02
    decode_per_other_stream: float = 0.001
    plain_seconds: float = 0.02
    tells_load: bool = True


class ServiceShape(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A service and its route."""

    name: str
    pool: str
    path: str
    kind: Literal["model", "plain"] = "model"
    repeatable: bool = True
    streaming: bool = True
    deadline: float = 60.0
    first_byte_patience: float = 4.0
    retry_share: float = 0.15


class PriorityClassShape(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    name: str
    weight: float = 1.0


class TenantShape(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    name: str
    priority_class: str
    paid_rate: float
    """Calls a second over the whole fleet."""
    traffic_share: float = 1.0
    """Its part of the traffic, against the other tenants'."""


class Traffic(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One kind of traffic. ``per_second`` counts sessions (chats), or calls (all else)."""

    name: str
    service: str
    per_second: float
    turns: int = 1
    think_seconds: float = 8.0
    """Mean pause between the end of a turn and the session's next."""
    shared_prefixes: int = 0
    """How many different long starts there are; 0: none."""
    shared_tokens: int = 0
    own_tokens: int = 200
    answer_tokens: int = 60


class Shape(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    name: str
    zones: tuple[str, ...]
    hops: Hops = Hops()
    routers: int
    controls: int = 3
    removed_key_bound: float | None = None
    """Seconds within which a removed key stops working even on a cut-off router; none: it serves on."""
    balancing: Literal["award", "round-robin", "least-loaded", "sticky"] = "award"
    first_port: int = 27200
    """The daemons and workers take the ports from here on."""
    pools: tuple[Pool, ...]
    services: tuple[ServiceShape, ...]
    classes: tuple[PriorityClassShape, ...]
    tenants: tuple[TenantShape, ...]
    traffic: tuple[Traffic, ...] = ()


class InvalidShape(msgspec.Struct, frozen=True):
    file: str
    detail: str

    def __str__(self) -> str:
        return f"{self.file}: {self.detail}"


def read_shape(file: Path) -> Result[Shape, InvalidShape]:
    try:
        shape = msgspec.toml.decode(file.read_bytes(), type=Shape)
    except OSError as problem:
        return Failure(InvalidShape(str(file), problem.strerror or "cannot be read"))
    except msgspec.MsgspecError as problem:
        return Failure(InvalidShape(str(file), str(problem)))
    invalid = check_shape(shape)
    return Failure(InvalidShape(str(file), invalid)) if invalid else Success(shape)


def check_shape(shape: Shape) -> str:
    """Empty when all names meet; else what to mend."""
    pools = {pool.name for pool in shape.pools}
    services = {service.name for service in shape.services}
    classes = {each.name for each in shape.classes}
    for service in shape.services:
        if service.pool not in pools:
            return f"service {service.name}: there is no pool {service.pool!r}"
    for tenant in shape.tenants:
        if tenant.priority_class not in classes:
            return f"tenant {tenant.name}: there is no class {tenant.priority_class!r}"
    for traffic in shape.traffic:
        if traffic.service not in services:
            return f"traffic {traffic.name}: there is no service {traffic.service!r}"
    if not shape.zones or shape.routers < 1 or shape.controls < 1:
        return "a fleet has at least one zone, one router and one control daemon"
    return ""
