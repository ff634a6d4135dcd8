"""Checks of the staged roll-outs in a bundle (docs/DESIGN.md section 19.3).

A running roll-out and the slices that it changes always agree: an order that changes one without the other is
invalid. So a client that fails in the middle of a roll-out leaves nothing half done behind.
"""

from __future__ import annotations

import re
from collections.abc import Mapping

from ..identifiers import SliceName
from .canonical import NAME_PATTERN, canonical_json
from .model import Bundle, Rollout
from .problem import BundleProblem, BundleProblemError
from .variants import VARIANT_KINDS, is_selector

ALL_ROUTERS_STAGE = "all"
"""Last stage of every roll-out, in which all routers apply the change."""
MAX_STAGES = 10
"""Largest number of stages of a roll-out."""
MAX_CHANGES = 100
"""Largest number of slices that a roll-out changes."""
MAX_RUNNING_CHANGES = 500
"""Largest number of slices that all running roll-outs together change; they are checked with each change of the
bundle."""
MAX_WATCH_SECONDS = 86_400.0

_PLAIN_SLICE_NAME = re.compile(rf"({'|'.join(VARIANT_KINDS)})/{NAME_PATTERN}")


def required_slices(rollout: Rollout) -> dict[SliceName, bytes]:
    """Returns the slices and variants that the bundle must contain while the roll-out is running."""
    required: dict[SliceName, bytes] = {}
    promoted = rollout.stages[rollout.stage] == ALL_ROUTERS_STAGE
    for change in rollout.changes:
        required[change.slice] = canonical_json(change.after if promoted else change.before)
        if not promoted:
            for selector in rollout.stages[: rollout.stage + 1]:
                required[SliceName(f"{change.slice}@{selector}")] = canonical_json(change.after)
    return required


def check_rollouts(bundle: Bundle) -> None:
    """Raises ``BundleProblemError`` when a running roll-out and the slices of the bundle disagree."""
    rollout_of_slice: dict[SliceName, str] = {}
    running = [bundle.rollouts[name] for name in sorted(bundle.rollouts) if bundle.rollouts[name].state == "running"]
    for rollout in running:
        for change in rollout.changes:
            other = rollout_of_slice.setdefault(change.slice, rollout.name)
            if other != rollout.name:
                raise _problem(
                    rollout, "changes", change.slice, f"rollout/{other} is changing it; finish that or roll it back"
                )
    if len(rollout_of_slice) > MAX_RUNNING_CHANGES:
        size = f"{len(rollout_of_slice)} slices"
        remedy = f"keep to {MAX_RUNNING_CHANGES} slices in running roll-outs; finish some or roll them back"
        raise BundleProblemError(BundleProblem(code="large", slice="rollout", value=size, remedy=remedy))
    required = {name: data for rollout in running for name, data in required_slices(rollout).items()}
    for name in sorted({*required, *(name for name in bundle.variants if name.partition("@")[0] in rollout_of_slice)}):
        if bundle.slices.get(name) != required.get(name):
            raise _disagreement(bundle.rollouts[rollout_of_slice[SliceName(name.partition("@")[0])]], name, required)


def _disagreement(rollout: Rollout, name: SliceName, required: Mapping[SliceName, bytes]) -> BundleProblemError:
    requirement = (
        "must stand in the bundle as the roll-out says" if name in required else "must not stand in the bundle"
    )
    return BundleProblemError(
        BundleProblem(
            code="field",
            slice=name,
            remedy=f"rollout/{rollout.name} is running and at stage {rollout.stages[rollout.stage]}, "
            f"so it {requirement}; to change it otherwise: wingwood rollout roll-back {rollout.name}",
        )
    )


def check_rollout(rollout: Rollout) -> None:
    """Checks the fields of a roll-out slice; raises ``BundleProblemError`` when one is invalid."""
    if not 1 <= len(rollout.stages) <= MAX_STAGES or rollout.stages[-1] != ALL_ROUTERS_STAGE:
        raise _problem(rollout, "stages", ", ".join(rollout.stages), f"1 to {MAX_STAGES} stages, the last one is all")
    for selector in rollout.stages[:-1]:
        if not is_selector(selector):
            raise _problem(
                rollout, "stages", selector, "a stage is zone=ZONE, share=PERCENT from 1 to 99, or all at the end"
            )
    if len(set(rollout.stages)) != len(rollout.stages):
        raise _problem(rollout, "stages", ", ".join(rollout.stages), "name each stage once")
    if not 0 <= rollout.stage < len(rollout.stages):
        raise _problem(rollout, "stage", str(rollout.stage), f"from 0 to {len(rollout.stages) - 1}")
    if rollout.reached < 0:
        raise _problem(rollout, "reached", str(rollout.reached), "a number of routers")
    if not 0 <= rollout.watch <= MAX_WATCH_SECONDS:
        raise _problem(rollout, "watch", str(rollout.watch), f"seconds from 0 to {MAX_WATCH_SECONDS:.0f}")
    for field in ("highest_failures", "highest_refusals"):
        if not 0 <= getattr(rollout, field) <= 1:
            raise _problem(rollout, field, str(getattr(rollout, field)), "a share from 0 to 1")
    if len(rollout.reason) > 500:
        raise _problem(rollout, "reason", rollout.reason, "up to 500 letters")
    names = [change.slice for change in rollout.changes]
    if not 1 <= len(names) <= MAX_CHANGES or names != sorted(set(names)):
        raise _problem(rollout, "changes", f"{len(names)} slices", f"1 to {MAX_CHANGES}, sorted, each once")
    for change in rollout.changes:
        if not _PLAIN_SLICE_NAME.fullmatch(change.slice):
            remedy = (
                "only services, routes and classes are rolled out in stages; tenants and keys change everywhere at once"
            )
            raise _problem(rollout, "changes", change.slice, remedy)
        if change.before == change.after:
            raise _problem(rollout, "changes", change.slice, "before and after are the same")


def _problem(rollout: Rollout, field: str, value: str, remedy: str) -> BundleProblemError:
    return BundleProblemError(
        BundleProblem(code="field", slice=f"rollout/{rollout.name}", field=field, value=value[:80], remedy=remedy)
    )
