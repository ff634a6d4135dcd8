"""Rewrites the control journal when it has grown long (docs/DESIGN.md section 7.5)."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any

from returns.result import Failure, Result, Success

from ..context.protocols import Context
from ..identifiers import Instant
from ..journal import JournalError, JournalTimeoutError, JournalUnusableError
from .control_options import JournalOptions
from .replica import Replica
from .store import ControlStore

BACKOFF_AFTER_FAILURE_S = 10.0
"""Backoff before a failed rewrite is attempted again."""


class JournalRewriter:
    """Rewrites the journal in the background when it has grown; at most one rewrite runs at a time.

    ``on_fault`` is called with a failure after which the store may not be used.
    """

    def __init__(
        self,
        context: Context,
        store: ControlStore,
        replica: Replica,
        options: JournalOptions,
        on_fault: Callable[[JournalError], None],
    ) -> None:
        self._context = context
        self._store = store
        self._replica = replica
        self._options = options
        self._on_fault = on_fault
        self._rewriting = False
        self._no_rewrite_before = context.clock.monotonic()

    def rewrite_if_long(self, factor: float) -> None:
        """Starts a rewrite if the journal is long; call it between batches.

        A backup passes a higher ``factor`` than the primary, so that they do not rewrite at the same time.
        """
        if self._is_long(factor) and not self._rewriting and self._context.clock.monotonic() >= self._no_rewrite_before:
            self._rewriting = True
            compaction = self._store.compact(self._replica.contents())
            self._context.tasks.spawn("journal rewrite", self._rewrite(compaction))

    def _is_long(self, factor: float) -> bool:
        store = self._store
        return store.journal.length > factor * max(self._options.rewrite_bytes, 2 * store.rewritten_bytes)

    async def _rewrite(self, compaction: Coroutine[Any, Any, Result[None, JournalError]]) -> None:
        clock, log, journal = self._context.clock, self._context.log, self._store.journal
        started, before = clock.monotonic(), journal.length
        match await compaction:
            case Success(_):
                took = clock.monotonic() - started
                log.event("journal-rewritten", bytes_before=before, bytes_after=journal.length, took=took)
            case Failure(fault):
                log.event("journal-rewrite-failed", kind=fault.kind, detail=fault.detail)
                self._no_rewrite_before = Instant(clock.monotonic() + BACKOFF_AFTER_FAILURE_S)
                if isinstance(fault, JournalTimeoutError) or (
                    not isinstance(fault, JournalUnusableError) and journal.unusable_reason is not None
                ):
                    self._on_fault(fault)
        self._rewriting = False
