"""Scenarios: small text files of timed events that run on a whole fleet and are judged by the observer.

A file reads like this (docs/DESIGN.md section 16.4)::

    # What the scenario shows, for the person on call.
    deployment despensa
    seeds 1 2
    traffic 0.3
    at 2 kill control-1
    at 5 freeze router-4 for 20
    at 6 push set tenant/riders.paid_rate=5
    expect order 1 accepted

Times are seconds after the first bundle is in force everywhere. After the end of the last fault the run goes on for
``calm`` seconds; then the versions and histories are read back and the run is judged. ``help_text()`` lists all
lines.
"""

from __future__ import annotations

import asyncio
import re
import time
from collections import Counter
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import msgspec

from emulator.faults import Fault as WorkerFault
from wingwood.bundle.canonical import canonical_json
from wingwood.identifiers import SliceName

from .fleet import DaemonFactories, Fleet, network_shape, shape_named
from .history import Attempt
from .indexed_history import Bounds, Topology, Violation
from .observer import CHECKS, judge
from .operators import Slices, put_slice, set_field
from .world import World

FIRST_BUNDLE_TIMEOUT_S = 15.0
DEFAULT_CALM_S = 20.0
LAST_ANSWERS_S = 4.0
"""Time at the end of a run, after traffic has stopped, in which open calls may end."""


class ScenarioError(Exception):
    """Raised for a line that can't be parsed; the text gives the line and what was expected."""


class Step(msgspec.Struct, frozen=True):
    """One ``at`` line of a scenario with the action that it stands for."""

    at: float
    line: str
    action: Callable[[Fleet], None]
    lasts: float = 0.0
    """The seconds after ``at`` during which the step itself disturbs the fleet."""


class Scenario(msgspec.Struct, kw_only=True):
    """A parsed scenario file."""

    name: str
    about: str = ""
    deployment: str = "despensa"
    seeds: tuple[int, ...] = (1,)
    traffic: float = 0.25
    calm: float = DEFAULT_CALM_S
    broken: str = ""
    """The name of a deliberately broken variant of the fleet (``simulation.broken``), or empty."""
    steps: list[Step] = []
    expects: list[str] = []

    def length(self) -> float:
        return max((step.at + step.lasts for step in self.steps), default=0.0)


class Report(msgspec.Struct, kw_only=True):
    """The result of a run of a scenario with one seed."""

    scenario: str
    seed: int
    violations: list[Violation]
    problems: list[str]
    """Expectations of the scenario that did not hold, and time-outs that ended the run."""
    digest: str = ""
    simulated_seconds: float = 0.0
    real_seconds: float = 0.0
    processor_seconds: float = 0.0
    calls: int = 0
    succeeded: int = 0
    runs: int = 0
    orders: int = 0
    faults: int = 0
    timeline: str = ""
    ends: dict[str, int] = {}
    """The number of attempts for each kind of end."""
    judged: dict[str, int] = {}
    """The number of things that each check of the observer judged."""
    in_force_seconds: list[float] = []
    """The times from each acknowledgement of a version to the first poll of each router that showed it."""

    @property
    def passed(self) -> bool:
        return not self.violations and not self.problems

    def summary(self) -> str:
        speed = self.simulated_seconds / max(self.processor_seconds, 1e-6)
        return (
            f"{self.scenario} seed {self.seed}: {'passed' if self.passed else 'FAILED'}; "
            f"{self.calls} calls, {self.succeeded} succeeded, {self.orders} orders, {self.faults} faults, "
            f"{self.simulated_seconds:.0f} simulated s in {self.real_seconds:.1f} s, "
            f"{self.processor_seconds:.1f} of the processor's ({speed:.1f}x)"
        )

    def full(self, timeline: bool = True) -> str:
        lines = [self.summary(), "  " + ", ".join(f"{count} {end}" for end, count in self.ends.items())]
        lines += [f"  {violation}" for violation in self.violations[:20]]
        if len(self.violations) > 20:
            lines.append(f"  ... and {len(self.violations) - 20} more")
        lines += [f"  {problem}" for problem in self.problems]
        if timeline and not self.passed:
            lines += ["  time line:", self.timeline]
        return "\n".join(lines)


