"""Tests of the simulator itself.

When one of them fails, the results of all scenarios are in doubt.
"""

from __future__ import annotations

import asyncio
import os
import subprocess
import sys
import unittest

from returns.result import Failure, Success
from tornado.httpserver import HTTPServer
from tornado.iostream import BaseIOStream, StreamClosedError
from tornado.web import Application, RequestHandler

from simulation import NetworkShape, World, address_of
from wingwood.context.protocols import Context, HttpRequest, NetworkFault
from wingwood.identifiers import Address, Seconds

PORT = 80


class Numbers(RequestHandler):
    async def get(self) -> None:
        for number in range(20):
            self.write(f"{number};" * 100)
            await self.flush()
            await asyncio.sleep(0.01)


def http_server(world: World, name: str):  # type: ignore[no-untyped-def]
    async def main(context: Context) -> None:
        server = HTTPServer(Application([("/", Numbers)]))

        def handle(stream: BaseIOStream, address: Address) -> None:
            server.handle_stream(stream, (address.host, address.port))  # type: ignore[arg-type]

        assert isinstance(context.network.listen(address_of(world.machines[name], PORT), handle), Success)

    return main


async def fetch(context: Context, address: Address) -> tuple[bytes, str]:
    exchange = context.http.start(HttpRequest("GET", address, "/"))
    head = await exchange.head()
    if not isinstance(head, Success):
        return b"", head.failure().kind
    body = b""
    while True:
        chunk = await exchange.next_chunk()
        if not isinstance(chunk, Success):
            return body, chunk.failure().kind
        data = chunk.unwrap()
        if data is None:
            return body, "whole"
        body += data


COMPLETE_BODY = b"".join(f"{number};".encode() * 100 for number in range(20))


def sample_run(seed: int) -> str:
    """Runs a few processes through a freeze, a partition, a kill and a restart; returns the digest of the run."""
    with World(seed) as world:
        world.start("server", http_server(world, "server"), zone="a")
        address = address_of(world.machines["server"], PORT)

        async def client(context: Context) -> None:
            while True:
                body, end = await fetch(context, address)
                context.log.event("fetched", size=len(body), end=end, noise=context.random.random())
                await context.clock.sleep(Seconds(0.01))

        for name in ("one", "two", "three"):
            world.start(name, client, zone="b")
        world.run(1.0)
        world.freeze("server")
        world.run(1.0)
        world.wake("server")
        cut = world.cut("one", "server", both_ways=False)
        world.run(3.0)
        world.heal(cut)
        world.restart("server")
        world.run(5.0)
        assert not world.broken_invariants, world.broken_invariants
        return world.digest()


class SameSeedSameRun(unittest.TestCase):
    def test_digest_does_not_depend_on_hash_seed_or_interpreter(self) -> None:
        command = [sys.executable, "-c", "from simulation.tests.test_world import sample_run; print(sample_run(7))"]
        folder = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
        digests = {
            subprocess.run(
                command,
                env={**os.environ, "PYTHONHASHSEED": hash_seed, "PYTHONPATH": folder},
                capture_output=True,
                check=True,
                text=True,
            ).stdout.strip()
            for hash_seed in ("1", "2")
        }
        digests.add(sample_run(7))
        self.assertEqual(len(digests), 1)
        self.assertNotEqual(sample_run(8), digests.pop())


class Processes(unittest.TestCase):
    def test_killed_process_runs_no_finally_block(self) -> None:
        ran: list[str] = []

        async def main(context: Context) -> None:
            try:
                await asyncio.sleep(100)
            finally:
                ran.append("finally")

        with World(1) as world:
            world.start("p", main)
            world.run(1)
            world.kill("p")
            world.run(200)
        self.assertEqual(ran, [])

    def test_frozen_process_does_nothing_and_its_clock_advances_meanwhile(self) -> None:
        ticks: list[tuple[float, float]] = []

        async def main(context: Context) -> None:
            while True:
                await context.clock.sleep(Seconds(1.0))
                ticks.append((world.now, context.clock.monotonic()))

        with World(1) as world:
            world.start("p", main)
            world.run(2.5)
            world.freeze("p")
            world.run(10.0)
            self.assertEqual(len(ticks), 2)
            world.wake("p")
            world.run(0.1)
            self.assertEqual(len(ticks), 3)
            self.assertAlmostEqual(ticks[2][1] - ticks[1][1], 10.5, places=3)

    def test_exception_in_a_process_is_recorded_and_stops_it(self) -> None:
        async def main(context: Context) -> None:
            raise ValueError("bad")

        with World(1) as world:
            process = world.start("p", main)
            world.run(1)
            self.assertFalse(process.alive)
            self.assertIn("ValueError: bad", world.broken_invariants[0])

    def test_drifting_clock_runs_its_timers_early(self) -> None:
        woken: list[float] = []

        async def main(context: Context) -> None:
            await asyncio.sleep(10.0)
            woken.append(world.now)

        with World(1) as world:
            world.start("p", main, clock_rate=1.25)
            world.run(20)
        self.assertAlmostEqual(woken[0], 8.0, places=6)


