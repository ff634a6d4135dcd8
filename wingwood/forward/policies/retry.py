"""Retries on other workers (docs/DESIGN.md sections 12.4 and 14)."""

from __future__ import annotations

import asyncio

from ...context.protocols import Clock
from ...limits.protocols import RetryBudget
from ..call_failures import LIMITS
from ..calls import IncomingCall
from ..forward_options import RetryOptions
from ..protocols import Proceed
from ..results import Aborted, AttemptFailure, CallResult, Rejection

_SERVICE_UNAVAILABLE = 503


class RetryPolicy:
    """Retries on another worker, within the budget, while the caller has nothing or a stream that can be resumed.

    A call that may not be repeated is retried only if it can not have run. The number of workers that run a call
    or have run it is limited by ``attempts`` of the service; workers that did not run it are not counted. No retry
    starts after the call's deadline.
    """

    name = "retry"

    def __init__(self, clock: Clock, budget: RetryBudget, options: RetryOptions) -> None:
        self._clock = clock
        self._budget = budget
        self._options = options

    async def apply(self, call: IncomingCall, proceed: Proceed) -> CallResult:
        """Proceeds until an attempt succeeds or no retry is allowed; no attempt failure leaves this policy."""
        attempts_left = self._options.max_attempts
        while True:
            result = await proceed(call)
            if not isinstance(result, AttemptFailure):
                return result
            attempts_left -= 1
            self._record_failure(call, result)
            if call.response.disconnected.is_set():
                return Aborted("caller-gone", call.history.run)
            if not attempts_left or not result.retryable or not self._may_retry(call, result):
                return self._end(call, result)
            await asyncio.sleep(0)  # After a pause of the process, disconnections of callers are noticed first.

    def reserve(self, call: IncomingCall) -> bool:
        """Returns whether the current attempt may be given up for a retry; if so, charges the retry to the budget."""
        history = call.history
        if not self._repeatable(call) or history.attempts >= self._options.max_attempts or history.retry_reserved:
            return False
        if history.possible_runs + 1 >= call.service.attempts:
            return False
        history.retry_reserved = self._take(call)
        return history.retry_reserved

    @staticmethod
    def _record_failure(call: IncomingCall, failure: AttemptFailure) -> None:
        history = call.history
        if failure.exclude_worker and call.attempt is not None:
            history.excluded_workers = (*history.excluded_workers, call.attempt.choice.worker.instance)
        if failure.run != "not-run":
            history.run = failure.run

    def _end(self, call: IncomingCall, failure: AttemptFailure) -> CallResult:
        run = call.history.run
        if call.response.started:
            return Aborted(failure.code, run)
        may_try_later = failure.status == _SERVICE_UNAVAILABLE or run == "not-run"
        return Rejection(
            status=failure.status,
            code=failure.code,
            reason=failure.reason,
            run=run,
            retry_after=self._options.retry_after if may_try_later else None,
        )

    def _may_retry(self, call: IncomingCall, failure: AttemptFailure) -> bool:
        if self._clock.monotonic() >= call.attributes.deadline:
            return False
        if failure.run != "not-run" and not self._repeatable(call):
            return False
        if call.history.possible_runs >= call.service.attempts:
            return False
        if not failure.uses_retry_budget:
            return True
        if call.history.retry_reserved:
            call.history.retry_reserved = False
            return True
        return self._take(call)

    def _take(self, call: IncomingCall) -> bool:
        with LIMITS:
            return self._budget.take(call.service)

    @staticmethod
    def _repeatable(call: IncomingCall) -> bool:
        return call.service.repeatable
