"""The load tool on simulated time, with emulated workers instead of routers (docs/DESIGN.md section 17).

The tests guard against wrong measurements: attempts that are not counted, traffic that depends on more than shape and
seed, and violations that are lost because the call ended well.
"""

from __future__ import annotations

import json
import os
import tempfile
import time
import unittest
from pathlib import Path

import msgspec
from returns.result import Success

from emulator.faults import Fault
from emulator.worker import EmulatedWorker, WorkerOptions
from fleet.caller import Caller, CallOutcome, CallPlan
from fleet.shape import Shape, read_shape
from simulation import World, address_of
from wingwood.context.protocols import Context

from ..measure import DurationHistogram, Measurements, outcome_label
from ..processes import ProcessMonitor, usage_by_kind
from ..report import build_result, comparison_table, draw_charts, router_overhead, summary_table
from ..target import RouterAddresses, Target, WorkerAddress
from ..traffic import Callers, LoadOptions

PORT = 80
ROOT = Path(__file__).resolve().parents[3]


def demo_shape() -> Shape:
    shape = read_shape(ROOT / "fleet" / "demo.toml").unwrap()
    short = tuple(msgspec.structs.replace(traffic, answer_tokens=6) for traffic in shape.traffic)
    return msgspec.structs.replace(shape, traffic=short)


class SimulatedLoad:
    def __init__(self, options: LoadOptions, fault: Fault | None = None) -> None:
        shape = demo_shape()
        with World(9) as world:
            self.workers: list[EmulatedWorker] = []

            async def worker(context: Context) -> None:
                address = address_of(world.machines[f"w{len(self.workers)}"], PORT)
                started = EmulatedWorker(context, WorkerOptions(name="w", address=address))
                assert isinstance(started.start(), Success)
                self.workers.append(started)
                if fault is not None and len(self.workers) == 1:
                    started.active_faults.activate(fault)

            for number in range(2):
                world.start(f"w{number}", worker)
                world.run(0.1)
            addresses = [str(address_of(world.machines[f"w{number}"], PORT)) for number in range(2)]
            target = Target(
                shape=shape,
                routers=tuple(RouterAddresses(f"r{number}", address, "") for number, address in enumerate(addresses)),
                workers={f"w{n}": WorkerAddress(address, "chat-model") for n, address in enumerate(addresses)}
                | {f"p{n}": WorkerAddress(address, "product-cards") for n, address in enumerate(addresses)},
                keys={tenant.name: "key" for tenant in shape.tenants},
            )
            done: list[bool] = []

            async def load(context: Context) -> None:
                caller = Caller(context.http, context.clock)
                self.callers = Callers(target, options, caller, context.clock, Measurements())
                await self.callers.run()
                done.append(True)

            world.start("load", load)
            assert world.wait_for(lambda: bool(done), 300)
            assert not world.broken_invariants, world.broken_invariants
            self.result = build_result(self.callers, options, {}, options.seconds)


