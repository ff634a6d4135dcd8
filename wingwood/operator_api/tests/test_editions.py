"""Tests that editions are submitted and the latest content is read back (docs/DESIGN.md section 15.6).

They guard against content that is older than an acknowledged edition, which lagging readers would return.
"""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Coroutine
from typing import Any, TypeVar

import msgspec
from returns.result import Failure, Result, Success

from ...bundle.errors import BundleReadError
from ...bundle.reading import BundleAnswer, HistoryAnswer, LocalBundleReader
from ...bundle.state import BundleState
from ...bundle.tests.samples import OPERATOR_KEYS, SIGNING_KEY, edition_change, sample_slices
from ...control.errors import CommandFailure
from ...identifiers import BundleVersion, Instant, OrderId, Seconds, WallTime
from ..editions import CALL_TIMEOUT_S, EditionClient

Reply = TypeVar("Reply", bound=msgspec.Struct)
Value = TypeVar("Value")


class FakePrimary:
    """Decides each command at once, or returns ``fault`` when that is set."""

    def __init__(self) -> None:
        self.state = BundleState(OPERATOR_KEYS, signing_key=SIGNING_KEY)
        self.fault: CommandFailure | None = None

    async def decide(
        self, kind: str, command: msgspec.Struct, reply_type: type[Reply], timeout: Seconds
    ) -> Result[Reply, CommandFailure]:
        if self.fault is not None:
            return Failure(self.fault)
        assert (kind, timeout) == ("bundle", CALL_TIMEOUT_S)
        record, reply = self.state.decide(command)
        if record is not None:
            self.state.apply(record)
        return Success(msgspec.msgpack.decode(msgspec.msgpack.encode(reply), type=reply_type))


class SleepDrivenClock:
    """A clock on which time passes only during ``sleep``."""

    def __init__(self) -> None:
        self.now = 0.0

    def monotonic(self) -> Instant:
        return Instant(self.now)

    def wall(self) -> WallTime:
        return WallTime(self.now)

    async def sleep(self, seconds: Seconds) -> None:
        self.now += seconds


class UnreachableReader:
    """A bundle reader whose calls all fail."""

    async def bundle(self, version: BundleVersion) -> Result[BundleAnswer, BundleReadError]:
        return Failure(BundleReadError("cut off"))

    async def history(self, limit: int) -> Result[HistoryAnswer, BundleReadError]:
        return Failure(BundleReadError("cut off"))


def run(work: Coroutine[Any, Any, Value]) -> Value:
    return asyncio.run(work)


class EditionClientTest(unittest.TestCase):
    def setUp(self) -> None:
        self.primary, self.clock = FakePrimary(), SleepDrivenClock()
        self.reader_version = BundleVersion(1)
        lagging_reader = LocalBundleReader(self.primary.state, lambda: self.reader_version)
        self.lagging_client = EditionClient(self.primary, (UnreachableReader(), lagging_reader), self.clock)
        current = LocalBundleReader(self.primary.state, lambda: self.primary.state.version)
        self.client = EditionClient(self.primary, (lagging_reader, current), self.clock)
        self.unreachable_client = EditionClient(self.primary, (UnreachableReader(),), self.clock)
        self.first = edition_change(0, 4, sample_slices())

    def test_submitted_edition_is_read_back_with_its_number(self) -> None:
        self.assertIsNone(run(self.client.latest()).unwrap())
        self.assertEqual(run(self.client.submit(self.first)).unwrap().edition, 4)
        run(self.client.submit(edition_change(4, 6, sample_slices(3))))
        newest = run(self.client.latest()).unwrap()
        assert newest is not None
        self.assertEqual((newest.number, newest.view.manifest.version), (6, 2))
        self.assertNotIn("tenant/tenant-3", newest.view.slices)
        status = run(self.client.status(self.first.order)).unwrap()
        assert status.outcome is not None
        self.assertEqual((status.number, status.outcome.version), (6, 1))
        self.assertIsNone(run(self.client.status(OrderId("none"))).unwrap().outcome)

    def test_lagging_readers_are_retried_and_not_trusted(self) -> None:
        for change in (self.first, edition_change(4, 6, sample_slices(3))):
            run(self.client.submit(change))
        reason = run(self.lagging_client.latest()).failure().reason
        self.assertIn("version 2 is not kept there, 1 is", reason)
        self.assertLessEqual(self.clock.now, CALL_TIMEOUT_S)
        self.assertGreater(self.clock.now, CALL_TIMEOUT_S / 2)
        self.assertIn("cut off", run(self.unreachable_client.latest()).failure().reason)
        self.reader_version = BundleVersion(2)
        self.assertIsInstance(run(self.lagging_client.latest()), Success)

    def test_nothing_is_read_without_a_primary(self) -> None:
        run(self.client.submit(self.first))
        for kind in ("unknown", "not-leading", "busy"):
            self.primary.fault = CommandFailure(kind)
            self.assertIn(kind, run(self.client.latest()).failure().reason)
            self.assertEqual(run(self.client.submit(self.first)).failure().kind, kind)
            self.assertEqual(run(self.client.status()).failure().kind, kind)


if __name__ == "__main__":
    unittest.main()
