"""A small fleet of real processes from start to stop (docs/DESIGN.md section 17).

The test guards against faults that only appear between real processes: in start-up and stop, after the primary control
daemon is killed, and after a worker is killed. It waits for conditions and never for a fixed time.
"""

from __future__ import annotations

import asyncio
import tempfile
import unittest
from pathlib import Path

import msgspec

from wingwood.context.curl_client import CurlHttpClient
from wingwood.context.real import RealClock
from wingwood.identifiers import parse_address

from ..caller import Caller, CallOutcome, CallPlan
from ..launcher import Fleet, free_first_port, open_shape, push_bundle
from ..waiting import wait_until


class SmallRealFleet(unittest.TestCase):
    def test_from_start_to_end_with_the_primary_and_a_worker_lost(self) -> None:
        asyncio.run(self.run_fleet())

    async def run_fleet(self) -> None:
        shape = open_shape(Path("demo"))
        shape = msgspec.structs.replace(shape, first_port=free_first_port(shape))
        with tempfile.TemporaryDirectory() as folder:
            async with Fleet(shape, Path(folder)) as fleet:
                await self.use(fleet)
                await fleet.stop()
                codes = {name: child.exit_code() for name, child in fleet.children.items()}
                self.assertEqual({name: code for name, code in codes.items() if code}, {})

    async def use(self, fleet: Fleet) -> None:
        await fleet.start()
        await wait_until("control is complete", fleet.control_complete)
        version = await push_bundle(fleet)
        await self.wait_until_in_force(fleet, version)
        await fleet.wait_until_ready()
        self.caller = Caller(CurlHttpClient(), RealClock())
        await self.turns(fleet)
        await self.at_most_once(fleet, "before")
        await self.lose_the_primary(fleet)
        await self.lose_a_worker(fleet)
        await self.at_most_once(fleet, "after")

    async def ask(self, fleet: Fleet, router: int, path: str, call_id: str, **fields: object) -> CallOutcome:
        plan = CallPlan(
            path=path, key=fleet.keys.by_tenant["web-shop"], call_id=call_id, messages=("x" * 400,), max_tokens=5
        )
        plan = msgspec.structs.replace(plan, **fields)
        return await self.caller.call(plan, parse_address(str(fleet.routers()[router].caller)))

    async def turns(self, fleet: Fleet) -> None:
        """Streams are complete, and the next turn at another router goes to the worker of the session."""

        async def second_turn_is_awarded() -> bool:
            first = await self.ask(fleet, 0, "/v1/chat", "first", prefix="smoke/session")
            self.assertEqual((first.looks_complete, first.events, first.problem), (True, 5, ""), first)
            second = await self.ask(fleet, 1, "/v1/chat", "second", prefix="smoke/session")
            self.assertEqual((second.looks_complete, second.events, second.problem), (True, 5, ""), second)
            return second.headers["wingwood-award"] == "award" and (
                second.headers["wingwood-worker"] == first.headers["wingwood-worker"]
            )

        await wait_until("the next turn at another router goes to the awarded worker", second_turn_is_awarded)

    async def at_most_once(self, fleet: Fleet, key: str) -> None:
        """Repeats a call until it has run. A later call with its key is answered ``ran``; the workers ran it once."""

        async def answered() -> bool:
            outcome = await self.ask(fleet, 0, "/v1/product-cards", key, stream=False, idempotency_key=key)
            if outcome.looks_complete:
                return True
            self.assertIn(outcome.run, ("not-run", ""), outcome)
            self.assertNotEqual(outcome.fault, "broken", outcome)
            return False

        await wait_until("a call that may not be repeated is answered", answered)
        again = await self.ask(fleet, 2, "/v1/product-cards", key, stream=False, idempotency_key=key)
        self.assertEqual((again.router_made, again.run), (True, "ran"), again)
        self.assertEqual(sum(run["idempotency_key"] == key for run in await fleet.runs()), 1)

    async def lose_the_primary(self, fleet: Fleet) -> None:
        """Another control daemon becomes primary with all acknowledged data; the killed one rejoins."""
        lost = await wait_until("there is a primary", fleet.primary)
        fleet.kill(lost)

        async def another_is_primary() -> bool:
            return await fleet.primary() not in (None, lost)

        await wait_until("another control daemon takes orders", another_is_primary)
        key = str(fleet.operator_key_file)
        to = [word for daemon in fleet.controls() for word in ("--to", daemon.operator)]
        changed = await fleet.run_command(
            "bundle", "change", "--set", "class/gold.weight=5", "--key", key, "--json", *to
        )
        self.assertEqual(changed.code, 0, changed)
        self.assertEqual(changed.json()["version"], 2)
        await self.wait_until_in_force(fleet, 2)
        fleet.restart(lost)
        await wait_until("control is complete again", fleet.control_complete)

    async def lose_a_worker(self, fleet: Fleet) -> None:
        """Every router continues to answer, and no truncated answer looks complete."""
        victim = next(name for name, worker in fleet.workers.items() if worker.pool.kind == "model")
        fleet.kill(victim)
        for router in range(3):

            async def answers_completely(router: int = router) -> bool:
                outcome = await self.ask(fleet, router, "/v1/chat", "lost", prefix="smoke/session")
                self.assertEqual(outcome.problem, "")
                return outcome.looks_complete

            await wait_until(f"router {router} answers without the lost worker", answers_completely)
        fleet.restart(victim)
        address = fleet.workers[victim].address

        async def is_listed() -> bool:
            listed = await fleet.http.get(fleet.routers()[0].operator, "/control/v1/workers")
            health = await fleet.http.get(address, "/health")
            instances = [worker["instance"] for worker in listed.body] if listed.succeeded else []
            return health.succeeded and health.body["instance"] in instances

        await wait_until("the restarted worker is listed with its new instance", is_listed)

    async def wait_until_in_force(self, fleet: Fleet, version: int) -> None:
        async def condition() -> bool:
            fleet.check_children()
            return all([await fleet.version_on(router.name) >= version for router in fleet.routers()])

        await wait_until(f"version {version} in force on all routers", condition)
