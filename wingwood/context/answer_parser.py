"""A strict incremental parser of HTTP/1.1 answers (docs/DESIGN.md section 12.2; RFC 9112).

It is stricter than the RFC where leniency would let two parsers see different answers in the same bytes: it rejects
folded headers, bare line feeds, blanks before the colon, control characters and contradicting lengths. The outcome
does not depend on how the bytes are split into reads.
"""

from __future__ import annotations

import re
from typing import Final, Literal

from .http_exchange import MAX_HEAD_BYTES, ChunkDecoder, framing_of, is_token
from .protocols import HttpHead

Outcome = Literal["under way", "ended", "malformed", "broken", "foreign"]
"""The state of an answer.

``malformed``: the head is not valid HTTP. ``broken``: the body violates its framing or the connection ended early.
``foreign``: the answer belongs to another call.
"""

_HEAD_END: Final = b"\r\n\r\n"
_VERSION_PREFIX: Final = b"HTTP/1."
_STATUS_LINE = re.compile(r"HTTP/1\.([01]) ([1-5][0-9]{2})(?: .*)?")
_KEEP_ALIVE = re.compile(r"(?:^|[,;\s])timeout\s*=\s*\"?([0-9]{1,9})")
_BARE_LINE_FEED = re.compile(rb"(?:^|[^\r])\n")
_CONTROLS: Final = bytes([*range(9), *range(10, 32), 127])
_MAX_CACHED_NAMES: Final = 512
_FRAMING_NAMES: Final = frozenset({"content-length", "transfer-encoding"})

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


