"""The request path: a visible chain of policies behind one interface (docs/DESIGN.md section 12)."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Literal, Protocol

import msgspec

from ..bundle.model import Bundle, Service, Tenant
from ..identifiers import Address, Instant, RequestId, Seconds
from ..placement.protocols import Turn

RunState = Literal["not-run", "unknown", "ran"]


class CallerStream(Protocol):
    """The way back to one caller. Exactly one of ``finish`` and ``abort`` ends it."""

    @property
    def begun(self) -> bool:
        """Whether status and headers have been written."""
        ...

    @property
    def gone(self) -> asyncio.Event:
        """Set when the caller has closed its connection."""
        ...

    async def start(self, status: int, headers: tuple[tuple[str, str], ...]) -> None: ...

    async def write(self, piece: bytes) -> None:
        """Returns when the caller's connection has taken the piece (back-pressure)."""
        ...

    async def finish(self) -> None: ...

    def abort(self) -> None:
        """Closes the connection in a way that a reader can tell from a whole answer."""
        ...


class IncomingCall(msgspec.Struct, kw_only=True):
    """One caller's call on its way down the chain; policies fill in what they find out."""

    request: RequestId
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    peer: Address
    arrived: Instant
    caller: CallerStream
    bundle: Bundle | None = None
    service: Service | None = None
    tenant: Tenant | None = None
    deadline: Instant = Instant(float("inf"))
    turn: Turn | None = None
    tries: int = 0

    def header(self, name: str) -> str | None:
        lowered = name.lower()
        return next((value for key, value in self.headers if key.lower() == lowered), None)


class Forwarded(msgspec.Struct, frozen=True):
    """The worker's whole answer went to the caller."""

    status: int


class Cut(msgspec.Struct, frozen=True):
    """The answer was begun and aborted, or the caller went away."""

    reason: str
    run: RunState


class Refused(msgspec.Struct, frozen=True, kw_only=True):
    """A router-made answer, sent at once, as JSON with ``code`` and ``run`` and marked by a header."""

    status: int
    code: str
    reason: str
    run: RunState = "not-run"
    retry_after: Seconds | None = None


Answer = Forwarded | Cut | Refused
Proceed = Callable[[IncomingCall], Awaitable[Answer]]


class Policy(Protocol):
    """One link of the chain; calls ``proceed`` for the rest, or answers itself."""

    name: str

    async def apply(self, call: IncomingCall, proceed: Proceed) -> Answer: ...
