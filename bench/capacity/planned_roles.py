"""Calculates the cost of each role at the planned size from the fitted lines.

The kind of a number is *m* measured at exactly that size, *f* taken from a fitted line (with its standard error),
or *a* assumed.
"""

from __future__ import annotations

import math
from typing import Any

import msgspec

from .fits import Fits
from .planned import PLANNED
from .text import number

OWNERS_FOLLOWED = PLANNED.routers_per_zone * (1 - (1 - 1 / PLANNED.routers_per_zone) ** PLANNED.pools)
"""The expected number of different routers among the owners of 39 pools in one zone."""
OWNER_REQUESTS_PER_SECOND = 1 / 0.3
"""Requests per second of one follower to one owner: a request every 0.3 s."""
OWNER_DUTIES_PER_ROUTER = PLANNED.pools * PLANNED.zones / PLANNED.daemons
"""The mean number of pools that a router owns, where each zone has an owner for each pool."""
UNREPEATABLE_CALL_SHARE = 0.1
"""The assumed share of the calls that must not run twice and therefore need the ledger."""
EVENT_BYTES = 140.0
"""The size of one token's event with the HTTP chunk around it, as in the bench."""


class Value(msgspec.Struct, frozen=True):
    """A number with its standard error and its kinds; a sum has the kinds of all of its parts."""

    value: float
    error: float = 0.0
    kind: str = "f"

    def __add__(self, other: Value) -> Value:
        kinds = "".join(sorted(set(self.kind) | set(other.kind)))
        return Value(self.value + other.value, math.hypot(self.error, other.error), kinds)

    def times(self, factor: float) -> Value:
        return Value(self.value * factor, self.error * abs(factor), self.kind)

    def text(self, unit: str = "", scale: float = 1.0) -> str:
        error = f" ± {number(self.error * scale, 2)}" if "f" in self.kind else ""
        return f"{number(self.value * scale)}{error}{unit} *{self.kind}*"


def total(values: list[Value]) -> Value:
    found = values[0]
    for value in values[1:]:
        found = found + value
    return found


