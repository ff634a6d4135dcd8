"""Responses that the router makes itself (docs/DESIGN.md section 12.3)."""

from __future__ import annotations

import msgspec

from .calls import IncomingCall
from .formats import CallerFormat
from .results import Rejection, RunState


class RouterResponses:
    """Sends callers the rejections of their calls, in the caller format."""

    def __init__(self, caller_format: CallerFormat) -> None:
        self._format = caller_format

    async def send(self, call: IncomingCall, rejection: Rejection) -> None:
        """Sends the rejection; a response that has been started is aborted instead."""
        if call.response.started:
            call.response.abort()
            return
        rendered = self._format.router_response(
            msgspec.structs.replace(rejection, run=self.run_state(call, rejection)),
            call.request_id,
            sent=call.history.attempts > 0 or call.attempt_in_progress(),
        )
        call.response.start(rendered.status, rendered.headers)
        await call.response.write(rendered.body)
        await call.response.finish()

    def run_state(self, call: IncomingCall, rejection: Rejection) -> RunState:
        """Returns the run state that the caller is sent.

        It is ``unknown`` for a call with an idempotency key that it did not claim: an earlier call with that key may
        have run.
        """
        run = call.run_state(rejection)
        if run != "not-run" or call.key_claimed:
            return run
        service = call.attributes.service
        if service is not None and (service.repeatable or not service.idempotency_keys):
            return run
        return "unknown" if self._format.has_idempotency_key(call.request) else run
