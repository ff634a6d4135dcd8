"""The durable state of one control daemon: its journal on disk (docs/DESIGN.md section 7.1)."""

from __future__ import annotations

from collections.abc import Coroutine, Sequence
from typing import Any, Literal

import msgspec
from returns.result import Failure, Result, Success

from ..context.protocols import Context
from ..identifiers import Epoch, Incarnation, Seconds
from ..journal import Journal, JournalDamagedError, JournalError, JournalMissingError
from .errors import InvariantError, StoreFailure
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
OPEN_TIMEOUT_S = Seconds(60.0)
"""Timeout of reading the journal at the start, and of creating it."""

_decoder = msgspec.msgpack.Decoder(Entry)
_encode = msgspec.msgpack.Encoder().encode


class Contents(msgspec.Struct):
    """State as read from the journal, not yet applied to the appliers."""

    snapshot: SnapshotEntry | None = None
    batches: list[BatchEntry] = []

    def last_sequence(self) -> int:
        """Returns the sequence of the latest batch; 0 when there is no state."""
        if self.batches:
            return self.batches[-1].sequence
        return self.snapshot.sequence if self.snapshot is not None else 0


class ControlStore:
    """The durable state of a member. Its methods are called one at a time, under the lock of ``GuardedStore``.

    The attributes reflect what has been synced to disk: each changes only after its append has succeeded.
    After a failure the caller must call ``reload`` before it uses the store again.
    """

    def __init__(self, context: Context, journal: Journal, incarnation: Incarnation) -> None:
        self.context = context
        self.journal = journal
        self.incarnation = incarnation
        self.prepared = NOTHING_PREPARED
        self.ever_used = False
        """It has accepted a view, prepared an epoch other than to form the first view, or stored state."""
        self.view: View | None = None
        self.sequence = 0
        """The latest batch in the journal."""
        self.rewritten_bytes = 0
        """The length of the journal after its last rewrite."""

    async def record_prepared(self, prepared: PreparedEpoch, forming: bool) -> Result[None, JournalError]:
        """Journals that an epoch is prepared; ``forming`` when the candidate forms the first view."""
        if prepared.epoch <= self.prepared.epoch:
            raise InvariantError(f"epoch {prepared.epoch} prepared after {self.prepared.epoch}")
        match await self.journal.append(_encode(PreparedEntry(prepared, forming))):
            case Failure(fault):
                return Failure(fault)
        self.prepared = prepared
        self.ever_used = self.ever_used or not forming
        return Success(None)

    async def record_view(self, view: View) -> Result[None, JournalError]:
        """Journals an accepted view, which also prepares its epoch for its primary."""
        if view.epoch < self.prepared.epoch:
            raise InvariantError(f"view of epoch {view.epoch} accepted after preparing {self.prepared.epoch}")
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

    async def append_batch(self, encoded: bytes, sequence: int) -> Result[None, JournalError]:
        """Journals an encoded batch, which must be the next one."""
        if sequence != self.sequence + 1:
            raise InvariantError(f"batch {sequence} after batch {self.sequence}")
        match await self.journal.append(encoded):
            case Failure(fault):
                return Failure(fault)
        self.sequence = sequence
        return Success(None)

    async def probe(self) -> Result[None, JournalError]:
        """Journals an entry without content, which shows that the disk accepts writes."""
        return await self.journal.append(_encode(ProbeEntry()))

    async def rewrite(
        self, contents: Contents, timeout: Seconds, prepared: PreparedEpoch
    ) -> Result[None, JournalError]:
        """Replaces the journal by ``contents`` and the prepared epoch under which they were received.

        The sequence of the last batch in ``contents`` becomes that of the store.
        """
        match await self.journal.rewrite(lambda: self._payloads(contents, prepared), timeout):
            case Failure(fault):
                return Failure(fault)
        self.prepared = prepared
        self.sequence = contents.last_sequence()
        self.ever_used = self.ever_used or contents.snapshot is not None
        self.rewritten_bytes = self.journal.length
        return Success(None)

    def _payloads(self, contents: Contents, prepared: PreparedEpoch) -> list[bytes]:
        entries: list[Entry] = [InitializedEntry(self.incarnation), PreparedEntry(prepared, not self.ever_used)]
        if self.view is not None:
            entries.append(AcceptedEntry(self.view))
        if contents.snapshot is not None:
            entries.append(contents.snapshot)
        entries.extend(contents.batches)
        return [_encode(entry) for entry in entries]

    def compact(self, contents: Contents) -> Coroutine[Any, Any, Result[None, JournalError]]:
        """Shortens the journal. ``contents`` is the complete state up to ``sequence``; nothing else changes."""
        return self._compact(self.journal.compact(self._payloads(contents, self.prepared)))

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
        self.prepared, self.ever_used, self.view, self.sequence = NOTHING_PREPARED, False, None, 0
        contents = Contents()
        read = 0
        for payload in payloads:
            read += len(payload)
            entry = _decoder.decode(payload)
            match entry:
                case InitializedEntry(incarnation):
                    self.incarnation = incarnation
                case PreparedEntry(prepared, forming):
                    self.prepared = prepared
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
                        raise InvariantError(f"batch {entry.sequence} after batch {self.sequence} in the journal")
                    contents.batches.append(entry)
                    self.sequence = entry.sequence
        return contents


