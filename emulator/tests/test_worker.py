"""Tests the emulated worker in simulated time (docs/DESIGN.md section 17).

They guard against an emulator whose pace, cache or faults differ from their description, since other tests and trials
rely on them.
"""

from __future__ import annotations

import json
import unittest
from typing import Any

from returns.result import Success
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine
from tornado.iostream import BaseIOStream

from simulation import World, address_of
from wingwood.context.protocols import Context, HttpRequest
from wingwood.identifiers import Address, Seconds

from ..worker import EmulatedWorker, WorkerOptions

PORT = 80
PREFILL = 0.001
DECODE = 0.01
SHARED, OWN = 1000, 100


class ReceivedAnswer:
    """An answer as a caller saw it.

    ``first_chunk_after`` is the virtual time from the call to the first chunk; ``end`` is ``none`` while the answer is
    not finished, ``complete``, or the kind of fault that ended it.
    """

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.first_chunk_after: float | None = None
        self.end = "none"


class OneWorker(unittest.TestCase):
    """An emulated worker, a registry that records its announcements, and a caller."""

    slots = 2
    cache_tokens = 10_000

    def setUp(self) -> None:
        self.world = World(5)
        self.world.__enter__()
        self.addCleanup(self.world.close)
        self.announcements: list[dict[str, Any]] = []
        self.world.start("registry", self.registry_main)
        self.world.start("worker", self.worker_main)
        self.world.start("caller", self.caller_main)
        self.world.run(0.2)

    async def registry_main(self, context: Context) -> None:
        def take(request: HTTPServerRequest) -> None:
            self.announcements.append(json.loads(request.body))
            assert request.connection is not None
            request.connection.write_headers(
                ResponseStartLine("HTTP/1.1", 200, "OK"), HTTPHeaders({"Content-Length": "0"}), b""
            )
            request.connection.finish()

        server = HTTPServer(take)

        def handle(stream: BaseIOStream, address: Address) -> None:
            server.handle_stream(stream, (address.host, address.port))  # type: ignore[arg-type]

        assert isinstance(context.network.listen(address_of(self.world.machines["registry"], PORT), handle), Success)

    async def worker_main(self, context: Context) -> None:
        registry = self.world.machines["registry"]
        options = WorkerOptions(
            name="w",
            address=address_of(self.world.machines["worker"], PORT),
            announce=(address_of(registry, PORT + 1), address_of(registry, PORT)),
            slots=self.slots,
            cache_tokens=self.cache_tokens,
            prefill_per_token=Seconds(PREFILL),
            decode_per_token=Seconds(DECODE),
            decode_per_other_stream=Seconds(0.0),
        )
        self.worker = EmulatedWorker(context, options)
        assert isinstance(self.worker.start(), Success)

    async def caller_main(self, context: Context) -> None:
        self.caller = context

    def start_call(self, path: str, body: object = None, headers: tuple[tuple[str, str], ...] = ()) -> ReceivedAnswer:
        """Starts a call and returns its answer, which is filled in while the world runs."""
        answer = ReceivedAnswer()

        async def run() -> None:
            request = HttpRequest(
                "GET" if body is None else "POST",
                address_of(self.world.machines["worker"], PORT),
                path,
                headers,
                b"" if body is None else json.dumps(body).encode(),
            )
            exchange = self.caller.http.start(request)
            call_started = self.world.now
            head = await exchange.head()
            if not isinstance(head, Success):
                answer.end = head.failure().kind
                return
            answer.status = head.unwrap().status
            answer.headers = dict(head.unwrap().headers)
            while True:
                chunk = await exchange.next_chunk()
                if not isinstance(chunk, Success):
                    answer.end = chunk.failure().kind
                    return
                data = chunk.unwrap()
                if data is None:
                    answer.end = "complete"
                    return
                if answer.first_chunk_after is None:
                    answer.first_chunk_after = self.world.now - call_started
                answer.body += data

        self.world.spawn(self.world.processes["caller"], run(), "ask")
        return answer

    def call(self, path: str, body: object = None, headers: tuple[tuple[str, str], ...] = ()) -> ReceivedAnswer:
        answer = self.start_call(path, body, headers)
        self.world.wait_for(lambda: answer.end != "none", 60)
        return answer

    def run_turn(self, prefix: str, tokens: int = 5, expect: str | None = None) -> ReceivedAnswer:
        return self.call("/v1/chat", _body(tokens), _headers(prefix, expect))

    def switch_fault(self, fault: str, **fields: object) -> None:
        self.assertEqual(self.call("/faults", {"fault": fault, **fields}).status, 200)


