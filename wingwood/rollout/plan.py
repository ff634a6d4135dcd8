"""Computes the orders of a staged roll-out from the slices in force (docs/DESIGN.md section 19.3).

Each step is a function of the latest slices alone, so that it can simply be computed again after a conflict,
and any operator can take the next one.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping, Sequence
from typing import Literal

import msgspec
from returns.result import Failure, Result, Success

from ..bundle.canonical import canonical_json
from ..bundle.model import Rollout, RolloutChange
from ..bundle.rollouts import ALL_ROUTERS_STAGE, required_slices
from ..bundle.variants import VARIANT_KINDS, is_selector
from ..identifiers import Seconds, SliceName

Slices = dict[SliceName, bytes]

_PERCENT = re.compile(r"([0-9]+)%")


class StepRefused(msgspec.Struct, frozen=True):
    """Reason why a step can't be taken; ``kind`` is ``conflict`` when another order or roll-out prevents it."""

    kind: Literal["conflict", "invalid"]
    reason: str


Step = Callable[[Slices], Result[Slices, StepRefused]]
"""Computes the slices after the step from the latest slices."""


def rollout_slice(name: str) -> SliceName:
    """Returns the name of the slice that holds the record of a roll-out."""
    return SliceName(f"rollout/{name}")


def read_rollouts(slices: Mapping[SliceName, bytes]) -> dict[str, Rollout]:
    """Decodes all roll-out records in a bundle; returns them by name of the roll-out."""
    found = [msgspec.json.decode(slices[name], type=Rollout) for name in sorted(slices) if name.startswith("rollout/")]
    return {rollout.name: rollout for rollout in found}


def read_stages(text: str) -> Result[tuple[str, ...], StepRefused]:
    """Parses a text such as ``zone=a,25%,all``; ``all`` is appended when it is left out."""
    stages = []
    for part in (each.strip() for each in text.split(",")):
        percent = _PERCENT.fullmatch(part)
        stage = f"share={int(percent[1])}" if percent else part
        if stage == "share=100":
            stage = ALL_ROUTERS_STAGE
        if stage != ALL_ROUTERS_STAGE and not is_selector(stage):
            wrong = f"stage {part!r}: write zone=NAME, a percentage of the routers from 1% to 99%, or all"
            return Failure(StepRefused("invalid", wrong))
        stages.append(stage)
    return Success(tuple(stages if stages[-1] == ALL_ROUTERS_STAGE else [*stages, ALL_ROUTERS_STAGE]))


def begin_rollout(
    name: str,
    change: Step,
    stages: Sequence[str],
    watch: Seconds,
    highest_failures: float,
    highest_refusals: float,
    reached: int,
) -> Step:
    """Returns the step that puts the first stage of ``change`` in place; the stage has ``reached`` routers now."""

    def step(slices: Slices) -> Result[Slices, StepRefused]:
        current = read_rollouts(slices)
        if name in current and current[name].state == "running":
            return _conflict(f"rollout/{name} is running already; take another name or go on with it")
        match change(slices):
            case Success(wanted):
                return _first_stage(slices, wanted, current)
            case refused:
                return refused

    def _first_stage(slices: Slices, wanted: Slices, current: Mapping[str, Rollout]) -> Result[Slices, StepRefused]:
        names = sorted(each for each in {*slices, *wanted} if slices.get(each) != wanted.get(each))
        if not names:
            return _invalid("nothing differs from what is in force")
        holders = {
            change.slice: each for each in current.values() if each.state == "running" for change in each.changes
        }
        for each in names:
            if each not in slices or each not in wanted:
                done = "taken out" if each in slices else "new"
                return _invalid(
                    f"{each} is {done}: a roll-out changes slices that are there. Add a service by an ordinary order "
                    "first (it harms nobody while no route leads to it), and take one out when none does any more"
                )
            if "@" in each or each.partition("/")[0] not in VARIANT_KINDS:
                return _invalid(f"{each}: only services, routes and classes are rolled out in stages")
            if each in holders:
                return _conflict(f"{each} is in rollout/{holders[each].name}; finish that or roll it back first")
            if any(other.startswith(f"{each}@") for other in slices):
                return _conflict(f"{each} has variants of its own; take them out first")
        rollout = Rollout(
            name=name,
            stages=tuple(stages),
            stage=0,
            state="running",
            changes=tuple(
                RolloutChange(
                    slice=each, before=msgspec.json.decode(slices[each]), after=msgspec.json.decode(wanted[each])
                )
                for each in names
            ),
            watch=watch,
            highest_failures=float(highest_failures),
            highest_refusals=float(highest_refusals),
            reached=reached,
        )
        return Success(_replaced(slices, None, rollout))

    return step


