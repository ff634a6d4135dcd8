"""How long the control core waits for what (docs/DESIGN.md section 7.4). Durations in seconds."""

from __future__ import annotations

import msgspec

from ..identifiers import Seconds


class ControlLimits(msgspec.Struct, frozen=True, kw_only=True):
    heartbeat: Seconds = Seconds(0.25)
    call: Seconds = Seconds(0.6)
    """Bound of heartbeats, grants, acceptances and proofs."""
    replicate: Seconds = Seconds(0.8)
    silence: Seconds = Seconds(1.0)
    """After which a member looks whether the others hear the primary."""
    look: Seconds = Seconds(0.2)
    """Between two such looks."""
    heard: Seconds = Seconds(0.9)
    """A primary heard within this counts as heard when another asks."""
    member_silent: Seconds = Seconds(0.9)
    """A backup silent for this long is passed over for another."""
    member_gone: Seconds = Seconds(2.2)
    """A member silent or sick for this long gives its seat to a live spare."""
    recruit_pause: Seconds = Seconds(0.3)
    """Before a member that failed as backup is tried again."""
    spare_silent: Seconds = Seconds(1.5)
    lead_unconfirmed: Seconds = Seconds(1.2)
    """Without an answer from any member begun within this, a primary says that it does not lead."""
    lead_abandoned: Seconds = Seconds(3.0)
    """... and after this it gives up its role."""
    decide: Seconds = Seconds(2.5)
    proof: Seconds = Seconds(1.0)
    tick: Seconds = Seconds(0.1)
    join: Seconds = Seconds(0.5)
    heal: Seconds = Seconds(0.5)
    """Between tries to use a sick disk again."""
    check: Seconds = Seconds(1.0)
    """Between looks whether the journal file is still there."""
    batch: int = 512
    waiting: int = 8192
    """Commands that may wait; one more is refused as busy."""
    piece_bytes: int = 512 * 1024
    rewrite_bytes: int = 8 * 1024 * 1024
    """The journal is rewritten when longer than this and than twice its length after the last rewrite."""
    rewrite_floor: Seconds = Seconds(1.0)
    rewrite_rate: float = 20e6
    """Bytes a second that a disk writes at least."""

    def rewriting(self, length: int) -> Seconds:
        """How long a whole file of that length may take to be written and synced."""
        return Seconds(self.rewrite_floor + length / self.rewrite_rate)
