"""Checks that signed orders and edition orders share; each returns the reason for a refusal, or None."""

from __future__ import annotations

import re
from collections.abc import Mapping

from ..identifiers import OrderId, SliceName

_ORDER_ID = re.compile(r"[!-~]{1,64}")


def order_id_refusal(order: OrderId) -> str | None:
    """Returns the reason why this is not a valid order id; None when it is valid."""
    if _ORDER_ID.fullmatch(order):
        return None
    return f"order is {order[:80]!r}: 1 to 64 letters without spaces"


class SizeLimit:
    """The largest total size in bytes of a bundle, and of the slices of an order."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes

    def order_refusal(self, slices: Mapping[SliceName, bytes]) -> str | None:
        """Returns the reason for refusing an order with these slices; None when they are not too large."""
        return self._refusal("order", slices)

    def bundle_refusal(self, slices: Mapping[SliceName, bytes]) -> str | None:
        """Returns the reason for refusing a bundle with these slices; None when they are not too large."""
        return self._refusal("bundle", slices)

    def _refusal(self, subject: str, slices: Mapping[SliceName, bytes]) -> str | None:
        size = sum(map(len, slices.values()))
        if size <= self._max_bytes:
            return None
        return f"the {subject} has {size} bytes: keep it to {self._max_bytes} (bundle_bytes in settings)"
