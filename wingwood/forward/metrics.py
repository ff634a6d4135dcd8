"""Prometheus metrics of the request path, in the daemon's own registry (docs/DESIGN.md section 15)."""

from __future__ import annotations

import msgspec
from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from .protocols import Answer, Forwarded, IncomingCall, NotAnswered, Refused

_FIRST_CHUNK_BUCKETS_SECONDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.42, 0.6, 1.0, 1.5, 2.0, 3.0, 4.0, 8.0)
_TOTAL_BUCKETS_SECONDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0)


class RequestMetrics:
    """The metrics; their labels are services and outcomes, never tenants or sessions, whose number has no limit."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self._calls = Counter("wingwood_calls", "Calls by outcome", ("service", "outcome"), registry=registry)
        self._placed = Counter(
            "wingwood_placed", "Calls sent to a worker, by how it was chosen", ("service", "how"), registry=registry
        )
        self._tries = Counter(
            "wingwood_further_tries", "Tries beyond the first of a call", ("service",), registry=registry
        )
        self._first_token = Histogram(
            "wingwood_first_piece_seconds",
            "Arrival to first piece",
            ("service",),
            buckets=_FIRST_CHUNK_BUCKETS_SECONDS,
            registry=registry,
        )
        self._total = Histogram(
            "wingwood_call_seconds",
            "Arrival to end",
            ("service",),
            buckets=_TOTAL_BUCKETS_SECONDS,
            registry=registry,
        )
        self._chunks = Counter("wingwood_pieces", "Pieces given to callers", ("service",), registry=registry)
        self._tokens = Counter(
            "wingwood_generated_tokens", "Events of streams given to callers", ("service",), registry=registry
        )
        self._outcome_counters: dict[tuple[str, str], Counter] = {}
        self._placed_counters: dict[tuple[str, str], Counter] = {}
        self._service_metrics: dict[str, _ServiceMetrics] = {}
        self.in_flight = Gauge("wingwood_calls_in_flight", "Calls under way", registry=registry)
        self.connections = Gauge("wingwood_caller_connections", "Connections of callers", registry=registry)

    def count(self, call: IncomingCall, answer: Answer, seconds: float) -> None:
        """Counts a call that ended ``seconds`` after it was received."""
        service = "none" if call.service is None else str(call.service.name)
        service_metrics = self._metrics_of(service)
        outcome = outcome_name(answer)
        self._labelled(self._outcome_counters, self._calls, service, outcome).inc()
        service_metrics.total.observe(seconds)
        if call.tries:
            self._labelled(self._placed_counters, self._placed, service, call.placement_reason).inc()
        if call.tries > 1:
            service_metrics.tries.inc(call.tries - 1)
        if call.first_token_after is not None:
            service_metrics.first_token.observe(call.first_token_after)
            service_metrics.chunks.inc(call.chunks)
            service_metrics.tokens.inc(call.generated_tokens)

    def _metrics_of(self, service: str) -> _ServiceMetrics:
        """Returns the service's metrics from a cache, because a look-up by labels costs more than counting."""
        found = self._service_metrics.get(service)
        if found is None:
            found = self._service_metrics[service] = _ServiceMetrics(
                total=self._total.labels(service),
                first_token=self._first_token.labels(service),
                tries=self._tries.labels(service),
                chunks=self._chunks.labels(service),
                tokens=self._tokens.labels(service),
            )
        return found

    @staticmethod
    def _labelled(known: dict[tuple[str, str], Counter], counter: Counter, service: str, label: str) -> Counter:
        child = known.get((service, label))
        if child is None:
            child = known[service, label] = counter.labels(service, label)
        return child


class _ServiceMetrics(msgspec.Struct, frozen=True):
    total: Histogram
    first_token: Histogram
    tries: Counter
    chunks: Counter
    tokens: Counter


def outcome_name(answer: Answer) -> str:
    """Returns ``answered``, ``cut-`` and the reason of an abort, or the code of an answer made by the router."""
    match answer:
        case Forwarded():
            return "answered"
        case Refused(code=code) | NotAnswered(code=code):
            return code
    return f"cut-{answer.reason}"
