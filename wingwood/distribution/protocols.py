"""The interface through which other packages read the bundle of this daemon (docs/DESIGN.md section 9)."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from ..bundle.model import Bundle
from ..identifiers import Instant


class BundleInForce(Protocol):
    """The bundle that this daemon applies to calls, and since when it is confirmed as the latest one."""

    def current(self) -> Bundle | None:
        """Returns the latest complete, verified bundle; its version never decreases."""
        ...

    def confirmed_latest_at(self) -> Instant | None:
        """Returns the latest instant of the own clock at which ``current`` was confirmed to be the latest acknowledged
        bundle; None when there has been no confirmation."""
        ...

    def may_serve(self) -> bool:
        """Whether calls may be served.

        False without a bundle, and when the deployment bounds the use of removed keys and the confirmation is too old.
        """
        ...

    def on_change(self, callback: Callable[[Bundle], None]) -> None:
        """Registers ``callback`` to be called with each bundle that is applied."""
        ...
