"""Judges the stage of a roll-out by the health and the metrics of its routers (docs/DESIGN.md section 19.4)."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from typing import Literal

import msgspec
from prometheus_client.parser import text_string_to_metric_families

from ..bundle.model import Rollout
from ..bundle.rollouts import ALL_ROUTERS_STAGE
from ..bundle.variants import VariantTarget, selects
from ..identifiers import BundleVersion, DaemonName, Incarnation, Seconds
from ..transport.frames import Identity

MIN_BAD_CALLS = 5
"""Failures (or refusals) that a stage must have before their share is judged: below that, a share says nothing."""
MAX_RATIO_TO_REST = 1.5
"""The stage is rolled back only when its share of bad calls exceeds this multiple of the share elsewhere.

Below that, the entire fleet does badly and the change is not the cause.
"""
MAX_UNAVAILABLE_SHARE = 1 / 3
"""Share of a stage's routers that may be unreachable or not ready: machines also fail on ordinary days."""

MAX_UNAVAILABLE_S = Seconds(10.0)
"""Time for which too many routers may be unavailable: a frozen machine or a short partition causes no rollback."""

CALLER_FAULT_OUTCOMES = frozenset(
    [
        "key-missing",
        "key-unknown",
        "path-malformed",
        "no-route",
        "method-not-allowed",
        "service-not-allowed",
        "prefix-malformed",
        "idempotency-key-missing",
        "malformed-request",
        "headers-too-large",
        "body-too-large",
        "too-slow",
        "too-many-connections",
        "share-exceeded",
        "call-running",
        "call-ran",
        "call-unknown",
        "cut-caller-gone",
    ]
)
"""Outcomes that the caller caused itself; such calls are not counted at all."""
REFUSAL_OUTCOMES = frozenset(
    [
        "crowded",
        "overloaded",
        "too-late",
        "patience-passed",
        "bundle-not-proven",
        "service-changed",
        "ledger-unreachable",
        "router-draining",
        "router-stopping",
    ]
)
"""Outcomes of calls that were not run for lack of capacity or of a proof that the bundle is the latest.

Outcomes that begin with ``workers-`` count as refusals too. All others but ``answered`` are failures.
"""

Routers = Mapping[DaemonName, Identity]
Counts = Mapping[tuple[str, str], float]
"""Number of calls by service and outcome."""


class RouterStatus(msgspec.Struct, frozen=True, kw_only=True):
    """State and call counters of one router at one moment."""

    incarnation: Incarnation
    ready: bool
    version: BundleVersion
    counts: Counts


class FleetStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The members that control lists, and the status that each router reported; None for a router without an answer."""

    members: tuple[Identity, ...]
    router_statuses: Mapping[DaemonName, RouterStatus | None]

    def routers(self) -> list[Identity]:
        return [member for member in self.members if member.role == "router"]


class CallSummary(msgspec.Struct, frozen=True, kw_only=True):
    """Number of calls between two observations, and how many of them failed or were refused."""

    calls: float = 0.0
    failures: float = 0.0
    refusals: float = 0.0

    def share(self, bad: float) -> float:
        return bad / self.calls if self.calls else 0.0

    def describe(self) -> str:
        failed, refused = self.share(self.failures), self.share(self.refusals)
        return f"{self.calls:.0f} calls, {failed:.1%} failed, {refused:.1%} refused"


class Verdict(msgspec.Struct, frozen=True, kw_only=True):
    action: Literal["wait", "begin-anew", "go-on", "roll-back"]
    """What the runner does next.

    ``begin-anew`` restarts the watch, because the time watched so far says nothing about the change.
    """
    reason: str


def read_counts(text: str) -> Counts:
    """Extracts ``wingwood_calls_total`` from the text of a router's ``/metrics``."""
    return {
        (sample.labels["service"], sample.labels["outcome"]): sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
        if sample.name == "wingwood_calls_total"
    }


def in_stage(rollout: Rollout, stage: int, member: Identity) -> bool:
    """Whether a member belongs to the stage with this index or to an earlier one."""
    place = VariantTarget(member.zone, member.name)
    return any(whom == ALL_ROUTERS_STAGE or selects(whom, place) for whom in rollout.stages[: stage + 1])


def changed_services(rollout: Rollout) -> frozenset[str] | None:
    """Returns the services whose calls the change affects; None means all services."""
    names: set[str] = set()
    for change in rollout.changes:
        kind, _, bare = change.slice.partition("/")
        if kind == "class":
            return None
        names.update([bare] if kind == "service" else [str(change.before["service"]), str(change.after["service"])])
    return frozenset(names)


def summarize_calls(
    names: Sequence[DaemonName], before: FleetStatus, after: FleetStatus, services: frozenset[str] | None
) -> CallSummary:
    """Sums the calls of the named routers between two observations.

    A router that restarted in between started its counters at zero, so its counts are taken in full.
    """
    calls = failures = refusals = 0.0
    for name in names:
        then, now = before.router_statuses.get(name), after.router_statuses.get(name)
        if now is None:
            continue
        same = then is not None and then.incarnation == now.incarnation
        for (service, outcome), count in sorted(now.counts.items()):
            more = count - (then.counts.get((service, outcome), 0.0) if same and then is not None else 0.0)
            if outcome in CALLER_FAULT_OUTCOMES or (services is not None and service not in services):
                continue
            calls += more
            if outcome in REFUSAL_OUTCOMES or outcome.startswith("workers-"):
                refusals += more
            elif outcome != "answered":
                failures += more
    return CallSummary(calls=calls, failures=failures, refusals=refusals)


