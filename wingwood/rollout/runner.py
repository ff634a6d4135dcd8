"""Takes a roll-out through its stages, or back (docs/DESIGN.md section 19.4).

It runs at an operator's, since only operators can sign. All that it must know to go on stands in the bundle;
what it remembers itself is since when it has been watching, and whoever takes over watches the stage anew.
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
from .plan import NotPlanned, Slices, Step, go_on, read_rollouts, roll_back
from .watch import Sight, Verdict, judge, reach_of, too_many_away

REPEATS = 20
"""Conflicts with other orders in a row."""


class Lost(msgspec.Struct, frozen=True):
    """No daemon answered, or none said what became of the order."""

    reason: str


STALE = Lost("only an older version than was seen before can be read now")


class FleetAccess(Protocol):
    """How an operator reaches the fleet."""

    async def newest(self) -> Result[tuple[BundleVersion, Slices], Lost]: ...

    async def submit(self, base: BundleVersion, before: Slices, after: Slices) -> Result[OrderOutcome, Lost]:
        """Signs and sends one order, again and again until its outcome is known or patience is over."""
        ...

    async def look(self) -> Result[Sight, Lost]: ...


class Ended(msgspec.Struct, frozen=True):
    how: Literal["finished", "rolled-back", "gone", "lost"]
    """``gone``: another operator took the roll-out out of the bundle. ``lost``: the fleet was out of reach too long."""
    reason: str


async def take_step(access: FleetAccess, step: Step) -> Result[OrderOutcome, NotPlanned | Lost]:
    """One order by compare-and-set; after a conflict the step is worked out anew on the version that won."""
    for _ in range(REPEATS):
        match await access.newest():
            case Success((version, before)):
                pass
            case Failure(lost):
                return Failure(lost)
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
                return Failure(NotPlanned("invalid", outcome.reason))
            case Failure(lost):
                return Failure(lost)
    return Failure(NotPlanned("conflict", f"{REPEATS} times another order came first; try again"))


class RolloutRunner:
    """``say`` gets a line whenever something new is to be told. Times are the running loop's."""

    def __init__(
        self,
        access: FleetAccess,
        name: str,
        say: Callable[[str], None],
        fewest_calls: int = 10,
        every: Seconds = Seconds(1.0),  # noqa: B008 - a number
        patience: Seconds = Seconds(600.0),  # noqa: B008 - how long a stage may take beyond its watch
    ) -> None:
        self._access = access
        self._name = name
        self._say = say
        self._fewest_calls = fewest_calls
        self._every = every
        self._patience = patience
        self._told = ""
        self._stage: int | None = None
        self._version = BundleVersion(0)
        self._newest = BundleVersion(0)
        """The newest seen: a daemon that is cut off answers from what it held then."""
        self._entered = 0.0
        self._limit = patience
        self._routers: dict[DaemonName, Identity] = {}
        """All seen since the stage was entered."""
        self._before: Sight | None = None
        self._begun = 0.0
        self._away_since: float | None = None

    async def run(self) -> Ended:
        """Until the roll-out is finished or rolled back, by this runner or by anyone."""
        clock = asyncio.get_running_loop().time
        self._entered = clock()
        while True:
            if clock() - self._entered > self._limit:
                return Ended("lost", f"nothing could be decided for {self._limit:.0f} s: {self._told}")
            match await self._access.newest():
                case Success((version, slices)) if version >= self._newest:
                    self._newest = version
                case stale_or_lost:
                    lost = stale_or_lost.failure() if isinstance(stale_or_lost, Failure) else STALE
                    self._tell(lost.reason)
                    await asyncio.sleep(self._every)
                    continue
            rollout = read_rollouts(slices).get(self._name)
            if rollout is None:
                return Ended("gone", f"rollout/{self._name} is not in version {version}")
            if rollout.state != "running":
                return Ended(rollout.state, rollout.reason or f"version {version}")
            match await self._access.look():
                case Success(sight):
                    verdict = self._watch(rollout, version, sight, clock())
                case Failure(lost):
                    verdict = Verdict(do="wait", reason=lost.reason)
            where = f"stage {rollout.stages[rollout.stage]} ({rollout.stage + 1} of {len(rollout.stages)})"
            self._tell(f"{where}: {verdict.reason}")
            if verdict.do == "begin-anew":
                self._before = None
            if verdict.do in ("go-on", "roll-back"):
                await self._move(rollout, verdict)
            await asyncio.sleep(self._every)

    def _watch(self, rollout: Rollout, version: BundleVersion, sight: Sight, now: float) -> Verdict:
        if self._stage != rollout.stage:
            # Whoever put this stage in place: what is newest now holds it.
            self._stage, self._version, self._before, self._away_since = rollout.stage, version, None, None
            self._entered, self._limit = now, Seconds(rollout.watch + self._patience)
            self._routers = {}
        self._routers.update((member.name, member) for member in sight.routers())
        if self._before is None:
            self._before, self._begun = sight, now
        if not too_many_away(rollout, self._routers, sight):
            self._away_since = None
        elif self._away_since is None:
            self._away_since = now
        return judge(
            rollout,
            self._version,
            self._routers,
            self._before,
            sight,
            Seconds(now - self._begun),
            Seconds(0.0 if self._away_since is None else now - self._away_since),
            self._fewest_calls,
        )

    async def _move(self, rollout: Rollout, verdict: Verdict) -> None:
        back = verdict.do == "roll-back"
        reached = reach_of(rollout, rollout.stage + 1, self._routers.values())
        step = roll_back(self._name, verdict.reason) if back else go_on(self._name, rollout.stage, reached)
        match await take_step(self._access, step):
            case Success(outcome):
                self._tell(f"version {outcome.version} accepted: {'rolled back' if back else 'gone on'}")
            case Failure(problem):
                self._tell(f"not {'rolled back' if back else 'gone on'}: {problem.reason}")

    def _tell(self, text: str) -> None:
        if text != self._told:
            self._told = text
            self._say(text)
