"""One attempt on one worker, from the request to the end of the response (docs/DESIGN.md section 12.5)."""

from __future__ import annotations

from returns.result import Failure

from ...context.protocols import HttpExchange, HttpHead
from ..calls import IncomingCall
from ..event_streams import BodyReader, PlainBody, StreamWithEndMarker, StreamWithoutEndMarker
from ..formats import WorkerFormat
from ..http_headers import is_event_stream
from ..results import CallResult
from ..resumable_stream import ResumableStream
from ..worker_outcome_reporter import WorkerOutcomeReporter
from .classifier import AttemptClassifier
from .connection import WorkerConnection
from .parameters import AttemptParameters
from .relay import ResponseRelay
from .stop_reason import StopReason
from .timers import AttemptTimers


class ForwardingAttempt:
    """Runs one attempt. Its parts own the state; this class owns the order of the steps."""

    def __init__(
        self,
        parameters: AttemptParameters,
        connection: WorkerConnection,
        relay: ResponseRelay,
        timers: AttemptTimers,
        classifier: AttemptClassifier,
        reporter: WorkerOutcomeReporter,
        worker_format: WorkerFormat,
    ) -> None:
        self._parameters = parameters
        self._call = parameters.call
        self._connection = connection
        self._relay = relay
        self._timers = timers
        self._classifier = classifier
        self._reporter = reporter
        self._format = worker_format

    async def run(self) -> CallResult:
        """Sends the call and relays the response; returns how the attempt ended."""
        call, choice = self._call, self._parameters.choice
        if not self._reporter.begin():
            return self._classifier.worker_not_ready()
        call.history.worker, call.history.placement_method = choice.worker.instance, choice.method
        self._timers.prepare()
        exchange = self._connection.open()
        call.response.on_disconnect(self._caller_disconnected)
        self._timers.start()
        head_result = await exchange.head()
        if isinstance(head_result, Failure):
            return self._classifier.no_response(head_result.failure())
        head: HttpHead = head_result.unwrap()
        if not self._format.is_response_to(head, call):
            return self._classifier.invalid_response("foreign-answer", "what came is not the answer to this call")
        if self._format.reports_not_run(head):
            return self._classifier.not_run_by_worker(head)
        reader = _body_reader(call, head, self._format.end_marker)
        if self._parameters.resumes and not isinstance(reader, ResumableStream):
            reason = f"the worker answered {head.status}"
            return self._classifier.invalid_response("stream-not-continued", reason, retryable=True)
        if head.framing == "close" and isinstance(reader, PlainBody) and not self._format.close_ends_body:
            reason = "the worker's answer has neither length nor chunks, so its end can't be known"
            return self._classifier.invalid_response("answer-without-end", reason)
        return await self._relay_response(exchange, head, reader)

    def close(self) -> None:
        """Ends the attempt after ``run`` has returned or was cancelled, and counts it if anything was sent."""
        self._call.response.on_disconnect(None)
        self._reporter.ended()
        self._timers.cancel()
        if self._connection.request_sent():
            self._call.history.attempts += 1
            self._call.history.possible_runs += not self._classifier.reported_not_run
        self._connection.close()

    async def _relay_response(self, exchange: HttpExchange, head: HttpHead, reader: BodyReader) -> CallResult:
        self._relay.begin(head, reader)
        self._timers.response_started(reader)
        while True:
            chunk_result = await exchange.next_chunk()
            if isinstance(chunk_result, Failure):
                return self._classifier.interrupted(chunk_result.failure(), reader)
            chunk: bytes | None = chunk_result.unwrap()
            if chunk is None:
                break
            self._classifier.report_response(head)
            data = self._relay.take(chunk)
            if reader.ended:
                self._timers.end_marker_received()
            if data:
                await self._relay.write(data)
            if reader.ended and head.framing == "close":
                break
            self._relay.chunk_relayed()
            self._timers.chunk_relayed(reader)
        if not reader.is_complete(head.framing):
            return self._classifier.incomplete(reader)
        self._classifier.report_response(head)
        await self._relay.finish()
        return self._classifier.completed(head)

    def _caller_disconnected(self) -> None:
        self._connection.stop(StopReason.CALLER_DISCONNECTED)


def _body_reader(call: IncomingCall, head: HttpHead, end_marker: bytes | None) -> BodyReader:
    """Returns the reader for the body that follows ``head``."""
    if not (call.service.streaming and is_event_stream(head)):
        return PlainBody()
    if call.progress is not None:
        return ResumableStream(call.progress, end_marker)
    return StreamWithoutEndMarker() if end_marker is None else StreamWithEndMarker(end_marker)
