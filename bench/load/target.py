"""The fleet under load, as far as the tool needs to know it: ``fleet.json`` of the launcher."""

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
    """Callers' keys by tenant."""


def read_target(file: Path) -> Target:
    """Raises OSError or msgspec.MsgspecError."""
    return msgspec.json.decode(file.read_bytes(), type=Target)