class RoleCosts:
    """Calculates the costs of all roles; a method raises KeyError if its probe did not run or gave too few sizes.

    Core values are shares of one core, byte values are bytes per second and memory values are MB.
    """

    def __init__(self, fits: Fits) -> None:
        self.fits = fits
        self.inputs = fits.inputs

    def at(self, name: str, size: float) -> Value:
        found = self.fits.at(name, size)
        if found is None:
            raise KeyError(name)
        return Value(*found)

    def slope(self, name: str) -> Value:
        line = self.fits.get(name)
        if line is None:
            raise KeyError(name)
        return Value(line.slope, line.slope_error)

    def base(self, name: str) -> Value:
        line = self.fits.get(name)
        if line is None:
            raise KeyError(name)
        return Value(line.base, line.base_error)

    def row(self, probe: str, **wanted: Any) -> dict[str, Any]:
        """Returns the first row of a probe with these values; raises KeyError if there is none."""
        for row in self.inputs.rows(probe):
            if all(row.get(name) == value for name, value in wanted.items()):
                return row
        raise KeyError(probe)

    # --- messages: processor seconds per message, from the probe "messages" ---------------------------

    def ask(self, body: float = 128.0) -> Value:
        return self.at("ask", body).times(1e-6)

    def answer(self, body: float = 128.0) -> Value:
        return self.at("answer", body).times(1e-6)

    def post(self, body: float = 128.0) -> Value:
        return self.at("post", body).times(1e-6)

    def take(self, body: float = 128.0) -> Value:
        return self.at("take", body).times(1e-6)

    def frame_bytes(self) -> float:
        """Returns the bytes that a request and its answer need beyond their bodies."""
        row = self.row("messages", body=64)
        return float(row["bytes"]) - 2 * 64

    # --- control work of a router ------------------------------------------------------------------

    def heartbeat_core(self) -> Value:
        """Returns the core of a real router process without traffic: heartbeats, proof of the bundle, timers."""
        return Value(float(self.row("daemons", slices=2600)["router_idle_core"]), kind="m")

    def heartbeat_bytes(self) -> Value:
        return self.at("heartbeat bytes", PLANNED.daemons)

    def change_core(self) -> Value:
        return self.at("router change", PLANNED.slices).times(1e-3 * PLANNED.changes_per_second)

    def change_bytes(self) -> Value:
        return self.slope("change bytes").times(PLANNED.changes_per_second)

    def members_core(self) -> Value:
        return self.at("members ms", PLANNED.daemons).times(1e-3 * PLANNED.member_changes_per_day / 86_400)

    def follower_core(self) -> Value:
        additional = self.ask().times((OWNERS_FOLLOWED - 1) * OWNER_REQUESTS_PER_SECOND)
        return self.at("feed core", PLANNED.pools) + additional

    def follower_bytes(self) -> Value:
        additional = Value(self.frame_bytes() * (OWNERS_FOLLOWED - 1) * OWNER_REQUESTS_PER_SECOND)
        return self.at("feed bytes", PLANNED.pools) + additional

    def additional_edge_calls(self) -> float:
        """Returns the calls per second of an edge beyond the measured ones.

        The probe had a single owner per zone for all pools, which gives four batches per second. Owners that differ
        by pool each receive a call of their own.
        """
        return (PLANNED.workers_per_daemon - 4.0) * PLANNED.zones

    def edge_core(self) -> Value:
        passing = self.slope("zones core").times(PLANNED.zones - 1) + self.ask().times(self.additional_edge_calls())
        return self.slope("edge core").times(PLANNED.workers_per_daemon) + passing

    def edge_bytes(self) -> Value:
        additional = Value(self.additional_edge_calls() * (self.frame_bytes() + 64), kind="a")
        return self.slope("zones bytes").times(PLANNED.zones) + additional

    def owner_core(self) -> Value:
        """Returns the core of owning one pool in one zone.

        The parts are the followers, the renewals from as many edges as the pool has workers, and the requests between
        the owners of the pool in different zones.
        """
        calls = PLANNED.workers_per_pool - 4.0
        return (
            self.at("home core", PLANNED.routers_per_zone)
            + self.answer().times(calls)
            + self.ask().times((PLANNED.zones - 1) * OWNER_REQUESTS_PER_SECOND)
            + self.answer().times((PLANNED.zones - 1) * OWNER_REQUESTS_PER_SECOND)
        )

    def owner_bytes(self) -> Value:
        calls = PLANNED.workers_per_pool - 4.0 + 2 * (PLANNED.zones - 1) * OWNER_REQUESTS_PER_SECOND
        return self.at("home bytes", PLANNED.routers_per_zone) + Value(self.frame_bytes() * calls)

    # --- per call ----------------------------------------------------------------------------------

    def session_core(self) -> Value:
        """Returns the core of the session map on both sides: a look-up and two records, sent and received, per call."""
        row = self.row("session map", entries=10_000)
        own = Value((row["look_up_us"] + 2 * row["record_us"]) * 1e-6, kind="m")
        messages = self.ask() + self.answer() + self.post().times(2) + self.take().times(2)
        return (messages + own).times(PLANNED.calls_per_daemon)

    def session_bytes(self) -> Value:
        row = self.row("session map", entries=10_000)
        record_bytes, look_up_bytes = float(row["note_bytes"]), 12.0
        frame = float(self.row("messages", body=64)["post_bytes"]) - 64
        each = 2 * (record_bytes + frame) + (look_up_bytes + record_bytes + self.frame_bytes())
        return Value(2 * each * PLANNED.calls_per_daemon, kind="m")

    def session_memory(self) -> Value:
        return self.slope("map bytes").times(
            PLANNED.entries_per_daemon + PLANNED.calls_per_daemon * PLANNED.record_retention_s
        )

    def share_core(self) -> Value:
        grant = Value(float(self.row("share grants", tenants=100)["grant_us"]) * 1e-6, kind="m")
        return (self.ask() + self.answer() + grant).times(PLANNED.calls_per_daemon)

    def share_bytes(self) -> Value:
        return Value(2 * 107.0 * PLANNED.calls_per_daemon, kind="m")

    def ledger_router_core(self) -> Value:
        """Returns the core of the ledger's client, with the cost per call of the lowest measured rate.

        At the low rate of a single router no calls are batched.
        """
        row = self.row("ledger claims", wanted_rate=30)
        return Value(row["router_core"] / row["rate"] * PLANNED.calls_per_daemon * UNREPEATABLE_CALL_SHARE, kind="m")

    def ledger_core(self, name: str, claims: float) -> Value:
        """Returns the core of a ledger daemon (``name`` is primary or backup) at this many claims per second.

        The probe measured the batches of one router. From a thousand routers, each claim and each settlement is a call
        of its own, which the primary answers.
        """
        own = self.at(f"claims {name}", claims)
        return own + self.answer().times(2 * claims) if name == "primary" else own

    def forward_core(self) -> Value:
        # The measured streams have one call per 100 chunks, the planned ones one per 430.
        calls = PLANNED.calls_per_daemon - PLANNED.chunks_per_daemon / 100
        return self.at("pieces core", PLANNED.chunks_per_daemon) + self.slope("calls core").times(calls)

    def stream_memory(self) -> Value:
        return self.slope("stream memory").times(PLANNED.streams_per_daemon)

    # --- control ------------------------------------------------------------------------------------

    def additional_mesh_cost(self, machines: int, field: str) -> Value:
        """Returns the cost per coordinator of the requests among ``machines`` coordinators beyond those among three."""
        additional, three = (self.row("keepers", keepers=count)[field] for count in (machines, 3))
        return Value(additional - three, kind="m")

    def coordinator_core(self, machines: int) -> Value:
        """Returns the core of a control daemon, the sessions that it holds, and the requests among coordinators."""
        # The line counts all daemons of a fleet with three coordinators, each of which holds a third of the sessions.
        sessions = self.slope("keeper core").times(3 * PLANNED.daemons / machines)
        return self.base("keeper core") + sessions + self.additional_mesh_cost(machines, "keeper_core")

    def coordinator_bytes(self, machines: int) -> Value:
        sessions = self.slope("keeper bytes").times(3 * PLANNED.daemons / machines)
        return self.base("keeper bytes") + sessions + self.additional_mesh_cost(machines, "keeper_bytes")

    def coordinator_memory_mb(self) -> Value:
        return self.at("control memory", PLANNED.slices) + self.slope("keeper memory").times(PLANNED.daemons * 1e-6)

    def order_core(self, rank: int) -> Value:
        """Returns the core for orders of a control daemon: rank 0 is the least loaded of three, rank 2 the most."""
        rows = self.inputs.rows("control restarts")
        if not rows:
            raise KeyError("control restarts")
        each = sorted(rows[-1]["order_core_ms"])[rank]
        return Value(each * 1e-3 * PLANNED.changes_per_second, kind="m")


