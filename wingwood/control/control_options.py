"""Timeouts, intervals and sizes of the control core (docs/DESIGN.md section 7.4). Durations are in seconds."""

from __future__ import annotations

import msgspec

from ..identifiers import Seconds


class JournalOptions(msgspec.Struct, frozen=True, kw_only=True):
    """When the control journal is checked, recovered and rewritten."""

    recovery_interval: Seconds = Seconds(0.5)
    """Interval between attempts to use a failed disk again."""
    check_interval: Seconds = Seconds(1.0)
    """Interval of the checks that the journal file still exists."""
    rewrite_bytes: int = 8 * 1024 * 1024
    """The journal is rewritten when it is longer than this and than twice its length after the last rewrite."""
    rewrite_timeout_floor: Seconds = Seconds(1.0)
    """Timeout of a rewrite, to which the time to write the file is added."""
    bytes_per_second: float = 20e6
    """The lowest write rate that a healthy disk is expected to reach."""

    def write_time(self, length: int) -> Seconds:
        """Returns how long a healthy disk takes at most to write ``length`` bytes."""
        return Seconds(length / self.bytes_per_second)

    def rewrite_timeout(self, length: int) -> Seconds:
        """Returns how long writing and syncing a complete file of ``length`` bytes may take."""
        return Seconds(self.rewrite_timeout_floor + length / self.bytes_per_second)


class ControlOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Timeouts, intervals and sizes of one control daemon."""

    heartbeat_interval: Seconds = Seconds(0.25)
    call_timeout: Seconds = Seconds(0.6)
    """Timeout of heartbeats, of both phases of an election, of queries and of confirmations."""
    replicate_timeout: Seconds = Seconds(0.8)
    """Timeout of one batch at a backup, to which twice the time to write the batch is added."""
    primary_timeout: Seconds = Seconds(1.0)
    """After this time without a message of the primary, a member asks the others whether they receive its messages."""
    status_query_interval: Seconds = Seconds(0.2)
    """Interval between two such status queries."""
    primary_recency: Seconds = Seconds(0.9)
    """A member answers that it hears the primary if it received a message of it within this time."""
    member_timeout: Seconds = Seconds(0.9)
    """A member unresponsive for this long is not chosen as a backup; another member is."""
    member_departed_after: Seconds = Seconds(2.2)
    """A member unresponsive or unhealthy for this long is replaced by a live spare."""
    recruit_backoff: Seconds = Seconds(0.3)
    """Backoff before a member that failed as a backup is recruited again."""
    spare_timeout: Seconds = Seconds(1.5)
    """A spare that has not asked to join for this long is not made a member."""
    leadership_unconfirmed_after: Seconds = Seconds(1.2)
    """A primary reports that it does not lead when no majority answered calls started within this time."""
    leadership_abandoned_after: Seconds = Seconds(3.0)
    """After this time without such answers it gives up leadership."""
    decide_timeout: Seconds = Seconds(2.5)
    """Longest time from the arrival of a command at the primary to its reply."""
    confirmation_timeout: Seconds = Seconds(1.0)
    """Longest time from a request for a confirmation of leadership to its answer."""
    tick_interval: Seconds = Seconds(0.1)
    """Interval of the periodic work of each member."""
    join_interval: Seconds = Seconds(0.5)
    """Interval at which a daemon that is not a member asks to join."""
    batch_commands: int = 512
    """Most commands in one batch."""
    queued_commands: int = 8192
    """Most commands in the queue; further ones are rejected as busy."""
    chunk_bytes: int = 512 * 1024
    """Size of the chunks in which a complete state is sent."""
    journal: JournalOptions = JournalOptions()
