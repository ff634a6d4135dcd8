"""Length-prefixed msgpack frames between daemons (docs/DESIGN.md section 4)."""

from __future__ import annotations

from typing import Literal

import msgspec
from tornado.iostream import BaseIOStream

from ..identifiers import Address, DaemonName, Incarnation, Zone
from .errors import FrameTooLargeError

PROTOCOL_VERSION = 1
LENGTH_BYTES = 4
"""The size of the prefix that gives the length of a frame's payload in bytes, big-endian."""


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
    """A frame of the handshake; see ``handshake``."""

    protocol: int
    """``PROTOCOL_VERSION`` of the sender."""
    identity: Identity
    nonce: bytes
    """Random bytes of the sender, different for each connection."""
    proof: bytes
    """Empty in the connecting side's first frame, otherwise HMAC-SHA-256 over the identity and both nonces."""


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A frame after the handshake: one message."""

    kind: Literal["call", "reply", "fault", "post"]
    """``fault`` replies to a call that the receiver could not handle; its body is a text."""
    number: int
    """Number of the call, which its reply repeats; 0 for a post."""
    name: str
    """Wire name of the message type; see ``messenger.wire_name``."""
    body: msgspec.Raw


def encode_frame(payload: bytes) -> bytes:
    """Returns the payload with its length in front."""
    return len(payload).to_bytes(LENGTH_BYTES, "big") + payload


async def read_frame(stream: BaseIOStream, max_bytes: int) -> bytes:
    """Reads one frame's payload.

    Raises StreamClosedError at the end of the stream, and FrameTooLargeError if the payload exceeds ``max_bytes``.
    """
    length = int.from_bytes(await stream.read_bytes(LENGTH_BYTES), "big")
    if length > max_bytes:
        raise FrameTooLargeError(f"frame of {length} bytes announced, the limit is {max_bytes} bytes")
    return bytes(await stream.read_bytes(length))
