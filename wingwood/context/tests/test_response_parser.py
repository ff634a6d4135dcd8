"""Tests of the response parser.

If the parser depended on how the network splits the bytes, or accepted a head that a worker or proxy reads
differently, a client could take bytes of one answer for another. Generated answers must have the same result in every
split, and ambiguous heads must be rejected.
"""

from __future__ import annotations

import itertools
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from ..http_framing import MAX_HEAD_BYTES, ChunkDecoder
from ..response_parser import ResponseParser, ResponseState

ECHO = ("X-Id", "one")


def read(segments: list[bytes], method: str = "POST", echo: tuple[str, str] | None = None) -> tuple[object, ...]:
    """Returns all that a client can see of an answer that arrives in these segments before the connection ends."""
    parser = ResponseParser(method, echo)
    body = b""
    for at, segment in enumerate(segments):
        if segment and parser.state is ResponseState.INCOMPLETE:
            body += parser.take(segment)
            if parser.state is not ResponseState.INCOMPLETE:
                parser.surplus += sum(map(len, segments[at + 1 :]))
    if parser.state is ResponseState.INCOMPLETE:
        parser.on_connection_end()
    surplus = parser.surplus if parser.state is ResponseState.COMPLETE else 0
    persistent = parser.state is ResponseState.COMPLETE and parser.persistent
    return parser.state, parser.head, body, surplus, persistent, parser.keep_alive_seconds if persistent else None


def split_at(data: bytes, offsets: list[int]) -> list[bytes]:
    """Splits the bytes at the given offsets, taken modulo the length."""
    bounds = [0, *sorted(offset % (len(data) + 1) for offset in offsets), len(data)]
    return [data[start:end] for start, end in itertools.pairwise(bounds)]


names = st.sampled_from(
    ["Content-Length", "content-length", "Transfer-Encoding", "Connection", "Keep-Alive", "X-Id", "X-A", "X B", "", "é"]
)
values = st.one_of(
    st.sampled_from(["0", "3", "5", "chunked", "close", "keep-alive", "timeout=5, max=2", "one", "two", " 5 ", "\t"]),
    st.sampled_from(["9" * 30, "9" * 5000, "-1", "5, 5", "gzip, chunked", "a\nb", "a\r", "\x00", "²"]),
    st.text(st.characters(max_codepoint=255), max_size=8),
)
header_lines = st.tuples(names, values).map(lambda pair: f"{pair[0]}: {pair[1]}".encode("latin-1"))
status_lines = st.sampled_from(
    [b"HTTP/1.1 200 OK"] * 6
    + [
        b"HTTP/1.1 100 Continue",
        b"HTTP/1.0 200 OK",
        b"HTTP/1.1 204 No",
        b"HTTP/1.1 101 S",
        b"HTTP/1.1 20",
        b"HTTP/2 200",
    ]
)
heads = st.tuples(status_lines, st.lists(header_lines, max_size=4)).map(lambda t: b"\r\n".join([t[0], *t[1], b"", b""]))
bodies = st.one_of(
    st.sampled_from(
        [b"", b"abc", b"hello", b"3\r\nabc\r\n0\r\n\r\n", b"3;x=1\r\nabc\r\n0\r\nT: 1\r\n\r\nmore", b"3\nabc"]
    ),
    st.sampled_from(
        [b"1" * 5000 + b"\r\n", b"3;" + b"e" * 5000 + b"\r\nabc\r\n0\r\n\r\n", b"0\r\n" + b"t" * 5000 + b"\r\n"]
    ),
    st.binary(max_size=12),
)
answers = st.tuples(st.lists(heads, min_size=1, max_size=3), bodies).map(lambda t: b"".join(t[0]) + t[1])
mangled = st.tuples(answers, st.integers(0, 400), st.binary(max_size=3)).map(
    lambda t: t[0][: t[1]] + t[2] + t[0][t[1] + len(t[2]) :]
)
split_offsets = st.lists(st.integers(0, 20_000), max_size=8)


class Fuzz(unittest.TestCase):
    """Generated answers, valid and damaged, split at any offsets."""

    @settings(max_examples=1500, deadline=None, derandomize=True)
    @given(st.one_of(answers, mangled), split_offsets, st.sampled_from(["POST", "HEAD"]), st.sampled_from([None, ECHO]))
    def test_splits_make_no_difference(
        self, data: bytes, offsets: list[int], method: str, echo: tuple[str, str] | None
    ) -> None:
        unsplit = read([data], method, echo)
        self.assertEqual(read(split_at(data, offsets), method, echo), unsplit)

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(st.one_of(answers, mangled))
    def test_single_bytes_make_no_difference(self, data: bytes) -> None:
        self.assertEqual(read([data[at : at + 1] for at in range(len(data))]), read([data]))

    @settings(max_examples=1500, deadline=None, derandomize=True)
    @given(st.one_of(st.binary(max_size=300), st.binary(max_size=300).map(lambda rest: b"HTTP/1.1 200 OK\r\n" + rest)))
    def test_random_bytes_are_not_left_incomplete(self, data: bytes) -> None:
        self.assertIsNot(read([data])[0], ResponseState.INCOMPLETE)

    @settings(max_examples=500, deadline=None, derandomize=True)
    @given(st.binary(max_size=300), split_offsets)
    def test_chunks(self, data: bytes, offsets: list[int]) -> None:
        def decode(segments: list[bytes]) -> tuple[bytes, bool, bool]:
            decoder = ChunkDecoder()
            body = b""
            for segment in segments:
                if not decoder.ended and decoder.problem is None:
                    body += decoder.take(segment)
            return body, decoder.ended, decoder.problem is not None

        for chunked in (data, b"%x\r\n%b\r\n0\r\n\r\n" % (len(data) or 1, data or b"x")):
            self.assertEqual(decode(split_at(chunked, offsets)), decode([chunked]))

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(st.binary(max_size=300), st.lists(st.integers(1, 40), max_size=6), split_offsets)
    def test_body_comes_out_as_it_went_in(self, body: bytes, sizes: list[int], offsets: list[int]) -> None:
        length = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
        chunks, at = b"", 0
        for size in [*sizes, len(body)]:
            part = body[at : at + size]
            at += size
            chunks += b"%x\r\n%b\r\n" % (len(part), part) if part else b""
        chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"
        for data in (length, chunked):
            state, _, got, surplus, persistent, _ = read(split_at(data, offsets))
            self.assertEqual((state, got, surplus, persistent), (ResponseState.COMPLETE, body, 0, True))


