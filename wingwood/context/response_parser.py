"""A strict incremental parser of HTTP/1.1 responses (docs/DESIGN.md section 12.2; RFC 9112).

It is stricter than the RFC where leniency would let two parsers see different responses in the same bytes: it rejects
folded headers, bare line feeds, blanks before the colon, control characters and contradicting lengths. The result
does not depend on how the bytes are split into reads.
"""

from __future__ import annotations

import enum
import re
from http import HTTPStatus
from typing import Final

import msgspec

from .http_framing import MAX_HEAD_BYTES, ChunkDecoder, framing_of, is_token
from .protocols import HttpHead


class ResponseState(enum.Enum):
    """How far a response has been parsed, and how that ended."""

    INCOMPLETE = enum.auto()
    COMPLETE = enum.auto()
    MALFORMED = enum.auto()
    """The head is not valid HTTP."""
    BROKEN = enum.auto()
    """The body violates its framing or the connection ended early."""
    FOREIGN = enum.auto()
    """The response belongs to another call."""


_HEAD_END: Final = b"\r\n\r\n"
_VERSION_PREFIX: Final = b"HTTP/1."
_STATUS_LINE = re.compile(r"HTTP/1\.([01]) ([1-5][0-9]{2})(?: .*)?")
_KEEP_ALIVE = re.compile(r"(?:^|[,;\s])timeout\s*=\s*\"?([0-9]{1,9})")
_BARE_LINE_FEED = re.compile(rb"(?:^|[^\r])\n")
_CONTROLS: Final = bytes([*range(9), *range(10, 32), 127])
_MAX_CACHED_NAMES: Final = 512
_FRAMING_NAMES: Final = frozenset({"content-length", "transfer-encoding"})
_MAX_QUOTED_CHARACTERS: Final = 80
"""How much of a wrong echo a problem quotes."""

_lowered_names: dict[str, str] = {}
"""Cache from valid header names to their lower case: workers repeat the same few names."""


def _lowercase_token(name: str) -> str | None:
    """Returns the name in lower case, or None if it is not a valid header name."""
    lowered = _lowered_names.get(name)
    if lowered is None:
        if not is_token(name):
            return None
        lowered = name.lower()
        if len(_lowered_names) < _MAX_CACHED_NAMES:
            _lowered_names[name] = lowered
    return lowered


class _HeaderFields(msgspec.Struct):
    """The header lines of one head, and what those say that the parser uses itself."""

    persistent: bool
    """Whether version and ``Connection`` headers allow the connection to stay open."""
    headers: list[tuple[str, str]] = []
    framing: list[tuple[str, str]] = []
    """The headers of the framing, with names in lower case."""
    echoed: list[str] = []
    """Values of the header that must be echoed."""
    keep_alive_seconds: int | None = None


