"""A member or spare that does not lead: joins, forms, heals, looks, takes over (docs/DESIGN.md sections 7.2 to 7.4)."""

from __future__ import annotations

from collections.abc import Sequence

from ..identifiers import Address, Epoch, Instant
from .member import MemberSetup
from .messages import (
    ControlCanvass,
    ControlGrant,
    ControlJoin,
    ControlJoined,
    ControlPromise,
    ControlStanding,
    Seat,
    View,
)
from .primary import Primary
from .voter import Voter

SEEDS_WANTED = 3
"""A fleet is formed by exactly so many seeds."""
NEVER = Instant(0.0)
RESIGNED_SILENCE = 0.7
"""Of the silence borne otherwise: for a primary that resigned, so that its backups stand first."""


class Follower(Primary, Voter):
    """Wanted: a live primary that we hear, or a seat, or the lead. Works out what is missing."""

    def __init__(self, setup: MemberSetup) -> None:
        super().__init__(setup)
        self._candidate = False
        self._joined = self._healed = self._looked = self._resigned = NEVER
        """When each was last tried."""

    async def _follow(self) -> None:
        while not self._stopped:
            lay_down = self._now()
            await self._context.clock.sleep(self._limits.tick)
            now = self._now()
            if now - lay_down > self._limits.silence:
                self._woke(now)
            if self._lead is not None:
                self._tend(self._lead)
            elif self._sick is not None or (self._stale and now >= self._not_before):
                await self._heal_in_time(now)
            else:
                await self._seek_primary(now)

    def _woke(self, now: Instant) -> None:
        """We were frozen: the silence of the others was ours. (Whether we lead is judged by answers alone.)"""
        self._heard = max(self._heard, Instant(now - 0.5 * self._limits.silence))
        if self._lead is not None:
            self._lead.forget_silence(now)

    async def _heal_in_time(self, now: Instant) -> None:
        if now - self._healed >= self._limits.heal or self._sick is None:
            self._healed = now
            async with self._lock:
                await self._heal()

    async def _seek_primary(self, now: Instant) -> None:
        known = self._known
        if known is not None and known.primary == self._me:
            self._resign(known, now)
        if (known is None or known.seat(self._me) != self._seat) and now - self._joined >= self._limits.join:
            self._joined = now
            await self._join()
            if self._known is None and not self._store.touched and self._seeds[:1] == (self._seat.address,):
                await self._form()
        if known is None or known.seat(self._me) is None:
            return
        silent = now - self._heard >= self._silence_borne(known)
        if silent and now >= self._not_before and now - self._looked >= self._limits.look:
            if await self._may_stand(known):
                await self._take_over()
            self._looked = self._now()

    # -- taking over

    def _resign(self, view: View, now: Instant) -> None:
        """We lead no longer, for instance since a restart: the others need not wait out our silence.

        Sent again and again, since they may be restarting too.
        """
        if now - self._resigned < self._limits.look:
            return
        self._resigned = now
        self._gave_way = view.epoch
        self._ask_to_take_over(view)

    def _silence_borne(self, view: View) -> float:
        """The backups try first, one after another, then other holders; a witness only looks for newer views."""
        rank = view.backups.index(self._me) if self._me in view.backups else None
        if self._gave_way == view.epoch:
            if view.primary == self._me:
                return RESIGNED_SILENCE * self._limits.silence
            return (0.3 if rank is None else min(0.15 * rank, 0.3)) * self._limits.silence
        if rank is not None:
            return min(1.0 + 0.15 * rank, 1.4) * self._limits.silence
        if view.primary == self._me:
            return 1.2 * self._limits.silence if len(view.backups) < 2 else 1.3 * self._limits.silence
        return 1.4 * self._limits.silence

    async def _may_stand(self, view: View) -> bool:
        """Whether a majority of the newest known view's members does not hear its primary either."""

        async def ask(seat: Seat) -> ControlStanding | None:
            return await self._ask(seat, ControlCanvass(), ControlStanding)

        def deaf(answers: list[ControlStanding]) -> bool:
            return view.majority({self._me, *(answer.by for answer in answers if not answer.hears_primary)})

        answers = await self._gather([ask(seat) for seat in self._others(view)], deaf, self._limits.call)
        for answer in answers:
            self._note_epoch(answer.promised)
            self._note_view(answer.view)
        return deaf(answers) and self._is_able_to_stand(view)

    def _is_able_to_stand(self, view: View) -> bool:
        """Nothing newer is known, this disk holds the newest view's state, and nobody leads that we hear."""
        newest = self._store.view
        return (
            self._known == view
            and newest is not None
            and self._me in newest.holders
            and self._sick is None
            and not self._stale
            and self._lead is None
            and self._now() - self._heard >= self._silence_borne(view)
        )

    async def _take_over(self) -> None:
        self._candidate = True
        begun = self._now()
        try:
            view = await self._stand(None)
        finally:
            self._candidate = False
        if view is None:
            self._put_off_candidacy()
            return
        self._log("take-over", epoch=view.epoch, silent_for=begun - self._heard, rounds=self._now() - begun)
        self._begin_lead(view)

    # -- joining

    async def _join(self) -> None:
        addresses = [address for address in self.control_addresses() if address != self._seat.address]
        work = [self._ask_address(address, ControlJoin(self._seat), ControlJoined) for address in addresses]
        for joined in await self._gather(work, lambda _: False, self._limits.call):
            self._note_view(joined.view)

    # -- forming the first view (section 7.2.8)

    async def _form(self) -> None:
        """All three seeds answer, all are empty, and nobody knows of any history."""
        standings = [self._standing(), *await self._canvass(self._seeds)]
        members = self._founders(standings)
        if members is None:
            return
        epoch = Epoch(max(self._highest_epoch, *(standing.promised for standing in standings[1:])) + 1)
        if not await self._promised_by_founders(members, epoch):
            return
        backups = tuple(seat.incarnation for seat in members[1 : 1 + self._backups_wanted])
        view = View(epoch, self._me, backups, tuple(members), (self._me, *backups))
        if not await self._accept_round(view, everyone=True):
            return
        self._log("fleet-formed", epoch=epoch, members=",".join(seat.name for seat in members))
        self._begin_lead(view)

    async def _canvass(self, addresses: Sequence[Address]) -> list[ControlStanding]:
        work = [
            self._ask_address(address, ControlCanvass(), ControlStanding)
            for address in addresses
            if address != self._seat.address
        ]
        standings = await self._gather(work, lambda _: False, self._limits.call)
        return sorted(standings, key=lambda standing: standing.seat)

    def _founders(self, standings: Sequence[ControlStanding]) -> list[Seat] | None:
        """The seeds in their order, when these standings are all of them and allow a first view."""
        seats = {standing.seat.incarnation: standing.seat for standing in standings}
        addresses = {seat.address for seat in seats.values()}
        if len(seats) != SEEDS_WANTED or len(self._seeds) != SEEDS_WANTED or addresses != set(self._seeds):
            return None
        if any(not standing.empty or standing.knows_history for standing in standings):
            return None
        return sorted(seats.values(), key=lambda seat: self._seeds.index(seat.address))

    async def _promised_by_founders(self, members: Sequence[Seat], epoch: Epoch) -> bool:
        async with self._lock:
            if not await self._promise(ControlPromise(self._me, self._me, epoch, forming=True)):
                return False
        work = [
            self._ask(seat, ControlPromise(seat.incarnation, self._me, epoch, forming=True), ControlGrant)
            for seat in members[1:]
        ]
        grants = await self._gather(work, lambda _: False, self._limits.call)
        return sum(grant.granted and grant.empty for grant in grants) == len(members) - 1
