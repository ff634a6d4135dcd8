"""Observes the current stage of a roll-out over time (docs/DESIGN.md section 19.4)."""

from __future__ import annotations

from ..bundle.model import Rollout
from ..identifiers import BundleVersion, DaemonName, Seconds
from ..transport.frames import Identity
from .evaluation import StageObservation, Verdict, evaluate_stage, too_many_unavailable
from .fleet_status import FleetStatus


class StageWatch:
    """Owns what was observed since the current stage was entered; times are those of the running event loop."""

    def __init__(self, min_calls: int, stage_timeout: Seconds, started_at: float) -> None:
        self._min_calls = min_calls
        self._stage_timeout = stage_timeout
        self._stage: int | None = None
        self._version = BundleVersion(0)
        self._entered_at = started_at
        self.time_limit = stage_timeout
        """Time in seconds within which the stage must end, from its entry."""
        self._routers: dict[DaemonName, Identity] = {}
        """All routers that were seen since the stage was entered."""
        self._baseline: FleetStatus | None = None
        self._baseline_at = started_at
        self._unavailable_since: float | None = None

    @property
    def routers(self) -> list[Identity]:
        """All routers that were seen since the stage was entered."""
        return list(self._routers.values())

    def is_overdue(self, now: float) -> bool:
        """Returns whether the stage has taken longer than its time limit."""
        return now - self._entered_at > self.time_limit

    def restart(self) -> None:
        """Discards the baseline, so that the next observation starts the watch again."""
        self._baseline = None

    def evaluate(self, rollout: Rollout, version: BundleVersion, fleet_status: FleetStatus, now: float) -> Verdict:
        """Adds an observation and decides what to do; ``version`` is the latest bundle version."""
        if self._stage != rollout.stage:
            self._enter_stage(rollout, version, now)
        self._routers.update((member.name, member) for member in fleet_status.routers())
        if self._baseline is None:
            self._baseline, self._baseline_at = fleet_status, now
        if not too_many_unavailable(rollout, self._routers, fleet_status):
            self._unavailable_since = None
        elif self._unavailable_since is None:
            self._unavailable_since = now
        observation = StageObservation(
            version=self._version,
            routers=self._routers,
            before=self._baseline,
            now=fleet_status,
            watched=Seconds(now - self._baseline_at),
            unavailable_for=Seconds(0.0 if self._unavailable_since is None else now - self._unavailable_since),
        )
        return evaluate_stage(rollout, observation, self._min_calls)

    def _enter_stage(self, rollout: Rollout, version: BundleVersion, now: float) -> None:
        # Whichever operator put this stage in place, the latest version contains it.
        self._stage, self._version = rollout.stage, version
        self._entered_at, self.time_limit = now, Seconds(rollout.watch + self._stage_timeout)
        self._routers, self._baseline, self._unavailable_since = {}, None, None
