"""Sends the call to its worker and the answer to its caller, piece by piece (docs/DESIGN.md section 12.5)."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Literal

from returns.result import Failure

from ...context.protocols import Context, HttpExchange, HttpFault, HttpHead
from ...identifiers import Instant, Seconds
from ...registry.protocols import Registry
from ..caller_format import worker_answer_headers
from ..limits import PathLimits
from ..protocols import Answer, Cut, Forwarded, IncomingCall, NotAnswered, Proceed, Refused
from ..worker_format import (
    EventScanner,
    caller_headers,
    declared_length,
    is_event_stream,
    says_not_run,
    worker_request,
)

StopReason = Literal["caller-gone", "caller-slow", "deadline", "patience", "slow", "silence", "stalled", "refused"]
_DARK = frozenset({"patience", "slow", "silence"})
"""Reasons that speak against the worker."""


class ForwardingPolicy:
    """Forwards the call, checked once more right before its first byte, and each piece of the answer as it comes."""

    name = "forwarding"

    def __init__(
        self,
        context: Context,
        registry: Registry,
        limits: PathLimits,
        still_accepted: Callable[[IncomingCall], Refused | None],
        reserve_retry: Callable[[IncomingCall], bool],
    ) -> None:
        self.context = context
        self.registry = registry
        self.limits = limits
        self.still_accepted = still_accepted
        self.reserve_retry = reserve_retry

    async def apply(self, call: IncomingCall, proceed: Proceed) -> Answer:
        attempt = _Attempt(self, call)
        call.attempting = True
        try:
            return await attempt.run()
        finally:
            call.attempting = False
            attempt.end()


class _Attempt:
    """One try on one worker, with the timers and events that may end it."""

    def __init__(self, policy: ForwardingPolicy, call: IncomingCall) -> None:
        assert call.choice is not None and call.service is not None and call.tenant is not None
        self._call = call
        self._choice = call.choice
        self._service = call.service
        self._caller = call.caller
        self._policy = policy
        self._limits = policy.limits
        self._registry = policy.registry
        self._now = policy.context.clock.monotonic
        self._loop = asyncio.get_running_loop()
        self._started = self._now()
        self._patience_end = Instant(call.arrived + call.service.first_byte_patience - policy.limits.answer_margin)
        self._exchange: HttpExchange
        self._stopped: StopReason | None = None
        self._refused: Refused | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = Instant(0.0)
        self._slow_at: Instant | None = None
        """Until the worker's head has come: when another worker should have its chance."""
        self._head_until: Instant | None = None
        """While the worker's head waits for the first piece: how long."""
        self._passing = False
        """The worker's head has come."""
        self._head: HttpHead
        self._last_tick = self._started
        self._last_piece = self._started
        self._silence = call.service.silence_patience
        self._writing = False
        """The caller's connection has not yet taken the piece."""

    async def run(self) -> Answer:
        call, choice = self._call, self._choice
        call.worker, call.how = choice.worker.instance, choice.how
        assert call.tenant is not None
        request = worker_request(
            method=call.method,
            address=choice.worker.address,
            instance=choice.worker.instance,
            path=call.path,
            request=call.request,
            tenant=call.tenant.name,
            headers=call.headers,
            body=call.body,
            last_check=self._may_write,
        )
        self._exchange = self._policy.context.http.start(request)
        self._caller.on_gone(self._caller_gone)
        self._set_slow()
        self._watch()
        headed = await self._exchange.head()
        self._slow_at = None
        if isinstance(headed, Failure):
            return self._without_answer(headed.failure())
        head: HttpHead = headed.unwrap()
        if says_not_run(head):
            call.worker_outcome = "refused"
            return NotAnswered(code="worker-refused", reason=f"the worker answered {head.status}", run="not-run")
        events = is_event_stream(head) and self._service.streaming
        if head.framing == "close" and not events:
            call.worker_outcome = "broken"
            return NotAnswered(
                code="answer-without-end",
                reason="the worker's answer has neither length nor chunks, so its end can't be known",
                run="unknown",
                status=502,
                again=False,
            )
        return await self._pass_on(head, EventScanner() if events else None)

    def end(self) -> None:
        if self._exchange.request_sent():
            self._call.tries += 1
        self._caller.on_gone(None)
        if self._timer is not None:
            self._timer.cancel()
        self._exchange.cancel()

    # Before the first byte.

    def _may_write(self) -> bool:
        """Connected, and the first byte leaves if this says so: the process may just have been frozen for long."""
        now = self._now()
        if self._caller.gone.is_set():
            self._stopped = "caller-gone"
        elif now >= self._call.deadline:
            self._stopped = "deadline"
        elif now >= self._patience_end or self._call.given_up is not None:
            self._stopped = "patience"
        elif now - self._last_tick > self._limits.stall:
            self._stopped = "stalled"
        elif (refused := self._policy.still_accepted(self._call)) is not None:
            self._stopped, self._refused = "refused", refused
        return self._stopped is None

    def _set_slow(self) -> None:
        left = self._patience_end - self._started
        predicted = self._choice.first_token
        slow_after = max(0.5 * left, 2.0 * predicted)
        if self._service.repeatable and slow_after < left - max(predicted, 0.1 * left):
            self._slow_at = Instant(self._started + slow_after)

    def _without_answer(self, fault: HttpFault) -> Answer:
        call, sent = self._call, fault.request_sent
        run: Literal["unknown", "not-run"] = "unknown" if sent else "not-run"
        call.worker_outcome = "broken" if sent else "refused"
        stopped = self._stopped
        if stopped is None:
            return self._failed(fault, run)
        if stopped in _DARK and (sent or self._now() - self._started > 0.5 * self._service.first_byte_patience):
            self._registry.suspect(self._choice.worker.instance)
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
        if fault.kind == "connect":
            self._registry.suspect(self._choice.worker.instance)
            reason = f"no connection: {fault.detail}"
            return NotAnswered(code="worker-unreachable", reason=reason, run=run, counts=False)
        if not fault.request_sent:
            return NotAnswered(
                code="malformed-request", reason=f"can't be sent: {fault.detail}", run=run, status=400, again=False
            )
        return NotAnswered(code="worker-broke", reason=f"{fault.kind}: {fault.detail}", run=run, status=502)

    # The answer.

    async def _pass_on(self, head: HttpHead, scanner: EventScanner | None) -> Answer:
        call = self._call
        self._last_piece = self._now()
        self._passing = True
        self._head = head
        self._head_until = Instant(self._last_piece + self._limits.head_hold)
        self._watch_by(self._head_until)
        piece: bytes | None
        while True:
            taken = await self._exchange.next_piece()
            if isinstance(taken, Failure):
                return self._broke(taken.failure())
            piece = taken.unwrap()
            if piece is None:
                break
            if scanner is not None:
                piece = scanner.take(piece).forward
                call.generated_tokens = scanner.events
                if scanner.ended and self._silence != self._limits.end_hold:
                    self._silence = self._limits.end_hold
                    self._watch_by(Instant(self._now() + self._silence))
            if piece:
                await self._write(head, piece)
            if scanner is not None and scanner.ended and head.framing == "close":
                break
            self._last_piece = self._now()
        if scanner is not None and not scanner.ended:
            return self._cut("no-end-marker")
        if not self._caller.begun:
            await self._start(head)
        await self._caller.finish()
        if scanner is None and self._service.kind == "model" and head.status < 400:
            call.generated_tokens = call.bytes_out // 4
        call.worker_outcome = "whole" if head.status < 400 else "refused"
        if self._caller.gone.is_set() and self._stopped == "caller-gone":
            return Cut("caller-gone", "ran")
        return Forwarded(head.status)

    async def _start(self, head: HttpHead) -> None:
        self._head_until = None
        if self._stopped is not None or self._caller.begun:
            return
        worker = self._choice.worker.instance
        headers = [*caller_headers(head), *worker_answer_headers(self._call.request, worker, self._choice.how)]
        length = declared_length(head)
        if length is not None:
            headers.append(("Content-Length", str(length)))
        await self._caller.start(head.status, tuple(headers))

    async def _write(self, head: HttpHead, piece: bytes) -> None:
        call = self._call
        if call.pieces == 0:
            now = self._now()
            call.first_token_after = Seconds(now - call.arrived)
            call.try_first_token_after = Seconds(now - self._started)
        if not self._caller.begun:
            await self._start(head)
        call.pieces += 1
        call.bytes_out += len(piece)
        self._last_piece = self._now()
        self._writing = True
        await self._caller.write(piece)
        self._writing = False

    def _broke(self, fault: HttpFault) -> Answer:
        if self._caller.begun:
            return self._cut(self._stopped or f"worker-{fault.kind}")
        return self._without_answer(fault)

    def _cut(self, reason: str) -> Answer:
        call = self._call
        ours = reason in {"caller-gone", "caller-slow", "deadline"}
        call.worker_outcome = "cancelled" if ours else "broken"
        if reason in _DARK:
            self._registry.suspect(self._choice.worker.instance)
        if not self._caller.begun:
            return NotAnswered(code=f"worker-{reason}", reason="the answer broke off", run="unknown", status=502)
        return Cut(reason, "unknown")

    # What may end it.

    def _stop(self, reason: StopReason) -> None:
        if self._stopped is None:
            self._stopped = reason
        self._exchange.cancel()

    def _caller_gone(self) -> None:
        self._stop("caller-gone")

    def _watch(self) -> None:
        """The one timer of a try: looks at all that may be due, and comes again when the next may be."""
        self._timer = None
        now = self._last_tick = self._now()
        unsent = not self._exchange.request_sent()
        if now >= self._call.deadline:
            self._stop("deadline")
        elif self._writing and now >= self._last_piece + self._limits.caller_stall:
            self._stop("caller-slow")  # It would hold its place at the worker for as long.
        elif not self._caller.begun and now >= self._patience_end:
            self._stop("patience")  # The answer is decided in this moment, not when the callers have left.
        elif self._slow_at is not None and now >= self._slow_at:
            self._slow_at = None
            if self._policy.reserve_retry(self._call):
                self._stop("slow")
        elif self._passing and not self._writing and now >= self._last_piece + self._silence:
            self._stop("silence")
        if self._stopped is not None:
            if self._writing:
                self._caller.abort()  # Else the write would go on waiting.
            return
        if self._head_until is not None and now >= self._head_until:
            self._head_until = None
            self._policy.context.tasks.spawn("head", self._start(self._head))
        due = [self._call.deadline]
        if unsent:
            due.append(Instant(now + self._limits.stall / 4))  # Shows until the write that the event loop moves.
        if not self._caller.begun:
            due.append(self._patience_end)
        if self._slow_at is not None:
            due.append(self._slow_at)
        if self._head_until is not None:
            due.append(self._head_until)
        if self._passing:
            due.append(Instant(self._last_piece + (self._limits.caller_stall if self._writing else self._silence)))
        self._watch_by(min(due))

    def _watch_by(self, at: Instant) -> None:
        """Has ``_watch`` come by then, or a little later."""
        if self._timer is not None:
            if self._timer_at <= at + self._limits.stall / 4:
                return
            self._timer.cancel()
        self._timer_at = at
        self._timer = self._loop.call_later(max(0.0, at - self._now()), self._watch)
