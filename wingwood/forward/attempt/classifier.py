"""Classification of how an attempt ended: for the chain, for placement and for the registry (section 12.5)."""

from __future__ import annotations

from http import HTTPStatus
from typing import Final

from ...context.protocols import Clock, HttpFault, HttpHead
from ..event_streams import BodyReader
from ..formats import WorkerFormat
from ..results import Aborted, AttemptFailure, CallResult, Forwarded, RunState
from ..resumable_stream import ResumableStream
from ..worker_outcome_reporter import WorkerOutcomeReporter
from .connection import WorkerConnection
from .parameters import AttemptParameters
from .stop_reason import NOT_CAUSED_BY_WORKER, WORKER_UNRESPONSIVE, StopReason
from .timers import TOO_SLOW_FACTOR

_UNRESPONSIVE_CONNECT_FRACTION: Final = 0.5
"""Fraction of the first-byte timeout after which a worker without connection is reported as unresponsive."""


class AttemptClassifier:
    """Returns the result of an attempt, sets its outcome, and reports to the registry whether the worker is at fault.

    Owns whether the worker reported that it did not run the call.
    """

    def __init__(
        self,
        parameters: AttemptParameters,
        clock: Clock,
        connection: WorkerConnection,
        reporter: WorkerOutcomeReporter,
        worker_format: WorkerFormat,
    ) -> None:
        self._parameters = parameters
        self._call = parameters.call
        self._attempt = parameters.state
        self._clock = clock
        self._connection = connection
        self._reporter = reporter
        self._format = worker_format
        self.reported_not_run = False
        """Whether the worker reported that it did not run the call."""

    def worker_not_ready(self) -> AttemptFailure:
        """Returns the result of an attempt that the registry does not allow at present."""
        self._attempt.outcome = "refused"
        reason = "the chosen worker takes no turns now"
        return AttemptFailure(code="worker-not-ready", reason=reason, run="not-run", uses_retry_budget=False)

    def invalid_response(self, code: str, reason: str, retryable: bool = False) -> AttemptFailure:
        """Returns the result of a response that cannot be relayed."""
        self._attempt.outcome = "broken"
        self._reporter.failed()
        return AttemptFailure(code=code, reason=reason, run="unknown", status=502, retryable=retryable)

    def not_run_by_worker(self, head: HttpHead) -> AttemptFailure:
        """Returns the result of a response by which the worker states that it did not run the call."""
        self.reported_not_run = True
        self._attempt.outcome = "refused"
        if self._format.is_other_instance(head):
            self._reporter.misplaced()
        return AttemptFailure(code="worker-refused", reason=f"the worker answered {head.status}", run="not-run")

    def report_response(self, head: HttpHead) -> None:
        """Reports to the registry whether the worker responded or failed with an error of its own."""
        if head.status < HTTPStatus.INTERNAL_SERVER_ERROR:
            self._reporter.succeeded()
        else:
            self._reporter.failed()

    def completed(self, head: HttpHead) -> CallResult:
        """Returns the result of a response that was relayed completely."""
        self._attempt.outcome = "whole" if head.status < HTTPStatus.BAD_REQUEST else "refused"
        stopped_by_caller = self._connection.stop_reason is StopReason.CALLER_DISCONNECTED
        if stopped_by_caller and self._call.response.disconnected.is_set():
            return Aborted("caller-gone", "ran")
        return Forwarded(head.status)

    def incomplete(self, reader: BodyReader) -> CallResult:
        """Returns the result of a response whose framing ended cleanly before its body was complete."""
        if self._may_resume(reader):
            return self._resume_elsewhere("stream-without-end")
        self._attempt.outcome = "broken"
        self._reporter.failed()
        if self._call.response.started:
            return Aborted("no-end-marker", "unknown")
        reason = "the answer broke off"
        return AttemptFailure(code="worker-no-end-marker", reason=reason, run="unknown", status=502)

    def interrupted(self, fault: HttpFault, reader: BodyReader) -> CallResult:
        """Returns the result of a response whose body broke off or was stopped."""
        if not self._call.response.started:
            return self.no_response(fault)
        stopped = self._connection.stop_reason
        if self._may_resume(reader):
            self._report_interruption(stopped)
            return self._resume_elsewhere(f"worker-{fault.kind if stopped is None else stopped.value}")
        if stopped in NOT_CAUSED_BY_WORKER:
            self._attempt.outcome = "cancelled"
        else:
            self._attempt.outcome = "broken"
            self._report_interruption(stopped if stopped in WORKER_UNRESPONSIVE else None)
        return Aborted(f"worker-{fault.kind}" if stopped is None else stopped.value, "unknown")

    def no_response(self, fault: HttpFault) -> CallResult:
        """Returns the result of an attempt of whose response the caller was sent nothing."""
        sent = fault.request_sent
        run: RunState = "unknown" if sent else "not-run"
        self._attempt.outcome = "broken" if sent else "refused"
        stopped = self._connection.stop_reason
        if stopped is None:
            return self._failed(fault, run)
        self._report_wait(stopped, sent)
        match stopped:
            case StopReason.CALLER_DISCONNECTED:
                self._attempt.outcome = "cancelled"
                return Aborted("caller-gone", run if run != "not-run" else self._call.history.run)
            case StopReason.NO_LONGER_ACCEPTED:
                self._attempt.outcome = "cancelled"
                assert self._connection.rejection is not None
                return self._connection.rejection
            case StopReason.EVENT_LOOP_STALLED:
                self._attempt.outcome = "cancelled"
                return AttemptFailure(
                    code="router-stalled",
                    reason="this router stood still",
                    run=run,
                    uses_retry_budget=False,
                    exclude_worker=False,
                )
            case StopReason.INTERNAL_ERROR:
                self._attempt.outcome = "cancelled"
                reason = "this router failed to handle the call"
                return AttemptFailure(code=stopped.value, reason=reason, run=run, status=502, retryable=False)
            case StopReason.MOVED_TO_OTHER_WORKER:
                reason = "the worker is silent"
                return AttemptFailure(code="worker-silent", reason=reason, run=run, status=504, uses_retry_budget=sent)
        past_deadline = stopped is StopReason.DEADLINE
        reason = "the deadline passed" if past_deadline else "no answer within the callers' patience"
        return AttemptFailure(code=f"{stopped.value}-passed", reason=reason, run=run, status=504, retryable=False)

    def _report_wait(self, stopped: StopReason, sent: bool) -> None:
        """Reports a worker that did not respond for too long."""
        waited = self._clock.monotonic() - self._parameters.started_at
        connect_limit = _UNRESPONSIVE_CONNECT_FRACTION * self._parameters.service.first_byte_timeout
        if stopped in WORKER_UNRESPONSIVE and (sent or waited > connect_limit):
            self._reporter.unresponsive()
        elif stopped is StopReason.DEADLINE and sent and waited > self._too_slow_after():
            self._reporter.failed()

    def _too_slow_after(self) -> float:
        """Returns the seconds without response after which the worker counts as failed."""
        return TOO_SLOW_FACTOR * self._parameters.choice.first_token

    def _failed(self, fault: HttpFault, run: RunState) -> AttemptFailure:
        """Returns the result of an attempt that failed before the caller was sent anything."""
        if fault.request_sent:
            if fault.on_reused_connection:
                self._attempt.outcome = "cancelled"  # The worker most likely closed the idle connection.
            else:
                self._reporter.failed()
            return AttemptFailure(code="worker-broke", reason=f"{fault.kind}: {fault.detail}", run=run, status=502)
        if fault.kind == "malformed":
            reason = f"can't be sent: {fault.detail}"
            return AttemptFailure(code="malformed-request", reason=reason, run=run, status=400, retryable=False)
        if fault.kind == "connect":
            self._reporter.unresponsive()
        reason = f"no connection: {fault.detail}"
        return AttemptFailure(code="worker-unreachable", reason=reason, run=run, uses_retry_budget=False)

    def _report_interruption(self, stopped: StopReason | None) -> None:
        if stopped is None:
            self._reporter.failed()
        else:
            self._reporter.unresponsive()

    def _may_resume(self, reader: BodyReader) -> bool:
        """Returns whether another worker may continue the stream."""
        progress = self._call.progress
        if progress is None or not progress.can_resume or not isinstance(reader, ResumableStream) or reader.ended:
            return False
        return self._connection.stop_reason in {None, StopReason.MOVED_TO_OTHER_WORKER, StopReason.CHUNK_TIMEOUT}

    def _resume_elsewhere(self, code: str) -> AttemptFailure:
        self._attempt.outcome = "broken"
        return AttemptFailure(code=code, reason="the stream broke off", run="unknown", status=502)
