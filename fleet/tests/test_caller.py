"""How a caller classifies complete, truncated and wrong answers (docs/DESIGN.md section 17).

The demo and the load tool judge the fleet by these outcomes. A truncated answer that counts as complete, or an event of
another call that is not noticed, would hide a fault of the fleet.
"""

from __future__ import annotations

import unittest

from returns.result import Success
from tornado.iostream import BaseIOStream

from emulator.worker import EmulatedWorker, WorkerOptions
from simulation import World, address_of
from wingwood.context.protocols import Context
from wingwood.identifiers import Address

from ..caller import Caller, CallOutcome, CallPlan

PORT = 80
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"


def event(index: int, call_id: str = "mine") -> bytes:
    return b'data: {"index":%d,"text":"x","call":"%s"}\n\n' % (index, call_id.encode())


def chunked(*chunks: bytes, end: bool = True) -> bytes:
    return b"".join(b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks) + (b"0\r\n\r\n" if end else b"")


DONE = b"data: [DONE]\n\n"


class AnswerChecks(unittest.TestCase):
    def ask(self, answer: bytes | None, tokens: int = 2, timeout: float = 4.0) -> CallOutcome:
        """Makes a call to a server that answers with the bytes of ``answer``, or to an emulated worker for None."""
        with World(3) as world:
            outcomes: list[CallOutcome] = []

            async def server(context: Context) -> None:
                address = address_of(world.machines["server"], PORT)
                if answer is None:
                    worker = EmulatedWorker(context, WorkerOptions(name="w", address=address))
                    assert isinstance(worker.start(), Success)
                    return

                async def handle(stream: BaseIOStream, peer: Address) -> None:
                    await stream.read_until(b"\r\n\r\n")
                    await stream.write(answer)
                    if not answer.endswith(b"0\r\n\r\n"):
                        stream.close()

                assert isinstance(context.network.listen(address, handle), Success)

            async def caller(context: Context) -> None:
                plan = CallPlan(
                    path="/v1/chat",
                    key="k",
                    call_id="mine",
                    messages=("hello",),
                    max_tokens=tokens,
                    first_byte_timeout=timeout,
                )
                address = address_of(world.machines["server"], PORT)
                outcomes.append(await Caller(context.http, context.clock).call(plan, address))

            world.start("server", server)
            world.run(0.1)
            world.start("caller", caller)
            world.wait_for(lambda: bool(outcomes), 60)
            return outcomes[0]

    def test_a_complete_stream_has_all_its_events(self) -> None:
        outcome = self.ask(None, tokens=5)
        self.assertEqual((outcome.looks_complete, outcome.problem, outcome.events), (True, "", 5))
        self.assertEqual((len(outcome.gaps), outcome.text), (4, "000 001 002 003 004 "))

    def test_a_stream_aborted_inside_an_event_does_not_look_complete(self) -> None:
        outcome = self.ask(HEAD + chunked(event(0), event(1)[:9], end=False))
        self.assertEqual((outcome.looks_complete, outcome.problem, outcome.fault), (False, "", "broken"))

    def test_a_truncated_stream_that_looks_complete_is_a_problem(self) -> None:
        for body in (chunked(event(0)), chunked(event(0), DONE), chunked(event(0), event(1)[:9])):
            outcome = self.ask(HEAD + body)
            self.assertTrue(outcome.looks_complete and outcome.problem, outcome)

    def test_events_lost_repeated_or_of_another_call_are_problems(self) -> None:
        for events in ((event(0), event(0)), (event(1), event(2)), (event(0), event(1, "other"))):
            self.assertNotEqual(self.ask(HEAD + chunked(*events, DONE)).problem, "")
        trailing = chunked(event(0), event(1), DONE + b"more")
        self.assertEqual(self.ask(HEAD + trailing).problem, "bytes after the end marker")

    def test_a_plain_answer_of_another_call_is_a_problem_and_a_truncated_one_is_broken(self) -> None:
        head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 16\r\n\r\n"
        self.assertIn("another call", self.ask(head + b'{"call":"other"}').problem)
        outcome = self.ask(head + b'{"call"')
        self.assertEqual((outcome.looks_complete, outcome.fault), (False, "broken"))

    def test_answers_written_by_a_router_are_recognised(self) -> None:
        body = b'{"code":"no-worker","run":"not-run"}'
        head = b"HTTP/1.1 503 No\r\nWingwood-Answer: router\r\nContent-Length: %d\r\n\r\n" % len(body)
        outcome = self.ask(head + body)
        self.assertEqual((outcome.status, outcome.code, outcome.run), (503, "no-worker", "not-run"))
        self.assertFalse(outcome.looks_complete)

    def test_a_silent_stream_times_out(self) -> None:
        outcome = self.ask(None, tokens=3, timeout=0.001)
        self.assertEqual((outcome.fault, outcome.status), ("silent", 0))
