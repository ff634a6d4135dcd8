"""Length-prefixed msgpack frames between daemons (docs/DESIGN.md section 4)."""

from __future__ import annotations

import hashlib
import hmac
from typing import Literal

import msgspec
from tornado.iostream import BaseIOStream, StreamClosedError

from ..identifiers import Address, DaemonName, Incarnation, Zone

PROTOCOL_VERSION = 1
LENGTH_BYTES = 4


class Identity(msgspec.Struct, frozen=True):
    """Identity and addresses of a daemon, as it states them in its hello."""

    name: DaemonName
    incarnation: Incarnation
    role: Literal["router", "control", "tool"]
    zone: Zone
    internal: Address
    """Address at which its messenger listens."""
    operator: Address | None = None
    """Address at which it serves workers and operators over HTTP."""
    caller: Address | None = None
    """Address at which it serves callers over HTTP (routers only)."""


class Hello(msgspec.Struct, frozen=True, array_like=True):
    protocol: int
    identity: Identity
    nonce: bytes
    proof: bytes
    """Empty in the connecting side's first frame, otherwise HMAC-SHA-256 over the identity and both nonces."""


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    kind: Literal["call", "reply", "fault", "post"]
    number: int
    name: str
    body: msgspec.Raw


class FrameTooLarge(Exception):
    """The other side announced a frame above the size limit; the connection is closed."""


def compute_proof(key: bytes, identity: Identity, own_nonce: bytes, other_nonce: bytes) -> bytes:
    return hmac.digest(key, msgspec.msgpack.encode(identity) + own_nonce + other_nonce, hashlib.sha256)


def frame(payload: bytes) -> bytes:
    return len(payload).to_bytes(LENGTH_BYTES, "big") + payload


async def read_frame(stream: BaseIOStream, max_bytes: int) -> bytes:
    """Reads one frame's payload.

    Raises StreamClosedError at the end of the stream, and FrameTooLarge if the payload exceeds ``max_bytes``.
    """
    length = int.from_bytes(await stream.read_bytes(LENGTH_BYTES), "big")
    if length > max_bytes:
        raise FrameTooLarge(f"frame of {length} bytes announced, the limit is {max_bytes} bytes")
    return bytes(await stream.read_bytes(length))


__all__ = [
    "LENGTH_BYTES",
    "PROTOCOL_VERSION",
    "Envelope",
    "FrameTooLarge",
    "Hello",
    "Identity",
    "StreamClosedError",
    "compute_proof",
    "frame",
    "read_frame",
]
