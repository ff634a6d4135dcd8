"""Roles that one daemon at a time performs: the first live one in an agreed order (docs/DESIGN.md section 8.6)."""

from __future__ import annotations

from collections.abc import Sequence

from ..identifiers import DaemonName, Epoch
from ..transport.frames import Identity
from .protocols import Membership


def first_live(order: Sequence[DaemonName], membership: Membership) -> Identity | None:
    """Returns the daemon that performs the role according to this view; two views may differ for a moment."""
    live = {member.name: member for member in membership.members()}
    return next((live[name] for name in order if name in live), None)


class EpochGate:
    """Protects a role while views differ: the receiver of commands rejects epochs below the highest it has seen.

    Owns that highest epoch, which serves as the fencing token.
    """

    def __init__(self) -> None:
        self._highest = Epoch(0)

    def admit(self, epoch: Epoch) -> bool:
        """Returns False if a daemon with a later epoch has sent commands; reject, and report ``highest``."""
        if epoch < self._highest:
            return False
        self._highest = epoch
        return True

    @property
    def highest(self) -> Epoch:
        """The highest epoch of any command so far."""
        return self._highest
