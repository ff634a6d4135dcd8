"""A coordinator's answers to the daemons that have a session with it (docs/DESIGN.md sections 8.1 and 8.2)."""

from __future__ import annotations

from collections.abc import Callable

from ..context.protocols import Clock
from ..transport.frames import Identity
from ..transport.messenger import Messenger
from .isolation import IsolationDetector
from .local_sessions import LocalSessions
from .membership_options import MembershipOptions
from .messages import (
    ClusterUpdate,
    CompareMembers,
    Heartbeat,
    HeartbeatAnswer,
    MembersCompared,
    Position,
    member_of,
)
from .observed_versions import ObservedVersions
from .published_list import PublishedList
from .warm_up import WarmUp


class HeartbeatResponder:
    """Answers heartbeats with the changes of the merged list, and compares that list with a daemon's replica of it."""

    def __init__(
        self,
        clock: Clock,
        messenger: Messenger,
        options: MembershipOptions,
        sessions: LocalSessions,
        merged: PublishedList,
        warm_up: WarmUp,
        isolation: IsolationDetector,
        observed: ObservedVersions,
        current_update: Callable[[], ClusterUpdate],
    ) -> None:
        self._clock = clock
        self._options = options
        self._sessions = sessions
        self._merged = merged
        self._warm_up = warm_up
        self._isolation = isolation
        self._observed = observed
        self._current_update = current_update
        messenger.on_call(Heartbeat, self._on_heartbeat)
        messenger.on_call(CompareMembers, self._on_compare)

    async def _on_heartbeat(self, peer: Identity, heartbeat: Heartbeat) -> HeartbeatAnswer:
        members = self._merged.members
        was_member = peer.incarnation in members
        self._observed.observe(heartbeat.epoch, heartbeat.version)
        admitted = self._sessions.renew(peer, heartbeat, self._clock.monotonic(), was_member)
        changes = self._merged.changes_since(heartbeat.position, self._options.max_members_per_answer)
        last_sequence = members.sequence if changes is None else changes.last_sequence
        return HeartbeatAnswer(
            position=Position(self._merged.run_id, last_sequence),
            size=len(members),
            digest=members.digest,
            update=self._current_update(),
            was_member=was_member,
            admitted=admitted,
            warming_up=self._warm_up.is_active(),
            isolated=self._isolation.isolated,
            incremental=changes is not None,
            more=last_sequence < members.sequence,
            joined=() if changes is None else tuple(map(member_of, changes.joined)),
            left=() if changes is None else changes.left,
        )

    async def _on_compare(self, _peer: Identity, request: CompareMembers) -> MembersCompared:
        members = self._merged.members
        count = max(1, len(request.buckets))
        own = members.buckets(count)
        differing = [index for index in range(count) if request.buckets[index : index + 1] != (own[index],)]
        max_buckets = max(1, count * self._options.max_members_per_answer // max(1, len(members)))
        included = differing[:max_buckets]
        return MembersCompared(
            position=self._merged.position(),
            warming_up=self._warm_up.is_active(),
            more=len(included) < len(differing),
            buckets=tuple(included),
            members=tuple(map(member_of, members.in_buckets(included, count))),
        )
