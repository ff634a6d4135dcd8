"""Checks of the staged roll-outs in a bundle (docs/DESIGN.md section 19.3).

A running roll-out and the slices that it changes always agree: an order that changes one without the other is
invalid. So a client that fails in the middle of a roll-out leaves nothing half done behind.
"""

from __future__ import annotations

import re
from collections.abc import Mapping

from ..identifiers import SliceName
from .canonical import NAME_PATTERN, canonical_json
from .errors import BundleCheckError, BundleError
from .field_checks import FieldChecker
from .model import Bundle, Rollout
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
MAX_REASON_LETTERS = 500

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
    """Raises ``BundleCheckError`` when a running roll-out and the slices of the bundle disagree."""
    rollout_of_slice: dict[SliceName, str] = {}
    running = [bundle.rollouts[name] for name in sorted(bundle.rollouts) if bundle.rollouts[name].state == "running"]
    for rollout in running:
        for change in rollout.changes:
            other = rollout_of_slice.setdefault(change.slice, rollout.name)
            FieldChecker(f"rollout/{rollout.name}").require(
                other == rollout.name,
                "changes",
                change.slice,
                f"rollout/{other} is changing it; finish that or roll it back",
            )
    if len(rollout_of_slice) > MAX_RUNNING_CHANGES:
        size = f"{len(rollout_of_slice)} slices"
        remedy = f"keep to {MAX_RUNNING_CHANGES} slices in running roll-outs; finish some or roll them back"
        raise BundleCheckError(BundleError(code="large", slice="rollout", value=size, remedy=remedy))
    required = {name: data for rollout in running for name, data in required_slices(rollout).items()}
    variants = {name for name in bundle.variants if _without_selector(name) in rollout_of_slice}
    for name in sorted({*required, *variants}):
        if bundle.slices.get(name) != required.get(name):
            raise _disagreement(bundle.rollouts[rollout_of_slice[_without_selector(name)]], name, required)


def _without_selector(name: SliceName) -> SliceName:
    return SliceName(name.partition("@")[0])


def _disagreement(rollout: Rollout, name: SliceName, required: Mapping[SliceName, bytes]) -> BundleCheckError:
    requirement = (
        "must stand in the bundle as the roll-out says" if name in required else "must not stand in the bundle"
    )
    return BundleCheckError(
        BundleError(
            code="field",
            slice=name,
            remedy=f"rollout/{rollout.name} is running and at stage {rollout.stages[rollout.stage]}, "
            f"so it {requirement}; to change it otherwise: wingwood rollout roll-back {rollout.name}",
        )
    )


def check_rollout(rollout: Rollout) -> None:
    """Checks the fields of a roll-out slice; raises ``BundleCheckError`` when one is invalid."""
    checker = FieldChecker(f"rollout/{rollout.name}")
    _check_stages(checker, rollout)
    checker.require(rollout.reached >= 0, "reached", rollout.reached, "a number of routers")
    checker.require(
        0 <= rollout.watch <= MAX_WATCH_SECONDS, "watch", rollout.watch, f"seconds from 0 to {MAX_WATCH_SECONDS:.0f}"
    )
    for field, share in (
        ("highest_failures", rollout.highest_failures),
        ("highest_refusals", rollout.highest_refusals),
    ):
        checker.require(0 <= share <= 1, field, share, "a share from 0 to 1")
    checker.require(
        len(rollout.reason) <= MAX_REASON_LETTERS, "reason", rollout.reason, f"up to {MAX_REASON_LETTERS} letters"
    )
    _check_changes(checker, rollout)


def _check_stages(checker: FieldChecker, rollout: Rollout) -> None:
    stages = rollout.stages
    checker.require(
        1 <= len(stages) <= MAX_STAGES and stages[-1] == ALL_ROUTERS_STAGE,
        "stages",
        ", ".join(stages),
        f"1 to {MAX_STAGES} stages, the last one is all",
    )
    for selector in stages[:-1]:
        checker.require(
            is_selector(selector),
            "stages",
            selector,
            "a stage is zone=ZONE, share=PERCENT from 1 to 99, or all at the end",
        )
    checker.require(len(set(stages)) == len(stages), "stages", ", ".join(stages), "name each stage once")
    checker.require(0 <= rollout.stage < len(stages), "stage", rollout.stage, f"from 0 to {len(stages) - 1}")


def _check_changes(checker: FieldChecker, rollout: Rollout) -> None:
    names = [change.slice for change in rollout.changes]
    checker.require(
        1 <= len(names) <= MAX_CHANGES and names == sorted(set(names)),
        "changes",
        f"{len(names)} slices",
        f"1 to {MAX_CHANGES}, sorted, each once",
    )
    for change in rollout.changes:
        checker.require(
            bool(_PLAIN_SLICE_NAME.fullmatch(change.slice)),
            "changes",
            change.slice,
            "only services, routes and classes are rolled out in stages; tenants and keys change everywhere at once",
        )
        checker.require(change.before != change.after, "changes", change.slice, "before and after are the same")
