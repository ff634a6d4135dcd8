"""Sends the call to its worker and the answer to its caller, piece by piece (docs/DESIGN.md section 12.5)."""

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
"""Reasons that speak against the worker."""
_NOT_THE_WORKERS_FAULT = frozenset({"caller-gone", "caller-slow", "deadline"})
"""Reasons that say nothing of the worker."""
_BYTES_PER_TOKEN = 4
_LOOP_ROUNDS_AFTER_STALL = 4
"""Rounds of the event loop after which what came in during a standstill has been seen."""
_TOO_SLOW_FACTOR = 4.0
"""Times what was predicted."""
_CONNECTION_SHARE_FACTOR = 1.3
"""Of a worker's connections over an even share for each router: callers are not spread evenly."""
_MIN_CONNECTIONS = 4
_MOVE_AFTER_FRACTION = 0.5
"""Of the callers' patience with silence: when another worker gets its chance, if the call may be repeated."""


class ForwardingPolicy:
    """Forwards the call, checked once more right before its first byte, and each piece of the answer as it comes."""

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
        """To one worker: this router's part of what the worker takes from all of them."""
        assert call.bundle is not None and call.choice is not None
        pool = call.bundle.pools.get(call.choice.worker.pool)
        if pool is None or not pool.connections:
            return None
        share = pool.connections / max(1, self.router_count())
        return min(pool.connections, max(_MIN_CONNECTIONS, int(_CONNECTION_SHARE_FACTOR * share)))

    async def _let_loop_catch_up(self, call: IncomingCall) -> None:
        """After a standstill of the process, what came in meanwhile is read first."""
        if self.context.clock.monotonic() - call.loop_last_ran > self.limits.loop_stall:
            for _ in range(_LOOP_ROUNDS_AFTER_STALL):
                await asyncio.sleep(0)
        call.loop_last_ran = self.context.clock.monotonic()

    def body_reader(self, call: IncomingCall, head: HttpHead) -> BodyReader:
        assert call.service is not None
        if not (call.service.streaming and is_event_stream(head)):
            return PlainBody()
        marker = self.formats.worker.end_marker
        if call.progress is not None:
            return ResumableStream(call.progress, marker)
        return UnmarkedStream() if marker is None else MarkedStream(marker)


