"""Measures the cost of one membership change on a router against the number of routers.

All of the work runs on the event loop of the router without a pause.
"""

from __future__ import annotations

import asyncio
import gc

from wingwood.bundle.model import Tenant
from wingwood.context.protocols import Context
from wingwood.identifiers import (
    Address,
    ClassName,
    DaemonName,
    Instant,
    PoolName,
    SessionId,
    TenantName,
    WorkerInstance,
    Zone,
)
from wingwood.limits.shares import FleetShares
from wingwood.placement.session_map import DistributedMap, Entry, OwnerRing, session_key
from wingwood.registry.worker_registry import WorkerRegistry
from wingwood.settings.model import DaemonSettings

from .common import (
    KEY,
    DiscardingMessenger,
    FixedMembership,
    Row,
    cpu_seconds,
    real_quiet_context,
    routers,
)

ROUTERS = (11, 100, 300, 1000)
POOLS = 39
TENANTS = 2500
STORED_ENTRIES = 11_600
"""Session entries that a router stores as an owner: 5.8 million live sessions with two owners each, 1,000 routers."""
RECENT_ENTRIES = 3_900
"""Records of a router's own calls: 13 calls per second, each record retained for 300 s."""


def sample_entry(now: Instant) -> Entry:
    return Entry(
        pool=PoolName("p"),
        cache_worker=WorkerInstance("model-00001-1234"),
        tokens=3000,
        own_tokens=1000,
        last_used_at=now,
    )


def filled_map(context: Context, membership: FixedMembership, own: int, stored: int, recent: int) -> DistributedMap:
    """Returns the session map of the router at index ``own``, filled with keys that this router really owns."""
    identity = membership.routers()[own]
    distributed_map = DistributedMap(context, DiscardingMessenger(identity), membership)
    now = context.clock.monotonic()
    number = 0
    while len(distributed_map._stored.by_key) < stored:
        key = session_key(PoolName("p"), SessionId(f"session-{number}"))
        number += 1
        if any(router.incarnation == identity.incarnation for router in distributed_map._owners_of(key)):
            distributed_map._store(key, sample_entry(now))
        elif len(distributed_map._recent.by_key) < recent:
            distributed_map._recent.put(key, sample_entry(now))
    return distributed_map


def settings() -> DaemonSettings:
    return DaemonSettings(
        name=DaemonName("r0000"),
        role="router",
        zone=Zone("zone-0"),
        internal=Address("127.0.0.1", 1),
        operator=Address("127.0.0.1", 2),
        seeds=(),
        fleet_key=KEY,
        operator_keys=(),
    )


async def _measure_routers(count: int) -> Row:
    context = real_quiet_context()
    all_routers = routers(count, zones=14)
    fewer = all_routers[:-1]
    row: Row = {"routers": count}
    row["ring_ms"] = 1e3 * min(cpu_seconds(lambda: OwnerRing(all_routers)) for _ in range(3))
    membership = FixedMembership(all_routers)
    distributed_map = filled_map(context, membership, 0, STORED_ENTRIES, RECENT_ENTRIES)
    gc.collect()
    row["session_map_ms"] = 1e3 * cpu_seconds(lambda: membership.set(fewer))
    row["handed_over"] = len(distributed_map._pending_handover)
    distributed_map._pending_handover.clear()
    own = DiscardingMessenger(all_routers[0])
    membership = FixedMembership(all_routers)
    registry = WorkerRegistry(context, own, membership, settings())
    for number in range(POOLS):
        registry.watch(PoolName(f"pool-{number}"))
    row["registry_ms"] = 1e3 * cpu_seconds(lambda: membership.set(fewer))
    membership = FixedMembership(all_routers)
    shares = FleetShares(context, own, membership)
    tenants = [
        Tenant(name=TenantName(f"tenant-{number}"), priority_class=ClassName("gold"), paid_rate=10.0)
        for number in range(TENANTS)
    ]
    row["share_keepers_first_ms"] = 1e3 * cpu_seconds(lambda: [shares.allocator_of(tenant.name) for tenant in tenants])

    def changed() -> None:
        membership.set(fewer)
        for tenant in tenants:
            shares.allocator_of(tenant.name)

    row["share_keepers_ms"] = 1e3 * cpu_seconds(changed)
    row["all_ms"] = row["session_map_ms"] + row["registry_ms"] + row["share_keepers_ms"]
    return row


def measure() -> list[Row]:
    return [asyncio.run(_measure_routers(count)) for count in ROUTERS]
