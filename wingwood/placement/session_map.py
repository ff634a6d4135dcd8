"""The map from sessions to workers, which the routers share (docs/DESIGN.md section 11.2)."""

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
from .messages import LookUpSession, SessionFound, SessionRecord, StoreSessionRecords
from .unresponsive_routers import UnresponsiveRouters

MAX_INCREMENTAL_CHANGES = 16
"""Number of joined and departed routers up to which a ring is changed point by point instead of rebuilt."""
POINTS_PER_ROUTER = 64
"""Number of each router's points on the ring; with so many, its share of sessions varies by about an eighth."""
LOOKUP_TIMEOUT_S = Seconds(0.015)
"""Timeout for each of the two owners that are asked, so a turn waits for its map entry at most twice as long."""
NEW_OWNER_PERIOD_S = Seconds(3.0)
"""Time after a membership change during which a new owner of a key may not have its record yet."""
MAX_ENTRIES = 25_000
MAX_RECENT_ENTRIES = 10_000
RECENT_RETENTION_S = Seconds(300.0)
CLAIM_RETENTION_S = Seconds(3600.0)
"""A prefix that was not used for this long is no longer in any KV cache."""
HANDOVER_BATCH_SIZE = 200
"""Number of records that a handover sends at once."""
HANDOVER_BATCH_INTERVAL_S = Seconds(0.05)


def session_key(pool: PoolName, session: SessionId) -> int:
    """Returns the key of a session in a pool: 64 bits of a digest."""
    return int.from_bytes(hashlib.blake2b(f"{pool}\n{session}".encode(), digest_size=8).digest(), "big")


class Entry(msgspec.Struct, kw_only=True):
    """A ``SessionRecord`` whose times are instants of this process's clock."""

    pool: PoolName
    cache_worker: WorkerInstance
    tokens: int
    own_tokens: int
    last_used_at: Instant
    reserved_worker: WorkerInstance = WorkerInstance("")
    reserved_until: Instant = Instant(0.0)
    weight: float = 1.0


class SessionMap(Protocol):
    """Entries of sessions by key."""

    async def find(self, key: int) -> Entry | Unreachable | None:
        """Looks the entry up at the key's owners; returns None if an owner answered that it has none."""
        ...

    def record(self, key: int, entry: Entry) -> None:
        """Stores the entry at this router and at the key's owners."""
        ...

    def find_local(self, key: int) -> Entry | None:
        """Returns the entry that this router recorded itself, without asking another router."""
        ...

    def record_local(self, key: int, entry: Entry) -> None:
        """Stores the entry at this router only."""
        ...

    def owns(self, key: int) -> bool:
        """Returns whether this router is the first owner of the key, which is the one that counts the session."""
        ...


class Unreachable(msgspec.Struct, frozen=True):
    """Result of a lookup that neither the owner nor its replica answered in time."""


class RecentEntries:
    """Entries by key, the latest last, bounded in number and age."""

    def __init__(self, max_entries: int, retention: Seconds) -> None:
        self._max_entries = max_entries
        self._retention = retention
        self.by_key: OrderedDict[int, Entry] = OrderedDict()

    def put(self, key: int, entry: Entry) -> None:
        """Stores the entry as the latest, and evicts entries beyond the bounds."""
        self.by_key[key] = entry
        self.by_key.move_to_end(key)
        oldest = entry.last_used_at - self._retention
        while len(self.by_key) > self._max_entries or next(iter(self.by_key.values())).last_used_at < oldest:
            self.by_key.popitem(last=False)

    def get(self, key: int) -> Entry | None:
        """Returns the entry of the key, or None."""
        return self.by_key.get(key)


class LocalMap:
    """A ``SessionMap`` of only this router's own entries; for comparison on the bench."""

    def __init__(self) -> None:
        self._entries = RecentEntries(MAX_ENTRIES, CLAIM_RETENTION_S)
        self.on_entry_stored: Callable[[int, Entry], None] = lambda _key, _entry: None

    async def find(self, key: int) -> Entry | Unreachable | None:
        """See ``SessionMap.find``."""
        return self._entries.get(key)

    def record(self, key: int, entry: Entry) -> None:
        """See ``SessionMap.record``."""
        self._entries.put(key, entry)
        self.on_entry_stored(key, entry)

    def find_local(self, key: int) -> Entry | None:
        """See ``SessionMap.find_local``."""
        return self._entries.get(key)

    def record_local(self, key: int, entry: Entry) -> None:
        """See ``SessionMap.record_local``."""
        self._entries.put(key, entry)

    def owns(self, _key: int) -> bool:
        """Returns True, because no other router shares the map."""
        return True