class _Attempt:
    """One try on one worker, with the timers and events that may end it."""

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
        """The caller has the beginning of the stream from another worker."""
        self._events_before = call.generated_tokens
        self._first_byte_deadline = first_byte_deadline(call, policy.limits)
        self._exchange: HttpExchange | None = None
        self._stopped: StopReason | None = None
        self._refused: Refused | None = None
        self._not_run = False
        """The worker says so."""
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = Instant(0.0)
        self._unresponsive_at: Instant | None = None
        """When a worker that has shown nothing by then is told to the registry."""
        self._move_at: Instant | None = None
        """When another worker should have its chance, if this one is silent until then."""
        self._head_held_until: Instant | None = None
        """While the worker's head waits for the first piece: how long."""
        self._head_received = False
        """The worker's head has come."""
        self._head: HttpHead
        self._last_chunk_at = self._started_at
        self._silence_limit = call.service.silence_patience
        self._writing = False
        """The caller's connection has not yet taken the piece."""
        self._held_answer = bytearray()
        """Of an answer that is held until it is whole."""

    async def run(self) -> Answer:
        call, choice = self._call, self._choice
        if not self._report.begin():
            call.worker_outcome = "refused"
            reason = "the chosen worker takes no turns now"
            return NotAnswered(code="worker-not-ready", reason=reason, run="not-run", uses_retry_budget=False)
        call.worker, call.placement_reason = choice.worker.instance, choice.how
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
        left = Seconds(self._call.deadline - self._started_at)
        return msgspec.structs.replace(
            self._format.request(self._call, self._choice.worker, left),
            connect_timeout=Seconds(min(self._limits.connect_timeout, max(0.001, left))),
            last_check=self._may_write,
            reuse=self._limits.reuse,
            reuse_within=None if self._service.repeatable else self._limits.non_repeatable_reuse_within,
            most_connections=self._policy.most_connections(self._call),
        )

    # Before the first byte.

    def _may_write(self) -> bool:
        """Connected, and the first byte leaves if this says so: the process may just have been frozen for long."""
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
        """Callers give up after a silence, and another worker needs time for its first token as well."""
        if not self._service.repeatable:
            return
        progress = self._call.progress
        silent_since = (
            self._call.received_at if progress is None or progress.last_sent_at is None else progress.last_sent_at
        )
        ends = min(self._call.deadline, silent_since + self._silence_limit)
        if not self._resumes:
            ends = min(ends, self._call.received_at + self._service.first_byte_patience, self._first_byte_deadline)
        left = ends - self._started_at
        predicted = self._choice.first_token
        slow_after = max(_MOVE_AFTER_FRACTION * left, 2.0 * predicted)
        if slow_after < left - max(predicted, 0.1 * left):
            self._move_at = Instant(self._started_at + slow_after)

    def _without_answer(self, fault: HttpFault) -> Answer:
        call, sent = self._call, fault.request_sent
        run: Literal["unknown", "not-run"] = "unknown" if sent else "not-run"
        call.worker_outcome = "broken" if sent else "refused"
        stopped = self._stopped
        if stopped is None:
            return self._failed(fault, run)
        waited = self._now() - self._started_at
        if stopped in _WORKER_UNRESPONSIVE and (sent or waited > 0.5 * self._service.first_byte_patience):
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
            if fault.on_kept_connection:
                self._call.worker_outcome = "cancelled"  # The worker had closed it while it rested, most likely.
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

    # The answer.

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
            chunk_result = await exchange.next_piece()
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
        """The framing ended cleanly."""
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
        if head.status < HTTPStatus.INTERNAL_SERVER_ERROR:
            self._report.succeeded()
        else:
            self._report.failed()

    def _release_if_too_large(self, holds: bool) -> tuple[bytes, bool]:
        """What goes to the caller now, and whether more is held."""
        if len(self._held_answer) <= self._limits.held_answer_bytes:
            return b"", holds
        chunk = bytes(self._held_answer)
        self._held_answer.clear()
        return chunk, False

    async def _start(self, head: HttpHead) -> None:
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
        progress = self._call.progress
        if progress is None or not progress.can_resume or not isinstance(reader, ResumableStream) or reader.ended:
            return False
        return self._stopped in {None, "slow", "silence"}

    def _resume_elsewhere(self, code: str) -> NotAnswered:
        self._call.worker_outcome = "broken"
        return NotAnswered(code=code, reason="the stream broke off", run="unknown", status=502)

    def _aborted(self, reason: str) -> Answer:
        call = self._call
        call.worker_outcome = "cancelled" if reason in _NOT_THE_WORKERS_FAULT else "broken"
        if reason in _WORKER_UNRESPONSIVE:
            self._report.unresponsive()
        elif reason not in _NOT_THE_WORKERS_FAULT:
            self._report.failed()
        if not self._caller.started:
            return NotAnswered(code=f"worker-{reason}", reason="the answer broke off", run="unknown", status=502)
        return Aborted(reason, "unknown")

    # What may end it.

    def _stop(self, reason: StopReason) -> None:
        if self._stopped is None:
            self._stopped = reason
        if self._exchange is not None:
            self._exchange.cancel()

    def _caller_disconnected(self) -> None:
        self._stop("caller-gone")

    def _set_move_within_stream(self, reader: BodyReader) -> None:
        """A stream that can be continued may move to another worker while its caller still waits."""
        self._move_at = None
        if isinstance(reader, ResumableStream) and not reader.ended and self._call.progress is not None:
            self._move_at = Instant(self._last_chunk_at + _MOVE_AFTER_FRACTION * self._silence_limit)

    def _check_timers(self) -> None:
        """The one timer of a try: looks at all that may be due, and comes again when the next may be."""
        self._timer = None
        now = self._call.loop_last_ran = self._now()
        if self._unresponsive_at is not None and now >= self._unresponsive_at:
            self._unresponsive_at = None
            self._report.failed()
        if now >= self._call.deadline:
            self._stop("deadline")
        elif self._writing and now >= self._last_chunk_at + self._limits.caller_write_timeout:
            self._stop("caller-slow")  # It would hold its place at the worker for as long.
        elif not self._caller.started and now >= self._first_byte_deadline:
            self._stop("patience")  # The answer is decided in this moment, not when the callers have left.
        elif self._move_at is not None and now >= self._move_at and not self._writing:
            self._move_at = None
            if self._policy.reserve_retry(self._call):
                self._stop("slow")
        elif self._head_received and not self._writing and now >= self._silence_deadline():
            self._stop("silence")
        if self._stopped is not None:
            if self._writing:
                self._caller.abort()  # Else the write would go on waiting.
            return
        if self._head_held_until is not None and now >= self._head_held_until:
            self._head_held_until = None
            self._policy.context.tasks.spawn("head", self._start(self._head))
        self._check_timers_by(min(self._due_times()))

    def _due_times(self) -> list[Instant]:
        due = [self._call.deadline]
        if self._exchange is not None and not self._exchange.request_sent():
            due.append(Instant(self._now() + self._limits.loop_stall / 4))  # Shows until the write that the loop moves.
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
        """An end marker bounds the silence behind it in any case."""
        if self._limits.wait_limits_end_calls or self._silence_limit == self._limits.end_timeout:
            return Instant(self._last_chunk_at + self._silence_limit)
        return self._call.deadline

    def _check_timers_by(self, at: Instant) -> None:
        """Has ``_check_timers`` come by then, or a little later."""
        if self._timer is not None:
            if self._timer_at <= at + self._limits.loop_stall / 4:
                return
            self._timer.cancel()
        self._timer_at = at
        self._timer = self._loop.call_later(max(0.0, at - self._now()), self._check_timers)
