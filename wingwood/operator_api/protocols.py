"""HTTP/1.1 + JSON towards operators, workers and the platform (docs/DESIGN.md section 15).

Slices add their routes; each call is decoded into a command object that is run elsewhere.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from typing import Protocol

import msgspec

from ..identifiers import Address


class OperatorRequest(msgspec.Struct, frozen=True, kw_only=True):
    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    """Lower-case names."""
    body: bytes
    peer: Address


class OperatorReply(msgspec.Struct, frozen=True, kw_only=True):
    status: int = 200
    body: msgspec.Struct | dict[str, object] | list[object] | str | bytes
    """Structs, dicts and lists leave as JSON; str as text/plain; bytes as JSON already encoded."""
    headers: tuple[tuple[str, str], ...] = ()


OperatorHandler = Callable[[OperatorRequest], Awaitable[OperatorReply]]


class OperatorRoutes(Protocol):
    def add(self, method: str, path: str, handler: OperatorHandler, body_bytes: int | None = None) -> None:
        """``path`` is exact, or ends in ``/*`` to take everything below; ``body_bytes`` bounds this route's bodies."""
        ...


class OperatorError(msgspec.Struct, frozen=True):
    """Body of every answer that is not what was asked for."""

    code: str
    reason: str


def error_reply(status: int, code: str, reason: str, headers: tuple[tuple[str, str], ...] = ()) -> OperatorReply:
    return OperatorReply(status=status, body=OperatorError(code, reason), headers=headers)
