"""The request path of one router: caller edge, chain of policies, answers and log (docs/DESIGN.md section 12)."""

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
"""The formats of a deployment that supplies none of its own."""
_DRAIN_STEPS = 10
"""Number of sleeps into which a waiting phase of a drain is divided; see ``_keep_serving``."""
_LAST_CALLS_POLL_SECONDS = Seconds(0.02)
_ROUTER_STOPPING = Refused(
    status=503,
    code="router-stopping",
    reason="this router stops before the worker answered",
    run="unknown",
    retry_after=Seconds(0.1),
)


class RequestPath:
    """Accepts calls from ``start`` to ``stop``, takes each through the chain and sends its answer."""

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
        """Builds the chain of policies; nothing is accepted before ``start``.

        ``outcomes`` receives how each turn ended. ``router_count`` returns how many routers share the workers'
        connections. ``has_workers`` returns whether each pool of the bundle in force has a ready worker.
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
        """Set while no call is in progress."""
        self._no_calls.set()
        self._started = False
        self._draining = False
        self._refuses_calls = False

    def start(self) -> Result[None, NetworkFault]:
        """Listens on the caller address; returns the fault when that fails."""
        match self._edge.start():
            case Success(_):
                self._started = True
                return Success(None)
            case Failure(fault):
                return Failure(fault)
        raise AssertionError("a result is a success or a failure")

    def ready(self) -> bool:
        """Returns whether the load balancer should send callers to this router."""
        return self._started and not self._draining and self._bundle_in_force.may_serve()

    def describe(self) -> tuple[tuple[str, str], ...]:
        """Returns the names of the policies in order, each with what it does."""
        return self._chain.describe()

    def in_flight(self) -> int:
        """Returns the number of calls in progress."""
        return len(self._calls)

    async def drain(self) -> None:
        """Reports not ready at once, accepts calls for a moment, then refuses them; returns when the last has ended.

        Calls that have not ended within ``settings.stop_within`` are aborted in a way that callers notice.
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
        """Waits in steps: a freeze of the process uses up only one step, so that calls that came meanwhile are read."""
        for _ in range(_DRAIN_STEPS if seconds > 0 else 0):
            await self._context.clock.sleep(Seconds(seconds / _DRAIN_STEPS))

    async def _wait_for_last_calls(self) -> None:
        """Returns when no call is in progress and none is being read."""
        while True:
            await self._no_calls.wait()
            if not self._edge.is_reading():
                return
            await self._context.clock.sleep(_LAST_CALLS_POLL_SECONDS)

    async def _abort_unfinished(self) -> None:
        """Refuses the calls whose callers have no answer yet; nothing of these calls is sent to a worker after that."""
        self._context.log.event("drain-too-long", broken_off=len(self._calls))
        unanswered = [call for call in self._calls.values() if not call.caller.started]
        for call in unanswered:
            call.early_refusal = call.early_refusal or _ROUTER_STOPPING
        for call in unanswered:
            await self._refuse(call, _ROUTER_STOPPING)

    def stop(self) -> None:
        """Closes all connections now; answers in progress are aborted in a way that callers notice."""
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
                raise AssertionError("the retry policy turns each NotAnswered into another answer")
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
        """Returns the run state that the caller is sent.

        It is ``unknown`` for a call with an idempotency key that it holds no claim on: an earlier call with that key
        may have run.
        """
        run = run_state_of(call, refused)
        if run != "not-run" or call.claimed:
            return run
        if call.service is not None and (call.service.repeatable or not call.service.idempotency_keys):
            return run
        return "unknown" if self._formats.caller.has_idempotency_key(call) else run

    def _current_bounds(self) -> CallerBounds:
        """Returns the limits that the bundle in force sets for callers, or the router's own when it sets none."""
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
