"""A router's replica of its coordinator's member list (docs/DESIGN.md section 8.2)."""

from __future__ import annotations

from returns.result import Success

from ..identifiers import Address, Seconds
from ..transport.messenger import Messenger
from .control_directory import ControlDirectory
from .member_list import bucket_count
from .member_view import MemberView
from .messages import CompareMembers, HeartbeatAnswer, Member, MembersCompared, Position, identity_of


class MemberListReplica:
    """Applies changes to the member view, and compares it with the coordinator's list when their digests differ.

    Owns the position in the coordinator's list. While the coordinator is warming up, members are only added.
    """

    def __init__(
        self, messenger: Messenger, view: MemberView, directory: ControlDirectory, answer_timeout_s: Seconds
    ) -> None:
        self._messenger = messenger
        self._view = view
        self._list = view.member_list
        self._directory = directory
        self._answer_timeout_s = answer_timeout_s
        self._position: Position | None = None
        self._changes_pending = False

    def position(self) -> Position | None:
        """Returns the position in the latest coordinator's list; None if the replica has no known state of it."""
        return self._position

    def changes_pending(self) -> bool:
        """Returns whether the coordinator has more changes than it included in its answers."""
        return self._changes_pending

    async def apply(self, coordinator: Address, answer: HeartbeatAnswer) -> None:
        """Applies the changes in the answer, then compares the lists if they should be equal and are not."""
        changed = answer.incremental and self._apply_changes(answer)
        self._position = answer.position
        self._changes_pending = answer.more and answer.incremental
        must_compare = not self._changes_pending and (not answer.warming_up or not answer.incremental)
        if self._list.digest != answer.digest and must_compare:
            changed |= await self._compare(coordinator, answer.size)
        if changed:
            self._view.notify_change()

    def _apply_changes(self, answer: HeartbeatAnswer) -> bool:
        changed = False
        for member in answer.joined:
            changed |= self._put(member)
        for incarnation in () if answer.warming_up else answer.left:
            changed |= self._list.drop(incarnation)
        return changed

    async def _compare(self, coordinator: Address, size: int) -> bool:
        """Makes the replica more like the coordinator's list, by transferring the buckets that differ."""
        count = bucket_count(max(size, len(self._list)))
        outcome = await self._messenger.call(
            coordinator,
            CompareMembers(self._list.buckets(count)),
            MembersCompared,
            Seconds(2 * self._answer_timeout_s),
        )
        if not isinstance(outcome, Success):
            self._position = None
            return False
        compared = outcome.unwrap()
        changed = not compared.warming_up and self._drop_unlisted(compared, count)
        for member in compared.members:
            changed |= self._put(member)
        self._position = None if compared.more else compared.position
        self._changes_pending = compared.more
        return changed

    def _drop_unlisted(self, compared: MembersCompared, count: int) -> bool:
        """Removes the members that the coordinator does not have in the compared buckets."""
        listed = {member.incarnation for member in compared.members}
        changed = False
        for identity in self._list.in_buckets(compared.buckets, count):
            if identity.incarnation not in listed:
                changed |= self._list.drop(identity.incarnation)
        return changed

    def _put(self, member: Member) -> bool:
        identity = identity_of(member)
        if identity.role == "control":
            self._directory.record(identity.internal)
        return self._list.put(identity)