class ModelCalls(OneWorker):
    def test_only_uncached_tokens_are_prefilled(self) -> None:
        first, again, sibling = self.run_turn("lease/one"), self.run_turn("lease/one"), self.run_turn("lease/two")
        for answer, uncached in ((first, SHARED + OWN), (again, 0), (sibling, OWN)):
            assert answer.first_chunk_after is not None
            self.assertAlmostEqual(answer.first_chunk_after, uncached * PREFILL + DECODE, delta=0.02)
        self.assertEqual([sibling.headers["Cached-Tokens"], sibling.headers["Prompt-Tokens"]], ["1000", "1100"])

    def test_prefills_run_one_at_a_time(self) -> None:
        first = self.start_call("/v1/chat", _body(1), _headers("one"))
        second = self.start_call("/v1/chat", _body(1), _headers("two"))
        self.world.run(5)
        times = sorted(answer.first_chunk_after or 0.0 for answer in (first, second))
        self.assertAlmostEqual(times[1] - times[0], (SHARED + OWN) * PREFILL, delta=0.05)

    def test_the_next_turn_finds_the_previous_answer_in_the_cache(self) -> None:
        self.run_turn("s", tokens=20)
        grown = [*_messages(), {"content": "z" * 20 * 4}]
        answer = self.call("/v1/chat", {"messages": grown, "max_tokens": 1}, _headers("s"))
        self.assertEqual(answer.headers["Cached-Tokens"], str(SHARED + OWN + 20))

    def test_a_caller_that_disconnects_before_the_first_token_frees_its_slot_at_once(self) -> None:
        self.start_call("/v1/chat", _body(1), _headers("s"))
        self.world.run(0.1)
        self.assertEqual(self.worker.running, 1)
        self.world.kill("caller")
        self.world.run(0.1)
        self.assertEqual((self.worker.running, self.worker.runs[0].outcome), (0, "caller-gone"))

    def test_a_stream_is_one_event_per_token_and_ends_with_its_marker(self) -> None:
        events = self.run_turn("s", tokens=3).body.split(b"\n\n")
        self.assertEqual([json.loads(event[6:])["index"] for event in events[:3]], [0, 1, 2])
        self.assertEqual(events[3:], [b"data: [DONE]", b""])

    def test_calls_beyond_the_slots_wait_and_start_in_order(self) -> None:
        answers = []
        for number in range(3):
            answers.append(self.start_call("/v1/chat", _body(300), _headers(f"s{number}")))
            self.world.run(0.2)
        health = json.loads(self.call("/health").body)
        self.assertEqual((health["running"], health["waiting"]), (2, 1))
        self.world.run(20)
        self.assertEqual([answer.end for answer in answers], ["complete"] * 3)
        started = [run.prefix for run in self.worker.runs]
        self.assertEqual(started, ["s0", "s1", "s2"])
        self.assertGreaterEqual(self.worker.runs[2].started, self.worker.runs[0].finished or 1e9)

    def test_a_caller_that_disconnects_frees_its_slot(self) -> None:
        for number in range(2):
            self.start_call("/v1/chat", _body(1000), _headers(f"s{number}"))
        self.world.run(3)
        self.assertEqual(self.worker.running, 2)
        self.world.kill("caller")
        self.world.run(1)
        self.assertEqual(self.worker.running, 0)
        self.assertEqual([run.outcome for run in self.worker.runs], ["caller-gone"] * 2)

    def test_callers_that_disconnect_together_while_the_worker_is_frozen_free_all_slots(self) -> None:
        """Running and waiting calls are cancelled at the same moment.

        A slot that becomes free must not be given to a waiting call that was cancelled as well.
        """
        for number in range(5):
            self.start_call("/v1/chat", _body(1000), _headers(f"s{number}"))
        self.world.run(3)
        self.world.freeze("worker")
        self.world.kill("caller")
        self.world.run(1)
        self.world.wake("worker")
        self.world.run(1)
        self.assertEqual((self.worker.running, self.world.broken_invariants), (0, []))

    def test_a_call_for_another_instance_is_answered_as_not_run(self) -> None:
        answer = self.run_turn("s", expect="another-life")
        self.assertEqual((answer.status, answer.headers["Not-Run"], self.worker.runs), (412, "true", []))


