"""Compares balancing policies and forms of the session map on virtual time (docs/DESIGN.md section 11.7).

    python -m bench.placement_bench --table policies --seeds 3 --seconds 300

Routers run the real placement code; workers are modelled with batch slots, one prefill at a time that costs uncached
tokens, a decode that slows with the batch, and a KV cache of limited size with least-recently-used eviction. There are
no sockets; messages are calls with a delay. Shared prefixes and sessions are drawn by the seed.
"""

from __future__ import annotations

import asyncio
import gc
import statistics
import time
import tracemalloc
from collections.abc import Sequence
from functools import partial
from pathlib import Path
from random import Random
from typing import Any, cast

import click
import msgspec
from returns.result import Result, Success

from emulator.prefix_cache import PrefixCache, PromptPart
from simulation.virtual_time import VirtualTimeLoop
from simulation.world import World
from wingwood.bundle.model import Service
from wingwood.identifiers import (
    Address,
    Instant,
    RequestId,
    Seconds,
    ServiceName,
    SessionId,
    TenantName,
    WorkerInstance,
    Zone,
)
from wingwood.limits.admission import DeadlineAdmission
from wingwood.placement.protocols import Choice, Placement, Turn
from wingwood.placement.reservation_placement import ReservationPlacement
from wingwood.placement.session_map import DistributedMap, Entry, LocalMap, session_key
from wingwood.placement.settings import (
    CandidateSettings,
    CostSettings,
    PlacementSettings,
    PrefixSettings,
    ReservationSettings,
)
from wingwood.registry.protocols import Worker, WorkerLoad
from wingwood.registry.tests.fleet import POOL as FEED_POOL
from wingwood.registry.tests.fleet import Fleet
from wingwood.transport.frames import Identity

