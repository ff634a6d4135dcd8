"""Orders on the operator's own numbers, and the newest content read back with proof (docs/DESIGN.md section 15.6).

The product has no HTTP format of its own for these; a deployment's dialect brings one.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol, TypeVar

import msgspec
from returns.result import Failure, Result, Success

from ..bundle.model import EditionChange, EditionStanding, OrderOutcome
from ..bundle.reading import BundleReader, BundleView, NotReadable
from ..context.protocols import Clock
from ..control.protocols import FindEdition, NotDecided, SubmitEdition
from ..identifiers import BundleVersion, Instant, OrderId, Seconds

NO_ORDER = OrderId("")
CALL_TIMEOUT_S = Seconds(4.0)
POLL_INTERVAL_S = Seconds(0.05)
"""Between two looks for a version that its readers have not heard of yet."""

Reply = TypeVar("Reply", bound=msgspec.Struct)


class CommandSender(Protocol):
    """The way to control's primary; ``ControlClient`` is one."""

    async def decide(
        self, kind: str, command: msgspec.Struct, reply_type: type[Reply], timeout: Seconds
    ) -> Result[Reply, NotDecided]: ...


class LatestEdition(msgspec.Struct, frozen=True):
    """What was newest at some moment after it was asked for."""

    number: int
    """0: there is none yet."""
    view: BundleView


class EditionClient:
    """``readers`` are asked in their order for a version's content, the nearest first. Each call is bounded."""

    def __init__(
        self, control: CommandSender, readers: Sequence[BundleReader], clock: Clock, within: Seconds = CALL_TIMEOUT_S
    ) -> None:
        self._control = control
        self._readers = readers
        self._clock = clock
        self._within = within

    async def submit(self, change: EditionChange) -> Result[OrderOutcome, NotDecided]:
        """The outcome is certain. A failure of kind ``unknown``: the order may have been taken, send it again."""
        return await self._control.decide("bundle", SubmitEdition(change), OrderOutcome, self._within)

    async def status(self, order: OrderId = NO_ORDER) -> Result[EditionStanding, NotDecided]:
        """As the primary knows it, proven after this call began; with the outcome of ``order`` if it was accepted."""
        return await self._control.decide("bundle", FindEdition(order), EditionStanding, self._within)

    async def newest(self) -> Result[LatestEdition | None, NotReadable]:
        """Never older than what was acknowledged before the call; None: there is proof that nothing was yet."""
        match await self.status():
            case Failure(fault):
                return Failure(NotReadable(f"no primary proves what is newest: {fault.kind} {fault.detail}".rstrip()))
            case Success(status) if status.version == 0:
                return Success(None)
            case Success(status):
                content = await self.content(status.version)
                return content.map(lambda view: LatestEdition(status.number, view))
        raise AssertionError("a result is a success or a failure")

    async def content(self, version: BundleVersion) -> Result[BundleView, NotReadable]:
        """Exactly that version, which has one content everywhere; it must be known to be durable."""
        deadline = Instant(self._clock.monotonic() + self._within)
        while True:
            reason = "there is no reader"
            for reader in self._readers:
                match await reader.bundle(version):
                    case Success(answer) if answer.view is not None:
                        return Success(answer.view)
                    case Success(answer):
                        reason = f"version {version} is not kept there, {answer.newest} is"
                    case Failure(fault):
                        reason = fault.reason
            if self._clock.monotonic() + POLL_INTERVAL_S >= deadline:
                return Failure(NotReadable(reason))
            await self._clock.sleep(POLL_INTERVAL_S)
