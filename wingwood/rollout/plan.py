"""Computes the steps of a staged roll-out from the latest slices (docs/DESIGN.md section 19.3).

Each step is a function of the latest slices alone, so that it can simply be computed again after a conflict,
and any operator can take the next one.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping

import msgspec
from returns.result import Failure, Result, Success

from ..bundle.canonical import canonical_json
from ..bundle.model import Rollout
from ..bundle.rollouts import ALL_ROUTERS_STAGE, MAX_REASON_LETTERS, required_slices
from ..bundle.variants import is_selector
from ..identifiers import SliceName
from .errors import StepRejectedError

Slices = dict[SliceName, bytes]

_PERCENT = re.compile(r"([0-9]+)%")


Step = Callable[[Slices], Result[Slices, StepRejectedError]]
"""Computes the slices after the step from the latest slices."""


def rollout_slice(name: str) -> SliceName:
    """Returns the name of the slice that holds the record of a roll-out."""
    return SliceName(f"rollout/{name}")


def read_rollouts(slices: Mapping[SliceName, bytes]) -> dict[str, Rollout]:
    """Decodes all roll-out records in a bundle; returns them by name of the roll-out."""
    names = sorted(name for name in slices if name.startswith("rollout/"))
    rollouts = [msgspec.json.decode(slices[name], type=Rollout) for name in names]
    return {rollout.name: rollout for rollout in rollouts}


def parse_stages(text: str) -> Result[tuple[str, ...], StepRejectedError]:
    """Parses a text such as ``zone=a,25%,all``; ``all`` is appended when it is left out."""
    stages = []
    for part in (each.strip() for each in text.split(",")):
        percent = _PERCENT.fullmatch(part)
        stage = f"share={int(percent[1])}" if percent else part
        if stage == "share=100":
            stage = ALL_ROUTERS_STAGE
        if stage != ALL_ROUTERS_STAGE and not is_selector(stage):
            return invalid(f"stage {part!r}: write zone=NAME, a percentage of the routers from 1% to 99%, or all")
        stages.append(stage)
    return Success(tuple(stages if stages[-1] == ALL_ROUTERS_STAGE else [*stages, ALL_ROUTERS_STAGE]))


def advance(name: str, stage: int, reached: int) -> Step:
    """Returns the step from stage number ``stage`` to the next one, which has ``reached`` routers.

    After the last stage the roll-out is finished.
    """

    def step(slices: Slices) -> Result[Slices, StepRejectedError]:
        rollout = read_rollouts(slices).get(name)
        if rollout is None or rollout.state != "running" or rollout.stage != stage:
            return conflict(_describe_state(name, rollout, "another operator took it on"))
        if stage + 1 < len(rollout.stages):
            after = msgspec.structs.replace(rollout, stage=stage + 1, reached=reached)
        else:
            after = msgspec.structs.replace(rollout, state="finished")
        return Success(with_state(slices, rollout, after))

    return step


def roll_back(name: str, reason: str) -> Step:
    """Returns the step that restores all slices of the roll-out in a new version.

    A finished roll-out can be rolled back too, as long as none of its slices was changed since.
    """

    def step(slices: Slices) -> Result[Slices, StepRejectedError]:
        rollout = read_rollouts(slices).get(name)
        if rollout is None or rollout.state == "rolled-back":
            return conflict(_describe_state(name, rollout, "nothing to roll back"))
        for change in rollout.changes:
            if rollout.state == "finished" and slices.get(change.slice) != canonical_json(change.after):
                return conflict(
                    f"{change.slice} was changed since rollout/{name} was finished; look at it and decide anew"
                )
        after = msgspec.structs.replace(rollout, state="rolled-back", reason=reason[:MAX_REASON_LETTERS])
        return Success(with_state(slices, rollout, after))

    return step


def remove_record(name: str) -> Step:
    """Returns the step that removes the record of a finished or rolled-back roll-out from the bundle."""

    def step(slices: Slices) -> Result[Slices, StepRejectedError]:
        rollout = read_rollouts(slices).get(name)
        if rollout is None or rollout.state == "running":
            return conflict(_describe_state(name, rollout, "roll it back or let it finish first"))
        return Success({each: data for each, data in slices.items() if each != rollout_slice(name)})

    return step


def with_state(slices: Slices, before: Rollout | None, after: Rollout) -> Slices:
    """Returns the slices with the roll-out's variants, changes and record moved from state ``before`` to ``after``."""
    result = dict(slices)
    if before is not None and before.state == "running":
        for name in required_slices(before):
            if "@" in name:
                result.pop(name, None)
    if after.state == "running":
        result.update(required_slices(after))
    elif after.state == "rolled-back":
        result.update({change.slice: canonical_json(change.before) for change in after.changes})
    result[rollout_slice(after.name)] = canonical_json(after)
    return result


def preserve_rollouts(current: Mapping[SliceName, bytes], source: Slices) -> Slices:
    """Adds the roll-out records of the current bundle, and the variants of running ones, to ``source``.

    ``source`` comes from an operator's files, which contain no roll-outs.
    """
    preserved = {name: data for name, data in current.items() if name.startswith("rollout/")}
    for rollout in read_rollouts(current).values():
        if rollout.state == "running":
            preserved.update({name: data for name, data in required_slices(rollout).items() if "@" in name})
    return {**source, **preserved}


def _describe_state(name: str, rollout: Rollout | None, then: str) -> str:
    if rollout is None:
        return f"there is no rollout/{name}"
    where = f"running at stage {rollout.stages[rollout.stage]}" if rollout.state == "running" else rollout.state
    return f"rollout/{name} is {where}: {then}"


def conflict(reason: str) -> Failure[StepRejectedError]:
    """Returns the result of a step that another order or roll-out prevents."""
    return Failure(StepRejectedError("conflict", reason))


def invalid(reason: str) -> Failure[StepRejectedError]:
    """Returns the result of a step that cannot be taken on any slices like these."""
    return Failure(StepRejectedError("invalid", reason))
