"""The fleet size that the design is planned for, and the quantities that follow from it by arithmetic alone."""

from __future__ import annotations

import msgspec


class PlannedSize(msgspec.Struct, frozen=True, kw_only=True):
    """Totals of the whole fleet, rates per second where no other unit is given; the properties are derived."""

    daemons: int = 1_000
    workers: int = 12_000
    pools: int = 39
    zones: int = 14
    regions: int = 4
    control_machines: int = 43
    requests_per_second: float = 13_000.0
    tokens_per_second: float = 5_600_000.0
    token_interval_s: float = 0.032
    sessions: float = 5_800_000.0
    prefixes: int = 50_000
    tenants: int = 2_500
    changes_per_day: float = 28_000.0
    restarts_per_day: float = 2_400.0 + 76.0
    slices: int = 2_600
    """Slices of the bundle: the tenants, and the services, routes and classes of 39 models."""
    ledger_retention_s: float = 1_800.0 * 1.25
    """The longest time in seconds that a ledger retains an outcome."""
    record_retention_s: float = 300.0
    """The time in seconds that a router retains the records of its own calls."""
    core_share: float = 0.017
    memory_mb: float = 64.0
    bytes_per_second: float = 2_000.0

    @property
    def changes_per_second(self) -> float:
        return self.changes_per_day / 86_400

    @property
    def calls_per_daemon(self) -> float:
        return self.requests_per_second / self.daemons

    @property
    def chunks_per_daemon(self) -> float:
        return self.tokens_per_second / self.daemons

    @property
    def streams_per_daemon(self) -> float:
        """Streams that are open at the same time; each carries one token every 32 ms."""
        return self.chunks_per_daemon * self.token_interval_s

    @property
    def workers_per_daemon(self) -> float:
        return self.workers / self.daemons

    @property
    def workers_per_pool(self) -> float:
        return self.workers / self.pools

    @property
    def routers_per_zone(self) -> float:
        return self.daemons / self.zones

    @property
    def entries_per_daemon(self) -> float:
        """Session entries that a daemon stores: each session has two copies."""
        return 2 * self.sessions / self.daemons

    @property
    def member_changes_per_day(self) -> float:
        """Each restart counts as two changes, a departure and a join.

        The daemons have their proportional part of the restarts of all machines.
        """
        return 2 * self.restarts_per_day * self.daemons / (self.daemons + self.workers)

    @property
    def max_member_changes_per_day(self) -> float:
        """The changes of members per day if all restarts were restarts of daemons."""
        return 2 * self.restarts_per_day

    @property
    def worker_changes_per_second(self) -> float:
        """New worker states per second: each restart of a worker gives ready, draining and removed."""
        return 3 * self.restarts_per_day * self.workers / (self.daemons + self.workers) / 86_400

    def derived_rows(self) -> list[tuple[str, float]]:
        """Returns the rows of the page's table of planned quantities: a text and a number."""
        return [
            ("calls/s a daemon", self.calls_per_daemon),
            ("pieces (tokens)/s a daemon", self.chunks_per_daemon),
            ("open streams a daemon (each a token in 32 ms)", self.streams_per_daemon),
            ("workers that announce themselves to a daemon", self.workers_per_daemon),
            ("workers of a pool", self.workers_per_pool),
            ("routers of a zone", self.routers_per_zone),
            ("session entries at a keeper (two copies)", self.entries_per_daemon),
            ("changes of configuration a second", self.changes_per_second),
            ("changes of members a day (daemons' part of 2,476 restarts, twice)", self.member_changes_per_day),
            ("the same if all restarts were daemons", self.max_member_changes_per_day),
            ("new worker states a second", self.worker_changes_per_second),
        ]


PLANNED = PlannedSize()
