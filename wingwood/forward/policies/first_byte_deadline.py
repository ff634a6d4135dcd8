"""A deadline for the first byte of each answer, however slow parts of the router are (docs/DESIGN.md section 12.4)."""

from __future__ import annotations

import asyncio

from ...context.protocols import Context
from ...identifiers import Instant
from ..limits import PathLimits
from ..protocols import Answer, IncomingCall, Proceed, RefusalSender, Refused


def first_byte_deadline(call: IncomingCall, limits: PathLimits) -> Instant:
    """Returns by when a caller that was sent nothing must be answered."""
    assert call.service is not None
    if not limits.wait_limits_end_calls:
        return call.deadline
    return Instant(min(call.received_at + call.service.first_byte_timeout - limits.answer_margin, call.deadline))


class FirstByteDeadlinePolicy:
    """Refuses a call whose first-byte deadline passes while shares, ledger or placement have not answered yet.

    A try that is in progress checks the deadline itself. A refused call is sent to no worker afterwards: the
    forwarding policy checks ``early_refusal`` right before the first byte.
    """

    name = "patience"

    def __init__(self, context: Context, limits: PathLimits, answer: RefusalSender) -> None:
        self._context = context
        self._limits = limits
        self._answer = answer

    async def apply(self, call: IncomingCall, proceed: Proceed) -> Answer:
        assert call.service is not None
        deadline = first_byte_deadline(call, self._limits)
        now = self._context.clock.monotonic()
        timer = asyncio.get_running_loop().call_later(max(0.0, deadline - now), self._deadline_passed, call)
        try:
            answer = await proceed(call)
        finally:
            timer.cancel()
        return answer if call.early_refusal is None else call.early_refusal

    def _deadline_passed(self, call: IncomingCall) -> None:
        if call.attempt_in_progress or call.caller.started:
            return
        call.early_refusal = Refused(
            status=504,
            code="patience-passed",
            reason="this router could not place the call within the callers' patience",
            run=call.run,
            retry_after=self._limits.retry_after,
        )
        self._context.tasks.spawn("give up", self._answer(call, call.early_refusal))
