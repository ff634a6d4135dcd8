"""The measured rows, and all fitted lines from which docs/CAPACITY.md is calculated."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

from .fit import Line, fit_line


class Inputs:
    """The measured rows by probe; a probe that was not run or failed has no rows."""

    def __init__(self, measured: dict[str, Any]) -> None:
        self._measured = measured

    def rows(self, probe: str) -> list[dict[str, Any]]:
        found = self._measured.get(probe, {})
        return list(found.get("rows", []))

    def probes(self) -> list[str]:
        return sorted(self._measured)

    def metadata(self, probe: str) -> dict[str, Any]:
        """Returns the record of a probe's run (time, load, commit, failure, rows); empty if it was not run."""
        return dict(self._measured.get(probe, {}))

    def fleets(self) -> list[dict[str, Any]]:
        """Returns the rows of the hollow fleets that formed, the smallest fleet first."""
        found = [row for probe in self.probes() if probe.startswith("fleet ") for row in self.rows(probe)]
        return sorted((row for row in found if row.get("phases")), key=lambda row: int(row["daemons"]))

    def line(self, probe: str, size: str, value: str | Callable[[dict[str, Any]], float]) -> Line | None:
        return self.line_of(self.rows(probe), size, value)

    @staticmethod
    def line_of(
        rows: Sequence[dict[str, Any]], size: str, value: str | Callable[[dict[str, Any]], float]
    ) -> Line | None:
        """Fits a line to the rows that hold both fields; returns None if they have fewer than three different sizes."""
        if callable(value):
            points = [(float(row[size]), value(row)) for row in rows if size in row]
        else:
            points = [(float(row[size]), float(row[value])) for row in rows if size in row and value in row]
        if len({at for at, _ in points}) < 3:
            return None
        return fit_line([at for at, _ in points], [found for _, found in points])


def phase(row: dict[str, Any], name: str) -> dict[str, Any]:
    """Returns the phase of this name from the row of a hollow fleet; raises StopIteration if it is missing."""
    return next(dict(found) for found in row["phases"] if found["name"] == name)


def mean(values: Sequence[float]) -> float:
    return sum(values) / len(values)


def by_changes(row: dict[str, Any], field: str) -> Line | None:
    """Fits the rate of a daemon against changes per second over the phases of one hollow fleet.

    Returns None with fewer than three phases.
    """
    points = [(found["changes"] / found["seconds"], float(found[field])) for found in row["phases"]]
    return fit_line([at for at, _ in points], [value for _, value in points]) if len(points) >= 3 else None


