"""The store of a member together with its lock and the faults of its disk (docs/DESIGN.md section 7.6)."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from returns.result import Failure, Result, Success

from ..context.protocols import Context
from ..identifiers import Seconds
from ..journal import JournalDamagedError, JournalError, JournalMissingError
from .changes import ChangeSignal
from .control_options import ControlOptions
from .member_state import MemberState
from .own_leadership import OwnLeadership
from .replica import Replica
from .store import ControlStore

RELOAD_TIMEOUT_S = Seconds(5.0)


class GuardedStore:
    """Prevents the use of a store whose disk failed, and recovers it.

    Owns the lock of the store and its disk fault. Every write happens under ``lock``, and whoever waited for
    the lock checks ``fault`` again, since the disk may have failed meanwhile. ``on_data_lost`` is called when
    the data folder was emptied; without it the process is stopped.
    """

    def __init__(
        self,
        context: Context,
        store: ControlStore,
        replica: Replica,
        options: ControlOptions,
        state: MemberState,
        leadership: OwnLeadership,
        changes: ChangeSignal,
        on_data_lost: Callable[[], None] | None,
    ) -> None:
        self.store = store
        self.lock = asyncio.Lock()
        self._context = context
        self._replica = replica
        self._check_interval = options.journal.check_interval
        self._state = state
        self._leadership = leadership
        self._changes = changes
        self._on_data_lost = on_data_lost
        self._fault: str | None = None

    @property
    def fault(self) -> str | None:
        """Why the store may not be used; None when it may. Cleared once the journal was read back."""
        return self._fault

    def mark_faulty(self, fault: JournalError) -> None:
        """Marks the store unusable: nothing is prepared, accepted or acknowledged until the journal was read back."""
        if self._fault is None:
            self._context.log.event("disk-fault-detected", kind=fault.kind, detail=fault.detail)
        self._record_fault(fault)
        self._replica.invalidate()
        self._leadership.step_down(f"own disk: {fault.kind}")
        self._changes.notify()

    def _record_fault(self, fault: JournalError) -> None:
        self._fault = f"{fault.kind} {fault.detail}"

    def write_succeeded(self, outcome: Result[None, JournalError]) -> bool:
        """Returns whether a write succeeded; after a failed one the store is marked as faulty."""
        match outcome:
            case Failure(fault):
                self.mark_faulty(fault)
                return False
        return True

    # -- recovery

    async def recover(self) -> None:
        """Reads the journal back and checks with a probe entry that it accepts writes, if either is needed."""
        async with self.lock:
            if self._fault is not None or self._replica.needs_load:
                await self._read_back()

    async def _read_back(self) -> None:
        match await self.store.reload(RELOAD_TIMEOUT_S):
            case Failure(fault):
                self._handle_unreadable(fault)
                return
            case Success(contents):
                pass
        if self._fault is not None:
            match await self.store.probe():
                case Failure(fault):
                    self._record_fault(fault)
                    return
            self._context.log.event("disk-recovered", sequence=self.store.sequence)
        self._replica.load(contents)
        self._fault = None
        self._changes.notify()

    def _handle_unreadable(self, fault: JournalError) -> None:
        self._record_fault(fault)
        if isinstance(fault, JournalMissingError):
            self._handle_data_loss()
        elif isinstance(fault, JournalDamagedError):
            self._context.log.event("journal-damaged", offset=fault.offset, detail=fault.detail)
            self._context.tasks.stop_process(f"the control journal is damaged at byte {fault.offset}")

    def _handle_data_loss(self) -> None:
        detail = "the data folder was emptied while this process was running"
        self._context.log.event("data-folder-emptied", detail=detail)
        if self._on_data_lost is not None:
            self._on_data_lost()
        else:
            self._context.tasks.stop_process(detail)

    # -- checks without a write

    async def watch(self) -> None:
        """Checks at regular intervals that the journal file still exists, even when nothing is written."""
        while not self._state.stopped:
            await self._context.clock.sleep(self._check_interval)
            async with self.lock:
                if self._fault is None:
                    await self._check_journal()

    async def _check_journal(self) -> None:
        match await self.store.journal.check():
            case Failure(fault):
                self.mark_faulty(fault)
                if isinstance(fault, JournalMissingError):
                    self._handle_unreadable(fault)