def encode_batch(sequence: int, epoch: Epoch, records: Sequence[StateRecord]) -> bytes:
    """Encodes a batch as it is journaled and sent to backups."""
    return _encode(BatchEntry(sequence, epoch, tuple(records)))


def decode_batch(encoded: bytes) -> BatchEntry:
    """Decodes a batch that the primary encoded with ``encode_batch``."""
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
                context.log.event("store-open-retried", detail=detail)
                await context.clock.sleep(retry_backoff)
            case _:
                return opened


async def _open_store(
    context: Context, start_empty_when_damaged: bool
) -> Result[tuple[ControlStore, Contents], StoreFailure]:
    match await context.disk.lock():
        case Failure(fault):
            kind: Literal["locked", "disk"] = "locked" if fault.kind == "locked" else "disk"
            return Failure(StoreFailure(kind, f"the data folder cannot be locked: {fault.detail}"))
    store = ControlStore(context, Journal(context, JOURNAL_NAME), Incarnation(""))
    match await store.reload(OPEN_TIMEOUT_S):
        case Success(contents):
            _log_opened(context, store)
            return Success((store, contents))
        case Failure(fault):
            failure = await _prepare_to_create(context, fault, start_empty_when_damaged)
            return Failure(failure) if failure is not None else await _create_store(context, store)
    raise AssertionError("a result is a success or a failure")


def _log_opened(context: Context, store: ControlStore) -> None:
    context.log.event(
        "store-opened",
        incarnation=store.incarnation,
        prepared_epoch=store.prepared.epoch,
        view=store.view.epoch if store.view else None,
        sequence=store.sequence,
        journal_bytes=store.journal.length,
    )


async def _prepare_to_create(
    context: Context, fault: JournalError, start_empty_when_damaged: bool
) -> StoreFailure | None:
    """Returns why no journal may be created in place of one that cannot be read, or None when one may."""
    if isinstance(fault, JournalMissingError):
        return None
    if not isinstance(fault, JournalDamagedError):
        return StoreFailure("disk", f"{JOURNAL_NAME} cannot be read: {fault.kind} {fault.detail}")
    context.log.event("journal-damaged", journal=JOURNAL_NAME, offset=fault.offset, detail=fault.detail)
    if not start_empty_when_damaged:
        return StoreFailure(
            "damaged",
            f"{JOURNAL_NAME} is damaged at byte {fault.offset} ({fault.detail}); "
            "to refill this machine from its peers, start it once with --begin-empty-when-damaged",
            fault.offset,
        )
    return await _set_journal_aside(context)


async def _set_journal_aside(context: Context) -> StoreFailure | None:
    """Renames the damaged journal; returns why that failed, if it did."""
    aside = f"{JOURNAL_NAME}.damaged-{int(context.clock.wall())}"
    match await context.disk.rename(JOURNAL_NAME, aside):
        case Failure(fault):
            return StoreFailure("disk", f"the damaged {JOURNAL_NAME} cannot be renamed to {aside}: {fault.detail}")
    context.log.event("journal-set-aside", file=aside)
    return None


async def _create_store(context: Context, store: ControlStore) -> Result[tuple[ControlStore, Contents], StoreFailure]:
    """Creates the journal of a new incarnation."""
    store.incarnation = Incarnation(context.random.randbytes(8).hex())
    match await store.journal.create([_encode(InitializedEntry(store.incarnation))], OPEN_TIMEOUT_S):
        case Failure(fault):
            return Failure(StoreFailure("disk", f"{JOURNAL_NAME} cannot be created: {fault.kind} {fault.detail}"))
    context.log.event("store-initialized", incarnation=store.incarnation)
    return Success((store, Contents()))
