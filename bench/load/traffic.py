"""Open-loop callers: sessions arrive at a fixed rate, whether or not the fleet keeps up."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from random import Random
from typing import Literal

import msgspec

from fleet.caller import Caller, CallOutcome, CallPlan, prompt_text
from fleet.shape import ServiceShape, Traffic
from wingwood.context.protocols import Clock
from wingwood.identifiers import Address, parse_address

from .measure import Measurements, outcome_label
from .target import RouterAddresses, Target

RETRY_PAUSE_S = 0.1


class LoadOptions(msgspec.Struct, frozen=True, kw_only=True):
    seconds: float = 60.0
    scale: float = 1.0
    """Factor on the rates of the shape."""
    spread: Literal["every-turn", "per-session"] = "every-turn"
    """Whether each turn is sent to a random router, or all turns of a session to the same one."""
    unhinted: float = 0.0
    """Share of turns whose caller disconnects before the end, so that the router gets no hint of the next turn."""
    direct_share: float = 0.05
    """Share of calls that are accompanied by a probe sent directly to a worker."""
    retries: int = 1
    flood_tenant: str | None = None
    """A tenant that sends short model calls in addition to its share of the traffic, without retries."""
    flood_rate: float = 0.0
    flood_on: Literal["one", "all"] = "all"
    """Whether the calls of the flood are sent to one router or to all."""
    seed: int = 1
    run_name: str = "run"


class CallRecord(msgspec.Struct, frozen=True):
    """The attempts of a call with an idempotency key, from which an observer checks at-most-once execution."""

    idempotency_key: str
    attempts: tuple[tuple[int, str, str, bool], ...]
    """For each attempt: HTTP status, error code, execution status (``run``), and whether the answer looks complete."""


class Callers:
    """All callers of one run. Each session is a task of its own."""

    def __init__(
        self, target: Target, options: LoadOptions, caller: Caller, clock: Clock, measurements: Measurements
    ) -> None:
        self.target = target
        self.options = options
        self.measurements = measurements
        self.records: list[CallRecord] = []
        self.ready_routers: Callable[[], Sequence[RouterAddresses]] = lambda: target.routers
        """Returns the routers to which the platform currently sends callers."""
        self._caller = caller
        self._clock = clock
        self._began = clock.monotonic()
        self._random = Random(options.seed)
        self._services = {service.name: service for service in target.shape.services}
        self._number = 0
        self._sessions: set[asyncio.Task[None]] = set()
        self._ends_at = options.seconds

    async def run(self) -> None:
        """Generates arrivals for ``seconds`` of the options, then waits for the calls in progress.

        Sessions start no new turns after that time.
        """
        self._began = self._clock.monotonic()
        await asyncio.gather(
            *(self._generate_arrivals(traffic) for traffic in self.target.shape.traffic), self._generate_flood()
        )
        if self._sessions:
            await asyncio.wait(self._sessions)

    def stop(self) -> None:
        """Ends arrivals and new turns from now on; calls in progress continue."""
        self._ends_at = self.elapsed()

    @property
    def open_sessions(self) -> int:
        return len(self._sessions)

    def elapsed(self) -> float:
        return self._clock.monotonic() - self._began

    async def _generate_arrivals(self, traffic: Traffic) -> None:
        rate = traffic.per_second * self.options.scale
        random = Random(f"{self.options.seed}/{traffic.name}")
        arrival_at = 0.0
        while rate > 0:
            arrival_at += random.expovariate(rate)
            if arrival_at >= self._ends_at:
                return
            await asyncio.sleep(max(0.0, arrival_at - self.elapsed()))
            if arrival_at >= self._ends_at:
                return
            self._number += 1
            session = asyncio.get_running_loop().create_task(self._session(traffic, self._number))
            self._sessions.add(session)
            session.add_done_callback(self._session_ended)

    async def _generate_flood(self) -> None:
        tenant, rate = self.options.flood_tenant, self.options.flood_rate
        if tenant is None or rate <= 0:
            return
        service = next(each for each in self.target.shape.services if each.kind == "model")
        random = Random(f"{self.options.seed}/flood")
        arrival_at, number = 0.0, 0
        while arrival_at < self._ends_at:
            arrival_at += random.expovariate(rate)
            await asyncio.sleep(max(0.0, arrival_at - self.elapsed()))
            number += 1
            plan = CallPlan(
                path=service.path,
                key=self.target.keys[tenant],
                call_id=f"{self.options.run_name}-flood-{number}",
                messages=("hello",),
                max_tokens=1,
                first_byte_timeout=service.first_byte_patience,
            )
            preferred_router = (
                self.target.routers[0] if self.options.flood_on == "one" else random.choice(self.target.routers)
            )
            call = asyncio.get_running_loop().create_task(self._flood_call(plan, tenant, preferred_router))
            self._sessions.add(call)
            call.add_done_callback(self._session_ended)

    async def _flood_call(self, plan: CallPlan, tenant: str, preferred_router: RouterAddresses) -> None:
        """Makes one call of the flood.

        It is counted by tenant and outcome only, so that the timings include ordinary traffic alone.
        """
        self.measurements.call_started(tenant, int(self.elapsed()))
        outcome = await self._caller.call(plan, _address(preferred_router.caller))
        self.measurements.attempts += 1
        if outcome.problem:
            self.measurements.problems[outcome.problem] += 1
        if outcome.router_made:
            self.measurements.refusals[f"{outcome.status} {outcome.code} {outcome.run}"] += 1
        self.measurements.call_ended(tenant, outcome_label(outcome), int(self.elapsed()), outcome.events)

    def _session_ended(self, session: asyncio.Task[None]) -> None:
        self._sessions.discard(session)
        if not session.cancelled():
            session.result()

    async def _session(self, traffic: Traffic, number: int) -> None:
        random = Random(f"{self.options.seed}/{traffic.name}/{number}")
        service = self._services[traffic.service]
        tenants = self.target.shape.tenants
        tenant = random.choices(tenants, [each.traffic_share for each in tenants])[0].name
        shared, prefix = self._choose_shared_prefix(traffic, random)
        session = f"{self.options.run_name}-{traffic.name}-{number}"
        own = prompt_text(max(1, traffic.own_tokens), session)
        preferred_router = random.choice(self.target.routers)
        for turn in range(traffic.turns):
            if turn:
                think = random.expovariate(1 / traffic.think_seconds)
                if self.elapsed() + think >= self._ends_at:
                    return
                await asyncio.sleep(think)
                own += prompt_text(max(1, traffic.own_tokens // 4), f"{session}-{turn}")
            tokens = max(1, round(traffic.answer_tokens * random.uniform(0.5, 1.5)))
            call_id = f"{session}-{turn}"
            plan = CallPlan(
                path=service.path,
                key=self.target.keys[tenant],
                call_id=call_id,
                messages=(*shared, own),
                max_tokens=tokens if service.kind == "model" else 1,
                stream=service.streaming,
                prefix="/".join([*prefix, session]) if service.kind == "model" else None,
                idempotency_key=None if service.repeatable else call_id,
                first_byte_timeout=service.first_byte_patience,
                disconnect_after_events=max(1, tokens - 2) if random.random() < self.options.unhinted else None,
            )
            if random.random() < self.options.direct_share:
                await self._probe(plan, service, number, turn)
            outcome = await self._call(plan, tenant, preferred_router, turn, random)
            if not outcome.looks_complete and not outcome.disconnected:
                return
            own += outcome.text

    def _choose_shared_prefix(self, traffic: Traffic, random: Random) -> tuple[tuple[str, ...], tuple[str, ...]]:
        """Returns the messages and the prefix path of a shared prompt start; the one of rank n has weight 1/n."""
        if not traffic.shared_prefixes:
            return (), ()
        ranks = range(1, traffic.shared_prefixes + 1)
        rank = random.choices(ranks, [1 / rank for rank in ranks])[0]
        name = f"{traffic.name}-shared-{rank}"
        return (prompt_text(traffic.shared_tokens, name),), (name,)

    async def _call(
        self, plan: CallPlan, tenant: str, preferred_router: RouterAddresses, turn: int, random: Random
    ) -> CallOutcome:
        self.measurements.call_started(tenant, int(self.elapsed()))
        attempts: list[CallOutcome] = []
        router = self._choose_router(preferred_router, random, ())
        for _ in range(1 + self.options.retries):
            outcome = await self._caller.call(plan, _address(router.caller))
            self.measurements.record_attempt(plan, outcome, router.name, turn)
            attempts.append(outcome)
            if not _should_retry(outcome):
                break
            await asyncio.sleep(RETRY_PAUSE_S)
            router = self._choose_router(preferred_router, random, (router,))
        last = attempts[-1]
        events = sum(outcome.events for outcome in attempts)
        self.measurements.call_ended(tenant, outcome_label(last), int(self.elapsed()), events)
        if plan.idempotency_key is not None:
            seen = tuple((each.status, each.code, each.run, each.looks_complete) for each in attempts)
            self.records.append(CallRecord(plan.idempotency_key, seen))
        return last

    def _choose_router(
        self, preferred_router: RouterAddresses, random: Random, tried: tuple[RouterAddresses, ...]
    ) -> RouterAddresses:
        ready_routers = list(self.ready_routers()) or list(self.target.routers)
        if self.options.spread == "per-session" and preferred_router in ready_routers and preferred_router not in tried:
            return preferred_router
        left = [router for router in ready_routers if router not in tried] or ready_routers
        return random.choice(left)

    async def _probe(self, plan: CallPlan, service: ServiceShape, number: int, turn: int) -> None:
        """Sends a short version of the call directly to a worker, under a prefix that no routed call uses."""
        workers = [worker for worker in self.target.workers.values() if worker.pool == service.pool]
        worker = workers[(number + turn) % len(workers)]
        probe = msgspec.structs.replace(
            plan,
            prefix=f"direct/{plan.call_id}" if plan.prefix else None,
            messages=plan.messages[-1:],
            max_tokens=min(plan.max_tokens, 20),
            idempotency_key=None,
            disconnect_after_events=None,
        )
        self.measurements.record_probe(await self._caller.call(probe, _address(worker.address)))


def _should_retry(outcome: CallOutcome) -> bool:
    """Tells whether a caller retries: when no event arrived, or when a router answers 503."""
    if outcome.looks_complete or outcome.events:
        return False
    if outcome.router_made:
        return outcome.status == 503
    return outcome.status == 0 or bool(outcome.fault)


def _address(text: str) -> Address:
    return parse_address(text)
