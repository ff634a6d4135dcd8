"""Where a turn goes, as the request path sees it (docs/DESIGN.md section 11)."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Literal, Protocol

import msgspec
from returns.result import Result

from ..bundle.model import Service
from ..identifiers import Instant, RequestId, Seconds, SessionId, TenantName, WorkerInstance
from ..registry.protocols import Worker


class PromptPart(msgspec.Struct, frozen=True):
    """One part of a prompt; the same id is the same text wherever all parts before it are the same too."""

    part: str
    tokens: int


class Turn(msgspec.Struct, frozen=True, kw_only=True):
    """One call, as far as its placement is concerned."""

    request: RequestId
    service: Service
    tenant: TenantName
    weight: float
    """Of the tenant's priority class."""
    prefix: tuple[str, ...]
    """Parts of the ``Prefix`` header, shared parts first; the last is the session id; empty without a header."""
    prompt_tokens: int
    """Told by the caller, else estimated from the body's length."""
    parts: tuple[PromptPart, ...] = ()
    """The parts of ``prefix`` with their sizes, where callers tell them."""
    generate_tokens: int = 0
    """Most tokens that the answer may have, where callers tell it."""
    urgency: int = 5
    """0 goes first, 9 last."""
    deadline: Instant | None = None
    """When the caller gives the call up."""

    @property
    def session(self) -> SessionId | None:
        return SessionId("/".join(self.prefix)) if self.prefix else None


class Choice(msgspec.Struct, frozen=True, kw_only=True):
    worker: Worker
    how: Literal["award", "claim", "bid", "hash", "policy"]
    """Why: an award of a past hint, a guess that it keeps the prefix, a fresh bid, the fallback, a plain policy."""
    first_token: Seconds
    """Predicted time to its first token."""
    uncached_tokens: int = 0


class NoWorker(msgspec.Struct, frozen=True):
    reason: Literal["none-ready", "all-full"]
    retry_after: Seconds


class Placement(Protocol):
    async def choose(self, turn: Turn, excluded: Sequence[WorkerInstance]) -> Result[Choice, NoWorker]:
        """The worker for this turn; it is counted as running there until ``finished``."""
        ...

    def begun(self, turn: Turn, choice: Choice, first_token_after: Seconds) -> None:
        """The first piece of the turn's answer came, so long after it was sent; its prompt waits no more."""
        ...

    def finished(
        self,
        turn: Turn,
        choice: Choice,
        outcome: Literal["whole", "refused", "broken", "cancelled"],
        generated_tokens: int,
        first_token_after: Seconds | None,
    ) -> None:
        """The turn left its worker. ``whole`` is the hint of the session's next turn: bid and record the award."""
        ...