class Connections(unittest.TestCase):
    def setUp(self) -> None:
        self.world = World(3, NetworkShape(reset_on_heal_chance=0.0)).__enter__()
        self.addCleanup(self.world.close)
        self.world.start("server", http_server(self.world, "server"))
        self.address = address_of(self.world.machines["server"], PORT)
        self.answers: list[tuple[bytes, str]] = []
        self.world.run(0.1)

    def ask(self, name: str = "client") -> None:
        async def main(context: Context) -> None:
            self.answers.append(await fetch(context, self.address))

        self.world.start(name, main, zone="b")

    def test_stream_arrives_complete_although_bytes_are_split(self) -> None:
        self.ask()
        self.world.run(1)
        self.assertEqual(self.answers, [(COMPLETE_BODY, "whole")])

    def test_kill_is_seen_as_a_broken_body_and_later_connects_are_refused(self) -> None:
        self.ask()
        self.world.run(0.1)
        self.world.kill("server")
        self.world.run(0.1)
        self.assertEqual(self.answers[0][1], "broken")
        self.ask("later")
        self.world.run(0.1)
        self.assertEqual(self.answers[1], (b"", "connect"))

    def test_connection_to_a_frozen_process_opens_but_answers_only_after_wake(self) -> None:
        self.world.freeze("server")
        self.ask()
        self.world.run(5)
        self.assertEqual(self.answers, [])
        self.world.wake("server")
        self.world.run(1)
        self.assertEqual(self.answers, [(COMPLETE_BODY, "whole")])

    def test_one_way_partition_delays_bytes_until_it_heals(self) -> None:
        self.ask()
        self.world.run(0.05)
        cut = self.world.cut("server", "client", both_ways=False)
        self.world.run(5)
        self.assertEqual(self.answers, [])
        self.world.heal(cut)
        self.world.run(10)
        self.assertEqual(self.answers, [(COMPLETE_BODY, "whole")])

    def test_powered_off_machine_is_silent_and_resets_connections_after_power_on(self) -> None:
        errors: list[str] = []

        async def main(context: Context) -> None:
            stream = (await context.network.connect(self.address, Seconds(1.0))).unwrap()
            try:
                while True:
                    await stream.write(b"GET / HTTP/1.1\r\n")
                    await asyncio.sleep(0.5)
            except StreamClosedError as closed:
                errors.append(type(closed.real_error).__name__)

        self.world.start("client", main)
        self.world.run(0.3)
        self.world.power_off("server")
        self.world.run(10)
        self.assertEqual(errors, [])
        self.world.power_on("server")
        self.world.run(20)
        self.assertEqual(errors, ["ConnectionResetError"])

    def test_connect_to_an_isolated_machine_times_out(self) -> None:
        outcomes: list[object] = []

        async def main(context: Context) -> None:
            outcomes.append(await context.network.connect(self.address, Seconds(0.7)))

        self.world.cut_off("server")
        self.world.start("client", main)
        self.world.machine("client")
        self.world.network.cut([("client", "server"), ("server", "client")])
        self.world.run(1)
        self.assertEqual(outcomes, [Failure(NetworkFault("timeout", str(self.address)))])

    def test_writer_waits_when_the_peer_does_not_read(self) -> None:
        written: list[int] = []

        async def main(context: Context) -> None:
            stream = (await context.network.connect(self.address, Seconds(1.0))).unwrap()
            for number in range(1000):
                await stream.write(b"x" * 10_000)
                written.append(number)

        self.world.freeze("server")
        self.world.start("client", main)
        self.world.run(5)
        self.assertLess(len(written), 40)


class Disks(unittest.TestCase):
    def test_kill_during_an_append_leaves_any_part_of_it_and_all_synced_data(self) -> None:
        seen: set[int] = set()
        for seed in range(60):

            async def main(context: Context) -> None:
                await context.disk.append("file", b"first")
                await context.disk.append("file", b"second")

            with World(seed) as world:
                process = world.start("p", main)
                disk = process.machine.disk
                world.wait_for(lambda: disk.operations_done == 1, 1.0, every=0.0001)  # noqa: B023
                world.kill(process)
                world.run(1)
                content = disk.visible["file"]
                self.assertTrue(b"firstsecond".startswith(content) and content.startswith(b"first"))
                seen.add(len(content))
        self.assertTrue({5, 11} < seen, seen)

    def test_power_loss_may_undo_unsynced_writes(self) -> None:
        outcomes: list[object] = []

        async def main(context: Context) -> None:
            await context.disk.append("file", b"first")
            world.machine("p").disk.set_mode("failing")
            outcomes.append(await context.disk.append("file", b"second"))

        sizes: set[int] = set()
        for seed in range(40):
            with World(seed) as world:
                world.start("p", main)
                world.run(1)
                self.assertIsInstance(outcomes[-1], Failure)
                world.power_off("p")
                sizes.add(len(world.machine("p").disk.durable["file"]))
        self.assertGreater(len(sizes), 1)
        self.assertEqual(min(sizes), 5)

    def test_stalled_disk_answers_after_it_recovers(self) -> None:
        times: list[float] = []

        async def main(context: Context) -> None:
            await context.disk.append("file", b"first")
            times.append(world.now)

        with World(1) as world:
            world.machine("p").disk.set_mode("stalled")
            world.start("p", main)
            world.run(30)
            self.assertEqual(times, [])
            world.machine("p").disk.set_mode("well")
            world.run(1)
            self.assertEqual(len(times), 1)

    def test_data_folder_is_locked_by_one_living_process(self) -> None:
        outcomes: list[object] = []

        async def main(context: Context) -> None:
            outcomes.append(await context.disk.lock())
            await asyncio.sleep(100)

        with World(1) as world:
            world.start("p", main, machine="m")
            world.run(1)
            world.start("q", main, machine="m")
            world.run(1)
            world.kill("p")
            world.restart("q")
            world.run(1)
        self.assertIsInstance(outcomes[1], Failure)
        self.assertEqual([outcomes[0], outcomes[2]], [Success(None), Success(None)])
