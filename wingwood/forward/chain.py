"""The chain of policies through which each call goes (docs/DESIGN.md section 12.4)."""

from __future__ import annotations

from collections.abc import Sequence

from .calls import IncomingCall
from .protocols import Policy, Proceed
from .results import Aborted, CallResult


class Chain:
    """Runs policies in order; each is given the policies after it as ``proceed``. The last one never proceeds.

    A call whose caller has disconnected or was answered meanwhile is stopped before the next policy.
    """

    def __init__(self, policies: Sequence[Policy]) -> None:
        self._policies = tuple(policies)
        proceed: Proceed = _past_the_end
        for policy in reversed(self._policies):
            proceed = _bind(policy, proceed)
        self._first = proceed

    async def run(self, call: IncomingCall) -> CallResult:
        """Takes the call through all policies and returns how it ended."""
        return await self._first(call)

    def describe(self) -> tuple[tuple[str, str], ...]:
        """Returns the names of the policies in order, each with the first line of its doc string."""
        return tuple((policy.name, (type(policy).__doc__ or "").strip().split("\n", 1)[0]) for policy in self._policies)


def _bind(policy: Policy, proceed: Proceed) -> Proceed:
    async def apply(call: IncomingCall) -> CallResult:
        if call.early_rejection is not None:
            return call.early_rejection
        if call.response.disconnected.is_set():
            return Aborted("caller-gone", call.history.run)
        return await policy.apply(call, proceed)

    return apply


async def _past_the_end(call: IncomingCall) -> CallResult:
    raise AssertionError(f"no policy ended call {call.request_id}")
