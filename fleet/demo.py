"""Demonstrates a fleet on one machine: ``python -m fleet.demo``. The exit code is 0 only if each step was verified."""

from __future__ import annotations

import asyncio
import hashlib
import sys
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path

import click

from wingwood.context.curl_client import CurlHttpClient
from wingwood.context.real import RealClock
from wingwood.identifiers import parse_address

from .caller import Caller, CallOutcome, CallPlan, prompt_text
from .json_values import JsonValue
from .launcher import CommandResult, Fleet, open_shape
from .plan import DaemonPlan, WorkerPlan
from .shape import ServiceShape, Shape
from .waiting import FleetError, wait_until

DRAIN_BOUND_S = 2.0
"""Time after the start of a drain from which the worker must not get new turns."""
KEY_REMOVAL_BOUND_S = 5.0
"""Time within which all routers have to refuse a removed key."""
THINK_TIME_S = 1.0


class Demo:
    """The steps of the demonstration, in the order in which ``run`` takes them."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.clock = RealClock()
        self.curl = CurlHttpClient()
        self.caller = Caller(self.curl, self.clock)
        self.steps = 0
        shape = fleet.shape
        self.chat = next(service for service in shape.services if service.kind == "model" and "chat" in service.name)
        self.plain = next(service for service in shape.services if not service.repeatable)
        self.tenants = [tenant.name for tenant in shape.tenants]

    # Output

    def step(self, title: str) -> None:
        """Prints the heading of the next step."""
        self.steps += 1
        click.echo(f"\n{self.steps}. {title}")

    def verified(self, text: str) -> None:
        """Prints a fact that was verified."""
        click.echo(f"   ok  {text}")

    def verify(self, condition: bool, text: str, observed: object) -> None:
        """Prints ``text`` when the condition holds; otherwise raises FleetError with what was observed."""
        if not condition:
            raise FleetError(f"not verified: {text}; observed: {observed}")
        self.verified(text)

    async def command(self, *arguments: str, show: bool = True) -> CommandResult:
        """Runs the operators' command line once and prints the command as it would be typed."""
        result = await self.fleet.run_command(*arguments)
        if show:
            shown = " ".join(argument.replace(f"{self.fleet.folder}/", "") for argument in arguments)
            click.echo(f"   $ wingwood {shown}")
            output = (result.output + result.errors).replace(f"{self.fleet.folder}/", "").rstrip()
            click.echo("\n".join(f"     {line}" for line in output.splitlines()))
        if result.code:
            raise FleetError(f"wingwood {arguments[0]} {arguments[1]} ended with code {result.code}: {result.errors}")
        return result

    # Steps

    async def run(self) -> None:
        """Takes all steps; raises FleetError at the first that can't be verified."""
        await self.start_fleet()
        version = await self.push()
        await self.read_back(version)
        await self.two_turns()
        await self.at_most_once()
        await self.drain()
        await self.remove_key()
        await self.stop()

    async def start_fleet(self) -> None:
        """Starts the fleet and waits until all workers are known to the routers."""
        shape = self.fleet.shape
        self.step(
            f"A fleet of {shape.routers} routers, {shape.controls} control daemons and "
            f"{len(self.fleet.workers)} emulated workers comes up"
        )
        started_at = time.monotonic()
        await self.fleet.start()
        await wait_until("control takes orders and could bear a loss", self.control_complete)
        await wait_until("all routers know all workers", self.workers_known)
        self.verified(f"all live, control complete, all workers announced, after {time.monotonic() - started_at:.1f} s")

    async def control_complete(self) -> bool:
        """Returns whether the control daemons tolerate the loss of one; raises FleetError if a child has ended."""
        self.fleet.check_children()
        return await self.fleet.control_complete()

    async def workers_known(self) -> bool:
        """Returns whether every router lists all workers; raises FleetError if a child has ended."""
        self.fleet.check_children()
        for router in self.fleet.routers():
            reply = await self.fleet.http.get(router.operator, "/control/v1/workers")
            if not reply.succeeded or sum(worker["state"] == "ready" for worker in reply.body) < len(
                self.fleet.workers
            ):
                return False
        return True

    async def push(self) -> int:
        """Checks, signs and pushes the first bundle; returns its version."""
        self.step("An operator checks, signs and pushes the first bundle")
        signed = self.fleet.folder / "bundle.signed"
        await self.command("bundle", "check", str(self.fleet.bundle_file))
        key = str(self.fleet.operator_key_file)
        await self.command("bundle", "sign", str(self.fleet.bundle_file), "--key", key, "--output", str(signed))
        started_at = time.monotonic()
        pushed = await self.command("bundle", "push", str(signed), *self.to_options(self.fleet.routers()[:2]), "--json")
        version = int(pushed.json()["version"])
        self.verify(pushed.json()["outcome"] == "accepted", f"version {version} acknowledged", pushed.output)
        await self.wait_until_in_force(version)
        self.verified(f"in force on all daemons {time.monotonic() - started_at:.2f} s after the push was typed")
        await self.fleet.wait_until_ready()
        self.verified("all daemons ready for the platform")
        return version

    async def wait_until_in_force(self, version: int) -> None:
        """Waits until all routers use the version or a later one."""

        async def condition() -> bool:
            self.fleet.check_children()
            versions = [await self.fleet.version_on(router.name) for router in self.fleet.routers()]
            return all(version_in_force >= version for version_in_force in versions)

        await wait_until(f"version {version} in force on all routers", condition)

    async def read_back(self, version: int) -> None:
        """Verifies that all routers use the version with the same root digest."""
        self.step("The bundle in force is read back")
        router = self.fleet.routers()[-1]
        await self.command("bundle", "show", *self.to_options([router]))
        roots = set()
        for each in self.fleet.routers():
            reply = await self.fleet.http.get(each.operator, "/control/v1/bundle")
            roots.add((reply.body["version"], reply.body["manifest"]["root"]))
        self.verify(
            len(roots) == 1 and version in {found for found, _ in roots},
            f"all {len(self.fleet.routers())} routers hold version {version} with the same root digest",
            roots,
        )
        await self.command("health", *self.to_options(list(self.fleet.daemons.values())))

    async def two_turns(self) -> None:
        """Verifies that a session's second turn, sent to another router, reaches the worker with its KV cache."""
        self.step("A chat streams piece by piece; its second turn comes to another router")
        routers = self.fleet.routers()
        shared, own = prompt_text(300, "house-rules"), prompt_text(200, "When does my order come?")
        first = await self.turn(routers[0], "house-rules/demo-chat", (shared, own), 12)
        await asyncio.sleep(THINK_TIME_S)
        own += first.text + prompt_text(20, "And if I am not at home?")
        second = await self.turn(routers[1 % len(routers)], "house-rules/demo-chat", (shared, own), 12)
        workers = [first.headers["wingwood-worker"], second.headers["wingwood-worker"]]
        self.verify(workers[0] == workers[1], f"the second turn went to the same worker {workers[0]}", workers)
        method = second.headers.get("wingwood-award")
        self.verify(method == "award", "it went there by the award that the first turn's end had made", method)
        cached, prompt = second.integer_header("cached-tokens") or 0, second.integer_header("prompt-tokens") or 0
        self.verify(cached > prompt // 2, f"{cached} of its {prompt} prompt tokens were still in the KV cache", cached)

    async def turn(self, router: DaemonPlan, prefix: str, messages: tuple[str, ...], tokens: int) -> CallOutcome:
        """Makes one turn of a chat, prints its events as they arrive and verifies that the answer is complete."""
        click.echo(f"   {router.name} ({router.zone}): ", nl=False)
        call_plan = self.call_plan(
            self.chat, f"{prefix}-{tokens}-{router.name}", prefix=prefix, messages=messages, tokens=tokens
        )
        outcome = await self.caller.call(
            call_plan, parse_address(str(router.caller)), lambda event: click.echo(event["text"], nl=False)
        )
        click.echo()
        self.expect_complete(outcome)
        first = (outcome.time_to_first_event or 0.0) * 1000
        gap = max(outcome.gaps, default=0.0) * 1000
        self.verified(f"{outcome.events} pieces, the first after {first:.0f} ms, longest pause {gap:.0f} ms, whole")
        return outcome

    async def at_most_once(self) -> None:
        """Verifies that a call that is not idempotent, sent twice with the same key, runs once."""
        self.step(f"A call of {self.plain.name}, which may not be repeated, is sent twice")
        routers = self.fleet.routers()
        call_plan = self.call_plan(self.plain, "demo-card", key="demo-card-1")
        first = await self.caller.call(call_plan, parse_address(str(routers[0].caller)))
        self.expect_complete(first)
        self.verified(f"{routers[0].name} answered {first.status}: {first.body}")
        second = await self.caller.call(call_plan, parse_address(str(routers[1 % len(routers)].caller)))
        self.verify(
            second.router_made and second.run == "ran",
            f"{routers[1 % len(routers)].name} answered the second {second.status} {second.code}, run: {second.run}",
            (second.status, second.body),
        )
        runs = [run for run in await self.fleet.runs() if run["idempotency_key"] == "demo-card-1"]
        self.verify(len(runs) == 1, "the workers ran it once", runs)

    async def drain(self) -> None:
        """Verifies that a worker which is drained under load finishes its calls."""
        self.step("A worker is drained under load")
        load = asyncio.create_task(self.run_chats(rate=6.0, seconds=8.0))
        victim = await wait_until("a worker runs at least one chat", self.find_busy_worker)
        reply = await self.fleet.http.post(victim.address, "/drain", {})
        drained = time.monotonic()
        self.verify(reply.succeeded, f"{victim.name} drains with calls under way", reply)
        outcomes = await load
        failed = [outcome for outcome in outcomes if not outcome.looks_complete or outcome.problem]
        self.verify(not failed, f"all {len(outcomes)} chats of the load were whole", failed[:2])
        runs = [run for run in await self.fleet.runs() if run["instance"] == reply.body["instance"]]
        after = [run["arrived"] - drained for run in runs if run["arrived"] > drained]
        late = [seconds for seconds in after if seconds > DRAIN_BOUND_S]
        last = f"the last {max(after):.2f} s after" if after else "none after"
        self.verify(not late, f"no new turn reached it more than {DRAIN_BOUND_S:.0f} s later ({last})", late)

        async def has_departed() -> bool:
            health = await self.fleet.http.get(victim.address, "/health")
            return bool(health.succeeded and health.body["state"] == "gone")

        await wait_until(f"{victim.name} has finished its calls and says that it is gone", has_departed)
        self.verified(f"{victim.name} finished its calls and said that it is gone")

    async def find_busy_worker(self) -> WorkerPlan | None:
        """Returns a worker of the chat pool that is running at least one call, or None."""
        for worker in self.fleet.workers.values():
            if worker.pool.name == self.chat.pool:
                health = await self.fleet.http.get(worker.address, "/health")
                if health.succeeded and health.body["running"] > 0:
                    return worker
        return None

    async def run_chats(self, rate: float, seconds: float) -> list[CallOutcome]:
        """Starts ``rate`` single-turn chats per second, spread over routers and tenants, and returns all outcomes."""
        routers = self.fleet.routers()
        calls = []
        for number in range(int(rate * seconds)):
            session = f"load-{number}"
            tenant = self.tenants[number % len(self.tenants)]
            call_plan = self.call_plan(
                self.chat, session, prefix=f"house-rules/{session}", messages=(prompt_text(200, session),),
                tokens=30, tenant=tenant,
            )  # fmt: skip
            address = parse_address(str(routers[number % len(routers)].caller))
            calls.append(asyncio.create_task(self.caller.call(call_plan, address)))
            await asyncio.sleep(1 / rate)
        return list(await asyncio.gather(*calls))

    async def remove_key(self) -> None:
        """Verifies that all routers reject a removed key within ``KEY_REMOVAL_BOUND_S``."""
        tenant = self.tenants[-1]
        self.step(f"The key of {tenant} is removed")
        digest = hashlib.sha256(self.fleet.keys.by_tenant[tenant].encode()).hexdigest()
        key = str(self.fleet.operator_key_file)
        controls = self.to_options(self.fleet.controls())
        await self.command("bundle", "change", "--remove-key", digest, "--key", key, *controls)
        acknowledged = time.monotonic()
        for router in self.fleet.routers():

            async def refused(router: DaemonPlan = router) -> bool:
                return (await self.ask(router, tenant)).status == 401

            await wait_until(f"{router.name} refuses the removed key", refused)
        took = time.monotonic() - acknowledged
        self.verify(
            took < KEY_REMOVAL_BOUND_S, f"refused by all routers {took:.2f} s after the command had ended", took
        )
        other = self.tenants[0]
        for router in self.fleet.routers():
            outcome = await self.ask(router, other)
            self.expect_complete(outcome)
        self.verified(f"{other} is still served by all routers")

    async def ask(self, router: DaemonPlan, tenant: str) -> CallOutcome:
        """Makes one short chat call with a tenant's key."""
        call_plan = self.call_plan(self.chat, f"key-{tenant}", messages=("hello",), tokens=1, tenant=tenant)
        return await self.caller.call(call_plan, parse_address(str(router.caller)))

    async def stop(self) -> None:
        """Stops the fleet and verifies that every process ended with exit code 0."""
        self.step("The fleet is stopped")
        self.curl.close()
        await self.fleet.stop()
        codes = {name: child.exit_code() for name, child in self.fleet.children.items()}
        self.verify(all(code == 0 for code in codes.values()), f"all {len(codes)} processes ended in order", codes)

    # Helpers

    def to_options(self, daemons: Sequence[DaemonPlan]) -> list[str]:
        """Returns the command line's options that name the daemons to ask."""
        return [word for daemon in daemons for word in ("--to", daemon.operator)]

    def call_plan(
        self,
        service: ServiceShape,
        call_id: str,
        *,
        prefix: str | None = None,
        messages: tuple[str, ...] = ("hello",),
        tokens: int = 1,
        tenant: str | None = None,
        key: str | None = None,
    ) -> CallPlan:
        """Returns the plan of a call; the tenant is the first one unless it is given."""
        return CallPlan(
            path=service.path,
            key=self.fleet.keys.by_tenant[tenant or self.tenants[0]],
            call_id=call_id,
            messages=messages,
            max_tokens=tokens,
            stream=service.streaming,
            prefix=prefix,
            idempotency_key=key,
            first_byte_timeout=service.first_byte_patience,
        )

    def expect_complete(self, outcome: CallOutcome) -> None:
        """Raises FleetError unless the call got a complete answer without a violation."""
        if not outcome.looks_complete or outcome.problem:
            seen: JsonValue = outcome.body if outcome.status else outcome.fault
            raise FleetError(
                f"call {outcome.call_id} was not answered completely: status {outcome.status} {seen} {outcome.problem}"
            )


async def run_demo(shape: Shape, folder: Path) -> None:
    """Runs all steps. Raises FleetError at the first step that can't be verified."""
    async with Fleet(shape, folder) as fleet:
        await Demo(fleet).run()


@click.command()
@click.option("--shape", default="demo", show_default=True, help="demo, despensa, sabarmati, or a shape file.")
@click.option("--folder", type=click.Path(path_type=Path), help="Keep settings, logs and data there.")
def main(shape: str, folder: Path | None) -> None:
    """Starts a fleet on this machine, uses all its main functions and verifies each step."""
    try:
        with tempfile.TemporaryDirectory(prefix="wingwood-demo-") as temporary:
            asyncio.run(run_demo(open_shape(Path(shape)), folder or Path(temporary)))
    except FleetError as problem:
        click.echo(f"\nFAILED: {problem}", err=True)
        if folder is not None:
            click.echo(f"logs are in {folder / 'logs'}", err=True)
        sys.exit(1)
    except KeyboardInterrupt:
        click.echo("\nstopped", err=True)
        sys.exit(130)
    click.echo("\nAll steps verified.")


if __name__ == "__main__":
    main()