def _cell(calculate: Any) -> str:
    try:
        return str(calculate())
    except KeyError as missing:
        return f"not measured ({missing.args[0]})"


def role_rows(fits: Fits) -> list[list[str]]:
    """Returns the table of all roles; a cell whose probe did not run says which measurement is missing."""
    costs = RoleCosts(fits)
    size = PLANNED
    claims = size.requests_per_second * UNREPEATABLE_CALL_SHARE
    allocator_duties = 2.0
    owner_requests = (size.routers_per_zone + 2 * (size.zones - 1)) * OWNER_REQUESTS_PER_SECOND
    coordinator_requests = 4.0 * (size.control_machines - 1)

    def percent(value: Value) -> str:
        return value.text("%", 100)

    def kilobytes(value: Value) -> str:
        return value.text(" KB/s", 1e-3)

    def megabytes(value: Value) -> str:
        return value.text(" MB", 1.0)

    rows = [
        (
            "router: forwarding",
            lambda: f"{size.streams_per_daemon:.0f} open streams",
            lambda: f"{size.calls_per_daemon:.0f} calls, {size.chunks_per_daemon:,.0f} pieces in and out",
            lambda: kilobytes(Value(2 * EVENT_BYTES * size.chunks_per_daemon, kind="a")),
            lambda: percent(costs.forward_core()),
            lambda: megabytes(costs.stream_memory()),
        ),
        (
            "router: membership, bundle, proof",
            lambda: f"{size.daemons:,} members, {size.slices:,} slices",
            lambda: f"2.2 heartbeats, {size.changes_per_second:.2f} changes",
            lambda: kilobytes(costs.heartbeat_bytes() + costs.change_bytes()),
            lambda: percent(costs.heartbeat_core() + costs.change_core() + costs.members_core()),
            lambda: (
                megabytes(
                    costs.at("router memory", size.slices)
                    + costs.at("hollow memory", size.daemons).times(1e-6)
                    + costs.at("hollow memory", 11).times(-1e-6)
                )
                + " whole process"
            ),
        ),
        (
            "router: follows worker states",
            lambda: f"{size.workers:,} workers",
            lambda: (
                f"{OWNERS_FOLLOWED * OWNER_REQUESTS_PER_SECOND:.0f} questions, "
                f"{size.worker_changes_per_second:.2f} pushes"
            ),
            lambda: kilobytes(costs.follower_bytes()),
            lambda: percent(costs.follower_core()),
            lambda: megabytes(costs.slope("feed memory").times(size.pools)),
        ),
        (
            "worker registry's edge",
            lambda: f"{size.workers_per_daemon:.0f} workers",
            lambda: (
                f"{size.workers_per_daemon:.0f} renewals in, "
                f"{size.workers_per_daemon * size.zones:.0f} calls out at most"
            ),
            lambda: kilobytes(costs.edge_bytes()),
            lambda: percent(costs.edge_core()),
            lambda: "under 0.1 MB *a*",
        ),
        (
            f"worker-state home (one of {size.pools * size.zones}; {OWNER_DUTIES_PER_ROUTER:.2f} a router)",
            lambda: f"{size.workers_per_pool:.0f} workers, {size.routers_per_zone:.0f} followers",
            lambda: f"{size.workers_per_pool:.0f} renewals, {owner_requests:.0f} questions",
            lambda: kilobytes(costs.owner_bytes()),
            lambda: percent(costs.owner_core()),
            lambda: megabytes(costs.slope("feed memory")),
        ),
        (
            f"bundle home (one of {size.zones})",
            lambda: f"deltas of at most 4 MiB; {size.routers_per_zone:.0f} subscribers",
            lambda: (
                f"{size.changes_per_second * size.routers_per_zone:.0f} posts, "
                f"{size.routers_per_zone / 3:.0f} renewals of subscriptions"
            ),
            lambda: kilobytes(costs.change_bytes().times(size.routers_per_zone)),
            lambda: percent(
                costs.post(700).times(size.changes_per_second * size.routers_per_zone)
                + costs.answer().times(size.routers_per_zone / 3)
            ),
            lambda: "4 to 8 MB *a* (bounds)",
        ),
        (
            "session keeper",
            lambda: (
                f"{size.entries_per_daemon:,.0f} entries, "
                f"{size.calls_per_daemon * size.record_retention_s:,.0f} own records"
            ),
            lambda: f"{size.calls_per_daemon:.0f} look-ups and {2 * size.calls_per_daemon:.0f} notes each way",
            lambda: kilobytes(costs.session_bytes()),
            lambda: percent(costs.session_core()),
            lambda: megabytes(costs.session_memory()),
        ),
        (
            "share keeper",
            lambda: f"{allocator_duties * size.tenants / size.daemons:.0f} tenants (keeper or deputy)",
            lambda: f"{size.calls_per_daemon:.0f} asks each way",
            lambda: kilobytes(costs.share_bytes()),
            lambda: percent(costs.share_core()),
            lambda: "under 0.1 MB *a*",
        ),
        (
            f"ledger's primary, all {claims:,.0f} claims/s in one triple",
            lambda: f"{claims * size.ledger_retention_s / 1e6:.2f} M entries",
            lambda: f"{claims:,.0f} claims and settles, batched",
            lambda: kilobytes(Value(2 * claims * 2 * 60.0, kind="a")),
            lambda: percent(costs.ledger_core("primary", claims)),
            lambda: megabytes(costs.slope("ledger bytes").times(claims * size.ledger_retention_s * 1e-6)),
        ),
        (
            "ledger's backup",
            lambda: "the same",
            lambda: "the primary's batches",
            lambda: kilobytes(Value(claims * 2 * 60.0, kind="a")),
            lambda: percent(costs.ledger_core("backup", claims)),
            lambda: "the same",
        ),
        (
            "control primary",
            lambda: f"{size.changes_per_day:,.0f} outcomes a day, {size.slices:,} slices",
            lambda: (
                f"{size.changes_per_second:.2f} orders, 8 heartbeats, "
                f"{2 * size.changes_per_second * size.zones:.0f} posts to homes"
            ),
            lambda: kilobytes(costs.coordinator_bytes(3) + costs.change_bytes().times(2 * size.zones)),
            lambda: percent(costs.coordinator_core(3) + costs.order_core(2)),
            lambda: megabytes(costs.coordinator_memory_mb() + costs.slope("state memory").times(size.changes_per_day)),
        ),
        (
            "control backup",
            lambda: "the same",
            lambda: f"{size.changes_per_second:.2f} batches",
            lambda: "as a session keeper",
            lambda: percent(costs.order_core(1)) + " beside its sessions",
            lambda: "the same",
        ),
        (
            "control witness",
            lambda: "epoch and view, under 1 KB",
            lambda: "4 heartbeats",
            lambda: "0.29 KB/s *m* (commit 3a42f5f)",
            lambda: percent(costs.order_core(0)) + " beside its sessions",
            lambda: "as a session keeper",
        ),
        (
            "session-holding control daemon, 3 of them",
            lambda: f"{size.daemons / 3:.0f} sessions",
            lambda: f"{2.2 * size.daemons / 3:.0f} heartbeats, 8 questions",
            lambda: kilobytes(costs.coordinator_bytes(3)),
            lambda: percent(costs.coordinator_core(3)),
            lambda: megabytes(costs.coordinator_memory_mb()),
        ),
        (
            f"the same, {size.control_machines} of them",
            lambda: f"{size.daemons / size.control_machines:.0f} sessions, all {size.daemons:,} members",
            lambda: (
                f"{2.2 * size.daemons / size.control_machines:.0f} heartbeats, {coordinator_requests:.0f} questions"
            ),
            lambda: kilobytes(costs.coordinator_bytes(size.control_machines)),
            lambda: percent(costs.coordinator_core(size.control_machines)),
            lambda: megabytes(costs.coordinator_memory_mb()),
        ),
    ]
    head = ["role", "state", "messages/s", "bytes/s", "one core", "memory"]
    return [head, *([name, *(_cell(cell) for cell in cells)] for name, *cells in rows)]


