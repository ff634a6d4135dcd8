"""What the keeper of a tenant's share knows (docs/DESIGN.md section 14.1)."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import msgspec

from ..identifiers import DaemonName, Incarnation, Instant, Seconds
from ..transport.frames import Identity
from .bucket import RecentCount, TokenBucket
from .messages import KeeperView, LeaseAsk, UseAnswer
from .takeover import STEP, Inheritance, inherit
from .tolerance import QuotaPlan

ACCRUE = Seconds(0.3)
"""A router that reaches its keeper saves up so much of what it may use by itself."""
AUTONOMY = Seconds(10.0)
"""So long after its keeper's last answer a router may use by itself what it was allowed."""
UNEVEN = 3.0
"""So many times an equal part of the calls may come to the missing routers."""
UNNOTICED = Seconds(2.5)
"""So long a router may be missing before another keeper begins."""
CONTACT = Seconds(1.0)
"""A router that reaches its keeper tells within this what it used."""
LAG = Seconds(0.05)
"""Longest that an ask is on its way in calm times; the router goes on by itself meanwhile."""
LARGEST_CALL = 0.8
"""A call that costs more than this part of the bucket is granted when that much is there."""
GUARD_PAUSE = Seconds(0.25)
NARROW = Seconds(0.35)
"""With less room in the window than this is worth at the paid rate, the routers are allowed less by themselves."""
UNPROVEN = 0.25
"""Part of the bucket that counts in the window of a keeper whose session is not proven."""
KEPT_BACK = 0.5
"""Part of the bucket that a keeper whose session is not proven leaves alone."""
SUMMED_FOR = Seconds(0.02)
"""With many routers their parts are added up anew at most this often; in between the sum is an upper bound."""
SUMMED_ABOVE = 32
"""Fewer routers are added up for each ask."""


class _Asker(msgspec.Struct):
    """A router, as its newest ask left it."""

    name: DaemonName
    newest: int
    heard: Instant
    allowed: float = 0.0
    before: float = 0.0
    """What it goes on with until it has the newest answer; see ``RouterShare.ask``."""
    saved: float = 0.0

    def may_have_used(self, now: Instant, window: Seconds, longest: Seconds) -> float:
        """Most that it can have used by itself in the last ``window``, going on for ``longest`` after its ask."""
        end = min(now, self.heard + longest)
        age = max(0.0, end - max(self.heard, now - window))
        return (self.saved if now - self.heard <= window else 0.0) + max(self.allowed, self.before) * age


class _Sums(msgspec.Struct):
    """The parts of all routers added up at one instant."""

    at: Instant
    limited: bool
    near: float = 0.0
    """Of the bucket: what they may have saved up, and what they may use while an ask is on its way."""
    far: float = 0.0
    """Of the window: what they may have used since they were heard."""
    promised: float = 0.0
    """Per second: what they may use by themselves."""
    rate: float = 0.0
    """Per second: what ``near`` and ``far`` grow by at most."""

    def put(self, asker: _Asker, window: Seconds, sign: float = 1.0) -> None:
        """Adds the router's part, or takes it out."""
        longest = Seconds(1e9) if self.limited else AUTONOMY
        if self.at <= asker.heard + AUTONOMY:
            self.promised += sign * asker.allowed
        if not (asker.allowed or asker.before or asker.saved):
            return
        self.near += sign * asker.may_have_used(self.at, window, ACCRUE)
        self.far += sign * asker.may_have_used(self.at, window, longest)
        self.rate += sign * max(asker.allowed, asker.before)
        if self.at - asker.heard <= ACCRUE:
            self.near += sign * LAG * asker.allowed


class _Missing(msgspec.Struct, frozen=True):
    """Routers that a new keeper cannot reach and that may be running."""

    since: Instant
    burst: float
    """Most that they can have used lately without anybody knowing."""
    allowed: float
    """Per second: what they may go on using by themselves, for AUTONOMY."""

    def may_have_used(self, now: Instant, window: Seconds) -> float:
        age = min(now, self.since + AUTONOMY) - max(self.since, now - window)
        return (self.burst if now - self.since <= window else 0.0) + self.allowed * max(0.0, age)