class OpenLoop(unittest.TestCase):
    def test_arrivals_follow_the_shape_and_the_seed(self) -> None:
        first = SimulatedLoad(LoadOptions(seconds=20, direct_share=0.0))
        again = SimulatedLoad(LoadOptions(seconds=20, direct_share=0.0))
        other = SimulatedLoad(LoadOptions(seconds=20, direct_share=0.0, seed=2))
        self.assertEqual(first.result, again.result)
        self.assertNotEqual(first.result["outcomes"], other.result["outcomes"])
        chats, cards = 1.0, 5.0
        self.assertGreater(first.result["calls"], 0.7 * 20 * (chats + cards))
        self.assertEqual(list(first.result["outcomes"]), ["whole"])
        self.assertEqual((first.result["problems"], first.result["direct_problems"]), ({}, {}))

    def test_later_turns_hit_the_cache_more_often_when_the_session_stays_at_one_router(self) -> None:
        stays = SimulatedLoad(LoadOptions(seconds=20, spread="per-session")).result["hit_rate_later_turns"]
        wanders = SimulatedLoad(LoadOptions(seconds=20, spread="every-turn")).result["hit_rate_later_turns"]
        self.assertGreater(stays, 0.8)
        self.assertLess(wanders, stays)

    def test_callers_retry_once_at_another_router_and_every_attempt_is_counted(self) -> None:
        load = SimulatedLoad(LoadOptions(seconds=8, direct_share=0.0), Fault("close-without-answer", calls=10))
        self.assertEqual(load.result["faults"], {"broken": 10})
        self.assertEqual(load.result["tries"], load.result["calls"] + 10)
        self.assertEqual(list(load.result["outcomes"]), ["whole"])
        retried = [record for record in load.callers.records if len(record.attempts) == 2]
        self.assertTrue(all(record.attempts[0][0] == 0 and record.attempts[1][3] for record in retried))

    def test_a_flood_is_counted_by_tenant_and_not_timed(self) -> None:
        flood = LoadOptions(seconds=8, direct_share=0.0, flood_tenant="buyers", flood_rate=20.0, flood_on="one")
        quiet = SimulatedLoad(LoadOptions(seconds=8, direct_share=0.0)).result
        flooded = SimulatedLoad(flood).result
        more = flooded["tenants"]["buyers"]["calls"] - quiet["tenants"]["buyers"]["calls"]
        self.assertGreater(more, 8 * 20 * 0.7)
        self.assertEqual(flooded["tenants"]["web-shop"]["calls"], quiet["tenants"]["web-shop"]["calls"])
        counts = [each["timings_milliseconds"]["first_token"]["count"] for each in (quiet, flooded)]
        self.assertEqual(counts[0], counts[1])

    def test_callers_of_unhinted_turns_disconnect_before_the_end_marker(self) -> None:
        load = SimulatedLoad(LoadOptions(seconds=8, direct_share=0.0, unhinted=1.0))
        chats = sum(run.path == "/v1/chat" for worker in load.workers for run in worker.runs)
        self.assertEqual(load.result["outcomes"]["hung-up"], chats)


class Reports(unittest.TestCase):
    def test_a_result_is_printed_compared_and_drawn(self) -> None:
        result = SimulatedLoad(LoadOptions(seconds=6, direct_share=0.5)).result
        again = json.loads(json.dumps(result))
        self.assertIn("first_token", summary_table(again))
        overhead = router_overhead(again)["first_token_p50"]
        assert overhead is not None
        self.assertLess(abs(overhead), 5.0)
        self.assertIn("+0.0%", comparison_table(result, again))
        with tempfile.TemporaryDirectory() as folder:
            draw_charts(again, Path(folder) / "picture.png")
            self.assertTrue((Path(folder) / "picture.png").read_bytes().startswith(b"\x89PNG"))

    def test_processor_time_and_memory_are_those_of_the_process(self) -> None:
        monitor = ProcessMonitor({"own-1": os.getpid(), "own-2": os.getpid(), "none-1": 2**22 + 1})
        spent = time.process_time()
        while time.process_time() - spent < 0.05:
            pass
        usage = monitor.report(1.0)
        self.assertEqual(sorted(usage), ["own-1", "own-2"])
        self.assertGreaterEqual(usage["own-1"]["processor_seconds"], 0.03)
        self.assertGreater(usage["own-1"]["resident_megabytes"], 5)
        self.assertEqual(usage_by_kind(usage)["own"]["processes"], 2)

    def test_histograms_are_unchanged_by_encoding_and_decoding(self) -> None:
        timing = DurationHistogram()
        timing.add_all(number / 1000 for number in range(1, 1001))
        self.assertEqual(DurationHistogram.decoded(timing.encoded()).summary(), timing.summary())
        self.assertAlmostEqual(timing.percentile(95.0), 950.0, delta=1.0)

    def test_a_problem_is_recorded_even_if_the_call_ended_well(self) -> None:
        measured = Measurements()
        plan = CallPlan(path="/", key="k", call_id="m", messages=())
        outcome = CallOutcome(call_id="m", status=200, looks_complete=True, problem="piece of another call", events=1)
        measured.record_attempt(plan, outcome, "r", 0)
        self.assertEqual(outcome_label(outcome), "whole")
        self.assertEqual(measured.problems, {"piece of another call": 1})
        self.assertEqual(msgspec.to_builtins(measured.refusals), {})
