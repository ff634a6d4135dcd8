"""Tests of the routes for orders, bundles and health (docs/DESIGN.md sections 15.2 and 15.3)."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Mapping

import msgspec
from prometheus_client import CollectorRegistry, Counter
from returns.result import Failure, Result, Success

from ...bundle.commands import SubmitOrder
from ...bundle.errors import BundleReadError
from ...bundle.model import Bundle, Order, OrderOutcome
from ...bundle.parse import parse_bundle
from ...bundle.reading import BundleAnswer, HistoryAnswer, LocalBundleReader
from ...bundle.state import BundleState
from ...bundle.tests.samples import OPERATOR_KEYS, order_between, sample_slices, submit
from ...control.errors import CommandFailure
from ...identifiers import Address, BundleVersion, DaemonName, Incarnation, Seconds, Zone
from ..orders import OrderRoutes
from ..protocols import OperatorHandler, OperatorReply, OperatorRequest
from ..reading import BundleDocument, HealthReport, ReadRoutes

HEALTH = HealthReport(
    name=DaemonName("c1"), role="control", zone=Zone("a"), incarnation=Incarnation("1"), ready=True, reasons=()
)


class FakeRoutes:
    """A fake of the server that stores the handlers and calls them."""

    def __init__(self) -> None:
        self.handlers: dict[tuple[str, str], OperatorHandler] = {}

    def add(self, method: str, path: str, handler: OperatorHandler, body_bytes: int | None = None) -> None:
        self.handlers[method, path] = handler

    def call(self, method: str, path: str, body: bytes = b"", query: Mapping[str, str] | None = None) -> OperatorReply:
        request = OperatorRequest(
            method=method, path=path, query=query or {}, headers={}, body=body, peer=Address("127.0.0.1", 1)
        )

        async def run() -> OperatorReply:
            return await self.handlers[method, path](request)

        return asyncio.run(run())


class OrdersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.state = BundleState(OPERATOR_KEYS)
        self.routes = FakeRoutes()
        self.fault: CommandFailure | None = None
        OrderRoutes(self.decide, 1000).add_to(self.routes)

    async def decide(self, command: SubmitOrder, within: Seconds) -> Result[OrderOutcome, CommandFailure]:
        if self.fault is not None:
            return Failure(self.fault)
        return Success(submit(self.state, command.order))

    def post(self, order: Order) -> tuple[int, OrderOutcome]:
        reply = self.routes.call("POST", "/control/v1/orders", msgspec.json.encode(order))
        assert isinstance(reply.body, OrderOutcome)
        return reply.status, reply.body

    def test_http_status_follows_the_outcome(self) -> None:
        slices = sample_slices()
        first = order_between(0, {}, slices)
        self.assertEqual(self.post(first)[0], 200)
        self.assertEqual(self.post(first)[0], 200)
        self.assertEqual(self.post(order_between(0, {}, slices, "late"))[0], 409)
        bad = {**slices, next(iter(slices)): b"{}"}
        self.assertEqual(self.post(order_between(1, slices, bad, "bad"))[0], 422)

    def test_unknown_outcome_says_that_resending_is_safe(self) -> None:
        order = order_between(0, {}, sample_slices())
        for fault in (
            CommandFailure("unknown"),
            CommandFailure("not-leading"),
            CommandFailure("busy", detail="9 waiting"),
        ):
            self.fault = fault
            status, outcome = self.post(order)
            self.assertEqual((status, outcome.outcome, outcome.order), (503, "unknown", "order-1"))
            self.assertIn("resending is safe", outcome.reason)

    def test_body_that_is_no_order_is_malformed(self) -> None:
        for body in (b"", b"[]", b"{}", b'{"manifest":{},"changed":{}}', b"\xff", b"[" * 100_000):
            self.assertEqual(self.routes.call("POST", "/control/v1/orders", body).status, 400)


class UnreachableReader:
    """A bundle reader whose calls all fail."""

    async def bundle(self, version: BundleVersion) -> Result[BundleAnswer, BundleReadError]:
        return Failure(BundleReadError("cut off"))

    async def history(self, limit: int) -> Result[HistoryAnswer, BundleReadError]:
        return Failure(BundleReadError("cut off"))


class ReadingTest(unittest.TestCase):
    def setUp(self) -> None:
        self.state = BundleState(OPERATOR_KEYS)
        self.slices = sample_slices()
        self.fewer = {name: data for name, data in self.slices.items() if name != "tenant/tenant-4"}
        submit(self.state, order_between(0, {}, self.slices))
        submit(self.state, order_between(1, self.slices, self.fewer))
        submit(self.state, order_between(2, self.fewer, self.slices))
        self.durable = BundleVersion(2)
        self.current: Bundle | None = parse_bundle(order_between(0, {}, self.slices).manifest, self.slices).unwrap()
        self.ready = True
        self.metrics = CollectorRegistry()

    def routes(self, reader: LocalBundleReader | UnreachableReader | None) -> FakeRoutes:
        routes = FakeRoutes()
        ReadRoutes(
            current=lambda: self.current,
            reader=reader,
            members=lambda: (),
            workers=lambda: (),
            health=lambda: msgspec.structs.replace(HEALTH, ready=self.ready),
            metrics=self.metrics,
        ).add_to(routes)
        return routes

    def document(self, routes: FakeRoutes, **query: str) -> BundleDocument:
        reply = routes.call("GET", "/control/v1/bundle", query=query)
        assert isinstance(reply.body, BundleDocument), reply
        return msgspec.json.decode(msgspec.json.encode(reply.body), type=BundleDocument)

    def test_bundles_are_returned_as_signed_and_only_when_durable(self) -> None:
        routes = self.routes(LocalBundleReader(self.state, lambda: self.durable))
        here = self.document(routes)
        self.assertEqual((here.version, here.is_latest), (1, False))
        newest = self.document(routes, newest="1")
        self.assertEqual((newest.version, newest.is_latest), (2, True))
        self.assertEqual({name: bytes(raw) for name, raw in newest.slices.items()}, self.fewer)
        self.assertEqual(self.document(routes, version="1").version, 1)
        self.assertEqual(routes.call("GET", "/control/v1/bundle", query={"version": "3"}).status, 404)
        self.assertEqual(routes.call("GET", "/control/v1/bundle", query={"version": "-1"}).status, 400)
        history = routes.call("GET", "/control/v1/history").body
        assert isinstance(history, HistoryAnswer)
        self.assertEqual([entry.version for entry in history.entries], [2, 1])
        self.assertEqual(routes.call("GET", "/control/v1/history", query={"most": "0"}).status, 400)

    def test_bundle_in_force_is_returned_without_control(self) -> None:
        routes = self.routes(UnreachableReader())
        self.assertEqual(self.document(routes, newest="1").version, 1)
        self.assertEqual(routes.call("GET", "/control/v1/bundle", query={"version": "2"}).status, 503)
        self.assertEqual(routes.call("GET", "/control/v1/history").status, 503)
        self.current = None
        # It is unknown whether there is a bundle, so the reply must not say that there is none.
        reply = routes.call("GET", "/control/v1/bundle")
        self.assertEqual((reply.status, msgspec.to_builtins(reply.body)["code"]), (503, "unreachable"))
        self.assertEqual(routes.call("GET", "/control/v1/bundle", query={"newest": "1"}).status, 503)
        empty = self.routes(LocalBundleReader(BundleState(OPERATOR_KEYS), lambda: BundleVersion(0)))
        reply = empty.call("GET", "/control/v1/bundle")
        self.assertEqual((reply.status, msgspec.to_builtins(reply.body)["code"]), (404, "no-bundle"))
        behind = self.routes(LocalBundleReader(self.state, lambda: self.durable))
        self.assertEqual(self.document(behind).version, 2)
        self.assertEqual(self.routes(None).call("GET", "/control/v1/history").status, 404)

    def test_the_platform_reads_ready_and_metrics(self) -> None:
        Counter("calls", "Calls", registry=self.metrics).inc()
        routes = self.routes(None)
        self.assertEqual(routes.call("GET", "/ready").status, 200)
        self.ready = False
        self.assertEqual(routes.call("GET", "/ready").status, 503)
        self.assertEqual(routes.call("GET", "/live").status, 200)
        self.assertIn(b"calls_total 1.0", bytes(routes.call("GET", "/metrics").body))  # type: ignore[arg-type]
        self.assertEqual(routes.call("GET", "/control/v1/workers").body, [])
