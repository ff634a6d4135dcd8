"""The bundle in force on this daemon, as the other slices see it (docs/DESIGN.md section 9)."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from ..bundle.model import Bundle
from ..identifiers import Instant


class BundleInForce(Protocol):
    def current(self) -> Bundle | None:
        """The newest whole, verified bundle; never goes back."""
        ...

    def proven_latest_at(self) -> Instant | None:
        """Latest instant of the own clock at which ``current`` was proven to be the newest acknowledged one."""
        ...

    def may_serve(self) -> bool:
        """False without a bundle, and where the deployment bounds removed keys and the proof is too old."""
        ...

    def on_change(self, callback: Callable[[Bundle], None]) -> None: ...
