"""Framing of HTTP/1.1 messages: the end of a body, the chunked coding, and what a request may contain (RFC 9112)."""

from __future__ import annotations

import re
from typing import Final, Literal

from .protocols import Framing, HttpRequest

MAX_HEAD_BYTES: Final = 64 * 1024
"""Maximum total size of the status line and headers of a response."""

_MAX_CHUNK_LINE_BYTES: Final = 4096
_MAX_LENGTH_DIGITS: Final = 18
"""Maximum number of digits of ``Content-Length``. Longer ones are not real, and Python refuses some thousand digits."""
_STATUSES_WITHOUT_BODY: Final = frozenset({204, 304})
_CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,15})(?:[ \t]*;[^\r\n]*)?")
_TOKEN = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_PATH = re.compile(r"/[!-~]*")
_VALUE = re.compile(r"[\t\x20-\x7e\x80-\xff]*")


def framing_of(method: str, status: int, headers: tuple[tuple[str, str], ...]) -> Framing | None:
    """Returns how the end of the body is recognized, or None if the headers are invalid or contradict each other."""
    lengths = {value.strip() for name, value in headers if name.lower() == "content-length"}
    codings = [value.strip().lower() for name, value in headers if name.lower() == "transfer-encoding"]
    if len(lengths) > 1 or (lengths and codings):
        return None
    if any(not (length.isascii() and length.isdigit() and len(length) <= _MAX_LENGTH_DIGITS) for length in lengths):
        return None
    if codings and codings != ["chunked"]:
        return None
    if method == "HEAD" or status in _STATUSES_WITHOUT_BODY:
        return "none"
    if codings:
        return "chunked"
    return "length" if lengths else "close"


def is_token(name: str) -> bool:
    """Returns whether the name is a valid header name."""
    return _TOKEN.fullmatch(name) is not None


def fault_of_request(request: HttpRequest) -> str | None:
    """Returns the part of the request that can't be written as HTTP, or None if the request is valid."""
    if not _TOKEN.fullmatch(request.method):
        return "method"
    if not _PATH.fullmatch(request.path):
        return "path"
    for name, value in request.headers:
        if not _TOKEN.fullmatch(name):
            return "header name"
        if not _VALUE.fullmatch(value):
            return f"value of header {name}"
    return None


class ChunkDecoder:
    """A strict incremental decoder of the chunked transfer coding; it drops trailers."""

    def __init__(self) -> None:
        self.ended = False
        """Whether the last chunk and the trailers have arrived."""
        self.problem: str | None = None
        """Why the body is invalid; None while it is valid."""
        self.surplus = 0
        """Number of bytes after the end of the body, in the same read."""
        self._pending = b""
        """The start of a line that has not arrived completely."""
        self._remaining = 0
        """Number of bytes still missing from the current chunk."""
        self._trailer_bytes = 0
        self._expects: Literal["size", "line end", "trailer"] = "size"

    def take(self, data: bytes) -> bytes:
        """Decodes ``data`` and returns the body bytes in it; ignores bytes after the end of the body."""
        if self._pending:
            data, self._pending = self._pending + data, b""
        body: list[bytes] = []
        at = 0
        while at < len(data) and not self.ended and self.problem is None:
            if self._remaining:
                body.append(data[at : at + self._remaining])
                at += len(body[-1])
                self._remaining -= len(body[-1])
                if not self._remaining and data.startswith(b"\r\n", at):
                    self._expects = "size"
                    at += 2
                continue
            end = data.find(b"\r\n", at)
            if (len(data) if end < 0 else end) - at > _MAX_CHUNK_LINE_BYTES:
                self.problem = "chunk line too long"
            elif end < 0:
                self._pending = data[at:]
                break
            else:
                self._read_line(data[at:end])
                at = end + 2
        if self.ended:
            self.surplus = len(data) - at
        return body[0] if len(body) == 1 else b"".join(body)

    def _read_line(self, line: bytes) -> None:
        if self._expects == "line end":
            self._expects = "size"
            if line:
                self.problem = "chunk longer than told"
        elif self._expects == "trailer":
            self.ended = not line
            self._trailer_bytes += len(line)
            if self._trailer_bytes > MAX_HEAD_BYTES:
                self.problem = "trailers too long"
        elif (size := _CHUNK_SIZE.fullmatch(line)) is None:
            self.problem = "malformed chunk size"
        else:
            self._remaining = int(size[1], 16)
            self._expects = "line end" if self._remaining else "trailer"