def advance(name: str, stage: int, reached: int) -> Step:
    """Returns the step from stage number ``stage`` to the next one, which has ``reached`` routers.

    After the last stage the roll-out is finished.
    """

    def step(slices: Slices) -> Result[Slices, StepRefused]:
        rollout = read_rollouts(slices).get(name)
        if rollout is None or rollout.state != "running" or rollout.stage != stage:
            return _conflict(_describe_state(name, rollout, "another operator took it on"))
        if stage + 1 < len(rollout.stages):
            after = msgspec.structs.replace(rollout, stage=stage + 1, reached=reached)
        else:
            after = msgspec.structs.replace(rollout, state="finished")
        return Success(_replaced(slices, rollout, after))

    return step


def roll_back(name: str, reason: str) -> Step:
    """Returns the step that restores all slices of the roll-out in a new version.

    A finished roll-out can be rolled back too, as long as none of its slices was changed since.
    """

    def step(slices: Slices) -> Result[Slices, StepRefused]:
        rollout = read_rollouts(slices).get(name)
        if rollout is None or rollout.state == "rolled-back":
            return _conflict(_describe_state(name, rollout, "nothing to roll back"))
        for change in rollout.changes:
            if rollout.state == "finished" and slices.get(change.slice) != canonical_json(change.after):
                return _conflict(
                    f"{change.slice} was changed since rollout/{name} was finished; look at it and decide anew"
                )
        after = msgspec.structs.replace(rollout, state="rolled-back", reason=reason[:500])
        return Success(_replaced(slices, rollout, after))

    return step


def forget(name: str) -> Step:
    """Returns the step that removes the record of a finished or rolled-back roll-out from the bundle."""

    def step(slices: Slices) -> Result[Slices, StepRefused]:
        rollout = read_rollouts(slices).get(name)
        if rollout is None or rollout.state == "running":
            return _conflict(_describe_state(name, rollout, "roll it back or let it finish first"))
        return Success({each: data for each, data in slices.items() if each != rollout_slice(name)})

    return step


def _replaced(slices: Slices, before: Rollout | None, after: Rollout) -> Slices:
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


def preserve_rollouts(current: Mapping[SliceName, bytes], wanted: Slices) -> Slices:
    """Adds the roll-out records of the bundle in force, and the variants of running ones, to ``wanted``.

    ``wanted`` comes from an operator's source, which holds no roll-outs.
    """
    preserved = {name: data for name, data in current.items() if name.startswith("rollout/")}
    for rollout in read_rollouts(current).values():
        if rollout.state == "running":
            preserved.update({name: data for name, data in required_slices(rollout).items() if "@" in name})
    return {**wanted, **preserved}


def _describe_state(name: str, rollout: Rollout | None, then: str) -> str:
    if rollout is None:
        return f"there is no rollout/{name}"
    where = f"running at stage {rollout.stages[rollout.stage]}" if rollout.state == "running" else rollout.state
    return f"rollout/{name} is {where}: {then}"


def _conflict(reason: str) -> Result[Slices, StepRefused]:
    return Failure(StepRefused("conflict", reason))


def _invalid(reason: str) -> Result[Slices, StepRefused]:
    return Failure(StepRefused("invalid", reason))
