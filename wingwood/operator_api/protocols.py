"""The HTTP/1.1 and JSON interface for operators, workers and the platform (docs/DESIGN.md section 15).

Other packages add their routes here. Each request is decoded into a command object that runs elsewhere.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from typing import Protocol

import msgspec

from ..identifiers import Address


class OperatorRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A decoded HTTP request with its complete body."""

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    """The headers by name; names are in lower case."""
    body: bytes
    peer: Address
    """The address that the request came from."""


class OperatorReply(msgspec.Struct, frozen=True, kw_only=True):
    """An HTTP response before it is encoded."""

    status: int = 200
    body: msgspec.Struct | dict[str, object] | list[object] | str | bytes
    """Structs, dicts and lists are sent as JSON, str as text/plain, and bytes unchanged as JSON that is already encoded
    unless a header says otherwise."""
    headers: tuple[tuple[str, str], ...] = ()


OperatorHandler = Callable[[OperatorRequest], Awaitable[OperatorReply]]


class OperatorRoutes(Protocol):
    """The table of HTTP routes to which packages add theirs; ``OperatorServer`` is one."""

    def add(self, method: str, path: str, handler: OperatorHandler, body_bytes: int | None = None) -> None:
        """Adds a route.

        ``path`` is exact, or ends in ``/*`` to match every path below it. ``body_bytes`` limits the bodies of requests
        to this route; None stands for the server's default.
        """
        ...


class OperatorError(msgspec.Struct, frozen=True):
    """The body of every response that reports an error."""

    code: str
    reason: str


def error_reply(status: int, code: str, reason: str, headers: tuple[tuple[str, str], ...] = ()) -> OperatorReply:
    """Returns a response with an ``OperatorError`` as its body."""
    return OperatorReply(status=status, body=OperatorError(code, reason), headers=headers)
