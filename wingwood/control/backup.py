"""A backup: journals the batches of the primary and installs its complete state (docs/DESIGN.md section 7.2)."""

from __future__ import annotations

import msgspec
from returns.result import Failure

from ..identifiers import Epoch
from ..transport.frames import Identity
from .journal_entries import SnapshotEntry
from .member import MemberSetup
from .messages import ControlCommitted, ControlReplicate, ControlReplicated, ControlStateChunk
from .state_transfer import StateReceiver, Transfer, transfer_of
from .store import Contents, decode_batch
from .store_guard import StoreGuard
from .views import PreparedEpoch

ANOTHER_INCARNATION = "another incarnation"
NEWER_STATE_INSTALLED = "a newer state was taken"
REWRITE_FACTOR = 1.5
"""A backup rewrites its journal at this many times the length at which the primary does.

So the two do not rewrite at the same time.
"""


class ReceivedBatch(msgspec.Struct, frozen=True):
    """Identifies a batch that a backup journaled: the epoch under which it came, and the sequence before it."""

    epoch: Epoch
    before: int


class Backup(StoreGuard):
    """Answers a primary that replicates to this member.

    Methods return the reason of a refusal as a string, or None when they did what was asked.
    """

    def __init__(self, setup: MemberSetup) -> None:
        super().__init__(setup)
        self._last_received: ReceivedBatch | None = None
        """The latest batch that this member journaled as a backup."""
        self._state_receiver = StateReceiver()

    def _replicated(self, refusal: str | None) -> ControlReplicated:
        return ControlReplicated(self._own_incarnation, refusal is None, self._store.prepared.epoch, refusal or "")

    # -- batches

    async def _on_replicate(self, _: Identity, message: ControlReplicate) -> ControlReplicated:
        if message.to != self._own_incarnation:
            return self._replicated(ANOTHER_INCARNATION)
        async with self._lock:
            refusal = await self._journal_batch(message)
            if refusal is None:
                self._primary_heard_at = self._now()
                self._advance_commit(message.epoch, message.committed)
                self._rewriter.rewrite_if_long(REWRITE_FACTOR)
            return self._replicated(refusal)

    async def _journal_batch(self, message: ControlReplicate) -> str | None:
        refusal = self._batch_refusal(message.epoch)
        if refusal is not None:
            return refusal
        received = ReceivedBatch(message.epoch, message.before)
        if message.entry and self._last_received == received:
            return None
        if message.before != self._store.sequence:
            return f"has batch {self._store.sequence}"
        if message.entry:
            match await self._store.append_batch(message.entry, message.before + 1):
                case Failure(fault):
                    self._mark_disk_faulty(fault)
                    return f"sick: {fault.kind}"
            self._last_received = received
            self._replica.receive(decode_batch(message.entry))
        return None

    def _batch_refusal(self, epoch: Epoch) -> str | None:
        """Returns why batches under that epoch are refused, or None when they are accepted."""
        view = self._store.view
        if self._disk_fault is not None or self._stale:
            return f"sick: {self._disk_fault}"
        if epoch < self._store.prepared.epoch:
            return "promised a higher epoch"
        if view is None or view.epoch != epoch or self._own_incarnation not in view.backups:
            return "not a backup under this epoch"
        return None

    def _on_committed(self, _: Identity, message: ControlCommitted) -> None:
        if message.to == self._own_incarnation:
            self._advance_commit(message.epoch, message.committed)

    def _advance_commit(self, epoch: Epoch, committed: int) -> None:
        view = self._store.view
        if view is None or view.epoch != epoch or self._own_incarnation not in view.backups:
            return
        if self._disk_fault is not None or self._stale:
            return
        if committed <= self._store.sequence:
            self._replica.commit(committed)

    # -- the complete state

    async def _on_state_chunk(self, _: Identity, message: ControlStateChunk) -> ControlReplicated:
        if message.to != self._own_incarnation:
            return self._replicated(ANOTHER_INCARNATION)
        return self._replicated(await self._take_chunk(message))

    async def _take_chunk(self, chunk: ControlStateChunk) -> str | None:
        transfer = transfer_of(chunk)
        if self._state_receiver.is_outdated(transfer):
            return NEWER_STATE_INSTALLED
        data = self._state_receiver.add(chunk)
        if data is None:
            return None
        async with self._lock:
            return self._state_refusal(transfer) or await self._install_state(transfer, data)

    def _state_refusal(self, transfer: Transfer) -> str | None:
        """Returns why this state is refused, or None when it may be installed."""
        held = self._store.prepared
        if self._disk_fault is not None:
            return f"sick: {self._disk_fault}"
        if self._state_receiver.is_outdated(transfer):
            return NEWER_STATE_INSTALLED
        if transfer.epoch < held.epoch or (transfer.epoch == held.epoch and transfer.sender != held.candidate):
            return "promised another epoch"
        return None

    async def _install_state(self, transfer: Transfer, data: bytes) -> str | None:
        """Replaces the journal and the state of this member by the received state."""
        if self._leadership is not None:
            self._step_down(f"takes the state of epoch {transfer.epoch}")
        contents = Contents(msgspec.msgpack.decode(data, type=SnapshotEntry), [])
        promise = PreparedEpoch(transfer.epoch, transfer.sender)
        match await self._store.rewrite(lambda: contents, self._options.rewrite_timeout(len(data)), promise):
            case Failure(fault):
                self._mark_disk_faulty(fault)
                return f"sick: {fault.kind}"
        self._state_receiver.record_installed(transfer)
        self._replica.load(contents)
        self._stale = False
        self._last_received = None
        self._primary_heard_at = self._now()
        self._log("state-taken", epoch=transfer.epoch, sequence=self._store.sequence, bytes=len(data))
        return None
