"""Prometheus metrics of the request path, in the daemon's own registry (docs/DESIGN.md section 15)."""

from __future__ import annotations

import msgspec
from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from .calls import IncomingCall
from .results import AttemptFailure, CallResult, Forwarded, Rejection

_FIRST_CHUNK_BUCKETS_SECONDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.42, 0.6, 1.0, 1.5, 2.0, 3.0, 4.0, 8.0)
_TOTAL_BUCKETS_SECONDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0)


class RequestMetrics:
    """The metrics; their labels are services and outcomes, never tenants or sessions, whose number has no limit."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self._calls = Counter("wingwood_calls", "Calls by outcome", ("service", "outcome"), registry=registry)
        self._placed = Counter(
            "wingwood_placed", "Calls sent to a worker, by how it was chosen", ("service", "how"), registry=registry
        )
        self._retries = Counter(
            "wingwood_further_tries", "Tries beyond the first of a call", ("service",), registry=registry
        )
        self._first_chunk = Histogram(
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
        self.left_unanswered = Counter(
            "wingwood_calls_left_unanswered", "Calls that ended without an answer and were cut off", registry=registry
        )
        self.failed = Counter("wingwood_calls_failed", "Unexpected errors of single calls", registry=registry)
        self.in_flight = Gauge("wingwood_calls_in_flight", "Calls under way", registry=registry)
        self.connections = Gauge("wingwood_caller_connections", "Connections of callers", registry=registry)

    def count(self, call: IncomingCall, result: CallResult, seconds: float) -> None:
        """Counts a call that ended ``seconds`` after it was received."""
        service = "none" if call.attributes.service is None else str(call.attributes.service.name)
        service_metrics = self._metrics_of(service)
        self._labelled(self._outcome_counters, self._calls, service, outcome_name(result)).inc()
        service_metrics.total.observe(seconds)
        history, stats = call.history, call.stats
        if history.attempts:
            self._labelled(self._placed_counters, self._placed, service, history.placement_method).inc()
        if history.attempts > 1:
            service_metrics.retries.inc(history.attempts - 1)
        if stats.first_chunk_after is not None:
            service_metrics.first_chunk.observe(stats.first_chunk_after)
            service_metrics.chunks.inc(stats.chunks)
            service_metrics.tokens.inc(stats.generated_tokens)

    def _metrics_of(self, service: str) -> _ServiceMetrics:
        """Returns the service's metrics from a cache, because a look-up by labels costs more than counting."""
        metrics = self._service_metrics.get(service)
        if metrics is None:
            metrics = self._service_metrics[service] = _ServiceMetrics(
                total=self._total.labels(service),
                first_chunk=self._first_chunk.labels(service),
                retries=self._retries.labels(service),
                chunks=self._chunks.labels(service),
                tokens=self._tokens.labels(service),
            )
        return metrics

    @staticmethod
    def _labelled(cache: dict[tuple[str, str], Counter], counter: Counter, service: str, label: str) -> Counter:
        child = cache.get((service, label))
        if child is None:
            child = cache[service, label] = counter.labels(service, label)
        return child


class _ServiceMetrics(msgspec.Struct, frozen=True):
    """The metrics of one service."""

    total: Histogram
    first_chunk: Histogram
    retries: Counter
    chunks: Counter
    tokens: Counter


def outcome_name(result: CallResult) -> str:
    """Returns ``answered``, ``cut-`` and the reason of an abort, or the code of a response made by the router."""
    match result:
        case Forwarded():
            return "answered"
        case Rejection(code=code) | AttemptFailure(code=code):
            return code
    return f"cut-{result.reason}"