class Fits:
    """All lines that the page uses, by name: the probe, the text that describes the line, and the fit or None."""

    def __init__(self, inputs: Inputs) -> None:
        self.inputs = inputs
        fleets = inputs.fleets()
        pools = [row for row in inputs.rows("worker pools") if row["workers"] >= 300]
        # Below about 250 claims per second each claim has its own batch; above, the claims of a batch share its cost.
        batched = [row for row in inputs.rows("ledger claims") if row["rate"] > 250]
        ran = [row | {"ran_total": row["ran_bytes"] * row["entries"]} for row in inputs.rows("ledger entries")]
        self.lines: dict[str, tuple[str, str, Line | None]] = {
            "heartbeat bytes": (
                "fleet 11 to 1000, idle",
                "bytes/s of a daemon per daemon in the fleet",
                inputs.line_of(fleets, "daemons", lambda row: phase(row, "idle")["daemon_messenger_bytes"]),
            ),
            "hollow memory": (
                "fleet 11 to 1000",
                "bytes of a daemon per daemon in the fleet",
                inputs.line_of(fleets, "daemons", "daemon_memory"),
            ),
            "keeper core": (
                "fleet 11 to 1000, idle",
                "core of a control daemon per daemon in the fleet (a third of them its own)",
                inputs.line_of(fleets, "daemons", lambda row: mean(phase(row, "idle")["control_processor"])),
            ),
            "keeper bytes": (
                "fleet 11 to 1000, idle",
                "bytes/s of a control daemon per daemon in the fleet",
                inputs.line_of(fleets, "daemons", lambda row: mean(phase(row, "idle")["control_messenger_bytes"])),
            ),
            "keeper memory": (
                "fleet 11 to 1000",
                "bytes of a control daemon per daemon in the fleet",
                inputs.line_of(fleets, "daemons", lambda row: mean(row["control_memory"])),
            ),
            "change bytes": (
                f"fleet {fleets[-1]['daemons'] if fleets else 0}, 0 to 2 changes/s",
                "bytes of a daemon per change",
                by_changes(fleets[-1], "daemon_messenger_bytes") if fleets else None,
            ),
            "feed bytes": (
                "worker pools",
                "bytes/s of a follower per pool",
                inputs.line_of(pools, "pools", "follower_bytes"),
            ),
            "feed core": (
                "worker pools",
                "core of a follower per pool",
                inputs.line_of(pools, "pools", "follower_core"),
            ),
            "feed memory": (
                "worker pools",
                "MB of a follower per pool",
                inputs.line_of(pools, "pools", "follower_memory_mb"),
            ),
            "home core": (
                "worker followers",
                "core of a home per follower",
                inputs.line("worker followers", "followers", "home_core"),
            ),
            "home bytes": (
                "worker followers",
                "bytes/s of a home per follower",
                inputs.line("worker followers", "followers", "home_bytes"),
            ),
            "edge core": (
                "worker edge",
                "core of the edge per renewal/s",
                inputs.line("worker edge", "renewals_per_second", "edge_core"),
            ),
            "zones core": (
                "worker zones",
                "core of an edge of 12 workers per zone",
                inputs.line("worker zones", "zones", "edge_core"),
            ),
            "zones bytes": (
                "worker zones",
                "bytes/s of an edge of 12 workers per zone",
                inputs.line("worker zones", "zones", "edge_bytes"),
            ),
            "zones home core": (
                "worker zones",
                "core of a home per zone",
                inputs.line("worker zones", "zones", "home_core"),
            ),
            "zones home bytes": (
                "worker zones",
                "bytes/s of a home per zone",
                inputs.line("worker zones", "zones", "home_bytes"),
            ),
            "mesh bytes": (
                "keepers",
                "bytes/s of a keeper per keeper",
                inputs.line("keepers", "keepers", "keeper_bytes"),
            ),
            "mesh core": ("keepers", "core of a keeper per keeper", inputs.line("keepers", "keepers", "keeper_core")),
            "members ms": (
                "members changed",
                "ms on the loop per router, one change",
                inputs.line("members changed", "routers", "all_ms"),
            ),
            "ring ms": (
                "members changed",
                "ms per router, ring alone",
                inputs.line("members changed", "routers", "ring_ms"),
            ),
            "first keepers ms": (
                "members changed",
                "ms per router, share keepers of 2,500 tenants asked for the first time",
                inputs.line("members changed", "routers", "share_keepers_first_ms"),
            ),
            "map bytes": ("session map", "MB per entry", inputs.line("session map", "entries", "total_mb")),
            "ledger bytes": ("ledger entries", "bytes per entry that ran", inputs.line_of(ran, "entries", "ran_total")),
            "ledger snapshot": (
                "ledger entries",
                "ms of a snapshot per entry",
                inputs.line("ledger entries", "entries", "snapshot_ms"),
            ),
            "claims primary": (
                "ledger claims",
                "core of the primary per claim/s",
                inputs.line_of(batched, "rate", "primary_core"),
            ),
            "claims backup": (
                "ledger claims",
                "core of the backup per claim/s",
                inputs.line_of(batched, "rate", "backup_core"),
            ),
            "calls core": (
                "forward calls",
                "core per call/s",
                inputs.line("forward calls", "calls_per_second", "core"),
            ),
            "pieces core": (
                "forward streams",
                "core per piece/s (1 call in 100 pieces in it)",
                inputs.line("forward streams", "pieces_per_second", "core"),
            ),
            "stream memory": (
                "forward open",
                "MB per open stream",
                inputs.line("forward open", "streams", "resident_mb"),
            ),
            "router memory": ("daemons", "MB per slice", inputs.line("daemons", "slices", "router_mb")),
            "control memory": (
                "daemons",
                "MB per slice",
                inputs.line("daemons", "slices", lambda row: max(row["control_mb"])),
            ),
            "router change": (
                "daemons",
                "ms per change and slice",
                inputs.line_of([row for row in inputs.rows("daemons") if row["slices"]], "slices", "router_change_ms"),
            ),
            "state memory": ("control state", "MB per change", inputs.line("control state", "changes", "resident_mb")),
            "state snapshot": (
                "control state",
                "ms of a snapshot per change",
                inputs.line("control state", "changes", "snapshot_ms"),
            ),
            "restart": (
                "control restarts",
                "s of a restart per change",
                inputs.line("control restarts", "changes", "restart_s"),
            ),
            "journal": (
                "control restarts",
                "MB of journal per change",
                inputs.line("control restarts", "changes", "journal_mb"),
            ),
            "ask": ("messages", "µs of the asker per byte", inputs.line("messages", "body", "ask_us")),
            "answer": ("messages", "µs of the answerer per byte", inputs.line("messages", "body", "answer_us")),
            "post": ("messages", "µs of the sender per byte", inputs.line("messages", "body", "post_us")),
            "take": ("messages", "µs of the receiver per byte", inputs.line("messages", "body", "take_us")),
        }

    def get(self, name: str) -> Line | None:
        """Returns the line, or None if its probe gave too few sizes; raises KeyError for an unknown name."""
        return self.lines[name][2]

    def at(self, name: str, size: float) -> tuple[float, float] | None:
        """Returns the value and the standard error of the line at ``size``, or None if the line was not fitted."""
        line = self.get(name)
        return None if line is None else (line.at(size), line.error_at(size))
