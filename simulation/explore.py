"""Explores random schedules of faults and shrinks those that fail (docs/DESIGN.md section 16.5).

Run it by ``python -m simulation.explore``.

Each seed is a schedule of traffic, orders and faults from the complete list of the users' brief. Faults may overlap
and repeat; one last fault comes at the end, and the service must recover within 12 s of it. A failing seed is printed
with the shortest schedule found that still fails, as a scenario file.
"""

from __future__ import annotations

import concurrent.futures
import json
import sys
import time
from collections import Counter
from pathlib import Path

import click
import msgspec

from .fleet import shape_named
from .scenario import Report, Scenario, read_scenario, run_scenario
from .world import seeded

SCHEDULE_S = 75.0
MIN_BETWEEN_DISK_LOSSES_S = 30.0
"""The shortest time between two permanent losses of disks."""
UNDISTURBED_BEFORE_LOSS_S = 15.0
"""Before a permanent loss of a disk the control daemons have no faults for this long."""


class ExploredRun(msgspec.Struct, kw_only=True):
    """The result of one seed, as the JSON report lists it."""

    seed: int
    deployment: str
    passed: bool
    lines: list[str]
    summary: str
    checks: list[str]
    text: str = ""
    faults: int = 0
    calls: int = 0
    simulated_seconds: float = 0.0
    in_force_seconds: list[float] = []
    judged: dict[str, int] = msgspec.field(default_factory=dict, name="looked")


