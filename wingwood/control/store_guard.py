"""Faults of a member's disk, and the recovery from them (docs/DESIGN.md section 7.6)."""

from __future__ import annotations

from returns.result import Failure, Result, Success

from ..identifiers import Seconds
from ..journal import JournalDamagedError, JournalError
from .journal_rewriting import JournalRewriter
from .member import Member, MemberSetup

RELOAD_TIMEOUT_S = Seconds(5.0)


class StoreGuard(Member):
    """Prevents the use of a store whose disk failed, and recovers it."""

    def __init__(self, setup: MemberSetup) -> None:
        super().__init__(setup)
        self._on_data_lost = setup.on_data_lost
        self._rewriter = JournalRewriter(
            self._context, self._store, self._replica, self._limits, self._mark_disk_faulty
        )

    def _mark_disk_faulty(self, fault: JournalError) -> None:
        """Marks the store unusable: nothing is promised, accepted or acknowledged until the journal was read back."""
        if self._disk_fault is None:
            self._log("control-disk-sick", kind=fault.kind, detail=fault.detail)
        self._disk_fault = f"{fault.kind} {fault.detail}"
        self._stale = True
        if self._leadership is not None:
            self._step_down(f"own disk: {fault.kind}")
        self._changed()

    def _write_succeeded(self, outcome: Result[None, JournalError]) -> bool:
        """Returns whether a write succeeded; after a failed one the store is marked as faulty."""
        match outcome:
            case Failure(fault):
                self._mark_disk_faulty(fault)
                return False
        return True

    async def _recover_disk(self) -> bool:
        """Reads the journal back and checks with a probe entry that it accepts writes; returns whether both succeeded.

        The caller holds the lock of the store.
        """
        if self._disk_fault is None and not self._stale:
            return True
        match await self._store.reload(RELOAD_TIMEOUT_S):
            case Failure(fault):
                self._handle_unreadable(fault)
                return False
            case Success(contents):
                pass
        if self._disk_fault is not None:
            match await self._store.probe():
                case Failure(fault):
                    self._disk_fault = f"{fault.kind} {fault.detail}"
                    return False
            self._log("control-disk-healed", sequence=self._store.sequence)
        self._replica.load(contents)
        self._disk_fault, self._stale = None, False
        self._changed()
        return True

    def _handle_unreadable(self, fault: JournalError) -> None:
        self._disk_fault = f"{fault.kind} {fault.detail}"
        if fault.kind == "missing":
            self._handle_data_loss()
        elif isinstance(fault, JournalDamagedError):
            self._log("journal-damaged", offset=fault.offset, detail=fault.detail)
            self._context.tasks.stop_process(f"the control journal is damaged at byte {fault.offset}")

    def _handle_data_loss(self) -> None:
        detail = "the data folder was emptied while this process was running"
        self._log("control-data-lost", detail=detail)
        if self._on_data_lost is not None:
            self._on_data_lost()
        else:
            self._context.tasks.stop_process(detail)

    async def _check_disk(self) -> None:
        """Checks at regular intervals that the journal file still exists, even when nothing is written."""
        while not self._stopped:
            await self._context.clock.sleep(self._limits.disk_check_interval)
            async with self._lock:
                if self._disk_fault is None:
                    await self._check_journal()

    async def _check_journal(self) -> None:
        match await self._store.journal.check():
            case Failure(fault):
                self._mark_disk_faulty(fault)
                if fault.kind == "missing":
                    self._handle_unreadable(fault)
