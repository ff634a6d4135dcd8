"""The placement of one router over workers that the test defines, on a clock that the test advances."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Coroutine, Sequence
from random import Random
from typing import Any, TypeVar, cast

import msgspec
from returns.result import Result

from wingwood.bundle.model import Service
from wingwood.context.protocols import Context
from wingwood.identifiers import (
    Address,
    Instant,
    PoolName,
    RequestId,
    Seconds,
    ServiceName,
    TenantName,
    WorkerInstance,
    Zone,
)
from wingwood.placement.protocols import Choice, NoWorker, PromptPart, Turn
from wingwood.placement.reservation_placement import ReservationPlacement
from wingwood.placement.session_map import LocalMap, SessionMap
from wingwood.placement.settings import PlacementSettings
from wingwood.registry.protocols import ObservedLoad, Worker
from wingwood.transport.frames import Identity

POOL, OTHER_POOL = PoolName("model"), PoolName("canary")
SUMMARY = Service(name=ServiceName("summary"), pool=POOL, latency_objective=Seconds(0.2))
REQUESTS = itertools.count()
Got = TypeVar("Got")


def run_now(coroutine: Coroutine[Any, Any, Got]) -> Got:
    """Runs a coroutine that never suspends and returns its result."""
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return cast(Got, stop.value)
    raise AssertionError("the coroutine suspended")


def parts_of(text: str) -> tuple[PromptPart, ...]:
    """Parses parts and their sizes from a text such as ``kind:2500 subject:3800``."""
    pairs = (part.split(":") for part in text.split())
    return tuple(PromptPart(name, int(tokens)) for name, tokens in pairs)


def sized_turn(parts: str, own: int = 2900, service: Service = SUMMARY, **fields: Any) -> Turn:
    """Builds a turn with reported part sizes. ``own``: number of prompt tokens outside the parts."""
    reported = parts_of(parts)
    turn = Turn(
        request=RequestId(f"q{next(REQUESTS)}"),
        service=service,
        tenant=TenantName("t"),
        weight=1.0,
        prefix=tuple(part.part for part in reported),
        prompt_tokens=own + sum(part.tokens for part in reported),
        parts=reported,
        generate_tokens=68,
    )
    return msgspec.structs.replace(turn, **fields)


class ManualClock:
    """A clock that tests advance."""

    def __init__(self) -> None:
        self.now = 100.0

    def monotonic(self) -> Instant:
        return Instant(self.now)


class OneRouter:
    """Fake registry, exchange and membership in one, and the placement that uses them."""

    def __init__(
        self,
        workers: int = 9,
        settings: PlacementSettings | None = None,
        seed: int = 5,
        zone: str = "a",
        cache_tokens: int = 232_000,
        session_map: SessionMap | None = None,
    ) -> None:
        self.clock = ManualClock()
        self.workers = [
            Worker(
                instance=WorkerInstance(f"w{number}"),
                address=Address("127.0.0.1", 7000 + number),
                pool=POOL,
                zone=Zone("abc"[number % 3]),
                slots=32 if cache_tokens else 6,
                cache_tokens=cache_tokens,
            )
            for number in range(workers)
        ]
        self.reported: dict[WorkerInstance, ObservedLoad] = {}
        self.unconfirmed: set[WorkerInstance] = set()
        context = Context(
            clock=cast(Any, self.clock),
            network=cast(Any, None),
            disk=cast(Any, None),
            http=cast(Any, None),
            random=Random(seed),
            log=cast(Any, None),
            tasks=cast(Any, None),
        )
        self.map = session_map or LocalMap()
        self.placement = ReservationPlacement(
            context, cast(Any, self), cast(Any, self), cast(Any, self), self.map, settings, Zone(zone)
        )

    # --- called by the placement --------------------------------------------------------------

    def ready(self, pool: PoolName) -> Sequence[Worker]:
        return tuple(worker for worker in self.workers if worker.pool == pool)

    async def confirm(self, worker: Worker) -> bool:
        return worker.instance not in self.unconfirmed

    def on_change(self, callback: Callable[[Worker], None]) -> None:
        self.changed = callback

    def register_counter(self, count: Callable[[PoolName], dict[WorkerInstance, ObservedLoad]]) -> None:
        self.count = count

    def observed_load_of_others(self, instance: WorkerInstance) -> ObservedLoad:
        return self.reported.get(instance, ObservedLoad())

    def routers(self) -> Sequence[Identity]:
        return cast(Sequence[Identity], (None,) * 11)

    # --- called by tests ----------------------------------------------------------------------

    def choose(self, turn: Turn, excluded: Sequence[WorkerInstance] = ()) -> Choice:
        return self.outcome(turn, excluded).unwrap()

    def refusal(self, turn: Turn) -> NoWorker:
        return self.outcome(turn).failure()

    def outcome(self, turn: Turn, excluded: Sequence[WorkerInstance] = ()) -> Result[Choice, NoWorker]:
        return run_now(self.placement.choose(turn, excluded))

    def end(self, turn: Turn, choice: Choice, first_token: float = 0.05) -> None:
        """Lets the turn's first token arrive and its complete answer a little later."""
        self.clock.now += first_token
        self.placement.first_token_received(turn, choice, Seconds(first_token))
        self.clock.now += 0.02
        self.placement.finished(turn, choice, "whole", turn.generate_tokens, Seconds(first_token))

    def take(self, turn: Turn, first_token: float = 0.05) -> Choice:
        choice = self.choose(turn)
        self.end(turn, choice, first_token)
        return choice

    def set_observed_load(self, instance: WorkerInstance, running: float = 0.0, prefill: float = 0.0) -> None:
        """Sets the load that the other routers observe for the worker."""
        self.reported[instance] = ObservedLoad(running, 0.0, prefill)

    def set_observed_load_everywhere(self, running: float = 0.0, prefill: float = 0.0) -> None:
        for worker in self.workers:
            self.set_observed_load(worker.instance, running, prefill)

    def teach(self, per_token: float = 1 / 300_000, base: float = 0.03) -> None:
        """Runs turns from whose first tokens the placement learns the speed of the engines."""
        for number in range(30):
            self.take(sized_turn(f"chat:47 t{number}:30", 100), base)
            self.clock.now += 1.0
            turn = sized_turn(f"x{number}:3000 y{number}:3000", 3000)
            self.take(turn, base + 9000 * per_token)
            self.clock.now += 1.0
