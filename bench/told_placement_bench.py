"""Compares balancing policies where callers declare the parts of their prompts (docs/DESIGN.md section 11.10).

    python -m bench.told_placement_bench --table normal --seeds 3

Routers run the real placement code on virtual time; engines are those of bench/engine_model.py. There are two kinds of
calls: summaries with long shared prefixes and short answers, and chat with short prompts and long streams.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import statistics
import time
from collections.abc import Callable, Mapping, Sequence
from functools import partial
from pathlib import Path
from random import Random
from typing import Any, cast

import click
import msgspec
from returns.result import Success

from wingwood.bundle.model import Service
from wingwood.identifiers import (
    Instant,
    RequestId,
    Seconds,
    ServiceName,
    TenantName,
)
from wingwood.placement.protocols import Choice, Placement, PromptPart, Turn
from wingwood.placement.queue_owners import RouterQueueOwners
from wingwood.placement.reservation_placement import ReservationPlacement
from wingwood.placement.session_map import DistributedMap, LocalMap
from wingwood.placement.settings import PlacementSettings
from wingwood.registry.protocols import Worker
from wingwood.transport.frames import Identity

from .engine_model import Engine, EngineWorker, Stream
from .placement_parts import (
    POOL,
    ZONES,
    BenchMembership,
    BenchMessenger,
    BenchNetwork,
    BenchRegistry,
    NoSessionMap,
    Table,
    VirtualRun,
    plain_policy,
    router_identities,
)

SUMMARY = Service(
    name=ServiceName("summary"),
    pool=POOL,
    latency_objective=Seconds(0.2),
    max_chunk_gap=Seconds(0.2),
    first_byte_timeout=Seconds(2.0),
    urgency=6,
)
CHAT = Service(
    name=ServiceName("chat"),
    pool=POOL,
    latency_objective=Seconds(0.15),
    max_chunk_gap=Seconds(0.2),
    first_byte_timeout=Seconds(2.0),
    urgency=4,
)
CALLER_ROUND_TRIP_SECONDS = 0.01
"""Time between caller and router in both directions, including the work of both."""
ZONE_DELAY_SECONDS = 0.0015
FIRST_TOKEN_TIMEOUT_SECONDS = 0.8
"""After this time without a first token a router abandons the worker and tries another one, once."""
FREEZE_NOTICED_AFTER_SECONDS = 0.6
"""Time after which the registry has removed a frozen worker."""


SMALL_CACHE = Engine(tokens_per_event=32)
LARGE_CACHE = Engine(
    slots=16, cache_tokens=900_000, step_seconds=0.0006, prefill_seconds_per_token=1 / 350_000, tokens_per_event=48
)
MEMORY_BOUND = Engine(
    cache_tokens=305_000,
    step_seconds=0.0006,
    step_seconds_per_stream=0.0000017,
    prefill_seconds_per_token=1 / 290_000,
    chunk_tokens=1024,
    tokens_per_event=50,
)
"""Engines whose caches are too small for all subjects of a pool: 12 of them store 3.7 of 6.5 million part tokens."""
SKEW = 0.25
"""The frequency of the n-th most frequent subject or session is proportional to n to the power of ``-SKEW``."""


class Shape(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of one run; times are in seconds.

    The trouble lasts from ``trouble_starts_at`` to the end, and only this time is measured.
    """

    policy: str = "award"
    seconds: float = 40.0
    trouble_starts_at: float = 15.0
    routers: int = 11
    workers: int = 9
    engine: Engine = SMALL_CACHE
    summaries_per_second: float = 120.0
    chats_per_second: float = 9.0
    subjects: int = 2000
    burst_factor: float = 1.0
    """Factor on the rate of summaries during the trouble."""
    hot_share: float = 0.0
    """Share of the summaries that have the same subject during the trouble."""
    frozen_workers: int = 0
    """Number of workers that are frozen at once during the trouble, for 5 s at a time with pauses of 3 s."""
    slow_workers: int = 0
    """Number of workers that run 3 times slower during the trouble."""
    settings: PlacementSettings = PlacementSettings()


