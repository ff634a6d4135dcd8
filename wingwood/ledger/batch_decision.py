"""Decides one router's batch of outcome reports and claims (docs/DESIGN.md section 13.2)."""

from __future__ import annotations

from collections.abc import Callable

from .commands import ClaimAnswer, ClaimRequest, LedgerBatch, OutcomeReport
from .state_records import ClosedClaimNumbers, Effect, KnownCall, OpenClaim


class BatchDecision:
    """The effects of one batch, decided against the ledger's state and the earlier entries of the same batch.

    It owns the ``effects`` and changes nothing else: the state changes when the record of the effects is applied.
    ``find`` returns what the state knows about a key, ``visible_state`` how an open claim is reported to others.
    ``capacity`` is the number of claims that may still be granted.
    """

    def __init__(
        self,
        batch: LedgerBatch,
        closed_numbers: ClosedClaimNumbers,
        find: Callable[[bytes], KnownCall],
        visible_state: Callable[[OpenClaim], ClaimAnswer],
        capacity: int,
    ) -> None:
        self.floor = max(closed_numbers.floor, batch.floor)
        self.effects: list[Effect] = []
        self._router = batch.router
        self._closed_earlier = closed_numbers.closed
        self._closed_now: set[int] = set()
        self._find_in_state = find
        self._visible_state = visible_state
        self._capacity = capacity
        self._changed: dict[bytes, KnownCall] = {}
        """What entries of this batch made of their keys."""

    def record_outcome(self, report: OutcomeReport) -> None:
        """Adds the effect of an outcome report.

        There is an effect even when nothing changes: once its record is durable, so is the earlier record that
        made this report redundant.
        """
        known = self._find(report.key)
        is_own_claim = isinstance(known, OpenClaim) and known.has_ticket(self._router, report.number)
        match report.outcome:
            case "ran":
                self._changed[report.key] = "ran"
                self.effects.append(Effect("ran", report.number, report.key))
            case "unknown":
                if is_own_claim:
                    self._changed[report.key] = OpenClaim(self._router, report.number, "unknown", 0)
                self.effects.append(Effect("unknown", report.number, report.key))
            case "not-run":
                if is_own_claim:
                    self._changed[report.key] = None
                self._closed_now.add(report.number)
                self.effects.append(Effect("free", report.number, report.key))

    def answer_claim(self, claim: ClaimRequest) -> ClaimAnswer:
        """Returns the answer to a claim and adds its effect, if it has one."""
        known = self._find(claim.key)
        if known == "ran":
            return "ran"
        if isinstance(known, OpenClaim):
            return self._answer_with_open_claim(claim, known)
        if self._is_closed(claim.number):
            return "closed"
        if self._capacity <= 0:
            self.effects.append(Effect("close", claim.number, claim.key))
            return "full"
        self._capacity -= 1
        self._changed[claim.key] = OpenClaim(self._router, claim.number, "running", 0)
        self.effects.append(Effect("claim", claim.number, claim.key))
        return "claimed"

    def _answer_with_open_claim(self, claim: ClaimRequest, known: OpenClaim) -> ClaimAnswer:
        if not known.has_ticket(self._router, claim.number):
            # A duplicate of this claim may arrive after the key has been freed; no router waits for it then.
            self.effects.append(Effect("close", claim.number, claim.key))
            return self._visible_state(known)
        if known.state == "unknown":
            return "unknown"
        # Resent by its owner; the record delays the answer until the claim is durable.
        self.effects.append(Effect("claim", claim.number, claim.key))
        return "claimed"

    def _find(self, key: bytes) -> KnownCall:
        return self._changed[key] if key in self._changed else self._find_in_state(key)

    def _is_closed(self, number: int) -> bool:
        return number < self.floor or number in self._closed_earlier or number in self._closed_now
