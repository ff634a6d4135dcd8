"""Chooses how a new version is posted to a daemon that has an earlier one (docs/DESIGN.md section 9.2)."""

from __future__ import annotations

from collections.abc import Callable

from ..bundle.model import BundleDelta
from ..identifiers import BundleVersion
from .deltas import slice_bytes
from .messages import BundleAnnounced, BundlePosted


class BundlePosts:
    """The posts of one version: the delta itself when it is small, otherwise an announcement.

    A post is built once for all receivers that have the same earlier version.
    """

    def __init__(
        self,
        announcement: BundleAnnounced,
        delta_since: Callable[[BundleVersion], BundleDelta | None],
        max_posted_bytes: int,
    ) -> None:
        """``delta_since`` returns the delta from an earlier version to the announced one."""
        self._announcement = announcement
        self._delta_since = delta_since
        self._max_posted_bytes = max_posted_bytes
        self._posts: dict[BundleVersion, BundlePosted | BundleAnnounced] = {}

    def since(self, version: BundleVersion) -> BundlePosted | BundleAnnounced:
        """Returns the post for a receiver that has ``version``."""
        if version not in self._posts:
            delta = self._delta_since(version)
            is_small = delta is not None and slice_bytes(delta) <= self._max_posted_bytes
            self._posts[version] = (
                BundlePosted(delta, self._announcement.epoch) if delta is not None and is_small else self._announcement
            )
        return self._posts[version]