class ServedCall(msgspec.Struct, frozen=True):
    service: str
    first: float
    """Seconds to the first token; infinite when the call was refused or lost."""
    longest_pause: float
    predicted: float


class Oracle:
    """Sees every engine's queue and cache at the moment of the choice: a bound for policies with perfect knowledge."""

    def __init__(self, workers: Sequence[EngineWorker]) -> None:
        self._workers = workers

    async def choose(self, turn: Turn, excluded: Sequence[Any]) -> Any:
        def cost(worker: EngineWorker) -> int:
            return worker.tokens_ahead() + turn.prompt_tokens - worker.cached(turn.parts)

        open_workers = [w for w in self._workers if w.up and w.instance not in excluded]
        best = min(open_workers, key=cost)
        first_token = cost(best) * best.engine.prefill_seconds_per_token + 0.03
        return Success(Choice(worker=best.announcement(POOL), method="policy", first_token=Seconds(first_token)))

    def first_token_received(self, turn: Turn, choice: Choice, first_token_after: Seconds) -> None:
        pass

    def finished(self, turn: Turn, choice: Choice, outcome: Any, generated: int, first: Seconds | None) -> None:
        pass


class Prompts:
    """Draws prompts with skewed subject frequencies and long-tailed sizes."""

    def __init__(self, shape: Shape, random: Random) -> None:
        self._random = random
        self._kinds = [PromptPart(f"k{n}", self._size(2500, 0.5)) for n in range(5)]
        self._chat_kinds = [PromptPart(f"c{n}", self._size(50, 0.5)) for n in range(50)]
        self._subjects = self._chains(shape.subjects, self._kinds, "s", 4000, 0.75)
        self._sessions = self._chains(150, self._chat_kinds, "t", 30, 0.75)
        self._subject_weights = _skewed(len(self._subjects))
        self._session_weights = _skewed(len(self._sessions))

    def _size(self, mean: float, spread: float) -> int:
        return max(1, round(mean * self._random.lognormvariate(-spread * spread / 2, spread)))

    def _chains(
        self, count: int, kinds: Sequence[PromptPart], name: str, mean: float, spread: float
    ) -> list[tuple[PromptPart, ...]]:
        return [
            (self._random.choice(kinds), PromptPart(f"{name}{number}", self._size(mean, spread)))
            for number in range(count)
        ]

    def summary(self, hot_share: float, event: int) -> tuple[tuple[PromptPart, ...], int, int]:
        """Returns the parts, the tokens of the full prompt, and the tokens to generate."""
        if self._random.random() < hot_share:
            parts = self._subjects[-1]
        else:
            parts = self._random.choices(self._subjects, cum_weights=self._subject_weights)[0]
        own = min(40_000, self._size(3000, 1.0))
        return parts, own + sum(part.tokens for part in parts), event * self._random.choice((1, 1, 1, 2, 2, 4))

    def chat(self, event: int) -> tuple[tuple[PromptPart, ...], int, int]:
        parts = self._random.choices(self._sessions, cum_weights=self._session_weights)[0]
        own = min(1000, self._size(150, 0.75))
        return parts, own + sum(part.tokens for part in parts), event * min(200, self._size(90, 0.75))


def _skewed(count: int) -> list[float]:
    total = 0.0
    return [total := total + (rank + 1) ** -SKEW for rank in range(count)]


