"""Runs some faults against a real fleet of processes: ``python -m bench.real_faults`` (docs/DESIGN.md section 17).

Each case has a fleet of its own under light load, while an operator changes the bundle all the time. The checks rest
on what callers, workers and the operator saw, not on the daemons' own state.
"""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any

import click
import msgspec

from fleet.caller import Caller, CallPlan
from fleet.launcher import Fleet, free_first_port, open_shape, push_bundle
from fleet.plan import DaemonPlan
from fleet.shape import Shape
from fleet.waiting import FleetError, wait_until
from wingwood.context.curl_client import CurlHttpClient
from wingwood.context.real import RealClock
from wingwood.identifiers import parse_address

from .load.run import new_run_name, run_load
from .load.target import read_target
from .load.traffic import Callers, CallRecord, LoadOptions

RECOVERY_LIMIT_SECONDS = 12.0
"""Service must be back within this time after the last fault."""
RECOVERY_TIMEOUT_SECONDS = 40.0
WARM_UP_SECONDS = 3.0
FREEZE_SECONDS = 6.0
LONG_FREEZE_SECONDS = 22.0
POLL_INTERVAL_SECONDS = 0.1

Action = Callable[[Fleet], Awaitable[None]]


class CaseNotPossible(Exception):
    """The case can't run because this machine does not allow its fault."""


# The faults. Each function returns when its last event has happened.


async def _primary(fleet: Fleet) -> str:
    return await wait_until("there is a primary", fleet.primary)


async def _backup(fleet: Fleet) -> str:
    async def find() -> str | None:
        reports = await fleet.control_reports()
        return next((name for name, report in reports.items() if report["own_role"] == "backup"), None)

    return await wait_until("there is a backup", find)


async def _witness(fleet: Fleet) -> str:
    async def find() -> str | None:
        reports = await fleet.control_reports()
        return next((name for name, report in reports.items() if report["own_role"] == "witness"), None)

    return await wait_until("there is a witness", find)


async def _freeze(fleet: Fleet, name: str, seconds: float = FREEZE_SECONDS) -> None:
    fleet.freeze(name)
    await asyncio.sleep(seconds)
    fleet.resume(name)


async def router_killed(fleet: Fleet) -> None:
    fleet.kill("router-1")


async def router_frozen(fleet: Fleet) -> None:
    await _freeze(fleet, "router-1")


async def primary_killed(fleet: Fleet) -> None:
    fleet.kill(await _primary(fleet))


async def primary_frozen_long(fleet: Fleet) -> None:
    await _freeze(fleet, await _primary(fleet), LONG_FREEZE_SECONDS)


async def backup_wiped(fleet: Fleet) -> None:
    fleet.wipe(await _backup(fleet))


async def primary_wiped(fleet: Fleet) -> None:
    fleet.wipe(await _primary(fleet))


async def primary_replaced_then_another_killed(fleet: Fleet) -> None:
    """Replaces the primary by an empty machine at a new address; once control is complete, kills the new primary."""
    fleet.replace(await _primary(fleet))
    await wait_until("control is complete with the replacement", fleet.control_complete)
    fleet.kill(await _primary(fleet))


async def backup_replaced(fleet: Fleet) -> None:
    fleet.replace(await _backup(fleet))


async def witness_replaced(fleet: Fleet) -> None:
    fleet.replace(await _witness(fleet))


async def all_control_killed(fleet: Fleet) -> None:
    names = [daemon.name for daemon in fleet.controls()]
    for name in names:
        fleet.kill(name)
    for name in names:
        fleet.restart(name)


async def all_control_killed_one_wiped(fleet: Fleet) -> None:
    lost = await _primary(fleet)
    names = [daemon.name for daemon in fleet.controls()]
    for name in names:
        fleet.kill(name)
    fleet.wipe(lost)
    for name in names:
        fleet.restart(name)


async def all_daemons_killed(fleet: Fleet) -> None:
    names = list(fleet.daemons)
    for name in names:
        fleet.kill(name)
    for name in names:
        fleet.restart(name)


async def several_together(fleet: Fleet) -> None:
    """Kills the primary and a worker and freezes a router at the same time.

    The first primary restarts; once control is complete again, the new primary is killed.
    """
    first = await _primary(fleet)
    fleet.kill(first)
    fleet.kill(_model_worker(fleet))
    await _freeze(fleet, "router-2", 4.0)
    fleet.restart(first)
    await wait_until("control is complete again", fleet.control_complete)
    fleet.kill(await _primary(fleet))


async def routers_rolled(fleet: Fleet) -> None:
    """Stops each router gracefully, so that it ends its streams, and restarts it before the next."""
    for router in fleet.routers():
        await fleet.restart_gracefully(router.name)
        await fleet.wait_for_daemon(router.name, "/ready")


