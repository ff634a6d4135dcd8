"""Tests of reading recorded days, replaying them in simulated time and reporting (docs/DESIGN.md section 17)."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Sequence

import msgspec
from returns.result import Success
from tornado.httpserver import HTTPServer
from tornado.iostream import BaseIOStream
from tornado.web import Application, RequestHandler

from simulation import World, address_of

from ...context.protocols import Context
from ...forward.recording import RecordedCall
from ...identifiers import Address
from ..day import DayCall, DayReader, sort_by_time
from ..player import Player, PlayerOptions
from ..report import ReplayReport, comparison_table, read_report, report_table, write_report
from ..timing import Timing

KEY = "a caller's secret"


def recorded(at: float, **fields: object) -> RecordedCall:
    given = {"tenant": "austral", "service": "chat", "method": "POST", "path": "/v1/chat", "body_bytes": 400}
    return msgspec.convert({"at": at, **given, **fields}, RecordedCall)


def lines(*calls: RecordedCall) -> list[bytes]:
    return [msgspec.json.encode(call) + b"\n" for call in calls]


class DayTest(unittest.TestCase):
    """Guards against a wrong order of calls: files have different starts, truncated lines and restarted routers."""

    def test_files_are_merged_by_time_and_bad_lines_counted(self) -> None:
        reader = DayReader(
            [
                [*lines(recorded(1.0)), b'{"at": 2.0, "tena', b"\n", b"x" * 100_000],
                lines(recorded(0.5), recorded(1.5)),
            ]
        )
        self.assertEqual([(call.at, call.source) for call in reader], [(0.5, 1), (1.0, 0), (1.5, 1)])
        self.assertEqual(reader.bad_lines, 2)

    def test_start_lines_place_files_on_a_common_clock(self) -> None:
        reader = DayReader(
            [[b'{"began": 1000.0}', *lines(recorded(5.0))], [b'{"began": 1010.0}', *lines(recorded(1.0))]]
        )
        self.assertEqual([(call.at, call.source) for call in reader], [(5.0, 0), (11.0, 1)])

    def test_calls_of_a_restarted_router_follow_its_earlier_calls(self) -> None:
        reader = DayReader([lines(recorded(500.0), recorded(499.0), recorded(1.0))])
        self.assertEqual([call.at for call in sort_by_time(reader)], [499.0, 500.0, 501.0])


class TimingTest(unittest.TestCase):
    """Guards against percentiles that are distorted by the width of the buckets."""

    def test_percentiles_are_exact_within_half_a_percent(self) -> None:
        timing = Timing()
        timing.add_all(number / 1000 for number in range(1, 10_001))
        for percent in (1, 50, 95, 99, 100):
            told = timing.percentile(percent)
            assert told is not None
            self.assertAlmostEqual(told, percent * 100, delta=percent * 0.5)
        self.assertIsNone(Timing().percentile(50))


class FakeRouter(RequestHandler):
    """Fake router that streams three chunks, or fails in the manner that the last part of the path names."""

    async def post(self, what: str) -> None:
        self.application.settings["seen"].append((self.request.headers, self.request.body))
        if what == "refuse":
            self.set_status(429)
            self.set_header("Wingwood-Answer", "router")
            self.write({"code": "share-exceeded", "reason": "", "run": "not-run", "request": "1"})
            return
        if what == "slow":
            await asyncio.sleep(1000)
        self.set_header("Content-Type", "text/event-stream")
        self.set_header("Wingwood-Award", "award")
        self.set_header("Prompt-Tokens", "100")
        self.set_header("Cached-Tokens", "60")
        for chunk in ("data: 1\n\n", "data: 2\n\n", "data: [DONE]\n\n")[: 2 if what == "unended" else 3]:
            self.write(chunk)
            await self.flush()
            await asyncio.sleep(0.05)
        if what == "broken":
            self.request.connection.stream.close()  # type: ignore[union-attr]


class PlayerTest(unittest.TestCase):
    """Guards against a replay that sends other calls, times or bodies than recorded, or misjudges the answers."""

    def play(
        self, calls: Sequence[DayCall], **options: object
    ) -> tuple[ReplayReport, dict[str, list[tuple[dict[str, str], bytes]]]]:
        """Replays calls against two fake routers; returns the report and the requests that each router received."""
        with World(seed=3) as world:
            seen: dict[str, list[tuple[dict[str, str], bytes]]] = {"r0": [], "r1": []}
            for name, calls_seen in seen.items():

                async def main(context: Context, name: str = name, calls_seen: object = calls_seen) -> None:
                    server = HTTPServer(Application([(r"/v1/(.*)", FakeRouter)], seen=calls_seen))

                    def handle(stream: BaseIOStream, peer: Address) -> None:
                        server.handle_stream(stream, (peer.host, peer.port))  # type: ignore[arg-type]

                    listening = context.network.listen(address_of(world.machines[name], 80), handle)
                    assert isinstance(listening, Success)

                world.start(name, main)
            reports: list[ReplayReport] = []

            async def replay(context: Context) -> None:
                player = Player(
                    context.clock,
                    context.http,
                    [address_of(world.machines[name], 80) for name in seen],
                    {"austral": KEY},
                    msgspec.convert(options, PlayerOptions),
                )
                reports.append(await player.play(calls))

            world.start("tool", replay)
            self.assertTrue(world.wait_for(lambda: bool(reports), 500.0))
            self.assertEqual(world.broken_invariants, [])
            return reports[0], seen

    def test_calls_are_sent_at_their_times_with_the_keys_of_their_tenants(self) -> None:
        calls = [DayCall(float(number), number % 2, recorded(float(number), tokens=3)) for number in range(10)]
        calls += [DayCall(10.0, 0, recorded(10.0, tenant="other")), DayCall(10.0, 0, recorded(10.0, tenant=""))]
        report, seen = self.play(calls, speed=2.0, start=2.0, end=11.0)
        self.assertEqual((report.calls, report.skipped), (8, {"no-key": 1, "no-tenant": 1}))
        self.assertAlmostEqual(report.planned_seconds, 3.5)
        self.assertAlmostEqual(report.took_seconds, 3.65, delta=0.1)
        self.assertLess(report.late.highest, 5_000)
        self.assertEqual([len(seen["r0"]), len(seen["r1"])], [4, 4])
        headers, body = seen["r0"][0]
        self.assertEqual(headers["Authorization"], f"Bearer {KEY}")
        self.assertEqual(len({headers["Idempotency-Key"] for headers, _ in seen["r0"]}), 4)
        self.assertIn(msgspec.json.decode(body)["max_tokens"], (3,))

    def test_same_prefix_part_has_the_same_text_and_sessions_grow_at_the_end(self) -> None:
        prefixes = (("ab", "cd"), ("ab", "ef"), ("ab", "cd"))
        calls = [
            DayCall(float(number), 0, recorded(float(number), prefix=prefix, body_bytes=400 + 100 * number, tokens=1))
            for number, prefix in enumerate(prefixes)
        ]
        _, seen = self.play(calls)
        contents = [[part["content"] for part in msgspec.json.decode(body)["messages"]] for _, body in seen["r0"]]
        self.assertEqual([headers["Prefix"] for headers, _ in seen["r0"]], ["ab/cd", "ab/ef", "ab/cd"])
        self.assertEqual([len(body) for _, body in seen["r0"]], [400, 500, 600])
        self.assertEqual(contents[0][0], contents[1][0])
        self.assertTrue(contents[2][1].startswith(contents[0][1]))

    def test_calls_are_counted_by_the_outcome_that_callers_saw(self) -> None:
        paths = ("whole", "whole", "refuse", "broken", "unended", "slow")
        calls = [
            DayCall(0.1 * number, 0, recorded(0.1 * number, path=f"/v1/{path}", prefix=("s",), how="bid", tokens=3))
            for number, path in enumerate(paths)
        ]
        report, _ = self.play(calls, first_byte_timeout=2.0)
        service = report.services["chat"]
        self.assertEqual(service.outcomes, {"whole": 2, "refused share-exceeded": 1, "cut": 2, "silent": 1})
        self.assertEqual((service.hit_rate(), service.recorded_hit_rate()), (1.0, 0.0))
        self.assertEqual((service.prompt_tokens, service.cached_tokens), (400, 240))
        gap = service.between_chunks.percentile(50)
        assert gap is not None
        self.assertAlmostEqual(gap, 50.0, delta=5.0)

    def test_calls_in_flight_are_bounded_and_waiting_counts_as_late(self) -> None:
        calls = [DayCall(0.0, 0, recorded(0.0, tokens=1)) for _ in range(9)]
        report, _ = self.play(calls, in_flight=3)
        self.assertEqual(report.calls, 9)
        late = report.late.percentile(100)
        assert late is not None
        self.assertGreater(late, 250)


class ReportTest(unittest.TestCase):
    """Guards against figures that change when a report is stored, printed or compared."""

    def report(self, name: str, milliseconds: float) -> ReplayReport:
        report = ReplayReport(name=name, speed=1.0, calls=2)
        service = report.service("chat")
        service.calls, service.complete, service.outcomes = 2, 1, {"whole": 1, "refused all-full": 1}
        service.placement_methods = {"award": 3, "bid": 1}
        service.first_chunk.add(milliseconds / 1000)
        return report

    def test_reports_are_read_back_printed_and_compared(self) -> None:
        first, second = self.report("before", 100.0), self.report("after", 150.0)
        self.assertEqual(read_report(write_report(first)), first)
        self.assertIn("refused all-full", report_table(first))
        shown = comparison_table(first, second)
        self.assertIn("+50", shown)
        self.assertRegex(shown, r"chat hit rate % +75 +75 +\+0.0%")
        self.assertNotIn("Not alike", shown)