class Run(VirtualRun):
    def __init__(self, shape: Shape, seed: int) -> None:
        super().__init__(seed)
        self.shape = shape
        self.workers = [EngineWorker(n, shape.engine, ZONES[n % len(ZONES)]) for n in range(shape.workers)]
        self.prompts = Prompts(shape, Random(seed + 7))
        self.network = BenchNetwork(self.loop, ZONE_DELAY_SECONDS)
        self.registries: list[BenchRegistry] = []
        self.served: list[ServedCall] = []
        self.prefilled_before = (0, 0)
        self.calls = 0
        self.identities = router_identities(shape.routers)
        self.membership = BenchMembership(self.identities)
        self.placements = [self._placement(identity, seed) for identity in self.identities]
        self.router_weights = [1.0 + self.random.random() for _ in self.identities]

    def _announced(self) -> tuple[Worker, ...]:
        return tuple(worker.announcement(POOL) for worker in self.workers if worker.up)

    def _placement(self, identity: Identity, seed: int) -> Placement:
        context = self.context(Random(f"{seed} {identity.name}"))
        registry = BenchRegistry(self._announced, self.registries)
        if self.shape.policy == "oracle":
            return Oracle(self.workers)
        plain = plain_policy(self.shape.policy, context, registry)
        if plain is not None:
            return plain
        membership = cast(Any, self.membership)
        messenger = cast(Any, BenchMessenger(self.network, identity))
        session_map: Any
        match self.shape.policy:
            case "award-local":
                session_map = LocalMap()
            case "award-no-map":
                session_map = NoSessionMap()
            case _:
                session_map = DistributedMap(context, messenger, membership)
        without_owners = self.shape.policy == "award-alone"
        placement = ReservationPlacement(
            context,
            membership,
            cast(Any, registry),
            registry,
            session_map,
            self.shape.settings,
            None if self.shape.policy == "award-guessed" else identity.zone,
            None if without_owners else RouterQueueOwners(context, messenger, membership),
        )
        if not isinstance(session_map, NoSessionMap):
            session_map.on_entry_stored = placement.entry_stored
        return placement

    def execute(self) -> dict[str, float]:
        shape = self.shape
        self.loop.create_task(self._arrivals(SUMMARY))
        self.loop.create_task(self._arrivals(CHAT))
        self.loop.create_task(self._refresh())
        self.loop.call_later(shape.trouble_starts_at, self._start_trouble)
        self.run_for(shape.seconds)
        return self._report()

    # --- troubles -----------------------------------------------------------------------------

    def _start_trouble(self) -> None:
        self.prefilled_before = self._prefilled()
        for worker in self.workers[: self.shape.slow_workers]:
            worker.slow_factor = 3.0
        if self.shape.frozen_workers:
            self.loop.create_task(self._freeze_workers())

    async def _freeze_workers(self) -> None:
        number = 0
        while True:
            affected = [self.workers[(number + n) % len(self.workers)] for n in range(self.shape.frozen_workers)]
            number += self.shape.frozen_workers
            for worker in affected:
                worker.up = False
            self.loop.call_later(FREEZE_NOTICED_AFTER_SECONDS, self._refresh_all_loads)
            await asyncio.sleep(5.0)
            for worker in affected:
                worker.resume()
            self._refresh_all_loads()
            await asyncio.sleep(3.0)

    def _refresh_all_loads(self) -> None:
        for registry in self.registries:
            registry.refresh_loads()

    async def _refresh(self) -> None:
        """Refreshes each router's counts of the others every third of a second and the loads every second.

        Routers are refreshed at different times. With frozen workers, loads are refreshed only when these change.
        """
        step = 0
        while True:
            await asyncio.sleep(0.03)
            step += 1
            for number, registry in enumerate(self.registries):
                if step % 11 == number % 11:
                    registry.refresh_running()
                if step % 33 == number % 33 and not self.shape.frozen_workers:
                    registry.refresh_loads()

    # --- calls --------------------------------------------------------------------------------

    async def _arrivals(self, service: Service) -> None:
        while True:
            rate = self.shape.chats_per_second
            in_trouble = self.loop.time() >= self.shape.trouble_starts_at
            if service is SUMMARY:
                rate = self.shape.summaries_per_second * (self.shape.burst_factor if in_trouble else 1.0)
            await asyncio.sleep(self.random.expovariate(rate))
            router = self.random.choices(range(self.shape.routers), self.router_weights)[0]
            self.loop.create_task(self._call(service, router, in_trouble))

    async def _call(self, service: Service, router: int, counted: bool) -> None:
        self.calls += 1
        event = self.shape.engine.tokens_per_event
        hot_share = self.shape.hot_share if counted else 0.0
        parts, prompt, generate = (
            self.prompts.summary(hot_share, event) if service is SUMMARY else self.prompts.chat(event)
        )
        started_at = self.loop.time()
        turn = Turn(
            request=RequestId(f"q{self.calls}"),
            service=service,
            tenant=TenantName("t"),
            weight=1.0,
            prefix=tuple(part.part for part in parts),
            prompt_tokens=prompt,
            parts=() if self.shape.policy == "award-guessed" else parts,
            generate_tokens=generate,
            urgency=service.urgency,
            deadline=Instant(started_at + (2.0 if service is SUMMARY else 15.0)),
        )
        served = ServedCall(service.name, float("inf"), 0.0, 0.0)
        excluded: list[Any] = []
        for _ in range(2):
            stream, predicted, choice = await self._try(turn, router, parts, excluded)
            if stream is not None and stream.events:
                gaps = [after - before for before, after in itertools.pairwise(stream.events)]
                first = stream.events[0] - started_at + CALLER_ROUND_TRIP_SECONDS
                served = ServedCall(service.name, first, max(gaps, default=0.0), predicted)
                break
            if choice is None:
                break
            excluded.append(choice.worker.instance)
        if counted:
            self.served.append(served)

    async def _try(
        self, turn: Turn, router: int, parts: tuple[PromptPart, ...], excluded: Sequence[Any]
    ) -> tuple[Stream | None, float, Any]:
        placement = self.placements[router]
        chosen = await placement.choose(turn, excluded)
        if not isinstance(chosen, Success):
            return None, 0.0, None
        choice = chosen.unwrap()
        worker = next(worker for worker in self.workers if worker.instance == choice.worker.instance)
        sent = self.loop.time()
        delay = ZONE_DELAY_SECONDS if worker.zone != self.identities[router].zone else 0.0002
        await asyncio.sleep(delay)
        stream = worker.submit(parts, turn.prompt_tokens, turn.generate_tokens)
        await asyncio.wait([stream.first], timeout=FIRST_TOKEN_TIMEOUT_SECONDS)
        if not stream.first.done():
            stream.aborted = True
            placement.finished(turn, choice, "broken", 0, None)
            return stream, 0.0, choice
        await asyncio.sleep(delay)
        after = Seconds(self.loop.time() - sent)
        placement.first_token_received(turn, choice, after)
        await stream.end
        placement.finished(turn, choice, "whole", turn.generate_tokens, after)
        return stream, choice.first_token, choice

    # --- the report ---------------------------------------------------------------------------

    def _prefilled(self) -> tuple[int, int]:
        return sum(worker.prefilled_tokens for worker in self.workers), sum(
            w.prefilled_part_tokens for w in self.workers
        )

    def _report(self) -> dict[str, float]:
        report: dict[str, float] = {}
        for service in (SUMMARY, CHAT):
            served = [each for each in self.served if each.service == service.name]
            firsts = sorted(each.first for each in served)
            objective = service.latency_objective or 0.0
            report[f"{service.name}_in_time"] = sum(first <= objective for first in firsts) / max(1, len(firsts))
            for share in (50, 95):
                report[f"{service.name}_p{share}"] = min(9.9, firsts[int(share / 100 * len(firsts))])
            pause = service.max_chunk_gap or 0.0
            paused = sum(each.longest_pause > pause for each in served)
            report[f"{service.name}_paused"] = paused / max(1, len(served))
            report[f"{service.name}_lost"] = sum(each.first > 9.0 for each in served) / max(1, len(served))
        errors = [
            abs(each.predicted - each.first + CALLER_ROUND_TRIP_SECONDS) for each in self.served if each.first < 9.0
        ]
        report["off"] = statistics.fmean(errors)
        read, parts = self._prefilled()
        seconds = self.shape.seconds - self.shape.trouble_starts_at
        report["read_per_s"] = (read - self.prefilled_before[0]) / seconds
        report["parts_read_per_s"] = (parts - self.prefilled_before[1]) / seconds
        report["use"] = report["read_per_s"] * self.shape.engine.prefill_seconds_per_token / self.shape.workers
        report["bytes_per_call"] = self.network.bytes / max(1, self.calls)
        report |= self.reservation_figures(self.calls)
        return report


