"""Calls that may not be repeated run at most once in the fleet (docs/DESIGN.md section 13)."""

from __future__ import annotations

from typing import Literal

from ...context.protocols import Context
from ...identifiers import Instant, Seconds, TenantName
from ...ledger.protocols import AlreadyClaimed, CallKey, ClaimError, Ledger
from ..call_failures import LEDGER
from ..calls import IncomingCall
from ..formats import CallerFormat
from ..forward_options import LedgerOptions
from ..protocols import Proceed
from ..results import CallResult, Rejection, RunState

_KEY_MISSING = Rejection(
    status=400,
    code="idempotency-key-missing",
    reason="calls of this service need one idempotency key of at most 200 plain characters",
)
_REJECTIONS_BY_STATE: dict[Literal["running", "ran", "unknown"], Rejection] = {
    "running": Rejection(
        status=409,
        code="call-running",
        reason="the first call with this key is under way",
        run="unknown",
        retry_after=Seconds(1.0),
    ),
    "ran": Rejection(
        status=409,
        code="call-ran",
        reason="the call with this key ran; its answer is not sent again",
        run="ran",
    ),
    "unknown": Rejection(
        status=409,
        code="call-unknown",
        reason="a call with this key may have run; it will not run again",
        run="unknown",
    ),
}
"""Rejections of a call whose key was claimed before, by the state of the earlier call."""
_LEDGER_UNREACHABLE = Rejection(
    status=503,
    code="ledger-unreachable",
    reason="the record of calls that may not be repeated can't be reached; this call was not sent",
    retry_after=Seconds(1.0),
)


class AtMostOncePolicy:
    """Claims the idempotency key of a call that may not be repeated before the call is sent to a worker.

    While the ledger is unreachable, one call in each half second asks it. The others are rejected at once, because
    waiting would only keep their callers from retrying later.
    """

    name = "at-most-once"

    def __init__(self, context: Context, ledger: Ledger, options: LedgerOptions, caller_format: CallerFormat) -> None:
        self._format = caller_format
        self._context = context
        self._ledger = ledger
        self._options = options
        self._ledger_unreachable = False
        """Whether the latest claim to end got no reply from the ledger."""
        self._next_probe = Instant(0.0)

    async def apply(self, call: IncomingCall, proceed: Proceed) -> CallResult:
        """Proceeds once the key is claimed, and reports the outcome of the call to the ledger when the call ends."""
        if call.service.repeatable or not call.service.idempotency_keys:
            return await proceed(call)
        idempotency_key = self._format.idempotency_key(call.request)
        if idempotency_key is None:
            return _KEY_MISSING
        key = CallKey(TenantName(call.tenant_name), call.service.name, idempotency_key)
        now = self._context.clock.monotonic()
        if self._ledger_unreachable and now < self._next_probe:
            return _LEDGER_UNREACHABLE
        self._next_probe = Instant(now + self._options.probe_interval)
        timeout = self._options.claim_timeout_fraction * call.service.first_byte_timeout
        with LEDGER:
            claim = await self._ledger.claim(key, Seconds(min(self._options.claim_timeout, timeout)))
        self._ledger_unreachable = isinstance(claim, ClaimError)
        match claim:
            case AlreadyClaimed(state):
                return _REJECTIONS_BY_STATE[state]
            case ClaimError():
                return _LEDGER_UNREACHABLE
        call.key_claimed = True
        run: RunState = "unknown"
        try:
            result = await proceed(call)
            run = call.run_state(result)
            return result
        finally:
            self._context.tasks.spawn("report call outcome", self._report_outcome(key, claim.ticket, run))

    async def _report_outcome(self, key: CallKey, ticket: str, run: RunState) -> None:
        await self._ledger.report_outcome(key, ticket, run)
