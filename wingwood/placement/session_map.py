"""The map from sessions to workers, shared by the routers (docs/DESIGN.md section 11.2)."""

from __future__ import annotations

import hashlib
import sys
from array import array
from bisect import bisect_left
from collections import OrderedDict
from collections.abc import Callable, Iterator, Sequence
from typing import Protocol

import msgspec
from returns.result import Success

from ..context.protocols import Context
from ..identifiers import Address, Instant, PoolName, Seconds, SessionId, WorkerInstance
from ..membership.protocols import Membership
from ..transport.frames import Identity
from ..transport.messenger import Messenger
from .messages import KeepNotes, LookUpSession, SessionFound, SessionNote
from .passed_over import PassedOver

CHANGED_ONE_BY_ONE = 16
POINTS_EACH = 64
"""A router's points on the ring; its share of the sessions varies by about an eighth."""
LOOK_UP_TIMEOUT = Seconds(0.015)
"""For each of the two that are asked: a turn waits for its map entry at most twice as long."""
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

    def recall(self, key: int) -> Entry | None:
        """What this router recorded itself; asks nobody."""
        ...

    def remember(self, key: int, entry: Entry) -> None:
        """Records for this router alone."""
        ...

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

    def recall(self, key: int) -> Entry | None:
        return self._entries.get(key)

    def remember(self, key: int, entry: Entry) -> None:
        self._entries.put(key, entry)

    def keeps(self, key: int) -> bool:
        return True


class KeeperRing:
    """Who keeps which keys: the next two different routers on a ring of 64 bits.

    A router that comes or goes changes only the keys beside its own points; the stand-in of one that
    went has its place. Finding a pair costs a binary search, also with a thousand routers.
    """

    def __init__(self, routers: Sequence[Identity] = (), before: KeeperRing | None = None) -> None:
        """``before``: the ring to start from; a few changes to it cost little."""
        self.routers = tuple(routers)
        self._points = array("Q")
        self._owners = array("L")
        self._numbers: dict[str, int] = {}
        names = {router.name for router in routers}
        if before is not None and len(names ^ before._numbers.keys()) <= CHANGED_ONE_BY_ONE:
            self._points, self._owners = before._points[:], before._owners[:]
            self._numbers = dict(before._numbers)
            for name in sorted(self._numbers.keys() - names):
                self._remove(name)
        added = sorted(names - self._numbers.keys())
        if len(added) <= CHANGED_ONE_BY_ONE:
            for name in added:
                self._insert(name)
        else:
            self._numbers = {name: number for number, name in enumerate(added)}
            marks = sorted((point, number) for number, name in enumerate(added) for point in _points(name))
            self._points = array("Q", (point for point, _ in marks))
            self._owners = array("L", (number for _, number in marks))
        self._by_number = {self._numbers[router.name]: router for router in routers}

    def _insert(self, name: str) -> None:
        number = self._numbers[name] = max(self._numbers.values(), default=-1) + 1
        for point in _points(name):
            at = bisect_left(self._points, point)
            self._points.insert(at, point)
            self._owners.insert(at, number)

    def _remove(self, name: str) -> None:
        del self._numbers[name]
        for point in _points(name):
            at = bisect_left(self._points, point)
            del self._points[at], self._owners[at]

    def pair(self, key: int) -> tuple[Identity, ...]:
        count = len(self._points)
        if not count:
            return ()
        at = bisect_left(self._points, key) % count
        first = self._owners[at]
        for step in range(1, count):
            other = self._owners[(at + step) % count]
            if other != first:
                return self._by_number[first], self._by_number[other]
        return (self._by_number[first],)


