"""Stores, prints and compares the measurements of replays (docs/DESIGN.md section 17)."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import msgspec

from .timing import Timing

PREFIX_HIT_METHODS = ("award", "claim")
"""Values of ``Wingwood-Award`` for turns that were sent to a worker believed to have their prefix cached."""


class ServiceReport(msgspec.Struct, kw_only=True):
    """Measurements of the calls of one service."""

    calls: int = 0
    complete: int = msgspec.field(name="whole", default=0)
    outcomes: dict[str, int] = msgspec.field(default_factory=dict)
    """Number of calls by the outcome that the caller saw.

    Outcomes are whole, refused CODE, status NNN, cut, silent, no-connection and too-long.
    """
    recorded_outcomes: dict[str, int] = msgspec.field(default_factory=dict)
    placement_methods: dict[str, int] = msgspec.field(name="awards", default_factory=dict)
    """Number of turns with a prefix, by the value of ``Wingwood-Award`` in the answer."""
    recorded_placement_methods: dict[str, int] = msgspec.field(name="recorded_awards", default_factory=dict)
    first_chunk: Timing = msgspec.field(name="first_piece", default_factory=Timing)
    between_chunks: Timing = msgspec.field(name="between_pieces", default_factory=Timing)
    total: Timing = msgspec.field(default_factory=Timing)
    prompt_tokens: int = 0
    cached_tokens: int = 0
    """Prompt tokens that workers reported as found in their cache."""

    def hit_rate(self) -> float | None:
        """Returns the share of turns sent to their prefix in the replay; None without such turns."""
        return _hit_share(self.placement_methods)

    def recorded_hit_rate(self) -> float | None:
        """Returns the share of turns sent to their prefix on the recorded day; None without such turns."""
        return _hit_share(self.recorded_placement_methods)


class ReplayReport(msgspec.Struct, kw_only=True):
    """Measurements of one replay."""

    name: str
    speed: float
    planned_seconds: float = 0.0
    """Duration of the replayed part of the day at the chosen speed, in seconds."""
    took_seconds: float = 0.0
    calls: int = 0
    skipped: dict[str, int] = msgspec.field(default_factory=dict)
    """Number of recorded calls that were not sent, by reason: no-key, no-tenant."""
    bad_lines: int = 0
    in_flight_bound: int = 0
    late: Timing = msgspec.field(default_factory=Timing)
    """Delay of sending calls after their planned time; if it is large, the load differed from the recorded day."""
    services: dict[str, ServiceReport] = msgspec.field(default_factory=dict)

    def service(self, name: str) -> ServiceReport:
        """Returns the report of a service and creates it if there is none."""
        found = self.services.get(name)
        if found is None:
            found = self.services[name] = ServiceReport()
        return found


def read_report(data: bytes) -> ReplayReport:
    """Decodes a report; raises msgspec.MsgspecError if the data is not a report."""
    return msgspec.json.decode(data, type=ReplayReport)


def write_report(report: ReplayReport) -> bytes:
    """Encodes a report as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(report), indent=1) + b"\n"


def _hit_share(counts: dict[str, int]) -> float | None:
    total = sum(counts.values())
    return sum(counts.get(method, 0) for method in PREFIX_HIT_METHODS) / total if total else None


def _refused(service: ServiceReport) -> float | None:
    refused = sum(count for outcome, count in service.outcomes.items() if outcome.startswith("refused"))
    return 100 * refused / service.calls if service.calls else None


def _share(part: int, total: int) -> float | None:
    return part / total if total else None


def _percent(part: float | None) -> float | None:
    return None if part is None else 100 * part


Row = tuple[str, Callable[[ServiceReport], float | None]]
ROWS: Sequence[Row] = (
    ("calls", lambda service: service.calls),
    ("whole %", lambda service: 100 * service.complete / service.calls if service.calls else None),
    ("refused %", _refused),
    ("hit rate %", lambda service: _percent(service.hit_rate())),
    ("cached tokens %", lambda service: _percent(_share(service.cached_tokens, service.prompt_tokens))),
    ("first piece p50 ms", lambda service: service.first_chunk.percentile(50)),
    ("first piece p95 ms", lambda service: service.first_chunk.percentile(95)),
    ("first piece p99 ms", lambda service: service.first_chunk.percentile(99)),
    ("between pieces p95 ms", lambda service: service.between_chunks.percentile(95)),
    ("between pieces p99 ms", lambda service: service.between_chunks.percentile(99)),
    ("total p95 ms", lambda service: service.total.percentile(95)),
)


def format_figure(value: float | None) -> str:
    """Formats a figure for a table; a dash stands for a missing one."""
    if value is None:
        return "-"
    return f"{value:.0f}" if value == int(value) and abs(value) < 1e9 else f"{value:.2f}"


def report_table(report: ReplayReport) -> str:
    """Formats a report as a table with one column for each service."""
    names = sorted(report.services)
    lines = [
        f"{report.name}: {report.calls} calls at {report.speed:g} times the speed in {report.took_seconds:.1f} s;"
        f" sent late by p99 {format_figure(report.late.percentile(99))} ms"
    ]
    if report.skipped or report.bad_lines:
        left_out = [f"{count} {why}" for why, count in sorted(report.skipped.items())]
        lines.append("left out: " + ", ".join([*left_out, f"{report.bad_lines} bad lines"]))
    width = max([12, *(len(name) for name in names)])
    lines.append(f"{'':24}" + "".join(f"  {name:>{width}}" for name in names))
    for title, value in ROWS:
        cells = "".join(f"  {format_figure(value(report.services[name])):>{width}}" for name in names)
        lines.append(f"{title:24}{cells}")
    recorded = "".join(
        f"  {format_figure(_percent(report.services[name].recorded_hit_rate())):>{width}}" for name in names
    )
    lines.append(f"{'hit rate % as recorded':24}{recorded}")
    for name in names:
        outcomes = sorted(report.services[name].outcomes.items(), key=lambda pair: (-pair[1], pair[0]))
        lines.append(f"{name}: " + ", ".join(f"{count} {outcome}" for outcome, count in outcomes))
    return "\n".join(lines)


def comparison_table(first: ReplayReport, second: ReplayReport) -> str:
    """Formats two reports side by side: both values of each figure of each service, and the change in percent."""
    lines = [f"{'':34}  {first.name[:16]:>16}  {second.name[:16]:>16}  {'change':>9}"]
    empty = ServiceReport()
    for name in sorted({*first.services, *second.services}):
        for title, value in ROWS:
            one = value(first.services.get(name, empty))
            other = value(second.services.get(name, empty))
            if one is None and other is None:
                continue
            change = f"{100 * (other - one) / one:+.1f}%" if one and other is not None else "-"
            lines.append(f"{name + ' ' + title:34}  {format_figure(one):>16}  {format_figure(other):>16}  {change:>9}")
    if first.calls != second.calls or first.speed != second.speed:
        lines.append("Not alike: the two replayed different numbers of calls or ran at different speeds.")
    return "\n".join(lines)