class Composer:
    """Composes the schedule of one seed."""

    def __init__(self, seed: int, deployment: str) -> None:
        self.random = seeded(seed, "explore", deployment)
        self.shape = shape_named(deployment)
        self.losses: list[float] = []
        self.control_busy: list[tuple[float, float]] = []
        self.controls = [f"control-{number + 1}" for number in range(self.shape.controls)]
        self.replaced: set[str] = set()
        self.keys_removed: set[str] = set()

    def schedule(self) -> list[str]:
        """Returns the ``at`` lines of the schedule in order of time."""
        random = self.random
        lines: list[tuple[float, str]] = []
        for _ in range(random.randint(2, 6)):
            at = random.uniform(1.0, SCHEDULE_S - 15.0)
            for _ in range(random.choice((1, 1, 2, 3))):
                near = at + random.choice((0.0, random.uniform(0.0, 0.5), random.uniform(0.0, 4.0)))
                line = self.fault(near)
                if line is not None:
                    lines.append((near, line))
        for _ in range(random.randint(2, 6)):
            at = random.uniform(0.5, SCHEDULE_S - 5.0)
            lines.append((at, self.work()))
        last = self.fault(SCHEDULE_S)
        if last is not None:
            lines.append((SCHEDULE_S, last))
        return [f"at {at:.2f} {line}" for at, line in sorted(lines)]

    def work(self) -> str:
        """Returns a line with an order, a flood of calls or more traffic."""
        random = self.random
        tenant = random.choice(self.shape.tenants)
        rate = tenant.paid_rate + random.randint(0, 9)
        kind = random.choice(("push", "push", "lost", "race", "storm", "invalid", "large", "key", "flood", "crowd"))
        if kind == "key" and len(self.keys_removed) < 2:
            self.keys_removed.add(tenant.name)
            return f"remove key of {tenant.name}"
        match kind:
            case "lost":
                return f"push set tenant/{tenant.name}.burst={random.randint(1, 5)} losing the answer"
            case "race":
                return f"race set tenant/{tenant.name}.paid_rate={rate} against {rate + 1}"
            case "storm":
                return f"storm of {random.choice((10, 40))} pushes in {random.choice((1, 5))}"
            case "invalid":
                return "push invalid"
            case "large":
                return f"push large {random.choice((200, 1000))} KB"
            case "flood":
                service = random.choice(self.shape.services)
                return f"flood {tenant.name} {service.name} {random.choice((40, 120))}/s for {random.randint(2, 6)}"
            case "crowd":
                return f"crowd {random.choice((3, 6))} for {random.randint(2, 6)}"
        return f"push set tenant/{tenant.name}.burst={random.randint(1, 5)} by operator-{random.randint(1, 2)}"

    def fault(self, at: float) -> str | None:
        """Returns a random fault, or None when the chosen kind does not fit at this time."""
        random = self.random
        kinds = (
            ("router", 4),
            ("worker", 5),
            ("control", 5),
            ("disk", 3),
            ("wires", 4),
            ("all", 1),
            ("loss", 2),
        )
        kind = random.choices([name for name, _ in kinds], [weight for _, weight in kinds])[0]
        made: str | None = getattr(self, f"_{kind}")(at)
        return made

    def _a_control(self, at: float, lasts: float) -> str | None:
        left = [name for name in self.controls if name not in self.replaced]
        if any(abs(loss - at) < MIN_BETWEEN_DISK_LOSSES_S for loss in self.losses) and self.random.random() < 0.7:
            return None
        self.control_busy.append((at, at + lasts))
        return self.random.choice(left) if left else None

    def _router(self, at: float) -> str | None:
        random = self.random
        name = f"router-{random.randint(self.shape.controls + 1, self.shape.routers)}"
        return random.choice(
            (
                f"kill {name} for {random.choice((1, 3, 8))}",
                f"freeze {name} for {random.choice((1, 4, 12, 25))}",
                f"terminate {name}",
                f"cut off {name} for {random.choice((2, 8, 20))}",
                f"cut off {name} {random.choice(('inward', 'outward'))} for {random.choice((2, 8, 20))}",
                f"cut off {name} from daemons for {random.choice((2, 8, 20))}",
                f"isolate {name} for {random.choice((2, 8, 20))}",
                f"power off {name} for {random.choice((2, 8, 20))}",
                f"slow {name} by 0.{random.randint(1, 6)} for {random.randint(3, 15)}",
            )
        )

    def _worker(self, at: float) -> str | None:
        random = self.random
        pool = random.choice(self.shape.pools)
        name = f"{pool.name}-{random.randint(1, pool.workers)}"
        lasts = random.randint(3, 15)
        return random.choice(
            (
                f"kill {name} for {lasts}",
                f"freeze {name} for {lasts}",
                f"worker {name} drains",
                f"worker {name} restarts empty",
                f"worker {name} breaks mid-event for {lasts}",
                f"worker {name} trails stray bytes for {lasts}",
                f"worker {name} closes without an answer for {lasts}",
                f"worker {name} answers late for {lasts}",
                f"worker {name} lies about its load for {lasts}",
                f"power off {name} for {lasts}",
            )
        )

    def _control(self, at: float) -> str | None:
        random = self.random
        lasts = random.choice((2, 6, 12, 25))
        name = self._a_control(at, lasts)
        if name is None:
            return None
        return random.choice(
            (
                f"kill {name} for {lasts}",
                f"freeze {name} for {lasts}",
                f"freeze {name.replace('control', 'front')} for {lasts}",
                f"terminate {name}",
                f"cut off {name} for {lasts}",
                f"isolate {name} for {lasts}",
                f"cut off {name} {random.choice(('inward', 'outward'))} for {lasts}",
                f"power off {name} for {lasts}",
            )
        )

    def _disk(self, at: float) -> str | None:
        random = self.random
        lasts = random.choice((2, 6, 15))
        name = self._a_control(at, lasts)
        return (
            None if name is None else f"disk {name} {random.choice(('slow', 'stalled', 'full', 'failing'))} for {lasts}"
        )

    def _wires(self, at: float) -> str | None:
        random = self.random
        lasts = random.choice((1, 4, 10, 25))
        one, other = random.sample(self.controls, 2)
        self.control_busy.append((at, at + lasts))
        if one in self.replaced or other in self.replaced:
            return None
        return f"cut {one} {random.choice(('from', 'to'))} {other} for {lasts}"

    def _all(self, at: float) -> str | None:
        if any(abs(loss - at) < MIN_BETWEEN_DISK_LOSSES_S for loss in self.losses):
            return None
        self.control_busy.append((at, at + 6.0))
        return self.random.choice(
            (
                "kill all daemons for 1",
                "kill all controls for 2",
                "power off all controls for 3",
                "power off all daemons for 1",
                "freeze all controls for 5",
                "kill all routers for 1",
                "kill all workers for 3",
                "roll all routers every 3",
            )
        )

    def _loss(self, at: float) -> str | None:
        """Returns a permanent loss of a disk, or None when it would be too soon.

        What was on the disk must be on two others before the next one is lost.
        """
        if any(abs(loss - at) < MIN_BETWEEN_DISK_LOSSES_S for loss in self.losses):
            return None
        if any(started - 1.0 < at and end + UNDISTURBED_BEFORE_LOSS_S > at for started, end in self.control_busy):
            return None
        name = self._a_control(at, 3.0)
        if name is None:
            return None
        self.losses.append(at)
        kind = self.random.choice(("wipe", "wipe under it", "replace"))
        if kind == "replace":
            self.replaced.add(name)
            return f"replace {name}"
        return f"wipe {name}" if kind == "wipe" else f"wipe {name} under it"


def scenario_of(seed: int, deployment: str, lines: list[str], traffic: float) -> Scenario:
    """Returns the scenario that runs a schedule with one seed."""
    head = [f"deployment {deployment}", f"seeds {seed}", f"traffic {traffic}"]
    return read_scenario("\n".join([*head, *lines]), f"explored-{deployment}")


def explore_one(seed: int, deployment: str, traffic: float) -> ExploredRun:
    """Composes and runs the schedule of one seed."""
    lines = Composer(seed, deployment).schedule()
    report = run_scenario(scenario_of(seed, deployment, lines, traffic), seed)
    return _found(seed, deployment, lines, report)


