"""The size to design for, and what follows from it by division alone."""

from __future__ import annotations

import msgspec


class PlannedSize(msgspec.Struct, frozen=True, kw_only=True):
    daemons: int = 1_000
    workers: int = 12_000
    pools: int = 39
    zones: int = 14
    regions: int = 4
    control_machines: int = 43
    requests: float = 13_000.0
    tokens: float = 5_600_000.0
    between_tokens: float = 0.032
    sessions: float = 5_800_000.0
    prefixes: int = 50_000
    tenants: int = 2_500
    changes_a_day: float = 28_000.0
    restarts_a_day: float = 2_400.0 + 76.0
    slices: int = 2_600
    """Tenants, and the services, routes and classes of 39 models."""
    retention: float = 1_800.0 * 1.25
    """Seconds that a ledger keeps an outcome, at the longest."""
    recent: float = 300.0
    """Seconds that a router keeps its own records."""
    core_share: float = 0.017
    memory_mb: float = 64.0
    bytes_per_second: float = 2_000.0

    @property
    def changes(self) -> float:
        return self.changes_a_day / 86_400

    @property
    def calls_each(self) -> float:
        return self.requests / self.daemons

    @property
    def pieces_each(self) -> float:
        return self.tokens / self.daemons

    @property
    def streams_each(self) -> float:
        """Open at a time: each gives a token every 32 ms."""
        return self.pieces_each * self.between_tokens

    @property
    def workers_each(self) -> float:
        return self.workers / self.daemons

    @property
    def pool_workers(self) -> float:
        return self.workers / self.pools

    @property
    def zone_routers(self) -> float:
        return self.daemons / self.zones

    @property
    def kept_each(self) -> float:
        return 2 * self.sessions / self.daemons

    @property
    def member_changes_a_day(self) -> float:
        """Each restart is a leaving and a coming; daemons have their part of all machines' restarts."""
        return 2 * self.restarts_a_day * self.daemons / (self.daemons + self.workers)

    @property
    def member_changes_at_most(self) -> float:
        return 2 * self.restarts_a_day

    @property
    def worker_changes(self) -> float:
        """New states a second: ready, draining and gone for each restart of a worker."""
        return 3 * self.restarts_a_day * self.workers / (self.daemons + self.workers) / 86_400

    def told(self) -> list[tuple[str, float]]:
        return [
            ("calls/s a daemon", self.calls_each),
            ("pieces (tokens)/s a daemon", self.pieces_each),
            ("open streams a daemon (each a token in 32 ms)", self.streams_each),
            ("workers that announce themselves to a daemon", self.workers_each),
            ("workers of a pool", self.pool_workers),
            ("routers of a zone", self.zone_routers),
            ("session entries at a keeper (two copies)", self.kept_each),
            ("changes of configuration a second", self.changes),
            ("changes of members a day (daemons' part of 2,476 restarts, twice)", self.member_changes_a_day),
            ("the same if all restarts were daemons", self.member_changes_at_most),
            ("new worker states a second", self.worker_changes),
        ]


PLANNED = PlannedSize()
