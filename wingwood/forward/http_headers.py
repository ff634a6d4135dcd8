"""Headers of HTTP/1.1 messages that are passed on from one connection to another (RFC 9110 section 7.6.1)."""

from __future__ import annotations

from typing import Final

from ..context.protocols import HttpHead

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
"""Names of headers, in lower case, that apply to one connection only."""
EVENT_STREAM: Final = "text/event-stream"


def end_to_end(headers: tuple[tuple[str, str], ...], dropped: frozenset[str]) -> tuple[tuple[str, str], ...]:
    """Returns the headers without hop-by-hop ones, those named by ``Connection``, and ``dropped`` (lower case)."""
    lowered = [(name.lower(), name, value) for name, value in headers]
    unwanted = HOP_BY_HOP | dropped
    named = [value for lower, _, value in lowered if lower == "connection"]
    if named:
        unwanted = unwanted | {token.strip().lower() for value in named for token in value.split(",")}
    return tuple((name, value) for lower, name, value in lowered if lower not in unwanted)


def declared_length(head: HttpHead) -> int | None:
    """Returns the value of ``Content-Length`` if that is how the body is framed, else None."""
    if head.framing != "length":
        return None
    value = (head.header("Content-Length") or "").strip()
    return int(value) if value.isascii() and value.isdigit() else None


def is_event_stream(head: HttpHead) -> bool:
    """Returns whether this is a successful response whose body is a stream of server-sent events."""
    content_type = (head.header("Content-Type") or "").split(";", 1)[0].strip().lower()
    return content_type == EVENT_STREAM and 200 <= head.status < 300
