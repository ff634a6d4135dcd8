"""Computes the first step of a staged roll-out (docs/DESIGN.md section 19.3)."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import msgspec
from returns.result import Failure, Result, Success

from ..bundle.model import Rollout, RolloutChange
from ..bundle.variants import VARIANT_KINDS
from ..identifiers import Seconds, SliceName
from .errors import StepRejectedError
from .plan import Slices, Step, conflict, invalid, read_rollouts, with_state


def start_rollout(
    name: str,
    change: Step,
    stages: Sequence[str],
    watch: Seconds,
    highest_failures: float,
    highest_refusals: float,
    reached: int,
) -> Step:
    """Returns the step that puts the first stage of ``change`` in place; the stage has ``reached`` routers now.

    ``watch`` is the time in seconds for which each stage is observed. The stage may have shares of up to
    ``highest_failures`` failed and ``highest_refusals`` refused calls.
    """

    def step(slices: Slices) -> Result[Slices, StepRejectedError]:
        rollouts = read_rollouts(slices)
        if name in rollouts and rollouts[name].state == "running":
            return conflict(f"rollout/{name} is running already; take another name or go on with it")
        match change(slices):
            case Success(after):
                pass
            case rejected:
                return rejected
        names = sorted(each for each in {*slices, *after} if slices.get(each) != after.get(each))
        rejection = _rejection(names, slices, after, rollouts)
        if rejection is not None:
            return Failure(rejection)
        rollout = Rollout(
            name=name,
            stages=tuple(stages),
            stage=0,
            state="running",
            changes=tuple([_rollout_change(each, slices, after) for each in names]),
            watch=watch,
            highest_failures=float(highest_failures),
            highest_refusals=float(highest_refusals),
            reached=reached,
        )
        return Success(with_state(slices, None, rollout))

    return step


def _rollout_change(name: SliceName, before: Slices, after: Slices) -> RolloutChange:
    return RolloutChange(slice=name, before=msgspec.json.decode(before[name]), after=msgspec.json.decode(after[name]))


def _rejection(
    names: Sequence[SliceName], slices: Slices, after: Slices, rollouts: Mapping[str, Rollout]
) -> StepRejectedError | None:
    """Returns why the slices with these names can't be rolled out together; None when they can."""
    if not names:
        return invalid("nothing differs from what is in force").failure()
    running = {change.slice: each for each in rollouts.values() if each.state == "running" for change in each.changes}
    for name in names:
        rejection = _slice_rejection(name, slices, after, running)
        if rejection is not None:
            return rejection
    return None


def _slice_rejection(
    name: SliceName, slices: Slices, after: Slices, running: Mapping[SliceName, Rollout]
) -> StepRejectedError | None:
    """Returns why this slice can't be rolled out; ``running`` has the running roll-outs by the slices they change."""
    if name not in slices or name not in after:
        difference = "taken out" if name in slices else "new"
        return invalid(
            f"{name} is {difference}: a roll-out changes slices that are there. Add a service by an ordinary order "
            "first (it harms nobody while no route leads to it), and take one out when none does any more"
        ).failure()
    if "@" in name or name.partition("/")[0] not in VARIANT_KINDS:
        return invalid(f"{name}: only services, routes and classes are rolled out in stages").failure()
    if name in running:
        return conflict(f"{name} is in rollout/{running[name].name}; finish that or roll it back first").failure()
    if any(other.startswith(f"{name}@") for other in slices):
        return conflict(f"{name} has variants of its own; take them out first").failure()
    return None