def figures_of(shape: Shape, seed: int) -> dict[str, float]:
    return Run(shape, seed).execute()


POLICIES = (
    "award-guessed",
    "least-loaded",
    "sticky",
    "award-no-map",
    "award-local",
    "award-alone",
    "award",
    "oracle",
)
"""``award`` is what routers do; ``award-alone`` has no queue owners, ``award-guessed`` gets no prompt parts."""


def tables() -> dict[str, dict[str, Shape]]:
    base = Shape()
    troubles = {
        "normal": base,
        "burst": msgspec.structs.replace(base, burst_factor=1.5),
        "burst-2": msgspec.structs.replace(base, burst_factor=2.0),
        "hot": msgspec.structs.replace(base, hot_share=0.25),
        "dark": msgspec.structs.replace(base, frozen_workers=2),
        "slow": msgspec.structs.replace(base, slow_workers=2),
    }
    for name, shape in list(troubles.items()):
        troubles[f"{name}-large"] = msgspec.structs.replace(shape, engine=LARGE_CACHE, chats_per_second=5.0)
    bound = Shape(workers=12, engine=MEMORY_BOUND, summaries_per_second=144.0, chats_per_second=15.0, subjects=1636)
    troubles["memory"] = bound
    troubles["memory-burst"] = msgspec.structs.replace(bound, burst_factor=1.5)
    troubles["memory-burst-2"] = msgspec.structs.replace(bound, burst_factor=2.0)
    troubles["memory-dark"] = msgspec.structs.replace(bound, frozen_workers=2)
    return {
        name: {policy: msgspec.structs.replace(shape, policy=policy) for policy in POLICIES}
        for name, shape in troubles.items()
    }


