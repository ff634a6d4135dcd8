"""Any daemon's way to the control core's primary (docs/DESIGN.md section 7.11)."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import TypeVar

import msgspec
from returns.result import Failure, Result, Success

from ..bundle.model import OrderOutcome
from ..context.protocols import Context
from ..identifiers import Address, Instant, Seconds
from ..transport.messenger import Messenger
from .messages import ControlCommand, ControlDecision
from .protocols import NotDecided, SubmitOrder

Reply = TypeVar("Reply", bound=msgspec.Struct)


class ControlClientLimits(msgspec.Struct, frozen=True):
    attempt: Seconds = Seconds(1.2)
    """How long one control daemon may take to answer before the command is sent again."""
    pause: Seconds = Seconds(0.05)


class ControlClient:
    """Sends commands to the primary, wherever it is, until one answer is certain or the time is over.

    A command may reach the appliers more than once, so it must be one that they recognise when it
    comes again (orders by their id, the ledger by its tickets). ``addresses`` gives the internal
    addresses of all control daemons known now: the seeds and those learnt since.
    """

    def __init__(
        self,
        context: Context,
        messenger: Messenger,
        addresses: Callable[[], Sequence[Address]],
        limits: ControlClientLimits | None = None,
    ) -> None:
        self._context = context
        self._messenger = messenger
        self._addresses = addresses
        self._limits = limits or ControlClientLimits()
        self._primary: Address | None = None
        self._turn = 0

    async def decide(
        self, kind: str, command: msgspec.Struct, reply_type: type[Reply], timeout: Seconds
    ) -> Result[Reply, NotDecided]:
        """``unknown`` when it may have been sent and no answer was certain; the other kinds: nothing happened."""
        now = self._context.clock.monotonic
        encoded = msgspec.msgpack.encode(command)
        deadline = Instant(now() + timeout)
        maybe = False
        last = NotDecided("not-leading", detail="no control daemon is known")
        tried: list[Address] = []
        while (left := deadline - now()) > 0.0:
            address = self._next(tried)
            if address is None:
                tried.clear()
                await self._context.clock.sleep(Seconds(min(self._limits.pause, left)))
                continue
            tried.append(address)
            patience = Seconds(min(left, self._limits.attempt))
            message = ControlCommand(kind, encoded, patience, hops=1)
            match await self._messenger.call(address, message, ControlDecision, patience):
                case Success(found):
                    decision: ControlDecision = found
                case Failure(fault):
                    maybe = maybe or fault.sent
                    last = NotDecided("unknown" if fault.sent else "not-leading", None, f"{fault.kind} {fault.detail}")
                    self._forget(address)
                    continue
            if decision.reply is not None:
                self._primary = decision.primary or address
                return Success(msgspec.msgpack.decode(decision.reply, type=reply_type))
            last = decision.fault or last
            maybe = maybe or last.kind == "unknown"
            self._forget(address)
            if last.primary is not None and last.primary not in tried:
                self._primary = last.primary
        if maybe and last.kind != "unknown":
            last = NotDecided("unknown", last.primary, last.detail)
        return Failure(last)

    async def submit(self, command: SubmitOrder, timeout: Seconds) -> Result[OrderOutcome, NotDecided]:
        """An operator's order; sending it again is always safe."""
        return await self.decide("bundle", command, OrderOutcome, timeout)

    def _forget(self, address: Address) -> None:
        if self._primary == address:
            self._primary = None

    def _next(self, tried: Sequence[Address]) -> Address | None:
        """The presumed primary, else the others in turn; None when each was tried in this round."""
        if self._primary is not None and self._primary not in tried:
            return self._primary
        addresses = list(dict.fromkeys(self._addresses()))
        left = [address for address in addresses if address not in tried]
        if not left:
            return None
        self._turn += 1
        return left[self._turn % len(left)]
