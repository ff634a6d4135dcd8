"""The control core's state of calls that must not be repeated (docs/DESIGN.md section 13).

Each control daemon runs one ``LedgerState`` as an applier of kind ``ledger``. Routers send batches of
claims and outcome reports. Each claim carries a number that its router never uses twice, so that
(router, number) is its ticket. All changes go through records, so that the backup and a restarted
daemon have the same state.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import msgspec

from ..context.protocols import Clock
from ..identifiers import Incarnation, Instant, Seconds
from .batch_decision import BatchDecision
from .commands import DIGEST_BYTES, LEDGER_KIND, ClaimAnswer, LedgerAnswers, LedgerBatch
from .state_records import ClosedClaimNumbers, Effect, KnownCall, LedgerRecord, LedgerSnapshot, OpenClaim

RAN_BUCKETS = 4
"""Keys of calls that ran are removed in buckets, each of which spans a quarter of the retention time."""
MAX_RUNNING_AGE_S = Seconds(86_400.0)
"""A claim without an outcome, because its router failed, is retained this long; its outcome stays unknown."""

_encoder = msgspec.msgpack.Encoder()
_record_decoder = msgspec.msgpack.Decoder(LedgerRecord)
_snapshot_decoder = msgspec.msgpack.Decoder(LedgerSnapshot)


class LedgerState:
    """All claims and outcomes and the rules for them, as an ``Applier`` of the control core.

    ``retention`` is the time in seconds for which outcomes are retained, ``max_entries`` the largest number of
    open claims and keys of calls that ran. ``is_member`` returns whether a router's session is valid. It is used
    only to distinguish ``running`` from ``unknown`` in an answer; no record depends on it.
    """

    kind = LEDGER_KIND
    command_type = LedgerBatch
    reply_type = LedgerAnswers

    def __init__(
        self,
        clock: Clock,
        retention: Seconds,
        is_member: Callable[[Incarnation], bool] | None = None,
        max_entries: int = 2_000_000,
    ) -> None:
        self._clock = clock
        self._retention_ms = int(retention * 1000)
        self._bucket_span_ms = max(1, self._retention_ms // RAN_BUCKETS)
        self._is_member = is_member
        self._max_entries = max_entries
        self._reset()

    def _reset(self) -> None:
        self._time = 0
        """Ledger time in milliseconds of the latest record."""
        self._expired_at = 0
        self._applied_at: Instant = self._clock.monotonic()
        self._open_claims: dict[bytes, OpenClaim] = {}
        self._ran: deque[tuple[int, set[bytes]]] = deque()
        """Buckets of the key digests of calls that ran, each with its start in ledger time, the oldest first."""
        self._closed_numbers: dict[Incarnation, ClosedClaimNumbers] = {}

    def ledger_time(self) -> int:
        """Returns the ledger time in milliseconds.

        It is the time of the latest record, plus the time on this daemon's monotonic clock since that
        record was applied. It stops while no control daemon runs and never runs ahead of real time, so
        that nothing is removed too early, whatever the machines' wall clocks show.
        """
        return self._time + max(0, int((self._clock.monotonic() - self._applied_at) * 1000))

    def entries(self) -> int:
        """Returns the number of open claims and of keys of calls that ran."""
        return len(self._open_claims) + sum(len(keys) for _, keys in self._ran)

    def decide(self, command: msgspec.Struct) -> tuple[bytes | None, msgspec.Struct]:
        """Decides a ``LedgerBatch``; returns its record, or None when nothing changes, and its ``LedgerAnswers``."""
        assert isinstance(command, LedgerBatch)
        decision = BatchDecision(
            command,
            closed_numbers=self._closed_numbers.get(command.router) or ClosedClaimNumbers(),
            find=self._find,
            visible_state=self._visible_state,
            capacity=self._max_entries - self.entries(),
        )
        for report in command.outcomes:
            decision.record_outcome(report)
        answers = LedgerAnswers(tuple([decision.answer_claim(claim) for claim in command.claims]))
        if not decision.effects:
            return None, answers
        record = LedgerRecord(self.ledger_time(), command.router, decision.floor, tuple(decision.effects))
        return _encoder.encode(record), answers

    def _visible_state(self, claim: OpenClaim) -> ClaimAnswer:
        if claim.state == "unknown" or (self._is_member is not None and not self._is_member(claim.router)):
            return "unknown"
        return "running"

    def _find(self, key: bytes) -> KnownCall:
        claim = self._open_claims.get(key)
        if claim is not None:
            return claim
        return "ran" if any(key in keys for _, keys in self._ran) else None

    def apply(self, record: bytes) -> None:
        """Applies a record of ``decide``, then removes what has expired."""
        decoded = _record_decoder.decode(record)
        self._time = max(self._time, decoded.time)
        self._applied_at = self._clock.monotonic()
        closed_numbers = self._closed_numbers.get(decoded.router)
        if closed_numbers is None:
            closed_numbers = self._closed_numbers[decoded.router] = ClosedClaimNumbers()
        closed_numbers.time = self._time
        closed_numbers.raise_floor(decoded.floor)
        for effect in decoded.effects:
            self._apply_effect(decoded.router, closed_numbers, effect)
        self._expire()

    def _apply_effect(self, router: Incarnation, closed_numbers: ClosedClaimNumbers, effect: Effect) -> None:
        claim = self._open_claims.get(effect.key)
        is_own_claim = claim is not None and claim.has_ticket(router, effect.number)
        match effect.kind:
            case "claim":
                if claim is None:
                    self._open_claims[effect.key] = OpenClaim(router, effect.number, "running", self._time)
            case "ran":
                self._open_claims.pop(effect.key, None)
                self._current_ran_bucket().add(effect.key)
            case "unknown":
                if is_own_claim:
                    self._open_claims[effect.key] = OpenClaim(router, effect.number, "unknown", self._time)
            case "free":
                if is_own_claim:
                    del self._open_claims[effect.key]
                closed_numbers.close(effect.number)
            case "close":
                closed_numbers.close(effect.number)

    def _current_ran_bucket(self) -> set[bytes]:
        if not self._ran or self._time - self._ran[-1][0] >= self._bucket_span_ms:
            self._ran.append((self._time, set()))
        return self._ran[-1][1]

    def _expire(self) -> None:
        """Removes expired entries, at most once in the span of a bucket."""
        if self._time - self._expired_at < self._bucket_span_ms:
            return
        self._expired_at = self._time
        while self._ran and self._time - self._ran[0][0] >= self._retention_ms + self._bucket_span_ms:
            self._ran.popleft()
        running_retention_ms = max(self._retention_ms, int(MAX_RUNNING_AGE_S * 1000))
        for key, claim in list(self._open_claims.items()):
            retention_ms = running_retention_ms if claim.state == "running" else self._retention_ms
            if self._time - claim.time >= retention_ms:
                del self._open_claims[key]
        routers_with_claims = {claim.router for claim in self._open_claims.values()}
        for router, closed_numbers in list(self._closed_numbers.items()):
            if self._time - closed_numbers.time >= running_retention_ms and router not in routers_with_claims:
                del self._closed_numbers[router]

    def snapshot(self) -> bytes:
        """Returns the complete state, encoded as a ``LedgerSnapshot``."""
        return _encoder.encode(
            LedgerSnapshot(
                time=self._time,
                expired_at=self._expired_at,
                open_claims=self._open_claims,
                ran=[(start, b"".join(sorted(keys))) for start, keys in self._ran],
                routers=self._closed_numbers,
            )
        )

    def restore(self, snapshot: bytes | None) -> None:
        """Replaces the complete state by that of ``snapshot``; None empties it."""
        self._reset()
        if snapshot is None:
            return
        decoded = _snapshot_decoder.decode(snapshot)
        self._time = decoded.time
        self._expired_at = decoded.expired_at
        self._open_claims = decoded.open_claims
        for start, joined in decoded.ran:
            keys = {joined[offset : offset + DIGEST_BYTES] for offset in range(0, len(joined), DIGEST_BYTES)}
            self._ran.append((start, keys))
        self._closed_numbers = decoded.routers
