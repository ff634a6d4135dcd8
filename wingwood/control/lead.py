"""What a primary knows while it leads (docs/DESIGN.md sections 7.2 and 7.4)."""

from __future__ import annotations

import asyncio

import msgspec

from ..identifiers import Epoch, Incarnation, Instant, Seconds
from .commands import DecidedCommand
from .messages import Seat, View


class Spare(msgspec.Struct, frozen=True):
    """A control daemon without a seat, and when it last asked for one."""

    seat: Seat
    heard: Instant


class Lead:
    """The primary's own knowledge while it leads; a change of view by itself keeps it."""

    def __init__(self, view: View, now: Instant) -> None:
        self.view = view
        self.since = now
        self.in_sync = False
        """The view has the wanted backups, and none of them failed since."""
        self.settled = False
        """What is committed is known exactly, not only from below (after a take-over: once the backups are there)."""
        self.confirmed = now
        """By when a majority, counting us, had answered under our epoch to calls begun after it."""
        self.accepted: dict[Incarnation, Instant] = {}
        """When the newest call to a member began that it answered under our epoch."""
        self.current: dict[Incarnation, Epoch] = {}
        """Under which view a member last answered that knew it to be chosen."""
        self.synced: dict[Incarnation, int] = {}
        """Newest batch that a backup is known to have on its disk, all taken from us."""
        self.answered: dict[Incarnation, Instant] = {}
        """When the newest answered call to a healthy member began."""
        self.unpacks: set[Incarnation] = set()
        """Members that take a packed state."""
        self.failed: dict[Incarnation, Instant] = {}
        """When a member last failed as backup."""
        self.failing: set[Incarnation] = set()
        """Backups of this view that left a batch undone."""
        self.outbid = False
        """A member promised a higher epoch, so it follows again only under a newer one."""
        self.gone: set[Incarnation] = set()
        """Members whose address is used by another incarnation now."""
        self.spares: dict[Incarnation, Spare] = {}
        self.pending: list[DecidedCommand] = []
        """A batch that is journaled here but not at all backups."""
        self.batch = asyncio.Lock()
        """Held while a batch runs or the view changes."""
        self.changing = False
        self.calls: set[Incarnation] = set()
        """Members with a heartbeat under way."""
        self.next_call: dict[Incarnation, Instant] = {}

    def note_accepted(self, member: Incarnation, begun: Instant) -> None:
        """A member answered under our epoch to a call that began then."""
        self.accepted[member] = max(begun, self.accepted.get(member, begun))
        needed = len(self.view.members) // 2
        times = sorted((at for who, at in self.accepted.items() if self.view.seat(who) is not None), reverse=True)
        if needed and len(times) >= needed:
            self.confirmed = max(self.confirmed, times[needed - 1])

    def note_answered(self, member: Incarnation, begun: Instant) -> None:
        """A healthy member answered a call that began then."""
        self.answered[member] = max(begun, self.answered.get(member, begun))

    def is_live(self, member: Incarnation, now: Instant, silence: Seconds) -> bool:
        """It answered a call begun less than ``silence`` ago."""
        answered = self.answered.get(member)
        return answered is not None and now - answered < silence

    def is_gone(self, member: Incarnation, now: Instant, silence: Seconds) -> bool:
        """Its address is another's now, or it has been silent or sick for longer than ``silence``."""
        answered = max(self.since, self.answered.get(member, self.since))
        return member in self.gone or now - answered > silence

    def backup_seats(self) -> list[Seat]:
        """The backups of the view, in the order of its members."""
        return [seat for seat in self.view.members if seat.incarnation in self.view.backups]

    def take_pending(self) -> list[DecidedCommand]:
        """The batch that is not at all backups yet; it is no longer kept here."""
        pending, self.pending = self.pending, []
        return pending

    def forget_silence(self, now: Instant) -> None:
        """This process was frozen: nobody's silence until now counts against them."""
        self.since = now
        self.answered = dict.fromkeys(self.answered, now)
        self.spares.clear()
