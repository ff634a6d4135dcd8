"""Calls that may not be repeated run at most once in the fleet (docs/DESIGN.md section 13)."""

from __future__ import annotations

from ...context.protocols import Context
from ...identifiers import Instant, Seconds, TenantName
from ...ledger.protocols import AlreadyClaimed, CallKey, ClaimError, Ledger
from ..formats import CallerFormat
from ..limits import PathLimits
from ..protocols import Answer, Forwarded, IncomingCall, Proceed, Refused, RunState

_REFUSALS_BY_STATE: dict[str, tuple[str, RunState, Seconds | None]] = {
    "running": ("the first call with this key is under way", "unknown", Seconds(1.0)),
    "ran": ("the call with this key ran; its answer is not sent again", "ran", None),
    "unknown": ("a call with this key may have run; it will not run again", "unknown", None),
}
_LEDGER_UNREACHABLE = Refused(
    status=503,
    code="ledger-unreachable",
    reason="the record of calls that may not be repeated can't be reached; this call was not sent",
    retry_after=Seconds(1.0),
)


class AtMostOncePolicy:
    """Claims the idempotency key of a call that may not be repeated before the call is sent to a worker.

    While the ledger is unreachable, one call in each half second asks it. The others are refused at once, because
    waiting would only keep their callers from trying again later.
    """

    name = "at-most-once"

    def __init__(self, context: Context, ledger: Ledger, limits: PathLimits, caller_format: CallerFormat) -> None:
        self._format = caller_format
        self._context = context
        self._ledger = ledger
        self._limits = limits
        self._ledger_unreachable = False
        """Whether the latest claim to end got no answer from the ledger."""
        self._next_probe = Instant(0.0)

    async def apply(self, call: IncomingCall, proceed: Proceed) -> Answer:
        assert call.service is not None
        if call.service.repeatable or not call.service.idempotency_keys:
            return await proceed(call)
        given = self._format.idempotency_key(call)
        if given is None:
            return Refused(
                status=400,
                code="idempotency-key-missing",
                reason="calls of this service need one idempotency key of at most 200 plain characters",
            )
        key = CallKey(TenantName("") if call.tenant is None else call.tenant.name, call.service.name, given)
        now = self._context.clock.monotonic()
        if self._ledger_unreachable and now < self._next_probe:
            return _LEDGER_UNREACHABLE
        self._next_probe = Instant(now + self._limits.ledger_probe_interval)
        timeout = self._limits.ledger_timeout_share * call.service.first_byte_timeout
        claim = await self._ledger.claim(key, Seconds(min(self._limits.ledger_timeout, timeout)))
        self._ledger_unreachable = isinstance(claim, ClaimError)
        match claim:
            case AlreadyClaimed(known):
                reason, run, retry_after = _REFUSALS_BY_STATE[known]
                return Refused(status=409, code=f"call-{known}", reason=reason, run=run, retry_after=retry_after)
            case ClaimError():
                return _LEDGER_UNREACHABLE
        call.claimed = True
        state: RunState = "unknown"
        try:
            answer = await proceed(call)
            state = run_state_of(call, answer)
            return answer
        finally:
            self._context.tasks.spawn("report outcome", self._report_outcome(key, claim.ticket, state))

    async def _report_outcome(self, key: CallKey, ticket: str, outcome: RunState) -> None:
        await self._ledger.report_outcome(key, ticket, outcome)


def run_state_of(call: IncomingCall, answer: Answer) -> RunState:
    """Returns what is known after all tries about whether the call ran."""
    if isinstance(answer, Forwarded):
        return "ran"
    return answer.run if answer.run != "not-run" else call.run
