"""How long the control core waits for what (docs/DESIGN.md section 7.4). Durations in seconds."""

from __future__ import annotations

import msgspec

from ..identifiers import Seconds


class ControlLimits(msgspec.Struct, frozen=True, kw_only=True):
    heartbeat_interval: Seconds = Seconds(0.25)
    call_timeout: Seconds = Seconds(0.6)
    """Bound of heartbeats, grants, acceptances and proofs."""
    replicate_timeout: Seconds = Seconds(0.8)
    primary_silence: Seconds = Seconds(1.0)
    """After which a member looks whether the others hear the primary."""
    status_query_interval: Seconds = Seconds(0.2)
    """Between two such looks."""
    primary_recency: Seconds = Seconds(0.9)
    """A primary heard within this counts as heard when another asks."""
    member_silence: Seconds = Seconds(0.9)
    """A backup silent for this long is passed over for another."""
    member_departed_after: Seconds = Seconds(2.2)
    """A member silent or sick for this long gives its seat to a live spare."""
    recruit_pause: Seconds = Seconds(0.3)
    """Before a member that failed as backup is tried again."""
    spare_silence: Seconds = Seconds(1.5)
    leadership_unconfirmed_after: Seconds = Seconds(1.2)
    """Without an answer from any member begun within this, a primary says that it does not lead."""
    leadership_abandoned_after: Seconds = Seconds(3.0)
    """... and after this it gives up its role."""
    decide_timeout: Seconds = Seconds(2.5)
    proof_timeout: Seconds = Seconds(1.0)
    tick_interval: Seconds = Seconds(0.1)
    join_interval: Seconds = Seconds(0.5)
    recovery_interval: Seconds = Seconds(0.5)
    """Between tries to use a sick disk again."""
    disk_check_interval: Seconds = Seconds(1.0)
    """Between looks whether the journal file is still there."""
    batch_commands: int = 512
    queued_commands: int = 8192
    """Commands that may wait; one more is refused as busy."""
    chunk_bytes: int = 512 * 1024
    rewrite_bytes: int = 8 * 1024 * 1024
    """The journal is rewritten when longer than this and than twice its length after the last rewrite."""
    rewrite_timeout_floor: Seconds = Seconds(1.0)
    rewrite_bytes_per_second: float = 20e6
    """Bytes a second that a disk writes at least."""

    def rewrite_timeout(self, length: int) -> Seconds:
        """How long a whole file of that length may take to be written and synced."""
        return Seconds(self.rewrite_timeout_floor + length / self.rewrite_bytes_per_second)
