"""The map from sessions to workers, shared by the routers (docs/DESIGN.md section 11.2)."""

from __future__ import annotations

import hashlib
import sys
from collections import OrderedDict
from collections.abc import Callable, Iterable
from typing import Protocol

import msgspec
from returns.result import Success

from ..context.protocols import Context
from ..identifiers import Address, Incarnation, Instant, PoolName, Seconds, SessionId, WorkerInstance
from ..membership.protocols import Membership
from ..membership.rendezvous import ranked
from ..transport.frames import Identity
from ..transport.messenger import Messenger
from .messages import KeepNotes, LookUpSession, SessionFound, SessionNote

SLOTS = 1024
LOOK_UP_TIMEOUT = Seconds(0.03)
PASSED_OVER_FOR = Seconds(1.0)
"""How long a keeper that let a question time out is passed over."""
NEWCOMER_FOR = Seconds(3.0)
ENTRIES_MOST = 25_000
RECENT_MOST = 10_000
RECENT_FOR = Seconds(300.0)
CLAIM_FOR = Seconds(3600.0)
"""A prefix not used for so long is no longer in any KV cache."""
HANDED_OVER_AT_ONCE = 200
HAND_OVER_PAUSE = Seconds(0.05)


def session_key(pool: PoolName, session: SessionId) -> int:
    return int.from_bytes(hashlib.blake2b(f"{pool}\n{session}".encode(), digest_size=8).digest(), "big")


class Entry(msgspec.Struct, kw_only=True):
    """A note with instants of the own clock."""

    pool: PoolName
    holder: WorkerInstance
    tokens: int
    own_tokens: int
    touched_at: Instant
    winner: WorkerInstance = WorkerInstance("")
    award_until: Instant = Instant(0.0)
    weight: float = 1.0


class SessionMap(Protocol):
    async def find(self, key: int) -> Entry | Unreachable | None:
        """None: whoever should know answered, and does not."""
        ...

    def record(self, key: int, entry: Entry) -> None: ...

    def keeps(self, key: int) -> bool:
        """Whether this router is the one that counts the session."""
        ...


class Unreachable(msgspec.Struct, frozen=True):
    """Neither the keeper nor its stand-in answered in time."""


class RecentEntries:
    """Entries by key, newest last, bounded in number and age."""

    def __init__(self, most: int, kept_for: Seconds) -> None:
        self._most = most
        self._kept_for = kept_for
        self.by_key: OrderedDict[int, Entry] = OrderedDict()

    def put(self, key: int, entry: Entry) -> None:
        self.by_key[key] = entry
        self.by_key.move_to_end(key)
        oldest = entry.touched_at - self._kept_for
        while len(self.by_key) > self._most or next(iter(self.by_key.values())).touched_at < oldest:
            self.by_key.popitem(last=False)

    def get(self, key: int) -> Entry | None:
        return self.by_key.get(key)


class LocalMap:
    """Only this router's own entries; for comparison on the bench."""

    def __init__(self) -> None:
        self._entries = RecentEntries(ENTRIES_MOST, CLAIM_FOR)
        self.on_keep: Callable[[int, Entry], None] = lambda key, entry: None

    async def find(self, key: int) -> Entry | Unreachable | None:
        return self._entries.get(key)

    def record(self, key: int, entry: Entry) -> None:
        self._entries.put(key, entry)
        self.on_keep(key, entry)

    def keeps(self, key: int) -> bool:
        return True


