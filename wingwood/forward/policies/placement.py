"""Choice of the worker for a call (docs/DESIGN.md sections 11 and 12.4)."""

from __future__ import annotations

from functools import partial

from returns.result import Failure

from ...identifiers import RequestId, TenantName
from ...limits.protocols import Admission
from ...placement.protocols import Choice, Placement, Turn
from ...registry.protocols import Registry
from ..protocols import Answer, IncomingCall, NotAnswered, Proceed, Refused

_BYTES_PER_TOKEN = 4
"""For estimating the length of a prompt that the caller does not state."""
_NO_WORKER = {
    "none-ready": "no worker of the service is ready",
    "all-full": "all workers of the service are full",
}


class PlacementPolicy:
    """Chooses a worker, refuses calls whose first token would be late, and checks that the worker accepts turns."""

    name = "placement"

    def __init__(self, placement: Placement, registry: Registry, admission: Admission) -> None:
        self._placement = placement
        self._registry = registry
        self._admission = admission
        self._turn_count = 0

    async def apply(self, call: IncomingCall, proceed: Proceed) -> Answer:
        turn = call.turn or self._make_turn(call)
        call.turn = turn
        chosen = await self._placement.choose(turn, call.excluded)
        if isinstance(chosen, Failure):
            no_worker = chosen.failure()
            return Refused(
                status=503,
                code=f"workers-{no_worker.reason}",
                reason=_NO_WORKER[no_worker.reason],
                run=call.run,
                retry_after=no_worker.retry_after,
            )
        choice: Choice = chosen.unwrap()
        call.choice = choice
        call.worker_outcome = "cancelled"
        call.try_first_token_after = None
        call.on_first_chunk = partial(self._placement.first_token_received, turn, choice)
        tokens_before = call.generated_tokens
        try:
            return await self._send(call, choice, proceed)
        finally:
            generated = call.generated_tokens - tokens_before
            self._placement.finished(turn, choice, call.worker_outcome, generated, call.try_first_token_after)

    async def _send(self, call: IncomingCall, choice: Choice, proceed: Proceed) -> Answer:
        assert call.service is not None
        refusal = self._admission.check(call.service, choice.first_token)
        if refusal is not None:
            return Refused(
                status=503,
                code="too-late",
                reason="the first token would come after the callers' patience",
                run=call.run,
                retry_after=refusal.retry_after,
            )
        if not await self._registry.confirm(choice.worker):
            call.worker_outcome = "refused"
            return NotAnswered(
                code="worker-not-ready",
                reason="the chosen worker takes no new turns",
                run="not-run",
                uses_retry_budget=False,
            )
        return await proceed(call)

    def _make_turn(self, call: IncomingCall) -> Turn:
        assert call.service is not None and call.bundle is not None
        self._turn_count += 1
        tenant, prompt = call.tenant, call.prompt
        priority = None if tenant is None else call.bundle.classes.get(tenant.priority_class)
        estimated = len(call.body) // _BYTES_PER_TOKEN
        return Turn(
            # Callers may use one id for several calls, so a counter makes it unique for placement.
            request=RequestId(f"{call.request}#{self._turn_count}"),
            service=call.service,
            tenant=TenantName("") if tenant is None else tenant.name,
            weight=1.0 if priority is None else priority.weight,
            prefix=prompt.prefix,
            prompt_tokens=estimated if prompt.prompt_tokens is None else prompt.prompt_tokens,
            parts=prompt.parts,
            generate_tokens=prompt.generate_tokens,
            urgency=call.urgency,
            deadline=call.deadline,
        )
