"""The request path of one router: callers' edge, chain of policies, answers, log line (docs/DESIGN.md section 12)."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from returns.result import Failure, Result, Success

from ..context.protocols import Context, NetworkFault
from ..distribution.protocols import BundleInForce
from ..identifiers import Instant, Seconds
from ..ledger.protocols import Ledger
from ..limits.protocols import Admission, RetryBudget, Shares
from ..placement.protocols import Placement
from ..registry.protocols import CallOutcomes, Registry
from ..settings.model import DaemonSettings
from .caller_edge import CallerEdge
from .caller_format import DefaultCallerFormat
from .chain import Chain
from .formats import Formats
from .limits import CallerBounds, PathLimits
from .metrics import RequestMetrics, outcome_name
from .policies.admission import AdmissionPolicy
from .policies.at_most_once import AtMostOncePolicy, run_state_of
from .policies.authentication import AuthenticationPolicy
from .policies.draining import ROUTER_DRAINING, DrainingPolicy
from .policies.first_byte_deadline import FirstByteDeadlinePolicy
from .policies.forwarding import ForwardingPolicy
from .policies.limits import PaidSharePolicy
from .policies.placement import PlacementPolicy
from .policies.retry import RetryPolicy
from .policies.starting import StartingPolicy
from .protocols import Aborted, Answer, Forwarded, IncomingCall, NotAnswered, Refused, RunState
from .recording import CallRecorder
from .worker_format import DefaultWorkerFormat

DEFAULT_FORMATS = Formats(caller=DefaultCallerFormat(), worker=DefaultWorkerFormat())
"""The product's own interface."""
_DRAIN_STEPS = 10
_LAST_CALLS_POLL_SECONDS = Seconds(0.02)
_ROUTER_STOPPING = Refused(
    status=503,
    code="router-stopping",
    reason="this router stops before the worker answered",
    run="unknown",
    retry_after=Seconds(0.1),
)


