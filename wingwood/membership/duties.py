"""Duties of one daemon at a time: the first live one in an agreed order (docs/DESIGN.md section 8.6)."""

from __future__ import annotations

from collections.abc import Sequence

from ..identifiers import DaemonName, Epoch
from ..transport.frames import Identity
from .protocols import Membership


def first_live(order: Sequence[DaemonName], membership: Membership) -> Identity | None:
    """The daemon that does the duty now, as far as this view goes. Two views may differ for a moment."""
    live = {member.name: member for member in membership.members()}
    return next((live[name] for name in order if name in live), None)


class EpochGate:
    """What keeps a duty safe while views differ: whoever is commanded never goes below an epoch it has seen."""

    def __init__(self) -> None:
        self._highest = Epoch(0)

    def admit(self, epoch: Epoch) -> bool:
        """False: a newer holder of the duty has been here; refuse, and tell ``highest``."""
        if epoch < self._highest:
            return False
        self._highest = epoch
        return True

    @property
    def highest(self) -> Epoch:
        return self._highest
