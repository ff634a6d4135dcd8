"""Creates the balancing policy that the settings name (docs/DESIGN.md section 11.6)."""

from __future__ import annotations

from ..context.protocols import Context
from ..membership.protocols import Membership
from ..registry.worker_registry import WorkerRegistry
from ..settings.model import DaemonSettings
from ..transport.messenger import Messenger
from .plain_policies import LeastLoaded, RoundRobin, StickyByHash
from .protocols import Placement
from .queue_owners import RouterQueueOwners
from .reservation_placement import ReservationPlacement
from .session_map import DistributedMap


def create_placement(
    context: Context,
    messenger: Messenger,
    membership: Membership,
    registry: WorkerRegistry,
    settings: DaemonSettings,
) -> Placement:
    """Creates the placement of one router, as ``settings.balancing`` says."""
    match settings.balancing:
        case "round-robin":
            return RoundRobin(context, registry, registry)
        case "least-loaded":
            return LeastLoaded(context, registry, registry)
        case "sticky":
            return StickyByHash(context, registry, registry)
        case "award":
            session_map = DistributedMap(context, messenger, membership)
            placement = ReservationPlacement(
                context,
                membership,
                registry,
                registry,
                session_map,
                zone=settings.zone,
                queue_owners=RouterQueueOwners(context, messenger, membership),
            )
            session_map.on_entry_stored = placement.entry_stored
            return placement
