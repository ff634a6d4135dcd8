"""The emulated worker on simulated time (docs/DESIGN.md section 17)."""

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


class Answer:
    """What a caller saw, with the virtual times of its pieces."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.first_piece: float | None = None
        self.end = "none"


class OneWorker(unittest.TestCase):
    slots = 2
    cache_tokens = 10_000

    def setUp(self) -> None:
        self.world = World(5)
        self.world.__enter__()
        self.addCleanup(self.world.close)
        self.told: list[dict[str, Any]] = []
        self.world.start("registry", self.registry_main)
        self.world.start("worker", self.worker_main)
        self.world.start("caller", self.caller_main)
        self.world.run(0.2)

    async def registry_main(self, context: Context) -> None:
        def take(request: HTTPServerRequest) -> None:
            self.told.append(json.loads(request.body))
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

    def begin(self, path: str, body: object = None, headers: tuple[tuple[str, str], ...] = ()) -> Answer:
        """Starts a call; its answer fills while the world runs."""
        answer = Answer()

        async def run() -> None:
            request = HttpRequest(
                "GET" if body is None else "POST",
                address_of(self.world.machines["worker"], PORT),
                path,
                headers,
                b"" if body is None else json.dumps(body).encode(),
            )
            exchange = self.caller.http.start(request)
            asked = self.world.now
            head = await exchange.head()
            if not isinstance(head, Success):
                answer.end = head.failure().kind
                return
            answer.status = head.unwrap().status
            answer.headers = dict(head.unwrap().headers)
            while True:
                piece = await exchange.next_chunk()
                if not isinstance(piece, Success):
                    answer.end = piece.failure().kind
                    return
                data = piece.unwrap()
                if data is None:
                    answer.end = "whole"
                    return
                if answer.first_piece is None:
                    answer.first_piece = self.world.now - asked
                answer.body += data

        self.world.spawn(self.world.processes["caller"], run(), "ask")
        return answer

    def ask(self, path: str, body: object = None, headers: tuple[tuple[str, str], ...] = ()) -> Answer:
        answer = self.begin(path, body, headers)
        self.world.wait_for(lambda: answer.end != "none", 60)
        return answer

    def turn(self, prefix: str, tokens: int = 5, expect: str | None = None) -> Answer:
        return self.ask("/v1/chat", _body(tokens), _headers(prefix, expect))

    def switch(self, fault: str, **fields: object) -> None:
        self.assertEqual(self.ask("/faults", {"fault": fault, **fields}).status, 200)


class Turns(OneWorker):
    def test_only_uncached_tokens_are_prefilled(self) -> None:
        first, again, sibling = self.turn("lease/one"), self.turn("lease/one"), self.turn("lease/two")
        for answer, uncached in ((first, SHARED + OWN), (again, 0), (sibling, OWN)):
            assert answer.first_piece is not None
            self.assertAlmostEqual(answer.first_piece, uncached * PREFILL + DECODE, delta=0.02)
        self.assertEqual([sibling.headers["Cached-Tokens"], sibling.headers["Prompt-Tokens"]], ["1000", "1100"])

    def test_prefills_are_done_one_after_the_other(self) -> None:
        first = self.begin("/v1/chat", _body(1), _headers("one"))
        second = self.begin("/v1/chat", _body(1), _headers("two"))
        self.world.run(5)
        times = sorted(answer.first_piece or 0.0 for answer in (first, second))
        self.assertAlmostEqual(times[1] - times[0], (SHARED + OWN) * PREFILL, delta=0.05)

    def test_the_next_turn_finds_the_answer_of_the_last_one_kept_too(self) -> None:
        self.turn("s", tokens=20)
        grown = [*_messages(), {"content": "z" * 20 * 4}]
        answer = self.ask("/v1/chat", {"messages": grown, "max_tokens": 1}, _headers("s"))
        self.assertEqual(answer.headers["Cached-Tokens"], str(SHARED + OWN + 20))

    def test_a_caller_that_goes_away_before_the_first_token_frees_its_slot_at_once(self) -> None:
        self.begin("/v1/chat", _body(1), _headers("s"))
        self.world.run(0.1)
        self.assertEqual(self.worker.running, 1)
        self.world.kill("caller")
        self.world.run(0.1)
        self.assertEqual((self.worker.running, self.worker.runs[0].outcome), (0, "caller-gone"))

    def test_a_stream_is_one_event_per_token_and_ends_with_its_marker(self) -> None:
        events = self.turn("s", tokens=3).body.split(b"\n\n")
        self.assertEqual([json.loads(event[6:])["index"] for event in events[:3]], [0, 1, 2])
        self.assertEqual(events[3:], [b"data: [DONE]", b""])

    def test_calls_beyond_the_slots_wait_and_go_on_in_order(self) -> None:
        answers = []
        for number in range(3):
            answers.append(self.begin("/v1/chat", _body(300), _headers(f"s{number}")))
            self.world.run(0.2)
        health = json.loads(self.ask("/health").body)
        self.assertEqual((health["running"], health["waiting"]), (2, 1))
        self.world.run(20)
        self.assertEqual([answer.end for answer in answers], ["whole"] * 3)
        started = [run.prefix for run in self.worker.runs]
        self.assertEqual(started, ["s0", "s1", "s2"])
        self.assertGreaterEqual(self.worker.runs[2].started, self.worker.runs[0].finished or 1e9)

    def test_a_caller_that_goes_away_frees_its_slot(self) -> None:
        for number in range(2):
            self.begin("/v1/chat", _body(1000), _headers(f"s{number}"))
        self.world.run(3)
        self.assertEqual(self.worker.running, 2)
        self.world.kill("caller")
        self.world.run(1)
        self.assertEqual(self.worker.running, 0)
        self.assertEqual([run.outcome for run in self.worker.runs], ["caller-gone"] * 2)

    def test_callers_that_go_away_together_while_it_is_frozen_free_all_places(self) -> None:
        """What runs and what waits is cancelled in the same moment."""
        for number in range(5):
            self.begin("/v1/chat", _body(1000), _headers(f"s{number}"))
        self.world.run(3)
        self.world.freeze("worker")
        self.world.kill("caller")
        self.world.run(1)
        self.world.wake("worker")
        self.world.run(1)
        self.assertEqual((self.worker.running, self.world.broken_invariants), (0, []))

    def test_another_instance_is_told_that_nothing_was_run(self) -> None:
        answer = self.turn("s", expect="another-life")
        self.assertEqual((answer.status, answer.headers["Not-Run"], self.worker.runs), (412, "true", []))


class LeastRecentlyUsed(OneWorker):
    cache_tokens = SHARED + 3 * (OWN + 5)

    def test_the_session_not_used_longest_goes_and_shared_starts_stay(self) -> None:
        for session in ("one", "two", "three", "one", "four"):
            self.turn(f"lease/{session}")
        cached = {name: self.turn(f"lease/{name}").headers["Cached-Tokens"] for name in ("one", "three", "two")}
        self.assertEqual(cached, {"one": "1100", "three": "1100", "two": "1000"})
        self.assertLessEqual(self.worker.cache.used, self.cache_tokens)


class LeavingAndFaults(OneWorker):
    def test_it_announces_itself_to_another_daemon_when_one_refuses_and_says_when_it_leaves(self) -> None:
        self.world.run(3)
        self.assertEqual([told["state"] for told in self.told[:3]], ["ready"] * 3)
        running = self.begin("/v1/chat", _body(100), _headers("s"))
        self.world.run(1.5)
        self.ask("/drain", {})
        refused = self.turn("t")
        self.assertEqual((refused.status, refused.headers["Not-Run"]), (503, "true"))
        self.assertEqual(self.told[-1]["state"], "draining")
        self.world.run(3)
        self.assertEqual((running.end, self.told[-1]["state"]), ("whole", "gone"))

    def test_a_break_is_inside_an_event_and_seen_as_broken(self) -> None:
        self.switch("break-mid-event", after=2, calls=1)
        answer = self.turn("s")
        self.assertEqual((answer.end, answer.body.count(b"\n\n")), ("broken", 2))
        self.assertFalse(answer.body.endswith(b"\n\n"))
        self.assertEqual(self.turn("s").end, "whole")

    def test_a_call_closed_without_answer_was_run(self) -> None:
        self.switch("close-without-answer", calls=1)
        answer = self.turn("s")
        self.assertEqual((answer.status, answer.end, len(self.worker.runs)), (0, "broken", 1))

    def test_a_dark_worker_neither_answers_nor_announces_until_it_is_back(self) -> None:
        self.switch("dark", seconds=5.0)
        self.world.run(0.1)
        before = len(self.told)
        answers = [self.begin("/v1/chat", _body(1), _headers("s")), self.begin("/health")]
        self.world.run(4.5)
        self.assertEqual(([answer.end for answer in answers], len(self.told)), (["none"] * 2, before))
        self.world.run(3)
        self.assertEqual([answer.end for answer in answers], ["whole"] * 2)
        self.assertGreater(len(self.told), before)

    def test_a_restart_is_a_new_instance_with_an_empty_cache_and_breaks_what_ran(self) -> None:
        self.turn("lease/one")
        old = self.worker.instance
        broken = self.begin("/v1/chat", _body(1000), _headers("lease/two"))
        self.world.run(1)
        self.switch("restart-empty")
        self.world.run(0.5)
        self.assertEqual(broken.end, "broken")
        self.assertNotEqual(self.told[-1]["instance"], old)
        self.assertEqual(self.turn("lease/one", expect=old).status, 412)
        self.assertEqual(self.turn("lease/one").headers["Cached-Tokens"], "0")

    def test_lies_and_errors_and_lateness_show_as_switched(self) -> None:
        self.switch("lie-about-load")
        self.begin("/v1/chat", _body(100), _headers("s"))
        self.world.run(1.2)
        self.assertEqual((json.loads(self.ask("/health").body)["running"], self.worker.running), (0, 1))
        self.switch("error-status", status=502, calls=1)
        self.assertEqual(self.turn("t").status, 502)
        self.switch("late", seconds=7.0, calls=1)
        self.assertGreater(self.turn("t").first_piece or 0.0, 7.0)


def _messages() -> list[dict[str, str]]:
    return [{"content": "x" * SHARED * 4}, {"content": "y" * OWN * 4}]


def _body(tokens: int) -> dict[str, object]:
    return {"messages": _messages(), "max_tokens": tokens, "call": "mark"}


def _headers(prefix: str, expect: str | None = None) -> tuple[tuple[str, str], ...]:
    return (("Prefix", prefix), *((("Expect-Instance", expect),) if expect else ()))
