"""Links between daemons on the simulated network: order, limits, unauthenticated peers, half-open connections."""

from __future__ import annotations

import asyncio
import unittest

import msgspec
from returns.result import Failure, Result, Success
from tornado.iostream import StreamClosedError

from simulation import World, address_of
from wingwood.context.protocols import Context
from wingwood.identifiers import Address, DaemonName, Incarnation, Seconds, Zone
from wingwood.transport.errors import TransportFailure
from wingwood.transport.frames import Identity
from wingwood.transport.messenger import TcpMessenger
from wingwood.transport.transport_options import TransportOptions

KEY = b"the fleet's own"
PORT = 7000


class Question(msgspec.Struct, frozen=True):
    number: int
    pause: float = 0.0
    filler: bytes = b""


class Answer(msgspec.Struct, frozen=True):
    number: int
    filler: bytes = b""


class Unknown(msgspec.Struct, frozen=True):
    pass


class Peers:
    """Two daemons, ``near`` and ``far``; ``far`` answers questions and records posts."""

    def __init__(
        self, seed: int = 1, far_key: bytes = KEY, options: TransportOptions | None = None, answer_bytes: int = 0
    ) -> None:
        """``answer_bytes`` is the size of the filler in the answer to question 2."""
        self.answer_bytes = answer_bytes
        self.world = World(seed).__enter__()
        self.posts: list[int] = []
        self.answered: list[int] = []
        self.messengers: dict[str, TcpMessenger] = {}
        self.far = self._start("far", far_key, options)
        self.near = self._start("near", KEY, options)
        self.world.run(0.01)

    def _start(self, name: str, key: bytes, options: TransportOptions | None) -> Address:
        machine = self.world.machine(name)
        address = address_of(machine, PORT)
        identity = Identity(DaemonName(name), Incarnation("1"), "router", Zone("a"), address)

        async def main(context: Context) -> None:
            messenger = self.messengers[name] = TcpMessenger(context, identity, key, options)
            messenger.on_call(Question, self._answer)
            messenger.on_post(Question, lambda _, question: self.posts.append(question.number))
            assert isinstance(messenger.start(), Success)

        self.world.start(name, main)
        return address

    async def _answer(self, peer: Identity, question: Question) -> Answer:
        await asyncio.sleep(question.pause)
        self.answered.append(question.number)
        return Answer(question.number, b"x" * self.answer_bytes if question.number == 2 else b"")

    def ask(
        self, question: msgspec.Struct, timeout: float = 1.0, within: float = 30.0
    ) -> Result[Answer, TransportFailure]:
        """Calls ``far`` from within the process ``near`` and returns the outcome."""
        outcomes: list[Result[Answer, TransportFailure]] = []

        async def call() -> None:
            outcomes.append(await self.messengers["near"].call(self.far, question, Answer, Seconds(timeout)))

        self.world.spawn(self.world.processes["near"], call(), "ask")
        assert self.world.wait_for(lambda: bool(outcomes), within, every=0.01)
        return outcomes[0]

    def in_near(self, work: object) -> None:
        async def run() -> None:
            work()  # type: ignore[operator]

        self.world.spawn(self.world.processes["near"], run(), "work")

    def events(self, name: str) -> int:
        return sum(event.name == name for event in self.world.events)


class Calls(unittest.TestCase):
    def peers(self, **options: object) -> Peers:
        peers = Peers(**options)  # type: ignore[arg-type]
        self.addCleanup(peers.world.close)
        return peers

    def test_answers_out_of_order_are_matched_to_their_calls(self) -> None:
        """Answers that arrive in another order than the calls must each complete the right call."""
        peers = self.peers()
        outcomes: dict[int, object] = {}

        async def call(number: int) -> None:
            question = Question(number, pause=0.1 * (10 - number))
            outcomes[number] = await peers.messengers["near"].call(peers.far, question, Answer, Seconds(5.0))

        for number in range(10):
            peers.world.spawn(peers.world.processes["near"], call(number), "call")
        peers.world.run(3)
        self.assertEqual(outcomes, {number: Success(Answer(number)) for number in range(10)})
        self.assertEqual(peers.answered, list(reversed(range(10))))

    def test_unknown_message_is_rejected(self) -> None:
        """A call without a handler must fail at once instead of running into its timeout."""
        outcome = self.peers().ask(Unknown())
        self.assertEqual(outcome, Failure(TransportFailure("rejected", True, "no handler for Unknown")))

    def test_unreachable_peer_is_reported_as_not_sent(self) -> None:
        """If no process listens at the address, the fault must say that the call was not sent."""
        peers = self.peers()
        peers.world.kill("far")
        fault = peers.ask(Question(1)).failure()
        self.assertEqual((fault.kind, fault.sent), ("unreachable", False))

    def test_peer_killed_during_a_call_is_reported_as_sent(self) -> None:
        """If the peer fails during a call, the fault must say that the call may have been executed."""
        peers = self.peers()
        peers.world.at(peers.world.now + 0.5, lambda: peers.world.kill("far"))
        fault = peers.ask(Question(1, pause=5.0), timeout=10.0).failure()
        self.assertEqual((fault.kind, fault.sent), ("closed", True))
        peers.world.restart("far")
        peers.world.run(0.5)
        self.assertEqual(peers.ask(Question(2)), Success(Answer(2)))

    def test_call_to_a_suspended_peer_times_out_and_works_after_it_resumes(self) -> None:
        """A call to a suspended process must time out, and the link must be usable when the process resumes."""
        peers = self.peers()
        self.assertEqual(peers.ask(Question(1)), Success(Answer(1)))
        peers.world.freeze("far")
        self.assertEqual(peers.ask(Question(2)).failure().kind, "timeout")
        peers.world.wake("far")
        peers.world.run(1)
        self.assertEqual(peers.ask(Question(3)), Success(Answer(3)))


