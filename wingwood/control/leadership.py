"""The state of a primary while it leads (docs/DESIGN.md sections 7.2 and 7.4)."""

from __future__ import annotations

import asyncio

import msgspec

from ..identifiers import Epoch, Incarnation, Instant, Seconds
from .commands import DecidedCommand
from .views import View, ViewMember


class Spare(msgspec.Struct, frozen=True):
    """A control daemon that is not a member, and when its last request to join arrived."""

    member: ViewMember
    last_requested: Instant


class Leadership:
    """What a primary knows while it leads. It stays when the primary itself changes the view."""

    def __init__(self, view: View, now: Instant) -> None:
        self.view = view
        self.since = now
        """When the leadership began, or when this process last continued after a pause."""
        self.in_sync = False
        """Whether the view has the desired backups and none of them has failed since it was chosen."""
        self.commit_known = False
        """Whether it is known exactly which batches are committed.

        After a failover only a lower bound is known until the backups are in sync.
        """
        self.confirmed = now
        """The latest time such that a majority, counting us, answered under our epoch calls started at or after it."""
        self.accepted: dict[Incarnation, Instant] = {}
        """By member: the start of the latest call that it answered under our epoch."""
        self.chosen_epochs: dict[Incarnation, Epoch] = {}
        """By member: the epoch of the latest view of ours that it knows to be chosen."""
        self.synced: dict[Incarnation, int] = {}
        """By backup: the latest batch known to be on its disk, all batches having come from us."""
        self.answered: dict[Incarnation, Instant] = {}
        """By member: the start of the latest call that it answered while its disk was healthy."""
        self.unpacks: set[Incarnation] = set()
        """Members that accept a packed state."""
        self.failed_at: dict[Incarnation, Instant] = {}
        """By member: when it last failed as a backup."""
        self.failing_backups: set[Incarnation] = set()
        """Backups of this view that did not journal a batch."""
        self.epoch_superseded = False
        """Whether a member prepared a higher epoch; it follows us again only under an epoch above that one."""
        self.replaced: set[Incarnation] = set()
        """Members whose address is now used by another incarnation."""
        self.spares: dict[Incarnation, Spare] = {}
        """Daemons that asked to join."""
        self.pending: list[DecidedCommand] = []
        """The commands of a batch that is journaled here but not yet by all backups."""
        self.batch_lock = asyncio.Lock()
        """Locked while a batch is replicated or the view changes, so no batch is decided under a view in change."""
        self.changing_view = False
        """Whether a change of the view is in progress."""
        self.heartbeats_in_flight: set[Incarnation] = set()
        """Members to which a heartbeat was sent that is not answered yet."""
        self.next_heartbeat: dict[Incarnation, Instant] = {}
        """By member: the earliest time of the next heartbeat."""

    def change_view(self, view: View, now: Instant) -> None:
        """Starts to lead a chosen view, about whose members nothing is known yet except that a quorum accepted it."""
        self.view = view
        self.confirmed = now
        self.failing_backups.clear()
        self.epoch_superseded = False
        self.next_heartbeat.clear()

    def backups_synced(self, sequence: int, now: Instant) -> None:
        """Records that all backups of the view have every batch up to ``sequence`` on their disks."""
        self.answered.update(dict.fromkeys(self.view.backups, now))
        self.synced = dict.fromkeys(self.view.backups, sequence)
        self.in_sync = True
        self.commit_known = True

    def accepts_orders(self, member_count: int) -> bool:
        """Whether orders may be acknowledged: the view has that many members, and its backups are in sync."""
        return self.in_sync and len(self.view.members) >= member_count

    def record_failed(self, incarnation: Incarnation, now: Instant) -> None:
        """Records that a member failed as a backup."""
        self.failed_at[incarnation] = now

    def record_accepted(self, incarnation: Incarnation, started: Instant) -> None:
        """Records that a member answered, under our epoch, a call started at ``started``."""
        self.accepted[incarnation] = max(started, self.accepted.get(incarnation, started))
        needed = len(self.view.members) // 2
        times = sorted(
            (at for accepted_by, at in self.accepted.items() if self.view.member(accepted_by) is not None),
            reverse=True,
        )
        if needed and len(times) >= needed:
            self.confirmed = max(self.confirmed, times[needed - 1])

    def record_answered(self, incarnation: Incarnation, started: Instant) -> None:
        """Records that a healthy member answered a call started at ``started``."""
        self.answered[incarnation] = max(started, self.answered.get(incarnation, started))

    def is_live(self, incarnation: Incarnation, now: Instant, timeout: Seconds) -> bool:
        """Whether the member answered a call that was started less than ``timeout`` seconds ago."""
        answered = self.answered.get(incarnation)
        return answered is not None and now - answered < timeout

    def is_departed(self, incarnation: Incarnation, now: Instant, timeout: Seconds) -> bool:
        """Whether another incarnation uses its address, or it was unresponsive or unhealthy for over ``timeout``."""
        answered = max(self.since, self.answered.get(incarnation, self.since))
        return incarnation in self.replaced or now - answered > timeout

    def backup_members(self) -> list[ViewMember]:
        """Returns the backups of the view, in the order of its members."""
        return [member for member in self.view.members if member.incarnation in self.view.backups]

    def take_pending(self) -> list[DecidedCommand]:
        """Returns and clears the commands of the batch that not all backups have journaled yet."""
        pending, self.pending = self.pending, []
        return pending

    def process_paused(self, now: Instant) -> None:
        """Treats the members as if they had answered just now, since a paused process receives no answers."""
        self.since = now
        self.answered = dict.fromkeys(self.answered, now)
        self.spares.clear()
