"""Fake daemons: operator addresses on real sockets, served by a thread and backed by one bundle state."""

from __future__ import annotations

import asyncio
import random
import threading
from collections.abc import Iterator, Sequence
from pathlib import Path

import msgspec
from prometheus_client import CollectorRegistry
from prometheus_client.core import CounterMetricFamily, Metric
from prometheus_client.registry import Collector
from returns.result import Failure, Result, Success

from ...bundle.commands import SubmitOrder
from ...bundle.errors import BundleReadError
from ...bundle.model import Order, OrderOutcome
from ...bundle.parse import parse_bundle
from ...bundle.reading import BundleAnswer, LocalBundleReader
from ...bundle.state import BundleState
from ...bundle.tests.samples import submit
from ...context.protocols import Context
from ...context.real import RealClock, RealDisk, RealNetwork, RealTasks
from ...context.stream_client import StreamHttpClient
from ...control.errors import CommandFailure
from ...control.protocols import ViewReport
from ...identifiers import (
    Address,
    BundleVersion,
    DaemonName,
    Epoch,
    Incarnation,
    PoolName,
    Seconds,
    WorkerInstance,
    Zone,
)
from ...operator_api.orders import OrderRoutes
from ...operator_api.reading import HealthReport, ReadRoutes
from ...operator_api.server import OperatorServer
from ...registry.protocols import Worker
from ...transport.frames import Identity


class DiscardingLog:
    """A log that discards all events."""

    def event(self, name: str, **fields: object) -> None:
        pass


class FakeDaemons(Collector):
    """Serves ``daemons`` addresses from ``first_port`` upwards.

    Those in ``losing_answers`` decide an order but close the connection before they answer.
    """

    def __init__(self, operator_keys: Sequence[str], first_port: int, daemons: int = 2) -> None:
        self.state = BundleState(operator_keys)
        self.addresses = [Address("127.0.0.1", first_port + number) for number in range(daemons)]
        self.losing_answers: set[Address] = set()
        self.orders: list[tuple[Address, Order]] = []
        self.competing_order: Order | None = None
        """Order of another operator that is decided just before the next order."""
        self.without_control: set[Address] = set()
        """Daemons that can't reach control and hold no bundle themselves."""
        self.proven_age: Seconds | None = None
        self.complete = True
        self.routers = False
        """Whether the member list shows router-a and router-b in zones a and b; the daemons answer in their place."""
        self.failing = False
        """Whether router-a counts as many failed calls as successful ones."""
        self._counted = 0
        self.servers: dict[Address, OperatorServer] = {}
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)

    def __enter__(self) -> FakeDaemons:
        self._thread.start()
        asyncio.run_coroutine_threadsafe(self._start(), self._loop).result(10)
        return self

    def __exit__(self, *_: object) -> None:
        if self._loop.is_closed():
            return
        asyncio.run_coroutine_threadsafe(self._stop(), self._loop).result(10)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(10)
        self._loop.close()

    def collect(self) -> Iterator[Metric]:
        """Counts ten more successful calls at each scrape, and as many failed ones while ``failing`` is set."""
        self._counted += 10
        counted = CounterMetricFamily("wingwood_calls", "Calls by outcome", labels=("service", "outcome"))
        counted.add_metric(("chat", "answered"), self._counted)
        counted.add_metric(("chat", "worker-broke"), self._counted if self.failing else 0)
        yield counted

    def describe(self) -> list[Metric]:
        return []

    class _Reader(LocalBundleReader):
        def __init__(self, daemons: FakeDaemons, address: Address) -> None:
            super().__init__(daemons.state, lambda: daemons.state.version)
            self._daemons = daemons
            self._address = address

        async def bundle(self, version: BundleVersion) -> Result[BundleAnswer, BundleReadError]:
            if self._address in self._daemons.without_control:
                return Failure(BundleReadError("no control daemon answered"))
            return await super().bundle(version)

    @property
    def to(self) -> list[str]:
        return [part for address in self.addresses for part in ("--to", str(address))]

    async def _start(self) -> None:
        log, network = DiscardingLog(), RealNetwork()
        tasks = RealTasks(log, lambda reason: None)
        context = Context(
            clock=RealClock(),
            network=network,
            disk=RealDisk(Path("unused")),
            http=StreamHttpClient(network, tasks),
            random=random.Random(1),
            log=log,
            tasks=tasks,
        )
        for number, address in enumerate(self.addresses):
            server = self.servers[address] = OperatorServer(context)
            self._add_routes(server, address, number)
            assert isinstance(server.start(address), Success), f"port {address.port} is taken"

    async def _stop(self) -> None:
        for server in self.servers.values():
            server.stop()
        await asyncio.sleep(0)

    def _add_routes(self, server: OperatorServer, address: Address, number: int) -> None:
        async def decide(command: SubmitOrder, _within: Seconds) -> Result[OrderOutcome, CommandFailure]:
            self.orders.append((address, command.order))
            if self.competing_order is not None:
                submit(self.state, self.competing_order)
                self.competing_order = None
            outcome = submit(self.state, command.order)
            if address in self.losing_answers:
                server.stop()
            return Success(outcome)

        OrderRoutes(decide, 1_000_000).add_to(server)
        name = DaemonName(f"control-{number + 1}")
        view = ViewReport(
            epoch=Epoch(3),
            own_role="primary" if number == 0 else "backup",
            primary=None,
            backups=(),
            members=(),
            accepts_orders=number == 0,
            complete=number == 0,
        )
        report = HealthReport(
            name=name, role="control", zone=Zone("a"), incarnation=Incarnation("1"), ready=True, control=view
        )
        worker = Worker(instance=WorkerInstance("w1"), address=address, pool=PoolName("m"), zone=Zone("a"), slots=4)
        identity = Identity(name, Incarnation("1"), "control", Zone("a"), address, address)
        metrics = CollectorRegistry()
        if number == 0:
            metrics.register(self)
        router_names = [
            (f"router-{zone}", zone, self.addresses[place]) for place, zone in enumerate("ab"[: len(self.addresses)])
        ]
        routers = [
            Identity(DaemonName(router), Incarnation("1"), "router", Zone(zone), where, where)
            for router, zone, where in router_names
        ]
        ReadRoutes(
            metrics=metrics,
            current=lambda: (
                None
                if self.state.version == 0 or address in self.without_control
                else parse_bundle(
                    self.state.manifest_at(self.state.version) or self.orders[0][1].manifest,
                    self.state.slices_at(self.state.version) or {},
                ).unwrap()
            ),
            reader=self._Reader(self, address),
            members=lambda: [identity, *(routers if self.routers and address not in self.without_control else ())],
            workers=lambda: [worker],
            health=lambda: msgspec.structs.replace(
                report,
                version=BundleVersion(self.state.version),
                bundle_proven_age=self.proven_age,
                control=msgspec.structs.replace(view, complete=view.complete and self.complete),
            ),
        ).add_to(server)
