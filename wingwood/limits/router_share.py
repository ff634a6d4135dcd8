"""What a router holds of one tenant's share (docs/DESIGN.md section 14.1)."""

from __future__ import annotations

import asyncio
from collections import deque

import msgspec

from ..bundle.model import Tenant
from ..identifiers import Incarnation, Instant, Seconds
from .bucket import RecentCount, TokenBucket
from .kept_share import ACCRUE, AUTONOMY
from .messages import RECENT, KeeperView, LeaseAsk, LeaseGrant, UseAnswer
from .protocols import ShareRefused
from .takeover import STEP
from .tolerance import QuotaPlan, QuotaTolerance, plan_of_tenant

LEAST_CALLS = 2
"""A router that had fewer calls of the tenant lately (RECENT) is allowed nothing by itself."""
IDLE = Seconds(1.5)
"""Without a call for this long it gives back what it was allowed."""
SETTLE = Seconds(0.25)
"""What was used by itself is told to the keeper so long after its last answer."""
YOUNG = Seconds(3.0)
"""A router that just started doesn't know how many others there are, and so takes nothing on credit."""
CREDIT_CALLS = 1.0
"""On credit a router may always let one call through, if the tenant's unit is calls ..."""
CREDIT_EVERY = Seconds(4.0)
"""... and another one after this long, while the keeper is out of reach."""


SPARE = Seconds(1.0)
"""A grant whose call did not wait for it may be used so long by another call."""


class _Spare(msgspec.Struct):
    until: Instant
    left: int
    stands_in: bool
    """It came from a deputy, so the keeper has to be told when it is used."""


class Waiter:
    """A call that waits for its keeper."""

    __slots__ = ("cost", "outcome")

    def __init__(self, cost: int, outcome: asyncio.Future[ShareRefused | str]) -> None:
        self.cost = cost
        self.outcome = outcome

    def tell(self, outcome: ShareRefused | str) -> None:
        if not self.outcome.done():
            self.outcome.set_result(outcome)


