"""Rejection of calls whose first token would come too late for the caller (docs/DESIGN.md section 14)."""

from __future__ import annotations

import math

from ..bundle.model import Service
from ..identifiers import Seconds
from .protocols import CallRejection

MIN_RETRY_AFTER_S = Seconds(0.5)
MAX_RETRY_AFTER_S = Seconds(30.0)


class DeadlineAdmission:
    """An ``Admission`` that rejects a call predicted to miss the service's ``first_byte_timeout`` less a margin.

    ``margin`` is the fraction of that time limit that is subtracted from it.
    """

    def __init__(self, margin: float = 0.1) -> None:
        self._usable_fraction = 1.0 - margin

    def check(self, service: Service, predicted_first_token: Seconds) -> CallRejection | None:
        """See ``Admission``."""
        excess_s = predicted_first_token - self._usable_fraction * service.first_byte_timeout
        if not excess_s > 0.0:
            return None
        # An infinite prediction means that no estimate exists, not that the call could never run.
        wait_s = max(MIN_RETRY_AFTER_S, excess_s) if math.isfinite(excess_s) else MAX_RETRY_AFTER_S
        return CallRejection(Seconds(min(MAX_RETRY_AFTER_S, wait_s)))
