"""The version that a router should reach (docs/DESIGN.md section 9.2)."""

from __future__ import annotations

import asyncio

from ..context.protocols import Clock
from ..identifiers import Address, BundleVersion, Instant, Seconds
from .applied_bundle import AppliedBundle


class VersionTarget:
    """The latest version announced to this router, and the daemon that announced it.

    Owns the event that wakes the loop of ``BundleFollower`` when there is something to do.
    """

    def __init__(self, clock: Clock, applied: AppliedBundle) -> None:
        self._clock = clock
        self._applied = applied
        self._version = BundleVersion(0)
        self._behind_since: Instant | None = None
        """The instant since which the target has been later than the applied version; None while it is not."""
        self._announced_by: Address | None = None
        """A daemon that certainly has a later version; it is asked first, without waiting for a post from upstream."""
        self._changed = asyncio.Event()

    @property
    def version(self) -> BundleVersion:
        """The latest version announced to this router; 0 if there was none."""
        return self._version

    @property
    def is_announced(self) -> bool:
        """Whether a daemon is known that has a later version and has not been asked yet."""
        return self._announced_by is not None

    def behind_for(self, now: Instant) -> Seconds | None:
        """Returns for how long the target has been later than the applied version; None while it is not."""
        return None if self._behind_since is None else Seconds(now - self._behind_since)

    def raise_to(self, version: BundleVersion) -> None:
        """Raises the target to ``version`` unless it is later already."""
        self._version = max(self._version, version)
        if self._version > self._applied.version() and self._behind_since is None:
            self._behind_since = self._clock.monotonic()
            self._changed.set()

    def announce(self, version: BundleVersion, source: Address) -> None:
        """Raises the target to ``version``, which ``source`` has; ignored unless it is later than the applied one."""
        if version > self._applied.version():
            self.raise_to(version)
            self.prefer_source(source)

    def prefer_source(self, source: Address) -> None:
        """Lets the next fetch start at ``source``, at once."""
        self._announced_by = source
        self._changed.set()

    def take_source(self) -> Address | None:
        """Returns the daemon that announced a later version, once."""
        source, self._announced_by = self._announced_by, None
        return source

    def record_applied(self) -> None:
        """Restarts the time behind the target, because another version has been applied."""
        self._behind_since = self._clock.monotonic() if self._version > self._applied.version() else None

    def wake(self) -> None:
        """Ends ``wait_for_change``."""
        self._changed.set()

    def clear_change(self) -> None:
        """Lets ``wait_for_change`` wait for the next change."""
        self._changed.clear()

    async def wait_for_change(self, timeout: Seconds) -> None:
        """Waits until there is a change since ``clear_change``, but no longer than ``timeout`` seconds."""
        try:
            async with asyncio.timeout(timeout):
                await self._changed.wait()
        except TimeoutError:
            pass
