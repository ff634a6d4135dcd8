"""The request path of one router: caller edge, chain of policies, responses and log (docs/DESIGN.md section 12)."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Final

from returns.result import Failure, Result, Success

from ..context.protocols import Context, NetworkFault
from ..distribution.protocols import BundleInForce
from ..identifiers import Instant, Seconds
from ..ledger.protocols import Ledger
from ..limits.protocols import Admission, RetryBudget, Shares
from ..placement.protocols import Placement
from ..registry.protocols import CallOutcomes, Registry
from ..settings.model import DaemonSettings
from .call_failures import CallFailures
from .call_log import CallLog
from .caller_edge import CallerEdge
from .caller_format import DefaultCallerFormat
from .calls import IncomingCall
from .chain import Chain
from .edge_state import EdgeState
from .formats import Formats
from .forward_options import CallerOptions, ForwardOptions, RequestLimits
from .metrics import RequestMetrics, outcome_name
from .policies.admission import AdmissionPolicy
from .policies.at_most_once import AtMostOncePolicy
from .policies.authentication import AuthenticationPolicy
from .policies.draining import ROUTER_DRAINING, DrainingPolicy
from .policies.first_byte_deadline import FirstByteDeadlinePolicy
from .policies.forwarding import ForwardingPolicy
from .policies.paid_share import PaidSharePolicy
from .policies.placement import PlacementPolicy
from .policies.retry import RetryPolicy
from .policies.starting import StartingPolicy
from .recording import CallRecorder
from .results import Aborted, AttemptFailure, CallResult, Rejection
from .router_responses import RouterResponses
from .worker_format import DefaultWorkerFormat

DEFAULT_FORMATS = Formats(caller=DefaultCallerFormat(), worker=DefaultWorkerFormat())
"""The formats of a deployment that supplies none of its own."""
_DRAIN_STEPS: Final = 10
"""Number of sleeps into which a waiting phase of a drain is divided; see ``_keep_serving``."""
_LAST_CALLS_POLL_SECONDS = Seconds(0.02)
_LAST_REJECTIONS_SECONDS = Seconds(0.2)
"""How long a stop waits for connections to take the rejections of unfinished calls; a caller may read nothing."""
_ROUTER_STOPPING = Rejection(
    status=503,
    code="router-stopping",
    reason="this router stops before the worker answered",
    run="unknown",
    retry_after=Seconds(0.1),
)


class RequestPath:
    """Accepts calls from ``start`` to ``stop``, takes each through the chain and sends its result.

    Owns the calls in progress and how far a drain has come.
    """

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
        options: ForwardOptions | None = None,
        recorder: CallRecorder | None = None,
        formats: Formats = DEFAULT_FORMATS,
        outcomes: CallOutcomes | None = None,
        router_count: Callable[[], int] = lambda: 1,
        has_workers: Callable[[], bool] = lambda: True,
    ) -> None:
        """Builds the chain of policies; nothing is accepted before ``start``.

        ``outcomes`` receives how each attempt ended. ``router_count`` returns how many routers share the workers'
        connections. ``has_workers`` returns whether each pool of the bundle in force has a ready worker.
        """
        assert settings.caller is not None, "routers have a caller address"
        self._context = context
        self._settings = settings
        self._bundle_in_force = bundle_in_force
        self._metrics = metrics
        default_limits = RequestLimits(body_bytes=settings.body_bytes)
        self._options = options or ForwardOptions(caller=CallerOptions(request_limits=default_limits))
        self._failures = CallFailures(context, metrics)
        edge_state = EdgeState(
            context,
            self._options.caller,
            self._current_request_limits,
            formats.caller,
            self._handle_call,
            partial(self._failures.confined, None, "reading"),
        )
        self._edge = CallerEdge(edge_state, settings.caller)
        self._router_responses = RouterResponses(formats.caller)
        self._call_log = CallLog(context, metrics, recorder, self._router_responses, settings.log_calls)
        self._draining_policy = DrainingPolicy()
        authentication = AuthenticationPolicy(bundle_in_force, formats.caller)
        retry = RetryPolicy(context.clock, retry_budget, self._options.retry)
        self._chain = Chain(
            (
                StartingPolicy(
                    context.clock,
                    lambda: bundle_in_force.may_serve() and has_workers(),
                    self._options.startup_wait,
                    authentication.deadline,
                ),
                authentication,
                self._draining_policy,
                FirstByteDeadlinePolicy(context, self._options, self._send_rejection, self._failures),
                PaidSharePolicy(shares, retry_budget),
                AdmissionPolicy(self._options.max_in_flight),
                AtMostOncePolicy(context, ledger, self._options.ledger, formats.caller),
                retry,
                PlacementPolicy(placement, registry, admission),
                ForwardingPolicy(
                    context,
                    registry,
                    self._options,
                    formats,
                    authentication.still_accepted,
                    retry.reserve,
                    outcomes,
                    router_count,
                    self._failures,
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
        self._rejects_calls = False

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
        """Reports not ready at once, accepts calls for a moment, then rejects them; returns when the last has ended.

        Calls that have not ended within ``settings.stop_within`` are aborted in a way that callers notice.
        """
        if self._draining:
            await self._no_calls.wait()
            return
        self._draining = True
        self._edge.close_after_responses()
        self._context.log.event("drain-started", in_flight=len(self._calls))
        within = self._settings.stop_within
        stops_at = Instant(self._context.clock.monotonic() + within)
        phases = self._options.drain
        try:
            async with asyncio.timeout(within):
                await self._keep_serving(Seconds(min(phases.accept_time, within / 2)))
                self._draining_policy.accept_only_until(stops_at)
                await self._keep_serving(Seconds(min(phases.listen_time, within / 4)))
                self._rejects_calls = True
                self._edge.stop_listening()
                self._edge.close_idle()
                await self._wait_for_last_calls()
        except TimeoutError:
            await self._abort_unfinished()
        self.stop()

    async def _keep_serving(self, seconds: Seconds) -> None:
        """Waits in steps: a pause of the process uses up only one step, so that calls that came meanwhile are read."""
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
        """Rejects the calls whose callers have no response yet; nothing of them is sent to a worker after that.

        All are rejected at once, since a caller that does not read holds up its own rejection.
        """
        self._context.log.event("unfinished-calls-aborted", calls=len(self._calls))
        unanswered = [call for call in self._calls.values() if not call.response.started]
        for call in unanswered:
            call.early_rejection = call.early_rejection or _ROUTER_STOPPING
        loop = asyncio.get_running_loop()
        sending = [loop.create_task(self._send_rejection(call, _ROUTER_STOPPING)) for call in unanswered]
        if sending:
            await asyncio.wait(sending, timeout=_LAST_REJECTIONS_SECONDS)

    def stop(self) -> None:
        """Closes all connections now; responses in progress are aborted in a way that callers notice."""
        self._draining = self._rejects_calls = True
        self._edge.stop_listening()
        for call in list(self._calls.values()):
            call.response.abort()
        self._edge.close_all()

    async def _handle_call(self, call: IncomingCall) -> None:
        """Takes a call to its end; it counts as in progress meanwhile."""
        self._last_call_number += 1
        number = self._last_call_number
        self._calls[number] = call
        self._no_calls.clear()
        self._metrics.in_flight.set(len(self._calls))
        self._metrics.connections.set(self._edge.connections())
        try:
            result = await self._run_chain(call)
        finally:
            del self._calls[number]
            self._metrics.in_flight.set(len(self._calls))
            if not self._calls:
                self._no_calls.set()
        self._end_response(call, result)
        with self._failures.confined(call, "recording"):
            self._call_log.add(call, result)

    def _end_response(self, call: IncomingCall, result: CallResult) -> None:
        """Closes the connection of a call that ended without an answer, which is a fault of this router.

        An early rejection has a task of its own, which ends the response.
        """
        if call.response.ended or result is call.early_rejection:
            return
        self._metrics.left_unanswered.inc()
        self._context.log.event(
            "call-left-unanswered",
            request=call.request_id,
            outcome=outcome_name(result),
            worker=call.history.worker or "-",
            attempts=call.history.attempts,
        )
        call.response.abort()

    async def _run_chain(self, call: IncomingCall) -> CallResult:
        """Takes the call through the chain and sends the caller what a policy has not sent yet."""
        result: CallResult = ROUTER_DRAINING
        with self._failures.confined(call, "handling") as confinement:
            if not self._rejects_calls:
                result = await self._chain.run(call)
            assert not isinstance(result, AttemptFailure), "the retry policy turns each one into another result"
        if confinement.failed:
            result = self._failures.result(call)
        match result:
            case Rejection() if result is not call.early_rejection:
                await self._send_rejection(call, result)
            case Aborted():
                call.response.abort()
        return result

    async def _send_rejection(self, call: IncomingCall, rejection: Rejection) -> None:
        """Sends the rejection; if that is not possible, closes the connection."""
        with self._failures.confined(call, "rejection"):
            await self._router_responses.send(call, rejection)
        if not call.response.ended:
            call.response.abort()

    def _current_request_limits(self) -> RequestLimits:
        """Returns the limits that the bundle in force sets for callers, or the router's own when it sets none."""
        bundle = self._bundle_in_force.current()
        configured = None if bundle is None else bundle.caller_limits
        if configured is None:
            return self._options.caller.request_limits
        return RequestLimits(
            head_bytes=configured.head_bytes,
            body_bytes=configured.body_bytes,
            head_timeout=configured.head_time,
            idle_timeout=configured.idle,
        )