class ConnectionThatFailsWhileCallsTimeOut(unittest.TestCase):
    """The connection is closed within one turn of the event loop, before the task that reads it has run."""

    def test_calls_that_time_out_after_a_failed_write_do_not_end_the_process(self) -> None:
        """A peer that stalls and is killed must not end a daemon that waits for it (peer-reset-ends-router.md)."""
        peers = Peers()
        self.addCleanup(peers.world.close)
        self.assertEqual(peers.ask(Question(1)), Success(Answer(1)))
        peers.world.freeze("far")
        messenger = peers.messengers["near"]
        outcomes: list[Result[Answer, TransportFailure]] = []

        async def call(number: int) -> None:
            outcomes.append(await messenger.call(peers.far, Question(number), Answer, Seconds(0.015)))

        async def call_and_meet_the_reset() -> None:
            await call(2)
            for endpoint in peers.world.network.endpoints.values():
                if endpoint.other == peers.far:
                    endpoint.error = ConnectionResetError("peer was killed")
            messenger.post(peers.far, Question(3))

        near = peers.world.processes["near"]
        peers.world.spawn(near, call_and_meet_the_reset(), "first")
        peers.world.spawn(near, call(4), "second")
        peers.world.run(1.0)
        self.assertEqual(peers.world.broken_invariants, [])
        self.assertEqual([outcome.failure().kind for outcome in outcomes], ["timeout", "timeout"])
        peers.world.wake("far")
        peers.world.run(1.0)
        self.assertEqual(peers.ask(Question(5)), Success(Answer(5)))


class HalfOpenLinks(unittest.TestCase):
    def test_link_reconnects_after_the_peer_machine_restarts(self) -> None:
        """After a power failure the peer does not know the connection; the link must not remain half-open."""
        for seed in range(5):
            peers = Peers(seed)
            self.assertEqual(peers.ask(Question(1)), Success(Answer(1)))
            peers.world.power_off("far")
            self.assertEqual(peers.ask(Question(2), timeout=2.0).failure().kind, "timeout")
            peers.world.power_on("far")
            peers.world.run(0.2)
            self.assertEqual(peers.ask(Question(3), timeout=2.0), Success(Answer(3)))
            peers.world.close()

    def test_link_recovers_after_a_one_way_partition(self) -> None:
        """A link that lost the answers of a one-way partition must work soon after the network heals."""
        for seed in range(5):
            peers = Peers(seed)
            self.assertEqual(peers.ask(Question(1)), Success(Answer(1)))
            cut = peers.world.cut("far", "near", both_ways=False)
            for number in (2, 3, 4):
                self.assertFalse(isinstance(peers.ask(Question(number), timeout=2.0), Success))
            peers.world.heal(cut)
            peers.world.run(0.2)
            self.assertEqual(peers.ask(Question(5), timeout=2.0), Success(Answer(5)), f"seed {seed}")
            peers.world.close()


class SlowLinks(unittest.TestCase):
    """Transfers of a frame that takes longer than the unresponsive timeout, while other calls behind it time out."""

    def outcomes(self, large: Question, answer_bytes: int) -> list[Result[Answer, TransportFailure]]:
        peers = Peers(answer_bytes=answer_bytes)
        self.addCleanup(peers.world.close)
        peers.ask(Question(1))
        peers.world.network.bandwidth["near"] = 200_000.0
        outcomes: list[Result[Answer, TransportFailure]] = []
        near = peers.world.processes["near"]

        async def call_large() -> None:
            outcomes.append(await peers.messengers["near"].call(peers.far, large, Answer, Seconds(20.0)))

        async def call_small() -> None:
            while not outcomes:
                await peers.messengers["near"].call(peers.far, Question(3), Answer, Seconds(0.4))
                await asyncio.sleep(0.1)

        peers.world.spawn(near, call_large(), "large")
        peers.world.spawn(near, call_small(), "small")
        peers.world.run(20.0)
        return outcomes

    def test_peer_that_receives_a_large_call_is_not_unresponsive(self) -> None:
        """A link that is sending a large call must not be closed as unresponsive."""
        self.assertEqual(self.outcomes(Question(2, filler=b"x" * 1_500_000), 0), [Success(Answer(2))])

    def test_peer_that_sends_a_large_answer_is_not_unresponsive(self) -> None:
        """A link that is receiving a large answer must not be closed as unresponsive."""
        outcomes = self.outcomes(Question(2), 1_500_000)
        self.assertEqual(outcomes, [Success(Answer(2, b"x" * 1_500_000))])


