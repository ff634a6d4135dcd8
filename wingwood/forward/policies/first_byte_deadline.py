"""Time limits of a call that no attempt on a worker keeps (docs/DESIGN.md section 12.4)."""

from __future__ import annotations

import asyncio
from typing import Final

from ...context.protocols import Context
from ...identifiers import Instant
from ..call_failures import CallFailures
from ..calls import IncomingCall
from ..forward_options import DeadlineOptions, ForwardOptions
from ..protocols import Proceed, RejectionSender
from ..results import Aborted, CallResult, Rejection

_ATTEMPT_END_SECONDS: Final = 0.05
"""How long an attempt, which checks the time limits itself, may take to end before they are checked again."""


def first_byte_deadline(call: IncomingCall, options: DeadlineOptions) -> Instant:
    """Returns by when a caller that was sent nothing must be answered."""
    if not options.wait_timeouts_end_calls:
        return call.attributes.deadline
    first_byte_by = call.request.received_at + call.service.first_byte_timeout - options.first_byte_margin
    return Instant(min(first_byte_by, call.attributes.deadline))


class FirstByteDeadlinePolicy:
    """Ends a call whose time is over while shares, ledger or placement have not replied yet.

    A caller that was sent nothing gets a 504 at the first-byte deadline. The connection of a caller that has the start
    of a stream is closed at the deadline. The call is sent to no worker afterwards, which is checked again right before
    the first byte. An attempt that is in progress checks the time limits itself.
    """

    name = "patience"

    def __init__(
        self, context: Context, options: ForwardOptions, send_rejection: RejectionSender, failures: CallFailures
    ) -> None:
        self._failures = failures
        self._context = context
        self._options = options
        self._send_rejection = send_rejection

    async def apply(self, call: IncomingCall, proceed: Proceed) -> CallResult:
        """Proceeds with a timer that ends the call when its time is over and no attempt is in progress."""
        timer = _CallTimer(call, self._context, self._options, self._send_rejection, self._failures)
        timer.start()
        try:
            result = await proceed(call)
        finally:
            timer.cancel()
        return timer.result or call.early_rejection or result


class _CallTimer:
    """The timer of one call; owns how the call ended if its time was over between attempts.

    It runs again until the call has ended, since an attempt that is in progress when the time is over may end in the
    same iteration of the event loop, and be followed by a retry.
    """

    def __init__(
        self,
        call: IncomingCall,
        context: Context,
        options: ForwardOptions,
        send_rejection: RejectionSender,
        failures: CallFailures,
    ) -> None:
        self._run_check = failures.guarded(call, "first-byte deadline", self._check, call.response.abort)
        self._call = call
        self._context = context
        self._send_rejection = send_rejection
        self._retry_after = options.retry.retry_after
        self._first_byte_deadline = first_byte_deadline(call, options.deadline)
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self.result: CallResult | None = None

    def start(self) -> None:
        """Starts the timer."""
        self._run_at(self._first_byte_deadline)

    def cancel(self) -> None:
        """Stops the timer."""
        if self._timer is not None:
            self._timer.cancel()

    def _run_at(self, at: Instant) -> None:
        delay = max(0.0, at - self._context.clock.monotonic())
        self._timer = self._loop.call_later(delay, self._run_check)

    def _check(self) -> None:
        call = self._call
        self._timer = None
        now = self._context.clock.monotonic()
        if call.response.started and now < call.attributes.deadline:
            self._run_at(call.attributes.deadline)
        elif call.attempt_in_progress():
            self._run_at(Instant(now + _ATTEMPT_END_SECONDS))
        elif call.response.started:
            self.result = Aborted("deadline", call.history.run)
            call.response.abort()
        else:
            self._reject()

    def _reject(self) -> None:
        rejection = Rejection(
            status=504,
            code="patience-passed",
            reason="this router could not place the call within the callers' patience",
            run=self._call.history.run,
            retry_after=self._retry_after,
        )
        self.result = self._call.early_rejection = rejection
        self._context.tasks.spawn("first-byte deadline", self._send_rejection(self._call, rejection))
