"""Describes a fleet on one machine. The description (shape) is read from a file such as ``fleet/despensa.toml``."""

from __future__ import annotations

from pathlib import Path
from typing import Literal

import msgspec
from returns.result import Failure, Result, Success

HOST = "127.0.0.1"


class Hops(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One-way network delays in milliseconds. Only the simulator applies them, as loopback has no such delays."""

    within_zone: float = 0.2
    between_zones: float = 1.0


class Pool(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Emulated workers with the same options. ``emulator.worker.WorkerOptions`` explains the durations (in seconds)."""

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
    """A service and the path of its route."""

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
    """A priority class of tenants."""

    name: str
    weight: float = 1.0


class TenantShape(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A tenant with its quota and its share of the traffic."""

    name: str
    priority_class: str
    paid_rate: float
    """Calls per second that the tenant pays for, over the whole fleet."""
    traffic_share: float = 1.0
    """Weight of this tenant when the traffic is divided among the tenants."""


class Traffic(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One kind of traffic. ``per_second`` is a rate of sessions for chats, and a rate of calls for everything else."""

    name: str
    service: str
    per_second: float
    turns: int = 1
    think_seconds: float = 8.0
    """Mean pause between the end of a turn and the next turn of the session."""
    shared_prefixes: int = 0
    """Number of different prompt prefixes that sessions share; 0 means that prompts share no prefix."""
    shared_tokens: int = 0
    own_tokens: int = 200
    answer_tokens: int = 60


class Shape(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A fleet with its zones, daemons, workers, services, tenants and traffic."""

    name: str
    zones: tuple[str, ...]
    hops: Hops = Hops()
    routers: int
    controls: int = 3
    removed_key_bound: float | None = None
    """Seconds within which a removed key stops working even on a router that is cut off from the control daemons. With
    ``None`` such a router continues to accept the key."""
    balancing: Literal["award", "round-robin", "least-loaded", "sticky"] = "award"
    first_port: int = 27200
    """Daemons and workers use consecutive ports that begin with this one."""
    pools: tuple[Pool, ...]
    services: tuple[ServiceShape, ...]
    classes: tuple[PriorityClassShape, ...]
    tenants: tuple[TenantShape, ...]
    traffic: tuple[Traffic, ...] = ()


class InvalidShape(msgspec.Struct, frozen=True):
    """Says why a shape file was rejected."""

    file: str
    detail: str

    def __str__(self) -> str:
        return f"{self.file}: {self.detail}"


def read_shape(file: Path) -> Result[Shape, InvalidShape]:
    """Reads and checks a shape file. Unknown keys are errors."""
    try:
        shape = msgspec.toml.decode(file.read_bytes(), type=Shape)
    except OSError as problem:
        return Failure(InvalidShape(str(file), problem.strerror or "cannot be read"))
    except msgspec.MsgspecError as problem:
        return Failure(InvalidShape(str(file), str(problem)))
    invalid = check_shape(shape)
    return Failure(InvalidShape(str(file), invalid)) if invalid else Success(shape)


def check_shape(shape: Shape) -> str:
    """Returns the first error, such as a reference to an undefined name, or an empty text for a valid shape."""
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
