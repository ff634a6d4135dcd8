"""Which routers belong to a stage of a roll-out (docs/DESIGN.md section 19.2)."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from ..bundle.model import Rollout
from ..bundle.rollouts import ALL_ROUTERS_STAGE
from ..bundle.variants import VariantTarget, selects
from ..identifiers import DaemonName
from ..transport.frames import Identity

Routers = Mapping[DaemonName, Identity]


def in_stage(rollout: Rollout, stage: int, member: Identity) -> bool:
    """Returns whether a member belongs to the stage with this index or to an earlier one."""
    target = VariantTarget(member.zone, member.name)
    return any(selector == ALL_ROUTERS_STAGE or selects(selector, target) for selector in rollout.stages[: stage + 1])


def split_routers(rollout: Rollout, routers: Routers) -> tuple[list[DaemonName], list[DaemonName]]:
    """Splits the routers into those of the current stage and the others; both lists are sorted by name."""
    stage = [name for name in sorted(routers) if in_stage(rollout, rollout.stage, routers[name])]
    return stage, [name for name in sorted(routers) if name not in stage]


def count_stage_routers(rollout: Rollout, stage: int, routers: Iterable[Identity]) -> int:
    """Counts the routers that belong to the stage; returns 0 for a stage beyond the last one."""
    return 0 if stage >= len(rollout.stages) else sum(in_stage(rollout, stage, each) for each in routers)
