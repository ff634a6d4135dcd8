"""What the keeper of a tenant's share knows, and the deputy's smaller account (docs/DESIGN.md section 14.1)."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import msgspec

from ..identifiers import DaemonName, Incarnation, Instant, Seconds
from ..transport.frames import Identity
from .bucket import RecentCount, TokenBucket
from .messages import LeaseAsk, UseAnswer
from .tolerance import QuotaPlan

ACCRUE = Seconds(0.3)
"""A router that reaches its keeper saves up so much of what it may use by itself."""
AUTONOMY = Seconds(10.0)
"""So long after its keeper's last answer a router may use by itself what it was allowed."""
CONTACT = Seconds(1.0)
"""A router that reaches its keeper tells within this what it used."""
LAG = Seconds(0.05)
"""Longest that an ask is on its way in calm times; the router goes on by itself meanwhile."""
STEP = Seconds(0.5)
"""Of the reports of past use."""
LARGEST_CALL = 0.8
"""A call that costs more than this part of the bucket is granted when that much is there."""
GUARD_PAUSE = Seconds(0.25)
NARROW = Seconds(0.35)
"""With less room in the window than this is worth at the paid rate, the routers are allowed less by themselves."""
UNPROVEN = 0.25
"""Part of the bucket that counts in the window of a keeper whose session is not proven."""
KEPT_BACK = 0.5
"""Part of the bucket that a keeper whose session is not proven leaves alone."""


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
        if self.gathering is None:  # Else it is in the router's report.
            self.used.add(now, ask.used)
            self.bucket.give(-self._due(found, ask) if known else ask.saved, now)
        others = self.promised(now) - (found.allowed if now <= found.heard + AUTONOMY else 0.0)
        most = max(0.0, self.plan.rate - others) if may_rise else found.allowed
        found.before = min(found.allowed, ask.need)
        found.newest, found.heard, found.saved = ask.number, now, ask.saved
        in_window = self.room(now, limited=not may_rise)[1]
        open_part = max(0.0, min(1.0, in_window / (self.plan.rate * NARROW)))
        found.allowed = min(ask.need, most) * open_part
        return found.allowed

    def promised(self, now: Instant) -> float:
        """Per second: what all routers may use by themselves."""
        return sum(asker.allowed for asker in self.askers.values() if now <= asker.heard + AUTONOMY)

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
        longest = Seconds(1e9) if limited else AUTONOMY
        near = far = 0.0
        for asker in self.askers.values():
            near += asker.may_have_used(now, self.window, ACCRUE)
            far += asker.may_have_used(now, self.window, longest)
        near += LAG * sum(asker.allowed for asker in self.askers.values() if now - asker.heard <= ACCRUE)
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

    def begin(
        self,
        answers: Sequence[tuple[Identity, UseAnswer | None]],
        someone_missing: bool,
        keeper_missing: bool,
        now: Instant,
    ) -> None:
        """Takes over from the keeper before, by what the routers report.

        A keeper that is missing but may be running can have granted its whole bucket since anybody heard of it.
        """
        told = [(router, answer) for router, answer in answers if answer is not None]
        steps = _sum_steps([answer.used for _, answer in told])
        handed = [answer.level for _, answer in told if answer.level is not None]
        known = min((answer.known for _, answer in told), default=Seconds(0.0))
        meanwhile = self.granted_while_gathering
        self._rebuild(steps, known, now)
        if handed:
            self.bucket.level = min(self.plan.bucket, *handed)
        else:
            self.bucket.level = max(self.bucket.level, self.plan.reserve - sum(steps))
        self.bucket.level -= meanwhile
        self.used.add(now, round(meanwhile))
        if not handed:
            self.used.add(now, round(_used_by_missing(told, steps, self.window)))
        for router, answer in told:
            self._note(router, answer, now)
        if someone_missing:
            burst = self.plan.bucket if keeper_missing else 0.0
            self._missing = _Missing(now, burst, _allowed_to_missing(told, self.plan.rate))

    def _rebuild(self, steps: Sequence[int], known: Seconds, now: Instant) -> None:
        """A bucket that began anywhere above zero holds at least this."""
        self.used.clear()
        span = min(known, self.window)
        level, at = 0.0, now - span
        for age in range(len(steps) - 1, -1, -1):
            end = now - age * STEP
            if end <= at:
                continue
            level = min(self.plan.bucket, level + (end - at) * self.plan.rate) - steps[age]
            at = end
            self.used.add(Instant(end), steps[age])
        level = max(0.0, min(self.plan.bucket, level + max(0.0, now - at) * self.plan.rate))
        self.bucket = TokenBucket(self.plan.rate, self.plan.bucket, level, now)

    def _note(self, router: Identity, answer: UseAnswer, now: Instant) -> None:
        found = self.askers.get(router.incarnation)
        if found is not None and found.newest > answer.number:
            return
        self.askers[router.incarnation] = _Asker(
            router.name, answer.number, now, allowed=answer.allowed, saved=answer.saved
        )


def _sum_steps(reports: Sequence[tuple[int, ...]]) -> list[int]:
    steps = [0] * max((len(report) for report in reports), default=0)
    for report in reports:
        for age, used in enumerate(report):
            steps[age] += used
    return steps


def _used_by_missing(told: Sequence[tuple[Identity, UseAnswer]], steps: Sequence[int], window: Seconds) -> float:
    """Part of the use that the last keeper told of which no report holds."""
    latest = min((answer for _, answer in told), key=lambda answer: answer.told_ago, default=None)
    if latest is None or latest.told_ago >= window:
        return 0.0
    older = sum(steps[int(latest.told_ago / STEP) :])
    return max(0.0, latest.told_used * (1.0 - latest.told_ago / window) - older)


def _allowed_to_missing(told: Sequence[tuple[Identity, UseAnswer]], rate: float) -> float:
    """Per second: part of what the last keeper allowed that no report holds."""
    latest = min((answer for _, answer in told), key=lambda answer: answer.told_ago, default=None)
    if latest is None or latest.told_ago >= AUTONOMY:
        return 0.0
    known = sum(answer.allowed for _, answer in told)
    return max(0.0, min(rate, latest.told_promised) - known)


class StandIn:
    """A deputy's account while the keeper is silent: the reserve, and what its askers pour in.

    What is poured in the keeper has already allowed them, so both together never grant more than
    the keeper's own limit and the reserve.
    """

    FORGET = Seconds(2.0)
    """Without an ask for this long, what was poured in is void."""
    AT_ONCE = 0.8
    """Part of the reserve that is granted at once; the rest comes over one window."""

    def __init__(self, plan: QuotaPlan, window: Seconds, now: Instant) -> None:
        refill = (1.0 - self.AT_ONCE) * plan.reserve / window
        self._reserve = TokenBucket(refill, self.AT_ONCE * plan.reserve, plan.reserve, now)
        self._poured = 0.0
        self._asked_at = now

    def grant(self, costs: Sequence[int], poured: float, now: Instant) -> tuple[bool, ...]:
        self._reserve.fill(now)
        if now - self._asked_at > self.FORGET:
            self._poured = 0.0
        self._asked_at = now
        self._poured += max(0.0, poured)
        granted: list[bool] = []
        for cost in costs:
            fits = self._poured + self._reserve.level >= cost - 1e-6
            granted.append(fits)
            if fits:
                own = min(self._poured, cost)
                self._poured -= own
                self._reserve.level -= cost - own
        return tuple(granted)