class LeastRecentlyUsed(OneWorker):
    cache_tokens = SHARED + 3 * (OWN + 5)

    def test_the_least_recently_used_session_is_evicted_and_shared_parts_stay(self) -> None:
        for session in ("one", "two", "three", "one", "four"):
            self.run_turn(f"lease/{session}")
        cached = {name: self.run_turn(f"lease/{name}").headers["Cached-Tokens"] for name in ("one", "three", "two")}
        self.assertEqual(cached, {"one": "1100", "three": "1100", "two": "1000"})
        self.assertLessEqual(self.worker.cache.used, self.cache_tokens)


class DrainingAndFaults(OneWorker):
    def test_announcements_go_to_another_daemon_after_a_refusal_and_state_the_departure(self) -> None:
        self.world.run(3)
        self.assertEqual([announcements["state"] for announcements in self.announcements[:3]], ["ready"] * 3)
        running = self.start_call("/v1/chat", _body(100), _headers("s"))
        self.world.run(1.5)
        self.call("/drain", {})
        refused = self.run_turn("t")
        self.assertEqual((refused.status, refused.headers["Not-Run"]), (503, "true"))
        self.assertEqual(self.announcements[-1]["state"], "draining")
        self.world.run(3)
        self.assertEqual((running.end, self.announcements[-1]["state"]), ("complete", "gone"))

    def test_a_stream_that_breaks_inside_an_event_is_seen_as_broken(self) -> None:
        self.switch_fault("break-mid-event", after=2, calls=1)
        answer = self.run_turn("s")
        self.assertEqual((answer.end, answer.body.count(b"\n\n")), ("broken", 2))
        self.assertFalse(answer.body.endswith(b"\n\n"))
        self.assertEqual(self.run_turn("s").end, "complete")

    def test_a_call_closed_without_answer_was_run(self) -> None:
        self.switch_fault("close-without-answer", calls=1)
        answer = self.run_turn("s")
        self.assertEqual((answer.status, answer.end, len(self.worker.runs)), (0, "broken", 1))

    def test_a_dark_worker_neither_answers_nor_announces_until_the_fault_ends(self) -> None:
        self.switch_fault("dark", seconds=5.0)
        self.world.run(0.1)
        before = len(self.announcements)
        answers = [self.start_call("/v1/chat", _body(1), _headers("s")), self.start_call("/health")]
        self.world.run(4.5)
        self.assertEqual(([answer.end for answer in answers], len(self.announcements)), (["none"] * 2, before))
        self.world.run(3)
        self.assertEqual([answer.end for answer in answers], ["complete"] * 2)
        self.assertGreater(len(self.announcements), before)

    def test_a_restart_gives_a_new_instance_with_an_empty_cache_and_breaks_running_calls(self) -> None:
        self.run_turn("lease/one")
        old = self.worker.instance
        broken = self.start_call("/v1/chat", _body(1000), _headers("lease/two"))
        self.world.run(1)
        self.switch_fault("restart-empty")
        self.world.run(0.5)
        self.assertEqual(broken.end, "broken")
        self.assertNotEqual(self.announcements[-1]["instance"], old)
        self.assertEqual(self.run_turn("lease/one", expect=old).status, 412)
        self.assertEqual(self.run_turn("lease/one").headers["Cached-Tokens"], "0")

    def test_wrong_load_errors_and_delays_appear_as_switched_on(self) -> None:
        self.switch_fault("lie-about-load")
        self.start_call("/v1/chat", _body(100), _headers("s"))
        self.world.run(1.2)
        self.assertEqual((json.loads(self.call("/health").body)["running"], self.worker.running), (0, 1))
        self.switch_fault("error-status", status=502, calls=1)
        self.assertEqual(self.run_turn("t").status, 502)
        self.switch_fault("late", seconds=7.0, calls=1)
        self.assertGreater(self.run_turn("t").first_chunk_after or 0.0, 7.0)


def _messages() -> list[dict[str, str]]:
    return [{"content": "x" * SHARED * 4}, {"content": "y" * OWN * 4}]


def _body(tokens: int) -> dict[str, object]:
    return {"messages": _messages(), "max_tokens": tokens, "call": "mark"}


def _headers(prefix: str, expect: str | None = None) -> tuple[tuple[str, str], ...]:
    return (("Prefix", prefix), *((("Expect-Instance", expect),) if expect else ()))
