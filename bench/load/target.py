"""Reads what the load tool has to know about the fleet under load: ``fleet.json``, which the launcher writes."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path

import msgspec

from fleet.shape import Shape


class RouterAddresses(msgspec.Struct, frozen=True):
    name: str
    caller: str
    operator: str


class WorkerAddress(msgspec.Struct, frozen=True):
    address: str
    pool: str


class Target(msgspec.Struct, frozen=True):
    shape: Shape
    routers: tuple[RouterAddresses, ...]
    workers: Mapping[str, WorkerAddress]
    keys: Mapping[str, str]
    """Keys of callers by tenant."""


def read_target(file: Path) -> Target:
    """Reads ``fleet.json``. Raises OSError or msgspec.MsgspecError."""
    return msgspec.json.decode(file.read_bytes(), type=Target)
