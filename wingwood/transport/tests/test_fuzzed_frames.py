"""Random bytes and frames from unknown and authenticated peers must not harm a messenger (docs/DESIGN.md section 4)."""

from __future__ import annotations

import itertools
import unittest
from unittest import mock

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from tornado.iostream import BaseIOStream, StreamClosedError

from simulation import World
from wingwood.context.protocols import Context
from wingwood.identifiers import Address, DaemonName, Incarnation, Seconds, Zone
from wingwood.transport.frames import (
    PROTOCOL_VERSION,
    Envelope,
    Hello,
    Identity,
    encode_frame,
    read_frame,
)
from wingwood.transport.handshake import compute_proof
from wingwood.transport.messenger import TcpMessenger

from .test_messenger import KEY, Answer, Peers, Question

UNKNOWN_PEER = Identity(DaemonName("unknown"), Incarnation("1"), "router", Zone("a"), Address("10.0.0.9", 1))
NONCE = b"n" * 16
HELLO = msgspec.msgpack.encode(Hello(PROTOCOL_VERSION, UNKNOWN_PEER, NONCE, b""))
"""A well-formed first hello; whatever follows it fails the proof."""

odd_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats()
    | st.text(max_size=4)
    | st.binary(max_size=8),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=4), inner, max_size=3),
    max_leaves=8,
)
packed = odd_values.map(msgspec.msgpack.encode)
questions = st.builds(Question, number=st.integers(0, 99)).map(msgspec.msgpack.encode)
envelopes = st.builds(
    lambda kind, number, name, body: msgspec.msgpack.encode((kind, number, name, msgspec.Raw(body))),
    st.sampled_from(["call", "post", "reply", "fault", "none"]),
    st.one_of(st.integers(0, 3), st.sampled_from([-1, 2**63, None])),
    st.sampled_from(["Question", "Nothing", ""]),
    st.one_of(questions, packed),
)
payloads = st.one_of(envelopes, envelopes, packed, st.binary(max_size=12))
complete_frames = st.lists(payloads.map(encode_frame), max_size=5).map(b"".join)
sent_data = st.one_of(
    complete_frames,
    st.tuples(complete_frames, st.binary(max_size=12)).map(b"".join),
    st.just((2**32 - 1).to_bytes(4, "big")),
)
split_positions = st.lists(st.integers(0, 500), max_size=6)


def split(data: bytes, positions: list[int]) -> list[bytes]:
    bounds = [0, *sorted(position % (len(data) + 1) for position in positions), len(data)]
    return [data[start:end] for start, end in itertools.pairwise(bounds)]


class RawConnection:
    """A connection to the messenger ``far`` over which a test sends arbitrary bytes."""

    def __init__(self) -> None:
        self.peers = Peers()
        self.world: World = self.peers.world

    def run_exchange(self, data: bytes, positions: list[int], knows_key: bool) -> tuple[list[int], list[int], bool]:
        """Returns the posts in their order, the sorted answered calls, and whether the connection was closed."""
        closed: list[bool] = []

        async def run(context: Context) -> None:
            opened = await context.network.connect(self.peers.far, Seconds(1.0))
            stream = opened.unwrap()
            try:
                if knows_key:
                    await self._authenticate(stream)
                for chunk in split(data, positions):
                    await stream.write(chunk)
                    await context.clock.sleep(Seconds(0.001))
                await stream.read_until_close()
            except StreamClosedError:
                pass
            closed.append(True)

        self.world.start("unknown", run)
        self.world.run(4.0)
        return list(self.peers.posts), sorted(self.peers.answered), bool(closed)

    async def _authenticate(self, stream: BaseIOStream) -> None:
        await stream.write(encode_frame(HELLO))
        answer = msgspec.msgpack.decode(await read_frame(stream, 4096), type=Hello)
        proof = compute_proof(KEY, UNKNOWN_PEER, NONCE, answer.nonce)
        await stream.write(encode_frame(msgspec.msgpack.encode(Hello(PROTOCOL_VERSION, UNKNOWN_PEER, NONCE, proof))))

    def still_answers(self) -> bool:
        return self.peers.ask(Question(1000)).value_or(None) == Answer(1000)


class FuzzedFrames(unittest.TestCase):
    def exchange_result(self, data: bytes, positions: list[int], knows_key: bool) -> tuple[list[int], list[int], bool]:
        connection = RawConnection()
        try:
            seen = connection.run_exchange(data, positions, knows_key)
            self.assertTrue(connection.still_answers())
            self.assertEqual(connection.world.broken_invariants, [])
            return seen
        finally:
            connection.world.close()

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(sent_data, split_positions)
    def test_result_does_not_depend_on_where_frames_are_split(self, data: bytes, positions: list[int]) -> None:
        """A messenger must handle an authenticated peer's bytes alike in whatever parts they arrive."""
        self.assertEqual(
            self.exchange_result(data, positions, knows_key=True), self.exchange_result(data, [], knows_key=True)
        )

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(
        st.one_of(sent_data, st.binary(max_size=40), st.tuples(st.just(encode_frame(HELLO)), sent_data).map(b"".join)),
        split_positions,
    )
    def test_unauthenticated_peers_reach_no_handler(self, data: bytes, positions: list[int]) -> None:
        """A connection without proof of the fleet key must reach no handler and must be closed."""
        posts, answered, closed = self.exchange_result(data, positions, knows_key=False)
        self.assertEqual((posts, answered, closed), ([], [], True))

    def test_unchecked_message_name_is_detected(self) -> None:
        """The checks of this module must fail for a messenger that looks up message names without a check."""

        def trusting(self: TcpMessenger, peer: Identity, envelope: Envelope) -> None:
            self._post_handlers[envelope.name]

        unknown = encode_frame(msgspec.msgpack.encode(Envelope("post", 1, "Nothing", msgspec.Raw(b"\xc0"))))
        self.exchange_result(unknown, [], knows_key=True)
        with mock.patch.object(TcpMessenger, "_handle_post", trusting), self.assertRaises(AssertionError):
            self.exchange_result(unknown, [], knows_key=True)


if __name__ == "__main__":
    unittest.main()