class Posts(unittest.TestCase):
    def test_posts_keep_their_order_while_the_link_connects(self) -> None:
        """Posts made before and after the link is connected must arrive in the order of sending."""
        for seed in range(20):
            peers = Peers(seed)

            async def send(peers: Peers = peers) -> None:
                for number in range(200):
                    peers.messengers["near"].post(peers.far, Question(number))
                    if number % 5 == 4:
                        await asyncio.sleep(0.0001)

            peers.world.spawn(peers.world.processes["near"], send(), "send")
            peers.world.run(1)
            self.assertEqual(peers.posts, list(range(200)), f"seed {seed}")
            peers.world.close()

    def test_post_right_after_connecting_does_not_overtake_waiting_posts(self) -> None:
        """A post made right when the link is connected must arrive after the posts that waited for it."""
        peers = Peers()
        self.addCleanup(peers.world.close)

        async def send() -> None:
            messenger = peers.messengers["near"]
            for number in range(3):
                messenger.post(peers.far, Question(number))
            await asyncio.sleep(0)
            connecting = messenger._links[peers.far].connecting
            assert connecting is not None
            await connecting
            messenger.post(peers.far, Question(3))

        peers.world.spawn(peers.world.processes["near"], send(), "send")
        peers.world.run(1)
        self.assertEqual(peers.posts, [0, 1, 2, 3])

    def test_posts_to_an_unreachable_peer_are_lost_without_error(self) -> None:
        """Posts to an unreachable peer must be dropped without an error in the sender."""
        peers = Peers()
        self.addCleanup(peers.world.close)
        peers.world.kill("far")
        peers.in_near(lambda: peers.messengers["near"].post(peers.far, Question(1)))
        peers.world.run(5)
        self.assertEqual((peers.posts, peers.world.broken_invariants), ([], []))


class UnauthenticatedPeers(unittest.TestCase):
    def send_raw(self, peers: Peers, data: bytes) -> list[str]:
        closed: list[str] = []

        async def main(context: Context) -> None:
            stream = (await context.network.connect(peers.far, Seconds(1.0))).unwrap()
            try:
                await stream.write(data)
                while True:
                    await stream.read_bytes(1)
            except StreamClosedError:
                closed.append("closed")

        peers.world.start("unknown", main)
        peers.world.run(5)
        return closed

    def test_invalid_bytes_close_the_connection_with_one_log_event(self) -> None:
        """Invalid bytes must close their connection, be logged once, and not affect other calls."""
        for data in (b"GET / HTTP/1.1\r\n\r\n", b"\x00\x00\x00\x04spam", b"\xff\xff\xff\xff", b"", b"\x00\x00"):
            peers = Peers()
            self.assertEqual(self.send_raw(peers, data), ["closed"], data)
            self.assertEqual(peers.events("unknown-peer-dropped"), 1, data)
            self.assertEqual(peers.ask(Question(1)), Success(Answer(1)))
            self.assertEqual(peers.world.broken_invariants, [])
            peers.world.close()

    def test_wrong_fleet_key_reaches_no_handler(self) -> None:
        """A peer with another fleet key must be refused in the hello, before any message is handled."""
        peers = Peers(far_key=b"another fleet's")
        self.addCleanup(peers.world.close)
        fault = peers.ask(Question(1)).failure()
        self.assertEqual((fault.kind, fault.sent), ("unreachable", False))
        self.assertEqual(peers.answered, [])
        self.assertEqual(peers.events("peer-rejected"), 1)

    def test_frame_above_the_limit_closes_the_link_and_smaller_ones_pass_again(self) -> None:
        """A frame above the size limit must close the connection, and the link must work again for smaller frames."""
        peers = Peers(options=TransportOptions(max_frame_bytes=10_000))
        self.addCleanup(peers.world.close)
        self.assertEqual(peers.ask(Question(1, filler=bytes(9_000))), Success(Answer(1)))
        self.assertEqual(peers.ask(Question(2, filler=bytes(20_000))).failure().kind, "closed")
        self.assertEqual(peers.events("unknown-peer-dropped"), 1)
        peers.world.run(0.5)
        self.assertEqual(peers.ask(Question(3)), Success(Answer(3)))