from .placement_parts import (
    POOL,
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

SERVICE = Service(name=ServiceName("text"), pool=POOL)


class Shape(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of one run; times are in seconds, sizes in tokens."""

    policy: str = "award"
    session_map: str = "keeper"
    seconds: float = 300.0
    warm_up: float = 60.0
    routers: int = 11
    workers: int = 9
    slots: int = 8
    cache_tokens: int = 120_000
    turns_per_second: float = 16.0
    unhinted_share: float = 0.0
    """Share of turns whose end the router does not use as a hint (nor as an update of the session)."""
    lost_routers: int = 0
    """Number of routers that fail half-way through the run."""
    hot_share: float = 0.2
    """Share of the summaries that use the same template."""
    summaries: float = 0.7
    """Share of sessions with a long shared prefix."""
    session_length: float = 1.0
    """Factor on the number of turns of a session."""
    late_workers: int = 0
    """Number of workers that join half-way through the run."""
    admission: bool = True
    """Whether turns are refused, as by routers, whose predicted first token is later than callers wait."""
    wire_delay: float = 0.001
    settings: PlacementSettings = PlacementSettings()


class ModelWorker:
    PREFILL_PER_TOKEN = 0.00015
    DECODE_PER_TOKEN = 0.02
    DECODE_PER_OTHER = 0.001

    def __init__(self, number: int, shape: Shape) -> None:
        self.instance = WorkerInstance(f"w{number}")
        self.shape = shape
        self.cache = PrefixCache(shape.cache_tokens)
        self.slots = asyncio.Semaphore(shape.slots)
        self.prefill = asyncio.Lock()
        self.turn_count = 0
        self.running = 0
        self.up = number >= shape.late_workers

    def announcement(self) -> Worker:
        return Worker(
            instance=self.instance,
            address=Address("127.0.0.1", 1),
            pool=POOL,
            zone=Zone("a"),
            slots=self.shape.slots,
            cache_tokens=self.shape.cache_tokens,
            load=WorkerLoad(self.running, self.turn_count - self.running),
        )

    async def run(self, parts: Sequence[PromptPart], generated: int) -> tuple[int, float]:
        """Runs a turn and returns its cached tokens and the seconds to its first token."""
        clock = asyncio.get_running_loop()
        started_at = clock.time()
        self.turn_count += 1
        async with self.slots:
            self.running += 1
            async with self.prefill:
                cached = self.cache.cached_tokens(parts)
                await asyncio.sleep((sum(part.tokens for part in parts) - cached) * self.PREFILL_PER_TOKEN)
                self.cache.store(parts)
            await self._decode(1)
            first = clock.time() - started_at
            remaining = generated - 1
            while remaining > 0:
                await self._decode(step := min(8, remaining))
                remaining -= step
            self.cache.store([*parts[:-1], PromptPart(parts[-1].name, parts[-1].tokens + generated)])
            self.running -= 1
        self.turn_count -= 1
        return cached, first

    async def _decode(self, tokens: int) -> None:
        await asyncio.sleep(tokens * (self.DECODE_PER_TOKEN + self.DECODE_PER_OTHER * (self.running - 1)))


class HintDroppingPlacement(ReservationPlacement):
    """Ignores a share of the hints that the ends of turns give."""

    dropped_share = 0.0

    def hint(self, turn: Turn, cache_worker: Worker, tokens: int) -> None:
        if self._context.random.random() >= self.dropped_share:
            super().hint(turn, cache_worker, tokens)


class TurnFigures(msgspec.Struct, frozen=True):
    first_token: float
    prompt: int
    cached: int
    weight: float
    predicted: float
    first_turn: bool


class Run(VirtualRun):
    def __init__(self, shape: Shape, seed: int) -> None:
        super().__init__(seed)
        self.shape = shape
        self.figures: list[TurnFigures] = []
        self.refused = 0
        self.imbalance: list[float] = []
        self.requests = 0
        self.live_routers: list[int] = list(range(shape.routers))
        self.workers = [ModelWorker(number, shape) for number in range(shape.workers)]
        self.network = BenchNetwork(self.loop, shape.wire_delay)
        self.registries: list[BenchRegistry] = []
        identities = router_identities(shape.routers)
        self.membership = BenchMembership(identities)
        for number, identity in enumerate(identities):
            self.placements.append(self._placement(number, identity, seed))
        self.templates = [f"template{number}" for number in range(8)]
        self.template_tokens = [self.random.randrange(2000, 6000) for _ in self.templates]

    def _announced(self) -> tuple[Worker, ...]:
        return tuple(worker.announcement() for worker in self.workers if worker.up)

    def _placement(self, number: int, identity: Identity, seed: int) -> Placement:
        shape = self.shape
        context = self.context(Random(seed * 1000 + number))
        registry = BenchRegistry(self._announced, self.registries)
        plain = plain_policy(shape.policy, context, registry)
        if plain is not None:
            return plain
        messenger = cast(Any, BenchMessenger(self.network, identity))
        membership = cast(Any, self.membership)
        session_map: Any = {"local": LocalMap, "hash": NoSessionMap}.get(shape.session_map, lambda: None)()
        if session_map is None:
            session_map = DistributedMap(context, messenger, membership)
        placement = HintDroppingPlacement(
            context, membership, cast(Any, registry), registry, session_map, shape.settings
        )
        placement.dropped_share = shape.unhinted_share
        if not isinstance(session_map, NoSessionMap):
            session_map.on_entry_stored = placement.entry_stored
        return placement

    def execute(self) -> dict[str, float]:
        shape = self.shape
        self.loop.create_task(self._sessions())
        self.loop.create_task(self._refresh())
        self.loop.call_later(shape.seconds / 2, self._start_late_workers)
        if shape.lost_routers:
            self.loop.call_later(shape.seconds / 2, self._lose_routers)
        self.run_for(shape.seconds)
        return self._report()

    async def _refresh(self) -> None:
        step = 0
        while True:
            await asyncio.sleep(0.1)
            step += 1
            for number, registry in enumerate(self.registries):
                if step % 10 == number % 10:
                    registry.refresh_loads()
                if step % 3 == number % 3:
                    registry.refresh_running()
            if step % 10 == 0 and self.loop.now > self.shape.warm_up:
                turn_count = [worker.turn_count for worker in self.workers if worker.up]
                self.imbalance.append(max(turn_count) / max(1.0, statistics.median(turn_count)))

    def _start_late_workers(self) -> None:
        for worker in self.workers:
            worker.up = True

    def _lose_routers(self) -> None:
        lost = self.live_routers[: self.shape.lost_routers]
        del self.live_routers[: self.shape.lost_routers]
        addresses = [self.membership.all[number].internal for number in lost]
        self.network.unreachable.update(addresses)
        for number in lost:
            self.registries[number].count = lambda pool: {}

        def remove_lost_members() -> None:
            self.membership.all = [identity for identity in self.membership.all if identity.internal not in addresses]
            for callback in list(self.membership.callbacks):
                callback()

        self.loop.call_later(2.0, remove_lost_members)

    async def _sessions(self) -> None:
        mean_turns = self.shape.session_length * (self.shape.summaries * 3 + (1 - self.shape.summaries) * 6)
        number = 0
        for _ in range(round(self.shape.turns_per_second * 12)):
            number += 1
            session = self._session(f"s{number}", Random(f"{number}/{self.random.random()}"))
            self.loop.call_later(self.random.uniform(0.0, 20.0), self.loop.create_task, session)
        while True:
            await asyncio.sleep(self.random.expovariate(self.shape.turns_per_second / mean_turns))
            number += 1
            self.loop.create_task(self._session(f"s{number}", Random(f"{number}/{self.random.random()}")))

    async def _session(self, name: str, random: Random) -> None:
        shape = self.shape
        weight = 4.0 if random.random() < 0.3 else 1.0
        if random.random() < shape.summaries:
            template = 0 if random.random() < shape.hot_share else random.randrange(len(self.templates))
            shared = [PromptPart(self.templates[template], self.template_tokens[template])]
            turns, own_tokens, asked, answer, think = (
                1 + _geometric(random, 3 * shape.session_length),
                random.randrange(600, 2600),
                60,
                150,
                8.0,
            )
        else:
            shared = [PromptPart("assistant", 300)]
            turns, own_tokens, asked, answer, think = (
                1 + _geometric(random, 6 * shape.session_length),
                80,
                80,
                110,
                11.3,
            )
        await self._turns(name, random, weight, shared, turns, own_tokens, asked, answer, think)

    async def _turns(
        self,
        name: str,
        random: Random,
        weight: float,
        shared: list[PromptPart],
        turns: int,
        own_tokens: int,
        asked: int,
        answer: int,
        think: float,
    ) -> None:
        for number in range(turns):
            generated = max(8, round(random.expovariate(1 / answer)))
            own_tokens += asked
            parts = [*shared, PromptPart(name, own_tokens)]
            placement = self.placements[random.choice(self.live_routers)]
            if not await self._turn(placement, parts, weight, generated, number == 0):
                return
            own_tokens += generated
            await asyncio.sleep(random.lognormvariate(0.0, 0.6) * think * 0.83)

    async def _turn(
        self, placement: Placement, parts: list[PromptPart], weight: float, generated: int, first_turn: bool
    ) -> bool:
        self.requests += 1
        prompt = sum(part.tokens for part in parts)
        turn = Turn(
            request=RequestId(str(self.requests)),
            service=SERVICE,
            tenant=TenantName("t"),
            weight=weight,
            prefix=tuple(part.name for part in parts),
            prompt_tokens=prompt,
        )
        started_at = self.loop.now
        chosen: Result[Choice, Any] = await placement.choose(turn, ())
        if not isinstance(chosen, Success):
            self.refused += 1
            return False
        choice = chosen.unwrap()
        if is_refused(self.shape, choice):
            self.refused += 1
            placement.finished(turn, choice, "cancelled", 0, None)
            return False
        worker = next(worker for worker in self.workers if worker.instance == choice.worker.instance)
        waited = self.loop.now - started_at
        cached, first = await worker.run(parts, generated)
        placement.finished(turn, choice, "whole", generated, Seconds(first))
        if started_at > self.shape.warm_up:
            predicted = choice.first_token
            self.figures.append(TurnFigures(first + waited, prompt, cached, weight, predicted, first_turn))
        return True

    def _report(self) -> dict[str, float]:
        figures = self.figures
        firsts = sorted(figure.first_token for figure in figures)
        later = [figure for figure in figures if not figure.first_turn]
        report = {
            "turns": float(len(figures)),
            "refused": float(self.refused),
            "hit": _hit(figures),
            "hit_later": _hit(later),
            "p50": _quantile(firsts, 0.5),
            "p95": _quantile(firsts, 0.95),
            "late": sum(first > SERVICE.first_byte_timeout for first in firsts) / max(1, len(firsts)),
            "off": statistics.fmean(abs(figure.predicted - figure.first_token) for figure in figures),
            "p95_paid": _quantile(sorted(figure.first_token for figure in figures if figure.weight > 1), 0.95),
            "p95_free": _quantile(sorted(figure.first_token for figure in figures if figure.weight == 1), 0.95),
            "hit_paid": _hit([figure for figure in figures if figure.weight > 1]),
            "hit_free": _hit([figure for figure in figures if figure.weight == 1]),
            "imbalance": statistics.fmean(self.imbalance),
            "imbalance_p95": _quantile(sorted(self.imbalance), 0.95),
            "map_bytes_per_turn": self.network.bytes / max(1, self.requests),
        }
        report |= self.reservation_figures(self.requests)
        return report


def figures_of(shape: Shape, seed: int) -> dict[str, float]:
    return Run(shape, seed).execute()


def is_refused(shape: Shape, choice: Choice) -> bool:
    return shape.admission and DeadlineAdmission().check(SERVICE, choice.first_token) is not None


def _geometric(random: Random, mean: float) -> int:
    count = 0
    while random.random() > 1 / mean:
        count += 1
    return count


def _hit(figures: Sequence[TurnFigures]) -> float:
    return sum(figure.cached for figure in figures) / max(1, sum(figure.prompt for figure in figures))


def _quantile(ordered: Sequence[float], share: float) -> float:
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


def tables(seconds: float) -> dict[str, dict[str, Shape]]:
    base = Shape(seconds=seconds)
    change = msgspec.structs.replace
    policies = {policy: change(base, policy=policy) for policy in ("round-robin", "least-loaded", "sticky", "award")}
    return {
        "policies": policies,
        "busy": {name: change(shape, turns_per_second=20.0) for name, shape in policies.items()},
        "unhinted": {f"{share:.0%}": change(base, unhinted_share=share) for share in (0.0, 0.1, 0.5, 1.0)},
        "maps": {name: change(base, session_map=name) for name in ("keeper", "local", "hash")},
        "maps-unhinted-10%": {
            name: change(base, session_map=name, unhinted_share=0.1) for name in ("keeper", "local", "hash")
        },
        "keeper-loss": {f"{lost} of 11 lost": change(base, lost_routers=lost) for lost in (0, 1, 2, 4)},
        "hot-prefix": {
            f"{policy} {share:.0%}": change(base, policy=policy, hot_share=share)
            for policy in ("sticky", "least-loaded", "award")
            for share in (0.2, 0.9)
        },
        "small-cache": {name: change(shape, cache_tokens=40_000) for name, shape in policies.items()},
        "expect": {
            f"for {window:.0f} s": change(
                base,
                settings=PlacementSettings(reservations=ReservationSettings(expected_turn_lifetime=Seconds(window))),
            )
            for window in (5.0, 10.0, 20.0, 40.0)
        },
        "ahead": {
            f"cost {cost} {name}": change(
                shape, settings=PlacementSettings(costs=CostSettings(next_turn_wait_weight=cost))
            )
            for name, shape in (
                ("today", base),
                (
                    "late workers",
                    change(base, session_length=8.0, late_workers=3, turns_per_second=13.0, seconds=240.0),
                ),
            )
            for cost in (0.0, 0.03, 0.1, 0.3)
        },
        "first": {
            f"crowd {crowd} drawn {drawn}": change(
                base,
                settings=PlacementSettings(
                    costs=CostSettings(mean_wait_weight=crowd), candidates=CandidateSettings(drawn=drawn)
                ),
            )
            for crowd in (0.1, 0.5, 2.0)
            for drawn in (2, 3, 6)
        },
        "spread": {
            f"slots {share} bound {bound}": change(
                base,
                hot_share=0.9,
                settings=PlacementSettings(prefixes=PrefixSettings(slot_share=share, load_bound=bound)),
            )
            for share in (0.25, 0.5, 1.0)
            for bound in (1.1, 1.25, 1.6)
        },
    }


def feed_figures(routers: int, workers: int, seconds: int = 10) -> dict[str, float]:
    """Measures the registry's feed on the simulated network while every worker announces a new load each second."""
    with World(3) as world:
        fleet = Fleet(world, routers)

        def announce(number: int, step: int) -> None:
            name = f"r{number % routers}"
            worker = Worker(
                instance=WorkerInstance(f"model-{number:05d}-12345678"),
                address=Address(f"10.9.{number // 250}.{number % 250 + 1}", 7000),
                pool=FEED_POOL,
                zone=Zone("abc"[number % 3]),
                slots=8,
                cache_tokens=120_000,
                load=WorkerLoad(step % 8, number % 3, 1000 * step),
            )

            async def announce_once() -> None:
                await fleet.routers[name].registry.announcements.accept_announcement(worker)

            world.spawn(world.processes[name], announce_once(), "announce")

        def run_second(step: int) -> None:
            for number in range(workers):
                announce(number, step)
            world.run(1.0)

        for step in range(4):
            run_second(step)
        bytes_before, used_before = world.network.bytes_delivered, time.process_time()
        for step in range(4, 4 + seconds):
            run_second(step)
        share = seconds * routers
        if any(len(fleet.ready_at(name)) != workers for name in fleet.routers):
            raise RuntimeError("a router does not know all workers")
        return {
            "bytes/s": (world.network.bytes_delivered - bytes_before) / share,
            "cpu ms/s": 1000 * (time.process_time() - used_before) / share,
        }


def session_memory(sessions: int) -> float:
    """Returns the bytes that a map owner stores for each session: map entry, eviction sample, expected turn."""
    loop = VirtualTimeLoop(Random(1))
    asyncio.set_event_loop(loop)
    run = Run(Shape(routers=2, workers=2, cache_tokens=10**12), 1)
    placement = cast(ReservationPlacement, run.placements[0])
    gc.collect()
    tracemalloc.start()
    for number in range(sessions):
        key = session_key(POOL, SessionId(f"session-{number}"))
        entry = Entry(
            pool=POOL, cache_worker=WorkerInstance("w0"), tokens=3000, own_tokens=1000, last_used_at=Instant(0.0)
        )
        cast(DistributedMap, placement._map)._store(key, entry)
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    run.close()
    return used / sessions


DRAIN_FAULTS = ("none", "home frozen", "home killed", "follower cut off", "zone's home cut off")


def drain_seconds(fault: str, seed: int) -> float:
    """Returns the seconds from the first announcement of a drain until no living router confirms the worker.

    Routers are checked every 10 ms. The fault strikes zone b at the moment of the drain. A refused announcement is
    repeated after 0.2 s.
    """
    with World(seed) as world:
        fleet = Fleet(world, 11)
        worker = fleet.start_worker("w0")
        receiver = next(name for name in sorted(fleet.routers) if name not in {fleet.owner(zone) for zone in "abc"})
        for _ in range(2):
            fleet.announce(worker, receiver)
            world.run(1.0 + world.random.random() * 0.3)
        fleet.announce(worker, receiver)
        owner = fleet.owner("b")
        names = sorted(fleet.routers)
        follower = next(
            name for name in names if name not in {owner, receiver} and fleet.routers[name].identity.zone == "b"
        )
        affected = follower if fault.startswith("follower") else owner
        others = [name for name in names if name != affected]
        match fault:
            case "home frozen":
                world.freeze(owner)
            case "home killed":
                world.kill(owner)
            case "follower cut off" | "zone's home cut off":
                for name in others:
                    world.cut(affected, name)
        worker.state = "draining"
        asked = [name for name in names if name != affected or "cut off" in fault]
        started_at = world.now

        async def announce(at: str) -> None:
            request = fleet.request(worker)
            while (await fleet.routers[at].registry.announcements.handle_announcement(request)).status != 200:
                await asyncio.sleep(0.2)

        world.spawn(world.processes[receiver], announce(receiver), "announce")
        last_confirmed_at: dict[str, float] = {}

        async def watch(name: str) -> None:
            registry = fleet.routers[name].registry
            while True:
                for found in registry.ready(FEED_POOL):
                    if await registry.confirm(found):
                        last_confirmed_at[name] = world.now
                await asyncio.sleep(0.01)

        for name in asked:
            world.spawn(world.processes[name], watch(name), "watch")
        world.run(3.0)
        return max(last_confirmed_at.values(), default=started_at) - started_at


def print_drains(seeds: int) -> None:
    click.echo(f"\nseconds from a drain until no living router takes the worker, {seeds} seeds")
    click.echo(f"{'fault':<24}{'p50':>8}{'max':>8}")
    for fault in DRAIN_FAULTS:
        times = sorted(drain_seconds(fault, seed) for seed in range(1, seeds + 1))
        click.echo(f"{fault:<24}{times[len(times) // 2]:>8.3f}{times[-1]:>8.3f}")


def print_costs() -> None:
    click.echo("\nfeed: per daemon, loads announced each second, processor time of the simulator included")
    click.echo(f"{'routers':>8}{'workers':>8}{'bytes/s':>10}{'cpu ms/s':>10}")
    for routers in (6, 11, 33):
        for workers in (12, 100, 300):
            figures = feed_figures(routers, workers)
            click.echo(f"{routers:>8}{workers:>8}{figures['bytes/s']:>10.0f}{figures['cpu ms/s']:>10.2f}")
    click.echo(
        "\nmemory of a session map's owner: "
        + ", ".join(f"{n} sessions {session_memory(n):.0f} B each" for n in (5000, 20_000))
    )


COLUMNS = ("turns", "refused", "hit", "hit_later", "p50", "p95", "imbalance", "imbalance_p95", "moves", "award_share")


@click.command()
@click.option("--table", "names", multiple=True, help="Which tables (also: costs, drains); else all comparisons.")
@click.option("--seeds", default=3, show_default=True)
@click.option(
    "--seconds", default=300.0, show_default=True, help="Virtual seconds of each run; the first 60 are not counted."
)
@click.option("--column", "more", multiple=True, help="Further columns, such as p95_paid.")
@click.option("--json", "json_file", type=click.Path(path_type=Path), help="Writes all figures there.")
def main(names: tuple[str, ...], seeds: int, seconds: float, more: tuple[str, ...], json_file: Path | None) -> None:
    """Prints a table for each comparison with the means over the seeds."""
    found = tables(seconds)
    if "costs" in names:
        print_costs()
    if "drains" in names:
        print_drains(seeds)
    if names and not (names := tuple(name for name in names if name not in {"costs", "drains"})):
        return
    table = Table((*COLUMNS, *more), seeds)
    for name in names or tuple(found):
        rows = {row: partial(figures_of, shape) for row, shape in found[name].items()}
        table.print(name, f"{name}: {seeds} seeds of {seconds:.0f} s", rows)
    if json_file is not None:
        table.write(json_file)


if __name__ == "__main__":
    main()
