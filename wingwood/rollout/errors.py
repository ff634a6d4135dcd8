"""Why a step of a roll-out was not taken (docs/DESIGN.md section 19.3)."""

from __future__ import annotations

from typing import Literal

import msgspec


class StepRejectedError(msgspec.Struct, frozen=True):
    """The step is not possible now; ``kind`` is ``conflict`` when another order or roll-out prevents it."""

    kind: Literal["conflict", "invalid"]
    reason: str


class FleetUnavailableError(msgspec.Struct, frozen=True):
    """No daemon answered, or the answers left the outcome of the order unknown; try again."""

    reason: str