class ResponseParser:
    """Parses the response to one request and skips interim responses (1xx)."""

    __slots__ = (
        "_chunks",
        "_echo_name",
        "_echo_value",
        "_head_bytes",
        "_method",
        "_new_connection",
        "_pending",
        "_remaining",
        "head",
        "keep_alive_seconds",
        "persistent",
        "problem",
        "started",
        "state",
        "surplus",
    )

    def __init__(self, method: str, echo: tuple[str, str] | None = None, new_connection: bool = True) -> None:
        self.state = ResponseState.INCOMPLETE
        self.problem = ""
        """Why the response is malformed, broken or foreign."""
        self.head: HttpHead | None = None
        self.started = False
        """Whether at least one byte of the response has arrived."""
        self.persistent = False
        """Whether the peer allows its connection to be reused after this response."""
        self.keep_alive_seconds: int | None = None
        """The value of ``Keep-Alive: timeout`` in the final head; None if the head has none."""
        self.surplus = 0
        """Number of bytes that arrived after the end of the response, in the same read."""
        self._method = method
        self._new_connection = new_connection
        self._echo_name = None if echo is None else echo[0].lower()
        self._echo_value = "" if echo is None else echo[1]
        self._pending = bytearray()
        """The start of a head that has not arrived completely."""
        self._head_bytes = 0
        """Total size of the parsed heads, including those of interim responses."""
        self._remaining = 0
        """Number of bytes still missing from a body with a length."""
        self._chunks: ChunkDecoder | None = None

    def take(self, data: bytes) -> bytes:
        """Parses ``data`` and returns the body bytes in it; may be called only while it is incomplete."""
        self.started = True
        if self.head is None:
            data = self._read_heads(data)
            if self.head is None or self.state is not ResponseState.INCOMPLETE:
                self.surplus = len(data)
                return b""
            if not data:
                return b""
        if self._chunks is not None:
            return self._read_chunks(self._chunks, data)
        if self.head.framing == "close":
            return data
        return self._read_length_body(data)

    def on_connection_end(self) -> None:
        """Handles an orderly end of the connection (FIN)."""
        if self.head is not None and self.head.framing == "close":
            self.state = ResponseState.COMPLETE
        elif self.head is not None:
            self._fail(ResponseState.BROKEN, "closed within the body")
        else:
            self._fail(ResponseState.BROKEN, "closed within the head" if self.started else "closed before an answer")

    def _fail(self, state: ResponseState, problem: str) -> None:
        self.state = state
        self.problem = problem

    # Parsing of the body.

    def _read_length_body(self, data: bytes) -> bytes:
        size = len(data)
        if size < self._remaining:
            self._remaining -= size
            return data
        self.state = ResponseState.COMPLETE
        self.surplus = size - self._remaining
        return data if not self.surplus else data[: self._remaining]

    def _read_chunks(self, chunks: ChunkDecoder, data: bytes) -> bytes:
        body = chunks.take(data)
        if chunks.problem is not None:
            self._fail(ResponseState.BROKEN, chunks.problem)
        elif chunks.ended:
            self.state = ResponseState.COMPLETE
            self.surplus = chunks.surplus
        return body

    # Parsing of the head.

    def _read_heads(self, data: bytes) -> bytes:
        """Parses heads up to the end of the final one and returns the bytes after it."""
        pending = self._pending
        searched = max(0, len(pending) - len(_HEAD_END) + 1)
        pending += data
        while self.head is None and self.state is ResponseState.INCOMPLETE:
            end = pending.find(_HEAD_END, searched)
            size = self._head_bytes + (len(pending) if end < 0 else end + len(_HEAD_END))
            if not pending.startswith(_VERSION_PREFIX) and not _VERSION_PREFIX.startswith(pending):
                self._fail(ResponseState.MALFORMED, "not HTTP")
            elif size > MAX_HEAD_BYTES:
                self._fail(ResponseState.MALFORMED, "head too long")
            elif end < 0:
                if _BARE_LINE_FEED.search(pending, max(0, searched - 1)) is not None:
                    self._fail(ResponseState.MALFORMED, "bare line end in the head")
                return b""
            else:
                self._head_bytes = size
                head = bytes(pending[:end])
                del pending[: end + len(_HEAD_END)]
                searched = 0
                self._read_head(head)
        remainder = bytes(pending)
        pending.clear()
        return remainder

    def _read_head(self, raw: bytes) -> None:
        """Parses one complete head; ``raw`` does not include the empty line at its end."""
        status_line, *lines = raw.decode("latin-1").split("\r\n")
        if len(raw.translate(None, _CONTROLS)) != len(raw) - 2 * len(lines):
            self._fail(ResponseState.MALFORMED, "control character in the head")
            return
        match = _STATUS_LINE.fullmatch(status_line)
        if match is None:
            self._fail(ResponseState.MALFORMED, "malformed status line")
            return
        fields = self._read_fields(lines, persistent=match[1] == "1")
        if fields is None:
            self._fail(ResponseState.MALFORMED, "malformed header")
            return
        status = int(match[2])
        if status == HTTPStatus.SWITCHING_PROTOCOLS:
            self._fail(ResponseState.MALFORMED, "switches protocols")
        elif status >= HTTPStatus.OK:
            self._end_head(status, fields)

    def _read_fields(self, lines: list[str], persistent: bool) -> _HeaderFields | None:
        """Parses the header lines; returns None if any one is malformed."""
        fields = _HeaderFields(persistent)
        for line in lines:
            name, separator, value = line.partition(":")
            lowered = _lowercase_token(name) if separator else None
            if lowered is None:
                return None
            value = value.strip(" \t")
            fields.headers.append((name, value))
            if lowered in _FRAMING_NAMES:
                fields.framing.append((lowered, value))
            elif lowered == "connection":
                fields.persistent = fields.persistent and _allows_reuse(value)
            elif lowered == "keep-alive":
                timeout = _KEEP_ALIVE.search(value)
                fields.keep_alive_seconds = None if timeout is None else int(timeout[1])
            if lowered == self._echo_name:
                fields.echoed.append(value)
        return fields

    def _end_head(self, status: int, fields: _HeaderFields) -> None:
        """Accepts the final head, unless it is contradictory or belongs to another request."""
        framing = framing_of(self._method, status, tuple(fields.framing))
        echoed = fields.echoed
        if framing is None:
            self._fail(ResponseState.MALFORMED, "contradicting lengths")
            return
        if self._is_foreign(echoed):
            problem = f"answer to another request: {echoed[0][:_MAX_QUOTED_CHARACTERS]!r}" if echoed else "no echo"
            self._fail(ResponseState.FOREIGN, problem)
            return
        self.persistent = fields.persistent and framing != "close"
        self.keep_alive_seconds = fields.keep_alive_seconds
        self.head = HttpHead(status, tuple(fields.headers), framing, self._new_connection)
        if framing == "chunked":
            self._chunks = ChunkDecoder()
        elif framing == "length":
            self._remaining = int(fields.framing[0][1])
        if framing == "none" or (framing == "length" and not self._remaining):
            self._remaining = 0
            self.state = ResponseState.COMPLETE

    def _is_foreign(self, echoed: list[str]) -> bool:
        if self._echo_name is None:
            return False
        return any(value != self._echo_value for value in echoed) or (bool(self._echo_value) and not echoed)


def _allows_reuse(connection: str) -> bool:
    """Returns whether the value of a ``Connection`` header allows the connection to stay open."""
    return connection.lower() == "keep-alive" or "close" not in {part.strip() for part in connection.lower().split(",")}
