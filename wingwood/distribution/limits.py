"""Times and sizes of distribution, in seconds and bytes (docs/DESIGN.md sections 9.2 to 9.4)."""

from __future__ import annotations

import msgspec

from ..identifiers import Seconds


class DistributionLimits(msgspec.Struct, frozen=True, kw_only=True):
    push_wait: Seconds = Seconds(0.3)
    """How long a newer version is left to the home to bring."""
    first_chunk_timeout: Seconds = Seconds(0.4)
    """How long one daemon's first answer to a fetch is waited for."""
    next_chunk_timeout: Seconds = Seconds(1.5)
    """How long each further chunk is waited for: its source has answered, and may have a slow link."""
    relay_first_chunk_wait: Seconds = Seconds(0.3)
    """How long an asker waits here for the first piece of what this daemon fetches itself; below ``fetch``."""
    relay_next_chunk_wait: Seconds = Seconds(1.2)
    """The same for each further piece; below ``fetch_more``."""
    upstream_retry_limit: Seconds = Seconds(1.0)
    """How long a newcomer asks the daemon above again, which has no piece yet but expects some."""
    discovery_interval: Seconds = Seconds(0.5)
    """How often a daemon without a bundle asks around while it has heard of none."""
    renewal_interval: Seconds = Seconds(3.0)
    """How often a subscription is renewed at a home that stays the same."""
    subscription_lifetime: Seconds = Seconds(8.0)
    """A subscription that is not renewed ends."""
    upstream_check_interval: Seconds = Seconds(0.25)
    """How often a router looks whether its home is another one."""
    min_publish_interval: Seconds = Seconds(0.1)
    """Least time between two versions put in force, and between two posts to one home."""
    proof_interval: Seconds = Seconds(0.4)
    """How often a control daemon asks the primary for the newest version."""
    proof_timeout: Seconds = Seconds(0.4)
    proof_retry_interval: Seconds = Seconds(0.15)
    proof_age_margin: Seconds = Seconds(0.5)
    """Kept free between the oldest proof that is served on and the bound on removed keys: clocks that run
    apart by 1 in 100 take 0.05 s of it, a call between its last check and its worker the rest."""
    chunk_bytes: int = 128 * 1024
    first_chunk_bytes: int = 32 * 1024
    """Of a fetch; both before packing."""
    max_posted_bytes: int = 16 * 1024
    """Larger deltas are announced and fetched, since those travel packed."""
    max_fetch_bytes: int = 64 * 1024 * 1024
    """Most that a fetch gathers."""
    max_deltas: int = 256