async def controls_rolled(fleet: Fleet) -> None:
    for control in fleet.controls():
        await fleet.restart_gracefully(control.name)
        await wait_until("control is complete again", fleet.control_complete)


async def worker_killed(fleet: Fleet) -> None:
    fleet.kill(_model_worker(fleet))


async def worker_frozen(fleet: Fleet) -> None:
    await _freeze(fleet, _model_worker(fleet))


async def worker_replaced(fleet: Fleet) -> None:
    fleet.replace_worker(_model_worker(fleet))


async def sockets_of_primary_closed(fleet: Fleet) -> None:
    """Closes every connection between the primary and other daemons again and again for 5 s."""
    await _close_sockets(fleet.daemons[await _primary(fleet)], 5.0)


async def sockets_of_a_router_closed(fleet: Fleet) -> None:
    await _close_sockets(fleet.daemons["router-2"], 5.0)


def _model_worker(fleet: Fleet) -> str:
    return next(name for name, worker in fleet.workers.items() if worker.pool.kind == "model")


async def _close_sockets(daemon: DaemonPlan, seconds: float) -> None:
    """Closes connections on this daemon's own ports only.

    Raises CaseNotPossible when this machine does not allow it.
    """
    ports = [daemon.first_port + offset for offset in range(3 if daemon.caller else 2)]
    condition = " or ".join(f"sport = :{port} or dport = :{port}" for port in ports)
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        done = await asyncio.to_thread(
            subprocess.run, ["ss", "-K", "-t", "state", "established", condition], capture_output=True, check=False
        )
        if done.returncode:
            raise CaseNotPossible(f"sockets can't be closed here: {done.stderr.decode().strip()}")
        await asyncio.sleep(0.3)


CASES: tuple[Action, ...] = (
    router_killed,
    router_frozen,
    primary_killed,
    primary_frozen_long,
    backup_wiped,
    primary_wiped,
    backup_replaced,
    witness_replaced,
    primary_replaced_then_another_killed,
    all_control_killed,
    all_control_killed_one_wiped,
    all_daemons_killed,
    several_together,
    routers_rolled,
    controls_rolled,
    worker_killed,
    worker_frozen,
    worker_replaced,
    sockets_of_primary_closed,
    sockets_of_a_router_closed,
)


class CaseReport(msgspec.Struct, kw_only=True):
    case: str
    not_run: str = ""
    calls_back_after: float | None = None
    """Seconds from the last fault until every live router had answered a chat and a call that runs once."""
    orders_back_after: float | None = None
    """Seconds from the last fault until an order was acknowledged and in force on every live router."""
    complete_after: float | None = None
    """Seconds from the last fault until control could tolerate another loss."""
    acknowledged: int = 0
    outcomes: dict[str, int] = msgspec.field(default_factory=dict)
    refusals: dict[str, int] = msgspec.field(default_factory=dict)
    violations: list[str] = msgspec.field(default_factory=list)


