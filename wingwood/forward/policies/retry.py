"""Further tries on other workers (docs/DESIGN.md sections 12.4 and 14)."""

from __future__ import annotations

import asyncio

from ...limits.protocols import RetryBudget
from ..limits import PathLimits
from ..protocols import Aborted, Answer, IncomingCall, NotAnswered, Proceed, Refused


class RetryPolicy:
    """Tries another worker, within the budget, while the caller has nothing or a stream that can be resumed.

    A call that may not be repeated is tried again only if it can not have run. The number of workers that run a call
    or have run it is limited by ``attempts`` of the service; workers that did not run it are not counted.
    """

    name = "retry"

    def __init__(self, budget: RetryBudget, limits: PathLimits) -> None:
        self._budget = budget
        self._limits = limits

    async def apply(self, call: IncomingCall, proceed: Proceed) -> Answer:
        tries_left = self._limits.max_tries
        while True:
            answer = await proceed(call)
            if not isinstance(answer, NotAnswered):
                return answer
            tries_left -= 1
            if answer.exclude_worker and call.choice is not None:
                call.excluded = (*call.excluded, call.choice.worker.instance)
            if answer.run != "not-run":
                call.run = answer.run
            if call.caller.disconnected.is_set():
                return Aborted("caller-gone", call.run)
            if not tries_left or not answer.retryable or not self._may_try_again(call, answer):
                return self._end(call, answer)
            await asyncio.sleep(0)  # If the process stood still, disconnections of callers are noticed first.

    def _end(self, call: IncomingCall, answer: NotAnswered) -> Answer:
        if call.caller.started:
            return Aborted(answer.code, call.run)
        return Refused(
            status=answer.status,
            code=answer.code,
            reason=answer.reason,
            run=call.run,
            retry_after=self._limits.retry_after if answer.status == 503 or call.run == "not-run" else None,
        )

    def reserve(self, call: IncomingCall) -> bool:
        """Returns whether the current try may be given up for another one; if so, charges that one to the budget."""
        if not self._repeatable(call) or call.tries >= self._limits.max_tries or call.retry_reserved:
            return False
        assert call.service is not None
        if call.possible_runs + 1 >= call.service.attempts:
            return False
        call.retry_reserved = self._budget.take(call.service)
        return call.retry_reserved

    def _may_try_again(self, call: IncomingCall, answer: NotAnswered) -> bool:
        if answer.run != "not-run" and not self._repeatable(call):
            return False
        assert call.service is not None
        if call.possible_runs >= call.service.attempts:
            return False
        if not answer.uses_retry_budget:
            return True
        if call.retry_reserved:
            call.retry_reserved = False
            return True
        return self._budget.take(call.service)

    @staticmethod
    def _repeatable(call: IncomingCall) -> bool:
        return call.service is not None and call.service.repeatable
