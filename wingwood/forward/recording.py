"""Records calls as compact JSON lines for the replay tool, without bodies and keys (docs/DESIGN.md section 17)."""

from __future__ import annotations

import hashlib
from collections.abc import Callable

import msgspec

from ..context.protocols import Clock
from .metrics import outcome_name
from .protocols import Answer, Forwarded, IncomingCall, Refused


class RecordedCall(msgspec.Struct, frozen=True, omit_defaults=True):
    """One recorded call, a line of the file."""

    at: float
    """When the call was received, in seconds since the recording started."""
    tenant: str
    service: str
    method: str
    path: str
    """The path without its query."""
    prefix: tuple[str, ...] = ()
    """A digest of each part of the prompt: equal parts can be recognised, their content can not."""
    body_bytes: int = 0
    outcome: str = ""
    status: int = 0
    worker: str = ""
    how: str = ""
    tries: int = 0
    first_piece: float | None = None
    """Seconds from the receipt of the call to the first chunk of its answer; None when no chunk was sent."""
    total: float = 0.0
    """Seconds from the receipt of the call to its end."""
    tokens: int = 0
    bytes_out: int = 0


class CallRecorder:
    """Passes one line for each call to ``write``, which must not block."""

    def __init__(self, clock: Clock, write: Callable[[bytes], None]) -> None:
        self._clock = clock
        self._write = write
        self._started_at = clock.monotonic()

    def record(self, call: IncomingCall, answer: Answer) -> None:
        """Writes the line of a call that has ended."""
        now = self._clock.monotonic()
        status = answer.status if isinstance(answer, Forwarded | Refused) else 0
        line = RecordedCall(
            at=round(call.received_at - self._started_at, 4),
            tenant="" if call.tenant is None else str(call.tenant.name),
            service="" if call.service is None else str(call.service.name),
            method=call.method,
            path=call.path.partition("?")[0],
            prefix=tuple(_digest(part) for part in call.turn.prefix) if call.turn is not None else (),
            body_bytes=len(call.body),
            outcome=outcome_name(answer),
            status=status,
            worker="" if call.worker is None else str(call.worker),
            how=call.placement_reason,
            tries=call.tries,
            first_piece=None if call.first_token_after is None else round(call.first_token_after, 4),
            total=round(now - call.received_at, 4),
            tokens=call.generated_tokens,
            bytes_out=call.bytes_out,
        )
        self._write(msgspec.json.encode(line) + b"\n")


def _digest(part: str) -> str:
    return hashlib.blake2b(part.encode(), digest_size=6).hexdigest()