class OwnerRing:
    """Assigns each key an owner and a replica: the next two different routers on a ring of 64-bit points.

    A router that joins or leaves changes only the keys next to its own points, and the replica of a removed owner
    becomes the owner. Finding a pair costs one binary search, even with a thousand routers.
    """

    def __init__(self, routers: Sequence[Identity] = (), before: OwnerRing | None = None) -> None:
        """``before``: an earlier ring to start from, so that few changes cost little."""
        self.routers = tuple(routers)
        self._points = array("Q")
        self._owners = array("L")
        self._numbers: dict[str, int] = {}
        names = {router.name for router in routers}
        if before is not None and len(names ^ before._numbers.keys()) <= MAX_INCREMENTAL_CHANGES:
            self._points, self._owners = before._points[:], before._owners[:]
            self._numbers = dict(before._numbers)
            for name in sorted(self._numbers.keys() - names):
                self._remove(name)
        added = sorted(names - self._numbers.keys())
        if len(added) <= MAX_INCREMENTAL_CHANGES:
            for name in added:
                self._insert(name)
        else:
            self._numbers = {name: number for number, name in enumerate(added)}
            points = sorted((point, number) for number, name in enumerate(added) for point in _points(name))
            self._points = array("Q", (point for point, _ in points))
            self._owners = array("L", (number for _, number in points))
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
        """Returns the owner and the replica of a key; fewer if there are fewer than two routers."""
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
    """Yields the points of a router on the ring, which follow from its name."""
    for part in range(POINTS_PER_ROUTER // 8):
        digest = hashlib.blake2b(f"{name}\n{part}".encode()).digest()
        for at in range(0, 64, 8):
            yield int.from_bytes(digest[at : at + 8], "big")


class DistributedMap:
    """A ``SessionMap`` with an owner and a replica for each key, which follow from the list of routers alone."""

    def __init__(self, context: Context, messenger: Messenger, membership: Membership) -> None:
        self._context = context
        self._messenger = messenger
        self._membership = membership
        self._stored = RecentEntries(MAX_ENTRIES, CLAIM_RETENTION_S)
        self._recent = RecentEntries(MAX_RECENT_ENTRIES, RECENT_RETENTION_S)
        """Entries that this router recorded itself, whichever routers own them."""
        self._ring = OwnerRing()
        self._previous_rings: list[tuple[Instant, OwnerRing]] = []
        """Recent earlier rings, each with the instant at which it was replaced."""
        self._unresponsive = UnresponsiveRouters(context.clock)
        self._handover_running = False
        self._pending_handover: OrderedDict[tuple[int, Address], None] = OrderedDict()
        self.on_entry_stored: Callable[[int, Entry], None] = lambda _key, _entry: None
        messenger.on_post(StoreSessionRecords, self._on_store_records)
        messenger.on_call(LookUpSession, self._on_look_up)
        membership.on_change(self._members_changed)
        self._members_changed()

    # --- lookup and recording -----------------------------------------------------------------

    async def find(self, key: int) -> Entry | Unreachable | None:
        """Asks the owner, then the replica, unless this router is one of them itself.

        A newer entry that this router recorded replaces the stored one. A new owner's answer that it has no entry does
        not count, because the entry may not have been handed over yet: the replica is asked, and then the entry that
        this router recorded itself is used.
        """
        answered = sure = False
        for owner in self._owners_of(key):
            if owner.incarnation == self._messenger.identity.incarnation:
                entry, is_new_owner = self._stored.get(key), self._is_new_owner(key)
            else:
                if self._unresponsive.contains(owner.incarnation):
                    continue
                reply = await self._messenger.call(owner.internal, LookUpSession(key), SessionFound, LOOKUP_TIMEOUT_S)
                if not isinstance(reply, Success):
                    self._unresponsive.add(owner.incarnation)
                    continue
                found: SessionFound = reply.unwrap()
                entry = None if found.record is None else self._to_entry(found.record)
                is_new_owner = found.is_new_owner
            if entry is not None:
                own = self._recent.get(key)
                return own if own is not None and own.last_used_at > entry.last_used_at else entry
            answered = True
            if not is_new_owner:
                sure = True
                break
        own = self._recent.get(key)
        if own is not None and not sure:
            return own
        return None if answered else Unreachable()

    def record(self, key: int, entry: Entry) -> None:
        """See ``SessionMap.record``."""
        self._recent.put(key, entry)
        for owner in self._owners_of(key):
            if owner.incarnation == self._messenger.identity.incarnation:
                self._store(key, entry)
            else:
                self._messenger.post(owner.internal, StoreSessionRecords((self._to_record(key, entry),)))

    def find_local(self, key: int) -> Entry | None:
        """See ``SessionMap.find_local``."""
        return self._recent.get(key)

    def record_local(self, key: int, entry: Entry) -> None:
        """See ``SessionMap.record_local``."""
        self._recent.put(key, entry)

    def owns(self, key: int) -> bool:
        """See ``SessionMap.owns``."""
        pair = self._owners_of(key)
        return bool(pair) and pair[0].incarnation == self._messenger.identity.incarnation

    # --- owned entries--------------------------------------------------------------------------

    def _store(self, key: int, entry: Entry) -> None:
        known = self._stored.get(key)
        if known is None or entry.last_used_at >= known.last_used_at:
            self._stored.put(key, entry)
            self.on_entry_stored(key, entry)

    def _on_store_records(self, _peer: Identity, message: StoreSessionRecords) -> None:
        for record in message.records:
            self._store(record.key, self._to_entry(record))

    async def _on_look_up(self, _peer: Identity, question: LookUpSession) -> SessionFound:
        entry = self._stored.get(question.key)
        record = None if entry is None else self._to_record(question.key, entry)
        return SessionFound(record, self._is_new_owner(question.key))

    def _is_new_owner(self, key: int) -> bool:
        """Returns whether this router became an owner of the key so recently that it may lack earlier records."""
        now = self._context.clock.monotonic()
        while self._previous_rings and now - self._previous_rings[0][0] > NEW_OWNER_PERIOD_S:
            del self._previous_rings[0]
        own = self._messenger.identity.incarnation
        return any(all(router.incarnation != own for router in ring.pair(key)) for _, ring in self._previous_rings)

    def _to_record(self, key: int, entry: Entry) -> SessionRecord:
        now = self._context.clock.monotonic()
        return SessionRecord(
            key=key,
            pool=entry.pool,
            cache_worker=entry.cache_worker,
            tokens=entry.tokens,
            own_tokens=entry.own_tokens,
            age=Seconds(max(0.0, now - entry.last_used_at)),
            reserved_worker=entry.reserved_worker if entry.reserved_until > now else WorkerInstance(""),
            reservation_left=Seconds(max(0.0, entry.reserved_until - now)),
            weight=entry.weight,
        )

    def _to_entry(self, record: SessionRecord) -> Entry:
        now = self._context.clock.monotonic()
        return Entry(
            pool=record.pool,
            cache_worker=WorkerInstance(sys.intern(record.cache_worker)),
            tokens=record.tokens,
            own_tokens=record.own_tokens,
            last_used_at=Instant(now - record.age),
            reserved_worker=WorkerInstance(sys.intern(record.reserved_worker)),
            reserved_until=Instant(now + record.reservation_left),
            weight=record.weight,
        )

    # --- membership ---------------------------------------------------------------------------

    def _owners_of(self, key: int) -> tuple[Identity, ...]:
        return self._ring.pair(key)

    def _members_changed(self) -> None:
        """Hands entries over to the new owners of their keys after a membership change.

        The previous owners hand over the entries that they store. The router that recorded an entry hands it over
        only if both previous owners of its key have departed.
        """
        routers = tuple(self._membership.routers())
        before = self._ring
        if routers == before.routers:
            return
        self._ring = OwnerRing(routers, before)
        self._previous_rings.append((self._context.clock.monotonic(), before))
        own = self._messenger.identity.incarnation
        members = {router.incarnation for router in routers}
        for entries, everything in ((self._stored, True), (self._recent, False)):
            for key in reversed(entries.by_key):
                old = {router.incarnation for router in before.pair(key)}
                if not everything and old & members:
                    continue
                for router in self._ring.pair(key):
                    if router.incarnation not in old and router.incarnation != own:
                        self._pending_handover[(key, router.internal)] = None
        if self._pending_handover and not self._handover_running:
            self._handover_running = True
            self._context.tasks.spawn("hand over sessions", self._hand_over())

    async def _hand_over(self) -> None:
        """Sends the pending records, the latest first, in batches of bounded size."""
        while self._pending_handover:
            batches: dict[Address, list[SessionRecord]] = {}
            for _ in range(min(HANDOVER_BATCH_SIZE, len(self._pending_handover))):
                (key, address), _ = self._pending_handover.popitem(last=False)
                entry = self._stored.get(key) or self._recent.get(key)
                if entry is not None and any(router.internal == address for router in self._owners_of(key)):
                    batches.setdefault(address, []).append(self._to_record(key, entry))
            for address, records in sorted(batches.items()):
                self._messenger.post(address, StoreSessionRecords(tuple(records)))
            await self._context.clock.sleep(HANDOVER_BATCH_INTERVAL_S)
        self._handover_running = False
