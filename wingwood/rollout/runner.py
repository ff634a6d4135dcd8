"""Advances a roll-out through its stages, or rolls it back (docs/DESIGN.md section 19.4).

The runner is a process of an operator, since only operators can sign orders. All the state that it needs is in
the bundle. It holds only the time since which it has been watching, so another runner that takes over starts
the watch of the stage again.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Literal, Protocol

import msgspec
from returns.result import Failure, Result, Success

from ..bundle.model import OrderOutcome, Rollout
from ..identifiers import BundleVersion, DaemonName, Seconds
from ..transport.frames import Identity
from .plan import Slices, Step, StepRefused, advance, read_rollouts, roll_back
from .watch import FleetStatus, Verdict, count_stage_routers, judge, too_many_unavailable

MAX_CONFLICTS = 20
"""Consecutive conflicts with other orders after which a step is abandoned."""


class Unavailable(msgspec.Struct, frozen=True):
    """No daemon answered, or the answers left the outcome of the order unknown."""

    reason: str


STALE_READ = Unavailable("only an older version than was seen before can be read now")


class FleetAccess(Protocol):
    """The calls that an operator makes to the fleet."""

    async def latest(self) -> Result[tuple[BundleVersion, Slices], Unavailable]:
        """Reads the latest bundle version that can be reached, and its slices."""
        ...

    async def submit(self, base: BundleVersion, before: Slices, after: Slices) -> Result[OrderOutcome, Unavailable]:
        """Signs one order and sends it repeatedly until its outcome is known or the wait limit is reached."""
        ...

    async def observe(self) -> Result[FleetStatus, Unavailable]:
        """Reads the member list and the status of every router."""
        ...


class Ended(msgspec.Struct, frozen=True):
    result: Literal["finished", "rolled-back", "gone", "lost"]
    """How the run ended.

    ``gone``: another operator removed the roll-out from the bundle. ``lost``: nothing could be decided within the
    time limit of the stage, for example because the fleet was unreachable.
    """
    reason: str


async def take_step(access: FleetAccess, step: Step) -> Result[OrderOutcome, StepRefused | Unavailable]:
    """Submits one step as a compare-and-set order; after a conflict it is computed again on the version that won."""
    for _ in range(MAX_CONFLICTS):
        match await access.latest():
            case Success((version, before)):
                pass
            case Failure(unavailable):
                return Failure(unavailable)
        match step(before):
            case Success(after):
                pass
            case Failure(not_planned):
                return Failure(not_planned)
        match await access.submit(version, before, after):
            case Success(outcome) if outcome.outcome == "conflict":
                continue
            case Success(outcome) if outcome.outcome == "accepted":
                return Success(outcome)
            case Success(outcome):
                return Failure(StepRefused("invalid", outcome.reason))
            case Failure(unavailable):
                return Failure(unavailable)
    return Failure(StepRefused("conflict", f"{MAX_CONFLICTS} times another order came first; try again"))


class RolloutRunner:
    """Watches one roll-out and advances it or rolls it back.

    ``report_progress`` receives a line whenever the state changes. Times are those of the running event loop.
    A stage without a decision for its watch time plus ``stage_timeout`` ends the run.
    """

    def __init__(
        self,
        access: FleetAccess,
        name: str,
        report_progress: Callable[[str], None],
        min_calls: int = 10,
        poll_interval: Seconds = Seconds(1.0),  # noqa: B008 - a number
        stage_timeout: Seconds = Seconds(600.0),  # noqa: B008 - how long a stage may take beyond its watch time
    ) -> None:
        self._access = access
        self._name = name
        self._report_progress = report_progress
        self._min_calls = min_calls
        self._poll_interval = poll_interval
        self._stage_timeout = stage_timeout
        self._last_message = ""
        self._stage: int | None = None
        self._version = BundleVersion(0)
        self._latest_version = BundleVersion(0)
        """Latest version seen so far: a partitioned daemon answers with the older one that it holds."""
        self._stage_entered_at = 0.0
        self._stage_time_limit = stage_timeout
        self._routers: dict[DaemonName, Identity] = {}
        """All routers that were seen since the stage was entered."""
        self._baseline: FleetStatus | None = None
        self._watch_started_at = 0.0
        self._unavailable_since: float | None = None

    async def run(self) -> Ended:
        """Runs until the roll-out is finished or rolled back, by this runner or by any other operator."""
        clock = asyncio.get_running_loop().time
        self._stage_entered_at = clock()
        while True:
            if clock() - self._stage_entered_at > self._stage_time_limit:
                return Ended(
                    "lost", f"nothing could be decided for {self._stage_time_limit:.0f} s: {self._last_message}"
                )
            match await self._access.latest():
                case Success((version, slices)) if version >= self._latest_version:
                    self._latest_version = version
                case stale_or_lost:
                    unavailable = stale_or_lost.failure() if isinstance(stale_or_lost, Failure) else STALE_READ
                    self._report(unavailable.reason)
                    await asyncio.sleep(self._poll_interval)
                    continue
            rollout = read_rollouts(slices).get(self._name)
            if rollout is None:
                return Ended("gone", f"rollout/{self._name} is not in version {version}")
            if rollout.state != "running":
                return Ended(rollout.state, rollout.reason or f"version {version}")
            match await self._access.observe():
                case Success(fleet_status):
                    verdict = self._judge_stage(rollout, version, fleet_status, clock())
                case Failure(unavailable):
                    verdict = Verdict(action="wait", reason=unavailable.reason)
            where = f"stage {rollout.stages[rollout.stage]} ({rollout.stage + 1} of {len(rollout.stages)})"
            self._report(f"{where}: {verdict.reason}")
            if verdict.action == "begin-anew":
                self._baseline = None
            if verdict.action in ("go-on", "roll-back"):
                await self._apply_verdict(rollout, verdict)
            await asyncio.sleep(self._poll_interval)

    def _judge_stage(self, rollout: Rollout, version: BundleVersion, fleet_status: FleetStatus, now: float) -> Verdict:
        if self._stage != rollout.stage:
            # Whichever operator put this stage in place, the latest version contains it.
            self._stage, self._version, self._baseline, self._unavailable_since = rollout.stage, version, None, None
            self._stage_entered_at, self._stage_time_limit = now, Seconds(rollout.watch + self._stage_timeout)
            self._routers = {}
        self._routers.update((member.name, member) for member in fleet_status.routers())
        if self._baseline is None:
            self._baseline, self._watch_started_at = fleet_status, now
        if not too_many_unavailable(rollout, self._routers, fleet_status):
            self._unavailable_since = None
        elif self._unavailable_since is None:
            self._unavailable_since = now
        return judge(
            rollout,
            self._version,
            self._routers,
            self._baseline,
            fleet_status,
            Seconds(now - self._watch_started_at),
            Seconds(0.0 if self._unavailable_since is None else now - self._unavailable_since),
            self._min_calls,
        )

    async def _apply_verdict(self, rollout: Rollout, verdict: Verdict) -> None:
        back = verdict.action == "roll-back"
        reached = count_stage_routers(rollout, rollout.stage + 1, self._routers.values())
        step = roll_back(self._name, verdict.reason) if back else advance(self._name, rollout.stage, reached)
        match await take_step(self._access, step):
            case Success(outcome):
                self._report(f"version {outcome.version} accepted: {'rolled back' if back else 'gone on'}")
            case Failure(problem):
                self._report(f"not {'rolled back' if back else 'gone on'}: {problem.reason}")

    def _report(self, text: str) -> None:
        if text != self._last_message:
            self._last_message = text
            self._report_progress(text)
