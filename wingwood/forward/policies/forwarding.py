"""Sends the call to its worker and the answer to its caller, chunk by chunk (docs/DESIGN.md section 12.5)."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from typing import Literal

import msgspec
from returns.result import Failure

from ...context.protocols import Context, HttpExchange, HttpFault, HttpHead, HttpRequest
from ...identifiers import Instant, Seconds
from ...registry.protocols import CallOutcomes, Registry
from ..event_streams import BodyReader, MarkedStream, PlainBody, ResumableStream, UnmarkedStream
from ..formats import Formats
from ..http_headers import declared_length, is_event_stream
from ..limits import PathLimits
from ..protocols import Aborted, Answer, Forwarded, IncomingCall, NotAnswered, Proceed, Refused
from ..turn_report import TurnReport
from .first_byte_deadline import first_byte_deadline

StopReason = Literal["caller-gone", "caller-slow", "deadline", "patience", "slow", "silence", "stalled", "refused"]
_WORKER_UNRESPONSIVE = frozenset({"patience", "slow", "silence"})
"""Reasons for which the worker is reported as unresponsive."""
_NOT_THE_WORKERS_FAULT = frozenset({"caller-gone", "caller-slow", "deadline"})
"""Reasons that say nothing about the worker."""
_BYTES_PER_TOKEN = 4
"""For estimating the tokens of an answer that is no stream from its length."""
_LOOP_ROUNDS_AFTER_STALL = 4
"""Iterations of the event loop after which input that arrived while the process stood still has been read."""
_TOO_SLOW_FACTOR = 4.0
"""Multiple of the predicted time to the first token beyond which a worker counts as failed."""
_CONNECTION_SHARE_FACTOR = 1.3
"""Connections of one router to a worker, as a multiple of its even share, since callers are spread unevenly."""
_MIN_CONNECTIONS = 4
"""Connections to a worker that each router may use, however many routers there are."""
_MOVE_AFTER_FRACTION = 0.5
"""Fraction of the time for which callers tolerate silence after which a call moves to another worker, if it may."""


class ForwardingPolicy:
    """Forwards the call, after a last check right before its first byte, and each chunk of the answer as it arrives."""

    name = "forwarding"

    def __init__(
        self,
        context: Context,
        registry: Registry,
        limits: PathLimits,
        formats: Formats,
        still_accepted: Callable[[IncomingCall], Refused | None],
        reserve_retry: Callable[[IncomingCall], bool],
        outcomes: CallOutcomes | None,
        router_count: Callable[[], int],
    ) -> None:
        self.context = context
        self.registry = registry
        self.outcomes = outcomes
        self.router_count = router_count
        self.limits = limits
        self.formats = formats
        self.still_accepted = still_accepted
        self.reserve_retry = reserve_retry

    async def apply(self, call: IncomingCall, proceed: Proceed) -> Answer:
        await self._let_loop_catch_up(call)
        attempt = _Attempt(self, call)
        call.attempt_in_progress = True
        try:
            return await attempt.run()
        finally:
            call.attempt_in_progress = False
            attempt.end()

    def most_connections(self, call: IncomingCall) -> int | None:
        """Returns how many connections to the call's worker this router may use; None when there is no limit."""
        assert call.bundle is not None and call.choice is not None
        pool = call.bundle.pools.get(call.choice.worker.pool)
        if pool is None or not pool.connections:
            return None
        share = pool.connections / max(1, self.router_count())
        return min(pool.connections, max(_MIN_CONNECTIONS, int(_CONNECTION_SHARE_FACTOR * share)))

    async def _let_loop_catch_up(self, call: IncomingCall) -> None:
        """If the process stood still, lets the event loop read first what arrived meanwhile, such as disconnections."""
        if self.context.clock.monotonic() - call.loop_last_ran > self.limits.loop_stall:
            for _ in range(_LOOP_ROUNDS_AFTER_STALL):
                await asyncio.sleep(0)
        call.loop_last_ran = self.context.clock.monotonic()

    def body_reader(self, call: IncomingCall, head: HttpHead) -> BodyReader:
        """Returns the reader for the body that follows ``head``."""
        assert call.service is not None
        if not (call.service.streaming and is_event_stream(head)):
            return PlainBody()
        marker = self.formats.worker.end_marker
        if call.progress is not None:
            return ResumableStream(call.progress, marker)
        return UnmarkedStream() if marker is None else MarkedStream(marker)


