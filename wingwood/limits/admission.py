"""Refusing at once what would come too late (docs/DESIGN.md section 14)."""

from __future__ import annotations

import math

from ..bundle.model import Service
from ..identifiers import Seconds
from .protocols import ShareRefused


class DeadlineAdmission:
    """An ``Admission``: the predicted first token must fit into the callers' patience, less a margin."""

    def __init__(self, margin: float = 0.1) -> None:
        self._usable_fraction = 1.0 - margin

    def refuse(self, service: Service, predicted_first_token: Seconds) -> ShareRefused | None:
        late = predicted_first_token - self._usable_fraction * service.first_byte_patience
        if not late > 0.0:
            return None
        # Capped: an infinite prediction says that nothing is known, not that nothing will ever run.
        return ShareRefused(Seconds(min(30.0, max(0.5, late)) if math.isfinite(late) else 30.0))
