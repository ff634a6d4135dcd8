"""What an operator observes of the fleet: the routers' health and their call counters (docs/DESIGN.md section 19.4)."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import msgspec
from prometheus_client.parser import text_string_to_metric_families

from ..identifiers import BundleVersion, DaemonName, Incarnation
from ..transport.frames import Identity

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
        """Returns the members that are routers."""
        return [member for member in self.members if member.role == "router"]

    def serves(self, name: DaemonName) -> bool:
        """Returns whether the router answered and is ready."""
        router_status = self.router_statuses.get(name)
        return router_status is not None and router_status.ready

    def version_of(self, name: DaemonName) -> BundleVersion:
        """Returns the bundle version that the router applies; 0 when it did not answer."""
        router_status = self.router_statuses.get(name)
        return BundleVersion(0) if router_status is None else router_status.version


class CallSummary(msgspec.Struct, frozen=True, kw_only=True):
    """Number of calls between two observations, and how many of them failed or were refused."""

    calls: float = 0.0
    failures: float = 0.0
    refusals: float = 0.0

    def share(self, bad_calls: float) -> float:
        """Returns ``bad_calls`` as a share of all calls; 0 when there were none."""
        return bad_calls / self.calls if self.calls else 0.0

    def describe(self) -> str:
        """Returns the summary as text for operators."""
        failed, refused = self.share(self.failures), self.share(self.refusals)
        return f"{self.calls:.0f} calls, {failed:.1%} failed, {refused:.1%} refused"


def read_counts(text: str) -> Counts:
    """Extracts ``wingwood_calls_total`` from the text of a router's ``/metrics``."""
    return {
        (sample.labels["service"], sample.labels["outcome"]): sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
        if sample.name == "wingwood_calls_total"
    }


def summarize_calls(
    names: Sequence[DaemonName], before: FleetStatus, after: FleetStatus, services: frozenset[str] | None
) -> CallSummary:
    """Sums the calls of the named routers between two observations; ``services`` None stands for all services."""
    calls = failures = refusals = 0.0
    for name in names:
        for (service, outcome), count in _counts_since(before, after, name):
            if outcome in CALLER_FAULT_OUTCOMES or (services is not None and service not in services):
                continue
            calls += count
            if outcome in REFUSAL_OUTCOMES or outcome.startswith("workers-"):
                refusals += count
            elif outcome != "answered":
                failures += count
    return CallSummary(calls=calls, failures=failures, refusals=refusals)


def _counts_since(before: FleetStatus, after: FleetStatus, name: DaemonName) -> list[tuple[tuple[str, str], float]]:
    """Returns the calls of one router between two observations, sorted by service and outcome.

    A router that restarted in between started its counters at zero, so its counts are taken in full.
    """
    earlier, later = before.router_statuses.get(name), after.router_statuses.get(name)
    if later is None:
        return []
    earlier_counts = earlier.counts if earlier is not None and earlier.incarnation == later.incarnation else {}
    return [(key, count - earlier_counts.get(key, 0.0)) for key, count in sorted(later.counts.items())]
