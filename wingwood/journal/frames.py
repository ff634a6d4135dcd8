"""Format of a journal file: a header, then one frame for each record (docs/DESIGN.md section 7.5).

Header: magic, salt, the number of bytes that were synced when the file got its name, and a checksum. Frame: marker,
length of the payload, checksum, payload. Marker and checksum depend on the file's random salt and the checksum also on
the offset, so that bytes of another file, or of a payload that contains a journal, are never taken for a frame.
"""

from __future__ import annotations

import hashlib
from collections.abc import Sequence

import msgspec
from returns.result import Failure, Result, Success

from .errors import JournalDamagedError

MAGIC = b"WWJOURN2"
SALT_BYTES = 16
MARKER_BYTES = 4
LENGTH_BYTES = 4
"""Size of the payload's length in a frame."""
CHECKSUM_BYTES = 8
OFFSET_BYTES = 8
"""Size of an offset in the header and in the input of a checksum."""
HEADER_BYTES = len(MAGIC) + SALT_BYTES + OFFSET_BYTES + CHECKSUM_BYTES
FRAME_OVERHEAD_BYTES = MARKER_BYTES + LENGTH_BYTES + CHECKSUM_BYTES
"""Bytes that a frame adds to its payload."""


class JournalContents(msgspec.Struct, frozen=True):
    """Contents of a journal file. ``valid_bytes`` is less than ``file_bytes`` when a torn tail follows."""

    salt: bytes
    payloads: Sequence[bytes]
    valid_bytes: int
    file_bytes: int


def header(salt: bytes, base: int) -> bytes:
    """Returns the file header.

    ``base`` is the number of bytes that were synced before the file got its name, so that they cannot be torn.
    """
    start = MAGIC + salt + base.to_bytes(OFFSET_BYTES, "big")
    return start + hashlib.blake2b(start, digest_size=CHECKSUM_BYTES).digest()


def new_file(salt: bytes, payloads: Sequence[bytes]) -> bytes:
    """Returns a complete file with these payloads, all of which are synced before the file gets its name."""
    body = frames(salt, HEADER_BYTES, payloads)
    return header(salt, HEADER_BYTES + len(body)) + body


def frame(salt: bytes, offset: int, payload: bytes) -> bytes:
    """Returns the frame of a payload that is written at ``offset`` of its file."""
    length = len(payload).to_bytes(LENGTH_BYTES, "big")
    return b"".join((_marker(salt), length, _checksum(salt, offset, payload), payload))


def frames(salt: bytes, start: int, payloads: Sequence[bytes]) -> bytes:
    """Returns the consecutive frames of the payloads, the first of which is written at offset ``start``."""
    encoded: list[bytes] = []
    for payload in payloads:
        encoded.append(frame(salt, start, payload))
        start += len(encoded[-1])
    return b"".join(encoded)


def scan(data: bytes) -> Result[JournalContents, JournalDamagedError]:
    """Parses a complete journal file.

    A bad frame counts as a torn tail only if it is after the first ``base`` bytes and no valid frame follows it.
    """
    if len(data) < HEADER_BYTES or not data.startswith(MAGIC):
        return Failure(JournalDamagedError("no journal header"))
    salt = data[len(MAGIC) : len(MAGIC) + SALT_BYTES]
    base = int.from_bytes(data[len(MAGIC) + SALT_BYTES : HEADER_BYTES - CHECKSUM_BYTES], "big")
    if data[:HEADER_BYTES] != header(salt, base):
        return Failure(JournalDamagedError("bad header"))
    marker = _marker(salt)
    payloads: list[bytes] = []
    offset = HEADER_BYTES
    while offset < len(data):
        payload = _payload_at(salt, marker, data, offset)
        if payload is None:
            break
        payloads.append(payload)
        offset += FRAME_OVERHEAD_BYTES + len(payload)
    if offset < base:
        return Failure(JournalDamagedError(f"bad frame within the {base} bytes synced at creation", offset))
    next_valid = _next_frame_offset(salt, marker, data, offset + 1)
    if next_valid is not None:
        return Failure(JournalDamagedError(f"bad frame followed by a valid one at offset {next_valid}", offset))
    return Success(JournalContents(salt, payloads, offset, len(data)))


def _next_frame_offset(salt: bytes, marker: bytes, data: bytes, start: int) -> int | None:
    """Returns the offset of the first valid frame at or after ``start``."""
    offset = data.find(marker, start)
    while offset != -1:
        if _payload_at(salt, marker, data, offset) is not None:
            return offset
        offset = data.find(marker, offset + 1)
    return None


def _payload_at(salt: bytes, marker: bytes, data: bytes, offset: int) -> bytes | None:
    """Returns the payload of the frame at ``offset``, or None when there is no valid frame."""
    length_at = offset + MARKER_BYTES
    if data[offset:length_at] != marker:
        return None
    start = offset + FRAME_OVERHEAD_BYTES
    length = int.from_bytes(data[length_at : length_at + LENGTH_BYTES], "big")
    if start + length > len(data):
        return None
    payload = data[start : start + length]
    if data[start - CHECKSUM_BYTES : start] != _checksum(salt, offset, payload):
        return None
    return payload


def _marker(salt: bytes) -> bytes:
    return hashlib.blake2b(salt, digest_size=MARKER_BYTES).digest()


def _checksum(salt: bytes, offset: int, payload: bytes) -> bytes:
    position = offset.to_bytes(OFFSET_BYTES, "big") + len(payload).to_bytes(LENGTH_BYTES, "big")
    digest = hashlib.blake2b(position, key=salt, digest_size=CHECKSUM_BYTES)
    digest.update(payload)
    return digest.digest()
