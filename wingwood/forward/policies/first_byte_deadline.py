"""A deadline for the first byte of each response, however slow parts of the router are (section 12.4)."""

from __future__ import annotations

import asyncio

from ...context.protocols import Context
from ...identifiers import Instant
from ..calls import IncomingCall
from ..forward_options import DeadlineOptions, ForwardOptions
from ..protocols import Proceed, RejectionSender
from ..results import CallResult, Rejection


def first_byte_deadline(call: IncomingCall, options: DeadlineOptions) -> Instant:
    """Returns by when a caller that was sent nothing must be answered."""
    if not options.wait_timeouts_end_calls:
        return call.attributes.deadline
    first_byte_by = call.request.received_at + call.service.first_byte_timeout - options.first_byte_margin
    return Instant(min(first_byte_by, call.attributes.deadline))


class FirstByteDeadlinePolicy:
    """Rejects a call whose first-byte deadline passes while shares, ledger or placement have not replied yet.

    An attempt that is in progress checks the deadline itself. A rejected call is sent to no worker afterwards:
    ``early_rejection`` is checked right before the first byte.
    """

    name = "patience"

    def __init__(self, context: Context, options: ForwardOptions, send_rejection: RejectionSender) -> None:
        self._context = context
        self._options = options
        self._send_rejection = send_rejection

    async def apply(self, call: IncomingCall, proceed: Proceed) -> CallResult:
        """Proceeds with a timer that sends the caller a 504 at the first-byte deadline."""
        deadline = first_byte_deadline(call, self._options.deadline)
        now = self._context.clock.monotonic()
        timer = asyncio.get_running_loop().call_later(max(0.0, deadline - now), self._deadline_passed, call)
        try:
            result = await proceed(call)
        finally:
            timer.cancel()
        return result if call.early_rejection is None else call.early_rejection

    def _deadline_passed(self, call: IncomingCall) -> None:
        if call.attempt_in_progress() or call.response.started:
            return
        call.early_rejection = Rejection(
            status=504,
            code="patience-passed",
            reason="this router could not place the call within the callers' patience",
            run=call.history.run,
            retry_after=self._options.retry.retry_after,
        )
        self._context.tasks.spawn("first-byte deadline", self._send_rejection(call, call.early_rejection))
