"""Forwards workers' renewals to the owners of their pools in batches (docs/DESIGN.md section 10.1)."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import msgspec
from returns.result import Success

from ..context.protocols import Context
from ..identifiers import Address, Seconds, WorkerInstance
from ..transport.frames import Identity
from ..transport.messenger import Messenger
from .messages import Renewal, RenewalBatch, RenewalBatchReceipt
from .pool_owners import PoolOwners
from .pool_ownership import PoolOwnership
from .state_delivery import DELIVERY_TIMEOUT_S

RENEWAL_INTERVAL_S = Seconds(0.25)
"""Time between two batches of renewals to the owners."""


class _Batch(msgspec.Struct, frozen=True):
    """The renewals that are forwarded to one owner."""

    owner: Identity
    renewals: list[Renewal] = msgspec.field(default_factory=list)


class RenewalForwarder:
    """Owns the renewals that were received since the last batch, the latest one of each worker."""

    def __init__(
        self,
        context: Context,
        messenger: Messenger,
        pool_owners: PoolOwners,
        ownership: PoolOwnership,
        on_unknown: Callable[[Sequence[WorkerInstance]], None],
    ) -> None:
        """``on_unknown`` is called with the workers that an owner does not know."""
        self._context = context
        self._messenger = messenger
        self._pool_owners = pool_owners
        self._ownership = ownership
        self._on_unknown = on_unknown
        self._renewals: dict[WorkerInstance, Renewal] = {}

    def add(self, renewal: Renewal) -> None:
        """Adds a renewal to the next batch, in place of an earlier one of the same worker."""
        self._renewals[renewal.instance] = renewal

    async def run(self) -> None:
        """Forwards batches until it is cancelled."""
        while True:
            await self._context.clock.sleep(RENEWAL_INTERVAL_S)
            renewals, self._renewals = self._renewals, {}
            batches: dict[Address, _Batch] = {}
            for _, renewal in sorted(renewals.items()):
                for owner in self._pool_owners.by_zone(renewal.pool).values():
                    batches.setdefault(owner.internal, _Batch(owner)).renewals.append(renewal)
            for _, batch in sorted(batches.items(), key=lambda item: item[0]):
                if batch.owner.incarnation == self._messenger.identity.incarnation:
                    self._on_unknown(self._ownership.renew(batch.renewals))
                else:
                    self._context.tasks.spawn(f"renewals to {batch.owner.name}", self._forward(batch))

    async def _forward(self, batch: _Batch) -> None:
        outcome = await self._messenger.call(
            batch.owner.internal, RenewalBatch(tuple(batch.renewals)), RenewalBatchReceipt, DELIVERY_TIMEOUT_S
        )
        if isinstance(outcome, Success):
            self._on_unknown(outcome.unwrap().unknown)
