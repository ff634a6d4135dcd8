"""Prints roll-outs as a table."""

from __future__ import annotations

from collections.abc import Iterable

from ..bundle.model import Rollout
from .output import print_table


def print_rollouts(rollouts: Iterable[Rollout]) -> None:
    """Prints one row for each roll-out; of the changed slices the first three are named."""
    titles = ("rollout", "state", "stage", "stages", "watch", "changes", "reason")
    print_table(titles, [_row(rollout) for rollout in rollouts])


def _row(rollout: Rollout) -> list[object]:
    stage = f"{rollout.stages[rollout.stage]} ({rollout.stage + 1} of {len(rollout.stages)})"
    names = [change.slice for change in rollout.changes]
    more = [f"and {len(names) - 3} more"] if len(names) > 3 else []
    return [
        rollout.name,
        rollout.state,
        stage,
        rollout.stages,
        f"{rollout.watch:g} s",
        [*names[:3], *more],
        rollout.reason or None,
    ]
