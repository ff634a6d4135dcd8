"""Writes the tables and the picture of docs/CAPACITY.md from the measured inputs.

A table stands between ``<!-- table: NAME -->`` and ``<!-- end -->``; the text around the tables is written by hand.
A letter after each number states its source: *m* measured at exactly that size, *f* taken from a fitted line (with
its standard error), *a* assumed.
"""

from __future__ import annotations

import re
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from .fits import Fits, Inputs
from .planned import PLANNED
from .planned_roles import control_budget, role_rows
from .text import Table, markdown, number, with_error


def measured_table(inputs: Inputs) -> Table:
    """Returns the table of the runs of all probes: time, load, duration, commit and result."""
    table = [["probe", "at", "load before, after", "seconds", "commit", "result"]]
    for probe in inputs.probes():
        metadata = inputs.metadata(probe)
        load = ", ".join(str(value) for value in metadata["load"])
        result = metadata.get("failed", f"{len(metadata['rows'])} sizes")
        table.append([probe, metadata["at"][11:16], load, number(metadata["seconds"]), metadata["commit"], result])
    return table


def fits_table(fits: Fits) -> Table:
    table = [["fit", "slope", "base", "points", "what", "from"]]
    for name, (probe, what, line) in sorted(fits.lines.items()):
        if line is None:
            table.append([name, "not run", "", "", what, probe])
            continue
        slope, base = with_error(line.slope, line.slope_error), with_error(line.base, line.base_error)
        table.append([name, slope, base, str(line.points), what, probe])
    return table


def plain_table(rows: Sequence[dict[str, Any]], columns: dict[str, str]) -> Table:
    """Returns a table of measured rows; ``columns`` maps the keys of the rows to headings."""

    def format_cell(value: Any) -> str:
        if isinstance(value, list):
            return " / ".join(number(float(each)) for each in value)
        return number(float(value)) if isinstance(value, int | float) else str(value if value is not None else "")

    return [list(columns.values()), *([format_cell(row.get(column)) for column in columns] for row in rows)]


def fleet_table(inputs: Inputs) -> Table:
    table = [
        [
            "hollow daemons",
            "formed s",
            "MB each",
            "phase",
            "bytes/s each (wire)",
            "core each %",
            "control core %",
            "control bytes/s",
            "in force everywhere p50 / max ms",
            "not serving / behind",
        ]
    ]
    runs = [("", row) for row in inputs.fleets()]
    for probe in inputs.probes():
        if probe.startswith("other fleet "):
            runs += [(probe.partition(",")[2], row) for row in inputs.rows(probe)]
    for suffix, row in runs:
        for found in row["phases"]:
            distribution_ms = found["all_in_force_ms"]
            table.append(
                [
                    f"{row['daemons']} in {row['processes']}{suffix}",
                    number(row["formed_after"]),
                    number(row["daemon_memory"] / 1e6),
                    f"{found['name']}, {found['changes']} changes",
                    f"{number(found['daemon_messenger_bytes'])} ({number(found['daemon_wire_bytes'])})",
                    number(100 * found["daemon_processor"]),
                    " / ".join(number(100 * share) for share in found["control_processor"]),
                    " / ".join(number(value) for value in found["control_messenger_bytes"]),
                    f"{number(distribution_ms['p50'])} / {number(distribution_ms['max'])}" if distribution_ms else "",
                    f"{found['not_serving']} / {found['behind']}",
                ]
            )
    return table


