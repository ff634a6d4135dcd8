"""What a primary knows while it leads (docs/DESIGN.md sections 7.2 and 7.4)."""

from __future__ import annotations

import asyncio

import msgspec

from ..identifiers import Epoch, Incarnation, Instant, Seconds
from .commands import DecidedCommand
from .messages import View, ViewMember


class Spare(msgspec.Struct, frozen=True):
    """A control daemon without a seat, and when it last asked for one."""

    member: ViewMember
    last_heard: Instant


class Leadership:
    """The primary's own knowledge while it leads; a change of view by itself keeps it."""

    def __init__(self, view: View, now: Instant) -> None:
        self.view = view
        self.since = now
        self.in_sync = False
        """The view has the wanted backups, and none of them failed since."""
        self.commit_known = False
        """What is committed is known exactly, not only from below (after a take-over: once the backups are there)."""
        self.confirmed = now
        """By when a majority, counting us, had answered under our epoch to calls begun after it."""
        self.accepted: dict[Incarnation, Instant] = {}
        """When the newest call to a member began that it answered under our epoch."""
        self.chosen_epochs: dict[Incarnation, Epoch] = {}
        """Under which view a member last answered that knew it to be chosen."""
        self.synced: dict[Incarnation, int] = {}
        """Newest batch that a backup is known to have on its disk, all taken from us."""
        self.answered: dict[Incarnation, Instant] = {}
        """When the newest answered call to a healthy member began."""
        self.unpacks: set[Incarnation] = set()
        """Members that take a packed state."""
        self.failed_at: dict[Incarnation, Instant] = {}
        """When a member last failed as backup."""
        self.failing_backups: set[Incarnation] = set()
        """Backups of this view that left a batch undone."""
        self.epoch_superseded = False
        """A member promised a higher epoch, so it follows again only under a newer one."""
        self.replaced: set[Incarnation] = set()
        """Members whose address is used by another incarnation now."""
        self.spares: dict[Incarnation, Spare] = {}
        self.pending: list[DecidedCommand] = []
        """A batch that is journaled here but not at all backups."""
        self.batch_lock = asyncio.Lock()
        """Held while a batch runs or the view changes."""
        self.changing_view = False
        self.heartbeats_in_flight: set[Incarnation] = set()
        """Members with a heartbeat under way."""
        self.next_heartbeat: dict[Incarnation, Instant] = {}

    def note_accepted(self, incarnation: Incarnation, started: Instant) -> None:
        """A member answered under our epoch to a call that began then."""
        self.accepted[incarnation] = max(started, self.accepted.get(incarnation, started))
        needed = len(self.view.members) // 2
        times = sorted((at for who, at in self.accepted.items() if self.view.member(who) is not None), reverse=True)
        if needed and len(times) >= needed:
            self.confirmed = max(self.confirmed, times[needed - 1])

    def note_answered(self, incarnation: Incarnation, started: Instant) -> None:
        """A healthy member answered a call that began then."""
        self.answered[incarnation] = max(started, self.answered.get(incarnation, started))

    def is_live(self, incarnation: Incarnation, now: Instant, silence: Seconds) -> bool:
        """It answered a call begun less than ``silence`` ago."""
        answered = self.answered.get(incarnation)
        return answered is not None and now - answered < silence

    def is_departed(self, incarnation: Incarnation, now: Instant, silence: Seconds) -> bool:
        """Its address is another's now, or it has been silent or sick for longer than ``silence``."""
        answered = max(self.since, self.answered.get(incarnation, self.since))
        return incarnation in self.replaced or now - answered > silence

    def backup_members(self) -> list[ViewMember]:
        """The backups of the view, in the order of its members."""
        return [member for member in self.view.members if member.incarnation in self.view.backups]

    def take_pending(self) -> list[DecidedCommand]:
        """The batch that is not at all backups yet; it is no longer kept here."""
        pending, self.pending = self.pending, []
        return pending

    def reset_silence(self, now: Instant) -> None:
        """This process was frozen: nobody's silence until now counts against them."""
        self.since = now
        self.answered = dict.fromkeys(self.answered, now)
        self.spares.clear()