def control_budget(fits: Fits) -> list[list[str]]:
    """Returns the table of a router's control costs, part by part, against the permitted amount."""
    costs = RoleCosts(fits)
    parts: list[tuple[str, Any, Any]] = [
        ("heartbeats, proof, idle timers", costs.heartbeat_core, costs.heartbeat_bytes),
        ("changes of configuration", costs.change_core, costs.change_bytes),
        ("changes of members", costs.members_core, lambda: Value(0.0, kind="a")),
        ("*sum: membership and bundles*", None, None),
        ("worker states followed", costs.follower_core, costs.follower_bytes),
        ("worker registry's edge", costs.edge_core, costs.edge_bytes),
        (
            f"worker-state homes ({OWNER_DUTIES_PER_ROUTER:.2f} duties)",
            lambda: costs.owner_core().times(OWNER_DUTIES_PER_ROUTER),
            lambda: costs.owner_bytes().times(OWNER_DUTIES_PER_ROUTER),
        ),
        ("*sum with worker states*", None, None),
        ("session map, both sides (per call)", costs.session_core, costs.session_bytes),
        ("shares, both sides (per call)", costs.share_core, costs.share_bytes),
        (
            f"ledger's client, {100 * UNREPEATABLE_CALL_SHARE:.0f}% of the calls *a* (per call)",
            costs.ledger_router_core,
            lambda: Value(2 * 60.0 * PLANNED.calls_per_daemon * UNREPEATABLE_CALL_SHARE, kind="a"),
        ),
        ("*sum with what each call costs*", None, None),
    ]
    table = [["part", "one core (allowed 1.7%)", "KB/s, frames without TCP heads (allowed 2)"]]
    cores: list[Value] = []
    rates: list[Value] = []
    complete = True
    for name, core, rate in parts:
        if core is None:
            missing = "" if complete else " at least"
            sums = (total(cores).text("%", 100), total(rates).text("", 1e-3)) if cores else ("0", "0")
            table.append([name, *(text + missing for text in sums)])
            continue
        try:
            cores.append(core())
            rates.append(rate())
            table.append([name, cores[-1].text("%", 100), rates[-1].text("", 1e-3)])
        except KeyError as missing:
            complete = False
            table.append([name, f"not measured ({missing.args[0]})", ""])
    return table
