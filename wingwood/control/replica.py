"""The replicated state of one control daemon: appliers and batches not yet applied (docs/DESIGN.md section 7.2.6)."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from .errors import InvariantError
from .journal_entries import BatchEntry, SnapshotEntry
from .protocols import Applier
from .store import Contents


class Replica:
    """The appliers of one daemon, and the journaled batches that are not applied to them yet.

    ``applied`` is the latest batch applied to the appliers; -1 means that their state is invalid.
    ``committed`` is the latest batch known to be durable on the primary and all backups. Committed batches
    are the same on every daemon, so this knowledge survives a change of role.
    """

    def __init__(self, appliers: Sequence[Applier], contents: Contents) -> None:
        self.appliers = {applier.kind: applier for applier in appliers}
        if len(self.appliers) != len(appliers):
            raise ValueError("two appliers of one kind")
        self.committed = 0
        self.applied = -1
        self._announced = -1
        self._unapplied = contents
        self._needs_load = False
        self._on_commit: list[Callable[[], None]] = []

    def on_commit(self, callback: Callable[[], None]) -> None:
        """Calls back after each advance of the committed state, when the appliers hold exactly that state."""
        self._on_commit.append(callback)

    def load(self, contents: Contents) -> None:
        """Replaces all state by the contents of a journal, none of which are applied yet."""
        self._unapplied = contents
        self.applied = -1
        self._needs_load = False

    @property
    def needs_load(self) -> bool:
        """Whether the replica must be loaded from the journal before it may be used."""
        return self._needs_load

    def invalidate(self) -> None:
        """Requires a load from the journal, which the state may have got ahead of."""
        self._needs_load = True

    def receive(self, batch: BatchEntry) -> None:
        """Adds a batch that was journaled here and is not yet known to be committed."""
        self._unapplied.batches.append(batch)

    def apply_up_to(self, sequence: int | None) -> None:
        """Applies the journaled batches up to and including ``sequence`` (None: all of them)."""
        if self.applied < 0 and not self._restore_snapshot(sequence):
            return
        batches = self._unapplied.batches
        applied_count = 0
        for batch in batches:
            if sequence is not None and batch.sequence > sequence:
                break
            for record in batch.records:
                self.appliers[record.kind].apply(record.record)
            self.applied = batch.sequence
            applied_count += 1
        del batches[:applied_count]

    def _restore_snapshot(self, sequence: int | None) -> bool:
        """Replaces the state of the appliers by the snapshot, unless that is later than ``sequence``."""
        snapshot = self._unapplied.snapshot
        start = snapshot.sequence if snapshot is not None else 0
        if sequence is not None and start > sequence:
            return False
        states = snapshot.parts if snapshot is not None else {}
        for kind in sorted(set(states) - set(self.appliers)):
            raise InvariantError(f"no applier for state of kind {kind}")
        for kind, applier in self.appliers.items():
            applier.restore(states.get(kind))
        self.applied = start
        self._unapplied.snapshot = None
        return True

    def commit(self, sequence: int) -> None:
        """Commits all batches up to ``sequence``.

        The caller knows that they are durable on the primary and all backups and that this journal has the same ones.
        """
        self.committed = max(self.committed, sequence)
        self.apply_up_to(self.committed)
        if self.applied == self.committed and self._announced != self.committed:
            self._announced = self.committed
            for callback in self._on_commit:
                callback()

    def snapshot(self) -> SnapshotEntry:
        """Returns the state of the appliers after the latest applied batch."""
        return SnapshotEntry(self.applied, {kind: applier.snapshot() for kind, applier in self.appliers.items()})

    def contents(self) -> Contents:
        """Returns the complete state, applied or not, for a rewrite of the journal."""
        if self.applied < 0:
            return Contents(self._unapplied.snapshot, list(self._unapplied.batches))
        return Contents(self.snapshot(), list(self._unapplied.batches))
