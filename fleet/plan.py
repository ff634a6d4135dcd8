"""Derives from a shape the daemons and workers with names and addresses, and the files that they are started with."""

from __future__ import annotations

import hashlib
import json
import random
from collections.abc import Mapping
from pathlib import Path
from typing import Literal

import msgspec

from .shape import HOST, Pool, Shape

PORTS_PER_DAEMON = 3


class DaemonPlan(msgspec.Struct, frozen=True, kw_only=True):
    """A daemon with its listeners: internal, for operators and, on routers only, for callers."""

    name: str
    role: Literal["router", "control"]
    zone: str
    first_port: int

    @property
    def internal(self) -> str:
        """Address for the other daemons of the fleet."""
        return f"{HOST}:{self.first_port}"

    @property
    def operator(self) -> str:
        """Address for operators."""
        return f"{HOST}:{self.first_port + 1}"

    @property
    def caller(self) -> str | None:
        """Address for callers; None on control daemons."""
        return f"{HOST}:{self.first_port + 2}" if self.role == "router" else None


class WorkerPlan(msgspec.Struct, frozen=True, kw_only=True):
    """An emulated worker with its address."""

    name: str
    pool: Pool
    zone: str
    port: int

    @property
    def address(self) -> str:
        """Address at which the worker accepts calls."""
        return f"{HOST}:{self.port}"


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """All daemons and workers of a fleet.

    They are distributed over the zones in turn, and use consecutive ports that begin with the shape's ``first_port``.
    """

    daemons: tuple[DaemonPlan, ...]
    workers: tuple[WorkerPlan, ...]
    next_port: int
    """The first unused port; replacements of daemons and workers use the ports from here on."""

    @property
    def seeds(self) -> tuple[str, ...]:
        """Internal addresses of the first three control daemons, through which a daemon joins the fleet."""
        return tuple(daemon.internal for daemon in self.daemons if daemon.role == "control")[:3]


def plan_fleet(shape: Shape) -> Plan:
    """Returns the plan of a shape: control daemons, routers and workers in the order of their ports."""
    port = shape.first_port
    daemons: list[DaemonPlan] = []
    roles: list[tuple[Literal["control", "router"], int]] = [("control", shape.controls), ("router", shape.routers)]
    for role, count in roles:
        for number in range(count):
            zone = shape.zones[number % len(shape.zones)]
            daemons.append(DaemonPlan(name=f"{role}-{number + 1}", role=role, zone=zone, first_port=port))
            port += PORTS_PER_DAEMON
    workers = []
    for pool in shape.pools:
        for number in range(pool.workers):
            zone = shape.zones[number % len(shape.zones)]
            workers.append(WorkerPlan(name=f"{pool.name}-{number + 1}", pool=pool, zone=zone, port=port))
            port += 1
    return Plan(daemons=tuple(daemons), workers=tuple(workers), next_port=port)


def settings_text(
    plan: DaemonPlan, shape: Shape, seeds: tuple[str, ...], fleet_key: str, operator_key: str, folder: Path
) -> str:
    """Returns the text of the settings file of one daemon, which ``wingwood settings check`` accepts."""
    lines: dict[str, object] = {
        "name": plan.name,
        "role": plan.role,
        "zone": plan.zone,
        "internal": plan.internal,
        "operator": plan.operator,
        "caller": plan.caller,
        "seeds": list(seeds),
        "data_folder": str(folder / "data" / plan.name) if plan.role == "control" else None,
        "fleet_key": fleet_key,
        "operator_keys": [operator_key],
        "removed_key_bound": shape.removed_key_bound,
        "balancing": shape.balancing,
    }
    return toml_lines(lines)


def toml_lines(values: Mapping[str, object]) -> str:
    """Returns TOML without tables; entries whose value is None are omitted.

    Strings, numbers, Booleans and lists are written as JSON, which has the same form in TOML.
    """
    return "".join(f"{name} = {json.dumps(value)}\n" for name, value in values.items() if value is not None)


class CallerKeys(msgspec.Struct, frozen=True):
    """The secret key of each tenant, as its callers use it."""

    by_tenant: Mapping[str, str]


def new_caller_keys(shape: Shape) -> CallerKeys:
    """Returns a random key of 160 bits for each tenant."""
    source = random.SystemRandom()
    return CallerKeys({tenant.name: f"{source.getrandbits(160):040x}" for tenant in shape.tenants})


def bundle_text(shape: Shape, keys: CallerKeys) -> str:
    """Returns the operator's bundle file for the shape; it contains the digests of the callers' keys, not the keys."""
    parts: list[str] = []
    for service in shape.services:
        parts.append(
            f"[service.{service.name}]\n"
            + toml_lines(
                {
                    "pool": service.pool,
                    "kind": service.kind,
                    "repeatable": service.repeatable,
                    "streaming": service.streaming,
                    "deadline": service.deadline,
                    "first_byte_patience": service.first_byte_patience,
                    "retry_share": service.retry_share,
                }
            )
        )
        parts.append(f"[route.{service.name}]\n" + toml_lines({"path_prefix": service.path, "service": service.name}))
    parts.extend(f"[class.{each.name}]\n" + toml_lines({"weight": each.weight}) for each in shape.classes)
    for tenant in shape.tenants:
        digest = hashlib.sha256(keys.by_tenant[tenant.name].encode()).hexdigest()
        parts.append(
            f"[tenant.{tenant.name}]\n"
            + toml_lines({"priority_class": tenant.priority_class, "paid_rate": tenant.paid_rate, "keys": [digest]})
        )
    return "\n".join(parts)
