"""Takes operators' orders over HTTP (docs/DESIGN.md section 15.2).

The request is decoded into a ``SubmitOrder`` command, which runs on the primary; any daemon takes the request.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import msgspec
from returns.result import Failure, Result, Success

from ..bundle.commands import SubmitOrder
from ..bundle.model import Order, OrderOutcome
from ..control.errors import CommandFailure
from ..identifiers import BundleVersion, Seconds
from .protocols import OperatorReply, OperatorRequest, OperatorRoutes, error_reply

ORDERS_PATH = "/control/v1/orders"
HTTP_STATUS_BY_OUTCOME = {"accepted": 200, "conflict": 409, "invalid": 422, "unknown": 503}
DECISION_TIMEOUT_S = Seconds(5.0)
"""The time limit for a decision by the primary."""

DecideOrder = Callable[[SubmitOrder, Seconds], Awaitable[Result[OrderOutcome, CommandFailure]]]
"""Runs the command on the primary within the given number of seconds."""


class OrderRoutes:
    """The route ``POST /control/v1/orders``.

    The request body is an ``Order`` as JSON with bytes in base64; the response body is an ``OrderOutcome``.
    """

    def __init__(self, decide: DecideOrder, bundle_bytes: int, within: Seconds = DECISION_TIMEOUT_S) -> None:
        self._decide = decide
        self._body_bytes = bundle_bytes * 3 // 2 + 64 * 1024
        """The body limit, which is larger than ``bundle_bytes`` because base64 and JSON lengthen the slices."""
        self._within = within
        self._decoder = msgspec.json.Decoder(Order)

    def add_to(self, routes: OperatorRoutes) -> None:
        """Adds the route to the table of a server."""
        routes.add("POST", ORDERS_PATH, self.submit, self._body_bytes)

    async def submit(self, request: OperatorRequest) -> OperatorReply:
        """Submits the order of the request and returns its outcome; 400 when the body is not an order."""
        try:
            order = self._decoder.decode(request.body)
        except (msgspec.MsgspecError, UnicodeError, RecursionError) as malformed:
            return error_reply(400, "malformed", f"not an order: {malformed}")
        match await self._decide(SubmitOrder(order), self._within):
            case Success(outcome):
                return self._reply(outcome)
            case Failure(CommandFailure() as fault):
                return self._reply(self._unknown(order, fault))
        raise AssertionError("a result is a success or a failure")

    def _unknown(self, order: Order, fault: CommandFailure) -> OrderOutcome:
        """Returns the outcome ``unknown`` with the reason why control gave no decision."""
        cause = {
            "not-leading": "no control daemon leads at the moment",
            "busy": "control has too many orders waiting",
            "unknown": "control did not answer in time; the order may or may not come in force",
        }[fault.kind]
        detail = f" ({fault.detail})" if fault.detail else ""
        reason = f"{cause}{detail}. Send the same order again, to any daemon: resending is safe"
        return OrderOutcome(order=order.manifest.order, outcome="unknown", version=BundleVersion(0), reason=reason)

    def _reply(self, outcome: OrderOutcome) -> OperatorReply:
        headers = (("Retry-After", "1"),) if outcome.outcome == "unknown" else ()
        return OperatorReply(status=HTTP_STATUS_BY_OUTCOME[outcome.outcome], body=outcome, headers=headers)