class Operator:
    """Changes one field of the bundle all the time and records what was acknowledged."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self.acknowledged: dict[int, str] = {}
        """Identifiers of acknowledged orders by version."""
        self._weight = 1

    async def run(self) -> None:
        while True:
            await self.change()
            await asyncio.sleep(0.5)

    async def change(self, timeout: float = 3.0) -> int | None:
        """Makes one change and returns its acknowledged version, or None when the command failed."""
        self._weight += 1
        daemons = [*self._fleet.controls(), *self._fleet.routers()]
        to = [word for daemon in daemons for word in ("--to", daemon.operator)]
        name = self._fleet.shape.classes[-1].name
        done = await self._fleet.run_command(
            "bundle", "change", "--set", f"class/{name}.weight={self._weight % 900 + 1}", "--rebase", "--json",
            "--patience", str(timeout), "--key", str(self._fleet.operator_key_file), *to,
        )  # fmt: skip
        if done.code:
            return None
        version = int(done.json()["version"])
        self.acknowledged[version] = str(done.json().get("order", ""))
        return version


class Case:
    def __init__(self, fleet: Fleet, action: Action) -> None:
        self.fleet = fleet
        self.action = action
        self.report = CaseReport(case=action.__name__)
        self.operator = Operator(fleet)
        self.curl = CurlHttpClient()
        self.caller = Caller(self.curl, RealClock())
        self._probes = 0

    async def run(self) -> CaseReport:
        try:
            await self.fleet.start()
        except FleetError as problem:
            self.report.not_run = str(problem).replace("\n", " ")
            return self.report
        await wait_until("control is complete", self.fleet.control_complete)
        first = await push_bundle(self.fleet)
        await wait_until("the first bundle is in force", lambda: self.in_force(first))
        await self.fleet.wait_until_ready()
        target = read_target(self.fleet.folder / "fleet.json")
        options = LoadOptions(seconds=600.0, direct_share=0.0, run_name=new_run_name())
        started: list[Callers] = []
        load = asyncio.create_task(run_load(target, options, quiet=True, on_start=started.append))
        changing = asyncio.create_task(self.operator.run())
        try:
            await asyncio.sleep(WARM_UP_SECONDS)
            await self.action(self.fleet)
            await self.measure_recovery(time.monotonic())
        except CaseNotPossible as reason:
            self.report.not_run = str(reason)
        finally:
            changing.cancel()
            for callers in started:
                callers.stop()
            result, callers = await load
        self.report.outcomes, self.report.refusals = result["outcomes"], result["refusals"]
        self.report.acknowledged = len(self.operator.acknowledged)
        self.check_calls(result, callers.records, await self.fleet.runs())
        await self.check_bundles()
        self.curl.close()
        return self.report

    # Recovery of service

    async def measure_recovery(self, since: float) -> None:
        async def after(what: Callable[[], Awaitable[bool]]) -> float | None:
            while time.monotonic() - since < RECOVERY_TIMEOUT_SECONDS:
                if await what():
                    return round(time.monotonic() - since, 2)
                await asyncio.sleep(POLL_INTERVAL_SECONDS)
            return None

        answered: set[str] = set()
        calls, orders, complete = await asyncio.gather(
            after(lambda: self.calls_answered(answered)), after(self.order_in_force), after(self.complete)
        )
        self.report.calls_back_after, self.report.orders_back_after = calls, orders
        self.report.complete_after = complete
        for name, seconds in (("calls", calls), ("orders", orders)):
            if seconds is None or seconds > RECOVERY_LIMIT_SECONDS:
                self.report.violations.append(f"{name} back after {seconds} s")

    def live_routers(self) -> list[DaemonPlan]:
        return [router for router in self.fleet.routers() if self.fleet.children[router.name].running()]

    async def calls_answered(self, answered: set[str]) -> bool:
        """Calls each service through the live routers not in ``answered``; returns whether all answered in full."""
        pending = [router for router in self.live_routers() if router.name not in answered]
        results = await asyncio.gather(*(self.both_answered(router) for router in pending))
        answered.update(router.name for router, both in zip(pending, results, strict=True) if both)
        return all(router.name in answered for router in self.live_routers())

    async def both_answered(self, router: DaemonPlan) -> bool:
        for service in self.fleet.shape.services:
            self._probes += 1
            call_id = f"probe-{self._probes}"
            plan = CallPlan(
                path=service.path,
                key=self.fleet.keys.by_tenant[self.fleet.shape.tenants[0].name],
                call_id=call_id,
                messages=("hello",),
                max_tokens=1,
                stream=service.streaming,
                idempotency_key=None if service.repeatable else call_id,
                first_byte_timeout=service.first_byte_patience,
            )
            outcome = await self.caller.call(plan, parse_address(str(router.caller)))
            if not outcome.looks_complete:
                return False
        return True

    async def order_in_force(self) -> bool:
        version = await self.operator.change(timeout=1.0)
        return version is not None and await self.in_force(version)

    async def complete(self) -> bool:
        return await self.fleet.control_complete()

    async def in_force(self, version: int) -> bool:
        return all([await self.fleet.version_on(router.name) >= version for router in self.live_routers()])

    # Violations of guarantees

    def check_calls(self, result: dict[str, Any], records: Sequence[CallRecord], runs: list[dict[str, Any]]) -> None:
        violations = self.report.violations
        violations.extend(f"{problem}: {count} times" for problem, count in result["problems"].items())
        violations.extend(find_violations(records, runs))
        ended = [child.name for child in self.fleet.children.values() if child.expected_to_run and not child.running()]
        violations.extend(f"{name} ended by itself" for name in ended)

    async def check_bundles(self) -> None:
        """Checks that every acknowledged order is in the history under its version, and that the latest is in force."""
        latest = max(self.operator.acknowledged, default=0)
        try:
            await wait_until(
                "the latest acknowledged bundle is in force", lambda: self.in_force(latest), RECOVERY_TIMEOUT_SECONDS
            )
        except FleetError as problem:
            self.report.violations.append(str(problem))
        for control in self.fleet.controls():
            if self.fleet.children[control.name].running():
                await self.check_history(control)

    async def check_history(self, control: DaemonPlan) -> None:
        answer = await self.fleet.run_command("bundle", "history", "--most", "1000", "--json", "--to", control.operator)
        if answer.code:
            self.report.violations.append(f"no history at {control.name}: {answer.errors.strip()}")
            return
        recorded = {entry["version"]: entry["order"] for entry in answer.json()["entries"]}
        lost = [version for version, order in self.operator.acknowledged.items() if recorded.get(version) != order]
        if lost:
            differences = [
                (version, self.operator.acknowledged[version], recorded.get(version)) for version in sorted(lost)
            ]
            self.report.violations.append(
                f"acknowledged and not in the history of {control.name} "
                f"(version, order, order in the history): {differences}; "
                f"its latest version is {max(recorded, default=0)}"
            )


def find_violations(records: Sequence[CallRecord], runs: Sequence[dict[str, Any]]) -> list[str]:
    """Returns violations of at-most-once calls, from what their callers and the workers saw."""
    run_counts = Counter(run["idempotency_key"] for run in runs if run["idempotency_key"])
    completed_keys = {run["idempotency_key"] for run in runs if run["outcome"] == "whole"}
    found = [f"run {count} times: {key}" for key, count in run_counts.items() if count > 1]
    for record in records:
        key = record.idempotency_key
        _, _, last_status, _ = record.attempts[-1]
        if last_status == "not-run" and run_counts[key]:
            found.append(f"told not-run, but ran: {key}")
        if last_status == "ran" and not run_counts[key]:
            found.append(f"told that it ran, but did not: {key}")
        if any(looks_complete for _, _, _, looks_complete in record.attempts) and key not in completed_keys:
            found.append(f"a success that no worker gave: {key}")
    return found


async def run_case(shape: Shape, action: Action, logs: Path | None) -> CaseReport:
    shape = msgspec.structs.replace(shape, first_port=free_first_port(shape))
    with tempfile.TemporaryDirectory(prefix="wingwood-faults-") as temporary:
        folder = Path(temporary)
        if logs is not None:
            log_count = len(list(logs.glob(f"{action.__name__}-*")))
            folder = logs / f"{action.__name__}-{log_count + 1}"
        async with Fleet(shape, folder) as fleet:
            try:
                return await Case(fleet, action).run()
            except FleetError as problem:
                return CaseReport(case=action.__name__, violations=[str(problem)])


def table(reports: Sequence[CaseReport]) -> str:
    """Returns the reports as a Markdown table."""
    lines = [
        "| case | calls back after s | orders back after s | control complete after s | acknowledged | outcomes "
        "| refused | violations |",
        "|---|---|---|---|---|---|---|---|",
    ]
    for report in reports:
        cells = [
            report.case,
            *("-" if value is None else f"{value:.2f}" for value in (
                report.calls_back_after, report.orders_back_after, report.complete_after)),
            str(report.acknowledged),
            ", ".join(f"{name}: {count}" for name, count in report.outcomes.items()),
            ", ".join(f"{name}: {count}" for name, count in report.refusals.items()) or "none",
            f"not run: {report.not_run}" if report.not_run else "; ".join(report.violations[:5]) or "none",
        ]  # fmt: skip
        lines.append(f"| {' | '.join(cells)} |")
    return "\n".join(lines)


@click.command()
@click.option("--shape", type=click.Path(path_type=Path), default=Path("demo"), show_default=True)
@click.option("--only", multiple=True, help="Names of cases; all by default.")
@click.option("--times", default=1, show_default=True, help="Number of runs of each case.")
@click.option("--results", type=click.Path(path_type=Path), default=Path("results"), show_default=True)
@click.option("--logs", type=click.Path(path_type=Path), help="Keep each case's settings, logs and data there.")
def main(shape: Path, only: tuple[str, ...], times: int, results: Path, logs: Path | None) -> None:
    """Runs the faults one after another and writes real-faults.md and real-faults.json.

    The exit code is 1 after a violation, and 2 when a case could not be run.
    """
    try:
        chosen = open_shape(shape)
    except FleetError as problem:
        raise click.UsageError(str(problem)) from None
    reports: list[CaseReport] = []
    cases = [action for action in CASES if not only or action.__name__ in only]
    for action in [action for action in cases for _ in range(times)]:
        report = asyncio.run(run_case(chosen, action, logs))
        reports.append(report)
        click.echo(
            f"{report.case:<40} calls back {report.calls_back_after} s, orders back {report.orders_back_after} s, "
            f"complete {report.complete_after} s, {report.not_run or report.violations or 'no violations'}"
        )
    results.mkdir(parents=True, exist_ok=True)
    (results / "real-faults.md").write_text(table(reports) + "\n")
    (results / "real-faults.json").write_text(json.dumps(msgspec.to_builtins(reports), indent=1))
    if any(report.violations for report in reports):
        sys.exit(1)
    sys.exit(2 if any(report.not_run for report in reports) else 0)


if __name__ == "__main__":
    main()
