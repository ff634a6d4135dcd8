"""Types of identifiers, versions and times (docs/DESIGN.md section 2)."""

from __future__ import annotations

from typing import NewType

import msgspec

DaemonName = NewType("DaemonName", str)
Incarnation = NewType("Incarnation", str)
"""Created when a process starts (routers) or when a data folder is created (control daemons)."""
Zone = NewType("Zone", str)
Epoch = NewType("Epoch", int)
BundleVersion = NewType("BundleVersion", int)
"""Number of acknowledged orders; 0 means that there is no bundle yet."""
OrderId = NewType("OrderId", str)
SessionId = NewType("SessionId", str)
WorkerInstance = NewType("WorkerInstance", str)
"""One run of a worker process; a restart creates a new one, with an empty KV cache."""
ServiceName = NewType("ServiceName", str)
PoolName = NewType("PoolName", str)
"""The model or plain worker pool that receives a service's calls."""
TenantName = NewType("TenantName", str)
ClassName = NewType("ClassName", str)
SliceName = NewType("SliceName", str)
KeyDigest = NewType("KeyDigest", str)
"""Hexadecimal SHA-256 digest of a caller's key; the key itself is never stored."""
Digest = NewType("Digest", str)
RequestId = NewType("RequestId", str)
IdempotencyKey = NewType("IdempotencyKey", str)

Instant = NewType("Instant", float)
"""Seconds on the monotonic clock of one process; values of different processes must not be compared."""
WallTime = NewType("WallTime", float)
"""Seconds since 1970, for display and records only; no decision depends on it."""
Seconds = NewType("Seconds", float)


class Address(msgspec.Struct, frozen=True, order=True):
    """A TCP address with a numeric IPv4 host."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """Parses ``host:port``; raises ValueError if the host is not a numeric IPv4 address or the port is invalid."""
    host, separator, port = text.rpartition(":")
    if not separator or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r} is not of the form 127.0.0.1:7000")
    parts = host.split(".")
    if len(parts) != 4 or not all(part.isdigit() and int(part) < 256 for part in parts):
        raise ValueError(f"{host!r} is not an IPv4 address such as 127.0.0.1")
    return Address(host, int(port))