class _Attempt:
    """One try on one worker, with the timers and events that can end it."""

    def __init__(self, policy: ForwardingPolicy, call: IncomingCall) -> None:
        assert call.choice is not None and call.service is not None
        self._call = call
        self._choice = call.choice
        self._service = call.service
        self._caller = call.caller
        self._policy = policy
        self._limits = policy.limits
        self._report = TurnReport(policy.registry, policy.outcomes, call.choice.worker.instance)
        self._format = policy.formats.worker
        self._now = policy.context.clock.monotonic
        self._loop = asyncio.get_running_loop()
        self._started_at = self._now()
        self._resumes = call.caller.started
        """Whether the caller already has the start of the stream from another worker."""
        self._events_before = call.generated_tokens
        self._first_byte_deadline = first_byte_deadline(call, policy.limits)
        self._exchange: HttpExchange | None = None
        self._stopped: StopReason | None = None
        self._refused: Refused | None = None
        self._not_run = False
        """Whether the worker reported that it did not run the call."""
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = Instant(0.0)
        self._unresponsive_at: Instant | None = None
        """When the worker is reported as failed if its answer has not started by then."""
        self._move_at: Instant | None = None
        """When the call moves to another worker if this one is silent until then."""
        self._head_held_until: Instant | None = None
        """Until when the head of the answer is held back for the first chunk; None when it is not held back."""
        self._head_received = False
        """Whether the head of the worker's answer was received."""
        self._head: HttpHead
        self._last_chunk_at = self._started_at
        self._silence_limit = call.service.chunk_timeout
        """Longest silence of the worker within its answer; shorter once the end marker was received."""
        self._writing = False
        """Whether a chunk is being written that the caller's connection has not yet taken."""
        self._held_answer = bytearray()
        """The received part of an answer that is held back until it is complete."""

    async def run(self) -> Answer:
        """Sends the call and forwards the answer; returns how the try ended."""
        call, choice = self._call, self._choice
        if not self._report.begin():
            call.worker_outcome = "refused"
            reason = "the chosen worker takes no turns now"
            return NotAnswered(code="worker-not-ready", reason=reason, run="not-run", uses_retry_budget=False)
        call.worker, call.placement_reason = choice.worker.instance, choice.method
        self._unresponsive_at = Instant(
            self._started_at + max(self._limits.unresponsive_after, _TOO_SLOW_FACTOR * choice.first_token)
        )
        self._set_move_before_answer()
        self._exchange = self._policy.context.http.start(self._request())
        self._caller.on_disconnect(self._caller_disconnected)
        self._check_timers()
        head_result = await self._exchange.head()
        if isinstance(head_result, Failure):
            return self._without_answer(head_result.failure())
        head: HttpHead = head_result.unwrap()
        if not self._format.is_answer_to(head, call):
            return self._not_an_answer("foreign-answer", "what came is not the answer to this call")
        if self._format.reports_not_run(head):
            return self._not_run_by_worker(head)
        reader = self._policy.body_reader(call, head)
        if self._resumes and not isinstance(reader, ResumableStream):
            return self._not_an_answer("stream-not-continued", f"the worker answered {head.status}", retryable=True)
        if head.framing == "close" and isinstance(reader, PlainBody) and not self._format.close_ends_body:
            reason = "the worker's answer has neither length nor chunks, so its end can't be known"
            return self._not_an_answer("answer-without-end", reason)
        return await self._forward_answer(head, reader)

    def end(self) -> None:
        """Releases what the try holds, after ``run`` has returned or was cancelled."""
        self._caller.on_disconnect(None)
        self._report.ended()
        if self._timer is not None:
            self._timer.cancel()
        if self._exchange is None:
            return
        if self._exchange.request_sent():
            self._call.tries += 1
            self._call.possible_runs += not self._not_run
        self._exchange.cancel()

    def _request(self) -> HttpRequest:
        time_left = Seconds(self._call.deadline - self._started_at)
        return msgspec.structs.replace(
            self._format.request(self._call, self._choice.worker, time_left),
            connect_timeout=Seconds(min(self._limits.connect_timeout, max(0.001, time_left))),
            last_check=self._may_write,
            reuse=self._limits.reuse,
            reuse_within=None if self._service.repeatable else self._limits.non_repeatable_reuse_within,
            connection_limit=self._policy.most_connections(self._call),
        )

    # Before the first byte of the answer.

    def _may_write(self) -> bool:
        """Returns whether the first byte of the call may be sent on the connection, which is established now.

        The process may have been frozen just before, so everything that can forbid the call is checked again.
        """
        now = self._now()
        if self._caller.disconnected.is_set():
            self._stopped = "caller-gone"
        elif now >= self._call.deadline:
            self._stopped = "deadline"
        elif self._call.early_refusal is not None or (now >= self._first_byte_deadline and not self._resumes):
            self._stopped = "patience"
        elif now - self._call.loop_last_ran > self._limits.loop_stall:
            self._stopped = "stalled"
        elif (refused := self._policy.still_accepted(self._call)) is not None:
            self._stopped, self._refused = "refused", refused
        return self._stopped is None

    def _set_move_before_answer(self) -> None:
        """Sets when the call moves to another worker if the answer has not started.

        That is not before twice the predicted time to this worker's first token, and early enough for the other
        worker's first token to arrive before callers give up because of the silence. If both are not possible, the
        call does not move.
        """
        if not self._service.repeatable:
            return
        progress = self._call.progress
        silent_since = (
            self._call.received_at if progress is None or progress.last_sent_at is None else progress.last_sent_at
        )
        callers_give_up_at = min(self._call.deadline, silent_since + self._silence_limit)
        if not self._resumes:
            callers_give_up_at = min(
                callers_give_up_at,
                self._call.received_at + self._service.first_byte_timeout,
                self._first_byte_deadline,
            )
        time_left = callers_give_up_at - self._started_at
        predicted = self._choice.first_token
        move_after = max(_MOVE_AFTER_FRACTION * time_left, 2.0 * predicted)
        if move_after < time_left - max(predicted, 0.1 * time_left):
            self._move_at = Instant(self._started_at + move_after)

    def _without_answer(self, fault: HttpFault) -> Answer:
        """Returns how a try ended of whose answer the caller was sent nothing."""
        call, sent = self._call, fault.request_sent
        run: Literal["unknown", "not-run"] = "unknown" if sent else "not-run"
        call.worker_outcome = "broken" if sent else "refused"
        stopped = self._stopped
        if stopped is None:
            return self._failed(fault, run)
        waited = self._now() - self._started_at
        if stopped in _WORKER_UNRESPONSIVE and (sent or waited > 0.5 * self._service.first_byte_timeout):
            self._report.unresponsive()
        elif stopped == "deadline" and sent and waited > _TOO_SLOW_FACTOR * self._choice.first_token:
            self._report.failed()
        if stopped == "caller-gone":
            call.worker_outcome = "cancelled"
            return Aborted("caller-gone", run if run != "not-run" else call.run)
        if stopped == "refused":
            call.worker_outcome = "cancelled"
            assert self._refused is not None
            return self._refused
        if stopped == "stalled":
            call.worker_outcome = "cancelled"
            reason = "this router stood still"
            return NotAnswered(
                code="router-stalled", reason=reason, run=run, uses_retry_budget=False, exclude_worker=False
            )
        if stopped == "slow":
            return NotAnswered(
                code="worker-silent", reason="the worker is silent", run=run, status=504, uses_retry_budget=sent
            )
        reason = "the deadline passed" if stopped == "deadline" else "no answer within the callers' patience"
        return NotAnswered(code=f"{stopped}-passed", reason=reason, run=run, status=504, retryable=False)

    def _failed(self, fault: HttpFault, run: Literal["unknown", "not-run"]) -> NotAnswered:
        if fault.request_sent:
            if fault.on_reused_connection:
                self._call.worker_outcome = "cancelled"  # The worker most likely closed the idle connection.
            else:
                self._report.failed()
            return NotAnswered(code="worker-broke", reason=f"{fault.kind}: {fault.detail}", run=run, status=502)
        if fault.kind == "malformed":
            return NotAnswered(
                code="malformed-request", reason=f"can't be sent: {fault.detail}", run=run, status=400, retryable=False
            )
        if fault.kind == "connect":
            self._report.unresponsive()
        return NotAnswered(
            code="worker-unreachable", reason=f"no connection: {fault.detail}", run=run, uses_retry_budget=False
        )

    def _not_an_answer(self, code: str, reason: str, retryable: bool = False) -> NotAnswered:
        self._call.worker_outcome = "broken"
        self._report.failed()
        return NotAnswered(code=code, reason=reason, run="unknown", status=502, retryable=retryable)

    def _not_run_by_worker(self, head: HttpHead) -> NotAnswered:
        self._not_run = True
        self._call.worker_outcome = "refused"
        if self._format.is_other_instance(head):
            self._report.misplaced()
        return NotAnswered(code="worker-refused", reason=f"the worker answered {head.status}", run="not-run")

    # Forwarding of the answer.

    async def _forward_answer(self, head: HttpHead, reader: BodyReader) -> Answer:
        call = self._call
        exchange = self._exchange
        assert exchange is not None
        self._last_chunk_at = self._now()
        self._head_received = True
        self._unresponsive_at = None
        self._head = head
        holds = self._service.repeatable and isinstance(reader, PlainBody) and self._limits.held_answer_bytes > 0
        if not self._caller.started and not holds:
            self._head_held_until = Instant(self._last_chunk_at + self._limits.head_hold_time)
        self._set_move_within_stream(reader)
        self._check_timers_by(min(self._due_times()))
        while True:
            chunk_result = await exchange.next_chunk()
            if isinstance(chunk_result, Failure):
                return self._interrupted(chunk_result.failure(), reader)
            chunk: bytes | None = chunk_result.unwrap()
            if chunk is None:
                break
            self._report_answer(head)
            chunk = reader.feed(chunk)
            call.generated_tokens = self._events_before + reader.events
            if reader.ended and self._silence_limit != self._limits.end_timeout:
                self._silence_limit = self._limits.end_timeout
                self._check_timers_by(Instant(self._now() + self._silence_limit))
            if holds:
                self._held_answer += chunk
                chunk, holds = self._release_if_too_large(holds)
            if chunk:
                await self._write(head, chunk)
            if reader.ended and head.framing == "close":
                break
            self._last_chunk_at = self._now()
            self._set_move_within_stream(reader)
        return await self._complete(head, reader)

    async def _complete(self, head: HttpHead, reader: BodyReader) -> Answer:
        """Ends the answer to the caller, after the worker's answer ended without a fault of its framing."""
        call = self._call
        if not reader.is_complete(head.framing):
            if self._may_resume(reader):
                return self._resume_elsewhere("stream-without-end")
            return self._aborted("no-end-marker")
        self._report_answer(head)
        remainder = bytes(self._held_answer) + reader.remainder()
        if remainder:
            await self._write(head, remainder)
        if not self._caller.started:
            await self._start(head)
        await self._caller.finish()
        if isinstance(reader, PlainBody) and self._service.kind == "model" and head.status < 400:
            call.generated_tokens = call.bytes_out // _BYTES_PER_TOKEN
        call.worker_outcome = "whole" if head.status < 400 else "refused"
        if self._caller.disconnected.is_set() and self._stopped == "caller-gone":
            return Aborted("caller-gone", "ran")
        return Forwarded(head.status)

    def _report_answer(self, head: HttpHead) -> None:
        """Reports to the registry whether the worker answered or failed with an error of its own."""
        if head.status < HTTPStatus.INTERNAL_SERVER_ERROR:
            self._report.succeeded()
        else:
            self._report.failed()

    def _release_if_too_large(self, holds: bool) -> tuple[bytes, bool]:
        """Returns what is sent to the caller now, and whether further chunks are held back.

        An answer that has grown beyond ``held_answer_bytes`` is no longer held back.
        """
        if len(self._held_answer) <= self._limits.held_answer_bytes:
            return b"", holds
        chunk = bytes(self._held_answer)
        self._held_answer.clear()
        return chunk, False

    async def _start(self, head: HttpHead) -> None:
        """Sends the head of the answer, unless that was done or the try was stopped."""
        self._head_held_until = None
        if self._stopped is not None or self._caller.started:
            return
        added = self._policy.formats.caller.worker_answer_headers(self._call)
        headers = [*self._format.caller_headers(head), *added]
        length = declared_length(head)
        if length is not None:
            headers.append(("Content-Length", str(length)))
        await self._caller.start(head.status, tuple(headers))

    async def _write(self, head: HttpHead, chunk: bytes) -> None:
        call = self._call
        now = self._now()
        if call.chunks == 0:
            call.first_token_after = Seconds(now - call.received_at)
        if call.try_first_token_after is None:
            call.try_first_token_after = Seconds(now - self._started_at)
            call.on_first_chunk(call.try_first_token_after)
        if not self._caller.started:
            await self._start(head)
        call.chunks += 1
        call.bytes_out += len(chunk)
        if call.progress is not None:
            call.progress.last_sent_at = now
        self._last_chunk_at = now
        self._writing = True
        await self._caller.write(chunk)
        self._writing = False

    def _interrupted(self, fault: HttpFault, reader: BodyReader) -> Answer:
        """Returns how a try ended whose answer broke off or was stopped."""
        if not self._caller.started:
            return self._without_answer(fault)
        if self._may_resume(reader):
            if self._stopped is not None:
                self._report.unresponsive()
            else:
                self._report.failed()
            return self._resume_elsewhere(f"worker-{self._stopped or fault.kind}")
        return self._aborted(self._stopped or f"worker-{fault.kind}")

    def _may_resume(self, reader: BodyReader) -> bool:
        """Returns whether another worker may continue the stream."""
        progress = self._call.progress
        if progress is None or not progress.can_resume or not isinstance(reader, ResumableStream) or reader.ended:
            return False
        return self._stopped in {None, "slow", "silence"}

    def _resume_elsewhere(self, code: str) -> NotAnswered:
        self._call.worker_outcome = "broken"
        return NotAnswered(code=code, reason="the stream broke off", run="unknown", status=502)

    def _aborted(self, reason: str) -> Answer:
        """Returns how a try ended whose answer can not be continued, and reports the worker if it was at fault."""
        call = self._call
        call.worker_outcome = "cancelled" if reason in _NOT_THE_WORKERS_FAULT else "broken"
        if reason in _WORKER_UNRESPONSIVE:
            self._report.unresponsive()
        elif reason not in _NOT_THE_WORKERS_FAULT:
            self._report.failed()
        if not self._caller.started:
            return NotAnswered(code=f"worker-{reason}", reason="the answer broke off", run="unknown", status=502)
        return Aborted(reason, "unknown")

    # Timers and events that can end the try.

    def _stop(self, reason: StopReason) -> None:
        if self._stopped is None:
            self._stopped = reason
        if self._exchange is not None:
            self._exchange.cancel()

    def _caller_disconnected(self) -> None:
        self._stop("caller-gone")

    def _set_move_within_stream(self, reader: BodyReader) -> None:
        """Sets when a resumable stream moves to another worker, before its caller gives up, if this one is silent."""
        self._move_at = None
        if isinstance(reader, ResumableStream) and not reader.ended and self._call.progress is not None:
            self._move_at = Instant(self._last_chunk_at + _MOVE_AFTER_FRACTION * self._silence_limit)

    def _check_timers(self) -> None:
        """Handles whatever is due, and sets the only timer of the try for the time at which something is due next."""
        self._timer = None
        now = self._call.loop_last_ran = self._now()
        if self._unresponsive_at is not None and now >= self._unresponsive_at:
            self._unresponsive_at = None
            self._report.failed()
        if now >= self._call.deadline:
            self._stop("deadline")
        elif self._writing and now >= self._last_chunk_at + self._limits.caller_write_timeout:
            self._stop("caller-slow")  # Otherwise it would occupy a slot of the worker.
        elif not self._caller.started and now >= self._first_byte_deadline:
            self._stop("patience")  # The refusal is sent while the callers still wait.
        elif self._move_at is not None and now >= self._move_at and not self._writing:
            self._move_at = None
            if self._policy.reserve_retry(self._call):
                self._stop("slow")
        elif self._head_received and not self._writing and now >= self._silence_deadline():
            self._stop("silence")
        if self._stopped is not None:
            if self._writing:
                self._caller.abort()  # Otherwise the write would go on waiting.
            return
        if self._head_held_until is not None and now >= self._head_held_until:
            self._head_held_until = None
            self._policy.context.tasks.spawn("head", self._start(self._head))
        self._check_timers_by(min(self._due_times()))

    def _due_times(self) -> list[Instant]:
        """Returns the times at which ``_check_timers`` has something to do."""
        due = [self._call.deadline]
        if self._exchange is not None and not self._exchange.request_sent():
            due.append(
                Instant(self._now() + self._limits.loop_stall / 4)
            )  # Records until the write that the loop runs.
        if not self._caller.started:
            due.append(self._first_byte_deadline)
        if self._head_held_until is not None:
            due.append(self._head_held_until)
        if self._unresponsive_at is not None:
            due.append(self._unresponsive_at)
        if self._writing:
            due.append(Instant(self._now() + 0.25 * min(self._silence_limit, self._limits.caller_write_timeout)))
            return due
        if self._move_at is not None:
            due.append(self._move_at)
        if self._head_received:
            due.append(self._silence_deadline())
        return due

    def _silence_deadline(self) -> Instant:
        """Returns when the worker has been silent for too long.

        The silence after an end marker is limited even when ``wait_limits_end_calls`` is False.
        """
        if self._limits.wait_limits_end_calls or self._silence_limit == self._limits.end_timeout:
            return Instant(self._last_chunk_at + self._silence_limit)
        return self._call.deadline

    def _check_timers_by(self, at: Instant) -> None:
        """Makes ``_check_timers`` run at ``at`` or slightly later."""
        if self._timer is not None:
            if self._timer_at <= at + self._limits.loop_stall / 4:
                return
            self._timer.cancel()
        self._timer_at = at
        self._timer = self._loop.call_later(max(0.0, at - self._now()), self._check_timers)