class AnswerParser:
    """Parses the answer to one request and skips interim answers (1xx)."""

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
        "idle_timeout",
        "outcome",
        "persistent",
        "problem",
        "started",
        "surplus",
    )

    def __init__(self, method: str, echo: tuple[str, str] | None = None, new_connection: bool = True) -> None:
        self.outcome: Outcome = "under way"
        self.problem = ""
        """The reason for the outcome ``malformed``, ``broken`` or ``foreign``."""
        self.head: HttpHead | None = None
        self.started = False
        """Whether at least one byte of the answer has arrived."""
        self.persistent = False
        """Whether the peer allows its connection to be reused after this answer."""
        self.idle_timeout: int | None = None
        """The value of ``Keep-Alive: timeout`` in the head, in seconds; None if the head has none."""
        self.surplus = 0
        """Number of bytes that arrived after the end of the answer, in the same read."""
        self._method = method
        self._new_connection = new_connection
        self._echo_name = None if echo is None else echo[0].lower()
        self._echo_value = "" if echo is None else echo[1]
        self._pending = bytearray()
        """The start of a head that has not arrived completely."""
        self._head_bytes = 0
        """Total size of the parsed heads, including those of interim answers."""
        self._remaining = 0
        """Number of bytes still missing from a body with a length."""
        self._chunks: ChunkDecoder | None = None

    def take(self, data: bytes) -> bytes:
        """Parses ``data`` and returns the body bytes in it; may be called only while ``outcome`` is ``under way``."""
        self.started = True
        if self.head is None:
            data = self._read_heads(data)
            if self.head is None or self.outcome != "under way":
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
            self.outcome = "ended"
        elif self.head is not None:
            self._fail("broken", "closed within the body")
        else:
            self._fail("broken", "closed within the head" if self.started else "closed before an answer")

    def _fail(self, outcome: Outcome, problem: str) -> None:
        self.outcome = outcome
        self.problem = problem

    # Parsing of the body.

    def _read_length_body(self, data: bytes) -> bytes:
        size = len(data)
        if size < self._remaining:
            self._remaining -= size
            return data
        self.outcome = "ended"
        self.surplus = size - self._remaining
        return data if not self.surplus else data[: self._remaining]

    def _read_chunks(self, chunks: ChunkDecoder, data: bytes) -> bytes:
        body = chunks.take(data)
        if chunks.problem is not None:
            self._fail("broken", chunks.problem)
        elif chunks.ended:
            self.outcome = "ended"
            self.surplus = chunks.surplus
        return body

    # Parsing of the head.

    def _read_heads(self, data: bytes) -> bytes:
        """Parses heads up to the end of the final one and returns the bytes after it."""
        held = self._pending
        searched = max(0, len(held) - len(_HEAD_END) + 1)
        held += data
        while self.head is None and self.outcome == "under way":
            end = held.find(_HEAD_END, searched)
            size = self._head_bytes + (len(held) if end < 0 else end + len(_HEAD_END))
            if not held.startswith(_VERSION_PREFIX) and not _VERSION_PREFIX.startswith(held):
                self._fail("malformed", "not HTTP")
            elif size > MAX_HEAD_BYTES:
                self._fail("malformed", "head too long")
            elif end < 0:
                if _BARE_LINE_FEED.search(held, max(0, searched - 1)) is not None:
                    self._fail("malformed", "bare line end in the head")
                return b""
            else:
                self._head_bytes = size
                head = bytes(held[:end])
                del held[: end + len(_HEAD_END)]
                searched = 0
                self._read_head(head)
        remainder = bytes(held)
        held.clear()
        return remainder

    def _read_head(self, raw: bytes) -> None:
        first, *lines = raw.decode("latin-1").split("\r\n")
        if len(raw.translate(None, _CONTROLS)) != len(raw) - 2 * len(lines):
            self._fail("malformed", "control character in the head")
            return
        found = _STATUS_LINE.fullmatch(first)
        if found is None:
            self._fail("malformed", "malformed status line")
            return
        status = int(found[2])
        headers: list[tuple[str, str]] = []
        framing: list[tuple[str, str]] = []
        echoed: list[str] = []
        persistent = found[1] == "1"
        for line in lines:
            name, separator, value = line.partition(":")
            lowered = _lowercase_token(name) if separator else None
            if lowered is None:
                self._fail("malformed", "malformed header")
                return
            value = value.strip(" \t")
            headers.append((name, value))
            if lowered in _FRAMING_NAMES:
                framing.append((lowered, value))
            elif lowered == "connection":
                persistent = persistent and _allows_reuse(value)
            elif lowered == "keep-alive":
                timeout = _KEEP_ALIVE.search(value)
                self.idle_timeout = None if timeout is None else int(timeout[1])
            if lowered == self._echo_name:
                echoed.append(value)
        if status == 101:
            self._fail("malformed", "switches protocols")
        elif status >= 200:
            self._end_head(status, tuple(headers), tuple(framing), echoed, persistent)
        else:
            self.idle_timeout = None

    def _end_head(
        self,
        status: int,
        headers: tuple[tuple[str, str], ...],
        framing_headers: tuple[tuple[str, str], ...],
        echoed: list[str],
        persistent: bool,
    ) -> None:
        framing = framing_of(self._method, status, framing_headers)
        if framing is None:
            self._fail("malformed", "contradicting lengths")
            return
        if self._is_foreign(echoed):
            self._fail("foreign", f"answer to another request: {echoed[0][:80]!r}" if echoed else "no echo")
            return
        self.persistent = persistent and framing != "close"
        self.head = HttpHead(status, headers, framing, self._new_connection)
        if framing == "chunked":
            self._chunks = ChunkDecoder()
        elif framing == "length":
            self._remaining = int(framing_headers[0][1])
        if framing == "none" or (framing == "length" and not self._remaining):
            self._remaining = 0
            self.outcome = "ended"

    def _is_foreign(self, echoed: list[str]) -> bool:
        if self._echo_name is None:
            return False
        return any(value != self._echo_value for value in echoed) or (bool(self._echo_value) and not echoed)


def _allows_reuse(connection: str) -> bool:
    """Returns whether the value of a ``Connection`` header allows the connection to stay open."""
    return connection.lower() == "keep-alive" or "close" not in {part.strip() for part in connection.lower().split(",")}