# -- the lines of a scenario

Maker = Callable[[re.Match[str]], tuple[Callable[[Fleet], None], float]]
NAME = r"(?P<name>all [a-z]+|[a-z0-9][a-z0-9-]*)"
SECONDS = r"(?P<seconds>\d+(?:\.\d+)?)"
_LINES: list[tuple[re.Pattern[str], Maker, str]] = []


def _line(pattern: str, shown: str) -> Callable[[Maker], Maker]:
    def add(maker: Maker) -> Maker:
        _LINES.append((re.compile(pattern), maker, shown))
        return maker

    return add


def help_text() -> str:
    """Returns the lines that a scenario may contain, with explanations."""
    return "\n".join(f"at T {shown}" for _, _, shown in _LINES)


def _seconds(match: re.Match[str], default: float = 0.0) -> float:
    found = match.groupdict().get("seconds")
    return float(found) if found else default


@_line(
    rf"kill {NAME}(?: for {SECONDS})?", "kill NAME [for S]          SIGKILL; restarted after S seconds (1 by default)"
)
def _kill(match: re.Match[str]) -> tuple[Callable[[Fleet], None], float]:
    seconds = _seconds(match, 1.0)
    return lambda fleet: fleet.kill(match["name"], seconds), seconds


@_line(rf"freeze {NAME} for {SECONDS}", "freeze NAME for S          SIGSTOP, then SIGCONT")
def _freeze(match: re.Match[str]) -> tuple[Callable[[Fleet], None], float]:
    return lambda fleet: fleet.freeze(match["name"], _seconds(match)), _seconds(match)


@_line(rf"terminate {NAME}", "terminate NAME             SIGTERM; restarted after its process ended")
def _terminate(match: re.Match[str]) -> tuple[Callable[[Fleet], None], float]:
    return lambda fleet: fleet.terminate(match["name"]), 25.0


@_line(rf"roll {NAME} every {SECONDS}", "roll NAME every S          SIGTERM to one after another")
def _roll(match: re.Match[str]) -> tuple[Callable[[Fleet], None], float]:
    every = _seconds(match)

    def roll(fleet: Fleet) -> None:
        for number, process in enumerate(fleet.processes_named(match["name"])):
            fleet.world.at(fleet.world.now + number * every, lambda name=process.name: fleet.terminate(name))  # type: ignore[misc]

    return roll, every * 14 + 25.0


@_line(
    rf"power off {NAME} for {SECONDS}", "power off NAME for S       the machine loses power without a reset, then boots"
)
def _power_off(match: re.Match[str]) -> tuple[Callable[[Fleet], None], float]:
    return lambda fleet: fleet.power_off(match["name"], _seconds(match)), _seconds(match)


@_line(
    rf"cut {NAME} (?P<way>from|to) (?P<other>[a-z0-9][a-z0-9-]*) for {SECONDS}",
    "cut NAME from OTHER for S  both ways; `to` instead of `from`: one way only",
)
def _cut(match: re.Match[str]) -> tuple[Callable[[Fleet], None], float]:
    both = match["way"] == "from"
    return lambda fleet: fleet.cut(match["name"], match["other"], _seconds(match), both), _seconds(match)


@_line(
    rf"cut off {NAME}(?P<way> inward| outward)?(?P<daemons> from daemons)? for {SECONDS}",
    "cut off NAME [inward|outward] [from daemons] for S   from all daemons and workers, not from callers",
)
def _cut_off(match: re.Match[str]) -> tuple[Callable[[Fleet], None], float]:
    direction = {" inward": "in", " outward": "out", None: "both"}[match["way"]]
    return lambda fleet: fleet.cut_off(match["name"], _seconds(match), direction, not match["daemons"]), _seconds(match)


@_line(rf"isolate {NAME} for {SECONDS}", "isolate NAME for S         from everything")
def _isolate(match: re.Match[str]) -> tuple[Callable[[Fleet], None], float]:
    return lambda fleet: fleet.isolate(match["name"], _seconds(match)), _seconds(match)


@_line(
    rf"replace {NAME}", "replace CONTROL            its machine is lost; an empty one at a new address takes its place"
)
def _replace(match: re.Match[str]) -> tuple[Callable[[Fleet], None], float]:
    return lambda fleet: _ignore(fleet.replace_control(match["name"])), 1.0