def judge(
    rollout: Rollout,
    version: BundleVersion,
    routers: Routers,
    before: FleetStatus,
    now: FleetStatus,
    watched: Seconds,
    unavailable_for: Seconds,
    min_calls: int,
) -> Verdict:
    """Decides what to do about the current stage.

    ``version`` is the bundle version that put the stage in place, and ``routers`` are all that were seen since
    then. ``before`` was observed when the watch started, ``watched`` seconds ago. ``unavailable_for`` is the time
    for which too many routers of the stage have been unavailable. The watch is extended until the stage has had
    ``min_calls`` calls.
    """
    stage, rest = split_routers(rollout, routers)
    if not stage and not rollout.reached:
        return Verdict(action="begin-anew", reason="no router of this stage is there")
    unavailable = [name for name in stage if not _serves(now, name)]
    rest_unavailable = [name for name in rest if not _serves(now, name)]
    if too_many_unavailable(rollout, routers, now):
        total = max(len(stage), rollout.reached)
        unknown = [f"{total - len(stage)} that control no longer lists"] if total > len(stage) else []
        names = ", ".join([*unavailable[:5], *unknown])
        message = (
            f"{len(unavailable) + total - len(stage)} of {total} routers of the stage are away or not ready: {names}"
        )
        if not rest and rollout.stages[rollout.stage] != ALL_ROUTERS_STAGE:
            return Verdict(action="begin-anew", reason=f"{message}; no others are to be seen either")
        if len(rest_unavailable) > MAX_UNAVAILABLE_SHARE * len(rest):
            return Verdict(
                action="begin-anew", reason=f"{message}; so are {len(rest_unavailable)} of the {len(rest)} others"
            )
        return Verdict(action="begin-anew" if unavailable_for < MAX_UNAVAILABLE_S else "roll-back", reason=message)
    behind = [name for name in stage if name not in unavailable and _version(now, name) < version]
    if behind:
        return Verdict(action="begin-anew", reason=f"version {version} is not in force yet on {', '.join(behind[:5])}")
    services = changed_services(rollout)
    here, there = summarize_calls(stage, before, now, services), summarize_calls(rest, before, now, services)
    for what, bad, elsewhere, highest in (
        ("failed", here.failures, there.failures, rollout.highest_failures),
        ("refused", here.refusals, there.refusals, rollout.highest_refusals),
    ):
        if bad < MIN_BAD_CALLS or here.share(bad) <= highest:
            continue
        message = f"{here.share(bad):.1%} of {here.calls:.0f} calls {what} (up to {highest:.1%} may)"
        if there.calls and here.share(bad) <= MAX_RATIO_TO_REST * there.share(elsewhere):
            return Verdict(
                action="begin-anew",
                reason=f"{message}, but so did {there.share(elsewhere):.1%} on the rest of the fleet",
            )
        return Verdict(action="roll-back", reason=message)
    left = rollout.watch - watched
    if left > 0:
        return Verdict(action="wait", reason=f"{here.describe()}; {left:.0f} s of watching left")
    if here.calls < min_calls:
        return Verdict(action="wait", reason=f"{here.describe()}; waiting for {min_calls} calls")
    return Verdict(action="go-on", reason=here.describe())


def split_routers(rollout: Rollout, routers: Routers) -> tuple[list[DaemonName], list[DaemonName]]:
    """Splits the routers into those of the stage and the others; both lists are sorted by name."""
    stage = [name for name in sorted(routers) if in_stage(rollout, rollout.stage, routers[name])]
    return stage, [name for name in sorted(routers) if name not in stage]


def too_many_unavailable(rollout: Rollout, routers: Routers, now: FleetStatus) -> bool:
    """Whether more of the stage's routers are unavailable than ``MAX_UNAVAILABLE_SHARE`` allows.

    Routers that control no longer lists count too: ``rollout.reached`` says how many the stage had.
    """
    stage, _ = split_routers(rollout, routers)
    total = max(len(stage), rollout.reached)
    return total - sum(_serves(now, name) for name in stage) > MAX_UNAVAILABLE_SHARE * total


def count_stage_routers(rollout: Rollout, stage: int, routers: Iterable[Identity]) -> int:
    """Counts the routers that belong to the stage; returns 0 for a stage beyond the last one."""
    return 0 if stage >= len(rollout.stages) else sum(in_stage(rollout, stage, each) for each in routers)


def _serves(fleet_status: FleetStatus, name: DaemonName) -> bool:
    router_status = fleet_status.router_statuses.get(name)
    return router_status is not None and router_status.ready


def _version(fleet_status: FleetStatus, name: DaemonName) -> BundleVersion:
    router_status = fleet_status.router_statuses.get(name)
    return BundleVersion(0) if router_status is None else router_status.version
