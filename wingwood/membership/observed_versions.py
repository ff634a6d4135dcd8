"""The latest epoch and bundle version that a daemon has heard of."""

from __future__ import annotations

import msgspec

from ..identifiers import BundleVersion, Epoch


class ObservedVersions(msgspec.Struct):
    """Latest epoch and bundle version in any message; 0 means that none was mentioned yet."""

    epoch: Epoch = Epoch(0)
    version: BundleVersion = BundleVersion(0)

    def observe(self, epoch: Epoch, version: BundleVersion) -> None:
        """Raises the latest epoch and version to those of a message."""
        self.epoch = max(self.epoch, epoch)
        self.version = max(self.version, version)