@_line(
    rf"wipe {NAME}(?P<under> under it)?",
    "wipe NAME [under it]       the disk is emptied; the process is killed first unless `under it`",
)
def _wipe(match: re.Match[str]) -> tuple[Callable[[Fleet], None], float]:
    return lambda fleet: fleet.wipe(match["name"], kill=not match["under"]), 1.0


@_line(
    rf"disk {NAME} (?P<mode>slow|stalled|full|failing) for {SECONDS}",
    "disk NAME slow|stalled|full|failing for S",
)
def _disk(match: re.Match[str]) -> tuple[Callable[[Fleet], None], float]:
    return lambda fleet: fleet.disk(match["name"], match["mode"], _seconds(match)), _seconds(match)


@_line(
    rf"slow {NAME} by (?P<by>\d+(?:\.\d+)?) for {SECONDS}",
    "slow NAME by D for S       all its traffic takes D seconds longer",
)
def _slow(match: re.Match[str]) -> tuple[Callable[[Fleet], None], float]:
    return lambda fleet: fleet.slow(match["name"], float(match["by"]), _seconds(match)), _seconds(match)


@_line(rf"worker {NAME} drains", "worker NAME drains         announces its drain; a new incarnation starts 10 s later")
def _worker_drains(match: re.Match[str]) -> tuple[Callable[[Fleet], None], float]:
    def drain(fleet: Fleet) -> None:
        fleet.world.note("world", "drain", worker=match["name"])

        async def work() -> None:
            fleet.workers[match["name"]].drain()

        fleet.world.spawn(fleet.world.processes[match["name"]], work(), "drain")
        fleet.world.at(fleet.world.now + 10.0, lambda: fleet.world.restart(match["name"]))

    return drain, 10.0


@_line(
    rf"worker {NAME} restarts empty",
    "worker NAME restarts empty a new incarnation at the same address without its KV cache",
)
def _worker_restarts(match: re.Match[str]) -> tuple[Callable[[Fleet], None], float]:
    def restart(fleet: Fleet) -> None:
        fleet.fault("worker-restart", match["name"], ended=True)
        fleet.world.restart(match["name"])

    return restart, 0.5


_WORKER_FAULTS = {
    "breaks mid-event": "break-mid-event",
    "trails stray bytes": "stray-bytes",
    "lies about its load": "lie-about-load",
    "closes without an answer": "close-without-answer",
    "answers late": "late",
    "answers errors": "error-status",
}


@_line(
    rf"worker {NAME} (?P<fault>{'|'.join(_WORKER_FAULTS)}) for {SECONDS}",
    "worker NAME breaks mid-event|trails stray bytes|lies about its load|closes without an answer|"
    "answers late|answers errors for S",
)
def _worker_fault(match: re.Match[str]) -> tuple[Callable[[Fleet], None], float]:
    def switch(fleet: Fleet) -> None:
        fault = fleet.fault(f"worker-{_WORKER_FAULTS[match['fault']]}", match["name"])
        fleet.world.note("world", "worker-fault", worker=match["name"], fault=match["fault"])
        kind: Any = _WORKER_FAULTS[match["fault"]]
        fleet.workers[match["name"]].active_faults.activate(WorkerFault(kind, seconds=3.0))

        def back() -> None:
            fleet.workers[match["name"]].active_faults.activate(WorkerFault("none"))
            fleet.end_fault(fault)

        fleet.world.at(fleet.world.now + _seconds(match), back)

    return switch, _seconds(match)


@_line(
    r"push set (?P<field>[a-z]+/[a-z0-9-]+\.[a-z_]+)=(?P<value>\S+)(?P<lost> losing the answer)?(?: via (?P<via>\S+))?"
    r"(?: by (?P<operator>operator-[12]))?",
    "push set SLICE.FIELD=VALUE [losing the answer] [via DAEMON] [by OPERATOR]",
)
def _push(match: re.Match[str]) -> tuple[Callable[[Fleet], None], float]:
    value = msgspec.json.decode(match["value"])

    def push(fleet: Fleet) -> None:
        operator = fleet.operators[match["operator"] or "operator-1"]
        change = set_field(match["field"], value)
        fleet.by_operator(
            operator.name,
            operator.push(change, match["field"], via=match["via"], lose_answers=1 if match["lost"] else 0),
        )

    return push, 0.5


