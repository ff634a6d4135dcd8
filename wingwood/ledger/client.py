"""A router's client of the ledger (docs/DESIGN.md section 13)."""

from __future__ import annotations

import asyncio
from typing import Protocol, TypeVar

import msgspec
from returns.result import Result, Success

from ..context.protocols import Context
from ..control.errors import CommandFailure
from ..identifiers import Incarnation, Instant, Seconds
from .commands import (
    LEDGER_KIND,
    ClaimAnswer,
    ClaimRequest,
    LedgerAnswers,
    LedgerBatch,
    OutcomeReport,
    call_digest,
)
from .ledger_options import LedgerOptions
from .protocols import (
    AlreadyClaimed,
    CallKey,
    Claimed,
    ClaimError,
    ClaimRejectedError,
    ClaimTimeoutError,
    ForeignTicketError,
    Outcome,
)

Reply = TypeVar("Reply", bound=msgspec.Struct)

DRAIN_POLL_INTERVAL_S = Seconds(0.02)


class DecideClient(Protocol):
    """The part of the control core's client that the ledger uses."""

    async def decide(
        self, kind: str, command: msgspec.Struct, reply_type: type[Reply], timeout: Seconds
    ) -> Result[Reply, CommandFailure]:
        """Runs the command on the primary and returns its reply, or why there is none within ``timeout`` seconds."""
        ...


class _PendingClaim:
    """A claim that waits for its answer."""

    __slots__ = ("answer", "key", "number", "sent")

    def __init__(self, number: int, key: bytes) -> None:
        self.number = number
        self.key = key
        self.sent = False
        self.answer: asyncio.Future[ClaimAnswer] = asyncio.get_running_loop().create_future()


class _UnacknowledgedOutcome:
    """An outcome that is not yet durable."""

    __slots__ = ("durable", "key", "number", "outcome")

    def __init__(self, number: int, key: bytes, outcome: Outcome) -> None:
        self.number = number
        self.key = key
        self.outcome = outcome
        self.durable: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def acknowledge(self) -> None:
        """Resolves ``durable`` unless it is resolved or was cancelled."""
        if not self.durable.done():
            self.durable.set_result(None)


