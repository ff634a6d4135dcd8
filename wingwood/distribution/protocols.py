"""The interface through which other packages read the bundle in force on this daemon (docs/DESIGN.md section 9)."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from ..bundle.model import Bundle
from ..identifiers import Instant


class BundleInForce(Protocol):
    """The bundle that this daemon applies to calls, and the proof that it is the latest one."""

    def current(self) -> Bundle | None:
        """Returns the latest complete, verified bundle; its version never decreases."""
        ...

    def proven_latest_at(self) -> Instant | None:
        """Returns the latest instant of the own clock at which ``current`` was proven to be the latest acknowledged
        bundle; None when there has been no proof."""
        ...

    def may_serve(self) -> bool:
        """Whether calls may be served.

        False without a bundle, and when the deployment bounds the use of removed keys and the proof is too old.
        """
        ...

    def on_change(self, callback: Callable[[Bundle], None]) -> None:
        """Registers ``callback`` to be called with each bundle that is put in force."""
        ...
