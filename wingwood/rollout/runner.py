"""Advances a roll-out through its stages, or rolls it back (docs/DESIGN.md section 19.4).

The runner is a process of an operator, since only operators can sign orders. All the state that it needs is in
the bundle. It has only the observations of the current stage, so another runner that continues starts the watch of
the stage again.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Literal, Protocol

import msgspec
from returns.result import Failure, Result, Success

from ..bundle.model import OrderOutcome, Rollout
from ..identifiers import BundleVersion, Seconds
from .errors import FleetUnavailableError, StepRejectedError
from .evaluation import Verdict
from .fleet_status import FleetStatus
from .plan import Slices, Step, advance, read_rollouts, roll_back
from .stage_routers import count_stage_routers
from .stage_watch import StageWatch

MAX_CONFLICTS = 20
"""Consecutive conflicts with other orders after which a step is abandoned."""


STALE_READ = FleetUnavailableError("only an older version than was seen before can be read now")


class FleetAccess(Protocol):
    """The calls that an operator makes to the fleet."""

    async def latest(self) -> Result[tuple[BundleVersion, Slices], FleetUnavailableError]:
        """Reads the latest bundle version that can be reached, and its slices."""
        ...

    async def submit(
        self, base: BundleVersion, before: Slices, after: Slices
    ) -> Result[OrderOutcome, FleetUnavailableError]:
        """Signs one order and sends it repeatedly until its outcome is known or the wait limit is reached."""
        ...

    async def observe(self) -> Result[FleetStatus, FleetUnavailableError]:
        """Reads the member list and the status of every router."""
        ...


class RolloutEnd(msgspec.Struct, frozen=True):
    """How a run of the runner ended, and why."""

    result: Literal["finished", "rolled-back", "gone", "lost"]
    """The command line prints these words.

    ``gone``: another operator removed the roll-out from the bundle. ``lost``: nothing could be decided within the
    time limit of the stage, for example because the fleet was unreachable.
    """
    reason: str


async def take_step(access: FleetAccess, step: Step) -> Result[OrderOutcome, StepRejectedError | FleetUnavailableError]:
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
            case Failure(rejected):
                return Failure(rejected)
        match await access.submit(version, before, after):
            case Success(outcome) if outcome.outcome == "conflict":
                continue
            case Success(outcome) if outcome.outcome == "accepted":
                return Success(outcome)
            case Success(outcome):
                return Failure(StepRejectedError("invalid", outcome.reason))
            case Failure(unavailable):
                return Failure(unavailable)
    return Failure(StepRejectedError("conflict", f"{MAX_CONFLICTS} times another order came first; try again"))


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
        self._latest_version = BundleVersion(0)
        """Latest version seen so far: a partitioned daemon answers with an older one."""

    async def run(self) -> RolloutEnd:
        """Runs until the roll-out is finished or rolled back, by this runner or by any other operator."""
        clock = asyncio.get_running_loop().time
        watch = StageWatch(self._min_calls, self._stage_timeout, clock())
        while True:
            if watch.is_overdue(clock()):
                return RolloutEnd(
                    "lost", f"nothing could be decided for {watch.time_limit:.0f} s: {self._last_message}"
                )
            match await self._read_latest():
                case Success((version, slices)):
                    pass
                case Failure(unavailable):
                    self._report(unavailable.reason)
                    await asyncio.sleep(self._poll_interval)
                    continue
            rollout = read_rollouts(slices).get(self._name)
            if rollout is None:
                return RolloutEnd("gone", f"rollout/{self._name} is not in version {version}")
            if rollout.state != "running":
                return RolloutEnd(rollout.state, rollout.reason or f"version {version}")
            await self._observe_stage(watch, rollout, version, clock)
            await asyncio.sleep(self._poll_interval)

    async def _read_latest(self) -> Result[tuple[BundleVersion, Slices], FleetUnavailableError]:
        """Reads the latest bundle; a version older than one seen before counts as no answer."""
        match await self._access.latest():
            case Success((version, _)) as latest if version >= self._latest_version:
                self._latest_version = version
                return latest
            case Failure(unavailable):
                return Failure(unavailable)
        return Failure(STALE_READ)

    async def _observe_stage(
        self, watch: StageWatch, rollout: Rollout, version: BundleVersion, clock: Callable[[], float]
    ) -> None:
        match await self._access.observe():
            case Success(fleet_status):
                verdict = watch.evaluate(rollout, version, fleet_status, clock())
            case Failure(unavailable):
                verdict = Verdict(action="wait", reason=unavailable.reason)
        stage = f"stage {rollout.stages[rollout.stage]} ({rollout.stage + 1} of {len(rollout.stages)})"
        self._report(f"{stage}: {verdict.reason}")
        match verdict.action:
            case "restart-watch":
                watch.restart()
            case "advance":
                reached = count_stage_routers(rollout, rollout.stage + 1, watch.routers)
                await self._take_step(advance(self._name, rollout.stage, reached), "gone on")
            case "roll-back":
                await self._take_step(roll_back(self._name, verdict.reason), "rolled back")

    async def _take_step(self, step: Step, description: str) -> None:
        match await take_step(self._access, step):
            case Success(outcome):
                self._report(f"version {outcome.version} accepted: {description}")
            case Failure(error):
                self._report(f"not {description}: {error.reason}")

    def _report(self, text: str) -> None:
        if text != self._last_message:
            self._last_message = text
            self._report_progress(text)
