"""Formation of the first view of a fleet (docs/DESIGN.md section 7.2.8)."""

from __future__ import annotations

from collections.abc import Sequence

from ..context.protocols import Context
from ..identifiers import Address, Epoch
from .acceptor import Acceptor
from .directory import ControlDirectory
from .election import Candidate
from .member_state import MemberState
from .messages import ControlPrepare, ControlPrepared, ControlStatus, ControlStatusQuery
from .peer_client import PeerClient, all_answers
from .planning import ClusterSize
from .primary import Primary
from .primary_monitor import PrimaryMonitor
from .views import View, ViewMember

INITIAL_MEMBER_COUNT = 3
"""A fleet is formed by exactly this many seeds."""


class FirstViewFormation:
    """Forms the first view if all seeds answer, are empty, and know of no earlier fleet. It owns no state.

    All seeds must prepare and accept, so that machines whose disks were lost never form a second fleet beside a
    machine that still has the state of the first one.
    """

    def __init__(
        self,
        context: Context,
        size: ClusterSize,
        peers: PeerClient,
        state: MemberState,
        directory: ControlDirectory,
        monitor: PrimaryMonitor,
        acceptor: Acceptor,
        candidate: Candidate,
        primary: Primary,
    ) -> None:
        self._context = context
        self._size = size
        self._peers = peers
        self._state = state
        self._directory = directory
        self._monitor = monitor
        self._acceptor = acceptor
        self._candidate = candidate
        self._primary = primary
        self._own_incarnation = state.own.incarnation

    async def run(self) -> None:
        """Tries once to form the first view, and leads it when it is formed."""
        statuses = [self._monitor.status(), *await self._query_status(self._directory.seeds)]
        members = self._initial_members(statuses)
        if members is None:
            return
        epoch = Epoch(max(self._state.highest_epoch, *(status.prepared_epoch for status in statuses[1:])) + 1)
        if not await self._prepared_by_all(members, epoch):
            return
        backups = tuple(member.incarnation for member in members[1 : 1 + self._size.backups])
        view = View(epoch, self._own_incarnation, backups, tuple(members), (self._own_incarnation, *backups))
        if not await self._candidate.run_accept_phase(view, everyone=True):
            return
        self._context.log.event("fleet-formed", epoch=epoch, members=",".join(member.name for member in members))
        self._primary.begin(view)

    async def _query_status(self, addresses: Sequence[Address]) -> list[ControlStatus]:
        calls = [
            self._peers.ask_address(address, ControlStatusQuery(), ControlStatus)
            for address in addresses
            if address != self._state.own.address
        ]
        return sorted(await all_answers(self._peers, calls), key=lambda status: status.member)

    def _initial_members(self, statuses: Sequence[ControlStatus]) -> list[ViewMember] | None:
        """Returns the seeds in their order.

        Returns None unless all of them answered and their statuses allow a first view.
        """
        seeds = self._directory.seeds
        members = {status.member.incarnation: status.member for status in statuses}
        if len(members) != INITIAL_MEMBER_COUNT or len(seeds) != INITIAL_MEMBER_COUNT:
            return None
        if {member.address for member in members.values()} != set(seeds):
            return None
        if any(not status.empty or status.knows_history for status in statuses):
            return None
        return sorted(members.values(), key=lambda member: seeds.index(member.address))

    async def _prepared_by_all(self, members: Sequence[ViewMember], epoch: Epoch) -> bool:
        """Returns whether this member and all others prepared the epoch and the others are still empty."""
        own = self._own_incarnation
        prepared = await self._acceptor.prepare(ControlPrepare(own, own, epoch, forming=True))
        if not prepared.granted:
            return False
        calls = [
            self._peers.ask(member, ControlPrepare(member.incarnation, own, epoch, forming=True), ControlPrepared)
            for member in members[1:]
        ]
        answers = await all_answers(self._peers, calls)
        return sum(answer.granted and answer.empty for answer in answers) == len(members) - 1
