"""Interface of placement for the request path: choosing the worker of a turn (docs/DESIGN.md section 11)."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Literal, Protocol

import msgspec
from returns.result import Result

from ..bundle.model import Service
from ..identifiers import Instant, RequestId, Seconds, SessionId, TenantName, WorkerInstance
from ..registry.protocols import Worker

PlacementMethod = Literal["award", "claim", "bid", "hash", "policy"]
"""The kind of decision that led to a worker. See ``Choice.method``."""
TurnOutcome = Literal["whole", "refused", "broken", "cancelled"]
"""How a turn left its worker; ``whole``: with a complete answer."""


class PromptPart(msgspec.Struct, frozen=True):
    """One part of a prompt. Equal ids stand for equal text only where all preceding parts are equal too."""

    part: str
    tokens: int


class Turn(msgspec.Struct, frozen=True, kw_only=True):
    """The properties of one call that its placement depends on."""

    request: RequestId
    service: Service
    tenant: TenantName
    weight: float
    """Weight of the tenant's priority class."""
    prefix: tuple[str, ...]
    """Parts of the ``Prefix`` header: shared parts first, the session id last. Empty without a header."""
    prompt_tokens: int
    """Size of the prompt as the caller reported it, otherwise estimated from the length of the body."""
    parts: tuple[PromptPart, ...] = ()
    """The parts of ``prefix`` with their sizes; empty where the caller reports no sizes."""
    generate_tokens: int = 0
    """The most tokens that the answer may have; 0 where the caller does not report it."""
    urgency: int = 5
    """Priority of the call: 0 is the most urgent, 9 the least."""
    deadline: Instant | None = None
    """Instant at which the caller gives up the call; None without a deadline."""

    @property
    def session(self) -> SessionId | None:
        """The session's id, which is the full prefix; None for a call without a ``Prefix`` header."""
        return SessionId("/".join(self.prefix)) if self.prefix else None


class Choice(msgspec.Struct, frozen=True, kw_only=True):
    """The worker that was chosen for a turn."""

    worker: Worker
    method: PlacementMethod = msgspec.field(name="how")
    """The kind of decision that led to the worker.

    award: a reservation recorded at an earlier hint; claim: the worker probably caches the prefix; bid: the cheapest
    worker of a new comparison; hash: the fallback on which all routers agree; policy: a policy that ignores sessions.
    """
    first_token: Seconds
    """Predicted seconds until the first token of the answer."""
    uncached_tokens: int = 0
    """Predicted number of prompt tokens that the worker has to prefill."""


class NoWorker(msgspec.Struct, frozen=True):
    """Why no worker could be chosen, and after how many seconds the caller may retry."""

    reason: Literal["none-ready", "all-full"]
    retry_after: Seconds


class Placement(Protocol):
    """Chooses a worker for each turn. There is one per router."""

    async def choose(self, turn: Turn, excluded: Sequence[WorkerInstance]) -> Result[Choice, NoWorker]:
        """Chooses a worker other than the excluded ones; the turn counts as running there until ``finished``."""
        ...

    def first_token_received(self, turn: Turn, choice: Choice, first_token_after: Seconds) -> None:
        """Reports the first chunk of the answer, received ``first_token_after`` seconds after the turn was sent.

        The turn's prompt no longer waits for its prefill.
        """
        ...

    def finished(
        self,
        turn: Turn,
        choice: Choice,
        outcome: TurnOutcome,
        generated_tokens: int,
        first_token_after: Seconds | None,
    ) -> None:
        """Reports that the turn left its worker.

        A complete answer (``whole``) is the hint of the session's next turn: placement compares the
        workers for that turn and reserves the cheapest.
        """
        ...
