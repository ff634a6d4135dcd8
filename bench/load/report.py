"""Reports the result of a run as a JSON document, a table and charts, and compares two results."""

from __future__ import annotations

import os
import platform
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import msgspec
from matplotlib.figure import Figure

from .measure import DurationHistogram, Measurements
from .traffic import Callers, LoadOptions


def build_result(callers: Callers, options: LoadOptions, workers: Mapping[str, Any], elapsed: float) -> dict[str, Any]:
    """Returns the JSON document of a run that took ``elapsed`` seconds."""
    measured = callers.measurements
    tokens = measured.tokens
    paid = {tenant.name: tenant.paid_rate for tenant in callers.target.shape.tenants}
    return {
        "fleet": callers.target.shape.name,
        "balancing": callers.target.shape.balancing,
        "options": msgspec.to_builtins(options),
        "machine": {"processors": os.cpu_count(), "python": platform.python_version()},
        "elapsed": round(elapsed, 2),
        "calls": sum(measured.outcomes.values()),
        "tries": measured.attempts,
        "calls_per_second": round(sum(measured.outcomes.values()) / elapsed, 2),
        "events_per_second": round(measured.events / elapsed, 2),
        "outcomes": dict(measured.outcomes.most_common()),
        "refusals": dict(measured.refusals.most_common()),
        "faults": dict(measured.faults.most_common()),
        "problems": dict(measured.problems.most_common()),
        "direct_problems": dict(measured.direct_problems.most_common()),
        "awards": dict(measured.awards.most_common()),
        "routers": dict(sorted(measured.routers.items())),
        "tenants": {
            name: {**counts, "whole_per_second": round(counts["whole"] / elapsed, 3), "paid_rate": paid.get(name)}
            for name, counts in sorted(measured.tenants.items())
        },
        "hit_rate": _ratio(tokens["cached"], tokens["prompt"]),
        "hit_rate_later_turns": _ratio(tokens["later_cached"], tokens["later_prompt"]),
        "timings_milliseconds": {name: timing.summary() for name, timing in measured.timings.items()},
        "workers": dict(workers),
        "by_second": {str(second): dict(counts) for second, counts in sorted(measured.seconds.items())},
        "histograms": {name: timing.encoded() for name, timing in measured.timings.items()},
    }


def _ratio(part: float, total: float) -> float | None:
    return round(part / total, 4) if total else None


def router_overhead(result: Mapping[str, Any]) -> dict[str, float | None]:
    """Returns the latency that the router adds, in milliseconds, at the median and the 99th percentile.

    It is the difference of routed and direct calls of the same run, and None where one of them was not measured.
    """
    timings = result["timings_milliseconds"]
    pairs = {
        "first_token": ("added_first_token", "direct_first_token"),
        "plain": ("added_plain", "direct_plain"),
        "piece": ("transit_routed", "transit_direct"),
    }
    summary: dict[str, float | None] = {}
    for name, (routed, direct) in pairs.items():
        for percentile in ("p50", "p99"):
            both = timings[routed]["count"] and timings[direct]["count"]
            difference = timings[routed][percentile] - timings[direct][percentile]
            summary[f"{name}_{percentile}"] = round(difference, 3) if both else None
    return summary


def summary_table(result: Mapping[str, Any]) -> str:
    """Returns the text that the load tool prints after a run."""
    lines = [
        f"fleet {result['fleet']}, policy {result['balancing']}: {result['calls']} calls in {result['elapsed']} s "
        f"({result['calls_per_second']}/s), {result['tries']} tries, {result['events_per_second']} pieces/s",
        f"outcomes   {_counts(result['outcomes'])}",
        f"refusals   {_counts(result['refusals'])}",
        f"faults     {_counts(result['faults'])}",
        f"PROBLEMS   {_counts(result['problems'])}",
        f"awards     {_counts(result['awards'])}",
        f"hit rate   {result['hit_rate']} of prompt tokens, {result['hit_rate_later_turns']} in later turns",
    ]
    for pool, summary in result["workers"].items():
        lines.append(
            f"pool       {pool}: {summary['runs']} runs, hit rate {summary['hit_rate']}, "
            f"load max/median {summary['imbalance']}, run twice: {len(summary['run_twice'])}"
        )
    for name, summary in result["tenants"].items():
        lines.append(
            f"tenant     {name}: {summary['calls']} calls, {summary.get('refused', 0)} refused, "
            f"{summary['whole_per_second']} whole a second, paid for {summary['paid_rate']}"
        )
    for kind, usage in result.get("kinds", {}).items():
        lines.append(
            f"processes  {usage['processes']} {kind}: {usage['processor_percent_mean']} % of a processor on average, "
            f"{usage['processor_percent_most']} % at most, {usage['resident_megabytes_mean']} MB"
        )
    lines.append(f"added ms   {_counts(router_overhead(result))}")
    lines.append(f"{'milliseconds':<26}{'count':>9}{'p50':>10}{'p95':>10}{'p99':>10}{'p99.9':>10}{'max':>10}")
    for name, row in result["timings_milliseconds"].items():
        if row["count"]:
            values = "".join(f"{row[key]:>10.2f}" for key in ("p50", "p95", "p99", "p99.9", "max"))
            lines.append(f"{name:<26}{row['count']:>9}{values}")
    return "\n".join(lines)


