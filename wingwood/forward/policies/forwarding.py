"""Sends the call to its worker and the response to its caller, chunk by chunk (docs/DESIGN.md section 12.5)."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

from ...context.protocols import Context
from ...registry.protocols import CallOutcomes, Registry
from ..attempt.classifier import AttemptClassifier
from ..attempt.connection import WorkerConnection
from ..attempt.forwarding_attempt import ForwardingAttempt
from ..attempt.parameters import AttemptParameters
from ..attempt.relay import ResponseRelay
from ..attempt.timers import AttemptTimers
from ..call_failures import CallFailures
from ..calls import AttemptState, IncomingCall
from ..formats import Formats
from ..forward_options import ForwardOptions
from ..protocols import Proceed
from ..results import CallResult, Rejection
from ..worker_outcome_reporter import WorkerOutcomeReporter
from .first_byte_deadline import first_byte_deadline

_LOOP_ITERATIONS_AFTER_STALL: Final = 4
"""Iterations of the event loop after which input that arrived while the process was paused has been read."""
_CONNECTION_SHARE_FACTOR: Final = 1.3
"""Connections of one router to a worker, as a multiple of its even share, since callers are spread unevenly."""
_MIN_CONNECTIONS: Final = 4
"""Connections to a worker that each router may use, however many routers there are."""


class ForwardingPolicy:
    """Forwards the call, after a last check right before its first byte, and each chunk of the response at once."""

    name = "forwarding"

    def __init__(
        self,
        context: Context,
        registry: Registry,
        options: ForwardOptions,
        formats: Formats,
        still_accepted: Callable[[IncomingCall], Rejection | None],
        reserve_retry: Callable[[IncomingCall], bool],
        outcomes: CallOutcomes | None,
        router_count: Callable[[], int],
        failures: CallFailures,
    ) -> None:
        """Sets what all attempts use.

        ``still_accepted`` returns why a call is no longer accepted right before it is sent. ``reserve_retry`` returns
        whether an attempt may be given up for another one. ``outcomes`` receives how each attempt ended.
        ``router_count`` returns how many routers share the workers' connections. ``failures`` gets unexpected errors.
        """
        self._context = context
        self._registry = registry
        self._outcomes = outcomes
        self._router_count = router_count
        self._options = options
        self._formats = formats
        self._still_accepted = still_accepted
        self._reserve_retry = reserve_retry
        self._failures = failures

    async def apply(self, call: IncomingCall, proceed: Proceed) -> CallResult:  # noqa: ARG002
        """Runs one attempt on the worker that placement chose. This policy is the last one, so it never proceeds."""
        assert call.attempt is not None, "placement chose a worker"
        await self._let_loop_catch_up(call)
        attempt = self._new_attempt(call, call.attempt)
        call.attempt.in_progress = True
        try:
            return await attempt.run()
        finally:
            call.attempt.in_progress = False
            attempt.close()

    def _new_attempt(self, call: IncomingCall, state: AttemptState) -> ForwardingAttempt:
        clock, options, worker_format = self._context.clock, self._options.attempt, self._formats.worker
        parameters = AttemptParameters(
            call=call,
            state=state,
            service=call.service,
            started_at=clock.monotonic(),
            first_byte_deadline=first_byte_deadline(call, self._options.deadline),
            resumes=call.response.started,
        )
        connection = WorkerConnection(
            parameters,
            clock,
            self._context.http,
            worker_format,
            options,
            self._connection_limit(call, state),
            self._still_accepted,
            self._failures,
        )
        relay = ResponseRelay(parameters, clock, connection, self._formats, options)
        reporter = WorkerOutcomeReporter(self._registry, self._outcomes, state.choice.worker.instance)
        timers = AttemptTimers(
            parameters,
            clock,
            connection,
            relay,
            reporter,
            options,
            self._options.deadline.wait_timeouts_end_calls,
            self._reserve_retry,
            self._failures,
        )
        classifier = AttemptClassifier(parameters, clock, connection, reporter, worker_format)
        return ForwardingAttempt(parameters, connection, relay, timers, classifier, reporter, worker_format)

    def _connection_limit(self, call: IncomingCall, state: AttemptState) -> int | None:
        """Returns how many connections to the worker this router may use; None when there is no limit."""
        pool = call.bundle.pools.get(state.choice.worker.pool)
        if pool is None or not pool.connections:
            return None
        share = pool.connections / max(1, self._router_count())
        return min(pool.connections, max(_MIN_CONNECTIONS, int(_CONNECTION_SHARE_FACTOR * share)))

    async def _let_loop_catch_up(self, call: IncomingCall) -> None:
        """After a pause of the process, lets the event loop read first what arrived meanwhile, e.g. disconnections."""
        if self._context.clock.monotonic() - call.loop_last_ran > self._options.attempt.loop_stall_threshold:
            for _ in range(_LOOP_ITERATIONS_AFTER_STALL):
                await asyncio.sleep(0)
        call.loop_last_ran = self._context.clock.monotonic()
