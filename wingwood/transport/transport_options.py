"""Sizes and timeouts of the transport between daemons (docs/DESIGN.md section 4)."""

from __future__ import annotations

import msgspec

from ..identifiers import Seconds


class TransportOptions(msgspec.Struct, frozen=True):
    """Bounds on what a messenger buffers and for how long it waits."""

    max_frame_bytes: int = 64 * 1024 * 1024
    """The largest frame that is accepted."""
    max_unsent_bytes: int = 96 * 1024 * 1024
    """A link with more unsent bytes accepts no further messages."""
    max_pending_calls: int = 20_000
    """Limit for calls of one link that wait for their reply."""
    max_pending_posts: int = 10_000
    """Limit for posts made while a link is connecting; further posts are lost, as with an unreachable peer."""
    connect_timeout: Seconds = Seconds(0.5)
    unresponsive_timeout: Seconds = Seconds(1.5)
    """A link is closed when a call on it has waited for this long and no byte was received; the next use reconnects."""
    reconnect_backoff: Seconds = Seconds(0.1)
    """For this long after a failure to connect, calls fail at once and posts are lost."""
