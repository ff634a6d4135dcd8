"""Small types for ids, versions and times (docs/DESIGN.md section 2)."""

from __future__ import annotations

from typing import NewType

import msgspec

DaemonName = NewType("DaemonName", str)
Incarnation = NewType("Incarnation", str)
"""Made when a process starts (routers) or when a data folder is created (control daemons)."""
Zone = NewType("Zone", str)
Epoch = NewType("Epoch", int)
BundleVersion = NewType("BundleVersion", int)
"""Counts acknowledged orders; 0 means that there is no bundle yet."""
OrderId = NewType("OrderId", str)
SessionId = NewType("SessionId", str)
WorkerInstance = NewType("WorkerInstance", str)
"""One life of a worker process; a restart makes a new one, with an empty KV cache."""
ServiceName = NewType("ServiceName", str)
PoolName = NewType("PoolName", str)
"""The model or plain worker pool that a service's calls go to."""
TenantName = NewType("TenantName", str)
ClassName = NewType("ClassName", str)
SliceName = NewType("SliceName", str)
KeyDigest = NewType("KeyDigest", str)
"""Hex SHA-256 of a caller's key; the key itself is never stored."""
Digest = NewType("Digest", str)
RequestId = NewType("RequestId", str)
IdempotencyKey = NewType("IdempotencyKey", str)

Instant = NewType("Instant", float)
"""Seconds on one process's monotonic clock; never compared between processes."""
WallTime = NewType("WallTime", float)
"""Seconds since 1970, for people and records only; no decision rests on it."""
Seconds = NewType("Seconds", float)


class Address(msgspec.Struct, frozen=True, order=True):
    """A TCP address by IP number."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """Reads ``host:port``; raises ValueError when it is neither an IPv4 number nor a port."""
    host, separator, port = text.rpartition(":")
    if not separator or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r} is not of the form 127.0.0.1:7000")
    parts = host.split(".")
    if len(parts) != 4 or not all(part.isdigit() and int(part) < 256 for part in parts):
        raise ValueError(f"{host!r} is not an IP number such as 127.0.0.1")
    return Address(host, int(port))
