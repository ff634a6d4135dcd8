"""Submits editions, which carry the operator's own numbers, and reads the latest content back with proof
(docs/DESIGN.md section 15.6).

The product has no HTTP format of its own for editions; a deployment's adapter provides one.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol, TypeVar

import msgspec
from returns.result import Failure, Result, Success

from ..bundle.commands import FindEdition, SubmitEdition
from ..bundle.errors import BundleReadError
from ..bundle.model import EditionChange, EditionStatus, OrderOutcome
from ..bundle.reading import BundleReader, BundleView
from ..context.protocols import Clock
from ..control.errors import CommandFailure
from ..identifiers import BundleVersion, Instant, OrderId, Seconds

NO_ORDER = OrderId("")
"""Asks for the status without the outcome of an order."""
CALL_TIMEOUT_S = Seconds(4.0)
"""The default time limit for each call to control, and for reading a version's content."""
POLL_INTERVAL_S = Seconds(0.05)
"""The pause between attempts to read a version that the readers do not have yet."""

Reply = TypeVar("Reply", bound=msgspec.Struct)


class CommandSender(Protocol):
    """Sends commands to the primary; ``ControlClient`` is one."""

    async def decide(
        self, kind: str, command: msgspec.Struct, reply_type: type[Reply], timeout: Seconds
    ) -> Result[Reply, CommandFailure]:
        """Returns the primary's reply to ``command``, or why there is none within ``timeout``."""
        ...


class LatestEdition(msgspec.Struct, frozen=True):
    """The edition that was the latest at some instant after it was requested."""

    number: int
    """The operator's number of the edition; 0 when there is none yet."""
    view: BundleView


class EditionClient:
    """Submits editions and reads them back.

    ``readers`` are asked in their order for the content of a version, so the nearest one comes first. Each call takes
    ``within`` seconds at most.
    """

    def __init__(
        self, control: CommandSender, readers: Sequence[BundleReader], clock: Clock, within: Seconds = CALL_TIMEOUT_S
    ) -> None:
        self._control = control
        self._readers = readers
        self._clock = clock
        self._within = within

    async def submit(self, change: EditionChange) -> Result[OrderOutcome, CommandFailure]:
        """Submits ``change``; an outcome that is returned is certain.

        After a failure of kind ``unknown`` the order may have been accepted and should be sent again.
        """
        return await self._control.decide("bundle", SubmitEdition(change), OrderOutcome, self._within)

    async def status(self, order: OrderId = NO_ORDER) -> Result[EditionStatus, CommandFailure]:
        """Returns the state that the primary knows, proven after this call started.

        It includes the outcome of ``order`` if that order was accepted.
        """
        return await self._control.decide("bundle", FindEdition(order), EditionStatus, self._within)

    async def latest(self) -> Result[LatestEdition | None, BundleReadError]:
        """Returns the latest edition, which is never older than one acknowledged before the call.

        None means that there is proof that nothing had been acknowledged.
        """
        match await self.status():
            case Failure(fault):
                reason = f"no primary proves what is newest: {fault.kind} {fault.detail}".rstrip()
                return Failure(BundleReadError(reason))
            case Success(status) if status.version == 0:
                return Success(None)
            case Success(status):
                content = await self.content(status.version)
                return content.map(lambda view: LatestEdition(status.number, view))
        raise AssertionError("a result is a success or a failure")

    async def content(self, version: BundleVersion) -> Result[BundleView, BundleReadError]:
        """Returns the content of exactly ``version``, which must be known to be durable.

        A durable version has the same content everywhere, so any reader may answer.
        """
        deadline = Instant(self._clock.monotonic() + self._within)
        while True:
            reason = "there is no reader"
            for reader in self._readers:
                match await reader.bundle(version):
                    case Success(answer) if answer.view is not None:
                        return Success(answer.view)
                    case Success(answer):
                        reason = f"version {version} is not kept there, {answer.latest} is"
                    case Failure(fault):
                        reason = fault.reason
            if self._clock.monotonic() + POLL_INTERVAL_S >= deadline:
                return Failure(BundleReadError(reason))
            await self._clock.sleep(POLL_INTERVAL_S)