def _points(name: str) -> Iterator[int]:
    for part in range(POINTS_EACH // 8):
        digest = hashlib.blake2b(f"{name}\n{part}".encode()).digest()
        for at in range(0, 64, 8):
            yield int.from_bytes(digest[at : at + 8], "big")


class KeeperMap:
    """One keeper and one stand-in for each key, agreed on by the list of routers alone."""

    def __init__(self, context: Context, messenger: Messenger, membership: Membership) -> None:
        self._context = context
        self._messenger = messenger
        self._membership = membership
        self._kept = RecentEntries(ENTRIES_MOST, CLAIM_FOR)
        self._recent = RecentEntries(RECENT_MOST, RECENT_FOR)
        """What this router recorded itself, wherever it is kept."""
        self._ring = KeeperRing()
        self._rings_before: list[tuple[Instant, KeeperRing]] = []
        """Rings of the last while, with the instant at which each ended."""
        self._passed_over = PassedOver(context.clock)
        self._handing_over = False
        self._to_hand_over: OrderedDict[tuple[int, Address], None] = OrderedDict()
        self.on_keep: Callable[[int, Entry], None] = lambda key, entry: None
        messenger.on_post(KeepNotes, self._keep_notes)
        messenger.on_call(LookUpSession, self._look_up)
        membership.on_change(self._members_changed)
        self._members_changed()

    # --- asking and recording -----------------------------------------------------------------

    async def find(self, key: int) -> Entry | Unreachable | None:
        answered = sure = False
        for keeper in self._pair(key):
            if keeper.incarnation == self._messenger.identity.incarnation:
                entry, newcomer = self._kept.get(key), self._is_newcomer(key)
            else:
                if self._passed_over.holds(keeper.incarnation):
                    continue
                reply = await self._messenger.call(keeper.internal, LookUpSession(key), SessionFound, LOOK_UP_TIMEOUT)
                if not isinstance(reply, Success):
                    self._passed_over.add(keeper.incarnation)
                    continue
                found: SessionFound = reply.unwrap()
                entry = None if found.note is None else self._entry(found.note)
                newcomer = found.newcomer
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
        for keeper in self._pair(key):
            if keeper.incarnation == self._messenger.identity.incarnation:
                self._keep(key, entry)
            else:
                self._messenger.post(keeper.internal, KeepNotes((self._note(key, entry),)))

    def recall(self, key: int) -> Entry | None:
        return self._recent.get(key)

    def remember(self, key: int, entry: Entry) -> None:
        self._recent.put(key, entry)

    def keeps(self, key: int) -> bool:
        pair = self._pair(key)
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
        note = None if entry is None else self._note(question.key, entry)
        return SessionFound(note, self._is_newcomer(question.key))

    def _is_newcomer(self, key: int) -> bool:
        """Whether this router became a keeper of the key only a moment ago and may lack what was recorded before."""
        now = self._context.clock.monotonic()
        while self._rings_before and now - self._rings_before[0][0] > NEWCOMER_FOR:
            del self._rings_before[0]
        own = self._messenger.identity.incarnation
        return any(all(router.incarnation != own for router in ring.pair(key)) for _, ring in self._rings_before)

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

    def _pair(self, key: int) -> tuple[Identity, ...]:
        return self._ring.pair(key)

    def _members_changed(self) -> None:
        """Keepers pass on what newcomers should have; the recorder does so where both keepers are gone."""
        routers = tuple(self._membership.routers())
        before = self._ring
        if routers == before.routers:
            return
        self._ring = KeeperRing(routers, before)
        self._rings_before.append((self._context.clock.monotonic(), before))
        own = self._messenger.identity.incarnation
        members = {router.incarnation for router in routers}
        for entries, everything in ((self._kept, True), (self._recent, False)):
            for key in reversed(entries.by_key):
                old = {router.incarnation for router in before.pair(key)}
                if not everything and old & members:
                    continue
                for router in self._ring.pair(key):
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
                if entry is not None and any(router.internal == address for router in self._pair(key)):
                    batches.setdefault(address, []).append(self._note(key, entry))
            for address, notes in sorted(batches.items()):
                self._messenger.post(address, KeepNotes(tuple(notes)))
            await self._context.clock.sleep(HAND_OVER_PAUSE)
        self._handing_over = False