class RouterLedger:
    """A ``Ledger`` that claims calls and reports their outcomes through the control core.

    It owns the claims that wait for an answer and the outcomes that are not yet durable; all other state is the
    control core's. A claim's number is *open* from its creation until its answer is accepted or its timeout has
    passed. ``Claimed`` is returned for open numbers only. Therefore nobody will run the call once ``claim`` has
    returned anything else or was cancelled. A claim that may exist in the core is then reported as not-run
    in the background, until the core has acknowledged that.
    """

    def __init__(
        self,
        context: Context,
        incarnation: Incarnation,
        control: DecideClient,
        options: LedgerOptions | None = None,
    ) -> None:
        self._context = context
        self._incarnation = incarnation
        self._control = control
        self._options = options or LedgerOptions()
        self._last_number = 0
        self._open: dict[int, _PendingClaim] = {}
        self._claims_to_send: dict[int, _PendingClaim] = {}
        self._outcomes: dict[int, _UnacknowledgedOutcome] = {}
        """Outcomes that are not yet durable, by number; for each number, the latest outcome counts."""
        self._outcomes_in_flight: set[int] = set()
        self._batches_in_flight = 0
        self._current_backoff: float = 0.0
        self._wake = asyncio.Event()
        self._stopping = False
        self._running = False

    def start(self) -> None:
        """Starts the task that sends batches; a second call does nothing."""
        if not self._running:
            self._running = True
            self._context.tasks.spawn("ledger", self._run())

    def unacknowledged_outcomes(self) -> int:
        """Returns the number of reported outcomes that are not yet durable in the control core."""
        return len(self._outcomes)

    async def claim(self, key: CallKey, timeout: Seconds) -> Claimed | AlreadyClaimed | ClaimError:
        """See ``Ledger``; a claim whose key belongs to a running call is repeated until ``timeout`` (seconds)."""
        self.start()
        deadline = Instant(self._context.clock.monotonic() + timeout)
        digest = call_digest(key)
        while True:
            answer = await self._claim_once(digest, deadline)
            if not isinstance(answer, AlreadyClaimed) or answer.state != "running":
                return answer
            remaining = deadline - self._context.clock.monotonic()
            if remaining <= 2 * self._options.running_poll_interval:
                return answer
            await self._context.clock.sleep(self._options.running_poll_interval)

    async def _claim_once(self, digest: bytes, deadline: Instant) -> Claimed | AlreadyClaimed | ClaimError:
        rejection = self._local_rejection()
        if rejection is not None:
            return rejection
        claim = self._open_claim(digest)
        answer: ClaimAnswer | None = None
        try:
            async with asyncio.timeout(max(0.0, deadline - self._context.clock.monotonic())):
                answer = await claim.answer
        except TimeoutError:
            pass
        finally:
            # From here on, no answer for this number is accepted; also when the caller was cancelled.
            self._close_claim(claim)
            is_late = answer == "claimed" and self._context.clock.monotonic() > deadline
            if (answer is None or is_late) and claim.sent:
                self._queue(_UnacknowledgedOutcome(claim.number, digest, "not-run"))
        if answer is None or is_late:
            return ClaimTimeoutError("the ledger did not answer the claim within its timeout")
        if answer == "claimed":
            return Claimed(self._ticket(claim.number))
        if answer == "closed" or answer == "full":  # noqa: PLR1714 (narrows the type)
            return ClaimRejectedError(f"the ledger refused the claim: {answer}")
        return AlreadyClaimed(answer)

    def _local_rejection(self) -> ClaimRejectedError | None:
        """Returns why a new claim is rejected without asking the core; None when it is not."""
        if self._stopping:
            return ClaimRejectedError("claim refused: the router is stopping")
        if len(self._open) >= self._options.max_pending_claims:
            return ClaimRejectedError(f"claim refused: {len(self._open)} claims already wait for an answer")
        if len(self._outcomes) >= self._options.max_unacknowledged_outcomes:
            return ClaimRejectedError(f"claim refused: {len(self._outcomes)} outcomes are not yet durable")
        return None

    def _open_claim(self, digest: bytes) -> _PendingClaim:
        self._last_number += 1
        claim = _PendingClaim(self._last_number, digest)
        self._open[claim.number] = claim
        self._claims_to_send[claim.number] = claim
        self._wake.set()
        return claim

    def _close_claim(self, claim: _PendingClaim) -> None:
        self._open.pop(claim.number, None)
        self._claims_to_send.pop(claim.number, None)

    def _ticket(self, number: int) -> str:
        return f"{self._incarnation}:{number}"

    def _claim_number(self, ticket: str) -> int:
        incarnation, _, number = ticket.rpartition(":")
        if incarnation != self._incarnation or not number.isdigit():
            raise ForeignTicketError(f"ticket {ticket!r} was not issued to this router, {self._incarnation}")
        return int(number)

    async def report_outcome(self, key: CallKey, ticket: str, outcome: Outcome) -> bool:
        """See ``Ledger``; waits at most ``report_timeout`` until the outcome is durable."""
        report = self._report(key, ticket, outcome)
        await asyncio.wait((report.durable,), timeout=self._options.report_timeout)
        return report.durable.done() and not report.durable.cancelled()

    def report_outcome_soon(self, key: CallKey, ticket: str, outcome: Outcome) -> None:
        """Records the outcome as ``report_outcome`` does, without waiting until it is durable."""
        self._report(key, ticket, outcome)

    def _report(self, key: CallKey, ticket: str, outcome: Outcome) -> _UnacknowledgedOutcome:
        self.start()
        report = _UnacknowledgedOutcome(self._claim_number(ticket), call_digest(key), outcome)
        self._queue(report)
        return report

    async def drain(self, timeout: Seconds) -> int:
        """Stops accepting claims and waits up to ``timeout`` seconds for all outcomes to be durable.

        Returns the number of outcomes that are not.
        """
        self._stopping = True
        self._wake.set()
        deadline = self._context.clock.monotonic() + timeout
        while self._outcomes and self._context.clock.monotonic() < deadline:
            await self._context.clock.sleep(DRAIN_POLL_INTERVAL_S)
        if self._outcomes:
            self._context.log.event("ledger-outcomes-unacknowledged-at-stop", outcomes=len(self._outcomes))
        return len(self._outcomes)

    def _queue(self, report: _UnacknowledgedOutcome) -> None:
        earlier = self._outcomes.get(report.number)
        if earlier is not None:
            report.durable.add_done_callback(lambda _: earlier.acknowledge())
        self._outcomes[report.number] = report
        self._wake.set()

    async def _run(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._batches_in_flight < self._options.max_batches_in_flight and self._has_unsent():
                claims, reports = self._next_batch()
                self._batches_in_flight += 1
                self._context.tasks.spawn("ledger batch", self._send(claims, reports))

    def _has_unsent(self) -> bool:
        return bool(self._claims_to_send) or len(self._outcomes) > len(self._outcomes_in_flight)

    def _next_batch(self) -> tuple[list[_PendingClaim], list[_UnacknowledgedOutcome]]:
        """Takes the claims and the outcomes of the next batch from the queues and marks them as sent."""
        claims = [self._claims_to_send.pop(number) for number in list(self._claims_to_send)[: self._options.max_batch]]
        for claim in claims:
            claim.sent = True
        reports: list[_UnacknowledgedOutcome] = []
        for number, report in self._outcomes.items():
            if len(reports) >= self._options.max_batch:
                break
            if number not in self._outcomes_in_flight:
                reports.append(report)
        self._outcomes_in_flight.update(report.number for report in reports)
        return claims, reports

    async def _send(self, claims: list[_PendingClaim], reports: list[_UnacknowledgedOutcome]) -> None:
        batch = LedgerBatch(
            router=self._incarnation,
            floor=next(iter(self._open), self._last_number + 1),
            claims=tuple([ClaimRequest(claim.number, claim.key) for claim in claims]),
            outcomes=tuple([OutcomeReport(report.number, report.key, report.outcome) for report in reports]),
        )
        result = await self._control.decide(LEDGER_KIND, batch, LedgerAnswers, self._options.attempt_timeout)
        if isinstance(result, Success):
            self._current_backoff = 0.0
            self._deliver(claims, reports, result.unwrap())
        else:
            await self._back_off(has_claims=bool(claims))
            for claim in claims:
                if claim.number in self._open:
                    self._claims_to_send[claim.number] = claim
        self._outcomes_in_flight.difference_update(report.number for report in reports)
        self._batches_in_flight -= 1
        self._wake.set()

    def _deliver(
        self, claims: list[_PendingClaim], reports: list[_UnacknowledgedOutcome], answers: LedgerAnswers
    ) -> None:
        for claim, answer in zip(claims, answers.claims, strict=True):
            if not claim.answer.done():
                claim.answer.set_result(answer)
        for report in reports:
            if self._outcomes.get(report.number) is report:
                del self._outcomes[report.number]
            report.acknowledge()

    async def _back_off(self, has_claims: bool) -> None:
        """Waits before a failed batch is sent again.

        A batch with claims waits for the short backoff only; one with outcomes alone backs off further.
        """
        self._current_backoff = min(
            self._options.max_retry_backoff, max(self._options.retry_backoff, self._current_backoff * 2)
        )
        await self._context.clock.sleep(self._options.retry_backoff if has_claims else Seconds(self._current_backoff))
