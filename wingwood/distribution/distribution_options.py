"""Timeouts, intervals and sizes of bundle distribution (docs/DESIGN.md sections 9.2 to 9.4)."""

from __future__ import annotations

import msgspec

from ..identifiers import Seconds


class DistributionOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Times and sizes that daemons use when they distribute bundles, in seconds and bytes."""

    push_wait: Seconds = Seconds(0.3)
    """The time that a router waits for its upstream router to post a newer version before it fetches it itself."""
    first_chunk_timeout: Seconds = Seconds(0.4)
    """The timeout for the first chunk of a fetch from one source, and for a subscription call."""
    next_chunk_timeout: Seconds = Seconds(1.5)
    """The timeout for each further chunk; it is longer because the source has answered and may have a slow link."""
    relay_first_chunk_wait: Seconds = Seconds(0.3)
    """The time that a request waits here for the first chunk of a delta that this daemon is fetching itself.

    It must be below the requester's ``first_chunk_timeout``.
    """
    relay_next_chunk_wait: Seconds = Seconds(1.2)
    """The same for each further chunk; it must be below ``next_chunk_timeout``."""
    upstream_retry_limit: Seconds = Seconds(1.0)
    """The time for which a router without a bundle retries at its upstream router that has no chunk yet but is
    about to fetch the delta."""
    discovery_interval: Seconds = Seconds(0.5)
    """The interval at which a router without a bundle asks other daemons while no version has been announced to it."""
    renewal_interval: Seconds = Seconds(3.0)
    """The mean interval at which a router renews its subscription at an upstream router that stays the same."""
    subscription_lifetime: Seconds = Seconds(8.0)
    """The time after which a subscription that is not renewed ends."""
    upstream_check_interval: Seconds = Seconds(0.25)
    """The interval at which a router checks whether its upstream router has changed."""
    min_publish_interval: Seconds = Seconds(0.1)
    """The least time between two applied versions, and between two posts to one tree root."""
    confirmation_interval: Seconds = Seconds(0.4)
    """The interval at which a control daemon asks the primary for the latest version."""
    confirmation_timeout: Seconds = Seconds(0.4)
    """The timeout of one such request, and of one poll in which the primary confirms that it still leads."""
    confirmation_retry_interval: Seconds = Seconds(0.15)
    """The interval at which a control daemon asks again after it got no confirmation."""
    confirmation_age_margin: Seconds = Seconds(0.5)
    """The margin between the oldest confirmation on which a router serves calls and the bound on removed keys.

    Clocks whose rates differ by 1 in 100 use 0.05 s of it; the time of a call between its last check and its
    worker uses the rest.
    """
    chunk_bytes: int = 128 * 1024
    """The size of a chunk before compression."""
    first_chunk_bytes: int = 32 * 1024
    """The size of the first chunk of a fetch before compression."""
    max_posted_bytes: int = 16 * 1024
    """The size above which a delta is announced and fetched instead of posted, since fetched deltas are compressed."""
    max_fetch_bytes: int = 64 * 1024 * 1024
    """The largest encoded delta that a fetch accepts."""
    max_deltas: int = 256
    """The number of recent deltas that a router stores for daemons a few versions behind."""
