"""The form of calls to workers and of their answers (docs/DESIGN.md section 12.1).

A call goes as HTTP/1.1 to the caller's own path at the worker's address, body unchanged, with its length:

- ``Prefix``: the caller's, unchanged (``shared1/shared2/session``), when it gave one;
- ``Expect-Instance: INSTANCE``: the worker's life that is meant; another life answers 412 and does not run it;
- ``X-Request-Id``, ``X-Tenant``, ``Idempotency-Key`` (when given), ``Content-Type`` and the caller's other
  end-to-end headers; never ``Authorization`` and never hop-by-hop headers.

Answers: 412 and 503 with ``Not-Run: true`` say that the worker did not and will not run the call. Every other
status is the worker's own answer and is passed through. A stream is ``text/event-stream``, one event per
generated token, and ends with the event ``data: [DONE]``. ``Cached-Tokens`` and ``Prompt-Tokens`` may be told
in the answer's head.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import msgspec

from ..context.protocols import HttpHead, HttpRequest
from ..identifiers import Address, RequestId, Seconds, TenantName, WorkerInstance

PREFIX: Final = "Prefix"
EXPECT_INSTANCE: Final = "Expect-Instance"
REQUEST_ID: Final = "X-Request-Id"
TENANT: Final = "X-Tenant"
NOT_RUN: Final = "Not-Run"
CACHED_TOKENS: Final = "Cached-Tokens"
"""Answer header: how many prompt tokens the worker found in its KV cache (for the bench; optional)."""
PROMPT_TOKENS: Final = "Prompt-Tokens"
EVENT_STREAM: Final = "text/event-stream"
END_MARKER: Final = b"[DONE]"
CONNECT_TIMEOUT: Final = Seconds(0.5)

HOP_BY_HOP: Final = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_OURS_TO_WORKER: Final = frozenset(
    {
        "accept-encoding",  # A compressed stream would hide its events and its end marker.
        "authorization",
        "content-length",
        "expect",
        "expect-instance",
        "host",
        "x-request-id",
        "x-tenant",
    }
)
_OURS_TO_CALLER: Final = frozenset(
    {"content-length", "not-run", "wingwood-answer", "wingwood-award", "wingwood-worker", "x-request-id"}
)
_FIELD_BYTES: Final = 64
"""Longest event line of which the content matters: ``data: [DONE]``."""


def end_to_end(headers: tuple[tuple[str, str], ...], dropped: frozenset[str]) -> tuple[tuple[str, str], ...]:
    """Without hop-by-hop headers, those that ``Connection`` names, and ``dropped`` (lower case)."""
    named = {
        token.strip().lower() for name, value in headers if name.lower() == "connection" for token in value.split(",")
    }
    unwanted = HOP_BY_HOP | dropped | named
    return tuple((name, value) for name, value in headers if name.lower() not in unwanted)


def worker_request(
    *,
    method: str,
    address: Address,
    instance: WorkerInstance,
    path: str,
    request: RequestId,
    tenant: TenantName | None,
    headers: tuple[tuple[str, str], ...],
    body: bytes,
    last_check: Callable[[], bool] | None = None,
) -> HttpRequest:
    """``path`` with its query; ``headers`` as the caller sent them."""
    own = [(EXPECT_INSTANCE, str(instance)), (REQUEST_ID, str(request))]
    if tenant is not None:
        own.append((TENANT, str(tenant)))
    return HttpRequest(
        method=method,
        address=address,
        path=path,
        headers=(*end_to_end(headers, _OURS_TO_WORKER), *own),
        body=body,
        connect_timeout=CONNECT_TIMEOUT,
        last_check=last_check,
    )


def says_not_run(head: HttpHead) -> bool:
    """Whether the worker states that it did not run the call and will not."""
    if head.status == 412:
        return True
    return head.status == 503 and (head.header(NOT_RUN) or "").strip().lower() == "true"


def caller_headers(head: HttpHead) -> tuple[tuple[str, str], ...]:
    """The worker's headers that go on to the caller; framing is the caller edge's matter."""
    return end_to_end(head.headers, _OURS_TO_CALLER)


def declared_length(head: HttpHead) -> int | None:
    """The body's length when the answer is framed by it."""
    if head.framing != "length":
        return None
    value = (head.header("Content-Length") or "").strip()
    return int(value) if value.isascii() and value.isdigit() else None


def is_event_stream(head: HttpHead) -> bool:
    content_type = (head.header("Content-Type") or "").split(";", 1)[0].strip().lower()
    return content_type == EVENT_STREAM and head.status < 300


class Piece(msgspec.Struct, frozen=True):
    forward: bytes
    """What goes to the caller: the piece, up to the end of the end marker's event."""
    events: int
    """Data events that ended in it, without the end marker."""


class EventScanner:
    """Follows a stream of events as its pieces pass: counts them, finds the end marker and cuts what trails it.

    Lines may end in LF or CRLF and may be split over pieces anywhere; no more than 64 bytes are kept.
    """

    def __init__(self) -> None:
        self.ended = False
        """The end marker's event is complete."""
        self.events = 0
        self._line = b""
        """Start of the line under way, at most ``_FIELD_BYTES``."""
        self._line_length = 0
        self._has_data = False
        self._is_marker = False

    def take(self, piece: bytes) -> Piece:
        if self._is_one_event(piece):
            self.events += 1
            return Piece(piece, 1)
        before = self.events
        start = 0
        while not self.ended:
            end = piece.find(b"\n", start)
            if end < 0:
                self._keep(piece[start : start + _FIELD_BYTES], len(piece) - start)
                return Piece(piece, self.events - before)
            self._keep(piece[start : min(end, start + _FIELD_BYTES)], end - start)
            self._end_line()
            start = end + 1
        return Piece(piece[:start], self.events - before)

    def _is_one_event(self, piece: bytes) -> bool:
        """The common case, seen without looking at each line: exactly one event of one short or long data line."""
        return (
            not (self._line_length or self._has_data or self.ended)
            and piece.startswith(b"data:")
            and piece.endswith(b"\n\n")
            and piece.count(b"\n") == 2
            and END_MARKER not in piece
        )

    def _keep(self, part: bytes, length: int) -> None:
        if len(self._line) < _FIELD_BYTES:
            self._line = (self._line + part)[:_FIELD_BYTES]
        self._line_length += length

    def _end_line(self) -> None:
        line = self._line if self._line_length <= _FIELD_BYTES else b"data:long" if self._is_data() else b"other"
        self._line, self._line_length = b"", 0
        line = line.removesuffix(b"\r")
        if not line:
            if self._has_data:
                if self._is_marker:
                    self.ended = True
                else:
                    self.events += 1
            self._has_data = self._is_marker = False
        elif line.startswith(b"data:"):
            self._is_marker = not self._has_data and line[5:].strip() == END_MARKER
            self._has_data = True

    def _is_data(self) -> bool:
        return self._line.startswith(b"data:")