class KeptShare:
    """One tenant's bucket and window.

    A call is granted when the bucket holds it beyond what the routers saved up, and when the window
    has room beyond all that routers which have not been heard of may have used by themselves.
    """

    def __init__(self, plan: QuotaPlan, window: Seconds, level: float, now: Instant) -> None:
        self.plan = plan
        self.window = window
        self.bucket = TokenBucket(plan.rate, plan.bucket, level, now)
        self.used = RecentCount(Seconds(window + RecentCount.STEP))
        self.gathering: asyncio.Future[None] | None = None
        self.gathered = False
        """Else nobody was asked. The bucket, which began at the reserve, isn't charged for what was used before;
        what a router has saved up, the keeper before had set aside."""
        self.granted_while_gathering = 0.0
        self.askers: dict[Incarnation, _Asker] = {}
        self._missing: _Missing | None = None
        self._known_since = now
        self._sums: _Sums | None = None

    def change(self, plan: QuotaPlan, now: Instant) -> None:
        """A lower limit counts from now on, so what was used under the higher one is forgotten."""
        if plan == self.plan:
            return
        if plan.most < self.plan.most:
            self.used.clear()
        self.plan = plan
        self.bucket.change(plan.rate, plan.bucket, now)

    def charge(self, tokens: float, now: Instant) -> None:
        self.bucket.give(-tokens, now)
        self.used.add(now, round(tokens))
        if self.gathering is not None:
            self.granted_while_gathering += tokens

    def is_void(self, asker: Identity, ask: LeaseAsk) -> bool:
        found = self.askers.get(asker.incarnation)
        return found is not None and ask.number <= found.newest

    def settle(self, asker: Identity, ask: LeaseAsk, now: Instant, may_rise: bool) -> float:
        """Charges what the router used by itself; what it may use from now on."""
        found = self.askers.get(asker.incarnation)
        known = self.gathered or found is not None
        if found is None:
            for incarnation in [key for key, other in self.askers.items() if other.name == asker.name]:
                del self.askers[incarnation]  # Its earlier life.
            found = self.askers[asker.incarnation] = _Asker(asker.name, ask.number, now)
            self._sums = None
        if self.gathering is None:  # Else it is in the router's report.
            self.used.add(now, ask.used)
            self.bucket.give(-self._due(found, ask) if known else ask.saved, now)
        sums = self._summed(now, limited=not may_rise)
        others = sums.promised - (found.allowed if sums.at <= found.heard + AUTONOMY else 0.0)
        most = max(0.0, self.plan.rate - others) if may_rise else found.allowed
        sums.put(found, self.window, sign=-1.0)
        found.before = min(found.allowed, ask.need)
        found.newest, found.heard, found.saved = ask.number, now, ask.saved
        sums.put(found, self.window)
        in_window = self.room(now, limited=not may_rise)[1]
        open_part = max(0.0, min(1.0, in_window / (self.plan.rate * NARROW)))
        sums.put(found, self.window, sign=-1.0)
        found.allowed = min(ask.need, most) * open_part
        sums.put(found, self.window)
        return found.allowed

    def promised(self, now: Instant) -> float:
        """Per second: what all routers may use by themselves."""
        limited = False if self._sums is None else self._sums.limited
        return self._summed(now, limited).promised

    def _summed(self, now: Instant, limited: bool) -> _Sums:
        """All routers' parts: of this instant with few routers, else of one at most ``SUMMED_FOR`` ago.

        A part grows by at most its ``rate`` since then, and what was promised only runs out.
        """
        sums = self._sums
        kept_for = SUMMED_FOR if len(self.askers) > SUMMED_ABOVE else 0.0
        if sums is not None and sums.limited == limited and 0.0 <= now - sums.at <= kept_for:
            return sums
        sums = self._sums = _Sums(now, limited)
        for asker in self.askers.values():
            sums.put(asker, self.window)
        return sums

    def missing_have_ended(self) -> None:
        """The processes of which nothing was known use nothing any more, and did not grant after they were asked."""
        self._missing = None

    def _due(self, asker: _Asker, ask: LeaseAsk) -> float:
        """What the bucket is charged; what a router used while it was cut off counted in the window alone."""
        return min(ask.used, asker.saved + max(asker.allowed, asker.before) * CONTACT + self.plan.credit)

    def grant(self, costs: Sequence[int], now: Instant, limited: bool) -> tuple[tuple[bool, ...], Seconds]:
        """Which calls fit, and how long until the first that does not."""
        granted: list[bool] = []
        wait = Seconds(0.0)
        in_bucket, in_window = self.room(now, limited)
        for cost in costs:
            needed = min(cost, LARGEST_CALL * self.plan.bucket)
            fits = in_bucket >= needed - 1e-6 and in_window >= cost - 1e-6
            granted.append(fits)
            if fits:
                self.charge(cost, now)
                in_bucket -= cost
                in_window -= cost
            elif not wait:
                missing = max(0.0, needed - in_bucket) / self.plan.rate
                wait = Seconds(missing if in_window >= cost else max(missing, GUARD_PAUSE))
        return tuple(granted), wait

    def room(self, now: Instant, limited: bool) -> tuple[float, float]:
        """In the bucket and in the window.

        ``limited``: the session with control is not proven, so another keeper may be granting; then only the
        rate counts, and routers that are not heard of may go on for good.
        """
        self.bucket.fill(now)
        sums = self._summed(now, limited)
        since = now - sums.at
        near, far = sums.near + sums.rate * since, sums.far + sums.rate * since
        level, most = self.bucket.level, self.plan.most
        if limited:
            level -= KEPT_BACK * self.plan.bucket
            most = self.plan.rate * self.window + UNPROVEN * self.plan.bucket
        if self._missing is not None:
            far += self._missing.may_have_used(now, self.window)
        return level - near, most - self.used.count(now) - far

    def forget_silent(self, now: Instant) -> None:
        for incarnation in [
            key for key, asker in self.askers.items() if now - asker.heard > AUTONOMY + 2 * self.window
        ]:
            del self.askers[incarnation]
            self._sums = None

    def view(self, in_bucket: float, now: Instant) -> KeeperView | None:
        """For the next keeper; None while this one doesn't know it."""
        if self.gathering is not None:
            return None
        known = Seconds(now - self._known_since)
        return KeeperView(float(self.used.count(now)), self.promised(now), known, in_bucket)

    def begin(
        self, answers: Sequence[tuple[Identity, UseAnswer | None]], missing: int, keeper_missing: bool, now: Instant
    ) -> None:
        """Takes over from the keeper before, by what the routers report.

        ``missing`` routers may be running although nothing is heard of them. If the keeper before is one of
        them, it can have granted a part of its bucket since anybody heard of it.
        """
        told = [(router, answer) for router, answer in answers if answer is not None]
        inherited = inherit([answer for _, answer in told], self.window)
        meanwhile = self.granted_while_gathering
        level = max(inherited.level(self.plan.rate, self.plan.bucket), self.plan.reserve - sum(inherited.steps))
        self.bucket = TokenBucket(self.plan.rate, self.plan.bucket, level - meanwhile, now)
        self.used.clear()
        for age in range(len(inherited.steps) - 1, -1, -1):
            self.used.add(Instant(now - age * STEP), inherited.steps[age])
        self.used.add(now, round(meanwhile + inherited.unreported))
        self._known_since = Instant(now - inherited.span)
        for router, answer in told:
            self._note(router, answer, now)
        self._sums = None
        if missing:
            self._missing = self._note_missing(inherited, len(told), missing, keeper_missing, now)

    def _note_missing(
        self, inherited: Inheritance, present: int, missing: int, keeper_missing: bool, now: Instant
    ) -> _Missing:
        # Most of the routers may agree on another keeper, which then grants as well.
        promised = self.plan.rate if missing >= present else min(self.plan.rate, inherited.promised)
        allowed = max(0.0, promised - inherited.reported_allowance)
        burst = self.plan.bucket * min(1.0, UNEVEN * missing / (missing + present)) if keeper_missing else 0.0
        return _Missing(now, burst + allowed * UNNOTICED, allowed)

    def _note(self, router: Identity, answer: UseAnswer, now: Instant) -> None:
        found = self.askers.get(router.incarnation)
        if found is None or found.newest <= answer.number:
            self.askers[router.incarnation] = _Asker(
                router.name, answer.number, now, allowed=answer.allowed, saved=answer.saved
            )
