"""Forwarding of a command to the primary by a daemon that does not lead (docs/DESIGN.md section 7.11)."""

from __future__ import annotations

from typing import Literal

import msgspec
from returns.result import Failure, Success

from ..identifiers import Address
from ..transport.messenger import Messenger
from .errors import CommandFailure
from .messages import ControlCommand, ControlDecision


async def forward_command(messenger: Messenger, primary: Address, message: ControlCommand) -> ControlDecision:
    """Forwards a command to the primary and returns its answer.

    When the call fails, the fault is ``unknown`` if the command may have reached the primary, else ``not-leading``.
    """
    forwarded = msgspec.structs.replace(message, hops=message.hops - 1)
    match await messenger.call(primary, forwarded, ControlDecision, message.budget):
        case Success(answer):
            decision: ControlDecision = answer
            return decision
        case Failure(fault):
            kind: Literal["unknown", "not-leading"] = "unknown" if fault.sent else "not-leading"
            return ControlDecision(fault=CommandFailure(kind, primary, f"{fault.kind} {fault.detail}"))
    raise AssertionError("a result is a success or a failure")