ABLATIONS: dict[str, tuple[str, dict[str, Any]]] = {
    "as it is": ("award", {}),
    "no queue keepers": ("award-alone", {}),
    "no session map: each router's own records": ("award-local", {}),
    "no session map and no records": ("award-no-map", {}),
    "sizes not told": ("award-guessed", {}),
    "long streams not kept apart": ("award", {"capacity.max_dedicated_share": 0.0}),
    "no cost of reading shared parts again": ("award", {"costs.repeated_prefill_weight": 0.0}),
    "no cost of risked objectives and pauses": ("award", {"risk.weight": 0.0}),
    "no harm to streams beside": ("award", {"costs.stream_delay_weight": 0.0}),
    "no trust in a prefix's first worker": ("award", {"prefixes.first_worker_cache_probability": 0.0}),
    "a prefix never spreads": ("award", {"prefixes.prefill_share": 1e6}),
    "no margin for the holder": ("award", {"candidates.min_move_gain_with_sizes": 0.0}),
    "one worker drawn beside": ("award", {"candidates.extra_drawn": 1}),
    "other zones cost nothing": ("award", {"costs.other_zone_cost": 0.0}),
}
"""For each mechanism the policy and the settings that switch off this mechanism alone."""


def changed_settings(settings: PlacementSettings, changes: Mapping[str, Any]) -> PlacementSettings:
    """Returns the settings with some values replaced, by ``GROUP.NAME``."""
    for name, value in changes.items():
        group, field = name.split(".")
        changed_group = msgspec.structs.replace(getattr(settings, group), **{field: value})
        settings = msgspec.structs.replace(settings, **{group: changed_group})
    return settings


