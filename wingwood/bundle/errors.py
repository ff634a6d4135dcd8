"""Why a bundle is refused or cannot be read (docs/DESIGN.md section 5.2)."""

from __future__ import annotations

from typing import Literal

import msgspec


class BundleError(msgspec.Struct, frozen=True, kw_only=True):
    """Reason for refusing a bundle: the slice and field at fault, the value found there, and how to correct it.

    After ``gap`` and ``stale`` the bundle may be requested again; all other codes need another order of an operator.
    """

    code: Literal["signature", "root", "gap", "stale", "slice", "field", "reference", "double", "large"]
    slice: str = ""
    field: str = ""
    value: str = ""
    remedy: str = msgspec.field(name="mend")

    def __str__(self) -> str:
        where = " ".join(part for part in (self.slice, self.field and f"field {self.field}") if part)
        shown = f" is {self.value}" if self.value else ""
        return f"{where}{shown}: {self.remedy}" if where else self.remedy


class BundleCheckError(Exception):
    """Raised by the nested checks to report a ``BundleError``. It is caught within this package and never leaves it."""

    def __init__(self, error: BundleError) -> None:
        super().__init__(str(error))
        self.error = error


class BundleReadError(msgspec.Struct, frozen=True):
    """No control daemon gave an authoritative answer; ``reason`` says why for each daemon asked. Try again later."""

    reason: str
