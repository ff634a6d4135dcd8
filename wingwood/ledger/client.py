"""The ledger as a router sees it (docs/DESIGN.md section 13)."""

from __future__ import annotations

import asyncio
from typing import Literal, Protocol, TypeVar

import msgspec
from returns.result import Result, Success

from ..context.protocols import Context
from ..control.protocols import NotDecided
from ..identifiers import Incarnation, Instant, Seconds
from .protocols import AlreadyClaimed, CallKey, Claimed, Unreachable
from .state import (
    LEDGER_KIND,
    ClaimAnswer,
    ClaimKey,
    LedgerAnswers,
    LedgerBatch,
    SettledState,
    SettleKey,
    call_digest,
)

Reply = TypeVar("Reply", bound=msgspec.Struct)


class DecideClient(Protocol):
    """What the ledger needs of the control core's client."""

    async def decide(
        self, kind: str, command: msgspec.Struct, reply_type: type[Reply], timeout: Seconds
    ) -> Result[Reply, NotDecided]: ...


class LedgerLimits(msgspec.Struct, frozen=True):
    batch: int = 256
    """Most claims, and most settles, in one call to the primary."""
    batches_in_flight: int = 4
    attempt: Seconds = Seconds(0.6)
    """How long one call to the primary may take before it is sent again."""
    pause: Seconds = Seconds(0.05)
    """Between failed attempts; doubles up to ``longest_pause`` for settles."""
    longest_pause: Seconds = Seconds(1.0)
    waiting: int = 4096
    """Most claims waiting for an answer; one more is refused at once."""
    unsettled: int = 20_000
    """With so many settles not yet durable, new claims are refused at once, which bounds the queue."""
    running_poll: Seconds = Seconds(0.2)
    """A claim that meets a running call asks again after this, while its time lasts."""
    settle_wait: Seconds = Seconds(2.0)
    """How long ``settle`` waits before it says False and leaves the rest to the background."""


class _Claim:
    __slots__ = ("answer", "deadline", "key", "number", "sent")

    def __init__(self, number: int, key: bytes, deadline: Instant) -> None:
        self.number = number
        self.key = key
        self.deadline = deadline
        self.sent = False
        self.answer: asyncio.Future[ClaimAnswer] = asyncio.get_running_loop().create_future()


class _Settle:
    __slots__ = ("durable", "key", "number", "state")

    def __init__(self, number: int, key: bytes, state: SettledState) -> None:
        self.number = number
        self.key = key
        self.state = state
        self.durable: asyncio.Future[None] = asyncio.get_running_loop().create_future()


