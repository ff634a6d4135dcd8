"""Records calls as compact JSON lines for the replay tool, without bodies and keys (docs/DESIGN.md section 17)."""

from __future__ import annotations

import hashlib
from collections.abc import Callable

import msgspec

from ..context.protocols import Clock
from .calls import IncomingCall
from .metrics import outcome_name
from .results import CallResult, Forwarded, Rejection


class RecordedCall(msgspec.Struct, frozen=True, omit_defaults=True):
    """One recorded call, a line of the file; the names of the fields are stored."""

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
    placement_method: str = msgspec.field(name="how", default="")
    attempts: int = msgspec.field(name="tries", default=0)
    first_chunk: float | None = msgspec.field(name="first_piece", default=None)
    """Seconds from the receipt of the call to the first chunk of its response; None when no chunk was sent."""
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

    def record(self, call: IncomingCall, result: CallResult) -> None:
        """Writes the line of a call that has ended."""
        now = self._clock.monotonic()
        request, history, stats = call.request, call.history, call.stats
        line = RecordedCall(
            at=round(request.received_at - self._started_at, 4),
            tenant=call.tenant_name,
            service="" if call.attributes.service is None else str(call.attributes.service.name),
            method=request.method,
            path=request.path.partition("?")[0],
            prefix=tuple(_digest(part) for part in call.turn.prefix) if call.turn is not None else (),
            body_bytes=len(request.body),
            outcome=outcome_name(result),
            status=result.status if isinstance(result, Forwarded | Rejection) else 0,
            worker="" if history.worker is None else str(history.worker),
            placement_method=history.placement_method,
            attempts=history.attempts,
            first_chunk=None if stats.first_chunk_after is None else round(stats.first_chunk_after, 4),
            total=round(now - request.received_at, 4),
            tokens=stats.generated_tokens,
            bytes_out=stats.body_bytes,
        )
        self._write(msgspec.json.encode(line) + b"\n")


def _digest(part: str) -> str:
    return hashlib.blake2b(part.encode(), digest_size=6).hexdigest()
