"""The order in which all routers try workers for a prefix nobody is known to keep (docs/DESIGN.md section 11.5)."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

from ..identifiers import PoolName, WorkerInstance
from ..membership.rendezvous import ranked
from ..registry.protocols import Worker

MAX_CACHED_ORDERS = 4_000
MAX_CACHED_ORDER_RATIO = 2
"""An order over more workers serves a part of them too, as long as it isn't so many times longer."""


class PrefixOrders:
    """Rendezvous orders, the most lately used kept."""

    def __init__(self, max_orders: int = MAX_CACHED_ORDERS) -> None:
        self._max_orders = max_orders
        self._orders: OrderedDict[tuple[str, ...], tuple[WorkerInstance, ...]] = OrderedDict()

    def order(self, pool: PoolName, prefix: tuple[str, ...], ready: Sequence[Worker]) -> list[Worker]:
        """The ready workers; the same ones in the same order wherever it is asked."""
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