def _found(seed: int, deployment: str, lines: list[str], report: Report) -> ExploredRun:
    return ExploredRun(
        seed=seed,
        deployment=deployment,
        passed=report.passed,
        lines=lines,
        summary=report.summary(),
        checks=sorted(
            {violation.check for violation in report.violations} | ({"not-ended"} if report.problems else set())
        ),
        text=report.full(),
        faults=report.faults,
        calls=report.calls,
        simulated_seconds=report.simulated_seconds,
        in_force_seconds=report.in_force_seconds,
        judged=report.judged,
    )


def shrink(found: ExploredRun, traffic: float, most_runs: int = 20) -> ExploredRun:
    """Removes lines of a failing schedule while at least one of the same checks still fails."""
    best, runs = found, 0
    wanted = set(found.checks)
    size = max(1, len(best.lines) // 2)
    while size >= 1 and runs < most_runs:
        start, smaller = 0, False
        while start < len(best.lines) and runs < most_runs:
            lines = best.lines[:start] + best.lines[start + size :]
            runs += 1
            report = run_scenario(scenario_of(found.seed, found.deployment, lines, traffic), found.seed)
            tried = _found(found.seed, found.deployment, lines, report)
            if wanted & set(tried.checks):
                best, smaller = tried, True
            else:
                start += size
        if not smaller or size == 1:
            size = size // 2 if size > 1 else 0
    return best


@click.command()
@click.option("--seeds", default=20, show_default=True, help="Number of seeds to run.")
@click.option("--first-seed", default=1, show_default=True)
@click.option("--hours", default=0.0, help="Continues with further seeds until this many simulated hours are done.")
@click.option("--deployment", type=click.Choice(["despensa", "sabarmati", "both"]), default="both", show_default=True)
@click.option("--traffic", default=0.25, show_default=True, help="Traffic as a multiple of the deployment's own.")
@click.option("--processes", default=2, show_default=True)
@click.option("--shrinks", default=3, show_default=True, help="Number of failing seeds to shrink.")
@click.option("--report", type=click.Path(path_type=Path), help="Writes all results to this JSON file.")
def main(
    seeds: int,
    first_seed: int,
    hours: float,
    deployment: str,
    traffic: float,
    processes: int,
    shrinks: int,
    report: Path | None,
) -> None:
    """Runs random schedules on simulated fleets and exits with code 1 when a seed failed."""
    deployments = ["despensa", "sabarmati"] if deployment == "both" else [deployment]
    started = time.monotonic()
    done: list[ExploredRun] = []
    seed = first_seed
    with concurrent.futures.ProcessPoolExecutor(processes) as pool:
        running: set[concurrent.futures.Future[ExploredRun]] = set()
        while True:
            enough = seed >= first_seed + seeds and sum(each.simulated_seconds for each in done) >= hours * 3600
            while not enough and len(running) < processes * 2:
                running.add(pool.submit(explore_one, seed, deployments[seed % len(deployments)], traffic))
                seed += 1
                enough = seed >= first_seed + seeds and hours == 0.0
            if not running:
                break
            ended, running = concurrent.futures.wait(running, return_when=concurrent.futures.FIRST_COMPLETED)
            for future in ended:
                found = future.result()
                done.append(found)
                failed = "" if found.passed else f"  {', '.join(found.checks)}"
                print(f"{found.summary}{failed}", flush=True)
        failures = sorted((each for each in done if not each.passed), key=lambda each: each.seed)
        for shrunk in pool.map(shrink, failures[:shrinks], [traffic] * len(failures[:shrinks])):
            print(f"\n== seed {shrunk.seed}, {shrunk.deployment}: shortest schedule that still fails")
            print(
                "\n".join(
                    [f"deployment {shrunk.deployment}", f"seeds {shrunk.seed}", f"traffic {traffic}", *shrunk.lines]
                )
            )
            print(shrunk.text, flush=True)
    _sum_up(done, time.monotonic() - started)
    if report is not None:
        report.write_bytes(msgspec.json.format(msgspec.json.encode(done)))
    sys.exit(1 if any(not each.passed for each in done) else 0)


def _sum_up(done: list[ExploredRun], real_seconds: float) -> None:
    simulated = sum(each.simulated_seconds for each in done)
    checks = Counter(check for each in done for check in each.checks)
    in_force = sorted(value for each in done for value in each.in_force_seconds)
    print(
        f"\n{len(done)} seeds, {simulated / 3600:.2f} simulated hours, {sum(each.faults for each in done)} faults, "
        f"{sum(each.calls for each in done)} calls in {real_seconds:.0f} s, "
        f"{simulated / max(real_seconds, 0.001):.1f} simulated s a second; "
        f"{sum(not each.passed for each in done)} seeds failed {json.dumps(dict(checks))}"
    )
    judged: Counter[str] = Counter()
    for each in done:
        judged.update(each.judged)
    print("judged: " + ", ".join(f"{count} {check}" for check, count in judged.items()))
    if in_force:
        print(
            f"acknowledgement to first poll that shows the version: p50 {in_force[len(in_force) // 2]:.2f} s, "
            f"p99 {in_force[int(len(in_force) * 0.99)]:.2f} s, longest {in_force[-1]:.2f} s"
        )


if __name__ == "__main__":
    main()
