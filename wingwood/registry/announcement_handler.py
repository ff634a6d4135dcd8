"""Receives workers' announcements and acknowledges them (docs/DESIGN.md sections 10.1 and 10.2)."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping, Sequence

import msgspec
from returns.result import Failure, Success

from ..context.protocols import Context
from ..identifiers import PoolName, Seconds, WorkerInstance, Zone
from ..membership.protocols import Membership
from ..membership.rendezvous import ranked
from ..operator_api.protocols import OperatorReply, OperatorRequest
from ..transport.frames import Identity
from ..transport.messenger import Messenger
from .announcements import Announcement, AnnouncementFormat, Departure
from .messages import Renewal, WorkerQuery, WorkerQueryReply
from .pool_owners import PoolOwners
from .pool_ownership import PoolOwnership
from .pool_table import STATE_ORDER
from .protocols import Worker
from .renewal_forwarder import RenewalForwarder
from .state_delivery import StateDelivery
from .worker_directory import WorkerDirectory

WORKER_QUERY_TIMEOUT_S = Seconds(0.2)
CONTACT_MAX_AGE_S = Seconds(1.5)
"""A control daemon to which no other daemon has replied for so long considers itself isolated."""
LOOKUP_MAX_AGE_S = Seconds(1.0)
"""A router whose knowledge is older cannot confirm that a worker is unknown."""
MAX_ACKNOWLEDGED = 20_000
"""Limit on the workers whose acknowledged announcement is stored; the oldest are dropped first."""


class AnnouncementHandler:
    """Runs on every daemon to which workers announce themselves.

    New instances and states are delivered to the owners before they are acknowledged. Renewals are acknowledged
    immediately and forwarded in batches. Owns the acknowledged announcements, by which renewals are recognized.
    """

    def __init__(
        self,
        context: Context,
        messenger: Messenger,
        membership: Membership,
        directory: WorkerDirectory,
        pool_owners: PoolOwners,
        ownership: PoolOwnership,
        announcement_format: AnnouncementFormat,
    ) -> None:
        self._context = context
        self._messenger = messenger
        self._membership = membership
        self._directory = directory
        self._pool_owners = pool_owners
        self._announcement_format = announcement_format
        self._delivery = StateDelivery(context, messenger, membership, pool_owners, ownership)
        self._renewals = RenewalForwarder(context, messenger, pool_owners, ownership, self._discard_acknowledgements)
        self._acknowledged: dict[WorkerInstance, Worker] = {}

    def start(self) -> None:
        """Starts to forward renewals."""
        self._context.tasks.spawn("worker renewals", self._renewals.run())

    async def handle_announcement(self, request: OperatorRequest) -> OperatorReply:
        """Handles an HTTP request in the deployment's announcement format."""
        match self._announcement_format.read(request):
            case Success(Announcement(worker, sequence)):
                return await self.accept_announcement(worker, sequence)
            case Success(Departure(instance)):
                return await self.accept_departure(instance)
            case Failure(problem):
                return self._announcement_format.malformed(problem)
        raise AssertionError("a result is a success or a failure")

    async def accept_announcement(self, worker: Worker, sequence: int = 0) -> OperatorReply:
        """Handles an announcement; a new instance or state is delivered to the owners before the acknowledgement."""
        if self._is_isolated():
            return self._announcement_format.try_another_daemon("no other control daemon answers this one")
        if self._acknowledged.get(worker.instance) == _without_volatile_fields(worker):
            load = worker.load
            figures = None if load is None else (load.running, load.waiting, load.cache_tokens_used)
            self._renewals.add(Renewal(worker.pool, worker.instance, figures, sequence))
            return self._announcement_format.acknowledged(worker)
        delivery = await self._delivery.deliver(worker, sequence)
        if not delivery.owners:
            return self._announcement_format.try_another_daemon("this daemon knows no router yet")
        missing = delivery.missing()
        if missing and worker.state != "ready":
            self._context.tasks.spawn(
                f"retry delivery {worker.instance}", self._delivery.retry(worker, sequence, missing)
            )
        if not delivery.suffices(worker):
            return self._announcement_format.try_another_daemon(
                f"no answer from the home of {', '.join(missing) or 'most zones'}"
            )
        furthest = max((receipt.worker.state for receipt in delivery.receipts()), key=STATE_ORDER.__getitem__)
        if STATE_ORDER[furthest] > STATE_ORDER[worker.state]:
            return self._announcement_format.instance_ended(msgspec.structs.replace(worker, state=furthest))
        self._acknowledge(worker)
        return self._announcement_format.acknowledged(worker)

    def owners_changed(self, before: Mapping[PoolName, Mapping[Zone, Identity]]) -> None:
        """Discards acknowledgements by former owners, so that the next renewal is delivered in full.

        ``before``: the owners before the change.
        """
        for instance, worker in sorted(self._acknowledged.items()):
            if before.get(worker.pool) != self._pool_owners.by_zone(worker.pool):
                del self._acknowledged[instance]

    # --- departures that name only the instance -----------------------------------------------

    async def accept_departure(self, instance: WorkerInstance) -> OperatorReply:
        """Handles a departure: the worker's other attributes are looked up, then its state gone is delivered."""
        if self._is_isolated():
            return self._announcement_format.try_another_daemon("no other control daemon answers this one")
        worker = self._directory.find(instance) or self._acknowledged.get(instance)
        if worker is None:
            reply = await self._look_up(instance)
            if reply is None:
                return self._announcement_format.try_another_daemon("too few routers could tell who this is")
            worker = reply.worker
        if worker is None:
            return self._announcement_format.departure_acknowledged(instance)
        return await self.accept_announcement(msgspec.structs.replace(worker, state="gone"))

    async def _look_up(self, instance: WorkerInstance) -> WorkerQueryReply | None:
        """Asks one router of each zone for the worker.

        Returns None unless one of them knows the worker or a majority have recent knowledge and do not know it.
        """
        zones: dict[Zone, list[Identity]] = {}
        for router in self._membership.routers():
            zones.setdefault(router.zone, []).append(router)
        asked = [ranked(f"departure/{instance}", routers, lambda router: router.name)[0] for routers in zones.values()]
        replies = await asyncio.gather(*(self._query(router, instance) for router in asked))
        received = [reply for reply in replies if reply is not None]
        known = next((reply for reply in received if reply.worker is not None), None)
        if known is not None:
            return known
        recent = [reply for reply in received if reply.age <= LOOKUP_MAX_AGE_S]
        return recent[0] if 2 * len(recent) > len(asked) else None

    async def _query(self, router: Identity, instance: WorkerInstance) -> WorkerQueryReply | None:
        outcome = await self._messenger.call(
            router.internal, WorkerQuery(instance), WorkerQueryReply, WORKER_QUERY_TIMEOUT_S
        )
        return outcome.unwrap() if isinstance(outcome, Success) else None

    # --- acknowledgements ---------------------------------------------------------------------

    def _is_isolated(self) -> bool:
        """Returns whether this control daemon has had no contact with the others for too long.

        Routers never count as isolated: they retain their last known members, so unreachable owners are noticed. A
        control daemon alone removes its members after a time, so it would not notice which owners are missing.
        """
        if self._messenger.identity.role == "router":
            return False
        confirmed_at = self._membership.session_confirmed_at()
        return confirmed_at is not None and self._context.clock.monotonic() - confirmed_at > CONTACT_MAX_AGE_S

    def _acknowledge(self, worker: Worker) -> None:
        self._acknowledged[worker.instance] = _without_volatile_fields(worker)
        while len(self._acknowledged) > MAX_ACKNOWLEDGED:
            del self._acknowledged[next(iter(self._acknowledged))]

    def _discard_acknowledgements(self, instances: Sequence[WorkerInstance]) -> None:
        for instance in instances:
            self._acknowledged.pop(instance, None)


def _without_volatile_fields(worker: Worker) -> Worker:
    """Returns the worker without its load, which renewals carry, and the slow start, which each daemon counts down."""
    return msgspec.structs.replace(worker, load=None, slow_start_remaining=Seconds(0.0))