def ablation_rows(shape: Shape) -> dict[str, Callable[[int], dict[str, float]]]:
    """Returns one row for each mechanism that is switched off, under the trouble of the shape."""
    return {
        name: partial(
            figures_of,
            msgspec.structs.replace(shape, policy=policy, settings=changed_settings(shape.settings, changes)),
        )
        for name, (policy, changes) in ABLATIONS.items()
    }


def processor_time(workers: int, turns: int = 3000) -> list[float]:
    """Returns the sorted processor seconds per turn of one router with a session map of its own.

    A turn's time is that of choose, first_token_received and finished together.
    """
    run = Run(Shape(policy="award-local", workers=workers), 1)
    placement = run.placements[0]
    times = []

    async def all_turns() -> None:
        for number in range(turns):
            parts, prompt, generate = run.prompts.summary(0.0, run.shape.engine.tokens_per_event)
            turn = Turn(
                request=RequestId(f"q{number}"),
                service=SUMMARY,
                tenant=TenantName("t"),
                weight=1.0,
                prefix=tuple(part.part for part in parts),
                prompt_tokens=prompt,
                parts=parts,
                generate_tokens=generate,
                deadline=Instant(run.loop.time() + 2.0),
            )
            await asyncio.sleep(0.08)
            started_at = time.process_time()
            choice = (await placement.choose(turn, ())).unwrap()
            placement.first_token_received(turn, choice, Seconds(0.05))
            placement.finished(turn, choice, "whole", generate, Seconds(0.05))
            times.append(time.process_time() - started_at)

    run.loop.run_until_complete(all_turns())
    run.close()
    return sorted(times)


COLUMNS = (
    "summary_in_time",
    "summary_p95",
    "summary_lost",
    "chat_in_time",
    "chat_p95",
    "chat_paused",
    "parts_read_per_s",
    "use",
    "off",
    "award_share",
    "moves",
    "bytes_per_call",
)


@click.command()
@click.option("--table", "names", multiple=True, help="Which tables (also: processor); else all.")
@click.option("--policy", "policies", multiple=True, help="Which policies; else all.")
@click.option("--seeds", default=3, show_default=True)
@click.option("--set", "changes", multiple=True, help="GROUP.NAME=VALUE of PlacementSettings.")
@click.option("--ablation", is_flag=True, help="Each mechanism switched off alone, instead of the policies.")
@click.option("--json", "json_file", type=click.Path(path_type=Path), help="Writes all figures there.")
def main(
    names: tuple[str, ...],
    policies: tuple[str, ...],
    seeds: int,
    changes: tuple[str, ...],
    ablation: bool,
    json_file: Path | None,
) -> None:
    """Prints a table for each trouble with the means over the seeds."""
    if "processor" in names:
        for workers in (9, 30):
            times = processor_time(workers)
            middle, high = times[len(times) // 2], times[int(0.95 * len(times))]
            click.echo(f"{workers} workers: p50 {middle * 1e3:.3f} ms, p95 {high * 1e3:.3f} ms")
    found = tables()
    changed: dict[str, Any] = {name: json.loads(value) for name, value in (change.split("=") for change in changes)}
    settings = changed_settings(PlacementSettings(), changed)
    table = Table(COLUMNS, seeds)
    for name in [name for name in names if name != "processor"] or ([] if names else list(found)):
        if ablation:
            bound = msgspec.structs.replace(found[name]["award"], settings=settings)
            table.print(name, f"{name}: {seeds} seeds, each switched off alone", ablation_rows(bound))
            continue
        rows = {
            policy: partial(figures_of, msgspec.structs.replace(shape, settings=settings))
            for policy, shape in found[name].items()
            if not policies or policy in policies
        }
        table.print(name, f"{name}: {seeds} seeds", rows)
    if json_file is not None:
        table.write(json_file)


if __name__ == "__main__":
    main()
