"""A router's client of the ledger (docs/DESIGN.md section 13)."""

from __future__ import annotations

import asyncio
from typing import Literal, Protocol, TypeVar

import msgspec
from returns.result import Result, Success

from ..context.protocols import Context
from ..control.errors import CommandFailure
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
    """The part of the control core's client that the ledger uses."""

    async def decide(
        self, kind: str, command: msgspec.Struct, reply_type: type[Reply], timeout: Seconds
    ) -> Result[Reply, CommandFailure]: ...


class LedgerLimits(msgspec.Struct, frozen=True):
    """Sizes and times of the ledger client; times are in seconds."""

    max_batch: int = 256
    """Most claims, and most settles, in one call to the primary."""
    max_batches_in_flight: int = 4
    """Most calls to the primary at the same time."""
    attempt_timeout: Seconds = Seconds(0.6)
    """Timeout of one call to the primary, after which it is retried."""
    retry_pause: Seconds = Seconds(0.05)
    """Pause after a failed call; for calls with settles only, it doubles up to ``max_retry_pause``."""
    max_retry_pause: Seconds = Seconds(1.0)
    max_waiting_claims: int = 4096
    """Most claims that wait for an answer; further claims are refused immediately."""
    max_unsettled: int = 20_000
    """Most settles that are not yet durable; further claims are refused immediately, which bounds the queue."""
    running_poll_interval: Seconds = Seconds(0.2)
    """A claim whose key belongs to a running call is repeated at this interval, until its timeout."""
    settle_timeout: Seconds = Seconds(2.0)
    """How long ``settle`` waits before it returns False and recording continues in the background."""


class _Claim:
    """A claim that waits for its answer."""

    __slots__ = ("answer", "deadline", "key", "number", "sent")

    def __init__(self, number: int, key: bytes, deadline: Instant) -> None:
        self.number = number
        self.key = key
        self.deadline = deadline
        self.sent = False
        self.answer: asyncio.Future[ClaimAnswer] = asyncio.get_running_loop().create_future()


class _Settle:
    """An outcome that is not yet durable."""

    __slots__ = ("durable", "key", "number", "state")

    def __init__(self, number: int, key: bytes, state: SettledState) -> None:
        self.number = number
        self.key = key
        self.state = state
        self.durable: asyncio.Future[None] = asyncio.get_running_loop().create_future()


