"""Counts and times of the request path, in the daemon's own registry (docs/DESIGN.md section 15)."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from .protocols import Answer, Forwarded, IncomingCall, NotAnswered, Refused

_FIRST_TOKEN = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.42, 0.6, 1.0, 1.5, 2.0, 3.0, 4.0, 8.0)
_TOTAL = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0)


class RequestMetrics:
    """Labels are services and outcomes, never tenants or sessions: their number is not bounded."""

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
            buckets=_FIRST_TOKEN,
            registry=registry,
        )
        self._total = Histogram(
            "wingwood_call_seconds", "Arrival to end", ("service",), buckets=_TOTAL, registry=registry
        )
        self._pieces = Counter("wingwood_pieces", "Pieces given to callers", ("service",), registry=registry)
        self._tokens = Counter(
            "wingwood_generated_tokens", "Events of streams given to callers", ("service",), registry=registry
        )
        self.in_flight = Gauge("wingwood_calls_in_flight", "Calls under way", registry=registry)
        self.connections = Gauge("wingwood_caller_connections", "Connections of callers", registry=registry)

    def count(self, call: IncomingCall, answer: Answer, seconds: float) -> None:
        service = "none" if call.service is None else str(call.service.name)
        self._calls.labels(service, outcome_name(answer)).inc()
        self._total.labels(service).observe(seconds)
        if call.tries:
            self._placed.labels(service, call.how).inc()
        if call.tries > 1:
            self._tries.labels(service).inc(call.tries - 1)
        if call.first_token_after is not None:
            self._first_token.labels(service).observe(call.first_token_after)
            self._pieces.labels(service).inc(call.pieces)
            self._tokens.labels(service).inc(call.generated_tokens)


def outcome_name(answer: Answer) -> str:
    """``answered``, or the reason of a cut, or the code of a router-made answer."""
    match answer:
        case Forwarded():
            return "answered"
        case Refused(code=code) | NotAnswered(code=code):
            return code
    return f"cut-{answer.reason}"
