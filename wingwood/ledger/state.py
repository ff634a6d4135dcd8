"""The control core's state of calls that must not be repeated (docs/DESIGN.md section 13).

Each control daemon runs one ``LedgerState`` as an applier of kind ``ledger``. Routers send batches of
claims and settles. Each claim carries a number that its router never uses twice, so that
(router, number) is its ticket. All changes go through records, so that the backup and a restarted
daemon hold the same state.
"""

from __future__ import annotations

import hashlib
from collections import deque
from collections.abc import Callable
from typing import Literal

import msgspec

from ..context.protocols import Clock
from ..identifiers import Incarnation, Instant, Seconds
from .protocols import CallKey

LEDGER_KIND = "ledger"
RAN_BUCKETS = 4
"""Keys of calls that ran are removed in buckets, each of which spans a quarter of the retention time."""
MAX_RUNNING_AGE_S = Seconds(86_400.0)
"""A claim that is never settled, because its router failed, is retained this long; its outcome stays unknown."""

ClaimAnswer = Literal["claimed", "running", "ran", "unknown", "closed", "full"]
SettledState = Literal["ran", "unknown", "not-run"]


def call_digest(key: CallKey) -> bytes:
    """Returns a 16-byte digest of the key, so that neither frames nor journals contain callers' keys."""
    return hashlib.blake2b(msgspec.msgpack.encode(key), digest_size=16, person=b"wingwood-ledger").digest()


class ClaimKey(msgspec.Struct, frozen=True, array_like=True):
    """A claim: its number at the router, and the digest of its key."""

    number: int
    key: bytes


class SettleKey(msgspec.Struct, frozen=True, array_like=True):
    """A settle: the number and key digest of the claim, and the outcome of the call."""

    number: int
    key: bytes
    state: SettledState


class LedgerBatch(msgspec.Struct, frozen=True, array_like=True):
    """Command of kind ``ledger``: claims and settles of one router.

    The router accepts no more answers for claims numbered below ``floor``. Claims below the recorded
    floor are never granted, however late they arrive.
    """

    router: Incarnation
    floor: int
    claims: tuple[ClaimKey, ...] = ()
    settles: tuple[SettleKey, ...] = ()


class LedgerAnswers(msgspec.Struct, frozen=True, array_like=True):
    """Reply to a LedgerBatch: one answer per claim, in order. All settles of the batch are then durable."""

    claims: tuple[ClaimAnswer, ...] = ()


class Effect(msgspec.Struct, frozen=True, array_like=True):
    """One change of the state within a record."""

    kind: Literal["claim", "ran", "unknown", "free", "close"] = msgspec.field(name="what")
    number: int
    key: bytes


class LedgerRecord(msgspec.Struct, frozen=True, array_like=True):
    """A replicated record: the changes that one batch of a router made."""

    time: int
    """Ledger time in milliseconds, see ``LedgerState.ledger_time``."""
    router: Incarnation
    floor: int
    effects: tuple[Effect, ...]


class HeldClaim(msgspec.Struct, frozen=True, array_like=True):
    """A claim that was not settled as ``ran``.

    ``time`` is the ledger time of the claim or, in state ``unknown``, of that settle.
    """

    router: Incarnation
    number: int
    state: Literal["running", "unknown"]
    time: int


class RouterFence(msgspec.Struct, array_like=True):
    """The claim numbers of a router that must never be granted any more."""

    floor: int = 0
    closed: set[int] = msgspec.field(default_factory=set)
    """Numbers at or above the floor that were freed or abandoned."""
    time: int = 0


class LedgerSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """The complete state of the ledger."""

    time: int
    expired_at: int
    held: dict[bytes, HeldClaim]
    ran: list[tuple[int, bytes]]
    """For each bucket, its start in ledger time and its concatenated key digests."""
    routers: dict[Incarnation, RouterFence]


_record_encoder = msgspec.msgpack.Encoder()
_record_decoder = msgspec.msgpack.Decoder(LedgerRecord)
_snapshot_decoder = msgspec.msgpack.Decoder(LedgerSnapshot)
_DIGEST_BYTES = 16


