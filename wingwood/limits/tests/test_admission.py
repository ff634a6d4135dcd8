"""Rejection of calls whose first token would come too late (docs/DESIGN.md section 14.3)."""

from __future__ import annotations

import unittest

from ...bundle.model import Service
from ...identifiers import PoolName, Seconds, ServiceName
from ..admission import DeadlineAdmission


def service(retry_share: float = 0.15, first_byte_timeout: float = 4.0) -> Service:
    return Service(
        name=ServiceName("chat"),
        pool=PoolName("model"),
        retry_share=retry_share,
        first_byte_timeout=Seconds(first_byte_timeout),
    )


class AdmissionTest(unittest.TestCase):
    def test_rejects_calls_whose_first_token_would_come_too_late(self) -> None:
        admission = DeadlineAdmission()
        self.assertIsNone(admission.check(service(first_byte_timeout=4.0), Seconds(3.5)))
        rejection = admission.check(service(first_byte_timeout=4.0), Seconds(9.6))
        assert rejection is not None
        self.assertAlmostEqual(rejection.retry_after, 6.0)
        endless = admission.check(service(), Seconds(float("inf")))
        assert endless is not None
        self.assertEqual(endless.retry_after, 30.0)