class RouterLedger:
    """A ``Ledger`` that claims and settles through the control core.

    A claim's number is *open* from its creation until its answer is accepted or its timeout has passed.
    ``Claimed`` is returned for open numbers only. Therefore nobody will run the call once ``claim`` has
    returned anything else or was cancelled. A claim that the core may still hold is then settled as
    not-run in the background, until the core has acknowledged that.
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
        self._last_number = 0
        self._open: dict[int, _Claim] = {}
        self._claims_to_send: dict[int, _Claim] = {}
        self._settles: dict[int, _Settle] = {}
        """Settles that are not yet durable, by number; for each number, the latest state counts."""
        self._settles_in_flight: set[int] = set()
        self._batches_in_flight = 0
        self._current_pause: float = 0.0
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
        """See ``Ledger``; a claim whose key belongs to a running call is repeated until ``timeout`` (seconds)."""
        self.start()
        deadline = Instant(self._context.clock.monotonic() + timeout)
        digest = call_digest(key)
        while True:
            answer = await self._claim_once(digest, deadline)
            if not isinstance(answer, AlreadyClaimed) or answer.state != "running":
                return answer
            left = deadline - self._context.clock.monotonic()
            if left <= 2 * self._limits.running_poll_interval:
                return answer
            await self._context.clock.sleep(self._limits.running_poll_interval)

    async def _claim_once(self, digest: bytes, deadline: Instant) -> Claimed | AlreadyClaimed | Unreachable:
        if self._stopping:
            return Unreachable("claim refused: the router is stopping")
        if len(self._open) >= self._limits.max_waiting_claims:
            return Unreachable(f"claim refused: {len(self._open)} claims already wait for an answer")
        if len(self._settles) >= self._limits.max_unsettled:
            return Unreachable(f"claim refused: {len(self._settles)} outcomes are not yet durable")
        self._last_number += 1
        claim = _Claim(self._last_number, digest, deadline)
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
            # From here on, no answer for this number is accepted.
            in_time = self._context.clock.monotonic() <= deadline
            self._open.pop(claim.number, None)
            self._claims_to_send.pop(claim.number, None)
            given_up = answer is None or (answer == "claimed" and not in_time)
            if given_up and claim.sent:
                self._queue(_Settle(claim.number, digest, "not-run"))
        if given_up or answer is None:
            return Unreachable("the ledger did not answer the claim within its timeout")
        if answer == "claimed":
            return Claimed(f"{self._incarnation}:{claim.number}")
        if answer == "closed" or answer == "full":  # noqa: PLR1714 (narrows the type)
            return Unreachable(f"the ledger refused the claim: {answer}")
        return AlreadyClaimed(answer)

    async def settle(self, key: CallKey, ticket: str, state: Literal["ran", "unknown", "not-run"]) -> bool:
        """See ``Ledger``. Raises ValueError for a ticket that was not issued to this router."""
        self.start()
        incarnation, _, number = ticket.rpartition(":")
        if incarnation != self._incarnation or not number.isdigit():
            raise ValueError(f"ticket {ticket!r} was not issued to this router, {self._incarnation}")
        settle = _Settle(int(number), call_digest(key), state)
        self._queue(settle)
        await asyncio.wait((settle.durable,), timeout=self._limits.settle_timeout)
        return settle.durable.done() and not settle.durable.cancelled()

    def settle_soon(self, key: CallKey, ticket: str, state: Literal["ran", "unknown", "not-run"]) -> None:
        """Records the outcome as ``settle`` does, without waiting until it is durable."""
        self.start()
        self._queue(_Settle(int(ticket.rpartition(":")[2]), call_digest(key), state))

    async def drain(self, timeout: Seconds) -> int:
        """Stops accepting claims and waits up to ``timeout`` for all outcomes to be durable.

        Returns the number of outcomes that are not.
        """
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
            while self._batches_in_flight < self._limits.max_batches_in_flight and self._has_unsent():
                claims, settles = self._next_batch()
                self._batches_in_flight += 1
                self._context.tasks.spawn("ledger batch", self._send(claims, settles))

    def _has_unsent(self) -> bool:
        return bool(self._claims_to_send) or len(self._settles) > len(self._settles_in_flight)

    def _next_batch(self) -> tuple[list[_Claim], list[_Settle]]:
        claims = [self._claims_to_send.pop(number) for number in list(self._claims_to_send)[: self._limits.max_batch]]
        for claim in claims:
            claim.sent = True
        settles: list[_Settle] = []
        for number, settle in self._settles.items():
            if len(settles) >= self._limits.max_batch:
                break
            if number not in self._settles_in_flight:
                settles.append(settle)
        self._settles_in_flight.update(settle.number for settle in settles)
        return claims, settles

    async def _send(self, claims: list[_Claim], settles: list[_Settle]) -> None:
        batch = LedgerBatch(
            self._incarnation,
            next(iter(self._open), self._last_number + 1),
            tuple(ClaimKey(claim.number, claim.key) for claim in claims),
            tuple(SettleKey(settle.number, settle.key, settle.state) for settle in settles),
        )
        outcome = await self._control.decide(LEDGER_KIND, batch, LedgerAnswers, self._limits.attempt_timeout)
        if isinstance(outcome, Success):
            self._current_pause = 0.0
            for claim, answer in zip(claims, outcome.unwrap().claims, strict=True):
                if not claim.answer.done():
                    claim.answer.set_result(answer)
            for settle in settles:
                if self._settles.get(settle.number) is settle:
                    del self._settles[settle.number]
                _set_done(settle.durable)
        else:
            self._current_pause = min(
                self._limits.max_retry_pause, max(self._limits.retry_pause, self._current_pause * 2)
            )
            # A batch with claims waits for the short pause only; one with settles alone backs off further.
            await self._context.clock.sleep(self._limits.retry_pause if claims else Seconds(self._current_pause))
            for claim in claims:
                if claim.number in self._open:
                    self._claims_to_send[claim.number] = claim
        self._settles_in_flight.difference_update(settle.number for settle in settles)
        self._batches_in_flight -= 1
        self._wake.set()


def _set_done(future: asyncio.Future[None]) -> None:
    if not future.done():
        future.set_result(None)
