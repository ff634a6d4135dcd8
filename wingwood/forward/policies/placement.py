"""Choice of the worker for a call (docs/DESIGN.md sections 11 and 12.4)."""

from __future__ import annotations

from functools import partial
from typing import Final

from returns.result import Failure

from ...identifiers import RequestId, Seconds, TenantName
from ...limits.protocols import Admission
from ...placement.protocols import Choice, Placement, Turn
from ...registry.protocols import Registry
from ..call_failures import ADMISSION, PLACEMENT, REGISTRY
from ..calls import AttemptState, IncomingCall
from ..protocols import Proceed
from ..results import AttemptFailure, CallResult, Rejection

_BYTES_PER_TOKEN: Final = 4
"""For estimating the length of a prompt that the caller does not state."""
_NO_WORKER_REASONS: Final = {
    "none-ready": "no worker of the service is ready",
    "all-full": "all workers of the service are full",
}


class PlacementPolicy:
    """Chooses a worker, rejects calls whose first token would be late, and checks that the worker accepts turns."""

    name = "placement"

    def __init__(self, placement: Placement, registry: Registry, admission: Admission) -> None:
        self._placement = placement
        self._registry = registry
        self._admission = admission
        self._turn_count = 0

    async def apply(self, call: IncomingCall, proceed: Proceed) -> CallResult:
        """Starts an attempt on the chosen worker, and reports to placement how it ended; 503 without a worker."""
        turn = call.turn or self._make_turn(call)
        call.turn = turn
        with PLACEMENT:
            chosen = await self._placement.choose(turn, call.history.excluded_workers)
        if isinstance(chosen, Failure):
            no_worker = chosen.failure()
            return Rejection(
                status=503,
                code=f"workers-{no_worker.reason}",
                reason=_NO_WORKER_REASONS[no_worker.reason],
                run=call.history.run,
                retry_after=no_worker.retry_after,
            )
        choice: Choice = chosen.unwrap()
        on_first_chunk = partial(self._first_chunk_received, turn, choice)
        attempt = call.attempt = AttemptState(choice=choice, on_first_chunk=on_first_chunk)
        tokens_before = call.stats.generated_tokens
        try:
            return await self._proceed(call, attempt, proceed)
        finally:
            generated = call.stats.generated_tokens - tokens_before
            with PLACEMENT:
                self._placement.finished(turn, choice, attempt.outcome, generated, attempt.first_chunk_after)

    async def _proceed(self, call: IncomingCall, attempt: AttemptState, proceed: Proceed) -> CallResult:
        with ADMISSION:
            refusal = self._admission.check(call.service, attempt.choice.first_token)
        if refusal is not None:
            return Rejection(
                status=503,
                code="too-late",
                reason="the first token would come after the callers' patience",
                run=call.history.run,
                retry_after=refusal.retry_after,
            )
        with REGISTRY:
            confirmed = await self._registry.confirm(attempt.choice.worker)
        if not confirmed:
            attempt.outcome = "refused"
            return AttemptFailure(
                code="worker-not-ready",
                reason="the chosen worker takes no new turns",
                run="not-run",
                uses_retry_budget=False,
            )
        return await proceed(call)

    def _first_chunk_received(self, turn: Turn, choice: Choice, after: Seconds) -> None:
        with PLACEMENT:
            self._placement.first_token_received(turn, choice, after)

    def _make_turn(self, call: IncomingCall) -> Turn:
        self._turn_count += 1
        attributes = call.attributes
        tenant, prompt = attributes.tenant, attributes.prompt
        priority = None if tenant is None else call.bundle.classes.get(tenant.priority_class)
        estimated = len(call.request.body) // _BYTES_PER_TOKEN
        return Turn(
            # Callers may use one id for several calls, so a counter makes it unique for placement.
            request=RequestId(f"{call.request_id}#{self._turn_count}"),
            service=call.service,
            tenant=TenantName(call.tenant_name),
            weight=1.0 if priority is None else priority.weight,
            prefix=prompt.prefix,
            prompt_tokens=estimated if prompt.prompt_tokens is None else prompt.prompt_tokens,
            parts=prompt.parts,
            generate_tokens=prompt.generate_tokens,
            urgency=attributes.urgency,
            deadline=attributes.deadline,
        )
