"""Charges to tenants' paid shares (docs/DESIGN.md section 14).

Guards against calls that are charged a wrong cost, and against charges for calls without a tenant.
"""

from __future__ import annotations

import asyncio
import unittest
from typing import Any, cast

from ...bundle.model import Service, Tenant
from ...identifiers import (
    Address,
    ClassName,
    Instant,
    PoolName,
    RequestId,
    Seconds,
    ServiceName,
    TenantName,
)
from ...limits.protocols import CallRejection
from ..calls import CallAttributes, CallerRequest, IncomingCall
from ..policies.paid_share import PaidSharePolicy
from ..results import CallResult, Forwarded, Rejection
from .fakes import FakeLimits, FakeShares

SERVICE = Service(name=ServiceName("chat"), pool=PoolName("model"))
TENANT = Tenant(name=TenantName("estate"), priority_class=ClassName("gold"), paid_rate=1.0, unit="tokens")


class PaidShareTest(unittest.TestCase):
    def apply(self, limits: FakeLimits, **attributes: Any) -> CallResult:
        call = IncomingCall(
            request_id=RequestId("r1"),
            request=CallerRequest(
                method="POST",
                path="/chat",
                headers=(),
                body=b"",
                peer=Address("10.0.0.9", 1),
                received_at=Instant(0.0),
            ),
            response=cast(Any, None),
            attributes=CallAttributes(service=SERVICE, **attributes),
        )

        async def proceed(_: IncomingCall) -> CallResult:
            return Forwarded(200)

        return asyncio.run(PaidSharePolicy(FakeShares(limits), limits).apply(call, proceed))

    def test_a_call_is_charged_what_it_costs(self) -> None:
        limits = FakeLimits()
        self.assertEqual(self.apply(limits, tenant=TENANT, quota_cost=9_258), Forwarded(200))
        self.assertEqual((limits.costs, limits.earned_by), ([9_258], ["chat"]))

    def test_a_call_without_a_tenant_is_charged_nothing(self) -> None:
        limits = FakeLimits()
        limits.share_refused = CallRejection(Seconds(1.0))
        self.assertEqual(self.apply(limits), Forwarded(200))
        self.assertEqual((limits.shares_taken, limits.earned_by), (0, ["chat"]))

    def test_a_refused_call_gets_a_retry_time_and_adds_to_the_retry_budget(self) -> None:
        limits = FakeLimits()
        limits.share_refused = CallRejection(Seconds(0.3))
        answer = self.apply(limits, tenant=TENANT, quota_cost=40_000)
        assert isinstance(answer, Rejection)
        self.assertEqual((answer.status, answer.run, answer.retry_after), (429, "not-run", 0.3))
        self.assertEqual(limits.earned_by, ["chat"])
