"""Connections that are kept and used again: on loopback sockets and in the simulator (docs/DESIGN.md section 12.2)."""

from __future__ import annotations

import asyncio
import unittest

from tornado.iostream import BaseIOStream

from ...identifiers import Address, Seconds
from ..connection_pool import ConnectionLimits
from ..protocols import HttpFault
from .stand_in_worker import (
    ECHO,
    Bed,
    Scenario,
    StandInWorker,
    Turn,
    answers_ok,
    run_in_simulation,
    run_on_loopback,
    take_answer,
)

PROMPT = b"p" * 55_000


class OnBothBeds:
    """What holds on any network; the subclasses say which."""

    class Tests(unittest.TestCase):
        def run_scenario(
            self, scenario: Scenario, worker: StandInWorker, limits: ConnectionLimits | None = None
        ) -> None:
            raise NotImplementedError

        def played(self, scenario: Scenario, worker: StandInWorker, limits: ConnectionLimits | None = None) -> None:
            """Whatever happens in a scenario, no request reaches the worker twice."""
            self.run_scenario(scenario, worker, limits)
            self.assertLessEqual(max(worker.received.values(), default=0), 1, worker.received)

        # Reuse.

        def test_calls_share_a_connection_and_tell_so(self) -> None:
            worker = StandInWorker(answers_ok)

            async def scenario(bed: Bed) -> None:
                outcomes = [await bed.call(PROMPT) for _ in range(10)]
                bodies = [outcome.body for outcome in outcomes]
                self.assertEqual(bodies, [f"body of call-{number}".encode() for number in range(1, 11)])
                new = [outcome.head is not None and outcome.head.new_connection for outcome in outcomes]
                self.assertEqual(new, [True] + 9 * [False])
                self.assertEqual((worker.connections, bed.client.counts.reused), (1, 9))
                self.assertEqual(set(worker.bodies.values()), {PROMPT})

            self.played(scenario, worker)

        def test_every_framing_but_close_leaves_the_connection(self) -> None:
            async def answer(turn: Turn) -> None:
                echo = f"{ECHO}: {turn.id}\r\n".encode()
                await turn.send(
                    {
                        1: b"HTTP/1.1 200 OK\r\n" + echo + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
                        2: b"HTTP/1.1 100 C\r\n\r\nHTTP/1.1 204 No Content\r\n" + echo + b"\r\n",
                        3: b"HTTP/1.1 200 OK\r\n" + echo + b"Content-Length: 9\r\n\r\n",
                        4: b"HTTP/1.1 200 OK\r\n" + echo + b"Content-Length: 0\r\n\r\n",
                        5: b"HTTP/1.1 200 OK\r\n" + echo + b"Content-Length: 2\r\n\r\nok",
                    }[turn.number]
                )

            worker = StandInWorker(answer)

            async def scenario(bed: Bed) -> None:
                methods = ["POST", "POST", "HEAD", "POST", "POST"]
                outcomes = [await bed.call(method=method) for method in methods]
                self.assertEqual([outcome.body for outcome in outcomes], [b"ok", b"", b"", b"", b"ok"])
                self.assertEqual([outcome.fault for outcome in outcomes], 5 * [None])
                self.assertEqual(worker.connections, 1)

            self.played(scenario, worker)

        def test_calls_that_do_not_ask_for_reuse_have_their_own_connections(self) -> None:
            worker = StandInWorker(answers_ok)

            async def scenario(bed: Bed) -> None:
                await bed.call()
                for _ in range(3):
                    await bed.call(reuse=False)
                await bed.call(headers=((ECHO, "last"), ("Connection", "close")), echo=None)
                self.assertEqual(worker.connections, 4)
                await bed.until(lambda: worker.open == 0 and bed.client.pool.open_connections() == 0)

            self.played(scenario, worker)

        def test_answers_that_end_the_connection(self) -> None:
            endings = {
                "Connection: close": "HTTP/1.1",
                "Connection: Keep-Alive, Close": "HTTP/1.1",
                "Keep-Alive: timeout=0": "HTTP/1.1",
                "X-Old: 1": "HTTP/1.0",
            }

            async def answer(turn: Turn) -> None:
                header, version = list(endings.items())[turn.connection - 1]
                await turn.send(turn.answer(b"ok", header).replace(b"HTTP/1.1", version.encode()))

            worker = StandInWorker(answer)

            async def scenario(bed: Bed) -> None:
                for connections in range(1, len(endings) + 1):
                    outcome = await bed.call()
                    self.assertEqual((outcome.body, outcome.fault), (b"ok", None))
                    self.assertEqual(worker.connections, connections)
                    self.assertEqual(bed.client.pool.open_connections(), 0)

            self.played(scenario, worker)

        # What shows on a resting connection.

        def test_end_while_resting(self) -> None:
            worker = StandInWorker(answers_ok)

            async def scenario(bed: Bed) -> None:
                for connections in range(1, 4):
                    self.assertIsNone((await bed.call()).fault)
                    self.assertEqual((worker.connections, bed.client.pool.idle_connections()), (connections, 1))
                    worker.streams[-1].close()
                    await bed.until(lambda: bed.client.pool.open_connections() == 0)

            self.played(scenario, worker)

        def test_end_that_the_loop_has_not_told_yet(self) -> None:
            """The end is in the kernel's buffer when the next call starts, in the same callback."""
            worker = StandInWorker(answers_ok)

            async def scenario(bed: Bed) -> None:
                await bed.call()
                kept = next(iter(bed.client.pool._idle))
                kept._watch(0)
                worker.streams[-1].close()
                await asyncio.sleep(0.05)
                self.assertEqual(bed.client.pool.idle_connections(), 1)
                outcome = await bed.call()
                self.assertEqual((outcome.fault, worker.connections), (None, 2))

            self.played(scenario, worker)

        def test_stray_bytes_with_and_after_an_answer(self) -> None:
            later: list[BaseIOStream] = []

            async def answer(turn: Turn) -> None:
                if turn.connection == 1:
                    await turn.send(turn.answer() + b"stray")
                else:
                    await turn.send(turn.answer())
                    later.append(turn.stream)

            worker = StandInWorker(answer)

            async def scenario(bed: Bed) -> None:
                self.assertEqual((await bed.call()).body, b"ok")
                await bed.until(lambda: bed.client.pool.open_connections() == 0)
                self.assertEqual((await bed.call()).body, b"ok")
                self.assertEqual(bed.client.pool.idle_connections(), 1)
                await later[0].write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray")
                await bed.until(lambda: bed.client.pool.open_connections() == 0)
                self.assertEqual((await bed.call()).body, b"ok")
                self.assertEqual(worker.connections, 3)

            self.played(scenario, worker)

        # What shows when the next call is on it.

        def test_surplus_answer_in_the_place_of_the_next(self) -> None:
            async def answer(turn: Turn) -> None:
                if turn.number == 2:
                    await turn.send(turn.answer(b"surplus", id="call-1"))
                await turn.send(turn.answer(b"mine"))

            worker = StandInWorker(answer)

            async def scenario(bed: Bed) -> None:
                self.assertEqual((await bed.call()).body, b"mine")
                wrong = await bed.call()
                self.assertEqual((wrong.head, wrong.body, wrong.told()), (None, b"", ("broken", True, False)))
                await bed.until(lambda: worker.open == 0)
                self.assertEqual((await bed.call()).body, b"mine")
                self.assertEqual(worker.connections, 2)

            self.played(scenario, worker)

        def test_answers_without_the_echo(self) -> None:
            async def answer(turn: Turn) -> None:
                await turn.send(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

            worker = StandInWorker(answer)

            async def scenario(bed: Bed) -> None:
                self.assertEqual((await bed.call()).told(), ("broken", True, False))
                self.assertEqual((await bed.call(echo=None)).body, b"ok")
                self.assertEqual((await bed.call(echo=(ECHO, ""))).body, b"ok")

            self.played(scenario, worker)

        def test_reset_by_the_next_request(self) -> None:
            """The other side forgot the connection in silence: the next bytes on it are answered by a reset."""

            async def answer(turn: Turn) -> None:
                if turn.number == 2:
                    turn.reset()
                else:
                    await turn.send(turn.answer())

            worker = StandInWorker(answer)

            async def scenario(bed: Bed) -> None:
                await bed.call()
                self.assertEqual((await bed.call()).told(), ("broken", True, True))
                self.assertEqual((await bed.call()).body, b"ok")
                self.assertEqual((worker.connections, worker.received.total()), (2, 3))

            self.played(scenario, worker)

        def test_close_without_an_answer(self) -> None:
            async def answer(turn: Turn) -> None:
                if turn.number == 1 and turn.connection == 1:
                    await turn.send(turn.answer())
                elif turn.number == 2:
                    turn.stream.close()
                else:
                    await turn.send(b"HTTP/1.1 200 ")
                    turn.stream.close()

            worker = StandInWorker(answer)

            async def scenario(bed: Bed) -> None:
                await bed.call()
                self.assertEqual((await bed.call()).told(), ("broken", True, True))
                self.assertEqual((await bed.call()).told(), ("broken", True, False))

            self.played(scenario, worker)

        def test_first_byte_of_an_answer_ends_the_doubt_about_the_kept_connection(self) -> None:
            async def answer(turn: Turn) -> None:
                if turn.number == 1:
                    await turn.send(turn.answer())
                else:
                    await turn.send(b"H")
                    await asyncio.sleep(0.01)
                    turn.reset()

            worker = StandInWorker(answer)

            async def scenario(bed: Bed) -> None:
                await bed.call()
                self.assertEqual((await bed.call()).told(), ("broken", True, False))

            self.played(scenario, worker)

        # Ends of answers.

        def test_answer_without_length(self) -> None:
            async def answer(turn: Turn) -> None:
                await turn.send(f"HTTP/1.1 200 OK\r\n{ECHO}: {turn.id}\r\n\r\n".encode() + b"x" * 100_000)
                if turn.connection == 1:
                    turn.stream.close()
                else:
                    await asyncio.sleep(0.01)
                    turn.reset()

            worker = StandInWorker(answer)

            async def scenario(bed: Bed) -> None:
                whole = await bed.call()
                assert whole.head is not None
                self.assertEqual((whole.head.framing, len(whole.body), whole.fault), ("close", 100_000, None))
                cut = await bed.call()
                self.assertEqual(cut.told(), ("broken", True, False))
                self.assertEqual(bed.client.pool.open_connections(), 0)

            self.played(scenario, worker)

        def test_reset_within_a_body(self) -> None:
            async def answer(turn: Turn) -> None:
                await turn.send(turn.answer(b"x" * 1000)[:-500])
                await asyncio.sleep(0.01)
                turn.reset()

            worker = StandInWorker(answer)

            async def scenario(bed: Bed) -> None:
                cut = await bed.call()
                self.assertEqual((cut.body, cut.told()), (b"x" * 500, ("broken", True, False)))
                self.assertEqual(bed.client.pool.open_connections(), 0)

            self.played(scenario, worker)

        # Long requests.

        def test_long_request_arrives_whole(self) -> None:
            worker = StandInWorker(answers_ok)
            body = bytes(range(256)) * 20_000

            async def scenario(bed: Bed) -> None:
                for _ in range(2):
                    self.assertIsNone((await bed.call(body)).fault)
                self.assertEqual([got == body for got in worker.bodies.values()], [True, True])
                self.assertEqual(worker.connections, 1)

            self.played(scenario, worker)

        def test_early_answer_to_a_long_request(self) -> None:
            """The worker answers by the head alone, then reads on, closes, or resets: the answer counts each time."""

            async def answer(turn: Turn) -> None:
                await turn.send(turn.answer(b"too long", status="413 Content Too Large"))
                await asyncio.sleep(0.01)
                if turn.connection == 1:
                    await turn.closed_by_client()
                elif turn.connection == 2:
                    turn.stream.close()
                else:
                    turn.reset()

            worker = StandInWorker(answer, reads_bodies=False)

            async def scenario(bed: Bed) -> None:
                for connections in range(1, 4):
                    outcome = await bed.call(b"x" * 30_000_000)
                    self.assertEqual((outcome.body, outcome.fault), (b"too long", None))
                    await bed.until(lambda: worker.open == 0)
                    self.assertEqual((worker.connections, bed.client.pool.open_connections()), (connections, 0))

            self.played(scenario, worker)

        # Cancelling.

        def test_cancel_within_an_answer_closes_at_once(self) -> None:
            async def answer(turn: Turn) -> None:
                await turn.send(turn.answer(b"x" * 1000)[:-500])
                await turn.closed_by_client()

            worker = StandInWorker(answer)

            async def scenario(bed: Bed) -> None:
                exchange = bed.start()
                await exchange.head()
                exchange.cancel()
                self.assertEqual(bed.client.pool.open_connections(), 0)
                await bed.until(lambda: worker.open == 0)
                self.assertEqual((await exchange.next_piece()).failure(), HttpFault("cancelled", True))

            self.played(scenario, worker)

        def test_call_cancelled_before_it_is_connected_leaves_its_connection_to_another(self) -> None:
            worker = StandInWorker(answers_ok)

            async def scenario(bed: Bed) -> None:
                given_up = bed.start()
                given_up.cancel()
                self.assertEqual((await take_answer(given_up)).fault, HttpFault("cancelled", False))
                await bed.until(lambda: bed.client.pool.idle_connections() == 1)
                self.assertIsNone((await bed.call()).fault)
                self.assertEqual((worker.connections, worker.received), (1, {"call-2": 1}))

            self.played(scenario, worker)

        def test_last_check_on_a_kept_connection(self) -> None:
            worker = StandInWorker(answers_ok)
            asked: list[bool] = []

            def refuse() -> bool:
                asked.append(True)
                return False

            async def scenario(bed: Bed) -> None:
                await bed.call()
                refused = await bed.call(last_check=refuse)
                self.assertEqual((refused.fault, asked), (HttpFault("cancelled", False), [True]))
                self.assertIsNone((await bed.call()).fault)
                self.assertEqual((worker.connections, worker.received.total()), (1, 2))

            self.played(scenario, worker)

        def test_cancelled_call_is_not_written_though_its_last_check_agrees(self) -> None:
            worker = StandInWorker(answers_ok)

            async def scenario(bed: Bed) -> None:
                def agree() -> bool:
                    exchange.cancel()
                    return True

                exchange = bed.start(last_check=agree)
                self.assertEqual((await take_answer(exchange)).fault, HttpFault("cancelled", False))
                self.assertIsNone((await bed.call()).fault)
                self.assertEqual(worker.received.total(), 1)

            self.played(scenario, worker)

        # Bounds.

        def test_bound_per_address(self) -> None:
            go_on = asyncio.Event()

            async def answer(turn: Turn) -> None:
                await go_on.wait()
                await turn.send(turn.answer())

            worker = StandInWorker(answer)

            async def scenario(bed: Bed) -> None:
                running = [bed.start() for _ in range(2)]
                beyond = bed.start()
                self.assertFalse(beyond.request_sent())
                told = (await take_answer(beyond)).told()
                self.assertEqual((told, bed.client.counts.busy), (("busy", False, False), 1))
                third = bed.start(most_connections=3)
                go_on.set()
                self.assertEqual([(await take_answer(each)).fault for each in [*running, third]], 3 * [None])
                self.assertIsNone((await bed.call()).fault)
                self.assertEqual(worker.connections, 3)

            self.played(scenario, worker, ConnectionLimits(per_address=2))

        def test_resting_connections_give_way_to_new_ones(self) -> None:
            """Of this address when its bound is reached, of another when the bound in all is."""
            worker = StandInWorker(answers_ok)

            async def scenario(bed: Bed) -> None:
                await bed.call()
                await bed.call(reuse=False)
                await bed.call()
                self.assertEqual((worker.connections, bed.client.pool.open_connections()), (3, 1))
                elsewhere = Address(bed.address.host, 1)
                fault = (await bed.call(address=elsewhere)).fault
                self.assertEqual((fault and fault.kind, bed.client.pool.open_connections()), ("connect", 0))

            self.played(scenario, worker, ConnectionLimits(per_address=1, total=1))

        def test_places_are_given_back(self) -> None:
            """After refused connects, broken answers and cancelled calls, the bound is free again."""

            async def answer(turn: Turn) -> None:
                if turn.connection % 2:
                    turn.reset()
                else:
                    await turn.send(b"not HTTP at all")

            worker = StandInWorker(answer)

            async def scenario(bed: Bed) -> None:
                kinds = [(await bed.call()).told()[0] for _ in range(6)]
                self.assertEqual(kinds, 3 * ["broken", "malformed"])
                for _ in range(3):
                    fault = (await bed.call(address=Address(bed.address.host, 1))).fault
                    self.assertEqual(fault and (fault.kind, fault.request_sent), ("connect", False))
                self.assertEqual((bed.client.pool.open_connections(), bed.client.calls()), (0, 0))

            self.played(scenario, worker, ConnectionLimits(per_address=1, total=1))

        def test_calls_beside_each_other_never_share_a_connection(self) -> None:
            async def answer(turn: Turn) -> None:
                await asyncio.sleep(0.002)
                await turn.send(turn.answer(turn.id.encode(), "Keep-Alive: timeout=8"))

            worker = StandInWorker(answer)

            async def scenario(bed: Bed) -> None:
                for _ in range(5):
                    exchanges = [bed.start() for _ in range(20)]
                    for outcome in await asyncio.gather(*(take_answer(each) for each in exchanges)):
                        self.assertIsNone(outcome.fault)
                self.assertEqual((worker.connections, worker.received.total()), (20, 100))

            self.played(scenario, worker)

        # Back-pressure.

        def test_consumer_that_stops_reading_holds_the_worker_back(self) -> None:
            async def answer(turn: Turn) -> None:
                await turn.send(turn.answer(b"x" * 20_000_000))

            worker = StandInWorker(answer)

            async def scenario(bed: Bed) -> None:
                for _ in range(2):
                    exchange = bed.start()
                    await exchange.head()
                    await bed.until(exchange.is_full)  # type: ignore[attr-defined]
                    await asyncio.sleep(0.02)
                    self.assertLessEqual(exchange._buffered, 256 * 1024)  # type: ignore[attr-defined]
                    outcome = await take_answer(exchange)
                    self.assertEqual((len(outcome.body), outcome.fault), (20_000_000, None))
                self.assertEqual(worker.connections, 1)

            self.played(scenario, worker)

        def test_requests_with_another_length_than_their_body_are_refused(self) -> None:
            worker = StandInWorker(answers_ok)

            async def scenario(bed: Bed) -> None:
                for header in (("Content-Length", "3"), ("Transfer-Encoding", "chunked")):
                    told = (await bed.call(b"four", headers=(header,))).told()
                    self.assertEqual(told, ("malformed", False, False))
                self.assertEqual(worker.connections, 0)

            self.played(scenario, worker)


class OnLoopback(OnBothBeds.Tests):
    def run_scenario(self, scenario: Scenario, worker: StandInWorker, limits: ConnectionLimits | None = None) -> None:
        run_on_loopback(scenario, worker, limits)


class InSimulation(OnBothBeds.Tests):
    def run_scenario(self, scenario: Scenario, worker: StandInWorker, limits: ConnectionLimits | None = None) -> None:
        run_in_simulation(scenario, worker, limits)


class RestingTimes(unittest.TestCase):
    """On virtual time."""

    def connections_after(
        self, rest: float, *headers: str, limits: ConnectionLimits | None = None, within: float | None = None
    ) -> int:
        """How many connections two calls took that had this rest between them."""

        async def answer(turn: Turn) -> None:
            await turn.send(turn.answer(b"ok", *headers))

        async def scenario(bed: Bed) -> None:
            await bed.call()
            await asyncio.sleep(rest)
            await bed.call(reuse_within=None if within is None else Seconds(within))

        worker = StandInWorker(answer)
        run_in_simulation(scenario, worker, limits)
        return worker.connections

    def test_half_of_the_told_time(self) -> None:
        self.assertEqual(self.connections_after(1.9, "Keep-Alive: timeout=4"), 1)
        self.assertEqual(self.connections_after(2.1, "Keep-Alive: timeout=4"), 2)
        self.assertEqual(self.connections_after(0.9, 'Keep-Alive: max=5, timeout="2"'), 1)
        self.assertEqual(self.connections_after(1.1, 'Keep-Alive: max=5, timeout="2"'), 2)

    def test_some_seconds_at_most(self) -> None:
        self.assertEqual(self.connections_after(4.9, "Keep-Alive: timeout=600"), 1)
        self.assertEqual(self.connections_after(5.1, "Keep-Alive: timeout=600"), 2)

    def test_short_when_nothing_is_told(self) -> None:
        for headers in ((), ("Keep-Alive: max=100",), ("Keep-Alive: timeout=-5",)):
            self.assertEqual(self.connections_after(0.25, *headers), 1)
            self.assertEqual(self.connections_after(0.35, *headers), 2)

    def test_bound_of_the_call(self) -> None:
        self.assertEqual(self.connections_after(0.05, "Keep-Alive: timeout=8", within=0.1), 1)
        self.assertEqual(self.connections_after(0.15, "Keep-Alive: timeout=8", within=0.1), 2)

    def test_connection_too_old_for_one_call_stays_for_another(self) -> None:
        async def scenario(bed: Bed) -> None:
            await bed.call()
            await asyncio.sleep(1.0)
            await bed.call(reuse_within=Seconds(0.1), reuse=True)
            self.assertEqual(bed.client.pool.idle_connections(bed.address), 2)

        worker = StandInWorker(answers_ok)
        run_in_simulation(scenario, worker)
        self.assertEqual(worker.connections, 2)

    def test_old_connections_are_closed_without_a_call(self) -> None:
        async def scenario(bed: Bed) -> None:
            await bed.call()
            await asyncio.sleep(4.6)
            self.assertEqual((worker.open, bed.client.pool.open_connections()), (0, 0))
            self.assertEqual(bed.client.counts.closed_idle, 1)

        worker = StandInWorker(answers_ok)
        run_in_simulation(scenario, worker)

    def test_connections_to_one_address_can_be_given_up(self) -> None:
        async def scenario(bed: Bed) -> None:
            await bed.call()
            bed.client.pool.close_idle(Address("10.9.9.9", 1))
            self.assertEqual(bed.client.pool.idle_connections(), 1)
            bed.client.pool.close_idle(bed.address)
            await bed.until(lambda: worker.open == 0)

        worker = StandInWorker(answers_ok)
        run_in_simulation(scenario, worker)

    def test_worker_without_power_says_nothing_and_the_call_ends_by_its_consumer(self) -> None:
        async def scenario(bed: Bed) -> None:
            await bed.call()
            assert bed.world is not None
            bed.world.power_off("worker")
            exchange = bed.start()
            with self.assertRaises(TimeoutError):
                async with asyncio.timeout(1.0):
                    await exchange.head()
            exchange.cancel()
            self.assertEqual((await take_answer(exchange)).told(), ("cancelled", True, False))
            unreached = await bed.call(connect_timeout=Seconds(0.5))
            self.assertEqual(unreached.told(), ("connect", False, False))
            self.assertEqual(bed.client.pool.open_connections(), 0)

        run_in_simulation(scenario, StandInWorker(answers_ok))

    def test_frozen_router_does_not_use_what_ended_meanwhile(self) -> None:
        async def scenario(bed: Bed) -> None:
            await bed.call()
            world = bed.world
            assert world is not None
            world.at(world.now + 1.0, lambda: world.freeze("router"))
            world.at(world.now + 1.5, worker.streams[-1].close)
            world.at(world.now + 2.0, lambda: world.wake("router"))
            await asyncio.sleep(1.7)
            outcome = await bed.call()
            self.assertEqual((outcome.fault, worker.connections), (None, 2))

        worker = StandInWorker(answers_ok)
        run_in_simulation(scenario, worker)
