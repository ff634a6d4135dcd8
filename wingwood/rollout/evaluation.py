"""Evaluates the stage of a roll-out by the health and the metrics of its routers (docs/DESIGN.md section 19.4)."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Literal

import msgspec

from ..bundle.model import Rollout
from ..bundle.rollouts import ALL_ROUTERS_STAGE
from ..identifiers import BundleVersion, DaemonName, Seconds
from .fleet_status import FleetStatus, summarize_calls
from .stage_routers import Routers, split_routers

MIN_BAD_CALLS = 5
"""Failures (or refusals) that a stage must have before their share is evaluated: below that, a share says nothing."""
MAX_RATIO_TO_REST = 1.5
"""The stage is rolled back only when its share of bad calls exceeds this multiple of the share elsewhere.

Below that, the entire fleet does badly and the change is not the cause.
"""
MAX_UNAVAILABLE_SHARE = 1 / 3
"""Share of a stage's routers that may be unreachable or not ready: machines also fail on ordinary days."""

MAX_UNAVAILABLE_S = Seconds(10.0)
"""Time for which too many routers may be unavailable: a frozen machine or a short partition causes no rollback."""


class Verdict(msgspec.Struct, frozen=True, kw_only=True):
    """What the runner does next about a stage, and why."""

    action: Literal["wait", "restart-watch", "advance", "roll-back"]
    """``restart-watch`` discards the observations so far, because they say nothing about the change."""
    reason: str


class StageObservation(msgspec.Struct, frozen=True, kw_only=True):
    """What was observed of the current stage."""

    version: BundleVersion
    """The bundle version that put the stage in place."""
    routers: Routers
    """All routers that were seen since then."""
    before: FleetStatus
    """The fleet when the watch started."""
    now: FleetStatus
    watched: Seconds
    """Time since the watch started."""
    unavailable_for: Seconds
    """Time for which too many routers of the stage have been unavailable."""


def evaluate_stage(rollout: Rollout, observation: StageObservation, min_calls: int) -> Verdict:
    """Decides what to do about the current stage; the watch is extended until the stage has had ``min_calls`` calls."""
    stage, rest = split_routers(rollout, observation.routers)
    if not stage and not rollout.reached:
        return Verdict(action="restart-watch", reason="no router of this stage is there")
    return (
        _evaluate_availability(rollout, observation, stage, rest)
        or _evaluate_versions(observation, stage)
        or _evaluate_calls(rollout, observation, stage, rest, min_calls)
    )


def too_many_unavailable(rollout: Rollout, routers: Routers, now: FleetStatus) -> bool:
    """Returns whether more of the stage's routers are unavailable than ``MAX_UNAVAILABLE_SHARE`` allows.

    Routers that control no longer lists count too: ``rollout.reached`` says how many the stage had.
    """
    stage, _ = split_routers(rollout, routers)
    total = max(len(stage), rollout.reached)
    return total - sum(now.serves(name) for name in stage) > MAX_UNAVAILABLE_SHARE * total


def _evaluate_availability(
    rollout: Rollout, observation: StageObservation, stage: Sequence[DaemonName], rest: Sequence[DaemonName]
) -> Verdict | None:
    """Returns a verdict when too many routers of the stage are unavailable.

    It is a rollback only if they stay unavailable while most of the other routers are available.
    """
    now = observation.now
    if not too_many_unavailable(rollout, observation.routers, now):
        return None
    unavailable = [name for name in stage if not now.serves(name)]
    rest_unavailable = [name for name in rest if not now.serves(name)]
    total = max(len(stage), rollout.reached)
    unlisted = total - len(stage)
    names = ", ".join([*unavailable[:5], *([f"{unlisted} that control no longer lists"] if unlisted else [])])
    message = f"{len(unavailable) + unlisted} of {total} routers of the stage are away or not ready: {names}"
    if not rest and rollout.stages[rollout.stage] != ALL_ROUTERS_STAGE:
        return Verdict(action="restart-watch", reason=f"{message}; no others are to be seen either")
    if len(rest_unavailable) > MAX_UNAVAILABLE_SHARE * len(rest):
        return Verdict(
            action="restart-watch", reason=f"{message}; so are {len(rest_unavailable)} of the {len(rest)} others"
        )
    action: Literal["restart-watch", "roll-back"] = (
        "restart-watch" if observation.unavailable_for < MAX_UNAVAILABLE_S else "roll-back"
    )
    return Verdict(action=action, reason=message)


def _evaluate_versions(observation: StageObservation, stage: Sequence[DaemonName]) -> Verdict | None:
    """Returns a verdict when an available router of the stage does not apply the stage's version yet."""
    now, version = observation.now, observation.version
    behind = [name for name in stage if now.serves(name) and now.version_of(name) < version]
    if not behind:
        return None
    return Verdict(action="restart-watch", reason=f"version {version} is not in force yet on {', '.join(behind[:5])}")


def _evaluate_calls(
    rollout: Rollout,
    observation: StageObservation,
    stage: Sequence[DaemonName],
    rest: Sequence[DaemonName],
    min_calls: int,
) -> Verdict:
    """Compares the stage's shares of failed and refused calls with their limits and with the other routers."""
    services = changed_services(rollout)
    here = summarize_calls(stage, observation.before, observation.now, services)
    elsewhere = summarize_calls(rest, observation.before, observation.now, services)
    for description, bad_here, bad_elsewhere, highest in (
        ("failed", here.failures, elsewhere.failures, rollout.highest_failures),
        ("refused", here.refusals, elsewhere.refusals, rollout.highest_refusals),
    ):
        share = here.share(bad_here)
        if bad_here < MIN_BAD_CALLS or share <= highest:
            continue
        message = f"{share:.1%} of {here.calls:.0f} calls {description} (up to {highest:.1%} may)"
        share_elsewhere = elsewhere.share(bad_elsewhere)
        if elsewhere.calls and share <= MAX_RATIO_TO_REST * share_elsewhere:
            return Verdict(
                action="restart-watch",
                reason=f"{message}, but so did {share_elsewhere:.1%} on the rest of the fleet",
            )
        return Verdict(action="roll-back", reason=message)
    remaining = rollout.watch - observation.watched
    if remaining > 0:
        return Verdict(action="wait", reason=f"{here.describe()}; {remaining:.0f} s of watching left")
    if here.calls < min_calls:
        return Verdict(action="wait", reason=f"{here.describe()}; waiting for {min_calls} calls")
    return Verdict(action="advance", reason=here.describe())


def changed_services(rollout: Rollout) -> frozenset[str] | None:
    """Returns the services whose calls the change affects; None means all services."""
    names: set[str] = set()
    for change in rollout.changes:
        kind, _, bare = change.slice.partition("/")
        if kind == "class":
            return None
        names.update([bare] if kind == "service" else [str(change.before["service"]), str(change.after["service"])])
    return frozenset(names)
