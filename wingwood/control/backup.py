"""A backup: journals the batches of the primary and installs its complete state (docs/DESIGN.md section 7.2)."""

from __future__ import annotations

import msgspec
from returns.result import Failure

from ..context.protocols import Context
from ..identifiers import Epoch
from ..transport.frames import Identity
from ..transport.messenger import Messenger
from .control_options import JournalOptions
from .guarded_store import GuardedStore
from .journal_entries import SnapshotEntry
from .journal_rewriting import JournalRewriter
from .member_state import MemberState
from .messages import ControlCommitted, ControlReplicate, ControlReplicated, ControlStateChunk
from .own_leadership import OwnLeadership
from .replica import Replica
from .state_transfer import StateReceiver, Transfer, transfer_of
from .store import Contents, decode_batch
from .views import PreparedEpoch

REWRITE_FACTOR = 1.5
"""A backup rewrites its journal at this many times the length at which the primary does.

So the two do not rewrite at the same time.
"""


class Rejection(msgspec.Struct, frozen=True):
    """Why a batch or a state was not journaled; the primary logs ``reason``."""

    reason: str


ANOTHER_INCARNATION = Rejection("another incarnation")
NEWER_STATE_INSTALLED = Rejection("a newer state was taken")


class ReceivedBatch(msgspec.Struct, frozen=True):
    """Identifies a batch that a backup journaled: the epoch under which it came, and the sequence before it."""

    epoch: Epoch
    before: int


class Backup:
    """Answers a primary that replicates to this member.

    Owns the identity of the latest batch received and the transfer of a state in progress. Batches and states
    are written under the lock of the store, and their epoch is checked under the same lock, so that none is
    journaled after a higher epoch was prepared.
    """

    def __init__(
        self,
        context: Context,
        options: JournalOptions,
        guarded: GuardedStore,
        replica: Replica,
        state: MemberState,
        leadership: OwnLeadership,
        rewriter: JournalRewriter,
    ) -> None:
        self._context = context
        self._journal_options = options
        self._guarded = guarded
        self._store = guarded.store
        self._replica = replica
        self._state = state
        self._leadership = leadership
        self._rewriter = rewriter
        self._own_incarnation = state.own.incarnation
        self._last_received: ReceivedBatch | None = None
        self._state_receiver = StateReceiver()

    def register(self, messenger: Messenger) -> None:
        """Registers the handlers of the messages that this part answers."""
        messenger.on_call(ControlReplicate, self._on_replicate)
        messenger.on_call(ControlStateChunk, self._on_state_chunk)
        messenger.on_post(ControlCommitted, self._on_committed)

    def _replicated(self, rejection: Rejection | None) -> ControlReplicated:
        reason = "" if rejection is None else rejection.reason
        return ControlReplicated(self._own_incarnation, rejection is None, self._store.prepared.epoch, reason)

    def _disk_faulty(self) -> Rejection:
        return Rejection(f"sick: {self._guarded.fault}")

    # -- batches

    def epoch_changed(self) -> None:
        """Called when a view of another epoch was accepted, under which batches are counted anew."""
        self._last_received = None

    async def _on_replicate(self, _: Identity, message: ControlReplicate) -> ControlReplicated:
        if message.to != self._own_incarnation:
            return self._replicated(ANOTHER_INCARNATION)
        async with self._guarded.lock:
            rejection = await self.journal_batch(message)
            if rejection is None:
                self._state.primary_heard()
                self.advance_commit(message.epoch, message.committed)
                self._rewriter.rewrite_if_long(REWRITE_FACTOR)
            return self._replicated(rejection)

    async def journal_batch(self, message: ControlReplicate) -> Rejection | None:
        """Journals the batch, unless it was journaled already; returns why it is rejected, if it is.

        The caller has locked the store.
        """
        rejection = self._batch_rejection(message.epoch)
        if rejection is not None:
            return rejection
        received = ReceivedBatch(message.epoch, message.before)
        if message.entry and self._last_received == received:
            return None
        if message.before != self._store.sequence:
            return Rejection(f"has batch {self._store.sequence}")
        if message.entry:
            match await self._store.append_batch(message.entry, message.before + 1):
                case Failure(fault):
                    self._guarded.mark_faulty(fault)
                    return Rejection(f"sick: {fault.kind}")
            self._last_received = received
            self._replica.receive(decode_batch(message.entry))
        return None

    def _batch_rejection(self, epoch: Epoch) -> Rejection | None:
        """Returns why batches under that epoch are rejected, or None when they are accepted."""
        if self._guarded.fault is not None or self._replica.needs_load:
            return self._disk_faulty()
        if epoch < self._store.prepared.epoch:
            return Rejection("promised a higher epoch")
        if not self._is_backup_under(epoch):
            return Rejection("not a backup under this epoch")
        return None

    def _is_backup_under(self, epoch: Epoch) -> bool:
        view = self._store.view
        return view is not None and view.epoch == epoch and self._own_incarnation in view.backups

    def _on_committed(self, _: Identity, message: ControlCommitted) -> None:
        if message.to == self._own_incarnation:
            self.advance_commit(message.epoch, message.committed)

    def advance_commit(self, epoch: Epoch, committed: int) -> None:
        """Commits all batches up to ``committed``, if this member is a backup under that epoch and has them."""
        if not self._is_backup_under(epoch) or self._guarded.fault is not None or self._replica.needs_load:
            return
        if committed <= self._store.sequence:
            self._replica.commit(committed)

    # -- the complete state

    async def _on_state_chunk(self, _: Identity, message: ControlStateChunk) -> ControlReplicated:
        if message.to != self._own_incarnation:
            return self._replicated(ANOTHER_INCARNATION)
        return self._replicated(await self._receive_chunk(message))

    async def _receive_chunk(self, chunk: ControlStateChunk) -> Rejection | None:
        transfer = transfer_of(chunk)
        if self._state_receiver.is_outdated(transfer):
            return NEWER_STATE_INSTALLED
        data = self._state_receiver.add(chunk)
        if data is None:
            return None
        async with self._guarded.lock:
            return self._state_rejection(transfer) or await self._install_state(transfer, data)

    def _state_rejection(self, transfer: Transfer) -> Rejection | None:
        """Returns why this state is rejected, or None when it may be installed."""
        prepared = self._store.prepared
        if self._guarded.fault is not None:
            return self._disk_faulty()
        if self._state_receiver.is_outdated(transfer):
            return NEWER_STATE_INSTALLED
        if transfer.epoch < prepared.epoch:
            return Rejection("promised another epoch")
        if transfer.epoch == prepared.epoch and transfer.sender != prepared.candidate:
            return Rejection("promised another epoch")
        return None

    async def _install_state(self, transfer: Transfer, data: bytes) -> Rejection | None:
        """Replaces the journal and the state of this member by the received state."""
        self._leadership.step_down(f"takes the state of epoch {transfer.epoch}")
        contents = Contents(msgspec.msgpack.decode(data, type=SnapshotEntry), [])
        prepared = PreparedEpoch(transfer.epoch, transfer.sender)
        match await self._store.rewrite(contents, self._journal_options.rewrite_timeout(len(data)), prepared):
            case Failure(fault):
                self._guarded.mark_faulty(fault)
                return Rejection(f"sick: {fault.kind}")
        self._state_receiver.record_installed(transfer)
        self._replica.load(contents)
        self._last_received = None
        self._state.primary_heard()
        self._context.log.event("state-installed", epoch=transfer.epoch, sequence=self._store.sequence, bytes=len(data))
        return None