class Heads(unittest.TestCase):
    """Single answers with a known result."""

    def state(self, data: bytes, echo: tuple[str, str] | None = None) -> object:
        return read([data], echo=echo)[0]

    def test_invalid_heads_are_malformed(self) -> None:
        """Each head is ambiguous, so that another parser could read it differently, or it is invalid or too long."""
        for head in (
            b"HTTP/1.1 200 OK\nContent-Length: 0\n\n",
            b"HTTP/1.1 200 OK\r\nX: a\r\n folded\r\nContent-Length: 0\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nX: a\rb\r\nContent-Length: 0\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nX: a\x00b\r\nContent-Length: 0\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length : 0\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: +0\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: " + b"9" * 5000 + b"\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nContent-Length: 1\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nno colon\r\nContent-Length: 0\r\n\r\n",
            b"HTTP/1.1  200 OK\r\nContent-Length: 0\r\n\r\n",
            b"HTTP/2 200 OK\r\nContent-Length: 0\r\n\r\n",
            b"http/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
            b"\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
            b"HTTP/1.1 100 Continue\r\n\r\n" * (MAX_HEAD_BYTES // 25 + 1),
        ):
            with self.subTest(head=head[:60]):
                self.assertIs(self.state(head), ResponseState.MALFORMED)

    def test_malformed_start_is_rejected_without_waiting_for_more(self) -> None:
        """A peer that sends something other than HTTP must not keep the call waiting for the end of a head."""
        for beginning in (b"SSH-2.0", b"X", b"HTTP/1.1 200 OK\n", b"HTTP/1.1 200 OK\r\n" + b"x" * MAX_HEAD_BYTES):
            parser = ResponseParser("POST")
            parser.take(beginning)
            self.assertIs(parser.state, ResponseState.MALFORMED, beginning[:40])

    def test_answer_without_the_expected_echo_is_foreign(self) -> None:
        """An answer with the id of another call, or without an id where one is required, is not accepted."""
        head = b"HTTP/1.1 200 OK\r\n%bContent-Length: 0\r\n\r\n"
        for line, state in (
            (b"X-Id: one\r\n", ResponseState.COMPLETE),
            (b"x-ID:one \r\n", ResponseState.COMPLETE),
            (b"X-Id: One\r\n", ResponseState.FOREIGN),
            (b"X-Id: one\r\nX-Id: two\r\n", ResponseState.FOREIGN),
            (b"", ResponseState.FOREIGN),
        ):
            self.assertEqual(self.state(head % line, ECHO), state, line)
        self.assertEqual(self.state(head % b"", ("X-Id", "")), ResponseState.COMPLETE)
        self.assertEqual(self.state(head % b"X-Id: one\r\n", ("X-Id", "")), ResponseState.FOREIGN)

    def test_interim_answers_do_not_affect_the_final_answer(self) -> None:
        """Headers of a 1xx answer, such as ``Connection`` or the echo, do not apply to the final answer."""
        early = b"HTTP/1.1 103 Early\r\nX-Id: two\r\nConnection: close\r\nKeep-Alive: timeout=9\r\n\r\n"
        state, _, body, surplus, persistent, idle = read(
            [early + b"HTTP/1.1 200 OK\r\nX-Id: one\r\nContent-Length: 2\r\n\r\nok"], echo=ECHO
        )
        self.assertEqual((state, body, surplus, persistent, idle), (ResponseState.COMPLETE, b"ok", 0, True, None))

    def test_surplus_is_counted(self) -> None:
        """Bytes after an answer must be seen, so that the connection is not reused."""
        for answer in (
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
            b"HTTP/1.1 204 No Content\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        ):
            self.assertEqual(read([answer + b"more"])[3], 4)
            self.assertEqual(read([answer])[3], 0)

    def test_long_trailers_and_chunk_lines_are_broken(self) -> None:
        """A worker could otherwise make the client buffer without limit."""
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        for body in (b"0\r\n" + b"T: 1234567890\r\n" * 6000 + b"\r\n", b"1;" + b"x" * 5000 + b"\r\na\r\n0\r\n\r\n"):
            self.assertEqual(self.state(head + body), ResponseState.BROKEN)
