"""The order in which all routers try workers for a prefix that none is known to cache (docs/DESIGN.md section 11.5)."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

from ..identifiers import PoolName, WorkerInstance
from ..membership.rendezvous import ranked
from ..registry.protocols import Worker

MAX_CACHED_ORDERS = 4_000
MAX_CACHED_ORDER_RATIO = 2
"""A cached order also serves a subset of its workers, unless it is more than this many times as long."""


class PrefixOrders:
    """A cache of rendezvous orders with least-recently-used eviction."""

    def __init__(self, max_orders: int = MAX_CACHED_ORDERS) -> None:
        self._max_orders = max_orders
        self._orders: OrderedDict[tuple[str, ...], tuple[WorkerInstance, ...]] = OrderedDict()

    def order(self, pool: PoolName, prefix: tuple[str, ...], ready: Sequence[Worker]) -> list[Worker]:
        """Returns the ready workers in an order that is the same at every router with the same ready workers."""
        name = (pool, *prefix)
        by_instance = {worker.instance: worker for worker in ready}
        order = self._orders.get(name)
        if (
            order is None
            or len(order) > MAX_CACHED_ORDER_RATIO * len(by_instance)
            or not by_instance.keys() <= set(order)
        ):
            order = tuple(ranked("\n".join(name), sorted(by_instance), str))
            self._orders[name] = order
            if len(self._orders) > self._max_orders:
                self._orders.popitem(last=False)
        self._orders.move_to_end(name)
        return [by_instance[instance] for instance in order if instance in by_instance]