def _counts(counts: Mapping[str, Any]) -> str:
    return ", ".join(f"{name}: {count}" for name, count in counts.items()) or "none"


def comparison_table(first: Mapping[str, Any], second: Mapping[str, Any]) -> str:
    """Returns a table of rates, outcomes, load imbalance and timings of two runs with the relative change."""
    rows: list[tuple[str, float | None, float | None]] = []
    for name in ("calls_per_second", "events_per_second", "tries", "hit_rate", "hit_rate_later_turns"):
        rows.append((name, first[name], second[name]))
    for outcome in sorted({*first["outcomes"], *second["outcomes"]}):
        rows.append((f"outcome {outcome}", first["outcomes"].get(outcome, 0), second["outcomes"].get(outcome, 0)))
    for pool in sorted({*first["workers"], *second["workers"]}):
        sides = [side["workers"].get(pool, {}).get("imbalance") for side in (first, second)]
        rows.append((f"imbalance {pool}", sides[0], sides[1]))
    for name in first["timings_milliseconds"]:
        for percentile in ("p50", "p95", "p99"):
            sides = [side["timings_milliseconds"].get(name, {"count": 0}) for side in (first, second)]
            if sides[0]["count"] and sides[1]["count"]:
                rows.append((f"{name} {percentile} ms", sides[0][percentile], sides[1][percentile]))
    head = f"{'':<36}{_title(first):>18}{_title(second):>18}{'change':>10}"
    return "\n".join([head, *(_row(*row) for row in rows)])


def _title(result: Mapping[str, Any]) -> str:
    return f"{result['fleet']}/{result['balancing']}"[:17]


def _row(name: str, first: float | None, second: float | None) -> str:
    change = f"{(second - first) / first:+.1%}" if first and second is not None else ""
    shown = [f"{value:>18.3f}" if value is not None else f"{'-':>18}" for value in (first, second)]
    return f"{name:<36}{shown[0]}{shown[1]}{change:>10}"


def draw_charts(result: Mapping[str, Any], file: Path) -> None:
    """Draws four charts into one picture: two of distributions, calls by second, and the load of the workers."""
    figure = Figure(figsize=(13, 8))
    axes = figure.subplots(2, 2)
    percents = [number / 10 for number in range(0, 1000)]
    for name in ("first_token", "first_token_later_turns", "plain"):
        _curve(axes[0][0], result, name, percents)
    axes[0][0].set_title("time to first token, and duration of plain calls (ms)")
    for name in ("between_tokens", "transit_routed", "transit_direct"):
        _curve(axes[0][1], result, name, percents)
    axes[0][1].set_title("time between tokens, and transit time of events (ms)")
    for axis in axes[0]:
        axis.set_xscale("log")
        axis.set_ylabel("percent of all")
        axis.grid(True, alpha=0.3)
        axis.legend()
    seconds = sorted(int(second) for second in result["by_second"])
    for label in sorted({label for counts in result["by_second"].values() for label in counts} - {"events"}):
        axes[1][0].plot(seconds, [result["by_second"][str(second)].get(label, 0) for second in seconds], label=label)
    axes[1][0].set_title("calls per second of the run")
    axes[1][0].legend()
    loads = {name: load for summary in result["workers"].values() for name, load in summary["mean_load"].items()}
    axes[1][1].barh(list(loads), list(loads.values()))
    axes[1][1].set_title("mean running and waiting calls per worker")
    figure.suptitle(f"{result['fleet']}, policy {result['balancing']}, hit rate {result['hit_rate']}")
    figure.tight_layout()
    figure.savefig(file, dpi=90)


def _curve(axis: Any, result: Mapping[str, Any], name: str, percents: list[float]) -> None:
    timing = DurationHistogram.decoded(result["histograms"][name])
    if timing.count:
        axis.plot([max(0.001, value) for value in timing.percentiles(percents)], percents, label=name)


__all__ = ["Measurements", "build_result", "comparison_table", "draw_charts", "router_overhead", "summary_table"]
