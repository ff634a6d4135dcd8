"""Refusal of calls whose first token would come too late for the caller (docs/DESIGN.md section 14)."""

from __future__ import annotations

import math

from ..bundle.model import Service
from ..identifiers import Seconds
from .protocols import ShareRefused


class DeadlineAdmission:
    """An ``Admission`` that refuses a call predicted to miss the service's ``first_byte_timeout`` less a margin.

    ``margin`` is the fraction of that time limit that is subtracted from it.
    """

    def __init__(self, margin: float = 0.1) -> None:
        self._usable_fraction = 1.0 - margin

    def refuse(self, service: Service, predicted_first_token: Seconds) -> ShareRefused | None:
        late = predicted_first_token - self._usable_fraction * service.first_byte_timeout
        if not late > 0.0:
            return None
        # Retry-after is capped at 30 s: an infinite prediction means that no estimate exists,
        # not that the call could never run.
        return ShareRefused(Seconds(min(30.0, max(0.5, late)) if math.isfinite(late) else 30.0))
