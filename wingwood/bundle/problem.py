"""The reason for which a bundle is refused (docs/DESIGN.md section 5.2)."""

from __future__ import annotations

from typing import Literal

import msgspec


class BundleProblem(msgspec.Struct, frozen=True, kw_only=True):
    """Reason for refusing a bundle: the slice and field at fault, the value found there, and how to correct it."""

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
    """Raised by the nested checks to report a problem. It is caught within this package and never leaves it."""

    def __init__(self, problem: BundleProblem) -> None:
        super().__init__(str(problem))
        self.problem = problem
