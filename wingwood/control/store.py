"""The durable state of one control daemon: its journal on disk (docs/DESIGN.md section 7.1)."""

from __future__ import annotations

from collections.abc import Callable, Coroutine, Sequence
from typing import Any, Literal

import msgspec
from returns.result import Failure, Result, Success

from ..context.protocols import Context
from ..identifiers import Epoch, Incarnation, Seconds
from ..journal import Journal, JournalDamagedError, JournalError
from .messages import (
    AcceptedEntry,
    BatchEntry,
    Entry,
    FoundedEntry,
    ProbeEntry,
    Promise,
    PromisedEntry,
    SnapshotEntry,
    StateRecord,
    View,
)

JOURNAL_NAME = "control.journal"
NO_PROMISE = Promise(Epoch(0), Incarnation(""))

_decoder = msgspec.msgpack.Decoder(Entry)
_encode = msgspec.msgpack.Encoder().encode


class StoreFault(msgspec.Struct, frozen=True):
    """Why a data folder cannot be used; ``detail`` is a sentence for the operator."""

    kind: Literal["locked", "damaged", "disk"]
    detail: str
    offset: int = 0


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
        self.promise = NO_PROMISE
        self.ever_used = False
        """It has accepted a view, granted a promise other than to form the first view, or held state."""
        self.view: View | None = None
        self.sequence = 0
        """The latest batch in the journal."""
        self.rewritten_bytes = 0
        """The length of the journal after its last rewrite."""

    async def record_promise(self, promise: Promise, forming: bool) -> Result[None, JournalError]:
        if promise.epoch <= self.promise.epoch:
            raise AssertionError(f"epoch {promise.epoch} promised after {self.promise.epoch}")
        match await self.journal.append(_encode(PromisedEntry(promise, forming))):
            case Failure(fault):
                return Failure(fault)
        self.promise = promise
        self.ever_used = self.ever_used or not forming
        return Success(None)

    async def record_view(self, view: View) -> Result[None, JournalError]:
        if view.epoch < self.promise.epoch:
            raise AssertionError(f"view of epoch {view.epoch} accepted after promising {self.promise.epoch}")
        match await self.journal.append(_encode(AcceptedEntry(view))):
            case Failure(fault):
                return Failure(fault)
        self._accept(view)
        return Success(None)

    def _accept(self, view: View) -> None:
        self.view = view
        self.ever_used = True
        if view.epoch > self.promise.epoch:
            self.promise = Promise(view.epoch, view.primary)

    async def append_batch(self, encoded: bytes, sequence: int) -> Result[None, JournalError]:
        if sequence != self.sequence + 1:
            raise AssertionError(f"batch {sequence} after batch {self.sequence}")
        match await self.journal.append(encoded):
            case Failure(fault):
                return Failure(fault)
        self.sequence = sequence
        return Success(None)

    async def probe(self) -> Result[None, JournalError]:
        return await self.journal.append(_encode(ProbeEntry()))

    async def rewrite(
        self, contents: Callable[[], Contents], timeout: Seconds, promise: Promise | None = None
    ) -> Result[None, JournalError]:
        """Replaces the journal by ``contents``. The sequence of its last batch becomes that of the store."""
        promise = promise or self.promise
        written = Contents()

        def payloads() -> Sequence[bytes]:
            nonlocal written
            written = contents()
            return self._payloads(written, promise)

        match await self.journal.rewrite(payloads, timeout):
            case Failure(fault):
                return Failure(fault)
        self.promise = promise
        self.sequence = (
            written.batches[-1].sequence if written.batches else written.snapshot.sequence if written.snapshot else 0
        )
        self.ever_used = self.ever_used or written.snapshot is not None
        self.rewritten_bytes = self.journal.length
        return Success(None)

    def _payloads(self, contents: Contents, promise: Promise) -> list[bytes]:
        entries: list[Entry] = [FoundedEntry(self.incarnation), PromisedEntry(promise, not self.ever_used)]
        if self.view is not None:
            entries.append(AcceptedEntry(self.view))
        if contents.snapshot is not None:
            entries.append(contents.snapshot)
        entries.extend(contents.batches)
        return [_encode(entry) for entry in entries]

    def compact(self, contents: Contents) -> Coroutine[Any, Any, Result[None, JournalError]]:
        """Shortens the journal. ``contents`` is the complete state up to ``sequence``; nothing else changes."""
        return self._compact(self.journal.compact(self._payloads(contents, self.promise)))

    async def _compact(self, compaction: Coroutine[Any, Any, Result[None, JournalError]]) -> Result[None, JournalError]:
        outcome = await compaction
        if isinstance(outcome, Success):
            self.rewritten_bytes = self.journal.length
        return outcome

    async def reload(self, timeout: Seconds) -> Result[Contents, JournalError]:
        """Reads everything back from the disk; every failure of a write is recovered from in this way."""
        match await self.journal.open(timeout):
            case Failure(fault):
                return Failure(fault)
            case Success(payloads):
                return Success(self._read_entries(payloads))
        raise AssertionError("a result is a success or a failure")

    def _read_entries(self, payloads: Sequence[bytes]) -> Contents:
        self.promise, self.ever_used, self.view, self.sequence = NO_PROMISE, False, None, 0
        contents = Contents()
        read = 0
        for payload in payloads:
            read += len(payload)
            entry = _decoder.decode(payload)
            match entry:
                case FoundedEntry(incarnation):
                    self.incarnation = incarnation
                case PromisedEntry(promise, forming):
                    self.promise = promise
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
    context: Context, start_empty_when_damaged: bool = False, retry_pause: Seconds | None = None
) -> Result[tuple[ControlStore, Contents], StoreFault]:
    """Locks the data folder and reads its journal; in an empty folder it creates a journal of a new incarnation.

    A damaged journal is a fault, unless the operator set ``start_empty_when_damaged``: then the journal is
    renamed, and the daemon starts empty, as a new incarnation, and receives the state from its peers.
    With ``retry_pause``, opening a disk that fails or is full is retried until it succeeds.
    """
    while True:
        opened = await _open_store(context, start_empty_when_damaged)
        match opened:
            case Failure(StoreFault(kind="disk", detail=detail)) if retry_pause is not None:
                context.log.event("control-store-waits", detail=detail)
                await context.clock.sleep(retry_pause)
            case _:
                return opened