class RouterLedger:
    """Claims and settles through the control core; a ``Ledger``.

    A claim's number is *open* from its making until its answer is taken or its time is over.
    ``Claimed`` is returned for open numbers only, so once ``claim`` has returned anything else, or
    was cancelled, nobody will run the call: what the ledger may hold of it is given up in the
    background until the core has acknowledged that.
    """

    def __init__(
        self,
        context: Context,
        incarnation: Incarnation,
        control: DecideClient,
        limits: LedgerLimits | None = None,
    ) -> None:
        self._context = context
        self._incarnation = incarnation
        self._control = control
        self._limits = limits or LedgerLimits()
        self._number = 0
        self._open: dict[int, _Claim] = {}
        self._claims_to_send: dict[int, _Claim] = {}
        self._settles: dict[int, _Settle] = {}
        """Not yet durable, by number; the last told state of a number counts."""
        self._settles_in_flight: set[int] = set()
        self._batches_in_flight = 0
        self._pause: float = 0.0
        self._wake = asyncio.Event()
        self._stopping = False
        self._running = False

    def start(self) -> None:
        if not self._running:
            self._running = True
            self._context.tasks.spawn("ledger", self._run())

    def unsettled(self) -> int:
        return len(self._settles)

    async def claim(self, key: CallKey, timeout: Seconds) -> Claimed | AlreadyClaimed | Unreachable:
        """See ``Ledger``. A key whose call is running is asked again until ``timeout`` (seconds) is over."""
        self.start()
        deadline = Instant(self._context.clock.monotonic() + timeout)
        digest = call_digest(key)
        while True:
            answer = await self._claim_once(digest, deadline)
            if not isinstance(answer, AlreadyClaimed) or answer.state != "running":
                return answer
            left = deadline - self._context.clock.monotonic()
            if left <= 2 * self._limits.running_poll:
                return answer
            await self._context.clock.sleep(self._limits.running_poll)

    async def _claim_once(self, digest: bytes, deadline: Instant) -> Claimed | AlreadyClaimed | Unreachable:
        if self._stopping:
            return Unreachable("the router is stopping")
        if len(self._open) >= self._limits.waiting:
            return Unreachable("too many claims wait")
        if len(self._settles) >= self._limits.unsettled:
            return Unreachable("too many outcomes are not yet recorded")
        self._number += 1
        claim = _Claim(self._number, digest, deadline)
        self._open[claim.number] = claim
        self._claims_to_send[claim.number] = claim
        self._wake.set()
        answer: ClaimAnswer | None = None
        try:
            async with asyncio.timeout(max(0.0, deadline - self._context.clock.monotonic())):
                answer = await claim.answer
        except TimeoutError:
            pass
        finally:
            # From here on no answer for this number is taken.
            in_time = self._context.clock.monotonic() <= deadline
            self._open.pop(claim.number, None)
            self._claims_to_send.pop(claim.number, None)
            given_up = answer is None or (answer == "claimed" and not in_time)
            if given_up and claim.sent:
                self._queue(_Settle(claim.number, digest, "not-run"))
        if given_up or answer is None:
            return Unreachable("the ledger did not answer in time")
        if answer == "claimed":
            return Claimed(f"{self._incarnation}:{claim.number}")
        if answer == "closed" or answer == "full":  # noqa: PLR1714 (narrows the type)
            return Unreachable(f"the ledger refused the claim: {answer}")
        return AlreadyClaimed(answer)

    async def settle(self, key: CallKey, ticket: str, state: Literal["ran", "unknown", "not-run"]) -> bool:
        """See ``Ledger``. Raises ValueError for a ticket that this router never got."""
        self.start()
        incarnation, _, number = ticket.rpartition(":")
        if incarnation != self._incarnation or not number.isdigit():
            raise ValueError(f"{ticket!r} is not a ticket of this router")
        settle = _Settle(int(number), call_digest(key), state)
        self._queue(settle)
        await asyncio.wait((settle.durable,), timeout=self._limits.settle_wait)
        return settle.durable.done() and not settle.durable.cancelled()

    def settle_soon(self, key: CallKey, ticket: str, state: Literal["ran", "unknown", "not-run"]) -> None:
        """As ``settle``, without waiting."""
        self.start()
        self._queue(_Settle(int(ticket.rpartition(":")[2]), call_digest(key), state))

    async def drain(self, timeout: Seconds) -> int:
        """Takes no more claims and waits until all outcomes are durable; returns how many are not."""
        self._stopping = True
        self._wake.set()
        deadline = self._context.clock.monotonic() + timeout
        while self._settles and self._context.clock.monotonic() < deadline:
            await self._context.clock.sleep(Seconds(0.02))
        if self._settles:
            self._context.log.event("ledger-unsettled-at-stop", outcomes=len(self._settles))
        return len(self._settles)

    def _queue(self, settle: _Settle) -> None:
        earlier = self._settles.get(settle.number)
        if earlier is not None:
            settle.durable.add_done_callback(lambda _: _set_done(earlier.durable))
        self._settles[settle.number] = settle
        self._wake.set()

    async def _run(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._batches_in_flight < self._limits.batches_in_flight and self._has_unsent():
                claims, settles = self._next_batch()
                self._batches_in_flight += 1
                self._context.tasks.spawn("ledger batch", self._send(claims, settles))

    def _has_unsent(self) -> bool:
        return bool(self._claims_to_send) or len(self._settles) > len(self._settles_in_flight)

    def _next_batch(self) -> tuple[list[_Claim], list[_Settle]]:
        claims = [self._claims_to_send.pop(number) for number in list(self._claims_to_send)[: self._limits.batch]]
        for claim in claims:
            claim.sent = True
        settles: list[_Settle] = []
        for number, settle in self._settles.items():
            if len(settles) >= self._limits.batch:
                break
            if number not in self._settles_in_flight:
                settles.append(settle)
        self._settles_in_flight.update(settle.number for settle in settles)
        return claims, settles

    async def _send(self, claims: list[_Claim], settles: list[_Settle]) -> None:
        batch = LedgerBatch(
            self._incarnation,
            next(iter(self._open), self._number + 1),
            tuple(ClaimKey(claim.number, claim.key) for claim in claims),
            tuple(SettleKey(settle.number, settle.key, settle.state) for settle in settles),
        )
        outcome = await self._control.decide(LEDGER_KIND, batch, LedgerAnswers, self._limits.attempt)
        if isinstance(outcome, Success):
            self._pause = 0.0
            for claim, answer in zip(claims, outcome.unwrap().claims, strict=True):
                if not claim.answer.done():
                    claim.answer.set_result(answer)
            for settle in settles:
                if self._settles.get(settle.number) is settle:
                    del self._settles[settle.number]
                _set_done(settle.durable)
        else:
            self._pause = min(self._limits.longest_pause, max(self._limits.pause, self._pause * 2))
            # Claims wait the short pause only; with none, settles alone back off further.
            await self._context.clock.sleep(self._limits.pause if claims else Seconds(self._pause))
            for claim in claims:
                if claim.number in self._open:
                    self._claims_to_send[claim.number] = claim
        self._settles_in_flight.difference_update(settle.number for settle in settles)
        self._batches_in_flight -= 1
        self._wake.set()


def _set_done(future: asyncio.Future[None]) -> None:
    if not future.done():
        future.set_result(None)
