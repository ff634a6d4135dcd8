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
from ..protocols import Answer, Cut, Forwarded, IncomingCall, NotAnswered, Proceed, Refused
from ..turn_report import TurnReport
from .patience import patience_end

StopReason = Literal["caller-gone", "caller-slow", "deadline", "patience", "slow", "silence", "stalled", "refused"]
_DARK = frozenset({"patience", "slow", "silence"})
"""Reasons that speak against the worker."""
_OURS = frozenset({"caller-gone", "caller-slow", "deadline"})
"""Reasons that say nothing of the worker."""
_BYTES_PER_TOKEN = 4
_ROUNDS_AFTER_STANDSTILL = 4
"""Rounds of the event loop after which what came in during a standstill has been seen."""
_FAR_TOO_SLOW = 4.0
"""Times what was predicted."""
_CONNECTIONS_OVER_SHARE = 1.3
"""Of a worker's connections over an even share for each router: callers are not spread evenly."""
_LEAST_CONNECTIONS = 4
_MOVES_AFTER = 0.5
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
        await self._see_who_left(call)
        attempt = _Attempt(self, call)
        call.attempting = True
        try:
            return await attempt.run()
        finally:
            call.attempting = False
            attempt.end()

    def most_connections(self, call: IncomingCall) -> int | None:
        """To one worker: this router's part of what the worker takes from all of them."""
        assert call.bundle is not None and call.choice is not None
        pool = call.bundle.pools.get(call.choice.worker.pool)
        if pool is None or not pool.connections:
            return None
        share = pool.connections / max(1, self.router_count())
        return min(pool.connections, max(_LEAST_CONNECTIONS, int(_CONNECTIONS_OVER_SHARE * share)))

    async def _see_who_left(self, call: IncomingCall) -> None:
        """After a standstill of the process, what came in meanwhile is read first."""
        if self.context.clock.monotonic() - call.loop_seen > self.limits.stall:
            for _ in range(_ROUNDS_AFTER_STANDSTILL):
                await asyncio.sleep(0)
        call.loop_seen = self.context.clock.monotonic()

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
        self._started = self._now()
        self._continues = call.caller.begun
        """The caller has the beginning of the stream from another worker."""
        self._events_before = call.generated_tokens
        self._patience_end = patience_end(call, policy.limits)
        self._exchange: HttpExchange | None = None
        self._stopped: StopReason | None = None
        self._refused: Refused | None = None
        self._not_run = False
        """The worker says so."""
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = Instant(0.0)
        self._dark_at: Instant | None = None
        """When a worker that has shown nothing by then is told to the registry."""
        self._slow_at: Instant | None = None
        """When another worker should have its chance, if this one is silent until then."""
        self._head_until: Instant | None = None
        """While the worker's head waits for the first piece: how long."""
        self._passing = False
        """The worker's head has come."""
        self._head: HttpHead
        self._last_piece = self._started
        self._silence = call.service.silence_patience
        self._writing = False
        """The caller's connection has not yet taken the piece."""
        self._held = bytearray()
        """Of an answer that is held until it is whole."""

    async def run(self) -> Answer:
        call, choice = self._call, self._choice
        if not self._report.begin():
            call.worker_outcome = "refused"
            reason = "the chosen worker takes no turns now"
            return NotAnswered(code="worker-not-ready", reason=reason, run="not-run", counts=False)
        call.worker, call.how = choice.worker.instance, choice.method
        self._dark_at = Instant(self._started + max(self._limits.dark_after, _FAR_TOO_SLOW * choice.first_token))
        self._set_slow()
        self._exchange = self._policy.context.http.start(self._request())
        self._caller.on_gone(self._caller_gone)
        self._watch()
        headed = await self._exchange.head()
        if isinstance(headed, Failure):
            return self._without_answer(headed.failure())
        head: HttpHead = headed.unwrap()
        if not self._format.answers(head, call):
            return self._not_an_answer("foreign-answer", "what came is not the answer to this call")
        if self._format.says_not_run(head):
            return self._not_run_by_worker(head)
        reader = self._policy.body_reader(call, head)
        if self._continues and not isinstance(reader, ResumableStream):
            return self._not_an_answer("stream-not-continued", f"the worker answered {head.status}", again=True)
        if head.framing == "close" and isinstance(reader, PlainBody) and not self._format.closing_ends:
            reason = "the worker's answer has neither length nor chunks, so its end can't be known"
            return self._not_an_answer("answer-without-end", reason)
        return await self._pass_on(head, reader)

    def end(self) -> None:
        self._caller.on_gone(None)
        self._report.ended()
        if self._timer is not None:
            self._timer.cancel()
        if self._exchange is None:
            return
        if self._exchange.request_sent():
            self._call.tries += 1
            self._call.runs += not self._not_run
        self._exchange.cancel()

    def _request(self) -> HttpRequest:
        left = Seconds(self._call.deadline - self._started)
        return msgspec.structs.replace(
            self._format.request(self._call, self._choice.worker, left),
            connect_timeout=Seconds(min(self._limits.connect_timeout, max(0.001, left))),
            last_check=self._may_write,
            reuse=self._limits.reuse,
            reuse_within=None if self._service.repeatable else self._limits.reuse_once_within,
            most_connections=self._policy.most_connections(self._call),
        )

    # Before the first byte.

    def _may_write(self) -> bool:
        """Connected, and the first byte leaves if this says so: the process may just have been frozen for long."""
        now = self._now()
        if self._caller.gone.is_set():
            self._stopped = "caller-gone"
        elif now >= self._call.deadline:
            self._stopped = "deadline"
        elif self._call.given_up is not None or (now >= self._patience_end and not self._continues):
            self._stopped = "patience"
        elif now - self._call.loop_seen > self._limits.stall:
            self._stopped = "stalled"
        elif (refused := self._policy.still_accepted(self._call)) is not None:
            self._stopped, self._refused = "refused", refused
        return self._stopped is None

    def _set_slow(self) -> None:
        """Callers give up after a silence, and another worker needs time for its first token as well."""
        if not self._service.repeatable:
            return
        progress = self._call.progress
        silent_since = self._call.arrived if progress is None or progress.given_at is None else progress.given_at
        ends = min(self._call.deadline, silent_since + self._silence)
        if not self._continues:
            ends = min(ends, self._call.arrived + self._service.first_byte_patience, self._patience_end)
        left = ends - self._started
        predicted = self._choice.first_token
        slow_after = max(_MOVES_AFTER * left, 2.0 * predicted)
        if slow_after < left - max(predicted, 0.1 * left):
            self._slow_at = Instant(self._started + slow_after)

    def _without_answer(self, fault: HttpFault) -> Answer:
        call, sent = self._call, fault.request_sent
        run: Literal["unknown", "not-run"] = "unknown" if sent else "not-run"
        call.worker_outcome = "broken" if sent else "refused"
        stopped = self._stopped
        if stopped is None:
            return self._failed(fault, run)
        waited = self._now() - self._started
        if stopped in _DARK and (sent or waited > 0.5 * self._service.first_byte_patience):
            self._report.dark()
        elif stopped == "deadline" and sent and waited > _FAR_TOO_SLOW * self._choice.first_token:
            self._report.failed()
        if stopped == "caller-gone":
            call.worker_outcome = "cancelled"
            return Cut("caller-gone", run if run != "not-run" else call.run)
        if stopped == "refused":
            call.worker_outcome = "cancelled"
            assert self._refused is not None
            return self._refused
        if stopped == "stalled":
            call.worker_outcome = "cancelled"
            reason = "this router stood still"
            return NotAnswered(code="router-stalled", reason=reason, run=run, counts=False, exclude=False)
        if stopped == "slow":
            return NotAnswered(code="worker-silent", reason="the worker is silent", run=run, status=504, counts=sent)
        reason = "the deadline passed" if stopped == "deadline" else "no answer within the callers' patience"
        return NotAnswered(code=f"{stopped}-passed", reason=reason, run=run, status=504, again=False)

    def _failed(self, fault: HttpFault, run: Literal["unknown", "not-run"]) -> NotAnswered:
        if fault.request_sent:
            if fault.on_kept_connection:
                self._call.worker_outcome = "cancelled"  # The worker had closed it while it rested, most likely.
            else:
                self._report.failed()
            return NotAnswered(code="worker-broke", reason=f"{fault.kind}: {fault.detail}", run=run, status=502)
        if fault.kind == "malformed":
            return NotAnswered(
                code="malformed-request", reason=f"can't be sent: {fault.detail}", run=run, status=400, again=False
            )
        if fault.kind == "connect":
            self._report.dark()
        return NotAnswered(code="worker-unreachable", reason=f"no connection: {fault.detail}", run=run, counts=False)

    def _not_an_answer(self, code: str, reason: str, again: bool = False) -> NotAnswered:
        self._call.worker_outcome = "broken"
        self._report.failed()
        return NotAnswered(code=code, reason=reason, run="unknown", status=502, again=again)

    def _not_run_by_worker(self, head: HttpHead) -> NotAnswered:
        self._not_run = True
        self._call.worker_outcome = "refused"
        if self._format.is_other_instance(head):
            self._report.misplaced()
        return NotAnswered(code="worker-refused", reason=f"the worker answered {head.status}", run="not-run")

    # The answer.

    async def _pass_on(self, head: HttpHead, reader: BodyReader) -> Answer:
        call = self._call
        exchange = self._exchange
        assert exchange is not None
        self._last_piece = self._now()
        self._passing = True
        self._dark_at = None
        self._head = head
        holds = self._service.repeatable and isinstance(reader, PlainBody) and self._limits.held_answer > 0
        if not self._caller.begun and not holds:
            self._head_until = Instant(self._last_piece + self._limits.head_hold)
        self._set_silent_move(reader)
        self._watch_by(min(self._due()))
        while True:
            taken = await exchange.next_piece()
            if isinstance(taken, Failure):
                return self._broke(taken.failure(), reader)
            piece: bytes | None = taken.unwrap()
            if piece is None:
                break
            self._answered(head)
            piece = reader.take(piece)
            call.generated_tokens = self._events_before + reader.events
            if reader.ended and self._silence != self._limits.end_hold:
                self._silence = self._limits.end_hold
                self._watch_by(Instant(self._now() + self._silence))
            if holds:
                self._held += piece
                piece, holds = self._unless_held(holds)
            if piece:
                await self._write(head, piece)
            if reader.ended and head.framing == "close":
                break
            self._last_piece = self._now()
            self._set_silent_move(reader)
        return await self._ended(head, reader)

    async def _ended(self, head: HttpHead, reader: BodyReader) -> Answer:
        """The framing ended cleanly."""
        call = self._call
        if not reader.is_whole(head.framing):
            if self._may_be_continued(reader):
                return self._to_be_continued("stream-without-end")
            return self._cut("no-end-marker")
        self._answered(head)
        rest = bytes(self._held) + reader.rest()
        if rest:
            await self._write(head, rest)
        if not self._caller.begun:
            await self._start(head)
        await self._caller.finish()
        if isinstance(reader, PlainBody) and self._service.kind == "model" and head.status < 400:
            call.generated_tokens = call.bytes_out // _BYTES_PER_TOKEN
        call.worker_outcome = "whole" if head.status < 400 else "refused"
        if self._caller.gone.is_set() and self._stopped == "caller-gone":
            return Cut("caller-gone", "ran")
        return Forwarded(head.status)

    def _answered(self, head: HttpHead) -> None:
        if head.status < HTTPStatus.INTERNAL_SERVER_ERROR:
            self._report.succeeded()
        else:
            self._report.failed()

    def _unless_held(self, holds: bool) -> tuple[bytes, bool]:
        """What goes to the caller now, and whether more is held."""
        if len(self._held) <= self._limits.held_answer:
            return b"", holds
        piece = bytes(self._held)
        self._held.clear()
        return piece, False

    async def _start(self, head: HttpHead) -> None:
        self._head_until = None
        if self._stopped is not None or self._caller.begun:
            return
        added = self._policy.formats.caller.worker_answer_headers(self._call)
        headers = [*self._format.caller_headers(head), *added]
        length = declared_length(head)
        if length is not None:
            headers.append(("Content-Length", str(length)))
        await self._caller.start(head.status, tuple(headers))

    async def _write(self, head: HttpHead, piece: bytes) -> None:
        call = self._call
        now = self._now()
        if call.pieces == 0:
            call.first_token_after = Seconds(now - call.arrived)
        if call.try_first_token_after is None:
            call.try_first_token_after = Seconds(now - self._started)
            call.on_first_piece(call.try_first_token_after)
        if not self._caller.begun:
            await self._start(head)
        call.pieces += 1
        call.bytes_out += len(piece)
        if call.progress is not None:
            call.progress.given_at = now
        self._last_piece = now
        self._writing = True
        await self._caller.write(piece)
        self._writing = False

    def _broke(self, fault: HttpFault, reader: BodyReader) -> Answer:
        if not self._caller.begun:
            return self._without_answer(fault)
        if self._may_be_continued(reader):
            if self._stopped is not None:
                self._report.dark()
            else:
                self._report.failed()
            return self._to_be_continued(f"worker-{self._stopped or fault.kind}")
        return self._cut(self._stopped or f"worker-{fault.kind}")

    def _may_be_continued(self, reader: BodyReader) -> bool:
        progress = self._call.progress
        if progress is None or not progress.known or not isinstance(reader, ResumableStream) or reader.ended:
            return False
        return self._stopped in {None, "slow", "silence"}

    def _to_be_continued(self, code: str) -> NotAnswered:
        self._call.worker_outcome = "broken"
        return NotAnswered(code=code, reason="the stream broke off", run="unknown", status=502)

    def _cut(self, reason: str) -> Answer:
        call = self._call
        call.worker_outcome = "cancelled" if reason in _OURS else "broken"
        if reason in _DARK:
            self._report.dark()
        elif reason not in _OURS:
            self._report.failed()
        if not self._caller.begun:
            return NotAnswered(code=f"worker-{reason}", reason="the answer broke off", run="unknown", status=502)
        return Cut(reason, "unknown")

    # What may end it.

    def _stop(self, reason: StopReason) -> None:
        if self._stopped is None:
            self._stopped = reason
        if self._exchange is not None:
            self._exchange.cancel()

    def _caller_gone(self) -> None:
        self._stop("caller-gone")

    def _set_silent_move(self, reader: BodyReader) -> None:
        """A stream that can be continued may move to another worker while its caller still waits."""
        self._slow_at = None
        if isinstance(reader, ResumableStream) and not reader.ended and self._call.progress is not None:
            self._slow_at = Instant(self._last_piece + _MOVES_AFTER * self._silence)

    def _watch(self) -> None:
        """The one timer of a try: looks at all that may be due, and comes again when the next may be."""
        self._timer = None
        now = self._call.loop_seen = self._now()
        if self._dark_at is not None and now >= self._dark_at:
            self._dark_at = None
            self._report.failed()
        if now >= self._call.deadline:
            self._stop("deadline")
        elif self._writing and now >= self._last_piece + self._limits.caller_stall:
            self._stop("caller-slow")  # It would hold its place at the worker for as long.
        elif not self._caller.begun and now >= self._patience_end:
            self._stop("patience")  # The answer is decided in this moment, not when the callers have left.
        elif self._slow_at is not None and now >= self._slow_at and not self._writing:
            self._slow_at = None
            if self._policy.reserve_retry(self._call):
                self._stop("slow")
        elif self._passing and not self._writing and now >= self._silence_end():
            self._stop("silence")
        if self._stopped is not None:
            if self._writing:
                self._caller.abort()  # Else the write would go on waiting.
            return
        if self._head_until is not None and now >= self._head_until:
            self._head_until = None
            self._policy.context.tasks.spawn("head", self._start(self._head))
        self._watch_by(min(self._due()))

    def _due(self) -> list[Instant]:
        due = [self._call.deadline]
        if self._exchange is not None and not self._exchange.request_sent():
            due.append(Instant(self._now() + self._limits.stall / 4))  # Shows until the write that the loop moves.
        if not self._caller.begun:
            due.append(self._patience_end)
        if self._head_until is not None:
            due.append(self._head_until)
        if self._dark_at is not None:
            due.append(self._dark_at)
        if self._writing:
            due.append(Instant(self._now() + 0.25 * min(self._silence, self._limits.caller_stall)))
            return due
        if self._slow_at is not None:
            due.append(self._slow_at)
        if self._passing:
            due.append(self._silence_end())
        return due

    def _silence_end(self) -> Instant:
        """An end marker bounds the silence behind it in any case."""
        if self._limits.patience_ends_calls or self._silence == self._limits.end_hold:
            return Instant(self._last_piece + self._silence)
        return self._call.deadline

    def _watch_by(self, at: Instant) -> None:
        """Has ``_watch`` come by then, or a little later."""
        if self._timer is not None:
            if self._timer_at <= at + self._limits.stall / 4:
                return
            self._timer.cancel()
        self._timer_at = at
        self._timer = self._loop.call_later(max(0.0, at - self._now()), self._watch)