class LedgerState:
    """The ledger's state and its rules, as an ``Applier`` of the control core.

    ``is_member`` returns whether a router's session is valid. It is used only to distinguish
    ``running`` from ``unknown`` in an answer; no record depends on it.
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
        self._retention = int(retention * 1000)
        self._is_member = is_member
        self._max_entries = max_entries
        self._reset()

    def _reset(self) -> None:
        self._time = 0
        self._expired_at = 0
        self._applied_at: Instant = self._clock.monotonic()
        self._held: dict[bytes, HeldClaim] = {}
        self._ran: deque[tuple[int, set[bytes]]] = deque()
        self._routers: dict[Incarnation, RouterFence] = {}

    def ledger_time(self) -> int:
        """Returns the ledger time in milliseconds.

        It is the time of the latest record, plus the time on this daemon's monotonic clock since that
        record was applied. It stops while no control daemon runs and never runs ahead of real time, so
        that nothing is removed too early, whatever the machines' wall clocks show.
        """
        return self._time + max(0, int((self._clock.monotonic() - self._applied_at) * 1000))

    def entries(self) -> int:
        return len(self._held) + sum(len(keys) for _, keys in self._ran)

    def decide(self, command: msgspec.Struct) -> tuple[bytes | None, msgspec.Struct]:
        assert isinstance(command, LedgerBatch)
        fence = self._routers.get(command.router) or RouterFence()
        floor = max(fence.floor, command.floor)
        effects: list[Effect] = []
        changed: dict[bytes, HeldClaim | Literal["ran"] | None] = {}
        closed: set[int] = set()
        room = self._max_entries - self.entries()

        def find(key: bytes) -> HeldClaim | Literal["ran"] | None:
            return changed[key] if key in changed else self._find(key)

        for settle in command.settles:
            found = find(settle.key)
            own = isinstance(found, HeldClaim) and (found.router, found.number) == (command.router, settle.number)
            # A record is written even when nothing changes: once it is durable, so is the earlier
            # record that made this settle redundant.
            if settle.state == "ran":
                changed[settle.key] = "ran"
                effects.append(Effect("ran", settle.number, settle.key))
            elif settle.state == "unknown":
                if own:
                    changed[settle.key] = HeldClaim(command.router, settle.number, "unknown", 0)
                effects.append(Effect("unknown", settle.number, settle.key))
            else:
                if own:
                    changed[settle.key] = None
                closed.add(settle.number)
                effects.append(Effect("free", settle.number, settle.key))

        answers: list[ClaimAnswer] = []
        for claim in command.claims:
            found = find(claim.key)
            if found == "ran":
                answers.append("ran")
            elif isinstance(found, HeldClaim):
                if (found.router, found.number) != (command.router, claim.number):
                    answers.append(self._visible_state(found))
                    # A duplicate of this claim may arrive when the key is free again; nobody waits for it then.
                    effects.append(Effect("close", claim.number, claim.key))
                elif found.state == "unknown":
                    answers.append("unknown")
                else:
                    # Resent by its owner; the record delays the answer until the claim is durable.
                    answers.append("claimed")
                    effects.append(Effect("claim", claim.number, claim.key))
            elif claim.number < floor or claim.number in fence.closed or claim.number in closed:
                answers.append("closed")
            elif room <= 0:
                answers.append("full")
                effects.append(Effect("close", claim.number, claim.key))
            else:
                room -= 1
                changed[claim.key] = HeldClaim(command.router, claim.number, "running", 0)
                answers.append("claimed")
                effects.append(Effect("claim", claim.number, claim.key))
        reply = LedgerAnswers(tuple(answers))
        if not effects:
            return None, reply
        return _record_encoder.encode(LedgerRecord(self.ledger_time(), command.router, floor, tuple(effects))), reply

    def _visible_state(self, held: HeldClaim) -> ClaimAnswer:
        if held.state == "unknown" or (self._is_member is not None and not self._is_member(held.router)):
            return "unknown"
        return "running"

    def _find(self, key: bytes) -> HeldClaim | Literal["ran"] | None:
        held = self._held.get(key)
        if held is not None:
            return held
        return "ran" if any(key in keys for _, keys in self._ran) else None

    def apply(self, record: bytes) -> None:
        decoded = _record_decoder.decode(record)
        self._time = max(self._time, decoded.time)
        self._applied_at = self._clock.monotonic()
        fence = self._routers.get(decoded.router)
        if fence is None:
            fence = self._routers[decoded.router] = RouterFence()
        fence.time = self._time
        if decoded.floor > fence.floor:
            fence.floor = decoded.floor
            if fence.closed:
                fence.closed = {number for number in fence.closed if number >= decoded.floor}
        for effect in decoded.effects:
            self._apply_effect(decoded.router, fence, effect)
        self._expire()

    def _apply_effect(self, router: Incarnation, fence: RouterFence, effect: Effect) -> None:
        held = self._held.get(effect.key)
        own = held is not None and (held.router, held.number) == (router, effect.number)
        if effect.kind == "claim":
            if held is None:
                self._held[effect.key] = HeldClaim(router, effect.number, "running", self._time)
        elif effect.kind == "ran":
            self._held.pop(effect.key, None)
            self._ran_bucket().add(effect.key)
        elif effect.kind == "unknown":
            if own:
                self._held[effect.key] = HeldClaim(router, effect.number, "unknown", self._time)
        else:
            if own and effect.kind == "free":
                del self._held[effect.key]
            if effect.number >= fence.floor:
                fence.closed.add(effect.number)

    def _ran_bucket(self) -> set[bytes]:
        width = max(1, self._retention // RAN_BUCKETS)
        if not self._ran or self._time - self._ran[-1][0] >= width:
            self._ran.append((self._time, set()))
        return self._ran[-1][1]

    def _expire(self) -> None:
        width = max(1, self._retention // RAN_BUCKETS)
        if self._time - self._expired_at < width:
            return
        self._expired_at = self._time
        while self._ran and self._time - self._ran[0][0] >= self._retention + width:
            self._ran.popleft()
        longest = max(self._retention, int(MAX_RUNNING_AGE_S * 1000))
        for key, held in list(self._held.items()):
            if self._time - held.time >= (longest if held.state == "running" else self._retention):
                del self._held[key]
        holders = {held.router for held in self._held.values()}
        for router, fence in list(self._routers.items()):
            if self._time - fence.time >= longest and router not in holders:
                del self._routers[router]

    def snapshot(self) -> bytes:
        return _record_encoder.encode(
            LedgerSnapshot(
                self._time,
                self._expired_at,
                self._held,
                [(start, b"".join(sorted(keys))) for start, keys in self._ran],
                self._routers,
            )
        )

    def restore(self, snapshot: bytes | None) -> None:
        self._reset()
        if snapshot is None:
            return
        decoded = _snapshot_decoder.decode(snapshot)
        self._time = decoded.time
        self._expired_at = decoded.expired_at
        self._held = decoded.held
        for start, joined in decoded.ran:
            keys = {joined[at : at + _DIGEST_BYTES] for at in range(0, len(joined), _DIGEST_BYTES)}
            self._ran.append((start, keys))
        self._routers = decoded.routers
