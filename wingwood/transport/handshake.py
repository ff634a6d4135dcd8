"""The handshake by which two daemons confirm to each other that they have the fleet key (docs/DESIGN.md section 4).

The connecting side sends a hello with its nonce, the listening side answers with its own nonce and its proof, and the
connecting side sends its proof. A proof covers both nonces, so that a recorded one is of no use.
"""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Callable

import msgspec
from tornado.iostream import BaseIOStream

from .errors import HandshakeRejectedError
from .frames import PROTOCOL_VERSION, Hello, Identity, encode_frame, read_frame

MAX_HELLO_BYTES = 4096


def compute_proof(key: bytes, identity: Identity, own_nonce: bytes, other_nonce: bytes) -> bytes:
    """Returns the HMAC-SHA-256 by which the daemon with this identity confirms that it has the fleet key."""
    return hmac.digest(key, msgspec.msgpack.encode(identity) + own_nonce + other_nonce, hashlib.sha256)


async def connect_handshake(stream: BaseIOStream, identity: Identity, key: bytes, nonce: bytes) -> None:
    """Runs the connecting side.

    Raises HandshakeRejectedError if the peer has another fleet key or protocol, FrameTooLargeError or MsgspecError for
    a malformed hello, and StreamClosedError if the peer closes the connection.
    """
    await _send(stream, Hello(PROTOCOL_VERSION, identity, nonce, b""))
    answer = await _receive(stream)
    _verify(answer, compute_proof(key, answer.identity, answer.nonce, nonce))
    await _send(stream, Hello(PROTOCOL_VERSION, identity, nonce, compute_proof(key, identity, nonce, answer.nonce)))


async def accept_handshake(
    stream: BaseIOStream, identity: Identity, key: bytes, create_nonce: Callable[[], bytes]
) -> Identity:
    """Runs the listening side and returns the identity of the peer; raises the same errors as ``connect_handshake``."""
    first = await _receive(stream)
    nonce = create_nonce()
    await _send(stream, Hello(PROTOCOL_VERSION, identity, nonce, compute_proof(key, identity, nonce, first.nonce)))
    second = await _receive(stream)
    _verify(second, compute_proof(key, second.identity, first.nonce, nonce))
    return second.identity


async def _send(stream: BaseIOStream, hello: Hello) -> None:
    await stream.write(encode_frame(msgspec.msgpack.encode(hello)))


async def _receive(stream: BaseIOStream) -> Hello:
    return msgspec.msgpack.decode(await read_frame(stream, MAX_HELLO_BYTES), type=Hello)


def _verify(hello: Hello, expected_proof: bytes) -> None:
    if hello.protocol != PROTOCOL_VERSION or hello.proof != expected_proof:
        raise HandshakeRejectedError("wrong fleet key or protocol")