async def _open_store(
    context: Context, start_empty_when_damaged: bool
) -> Result[tuple[ControlStore, Contents], StoreFault]:
    timeout = Seconds(60.0)
    match await context.disk.lock():
        case Failure(fault):
            kind: Literal["locked", "disk"] = "locked" if fault.kind == "locked" else "disk"
            return Failure(StoreFault(kind, f"the data folder cannot be locked: {fault.detail}"))
    journal = Journal(context, JOURNAL_NAME)
    store = ControlStore(context, journal, Incarnation(""))
    match await store.reload(timeout):
        case Success(contents):
            context.log.event(
                "control-store-opened",
                incarnation=store.incarnation,
                promised=store.promise.epoch,
                view=store.view.epoch if store.view else None,
                sequence=store.sequence,
                journal_bytes=journal.length,
            )
            return Success((store, contents))
        case Failure(problem):
            pass
    if isinstance(problem, JournalDamagedError):
        context.log.event("journal-damaged", journal=JOURNAL_NAME, offset=problem.offset, detail=problem.detail)
        if not start_empty_when_damaged:
            return Failure(
                StoreFault(
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
                    StoreFault("disk", f"the damaged {JOURNAL_NAME} cannot be renamed to {aside}: {fault.detail}")
                )
        context.log.event("journal-put-aside", file=aside)
    elif problem.kind != "missing":
        return Failure(StoreFault("disk", f"{JOURNAL_NAME} cannot be read: {problem.kind} {problem.detail}"))
    store.incarnation = Incarnation(context.random.randbytes(8).hex())
    match await journal.create([_encode(FoundedEntry(store.incarnation))], timeout):
        case Failure(problem):
            return Failure(StoreFault("disk", f"{JOURNAL_NAME} cannot be created: {problem.kind} {problem.detail}"))
    context.log.event("control-store-founded", incarnation=store.incarnation)
    return Success((store, Contents()))
