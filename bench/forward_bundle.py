"""Builds the bundle and worker of the forwarding bench: two services on one worker, for one tenant with one key."""

from __future__ import annotations

from emulator.router_fakes import bundle_with, digest_of
from wingwood.bundle.model import Bundle, PriorityClass, Service, Tenant
from wingwood.identifiers import Address, ClassName, PoolName, ServiceName, TenantName, WorkerInstance, Zone
from wingwood.registry.protocols import Worker

POOL = PoolName("model")


def bench_bundle(key: str) -> Bundle:
    tenant = Tenant(
        name=TenantName("bench"), priority_class=ClassName("gold"), paid_rate=1e6, keys=(digest_of(key),), services=()
    )
    services = [
        Service(name=ServiceName("chat"), pool=POOL),
        Service(name=ServiceName("plain"), pool=POOL, kind="plain", streaming=False),
    ]
    return bundle_with(services, [tenant], [PriorityClass(name=ClassName("gold"))])


def bench_worker(address: Address) -> Worker:
    return Worker(instance=WorkerInstance("w-1"), address=address, pool=POOL, zone=Zone("a"), slots=1000)
