"""The exchange of one attempt with its worker (docs/DESIGN.md section 12.5)."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from ...context.protocols import Clock, HttpClient, HttpExchange, HttpRequest
from ...identifiers import Seconds
from ..call_failures import HTTP_CLIENT, CallFailures
from ..calls import IncomingCall
from ..formats import WorkerFormat
from ..forward_options import AttemptOptions
from ..results import Rejection
from .parameters import AttemptParameters
from .stop_reason import StopReason

_MIN_CONNECT_TIMEOUT_SECONDS = 0.001


class WorkerConnection:
    """Sends the call to its worker; owns the HTTP exchange, and the first reason for which it was stopped."""

    def __init__(
        self,
        parameters: AttemptParameters,
        clock: Clock,
        http: HttpClient,
        worker_format: WorkerFormat,
        options: AttemptOptions,
        connection_limit: int | None,
        still_accepted: Callable[[IncomingCall], Rejection | None],
        failures: CallFailures,
    ) -> None:
        self._parameters = parameters
        self._clock = clock
        self._http = http
        self._format = worker_format
        self._options = options
        self._connection_limit = connection_limit
        self._still_accepted = still_accepted
        self._failures = failures
        self._exchange: HttpExchange | None = None
        self.stop_reason: StopReason | None = None
        self.rejection: Rejection | None = None
        """Why the call is no longer accepted, with the reason ``NO_LONGER_ACCEPTED``."""

    def open(self) -> HttpExchange:
        """Starts the exchange."""
        request = self._request()
        with HTTP_CLIENT:
            self._exchange = self._http.start(request)
        return self._exchange

    def request_sent(self) -> bool:
        """Returns whether any byte of the request may have been sent."""
        return self._exchange is not None and self._exchange.request_sent()

    def response_ended(self) -> bool:
        """Returns whether the worker's response is complete or has failed, although the attempt may not know it yet."""
        return self._exchange is not None and self._exchange.ended()

    def stop(self, reason: StopReason) -> None:
        """Closes the connection. The first reason is kept."""
        if self.stop_reason is None:
            self.stop_reason = reason
        self.close()

    def close(self) -> None:
        """Closes the connection, if the exchange has been started and has not ended."""
        if self._exchange is not None:
            with HTTP_CLIENT:
                self._exchange.cancel()

    def _request(self) -> HttpRequest:
        call = self._parameters.call
        time_left = Seconds(call.attributes.deadline - self._parameters.started_at)
        repeatable = self._parameters.service.repeatable
        return msgspec.structs.replace(
            self._format.request(call, self._parameters.choice.worker, time_left),
            connect_timeout=Seconds(min(self._options.connect_timeout, max(_MIN_CONNECT_TIMEOUT_SECONDS, time_left))),
            last_check=self._may_send,
            reuse=self._options.reuse_connections,
            reuse_within=None if repeatable else self._options.non_repeatable_reuse_within,
            connection_limit=self._connection_limit,
        )

    def _may_send(self) -> bool:
        """Returns whether the first byte of the call may be sent on the connection, which is established now."""
        self.stop_reason = StopReason.INTERNAL_ERROR
        with self._failures.confined(self._parameters.call, "check before the first byte"):
            self.stop_reason = self._reason_not_to_send()
        return self.stop_reason is None

    def _reason_not_to_send(self) -> StopReason | None:
        """Checks again everything that can forbid the call, as the process may have been paused just before."""
        call = self._parameters.call
        now = self._clock.monotonic()
        if call.response.disconnected.is_set():
            return StopReason.CALLER_DISCONNECTED
        if now >= call.attributes.deadline:
            return StopReason.DEADLINE
        if call.early_rejection is not None or (
            now >= self._parameters.first_byte_deadline and not self._parameters.resumes
        ):
            return StopReason.FIRST_BYTE_TIMEOUT
        if now - call.loop_last_ran > self._options.loop_stall_threshold:
            return StopReason.EVENT_LOOP_STALLED
        self.rejection = self._still_accepted(call)
        return None if self.rejection is None else StopReason.NO_LONGER_ACCEPTED
