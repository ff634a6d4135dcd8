"""Exports the state of a router as Prometheus metrics (docs/DESIGN.md section 15.4)."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from prometheus_client import CollectorRegistry
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric

from ..operator_api.reading import HealthReport


class RouterStateCollector:
    """A Prometheus collector that reads the router's state at each scrape and stores nothing itself.

    ``placement_counts`` returns the decision counts of the reservation policy, and an empty mapping for other policies.
    """

    def __init__(
        self,
        health: Callable[[], HealthReport],
        placement_counts: Callable[[], Mapping[str, int]],
        unacknowledged_outcomes: Callable[[], int],
    ) -> None:
        self._health = health
        self._placement_counts = placement_counts
        self._unacknowledged_outcomes = unacknowledged_outcomes

    def add_to(self, registry: CollectorRegistry) -> None:
        """Registers this collector."""
        registry.register(self)

    def describe(self) -> Iterable[Metric]:
        """Returns nothing, so that registering the collector does not read the router's state."""
        return ()

    def collect(self) -> Iterable[Metric]:
        """Returns the metrics of the present state."""
        report = self._health()
        gauges = {
            "ready": ("1 while callers should be sent here", float(report.ready)),
            "bundle_version": ("Version in force", float(report.version)),
            "bundle_proof_age_seconds": (
                "Since it was proven the newest",
                report.bundle_proven_age,
            ),
            "session_age_seconds": ("Since control confirmed the session", report.session_age),
            "members": ("Daemons that are members", float(report.members)),
            "workers_ready": ("Workers announced as ready", float(report.workers_ready)),
            "ledger_unsettled": ("Outcomes not yet durable in the ledger", float(self._unacknowledged_outcomes())),
        }
        for name, (description, value) in gauges.items():
            if value is not None:
                yield GaugeMetricFamily(f"wingwood_{name}", description, value=value)
        decisions = CounterMetricFamily("wingwood_placement", "What the award policy did", labels=("what",))
        for decision, count in sorted(self._placement_counts().items()):
            decisions.add_metric((decision,), count)
        yield decisions
