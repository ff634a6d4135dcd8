"""The time limits of one attempt, all checked by one timer (docs/DESIGN.md section 12.5)."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

from ...context.protocols import Clock
from ...identifiers import Instant
from ..call_failures import CallFailures
from ..calls import IncomingCall
from ..event_streams import BodyReader
from ..forward_options import AttemptOptions
from ..resumable_stream import ResumableStream
from ..worker_outcome_reporter import WorkerOutcomeReporter
from .connection import WorkerConnection
from .parameters import AttemptParameters
from .relay import ResponseRelay
from .stop_reason import StopReason

TOO_SLOW_FACTOR: Final = 4.0
"""Multiple of the predicted time to the first token beyond which a worker counts as failed."""
_MOVE_AFTER_FRACTION: Final = 0.5
"""Fraction of the time for which callers wait after which a call moves to another worker, if it may."""
_MOVE_AFTER_PREDICTED_FACTOR: Final = 2.0
"""Multiple of the predicted time to the first token before which no call moves to another worker."""
_MIN_RETRY_TIME_FRACTION: Final = 0.1
"""Fraction of the time for which callers wait that a moved call must have left."""
_CHECK_INTERVAL_FRACTION: Final = 0.25
"""Fraction of a time limit after which it is checked again while its start may still change."""


class AttemptTimers:
    """Stops an attempt when a time limit is reached; owns the only timer of the attempt."""

    def __init__(
        self,
        parameters: AttemptParameters,
        clock: Clock,
        connection: WorkerConnection,
        relay: ResponseRelay,
        reporter: WorkerOutcomeReporter,
        options: AttemptOptions,
        wait_timeouts_end_calls: bool,
        reserve_retry: Callable[[IncomingCall], bool],
        failures: CallFailures,
    ) -> None:
        self._parameters = parameters
        self._call = parameters.call
        self._response = parameters.call.response
        self._clock = clock
        self._connection = connection
        self._relay = relay
        self._reporter = reporter
        self._options = options
        self._wait_timeouts_end_calls = wait_timeouts_end_calls
        self._reserve_retry = reserve_retry
        self._run_checks = failures.guarded(self._call, "time limits", self._check, self._stop_after_error)
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = Instant(0.0)
        self._report_failure_at: Instant | None = None
        """When the worker is reported as failed if its response has not started by then."""
        self._move_at: Instant | None = None
        """When the call moves to another worker if this one sends nothing until then."""
        self._chunk_timeout = parameters.service.chunk_timeout
        """Longest time between two chunks of the worker; shorter once the end marker was received."""

    def prepare(self) -> None:
        """Sets the time limits on the start of the response, right before the exchange is started."""
        choice, started_at = self._parameters.choice, self._parameters.started_at
        self._report_failure_at = Instant(
            started_at + max(self._options.unresponsive_after, TOO_SLOW_FACTOR * choice.first_token)
        )
        self._move_at = self._move_time_before_response() if self._parameters.service.repeatable else None

    def start(self) -> None:
        """Starts the timer."""
        self._run_checks()

    def response_started(self, reader: BodyReader) -> None:
        """Sets the time limits on the body, after the relay was given the head of the response."""
        self._report_failure_at = None
        self.chunk_relayed(reader)
        self._check_by(min(self._due_times()))

    def chunk_relayed(self, reader: BodyReader) -> None:
        """Sets when a resumable stream moves to another worker, before its caller gives up, if no chunk follows."""
        self._move_at = None
        if isinstance(reader, ResumableStream) and not reader.ended and self._call.progress is not None:
            self._move_at = Instant(self._relay.last_chunk_at + _MOVE_AFTER_FRACTION * self._chunk_timeout)

    def end_marker_received(self) -> None:
        """Limits the time until the end of the response."""
        if self._chunk_timeout != self._options.end_of_stream_timeout:
            self._chunk_timeout = self._options.end_of_stream_timeout
            self._check_by(Instant(self._clock.monotonic() + self._chunk_timeout))

    def cancel(self) -> None:
        """Stops the timer."""
        if self._timer is not None:
            self._timer.cancel()

    def _move_time_before_response(self) -> Instant | None:
        """Returns when the call moves to another worker if the response has not started; None if it does not move.

        That is not before twice the predicted time to this worker's first token, and early enough for the other
        worker's first token to arrive before callers give up waiting. If both are not possible, the call does not move.
        """
        call, parameters = self._call, self._parameters
        progress, received_at = call.progress, call.request.received_at
        waiting_since = received_at if progress is None or progress.last_sent_at is None else progress.last_sent_at
        callers_give_up_at = min(call.attributes.deadline, waiting_since + self._chunk_timeout)
        if not parameters.resumes:
            callers_give_up_at = min(
                callers_give_up_at,
                received_at + parameters.service.first_byte_timeout,
                parameters.first_byte_deadline,
            )
        time_left = callers_give_up_at - parameters.started_at
        predicted = parameters.choice.first_token
        move_after = max(_MOVE_AFTER_FRACTION * time_left, _MOVE_AFTER_PREDICTED_FACTOR * predicted)
        if move_after < time_left - max(predicted, _MIN_RETRY_TIME_FRACTION * time_left):
            return Instant(parameters.started_at + move_after)
        return None

    def _check(self) -> None:
        """Handles whatever is due, and sets the timer for the time at which something is due next."""
        self._timer = None
        now = self._call.loop_last_ran = self._clock.monotonic()
        if self._report_failure_at is not None and now >= self._report_failure_at:
            self._report_failure_at = None
            self._reporter.failed()
        reason = self._reached_limit(now)
        if reason is not None:
            self._connection.stop(reason)
        if self._connection.stop_reason is not None:
            if self._relay.writing:
                self._response.abort()  # Otherwise the write would go on waiting.
            return
        if self._relay.head_due(now) and not self._connection.response_ended():
            self._relay.send_head()
        self._check_by(min(self._due_times()))

    def _stop_after_error(self) -> None:
        """Ends the attempt, since its time limits are not checked any more."""
        self._connection.stop(StopReason.INTERNAL_ERROR)
        if self._relay.writing:
            self._response.abort()

    def _reached_limit(self, now: Instant) -> StopReason | None:
        """Returns why the attempt must be stopped now; None when no limit on the call has been reached."""
        writing = self._relay.writing
        if now >= self._call.attributes.deadline:
            return StopReason.DEADLINE
        if writing and now >= self._relay.last_chunk_at + self._options.caller_write_timeout:
            return StopReason.CALLER_WRITE_TIMEOUT  # Otherwise it would occupy a slot of the worker.
        if not self._response.started and now >= self._parameters.first_byte_deadline:
            return StopReason.FIRST_BYTE_TIMEOUT  # The rejection is sent while the caller still waits.
        if writing:
            return None
        if self._move_at is not None and now >= self._move_at:
            self._move_at = None
            return StopReason.MOVED_TO_OTHER_WORKER if self._reserve_retry(self._call) else None
        if self._relay.head_received and now >= self._chunk_deadline():
            return StopReason.CHUNK_TIMEOUT
        return None

    def _due_times(self) -> list[Instant]:
        """Returns the times at which ``_check`` has something to do."""
        due = [self._call.attributes.deadline]
        if not self._connection.request_sent():
            # Until the request is written, each check records that the event loop runs.
            due.append(self._in(_CHECK_INTERVAL_FRACTION * self._options.loop_stall_threshold))
        if not self._response.started:
            due.append(self._parameters.first_byte_deadline)
        if self._relay.send_head_at is not None:
            due.append(self._relay.send_head_at)
        if self._report_failure_at is not None:
            due.append(self._report_failure_at)
        if self._relay.writing:
            due.append(
                self._in(_CHECK_INTERVAL_FRACTION * min(self._chunk_timeout, self._options.caller_write_timeout))
            )
            return due
        if self._move_at is not None:
            due.append(self._move_at)
        if self._relay.head_received:
            due.append(self._chunk_deadline())
        return due

    def _in(self, seconds: float) -> Instant:
        return Instant(self._clock.monotonic() + seconds)

    def _chunk_deadline(self) -> Instant:
        """Returns by when the worker must send its next chunk or end its response.

        The time after an end marker is limited even when the service's wait timeouts do not end calls.
        """
        if self._wait_timeouts_end_calls or self._chunk_timeout == self._options.end_of_stream_timeout:
            return Instant(self._relay.last_chunk_at + self._chunk_timeout)
        return self._call.attributes.deadline

    def _check_by(self, at: Instant) -> None:
        """Makes ``_check`` run at ``at`` or slightly later."""
        if self._timer is not None:
            if self._timer_at <= at + _CHECK_INTERVAL_FRACTION * self._options.loop_stall_threshold:
                return
            self._timer.cancel()
        self._timer_at = at
        self._timer = self._loop.call_later(max(0.0, at - self._clock.monotonic()), self._run_checks)