COLUMNS: dict[str, dict[str, str]] = {
    "empty processes": {
        "imports": "imports",
        "resident_mb": "resident MB",
        "of_files_mb": "of these pages of files, MB",
    },
    "daemons": {
        "slices": "slices",
        "router_mb": "router MB",
        "control_mb": "control MB",
        "router_idle_core": "router core, idle",
        "control_idle_core": "control core, idle",
        "router_change_ms": "router ms a change",
        "control_change_ms": "control ms a change",
        "router_mb_after": "router MB after 60 changes",
        "control_mb_after": "control MB after",
    },
    "messages": {
        "body": "body B",
        "ask_us": "ask µs",
        "answer_us": "answer µs",
        "bytes": "both frames B",
        "post_us": "post µs",
        "take_us": "take µs",
        "post_bytes": "frame B",
    },
    "members changed": {
        "routers": "routers",
        "ring_ms": "ring alone ms",
        "session_map_ms": "session map ms",
        "registry_ms": "registry ms",
        "share_keepers_ms": "shares ms",
        "all_ms": "all ms",
        "share_keepers_first_ms": "shares, first time ms",
    },
    "keepers": {
        "keepers": "keepers",
        "processes": "in processes",
        "formed_s": "formed s",
        "members_after": "fewest members at the end",
        "keeper_core": "core each",
        "keeper_bytes": "bytes/s each",
        "keeper_wire_bytes": "on the wire",
    },
    "session map": {
        "entries": "entries",
        "entry_bytes": "bytes each",
        "record_us": "record µs",
        "look_up_us": "look-up µs",
        "note_bytes": "note B",
    },
    "shared prefixes": {
        "prefixes": "prefixes in use",
        "part_bytes": "bytes of a part",
        "known_even": "turns whose prefix the router knows, all alike",
        "known_skewed": "the same, popularity 1/rank",
        "turn_us": "µs a turn",
    },
    "ledger entries": {
        "entries": "entries",
        "ran_bytes": "bytes, ran",
        "running_bytes": "bytes, under way",
        "rules_us": "claim and settle µs",
        "snapshot_bytes": "snapshot B each",
        "snapshot_ms": "snapshot ms",
        "restore_ms": "restore ms",
    },
    "ledger claims": {
        "rate": "calls/s",
        "failed": "failed",
        "primary_core": "primary core",
        "backup_core": "backup core",
        "witness_core": "witness core",
        "router_core": "router core",
        "primary_journal_bytes": "journal B a call",
        "p50_ms": "claim p50 ms",
        "p99_ms": "p99 ms",
    },
    "share asks": {
        "rate": "calls/s of the tenant over 11 routers",
        "accepted": "accepted",
        "refused": "refused",
        "asks_per_call": "asks a call",
        "asks_per_second_and_router": "asks/s a router",
    },
    "forward calls": {
        "callers": "callers",
        "calls_per_second": "calls/s",
        "core": "core",
        "p50_ms": "p50 ms",
        "p99_ms": "p99 ms",
    },
    "forward streams": {
        "callers": "streams",
        "pieces_per_second": "pieces/s",
        "core": "core",
        "p50_ms": "piece p50 ms",
        "p95_ms": "p95 ms",
        "p99_ms": "p99 ms",
        "max_ms": "max ms",
    },
    "forward open": {"streams": "open streams", "resident_mb": "resident MB"},
    "worker pools": {
        "pools": "pools",
        "workers": "workers",
        "ready_after": "known at the end",
        "follower_bytes": "follower bytes/s",
        "follower_core": "follower core",
        "follower_memory_mb": "follower MB",
        "home_core": "home core",
        "home_bytes": "home bytes/s",
    },
    "worker followers": {
        "followers": "followers",
        "home_core": "home core",
        "home_bytes": "home bytes/s",
        "follower_core": "follower core",
        "follower_bytes": "follower bytes/s",
    },
    "worker edge": {
        "renewals_per_second": "renewals/s",
        "failed": "failed",
        "edge_core": "edge core",
        "edge_bytes_to_home": "bytes/s to one home",
        "home_core": "home core",
    },
    "worker zones": {
        "zones": "zones",
        "renewals_per_second": "renewals/s",
        "edge_core": "edge core",
        "edge_bytes": "edge bytes/s",
        "edge_wire_bytes": "on the wire",
        "home_core": "home core",
        "home_bytes": "home bytes/s",
    },
    "control state": {
        "changes": "changes",
        "decide_ms": "decide ms",
        "apply_ms": "apply ms",
        "record_bytes": "record B",
        "snapshot_mb": "snapshot MB",
        "snapshot_ms": "snapshot ms",
        "restore_ms": "restore ms",
        "resident_mb": "state MB",
    },
    "control restarts": {
        "changes": "changes",
        "orders_per_second": "orders/s, one by one",
        "p50_ms": "p50 ms",
        "p99_ms": "p99 ms",
        "journal_mb": "journal MB",
        "order_core_ms": "ms an order (three daemons)",
        "resident_mb": "resident MB",
        "restart_s": "all restarted, next order after s",
        "journal_read_s": "journal read s",
    },
}


