"""Tests of refused, partial and failed writes, on a stream whose reads and writes are scripted.

A call must be reported as unsent only if the kernel accepted no byte of its request, and an answer that arrived before
a failed write must not be lost.
"""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Callable
from unittest import mock

from returns.result import Result, Success
from tornado.ioloop import IOLoop
from tornado.iostream import BaseIOStream

from ...identifiers import Address, Seconds
from ..pooled_client import PooledHttpClient
from ..protocols import HttpFault, HttpRequest, Listener, NetworkFault, StreamHandler
from ..real import RealClock, RealTasks
from .scripted_worker import read_answer

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
Step = int | bytes | OSError | None
"""Number of bytes accepted by a write, bytes returned by a read, an error to raise, or None if it would block."""


class ScriptedLoop:
    """A fake event loop that records the handler and lets the test call it."""

    def __init__(self) -> None:
        self.handler: Callable[[object, int], None] | None = None
        self.events = 0

    def add_handler(self, descriptor: int, handler: Callable[[object, int], None], events: int) -> None:
        self.handler, self.events = handler, events

    def update_handler(self, descriptor: int, events: int) -> None:
        self.events = events

    def remove_handler(self, descriptor: int) -> None:
        self.handler = None

    def fire(self, event: int) -> None:
        assert self.handler is not None and self.events & event
        self.handler(0, event)


class ScriptedStream(BaseIOStream):
    """A fake stream; each read or write consumes one step of its script."""

    def __init__(self, writes: list[Step], reads: list[Step]) -> None:
        super().__init__()
        self.loop = ScriptedLoop()
        self.io_loop = self.loop  # type: ignore[assignment]
        self._writes = writes
        self._reads = reads

    def fileno(self) -> int:
        return 0

    def write_to_fd(self, data: memoryview) -> int:
        step = self._writes.pop(0)
        if isinstance(step, OSError):
            raise step
        if step is None:
            raise BlockingIOError
        assert isinstance(step, int)
        return min(step, len(data))

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        step = self._reads.pop(0)
        if isinstance(step, OSError):
            raise step
        if isinstance(step, bytes):
            buf[: len(step)] = step
            return len(step)
        return step

    def close_fd(self) -> None:
        pass


class OneStream:
    """A fake network on which every connection is the same stream."""

    def __init__(self, stream: ScriptedStream) -> None:
        self._stream = stream

    async def connect(self, address: Address, timeout: Seconds) -> Result[BaseIOStream, NetworkFault]:
        return Success(self._stream)

    def listen(self, address: Address, handle_stream: StreamHandler) -> Result[Listener, NetworkFault]:
        raise NotImplementedError

    def connection_limit(self) -> int:
        return 1


class Writes(unittest.IsolatedAsyncioTestCase):
    """The outcome of one call for each course of its writes."""

    async def fault_or_body(self, writes: list[Step], reads: list[Step], events: list[int]) -> HttpFault | bytes:
        stream = ScriptedStream(writes, reads)
        client = PooledHttpClient(OneStream(stream), RealClock(), RealTasks(mock.Mock(), self.fail))
        self.addCleanup(client.close)
        request = HttpRequest("POST", Address("127.0.0.1", 1), "/", body=b"x" * 10_000, reuse=True)
        exchange = client.start(request)
        while not client.counts.opened:
            await asyncio.sleep(0)
        for event in events:
            stream.loop.fire(event)
        if events == [] and client.calls():
            exchange.cancel()
        outcome = await read_answer(exchange)
        self.assertEqual(exchange.request_sent(), outcome.fault is None or outcome.fault.request_sent)
        self.assertEqual((client.pool.open_connections(), stream.closed()), (0, True))
        return outcome.body if outcome.fault is None else outcome.fault

    async def test_answer_that_came_before_a_failed_write_counts(self) -> None:
        """The worker answered early and reset the connection: the write fails while the answer is still unread."""
        writes: list[Step] = [100, BrokenPipeError(32, "pipe")]
        got = await self.fault_or_body(writes, [ANSWER], [IOLoop.WRITE, IOLoop.READ])
        self.assertEqual(got, b"ok")

    async def test_failed_write_without_an_answer_is_broken(self) -> None:
        writes: list[Step] = [100, ConnectionResetError(104, "reset")]
        reads: list[Step] = [b"HTTP/1.1 200", ConnectionResetError(104, "reset")]
        got = await self.fault_or_body(writes, reads, [IOLoop.WRITE, IOLoop.READ, IOLoop.READ])
        self.assertEqual(got, HttpFault("broken", True, "[Errno 104] reset"))

    async def test_first_byte_refused_is_unsent(self) -> None:
        got = await self.fault_or_body([ConnectionResetError(104, "reset")], [], [])
        self.assertEqual(got, HttpFault("broken", False, "[Errno 104] reset"))

    async def test_first_byte_put_off_and_then_refused_is_unsent(self) -> None:
        got = await self.fault_or_body([None, BrokenPipeError(32, "pipe")], [], [IOLoop.WRITE])
        self.assertEqual(got, HttpFault("broken", False, "[Errno 32] pipe"))

    async def test_cancelled_before_the_first_byte_was_taken_is_unsent(self) -> None:
        self.assertEqual(await self.fault_or_body([None], [], []), HttpFault("cancelled", False))

    async def test_cancelled_after_the_first_byte_was_taken_is_sent(self) -> None:
        self.assertEqual(await self.fault_or_body([1], [], []), HttpFault("cancelled", True))

    async def test_connection_is_not_kept_with_an_unsent_body(self) -> None:
        self.assertEqual(await self.fault_or_body([100], [ANSWER], [IOLoop.READ]), b"ok")
