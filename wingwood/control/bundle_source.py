"""The acknowledged bundles of this control daemon, as distribution reads them (docs/DESIGN.md section 7.2.6)."""

from __future__ import annotations

from collections.abc import Callable

from ..bundle.model import BundleDelta, Manifest
from ..bundle.state import BundleState
from ..identifiers import BundleVersion
from .core import ReplicatedCore
from .relay import RelayCore


class CommittedBundles:
    """A ``BundleSource`` over the bundle applier that shows only versions durable on the primary and all backups.

    Owns the manifest of the latest durable version.
    """

    def __init__(self, core: ReplicatedCore | RelayCore, state: BundleState) -> None:
        self._state = state
        self._manifest: Manifest | None = None
        self._on_committed: list[Callable[[Manifest], None]] = []
        core.on_commit(self._committed)

    @property
    def state(self) -> BundleState:
        """The state of the bundle applier, which may be ahead of what is durable."""
        return self._state

    @property
    def version(self) -> BundleVersion:
        """The latest durable version; 0 when there is none."""
        return self._manifest.version if self._manifest is not None else BundleVersion(0)

    def latest(self) -> Manifest | None:
        """Returns the manifest of the latest durable version, or None when there is none."""
        return self._manifest

    def delta_since(self, version: BundleVersion) -> BundleDelta | None:
        """Returns the change from ``version`` to the latest durable version, or None when there is no change."""
        return self._state.delta_since(version, self.version)

    def on_committed(self, callback: Callable[[Manifest], None]) -> None:
        """Calls back with the manifest of each version that becomes durable."""
        self._on_committed.append(callback)

    def _committed(self) -> None:
        manifest = self._state.manifest_at(self._state.version)
        if manifest is None or manifest.version <= self.version:
            return
        self._manifest = manifest
        for callback in self._on_committed:
            callback(manifest)
