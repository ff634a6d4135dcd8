"""A daemon that does not lead: joining, forming, disk recovery and take-over (docs/DESIGN.md sections 7.2 to 7.4)."""

from __future__ import annotations

from collections.abc import Sequence

from ..identifiers import Address, Epoch, Instant
from .member import MemberSetup
from .messages import ControlJoin, ControlJoined, ControlPrepare, ControlPrepared, ControlStatus, ControlStatusQuery
from .primary import Primary
from .views import View, ViewMember
from .voter import Voter

INITIAL_MEMBER_COUNT = 3
"""A fleet is formed by exactly this many seeds."""
NEVER = Instant(0.0)
RELEASED_PRIMARY_TIMEOUT_FACTOR = 0.7
"""Fraction of ``primary_timeout`` that a primary waits after it gave up leadership.

So its backups become candidates first.
"""


class Follower(Primary, Voter):
    """Brings this daemon to a state in which it is a member and either leads or receives messages of a primary.

    Each tick finds out what is missing for this and takes the next step.
    """

    def __init__(self, setup: MemberSetup) -> None:
        super().__init__(setup)
        self._candidate = False
        self._last_join = self._last_recovery = self._last_status_query = self._last_release = NEVER
        """When each of these was last attempted."""

    async def _follow(self) -> None:
        while not self._stopped:
            before_sleep = self._now()
            await self._context.clock.sleep(self._options.tick_interval)
            now = self._now()
            if now - before_sleep > self._options.primary_timeout:
                self._after_freeze(now)
            if self._leadership is not None:
                self._maintain_leadership(self._leadership)
            elif self._disk_fault is not None or (self._stale and now >= self._no_election_before):
                await self._recover_disk_when_due(now)
            else:
                await self._seek_primary(now)

    def _after_freeze(self, now: Instant) -> None:
        """Called after this process was frozen: what looked like silence of the others was its own standstill.

        Whether this daemon still leads is judged by answers alone.
        """
        self._primary_heard_at = max(self._primary_heard_at, Instant(now - 0.5 * self._options.primary_timeout))
        if self._leadership is not None:
            self._leadership.reset_timeouts(now)

    async def _recover_disk_when_due(self, now: Instant) -> None:
        if now - self._last_recovery >= self._options.recovery_interval or self._disk_fault is None:
            self._last_recovery = now
            async with self._lock:
                await self._recover_disk()

    async def _seek_primary(self, now: Instant) -> None:
        known = self._known_view
        if known is not None and known.primary == self._own_incarnation:
            self._repeat_release(known, now)
        if (
            known is None or known.member(self._own_incarnation) != self._own_member
        ) and now - self._last_join >= self._options.join_interval:
            self._last_join = now
            await self._join()
            if (
                self._known_view is None
                and not self._store.ever_used
                and self._seeds[:1] == (self._own_member.address,)
            ):
                await self._form()
        if known is None or known.member(self._own_incarnation) is None:
            return
        silent = now - self._primary_heard_at >= self._silence_limit(known)
        if (
            silent
            and now >= self._no_election_before
            and now - self._last_status_query >= self._options.status_query_interval
        ):
            if await self._may_be_candidate(known):
                await self._take_over()
            self._last_status_query = self._now()

    # -- taking over

    def _repeat_release(self, view: View, now: Instant) -> None:
        """Notifies the others, at intervals, that we no longer lead a view that names us as primary.

        This happens after a restart, for instance; the others then need not wait for the silence limit. The
        message is repeated, since the others may be restarting too.
        """
        if now - self._last_release < self._options.status_query_interval:
            return
        self._last_release = now
        self._released_epoch = view.epoch
        self._announce_release(view)

    def _silence_limit(self, view: View) -> float:
        """Returns how long this member waits without a message of the primary before it tries to take over.

        The backups try first, one after another, then other holders; a witness only looks for newer views.
        """
        rank = view.backups.index(self._own_incarnation) if self._own_incarnation in view.backups else None
        if self._released_epoch == view.epoch:
            if view.primary == self._own_incarnation:
                return RELEASED_PRIMARY_TIMEOUT_FACTOR * self._options.primary_timeout
            return (0.3 if rank is None else min(0.15 * rank, 0.3)) * self._options.primary_timeout
        if rank is not None:
            return min(1.0 + 0.15 * rank, 1.4) * self._options.primary_timeout
        if view.primary == self._own_incarnation:
            return 1.2 * self._options.primary_timeout if len(view.backups) < 2 else 1.3 * self._options.primary_timeout
        return 1.4 * self._options.primary_timeout

    async def _may_be_candidate(self, view: View) -> bool:
        """Whether a majority of the members of the latest known view receives no messages of its primary either."""

        async def ask(member: ViewMember) -> ControlStatus | None:
            return await self._ask(member, ControlStatusQuery(), ControlStatus)

        def majority_misses_primary(answers: list[ControlStatus]) -> bool:
            return view.majority(
                {self._own_incarnation, *(answer.by for answer in answers if not answer.hears_primary)}
            )

        answers = await self._gather(
            [ask(member) for member in self._other_members(view)], majority_misses_primary, self._options.call_timeout
        )
        for answer in answers:
            self._note_epoch(answer.prepared_epoch)
            self._note_view(answer.view)
        return majority_misses_primary(answers) and self._is_eligible(view)

    def _is_eligible(self, view: View) -> bool:
        """Whether this member may become a candidate.

        It knows no newer view, its disk confirmed the state of the latest view, and no primary sends it messages.
        """
        latest_view = self._store.view
        return (
            self._known_view == view
            and latest_view is not None
            and self._own_incarnation in latest_view.holders
            and self._disk_fault is None
            and not self._stale
            and self._leadership is None
            and self._now() - self._primary_heard_at >= self._silence_limit(view)
        )

    async def _take_over(self) -> None:
        self._candidate = True
        started = self._now()
        try:
            view = await self._run_election(None)
        finally:
            self._candidate = False
        if view is None:
            self._put_off_candidacy()
            return
        self._log(
            "take-over", epoch=view.epoch, silent_for=started - self._primary_heard_at, rounds=self._now() - started
        )
        self._begin_leadership(view)

    # -- joining

    async def _join(self) -> None:
        addresses = [address for address in self.control_addresses() if address != self._own_member.address]
        work = [self._ask_address(address, ControlJoin(self._own_member), ControlJoined) for address in addresses]
        for joined in await self._gather(work, lambda _: False, self._options.call_timeout):
            self._note_view(joined.view)

    # -- forming the first view (section 7.2.8)

    async def _form(self) -> None:
        """Forms the first view if all three seeds answer, are empty, and know of no earlier fleet."""
        statuses = [self._status(), *await self._query_status(self._seeds)]
        members = self._founders(statuses)
        if members is None:
            return
        epoch = Epoch(max(self._highest_epoch, *(status.prepared_epoch for status in statuses[1:])) + 1)
        if not await self._promised_by_founders(members, epoch):
            return
        backups = tuple(member.incarnation for member in members[1 : 1 + self._desired_backup_count])
        view = View(epoch, self._own_incarnation, backups, tuple(members), (self._own_incarnation, *backups))
        if not await self._accept_round(view, everyone=True):
            return
        self._log("fleet-formed", epoch=epoch, members=",".join(member.name for member in members))
        self._begin_leadership(view)

    async def _query_status(self, addresses: Sequence[Address]) -> list[ControlStatus]:
        work = [
            self._ask_address(address, ControlStatusQuery(), ControlStatus)
            for address in addresses
            if address != self._own_member.address
        ]
        statuses = await self._gather(work, lambda _: False, self._options.call_timeout)
        return sorted(statuses, key=lambda status: status.member)

    def _founders(self, statuses: Sequence[ControlStatus]) -> list[ViewMember] | None:
        """Returns the seeds in their order.

        Returns None unless all of them answered and their statuses allow a first view.
        """
        founders = {status.member.incarnation: status.member for status in statuses}
        addresses = {member.address for member in founders.values()}
        if (
            len(founders) != INITIAL_MEMBER_COUNT
            or len(self._seeds) != INITIAL_MEMBER_COUNT
            or addresses != set(self._seeds)
        ):
            return None
        if any(not status.empty or status.knows_history for status in statuses):
            return None
        return sorted(founders.values(), key=lambda member: self._seeds.index(member.address))

    async def _promised_by_founders(self, members: Sequence[ViewMember], epoch: Epoch) -> bool:
        """Returns whether this member and all other founders promised the epoch and the others are still empty."""
        async with self._lock:
            if not await self._promise(
                ControlPrepare(self._own_incarnation, self._own_incarnation, epoch, forming=True)
            ):
                return False
        work = [
            self._ask(
                member, ControlPrepare(member.incarnation, self._own_incarnation, epoch, forming=True), ControlPrepared
            )
            for member in members[1:]
        ]
        grants = await self._gather(work, lambda _: False, self._options.call_timeout)
        return sum(grant.granted and grant.empty for grant in grants) == len(members) - 1
