"""Submitting editions and reading the newest content back (docs/DESIGN.md section 15.6)."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Coroutine
from typing import Any, TypeVar

import msgspec
from returns.result import Failure, Result, Success

from ...bundle.reading import BundleAnswer, HistoryAnswer, LocalBundleReader, NotReadable
from ...bundle.state import BundleState
from ...bundle.tests.samples import OPERATOR_KEYS, SIGNING_KEY, edition_change, sample_slices
from ...control.protocols import NotDecided
from ...identifiers import BundleVersion, Instant, OrderId, Seconds, WallTime
from ..editions import CALL_TIMEOUT_S, EditionClient

Reply = TypeVar("Reply", bound=msgspec.Struct)
Value = TypeVar("Value")


class Primary:
    """Decides at once, unless it has a fault to tell."""

    def __init__(self) -> None:
        self.state = BundleState(OPERATOR_KEYS, signing_key=SIGNING_KEY)
        self.fault: NotDecided | None = None

    async def decide(
        self, kind: str, command: msgspec.Struct, reply_type: type[Reply], timeout: Seconds
    ) -> Result[Reply, NotDecided]:
        if self.fault is not None:
            return Failure(self.fault)
        assert (kind, timeout) == ("bundle", CALL_TIMEOUT_S)
        record, reply = self.state.decide(command)
        if record is not None:
            self.state.apply(record)
        return Success(msgspec.msgpack.decode(msgspec.msgpack.encode(reply), type=reply_type))


class StepClock:
    """Time passes by sleeping only."""

    def __init__(self) -> None:
        self.now = 0.0

    def monotonic(self) -> Instant:
        return Instant(self.now)

    def wall(self) -> WallTime:
        return WallTime(self.now)

    async def sleep(self, seconds: Seconds) -> None:
        self.now += seconds


class Away:
    async def bundle(self, version: BundleVersion) -> Result[BundleAnswer, NotReadable]:
        return Failure(NotReadable("cut off"))

    async def history(self, most: int) -> Result[HistoryAnswer, NotReadable]:
        return Failure(NotReadable("cut off"))


def run(work: Coroutine[Any, Any, Value]) -> Value:
    return asyncio.run(work)


class EditionClientTest(unittest.TestCase):
    def setUp(self) -> None:
        self.primary, self.clock = Primary(), StepClock()
        self.behind = BundleVersion(1)
        late = LocalBundleReader(self.primary.state, lambda: self.behind)
        self.late = EditionClient(self.primary, (Away(), late), self.clock)
        current = LocalBundleReader(self.primary.state, lambda: self.primary.state.version)
        self.client = EditionClient(self.primary, (late, current), self.clock)
        self.cut_off = EditionClient(self.primary, (Away(),), self.clock)
        self.first = edition_change(0, 4, sample_slices())

    def test_what_was_submitted_is_read_back_with_its_number(self) -> None:
        self.assertIsNone(run(self.client.newest()).unwrap())
        self.assertEqual(run(self.client.submit(self.first)).unwrap().edition, 4)
        run(self.client.submit(edition_change(4, 6, sample_slices(3))))
        newest = run(self.client.newest()).unwrap()
        assert newest is not None
        self.assertEqual((newest.number, newest.view.manifest.version), (6, 2))
        self.assertNotIn("tenant/tenant-3", newest.view.slices)
        status = run(self.client.status(self.first.order)).unwrap()
        assert status.outcome is not None
        self.assertEqual((status.number, status.outcome.version), (6, 1))
        self.assertIsNone(run(self.client.status(OrderId("none"))).unwrap().outcome)

    def test_readers_that_are_behind_are_waited_for_and_never_believed(self) -> None:
        for change in (self.first, edition_change(4, 6, sample_slices(3))):
            run(self.client.submit(change))
        reason = run(self.late.newest()).failure().reason
        self.assertIn("version 2 is not kept there, 1 is", reason)
        self.assertLessEqual(self.clock.now, CALL_TIMEOUT_S)
        self.assertGreater(self.clock.now, CALL_TIMEOUT_S / 2)
        self.assertIn("cut off", run(self.cut_off.newest()).failure().reason)
        self.behind = BundleVersion(2)
        self.assertIsInstance(run(self.late.newest()), Success)

    def test_without_a_primary_nothing_is_read_though_the_readers_could(self) -> None:
        run(self.client.submit(self.first))
        for kind in ("unknown", "not-leading", "busy"):
            self.primary.fault = NotDecided(kind)
            self.assertIn(kind, run(self.client.newest()).failure().reason)
            self.assertEqual(run(self.client.submit(self.first)).failure().kind, kind)
            self.assertEqual(run(self.client.status()).failure().kind, kind)


if __name__ == "__main__":
    unittest.main()
