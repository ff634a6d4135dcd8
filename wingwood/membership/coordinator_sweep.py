"""The periodic check of a coordinator for expired sessions and for pauses of its process (docs/DESIGN.md section 8)."""

from __future__ import annotations

from ..context.protocols import Context, Task
from ..identifiers import Seconds
from .isolation import IsolationDetector
from .local_sessions import LocalSessions
from .membership_options import MembershipOptions
from .peer_reports import PeerReports
from .warm_up import WarmUp

PAUSE_THRESHOLD_S = Seconds(0.6)
"""When a sweep is later than this, the process was paused."""


class CoordinatorSweep:
    """Ends expired sessions, detects isolation, and extends all timeouts after a pause of this process."""

    def __init__(
        self,
        context: Context,
        options: MembershipOptions,
        warm_up: WarmUp,
        isolation: IsolationDetector,
        sessions: LocalSessions,
        reports: PeerReports,
    ) -> None:
        self._context = context
        self._options = options
        self._warm_up = warm_up
        self._isolation = isolation
        self._sessions = sessions
        self._reports = reports
        self._task: Task | None = None

    def start(self) -> None:
        """Starts the periodic sweep."""
        self._task = self._context.tasks.spawn("membership sweep", self._run())

    def stop(self) -> None:
        """Stops the sweep."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        clock = self._context.clock
        last_sweep_at = clock.monotonic()
        while True:
            await clock.sleep(self._options.sweep_interval_s)
            now = clock.monotonic()
            if now - last_sweep_at > PAUSE_THRESHOLD_S:
                self._handle_pause(Seconds(now - last_sweep_at))
            last_sweep_at = now
            self._isolation.check(now)
            self._sessions.sweep(now)
            self._reports.sweep(now)

    def _handle_pause(self, pause_s: Seconds) -> None:
        """Handles a pause of this process.

        Nobody could reach the process, so its data is old; the missing messages of daemons and peers are not counted.
        """
        self._context.log.event("coordinator-paused", seconds=pause_s)
        self._warm_up.restart()
        self._sessions.extend(pause_s)
        self._reports.extend(pause_s)