def tables(measured: dict[str, Any]) -> dict[str, str]:
    """Returns all tables of the page by name, as Markdown."""
    inputs = Inputs(measured)
    fits = Fits(inputs)
    found = {
        "planned": markdown(
            [["what", "number"], *([what, number(value, 6)] for what, value in PLANNED.derived_rows())]
        ),
        "probes": markdown(measured_table(inputs)),
        "fits": markdown(fits_table(fits)),
        "fleet": markdown(fleet_table(inputs)),
        "roles": markdown(role_rows(fits)),
        "budget": markdown(control_budget(fits)),
    }
    other = {"members changed, before": COLUMNS["members changed"]}
    for probe in ("keepers", "messages", "forward streams", "forward calls"):
        other[f"{probe}, later"] = COLUMNS[probe]
    for probe, columns in (COLUMNS | other).items():
        metadata = inputs.metadata(probe)
        if "failed" in metadata:
            found[probe] = f"Not measured: {metadata['failed']}."
        elif not metadata:
            found[probe] = "Not run."
        else:
            found[probe] = markdown(plain_table(inputs.rows(probe), columns))
    return found


def fill_tables(page: str, found: dict[str, str]) -> str:
    """Returns the page with each table between its markers; raises ValueError for a marker of an unknown table."""

    def replacement(match: re.Match[str]) -> str:
        name = match[1]
        if name not in found:
            raise ValueError(f"the page asks for table {name!r}; known: {', '.join(sorted(found))}")
        return f"<!-- table: {name} -->\n{found[name]}\n<!-- end -->"

    return re.sub(r"<!-- table: ([^>]+?) -->\n.*?<!-- end -->", replacement, page, flags=re.DOTALL)


def draw_slopes(measured: dict[str, Any], target: Path) -> None:
    """Draws four of the measured quantities, with the fitted lines extended to the planned size."""
    import matplotlib  # noqa: PLC0415

    matplotlib.use("Agg")
    from matplotlib import pyplot  # noqa: PLC0415

    fits = Fits(Inputs(measured))
    panels = [
        (
            "mesh bytes",
            "keepers",
            "keepers",
            "keeper_bytes",
            43.0,
            "session keepers",
            "bytes/s of a keeper\nfor questions among keepers",
        ),
        (
            "zones bytes",
            "worker zones",
            "zones",
            "edge_bytes",
            14.0,
            "zones",
            "bytes/s of a daemon that takes\nthe renewals of 12 workers",
        ),
        (
            "feed bytes",
            "worker pools",
            "pools",
            "follower_bytes",
            39.0,
            "pools of 308 workers",
            "bytes/s of a router\nthat follows the workers",
        ),
        (
            "ledger snapshot",
            "ledger entries",
            "entries",
            "snapshot_ms",
            1e6,
            "entries of a ledger",
            "ms of a snapshot,\nheld in one go",
        ),
    ]
    figure, axes = pyplot.subplots(1, 4, figsize=(13, 3))
    for axis, (name, probe, size, value, planned_size, label, title) in zip(axes, panels, strict=True):
        rows = fits.inputs.rows(probe)
        axis.plot([row[size] for row in rows], [row[value] for row in rows], "o", markersize=4)
        line = fits.get(name)
        if line is not None:
            axis.plot([0, planned_size], [line.at(0), line.at(planned_size)], linewidth=1)
        axis.set_xlabel(label, fontsize=8)
        axis.set_title(title, fontsize=8)
        axis.tick_params(labelsize=7)
        axis.set_ylim(bottom=0)
    figure.tight_layout()
    target.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(target, dpi=70)
    pyplot.close(figure)


def write_page(measured: dict[str, Any], target: Path) -> None:
    """Replaces the tables of the page in place and writes the picture beside it."""
    target.write_text(fill_tables(target.read_text(), tables(measured)))
    draw_slopes(measured, target.parent / "pictures" / "capacity-slopes.png")
