"""The durable state of one control daemon: its journal on disk (docs/DESIGN.md section 7.1)."""

from __future__ import annotations

from collections.abc import Callable, Coroutine, Sequence
from typing import Any, Literal

import msgspec
from returns.result import Failure, Result, Success

from ..context.protocols import Context
from ..identifiers import Epoch, Incarnation, Seconds
from ..journal import Journal, JournalFault
from .errors import StoreFailure
from .journal_entries import (
    AcceptedEntry,
    BatchEntry,
    Entry,
    InitializedEntry,
    PreparedEntry,
    ProbeEntry,
    SnapshotEntry,
    StateRecord,
)
from .views import NOTHING_PREPARED, PreparedEpoch, View

JOURNAL_NAME = "control.journal"

_decoder = msgspec.msgpack.Decoder(Entry)
_encode = msgspec.msgpack.Encoder().encode


class Contents(msgspec.Struct):
    """State as read from the journal, not yet applied to the appliers."""

    snapshot: SnapshotEntry | None = None
    batches: list[BatchEntry] = []


class ControlStore:
    """The durable state of a member. Its methods are called one at a time, under the lock of the core.

    The attributes reflect what has been synced to disk: each changes only after its append has succeeded.
    After a failure the caller must call ``reload`` before it uses the store again.
    """

    def __init__(self, context: Context, journal: Journal, incarnation: Incarnation) -> None:
        self.context = context
        self.journal = journal
        self.incarnation = incarnation
        self.prepared = NOTHING_PREPARED
        self.ever_used = False
        """It has accepted a view, granted a promise other than to form the first view, or held state."""
        self.view: View | None = None
        self.sequence = 0
        """The latest batch in the journal."""
        self.rewritten_bytes = 0
        """The length of the journal after its last rewrite."""

    async def record_prepared(self, promise: PreparedEpoch, forming: bool) -> Result[None, JournalFault]:
        if promise.epoch <= self.prepared.epoch:
            raise AssertionError(f"epoch {promise.epoch} promised after {self.prepared.epoch}")
        match await self.journal.append(_encode(PreparedEntry(promise, forming))):
            case Failure(fault):
                return Failure(fault)
        self.prepared = promise
        self.ever_used = self.ever_used or not forming
        return Success(None)

    async def record_view(self, view: View) -> Result[None, JournalFault]:
        if view.epoch < self.prepared.epoch:
            raise AssertionError(f"view of epoch {view.epoch} accepted after promising {self.prepared.epoch}")
        match await self.journal.append(_encode(AcceptedEntry(view))):
            case Failure(fault):
                return Failure(fault)
        self._accept(view)
        return Success(None)

    def _accept(self, view: View) -> None:
        self.view = view
        self.ever_used = True
        if view.epoch > self.prepared.epoch:
            self.prepared = PreparedEpoch(view.epoch, view.primary)

    async def append_batch(self, encoded: bytes, sequence: int) -> Result[None, JournalFault]:
        if sequence != self.sequence + 1:
            raise AssertionError(f"batch {sequence} after batch {self.sequence}")
        match await self.journal.append(encoded):
            case Failure(fault):
                return Failure(fault)
        self.sequence = sequence
        return Success(None)

    async def probe(self) -> Result[None, JournalFault]:
        return await self.journal.append(_encode(ProbeEntry()))

    async def rewrite(
        self, contents: Callable[[], Contents], timeout: Seconds, promise: PreparedEpoch | None = None
    ) -> Result[None, JournalFault]:
        """Replaces the journal by ``contents``. The sequence of its last batch becomes that of the store."""
        promise = promise or self.prepared
        written = Contents()

        def payloads() -> Sequence[bytes]:
            nonlocal written
            written = contents()
            return self._payloads(written, promise)

        match await self.journal.rewrite(payloads, timeout):
            case Failure(fault):
                return Failure(fault)
        self.prepared = promise
        self.sequence = (
            written.batches[-1].sequence if written.batches else written.snapshot.sequence if written.snapshot else 0
        )
        self.ever_used = self.ever_used or written.snapshot is not None
        self.rewritten_bytes = self.journal.length
        return Success(None)

    def _payloads(self, contents: Contents, promise: PreparedEpoch) -> list[bytes]:
        entries: list[Entry] = [InitializedEntry(self.incarnation), PreparedEntry(promise, not self.ever_used)]
        if self.view is not None:
            entries.append(AcceptedEntry(self.view))
        if contents.snapshot is not None:
            entries.append(contents.snapshot)
        entries.extend(contents.batches)
        return [_encode(entry) for entry in entries]

    def compact(self, contents: Contents) -> Coroutine[Any, Any, Result[None, JournalFault]]:
        """Shortens the journal. ``contents`` is the complete state up to ``sequence``; nothing else changes."""
        return self._compact(self.journal.compact(self._payloads(contents, self.prepared)))

    async def _compact(self, compaction: Coroutine[Any, Any, Result[None, JournalFault]]) -> Result[None, JournalFault]:
        outcome = await compaction
        if isinstance(outcome, Success):
            self.rewritten_bytes = self.journal.length
        return outcome

    async def reload(self, timeout: Seconds) -> Result[Contents, JournalFault]:
        """Reads everything back from the disk; every failure of a write is recovered from in this way."""
        match await self.journal.open(timeout):
            case Failure(fault):
                return Failure(fault)
            case Success(payloads):
                return Success(self._read_entries(payloads))
        raise AssertionError("a result is a success or a failure")

    def _read_entries(self, payloads: Sequence[bytes]) -> Contents:
        self.prepared, self.ever_used, self.view, self.sequence = NOTHING_PREPARED, False, None, 0
        contents = Contents()
        read = 0
        for payload in payloads:
            read += len(payload)
            entry = _decoder.decode(payload)
            match entry:
                case InitializedEntry(incarnation):
                    self.incarnation = incarnation
                case PreparedEntry(promise, forming):
                    self.prepared = promise
                    self.ever_used = self.ever_used or not forming
                case AcceptedEntry(view):
                    self._accept(view)
                case SnapshotEntry():
                    contents = Contents(entry, [])
                    self.sequence = entry.sequence
                    self.ever_used = True
                    self.rewritten_bytes = read
                case BatchEntry():
                    if entry.sequence != self.sequence + 1:
                        raise AssertionError(f"batch {entry.sequence} after batch {self.sequence} in the journal")
                    contents.batches.append(entry)
                    self.sequence = entry.sequence
        return contents