class RequestPath:
    """Takes callers' calls from ``start`` to ``stop``."""

    def __init__(
        self,
        context: Context,
        settings: DaemonSettings,
        bundle_in_force: BundleInForce,
        shares: Shares,
        retry_budget: RetryBudget,
        ledger: Ledger,
        placement: Placement,
        registry: Registry,
        admission: Admission,
        metrics: RequestMetrics,
        limits: PathLimits | None = None,
        recorder: CallRecorder | None = None,
        formats: Formats = DEFAULT_FORMATS,
        outcomes: CallOutcomes | None = None,
        router_count: Callable[[], int] = lambda: 1,
        has_workers: Callable[[], bool] = lambda: True,
    ) -> None:
        """``outcomes`` is reported how each turn went; ``router_count``: how many share the workers' connections.

        ``has_workers``: whether each pool of the bundle in force has a ready worker.
        """
        assert settings.caller is not None, "routers have a caller address"
        self._context = context
        self._settings = settings
        self._bundle_in_force = bundle_in_force
        self._limits = limits or PathLimits(body_bytes=settings.body_bytes)
        self._metrics = metrics
        self._recorder = recorder
        self._formats = formats
        self._default_bounds = CallerBounds(
            head_bytes=self._limits.head_bytes,
            body_bytes=self._limits.body_bytes,
            head_timeout=self._limits.head_timeout,
            idle_timeout=self._limits.idle_timeout,
        )
        self._edge = CallerEdge(
            context, settings.caller, self._limits, self._current_bounds, formats.caller, self._handle_call
        )
        self._draining_policy = DrainingPolicy()
        authentication = AuthenticationPolicy(bundle_in_force, formats.caller)
        retry = RetryPolicy(retry_budget, self._limits)
        self._chain = Chain(
            (
                StartingPolicy(
                    context.clock, lambda: bundle_in_force.may_serve() and has_workers(), self._limits, formats.caller
                ),
                authentication,
                self._draining_policy,
                FirstByteDeadlinePolicy(context, self._limits, self._refuse),
                PaidSharePolicy(shares, retry_budget),
                AdmissionPolicy(self._limits.max_in_flight),
                AtMostOncePolicy(context, ledger, self._limits, formats.caller),
                retry,
                PlacementPolicy(placement, registry, admission),
                ForwardingPolicy(
                    context,
                    registry,
                    self._limits,
                    formats,
                    authentication.still_accepted,
                    retry.reserve,
                    outcomes,
                    router_count,
                ),
            )
        )
        self._calls: dict[int, IncomingCall] = {}
        self._last_call_number = 0
        self._no_calls = asyncio.Event()
        """Set while no call is under way."""
        self._no_calls.set()
        self._started = False
        self._draining = False
        self._refuses_calls = False

    def start(self) -> Result[None, NetworkFault]:
        match self._edge.start():
            case Success(_):
                self._started = True
                return Success(None)
            case Failure(fault):
                return Failure(fault)
        raise AssertionError("a result is a success or a failure")

    def ready(self) -> bool:
        """Whether the platform should send callers here."""
        return self._started and not self._draining and self._bundle_in_force.may_serve()

    def describe(self) -> tuple[tuple[str, str], ...]:
        """The chain of policies: names in order, each with what it does."""
        return self._chain.describe()

    def in_flight(self) -> int:
        return len(self._calls)

    async def drain(self) -> None:
        """Not ready at once; new calls are taken for a moment, then refused; returns when the last has ended.

        Bounded by ``settings.stop_within``: what still runs then is broken off visibly.
        """
        if self._draining:
            await self._no_calls.wait()
            return
        self._draining = True
        self._edge.closing = True
        self._context.log.event("draining", in_flight=len(self._calls))
        within = self._settings.stop_within
        stops_at = Instant(self._context.clock.monotonic() + within)
        try:
            async with asyncio.timeout(within):
                await self._keep_serving(Seconds(min(self._limits.accept_while_draining, within / 2)))
                self._draining_policy.accept_only_until(stops_at)
                await self._keep_serving(Seconds(min(self._limits.listen_while_draining, within / 4)))
                self._refuses_calls = True
                self._edge.stop_listening()
                self._edge.close_idle()
                await self._wait_for_last_calls()
        except TimeoutError:
            await self._abort_unfinished()
        self.stop()

    async def _keep_serving(self, seconds: Seconds) -> None:
        """In steps: a freeze takes one of them only, and what came meanwhile is still read."""
        for _ in range(_DRAIN_STEPS if seconds > 0 else 0):
            await self._context.clock.sleep(Seconds(seconds / _DRAIN_STEPS))

    async def _wait_for_last_calls(self) -> None:
        """Until no call is under way and none is coming in."""
        while True:
            await self._no_calls.wait()
            if not self._edge.is_reading():
                return
            await self._context.clock.sleep(_LAST_CALLS_POLL_SECONDS)

    async def _abort_unfinished(self) -> None:
        """Tells the callers that have nothing yet; nothing of their calls is sent after that."""
        self._context.log.event("drain-too-long", broken_off=len(self._calls))
        unanswered = [call for call in self._calls.values() if not call.caller.started]
        for call in unanswered:
            call.early_refusal = call.early_refusal or _ROUTER_STOPPING
        for call in unanswered:
            await self._refuse(call, _ROUTER_STOPPING)

    def stop(self) -> None:
        """Ends everything now; answers under way are broken off visibly."""
        self._draining = self._refuses_calls = True
        self._edge.stop_listening()
        for call in list(self._calls.values()):
            call.caller.abort()
        self._edge.close_all()

    async def _handle_call(self, call: IncomingCall) -> None:
        self._last_call_number += 1
        number = self._last_call_number
        self._calls[number] = call
        self._no_calls.clear()
        self._metrics.in_flight.set(len(self._calls))
        self._metrics.connections.set(self._edge.connections())
        try:
            answer = await self._answer(call)
        finally:
            del self._calls[number]
            self._metrics.in_flight.set(len(self._calls))
            if not self._calls:
                self._no_calls.set()
        self._record(call, answer)

    async def _answer(self, call: IncomingCall) -> Answer:
        if self._refuses_calls:
            answer: Answer = ROUTER_DRAINING
        else:
            answer = await self._chain.run(call)
        match answer:
            case Refused() if answer is not call.early_refusal:
                await self._refuse(call, answer)
            case NotAnswered():
                raise AssertionError("the retry policy turns these into answers")
            case Aborted():
                call.caller.abort()
        return answer

    async def _refuse(self, call: IncomingCall, refused: Refused) -> None:
        if call.caller.started:
            call.caller.abort()
            return
        reported = Refused(
            status=refused.status,
            code=refused.code,
            reason=refused.reason,
            run=self._reported_run(call, refused),
            retry_after=refused.retry_after,
        )
        rendered = self._formats.caller.router_answer(
            reported, call.request, sent=call.tries > 0 or call.attempt_in_progress
        )
        await call.caller.start(rendered.status, rendered.headers)
        await call.caller.write(rendered.body)
        await call.caller.finish()

    def _record(self, call: IncomingCall, answer: Answer) -> None:
        total = self._context.clock.monotonic() - call.received_at
        self._metrics.count(call, answer, total)
        if self._recorder is not None:
            self._recorder.record(call, answer)
        if self._settings.log_calls:
            self._log(call, answer, total)

    def _log(self, call: IncomingCall, answer: Answer, total: float) -> None:
        first = call.first_token_after
        self._context.log.event(
            "call",
            request=call.request,
            tenant="-" if call.tenant is None else call.tenant.name,
            service="-" if call.service is None else call.service.name,
            worker=call.worker or "-",
            how=call.placement_reason or "-",
            tries=call.tries,
            status=answer.status if isinstance(answer, Forwarded | Refused) else 0,
            outcome=outcome_name(answer),
            run=self._reported_run(call, answer) if isinstance(answer, Refused) else run_state_of(call, answer),
            first_ms="-" if first is None else round(first * 1000, 1),
            total_ms=round(total * 1000, 1),
            pieces=call.chunks,
        )

    def _reported_run(self, call: IncomingCall, refused: Refused) -> RunState:
        """What the caller is reported. An idempotency key that this call has not got from the ledger may have run."""
        run = run_state_of(call, refused)
        if run != "not-run" or call.claimed:
            return run
        if call.service is not None and (call.service.repeatable or not call.service.idempotency_keys):
            return run
        return "unknown" if self._formats.caller.has_idempotency_key(call) else run

    def _current_bounds(self) -> CallerBounds:
        """Those of the bundle in force, where it tells any."""
        bundle = self._bundle_in_force.current()
        configured = None if bundle is None else bundle.caller_limits
        if configured is None:
            return self._default_bounds
        return CallerBounds(
            head_bytes=configured.head_bytes,
            body_bytes=configured.body_bytes,
            head_timeout=configured.head_time,
            idle_timeout=configured.idle,
        )
