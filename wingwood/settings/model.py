"""Where a daemon stands and how it behaves (docs/DESIGN.md section 6)."""

from __future__ import annotations

from typing import Literal

import msgspec
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from ..bundle.signing import public_hex
from ..identifiers import Address, DaemonName, Seconds, Zone


class DaemonSettings(msgspec.Struct, frozen=True, kw_only=True):
    """One daemon's settings, read from a TOML file and flags (flags win)."""

    name: DaemonName
    role: Literal["router", "control"]
    zone: Zone
    internal: Address
    """Where other daemons reach it."""
    operator: Address
    """Where workers announce themselves, operators send orders, and the platform asks live/ready/metrics."""
    caller: Address | None = None
    """Where callers send their calls (routers only)."""
    seeds: tuple[Address, ...]
    """Internal addresses of three other daemons; control daemons found the fleet only from these."""
    data_folder: str | None = None
    """A control daemon without one is a relay (section 7.12); routers keep nothing on disk."""
    fleet_key: bytes
    """Shared secret of the daemons."""
    operator_keys: tuple[str, ...]
    """Hex Ed25519 public keys whose bundles are taken."""
    signing_key: bytes | None = None
    """Seed (32 bytes) of the Ed25519 key with which control signs operators' editions; its public key counts too."""
    removed_key_bound: Seconds | None = None
    """Seconds after which a removed key must be refused everywhere: a router that cannot prove its bundle newest stops
    serving in time. None: it serves on."""
    balancing: Literal["award", "round-robin", "least-loaded", "sticky"] = "award"
    worker_check: Literal["health", "trial"] = "health"
    """How doubtful workers are found to work: their health check, or real calls, one at a time (section 10.6)."""
    worker_unrenewed_after: Seconds = Seconds(3.0)
    """Silence after which a worker is avoided; three announcements and a little more."""
    record_file: str | None = None
    """Where a router records its day for the replay tool; a path below the data folder."""
    log_calls: bool = True
    """Whether a router writes a line for each call; lines cost processor time."""
    quota_window: Seconds = Seconds(8.0)
    """Over any window of this length the tolerance of tenants' shares is meant (docs/DESIGN.md section 14.1)."""
    quota_over: float = 0.0
    """Part by which a tenant may pass its share in a window."""
    quota_slack: float = 0.0
    """What it may pass it by beside that, in the tenant's unit."""
    retry_window: Seconds = Seconds(10.0)
    """Over any window of this length the fleet's tries beyond the first are bounded (section 14.2)."""
    retry_ratio: float = 0.19
    """Tries beyond the first, as a part of the window's calls."""
    retry_slack: float | None = None
    """Tries beyond that which the fleet may make in a window; None: each router earns all of them."""
    call_bounds: Literal["service", "caller"] = "service"
    """Whether callers' patience is the service's, or is told with each call and ends it (section 12.5)."""
    keep_connections: bool = False
    """Whether routers keep connections to workers for later calls."""
    drain_notice: Seconds = Seconds(1.0)
    """How long a router that goes down still takes calls, until it is no longer sent any."""
    stop_within: Seconds = Seconds(20.0)
    """Longest time from SIGTERM to exit, for streams to finish."""
    ledger_retention: Seconds = Seconds(1800.0)
    outcome_retention: int = 100_000
    """How many orders' outcomes control keeps."""
    history_versions: int = 200
    """How many past versions' slices control keeps, to show and to compare."""
    body_bytes: int = 4 * 1024 * 1024
    """Largest request body taken."""
    bundle_bytes: int = 16 * 1024 * 1024
    losses_borne: int = 1
    """How many control daemons with a disk may be lost at once: the control core wants twice as many and one more."""
    begin_empty_when_damaged: bool = False
    """Control, for one start only: a damaged journal is put aside and this machine is filled anew by its peers."""

    @property
    def bundle_signers(self) -> tuple[str, ...]:
        """Hex Ed25519 public keys whose bundles are taken: the operators', and that of ``signing_key``."""
        if self.signing_key is None:
            return self.operator_keys
        own = public_hex(Ed25519PrivateKey.from_private_bytes(self.signing_key))
        return tuple(dict.fromkeys([*self.operator_keys, own]))