class KeeperMap:
    """One keeper and one stand-in per slot of the key space, by rendezvous over the routers."""

    def __init__(self, context: Context, messenger: Messenger, membership: Membership) -> None:
        self._context = context
        self._messenger = messenger
        self._membership = membership
        self._kept = RecentEntries(ENTRIES_MOST, CLAIM_FOR)
        self._recent = RecentEntries(RECENT_MOST, RECENT_FOR)
        """What this router recorded itself, wherever it is kept."""
        self._pairs: dict[int, tuple[Identity, ...]] = {}
        self._routers: tuple[Identity, ...] = ()
        self._keeping_since: dict[int, Instant] = {}
        self._passed_over: dict[Incarnation, Instant] = {}
        self._started = context.clock.monotonic()
        self._handing_over = False
        self._to_hand_over: OrderedDict[tuple[int, Address], None] = OrderedDict()
        self.on_keep: Callable[[int, Entry], None] = lambda key, entry: None
        messenger.on_post(KeepNotes, self._keep_notes)
        messenger.on_call(LookUpSession, self._look_up)
        membership.on_change(self._members_changed)
        self._members_changed()

    # --- asking and recording -----------------------------------------------------------------

    async def find(self, key: int) -> Entry | Unreachable | None:
        now = self._context.clock.monotonic()
        answered = sure = False
        for keeper in self._pair(key % SLOTS):
            if keeper.incarnation == self._messenger.identity.incarnation:
                entry, newcomer = self._kept.get(key), self._is_newcomer(key % SLOTS)
            else:
                if self._passed_over.get(keeper.incarnation, Instant(0.0)) > now:
                    continue
                reply = await self._messenger.call(keeper.internal, LookUpSession(key), SessionFound, LOOK_UP_TIMEOUT)
                if not isinstance(reply, Success):
                    until = self._context.clock.monotonic() + PASSED_OVER_FOR
                    self._passed_over[keeper.incarnation] = Instant(until)
                    continue
                found: SessionFound = reply.unwrap()
                entry = None if found.note is None else self._entry(found.note)
                newcomer = found.keeping_for < NEWCOMER_FOR
            if entry is not None:
                own = self._recent.get(key)
                return own if own is not None and own.touched_at > entry.touched_at else entry
            answered = True
            if not newcomer:
                sure = True
                break
        own = self._recent.get(key)
        if own is not None and not sure:
            return own
        return None if answered else Unreachable()

    def record(self, key: int, entry: Entry) -> None:
        self._recent.put(key, entry)
        for keeper in self._pair(key % SLOTS):
            if keeper.incarnation == self._messenger.identity.incarnation:
                self._keep(key, entry)
            else:
                self._messenger.post(keeper.internal, KeepNotes((self._note(key, entry),)))

    def keeps(self, key: int) -> bool:
        pair = self._pair(key % SLOTS)
        return bool(pair) and pair[0].incarnation == self._messenger.identity.incarnation

    # --- keeping ------------------------------------------------------------------------------

    def _keep(self, key: int, entry: Entry) -> None:
        known = self._kept.get(key)
        if known is None or entry.touched_at >= known.touched_at:
            self._kept.put(key, entry)
            self.on_keep(key, entry)

    def _keep_notes(self, peer: Identity, message: KeepNotes) -> None:
        for note in message.notes:
            self._keep(note.key, self._entry(note))

    async def _look_up(self, peer: Identity, question: LookUpSession) -> SessionFound:
        entry = self._kept.get(question.key)
        now = self._context.clock.monotonic()
        keeping_for = Seconds(now - self._keeping_since.get(question.key % SLOTS, now))
        return SessionFound(None if entry is None else self._note(question.key, entry), keeping_for)

    def _is_newcomer(self, slot: int) -> bool:
        now = self._context.clock.monotonic()
        return now - self._keeping_since.get(slot, now) < NEWCOMER_FOR

    def _note(self, key: int, entry: Entry) -> SessionNote:
        now = self._context.clock.monotonic()
        return SessionNote(
            key=key,
            pool=entry.pool,
            holder=entry.holder,
            tokens=entry.tokens,
            own_tokens=entry.own_tokens,
            age=Seconds(max(0.0, now - entry.touched_at)),
            winner=entry.winner if entry.award_until > now else WorkerInstance(""),
            award_left=Seconds(max(0.0, entry.award_until - now)),
            weight=entry.weight,
        )

    def _entry(self, note: SessionNote) -> Entry:
        now = self._context.clock.monotonic()
        return Entry(
            pool=note.pool,
            holder=WorkerInstance(sys.intern(note.holder)),
            tokens=note.tokens,
            own_tokens=note.own_tokens,
            touched_at=Instant(now - note.age),
            winner=WorkerInstance(sys.intern(note.winner)),
            award_until=Instant(now + note.award_left),
            weight=note.weight,
        )

    # --- members ------------------------------------------------------------------------------

    def _pair(self, slot: int) -> tuple[Identity, ...]:
        pair = self._pairs.get(slot)
        if pair is None:
            pair = self._pairs[slot] = self._ranked(slot, self._routers)
        return pair

    def _ranked(self, slot: int, routers: Iterable[Identity]) -> tuple[Identity, ...]:
        return tuple(ranked(f"session/{slot}", routers, lambda router: router.name)[:2])

    def _members_changed(self) -> None:
        """Keepers pass on what newcomers should have; the recorder does so where both keepers are gone."""
        routers = tuple(self._membership.routers())
        if routers == self._routers:
            return
        before, self._routers, self._pairs = self._routers, routers, {}
        now = self._context.clock.monotonic()
        first = not before
        own = self._messenger.identity.incarnation
        members = {router.incarnation for router in routers}
        pairs_before: dict[int, tuple[Identity, ...]] = {}
        for slot in range(SLOTS):
            if any(router.incarnation == own for router in self._pair(slot)):
                self._keeping_since.setdefault(slot, now)
            else:
                self._keeping_since.pop(slot, None)
        if first:
            return
        for entries, everything in ((self._kept, True), (self._recent, False)):
            for key in reversed(entries.by_key):
                slot = key % SLOTS
                if slot not in pairs_before:
                    pairs_before[slot] = self._ranked(slot, before)
                old = {router.incarnation for router in pairs_before[slot]}
                if not everything and old & members:
                    continue
                for router in self._pair(slot):
                    if router.incarnation not in old and router.incarnation != own:
                        self._to_hand_over[(key, router.internal)] = None
        if self._to_hand_over and not self._handing_over:
            self._handing_over = True
            self._context.tasks.spawn("hand over sessions", self._hand_over())

    async def _hand_over(self) -> None:
        """Newest first, a bounded batch at a time."""
        while self._to_hand_over:
            batches: dict[Address, list[SessionNote]] = {}
            for _ in range(min(HANDED_OVER_AT_ONCE, len(self._to_hand_over))):
                (key, address), _ = self._to_hand_over.popitem(last=False)
                entry = self._kept.get(key) or self._recent.get(key)
                if entry is not None and any(router.internal == address for router in self._pair(key % SLOTS)):
                    batches.setdefault(address, []).append(self._note(key, entry))
            for address, notes in sorted(batches.items()):
                self._messenger.post(address, KeepNotes(tuple(notes)))
            await self._context.clock.sleep(HAND_OVER_PAUSE)
        self._handing_over = False
