"""Why a bundle is refused (docs/DESIGN.md section 5.2)."""

from __future__ import annotations

from typing import Literal

import msgspec


class BundleProblem(msgspec.Struct, frozen=True, kw_only=True):
    """Why a bundle is refused: where, what stands there, and what to do about it."""

    code: Literal["signature", "root", "gap", "stale", "slice", "field", "reference", "double", "large"]
    slice: str = ""
    field: str = ""
    value: str = ""
    remedy: str = msgspec.field(name="mend")

    def __str__(self) -> str:
        where = " ".join(part for part in (self.slice, self.field and f"field {self.field}") if part)
        shown = f" is {self.value}" if self.value else ""
        return f"{where}{shown}: {self.remedy}" if where else self.remedy


class BundleProblemError(Exception):
    """Carries a problem out of the nested checks; never leaves this package."""

    def __init__(self, problem: BundleProblem) -> None:
        super().__init__(str(problem))
        self.problem = problem
