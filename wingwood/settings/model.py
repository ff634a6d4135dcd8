"""The settings of a daemon: its role, zone, addresses, keys and options (docs/DESIGN.md section 6)."""

from __future__ import annotations

from typing import Literal

import msgspec
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from ..bundle.signing import public_hex
from ..identifiers import Address, DaemonName, Seconds, Zone


class DaemonSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of one daemon, read from a TOML file and from flags; flags override the file."""

    name: DaemonName
    role: Literal["router", "control"]
    zone: Zone
    internal: Address
    """Address for messages of other daemons."""
    operator: Address
    """Address for announcements of workers, for orders of operators, and for the platform's live, ready and metrics
    requests."""
    caller: Address | None = None
    """Address for calls of callers (routers only)."""
    seeds: tuple[Address, ...]
    """Internal addresses of three other daemons. Control daemons form a new fleet only from these."""
    data_folder: str | None = None
    """Folder for stored state. A control daemon without one is a relay (section 7.12); routers store no state."""
    fleet_key: bytes
    """Secret shared by all daemons of the fleet."""
    operator_keys: tuple[str, ...]
    """Ed25519 public keys, in hex digits, whose signed bundles are accepted."""
    signing_key: bytes | None = None
    """Seed (32 bytes) of the Ed25519 key with which control daemons sign operators' editions.

    Bundles signed with it are accepted as well.
    """
    removed_key_bound: Seconds | None = None
    """Time after which all routers must refuse a removed key.

    A router that can't prove in time that its bundle is the latest stops serving. None: it continues to serve.
    """
    balancing: Literal["award", "round-robin", "least-loaded", "sticky"] = "award"
    worker_check: Literal["health", "trial"] = "health"
    """Method of testing suspected workers: their health check, or real calls, one at a time (section 10.6)."""
    worker_unrenewed_after: Seconds = Seconds(3.0)
    """Time without an announcement after which a worker is avoided; slightly more than three announcement intervals."""
    record_file: str | None = None
    """File in which a router records its calls for the replay tool; a path below the data folder."""
    log_calls: bool = True
    """Whether a router logs a line for each call; logging costs processor time."""
    quota_window: Seconds = Seconds(8.0)
    """Length of the windows to which the tolerance of tenants' shares applies (docs/DESIGN.md section 14.1)."""
    quota_over: float = 0.0
    """Fraction by which a tenant may exceed its share in a window."""
    quota_slack: float = 0.0
    """Additional amount by which a tenant may exceed its share in a window, in the tenant's unit."""
    retry_window: Seconds = Seconds(10.0)
    """Length of the windows to which the fleet's limit on retries applies (section 14.2)."""
    retry_ratio: float = 0.19
    """Largest number of retries in a window, as a fraction of its calls."""
    retry_slack: float | None = None
    """Number of additional retries that the fleet may make in a window. None: each router earns all its retries."""
    call_bounds: Literal["service", "caller"] = "service"
    """Source of the wait limits of callers: the service's settings, or headers of each call, which then end the call
    (section 12.5)."""
    keep_connections: bool = False
    """Whether routers reuse connections to workers for later calls."""
    drain_notice: Seconds = Seconds(1.0)
    """Time for which a stopping router still accepts calls, until callers have stopped sending it new ones."""
    stop_within: Seconds = Seconds(20.0)
    """Longest time from SIGTERM to exit, in which running streams may finish."""
    ledger_retention: Seconds = Seconds(1800.0)
    """How long control daemons retain entries of the ledger."""
    outcome_retention: int = 100_000
    """Number of orders whose outcomes control daemons retain."""
    history_versions: int = 200
    """Number of past versions whose slices control daemons retain, for display and comparison."""
    body_bytes: int = 4 * 1024 * 1024
    """Largest request body that is accepted."""
    bundle_bytes: int = 16 * 1024 * 1024
    """Largest total size of the slices of a bundle."""
    losses_borne: int = 1
    """Number n of control daemons with a disk that may fail at the same time; the control core needs 2n + 1."""
    begin_empty_when_damaged: bool = False
    """For one start of a control daemon: a damaged journal is moved aside and the state is fetched anew from peers."""

    @property
    def bundle_signers(self) -> tuple[str, ...]:
        """Ed25519 public keys, in hex digits, whose bundles are accepted: the operators' and ``signing_key``'s."""
        if self.signing_key is None:
            return self.operator_keys
        own = public_hex(Ed25519PrivateKey.from_private_bytes(self.signing_key))
        return tuple(dict.fromkeys([*self.operator_keys, own]))