class RouterShare:
    """Counts of one tenant's use here, and what may be used without asking."""

    def __init__(self, tenant: Tenant, tolerance: QuotaTolerance, routers: int, started: Instant, now: Instant) -> None:
        self._tolerance = tolerance
        self._started = started
        self.tenant = tenant
        self.plan: QuotaPlan = plan_of_tenant(tenant, tolerance)
        self.accepted = RecentCount(Seconds(max(RECENT, tolerance.window) + STEP))
        self._calls = RecentCount(RECENT)
        self.offered_at = now
        self.own = TokenBucket(0.0, 0.0, 0.0, now)
        """What the keeper allows this router to use by itself."""
        self.credit = TokenBucket(0.0, 0.0, 0.0, now)
        self._routers = routers
        self._fit_credit(now)
        self.credit.level = self.credit.most
        self._spare: list[_Spare] = []
        self.unsettled = 0
        """Used without a grant of the keeper, and not yet told to it."""
        self.reports = 0
        """Counts the answers to new keepers, which hold what was unsettled until then."""
        self.contact: Instant | None = None
        """When the last ask that the keeper answered was sent."""
        self.plenty = False
        """The keeper's bucket holds enough for credit, as far as this router was told."""
        self.told: KeeperView | None = None
        """The last that a keeper told of the whole."""
        self.told_at = now
        self.waiters: deque[Waiter] = deque()
        self.asking = False
        self.settling = False
        self.empty_until = Instant(0.0)
        self.next_probe = Instant(0.0)
        self.unreachable_since: Instant | None = None
        """Neither the keeper nor its deputy answers."""
        self.deputy_of: Incarnation | None = None
        """The keeper in whose place the deputy is asked."""
        self.deputy_stands = False
        """The last grant came from a deputy's account; what may be used here is poured into that."""
        self.lost = False
        """The keeper does not answer, whether or not its deputy does."""

    def update(self, tenant: Tenant, routers: int, now: Instant) -> None:
        if tenant is self.tenant and routers == self._routers:
            return
        self.tenant, self._routers = tenant, routers
        self.plan = plan_of_tenant(tenant, self._tolerance)
        self._fit_credit(now)

    def _fit_credit(self, now: Instant) -> None:
        """Half of an equal part, which comes again once per window, makes the whole part at most."""
        most = 0.5 * self.plan.credit / max(1, self._routers)
        rate = most / self._tolerance.window
        if self.tenant.unit == "calls":
            most, rate = max(most, CREDIT_CALLS), max(rate, CREDIT_CALLS / CREDIT_EVERY)
        self.credit.change(rate, most, now)

    # Taking

    def take(self, cost: int, now: Instant) -> bool:
        """Without asking: what the keeper allowed before, and where it does no harm on credit."""
        if self._take_spare(cost, now):
            return True
        self._expire(now)
        self.own.fill(now)
        self.credit.fill(now)
        on_credit = self.plenty if self.contact is not None else self.lost
        on_credit = on_credit and now - self._started >= YOUNG and (self.lost or self.plan.credit > 0.0)
        own = max(0.0, self.own.level)
        if cost > own + (self.credit.level if on_credit else 0.0) + 1e-6:
            return False
        self.own.level = own - min(own, cost)
        self.credit.level -= max(0.0, cost - own)
        self.unsettled += cost
        self.count(cost, now)
        return True

    def keep_spare(self, cost: int, stands_in: bool, now: Instant) -> None:
        self._spare.append(_Spare(Instant(now + SPARE), cost, stands_in))

    def _take_spare(self, cost: int, now: Instant) -> bool:
        if not self._spare:
            return False
        self._spare = [spare for spare in self._spare if spare.until > now and spare.left > 0]
        fitting = next((spare for spare in self._spare if spare.left >= cost), None)
        if fitting is None:
            return False
        fitting.left -= cost
        self.unsettled += cost if fitting.stands_in else 0
        self.count(cost, now)
        return True

    def count(self, cost: int, now: Instant) -> None:
        self.accepted.add(now, cost)
        self._calls.add(now)

    def wait_for_own(self, cost: int, now: Instant) -> Seconds:
        """How long until a call would fit into what the router may use by itself."""
        if self.own.rate > 0:
            return self.own.wait(now, cost)
        return self.credit.wait(now, cost) if self.lost else Seconds(60.0)

    def _expire(self, now: Instant) -> None:
        if self.contact is not None and now - self.contact > AUTONOMY:
            self.own.change(0.0, 0.0, now)

    # Asking

    def need(self, now: Instant) -> float:
        if now - self.offered_at > IDLE or self._calls.count(now) < LEAST_CALLS:
            return 0.0
        return self.accepted.count(now, RECENT) / RECENT

    def has_to_tell(self, now: Instant) -> bool:
        return self.unsettled > 0 or (self.own.rate > 0 and now - self.offered_at > IDLE)

    def ask(self, number: int, costs: tuple[int, ...], deputized: bool, now: Instant) -> LeaseAsk:
        """Until the answer the router goes on with the smaller of what it was allowed and what it now needs.

        The keeper counts with that from when it has the ask, which a deputy (``deputized``) does not pass on.
        """
        need = self.need(now)
        self._expire(now)
        self.own.fill(now)
        if not deputized:
            self._allow(min(self.own.rate, need), now)
        tenant, poured = self.tenant, 0.0
        used, self.unsettled = self.unsettled, 0
        saved = max(0.0, self.own.level)
        if self.deputy_stands:
            poured, self.own.level = saved, 0.0
        return LeaseAsk(
            tenant.name,
            tenant.paid_rate,
            tenant.burst,
            tenant.unit,
            number,
            costs,
            used,
            need,
            saved,
            poured,
        )

    def note_answer(self, grant: LeaseGrant, sent: Instant, credit_back: float, now: Instant) -> None:
        """The keeper (no deputy) answered."""
        self.contact = sent
        self.lost = False
        self._allow(grant.allowed, now)
        self.credit.give(credit_back, now)
        self.plenty = grant.plenty
        if grant.view is not None:
            self.told, self.told_at = grant.view, now

    def note_lost(self, now: Instant) -> None:
        if not self.lost:
            self.lost = True
            self.own.change(self.own.rate, self.own.rate * AUTONOMY, now)

    def credit_used(self, now: Instant) -> float:
        self.credit.fill(now)
        return max(0.0, self.credit.most - self.credit.level)

    def _allow(self, rate: float, now: Instant) -> None:
        self.own.change(rate, rate * (AUTONOMY if self.lost else ACCRUE), now)

    # Reporting

    def report(self, window: Seconds, step: Seconds, known: Seconds, number: int, now: Instant) -> UseAnswer:
        """To a new keeper; what was unsettled is in it."""
        self._expire(now)
        self.own.fill(now)
        self.unsettled = 0
        self.reports += 1
        steps = self.accepted.by_age(now, step)[: int(window / step) + 1]
        ago = Seconds(now - self.told_at)
        return UseAnswer(
            steps,
            known,
            None,
            number,
            self.own.rate,
            max(0.0, self.own.level),
            self.told,
            ago,
        )