def encode_batch(sequence: int, epoch: Epoch, records: Sequence[StateRecord]) -> bytes:
    return _encode(BatchEntry(sequence, epoch, tuple(records)))


def decode_batch(encoded: bytes) -> BatchEntry:
    return msgspec.msgpack.decode(encoded, type=BatchEntry)


async def open_store(
    context: Context, start_empty_when_damaged: bool = False, retry_backoff: Seconds | None = None
) -> Result[tuple[ControlStore, Contents], StoreFailure]:
    """Locks the data folder and reads its journal; in an empty folder it creates a journal of a new incarnation.

    A damaged journal is a fault, unless the operator set ``start_empty_when_damaged``: then the journal is
    renamed, and the daemon starts empty, as a new incarnation, and receives the state from its peers.
    With ``retry_backoff``, opening a disk that fails or is full is retried until it succeeds.
    """
    while True:
        opened = await _open_store(context, start_empty_when_damaged)
        match opened:
            case Failure(StoreFailure(kind="disk", detail=detail)) if retry_backoff is not None:
                context.log.event("control-store-waits", detail=detail)
                await context.clock.sleep(retry_backoff)
            case _:
                return opened


async def _open_store(
    context: Context, start_empty_when_damaged: bool
) -> Result[tuple[ControlStore, Contents], StoreFailure]:
    timeout = Seconds(60.0)
    match await context.disk.lock():
        case Failure(fault):
            kind: Literal["locked", "disk"] = "locked" if fault.kind == "locked" else "disk"
            return Failure(StoreFailure(kind, f"the data folder cannot be locked: {fault.detail}"))
    journal = Journal(context, JOURNAL_NAME)
    store = ControlStore(context, journal, Incarnation(""))
    match await store.reload(timeout):
        case Success(contents):
            context.log.event(
                "control-store-opened",
                incarnation=store.incarnation,
                promised=store.prepared.epoch,
                view=store.view.epoch if store.view else None,
                sequence=store.sequence,
                journal_bytes=journal.length,
            )
            return Success((store, contents))
        case Failure(problem):
            pass
    if problem.kind == "damaged":
        context.log.event("journal-damaged", journal=JOURNAL_NAME, offset=problem.offset, detail=problem.detail)
        if not start_empty_when_damaged:
            return Failure(
                StoreFailure(
                    "damaged",
                    f"{JOURNAL_NAME} is damaged at byte {problem.offset} ({problem.detail}); "
                    "to refill this machine from its peers, start it once with --begin-empty-when-damaged",
                    problem.offset,
                )
            )
        aside = f"{JOURNAL_NAME}.damaged-{int(context.clock.wall())}"
        match await context.disk.rename(JOURNAL_NAME, aside):
            case Failure(fault):
                return Failure(
                    StoreFailure("disk", f"the damaged {JOURNAL_NAME} cannot be renamed to {aside}: {fault.detail}")
                )
        context.log.event("journal-put-aside", file=aside)
    elif problem.kind != "missing":
        return Failure(StoreFailure("disk", f"{JOURNAL_NAME} cannot be read: {problem.kind} {problem.detail}"))
    store.incarnation = Incarnation(context.random.randbytes(8).hex())
    match await journal.create([_encode(InitializedEntry(store.incarnation))], timeout):
        case Failure(problem):
            return Failure(StoreFailure("disk", f"{JOURNAL_NAME} cannot be created: {problem.kind} {problem.detail}"))
    context.log.event("control-store-founded", incarnation=store.incarnation)
    return Success((store, Contents()))
