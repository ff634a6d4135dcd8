"""What is kept of a call that has ended: metrics, a recorded line and a log event (docs/DESIGN.md section 15)."""

from __future__ import annotations

from ..context.protocols import Context
from .calls import IncomingCall
from .metrics import RequestMetrics, outcome_name
from .recording import CallRecorder
from .results import CallResult, Forwarded, Rejection, RunState
from .router_responses import RouterResponses

_MILLISECONDS_PER_SECOND = 1000


class CallLog:
    """Counts, records and logs each call that has ended."""

    def __init__(
        self,
        context: Context,
        metrics: RequestMetrics,
        recorder: CallRecorder | None,
        router_responses: RouterResponses,
        log_calls: bool,
    ) -> None:
        """``recorder`` is None where calls are not recorded; ``log_calls`` is whether each call is a log event."""
        self._context = context
        self._metrics = metrics
        self._recorder = recorder
        self._router_responses = router_responses
        self._log_calls = log_calls

    def add(self, call: IncomingCall, result: CallResult) -> None:
        """Adds a call that has just ended."""
        total = self._context.clock.monotonic() - call.request.received_at
        self._metrics.count(call, result, total)
        if self._recorder is not None:
            self._recorder.record(call, result)
        if self._log_calls:
            self._write_event(call, result, total)

    def _write_event(self, call: IncomingCall, result: CallResult, total: float) -> None:
        """Writes the event ``call``; ``-`` stands for an unknown value."""
        attributes, history, first = call.attributes, call.history, call.stats.first_chunk_after
        self._context.log.event(
            "call",
            request=call.request_id,
            tenant="-" if attributes.tenant is None else attributes.tenant.name,
            service="-" if attributes.service is None else attributes.service.name,
            worker=history.worker or "-",
            placement=history.placement_method or "-",
            attempts=history.attempts,
            status=result.status if isinstance(result, Forwarded | Rejection) else 0,
            outcome=outcome_name(result),
            run=self._run_state(call, result),
            first_chunk_ms="-" if first is None else round(first * _MILLISECONDS_PER_SECOND, 1),
            total_ms=round(total * _MILLISECONDS_PER_SECOND, 1),
            chunks=call.stats.chunks,
        )

    def _run_state(self, call: IncomingCall, result: CallResult) -> RunState:
        if isinstance(result, Rejection):
            return self._router_responses.run_state(call, result)
        return call.run_state(result)