@_line(
    r"race set (?P<field>[a-z]+/[a-z0-9-]+\.[a-z_]+)=(?P<one>\S+) against (?P<other>\S+)",
    "race set SLICE.FIELD=ONE against OTHER   two operators on one version",
)
def _race(match: re.Match[str]) -> tuple[Callable[[Fleet], None], float]:
    def race(fleet: Fleet) -> None:
        for name, value in (("operator-1", match["one"]), ("operator-2", match["other"])):
            operator = fleet.operators[name]
            change = set_field(match["field"], msgspec.json.decode(value))
            fleet.by_operator(name, operator.push(change, f"race {match['field']}={value}"))

    return race, 0.5


@_line(
    rf"storm of (?P<count>\d+) pushes in {SECONDS}", "storm of N pushes in S     by both operators, one after another"
)
def _storm(match: re.Match[str]) -> tuple[Callable[[Fleet], None], float]:
    count, seconds = int(match["count"]), _seconds(match)

    def storm(fleet: Fleet) -> None:
        async def pushes(name: str) -> None:
            operator = fleet.operators[name]
            started = fleet.world.now
            for number in range(count // 2):
                value: dict[str, object] = {"name": f"storm-{name}", "weight": 1.0 + number}
                pushing = operator.push(
                    put_slice(f"class/storm-{name}", value), f"storm {number}", on_conflict_again=True
                )
                await pushing
                await asyncio.sleep(max(0.0, started + seconds * (number + 1) / (count // 2) - fleet.world.now))

        for name in ("operator-1", "operator-2"):
            fleet.by_operator(name, pushes(name))

    return storm, seconds


@_line(r"push invalid", "push invalid               wrong signature, wrong root, unknown pool, no JSON: all refused")
def _invalid(match: re.Match[str]) -> tuple[Callable[[Fleet], None], float]:
    def push(fleet: Fleet) -> None:
        operator = fleet.operators["operator-2"]

        async def work() -> None:
            base, before = await operator.latest()
            for invalid in _invalid_slices(before):
                seen, order = operator.prepare(base, before, invalid, "invalid")
                seen.intended = "invalid"
                await operator.send(seen, order)
            seen, order = operator.prepare(base, before, dict(before), "wrong signature")
            seen.intended = "invalid"
            manifest = msgspec.structs.replace(order.manifest, signature=bytes(64))
            await operator.send(seen, msgspec.structs.replace(order, manifest=manifest))

        fleet.by_operator(operator.name, work())

    return push, 2.0


def _invalid_slices(before: Slices) -> list[Slices]:
    service = next(name for name in sorted(before) if name.startswith("service/"))
    tenant = next(name for name in sorted(before) if name.startswith("tenant/"))
    unknown = {**msgspec.json.decode(before[tenant]), "priority_class": "no-such-class"}
    odd = {**msgspec.json.decode(before[service]), "deadline": "soon"}
    return [
        {**before, tenant: canonical_json(unknown)},
        {**before, service: canonical_json(odd)},
        {**before, service: b"{"},
        {**before, SliceName("nonsense"): b"{}"},
    ]


@_line(
    r"push large (?P<kilobytes>\d+) KB",
    "push large N KB            a valid change of that much, other content each time",
)
def _large(match: re.Match[str]) -> tuple[Callable[[Fleet], None], float]:
    def push(fleet: Fleet) -> None:
        operator = fleet.operators["operator-1"]

        stamp = int(fleet.world.now * 1000)

        def grow(slices: Slices) -> Slices:
            grown = dict(slices)
            for number in range(int(match["kilobytes"]) // 50):
                keys = [f"{stamp:08x}{number:08x}{index:048x}" for index in range(700)]
                value: dict[str, object] = {
                    "name": f"large-{number}",
                    "priority_class": fleet.shape.classes[0].name,
                    "paid_rate": 1.0,
                    "keys": keys,
                }
                grown[SliceName(f"tenant/large-{number}")] = canonical_json(value)
            return grown

        fleet.by_operator(operator.name, operator.push(grow, "large"))

    return push, 2.0


@_line(rf"remove key of {NAME}", "remove key of TENANT       its callers continue to use it and get no new one")
def _remove_key(match: re.Match[str]) -> tuple[Callable[[Fleet], None], float]:
    def remove(fleet: Fleet) -> None:
        operator = fleet.operators["operator-2"]
        key = fleet.caller_keys[match["name"]]
        change = set_field(f"tenant/{match['name']}.keys", [])
        fleet.by_operator(operator.name, operator.push(change, f"remove key of {match['name']}", removed_keys=(key,)))

    return remove, 0.5


@_line(
    rf"flood {NAME} (?P<service>[a-z-]+) (?P<rate>\d+)/s for {SECONDS}(?: through (?P<router>\S+))?",
    "flood TENANT SERVICE N/s for S [through ROUTER]",
)
def _flood(match: re.Match[str]) -> tuple[Callable[[Fleet], None], float]:
    def flood(fleet: Fleet) -> None:
        callers = fleet.callers[match["name"]]
        fleet.world.note("world", "flood", tenant=match["name"], rate=match["rate"])
        process = fleet.world.processes[callers.plan.machine]
        work = callers.flood(match["service"], float(match["rate"]), _seconds(match))
        if match["router"]:
            callers.only_router = match["router"]

            def free() -> None:
                callers.only_router = None

            fleet.world.at(fleet.world.now + _seconds(match) + 1.0, free)
        fleet.world.spawn(process, work, "flood")

    return flood, _seconds(match)


@_line(
    rf"callers of {NAME} leave after (?P<after>\d+(?:\.\d+)?) for {SECONDS}",
    "callers of TENANT leave after T for S   they close their connections T seconds after sending a call",
)
def _leave(match: re.Match[str]) -> tuple[Callable[[Fleet], None], float]:
    def leave(fleet: Fleet) -> None:
        callers = fleet.callers[match["name"]]
        callers.disconnect_after_s = float(match["after"])

        def stay() -> None:
            callers.disconnect_after_s = None

        fleet.world.at(fleet.world.now + _seconds(match), stay)

    return leave, _seconds(match)


@_line(
    rf"crowd (?P<factor>\d+(?:\.\d+)?) for {SECONDS}", "crowd F for S              F times the traffic of the scenario"
)
def _crowd(match: re.Match[str]) -> tuple[Callable[[Fleet], None], float]:
    def crowd(fleet: Fleet) -> None:
        usual = {name: callers.traffic_factor for name, callers in fleet.callers.items()}
        fault = fleet.fault("crowd", "all routers")
        for callers in fleet.callers.values():
            callers.traffic_factor *= float(match["factor"])

        def leave() -> None:
            for name, callers in fleet.callers.items():
                callers.traffic_factor = usual[name]
            fleet.end_fault(fault)

        fleet.world.at(fleet.world.now + _seconds(match), leave)

    return crowd, _seconds(match)


def _ignore(_: object) -> None:
    return None


# -- parsing


def read_step(line: str) -> Step:
    """Parses a line ``at T WHAT``; raises ScenarioError."""
    match = re.fullmatch(r"at (\d+(?:\.\d+)?) (.+)", line)
    if match is None:
        raise ScenarioError(f"{line!r}: expected `at SECONDS WHAT`")
    at, what = float(match[1]), match[2]
    for pattern, maker, _ in _LINES:
        found = pattern.fullmatch(what)
        if found is not None:
            action, lasts = maker(found)
            return Step(at, line, action, lasts)
    raise ScenarioError(f"{line!r}: unknown line; the lines are\n{help_text()}")


def read_scenario(text: str, name: str) -> Scenario:
    """Parses the text of a scenario file; raises ScenarioError with the number of the faulty line."""
    scenario = Scenario(name=name)
    about = []
    for number, raw in enumerate(text.splitlines(), 1):
        line = raw.strip()
        try:
            if line.startswith("#"):
                about.append(line.lstrip("# "))
            elif line:
                _read_line(scenario, line)
        except (ScenarioError, ValueError) as problem:
            raise ScenarioError(f"{name}, line {number}: {problem}") from None
    scenario.about = " ".join(about)
    scenario.steps.sort(key=lambda step: step.at)
    return scenario


def _read_line(scenario: Scenario, line: str) -> None:
    word, _, rest = line.partition(" ")
    match word:
        case "at":
            scenario.steps.append(read_step(line))
        case "expect":
            _expectation(rest)
            scenario.expects.append(rest)
        case "deployment":
            scenario.deployment = rest
        case "seeds":
            scenario.seeds = tuple(int(seed) for seed in rest.split())
        case "traffic":
            scenario.traffic = float(rest)
        case "calm":
            scenario.calm = float(rest)
        case "broken":
            scenario.broken = rest
        case _:
            raise ScenarioError(f"{line!r}: expected at, expect, deployment, seeds, traffic, calm or broken")


# -- expectations beyond the observer's checks

Expectation = Callable[[Fleet, Sequence[Violation]], str]
"""Returns an empty text when the expectation holds, otherwise what was found instead."""


def _expectation(text: str) -> Expectation:
    if match := re.fullmatch(r"violation ([a-z-]+)", text):
        wanted = match[1]
        return lambda _, violations: (
            ""
            if any(each.check == wanted for each in violations)
            else f"the check {wanted} did not detect the broken variant"
        )
    if match := re.fullmatch(r"newest version (\d+)", text):
        version = int(match[1])
        return lambda fleet, _: _compare(
            "newest version", version, max(fleet.history.final_versions.values(), default=0)
        )
    if match := re.fullmatch(r"(\d+) orders (accepted|conflict|invalid)", text):
        count, outcome = int(match[1]), match[2]
        return lambda fleet, _: _compare(
            f"orders {outcome}",
            count,
            sum(any(answer.outcome == outcome for answer in order.answers) for order in fleet.history.orders[1:]),
        )
    if match := re.fullmatch(r"at least (\d+)% of calls succeed", text):
        share = int(match[1])
        return lambda fleet, _: _enough(share, fleet)
    raise ScenarioError(
        f"{text!r}: expected `violation CHECK`, `newest version N`, `N orders accepted|conflict|invalid` "
        "or `at least N% of calls succeed`"
    )


def _compare(what: str, expected: object, found: object) -> str:
    return "" if expected == found else f"{what}: expected {expected}, found {found}"


def _enough(share: int, fleet: Fleet) -> str:
    calls = [call for call in fleet.history.calls if call.attempts]
    succeeded = sum(call.succeeded for call in calls)
    return "" if succeeded * 100 >= share * len(calls) else f"{succeeded} of {len(calls)} calls succeeded, not {share}%"


# -- running


def bounds_for(fleet: Fleet) -> Bounds:
    """Returns the observer's limits for the deployment of a fleet."""
    removed = fleet.shape.removed_key_bound
    return Bounds(removed_key=None if removed is None else removed + 0.3)


def topology_of(fleet: Fleet) -> Topology:
    """Returns the processes and machines of a fleet at the end of its run."""
    controls = set()
    for process in fleet.world.processes.values():
        if process.tags.get("role") == "control":
            controls |= {process.name, process.machine.name}
    return Topology(
        machine_of={process.name: process.machine.name for process in fleet.world.processes.values()},
        controls=frozenset(controls),
        routers=frozenset(fleet.names("router")),
    )


def run_scenario(scenario: Scenario, seed: int, factories: DaemonFactories | None = None) -> Report:
    """Runs a scenario with one seed, judges the run and returns its report."""
    started, processor_begun = time.perf_counter(), time.process_time()
    shape = shape_named(scenario.deployment)
    if scenario.broken:
        from .broken import broken_factories  # noqa: PLC0415

        factories = broken_factories(scenario.broken)
    with World(seed, network_shape(shape)) as world:
        fleet = Fleet(world, shape, factories)
        report = Report(scenario=scenario.name, seed=seed, violations=[], problems=[])
        try:
            _drive(scenario, fleet)
            fleet.read_back()
        except TimeoutError as late:
            report.problems.append(str(late))
        _judge(scenario, fleet, report)
        report.digest = world.digest()
        report.simulated_seconds = world.now
        report.timeline = _timeline(fleet)
    report.real_seconds = time.perf_counter() - started
    report.processor_seconds = time.process_time() - processor_begun
    return report


def _drive(scenario: Scenario, fleet: Fleet) -> None:
    world = fleet.world
    fleet.start()
    fleet.put_in_force(FIRST_BUNDLE_TIMEOUT_S)
    start = world.now
    world.note("world", "first-bundle-in-force")
    fleet.set_traffic(scenario.traffic)
    for step in scenario.steps:
        fleet.run(max(0.0, start + step.at - world.now))
        world.note("world", "step", line=step.line)
        step.action(fleet)
    fleet.run(max(0.0, start + scenario.length() - world.now))
    longest = world.now + 60.0
    while (
        any(fault.ended_at is None and fault.kind != "replace" for fault in fleet.history.faults)
        and world.now < longest
    ):
        fleet.run(0.5)
    fleet.run(scenario.calm)
    fleet.set_traffic(0.0)
    for callers in fleet.callers.values():
        callers.stopped = True
    fleet.run(LAST_ANSWERS_S)


def _judge(scenario: Scenario, fleet: Fleet, report: Report) -> None:
    history, world = fleet.history, fleet.world
    judged: Counter[str] = Counter()
    violations = judge(history, topology_of(fleet), bounds_for(fleet), world.now, judged)
    report.judged = {check: judged[check] for check in CHECKS}
    for text in world.broken_invariants:
        first, _, trace = text.partition("\n")
        at, _, where = first.partition(" ")
        last = trace.strip().splitlines()[-1] if trace.strip() else ""
        violations.append(Violation(float(at), "broken-invariant", f"{where}: {last}"))
    wanted = {text.removeprefix("violation ") for text in scenario.expects if text.startswith("violation ")}
    for text in scenario.expects:
        problem = _expectation(text)(fleet, violations)
        if problem:
            report.problems.append(f"expect {text}: {problem}")
    report.violations = [] if wanted else sorted(violations)
    report.calls = len(history.calls)
    report.succeeded = sum(call.succeeded for call in history.calls)
    report.runs = len(history.runs)
    report.orders = len(history.orders)
    report.faults = len(history.faults)
    report.in_force_seconds = _in_force_seconds(fleet)
    ends = Counter(_end_of(attempt) for attempt in history.attempts())
    report.ends = dict(sorted(ends.items(), key=lambda item: (-item[1], item[0])))


def _end_of(attempt: Attempt) -> str:
    if attempt.succeeded:
        return "succeeded"
    if attempt.code:
        return f"{attempt.status} {attempt.code} {attempt.reported_run}"
    return f"{attempt.end} {attempt.status or ''}".strip()


def _in_force_seconds(fleet: Fleet) -> list[float]:
    found = []
    for order in fleet.history.orders:
        if order.accepted is None:
            continue
        for router in fleet.names("router"):
            poll_times = [
                poll.answered_at
                for poll in fleet.history.versions
                if poll.daemon == router and poll.version >= order.accepted.version
            ]
            if poll_times:
                found.append(max(0.0, poll_times[0] - order.accepted.answered_at))
    return found


TIMELINE_NAMES = {
    "step",
    "kill",
    "start",
    "freeze",
    "wake",
    "cut",
    "cut-off",
    "isolate",
    "heal",
    "power-off",
    "power-on",
    "wipe",
    "disk",
    "replaced",
    "terminate",
    "drain",
    "worker-fault",
    "order-answered",
    "order-given-up",
    "operator-gave-up",
    "door-ready",
    "door-not-ready",
    "invariant-broken",
    "unhandled-exception",
    "process-stopped",
    "start-failed",
    "first-bundle-in-force",
}


def _timeline(fleet: Fleet) -> str:
    return fleet.world.timeline(last=150, names=TIMELINE_NAMES)


def find_scenarios(root: Path) -> list[Path]:
    """Returns all scenario files below a folder, sorted by path."""
    return sorted(path for path in root.rglob("*.scenario") if ".venv" not in path.parts)


def load(path: Path) -> Scenario:
    """Reads and parses a scenario file."""
    return read_scenario(path.read_text(), path.stem.removeprefix("scenario_"))
