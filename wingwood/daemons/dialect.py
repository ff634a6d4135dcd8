"""What a deployment's surroundings speak where it is not the product's own interface (docs/DESIGN.md section 15.5)."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec

from ..forward.formats import Formats
from ..forward.request_path import OWN_FORMATS
from ..operator_api.protocols import OperatorRoutes
from ..registry.announcements import AnnouncementFormat
from ..registry.worker_announcements import OwnAnnouncements

if TYPE_CHECKING:
    from .control import ControlParts
    from .router import RouterDaemon


class RouterDialect(msgspec.Struct, frozen=True, kw_only=True):
    """Formats and further routes of a router."""

    add_routes: Callable[[RouterDaemon, OperatorRoutes], None] = lambda daemon, routes: None
    formats: Formats = OWN_FORMATS
    """How callers call, and how workers are called."""


class ControlDialect(msgspec.Struct, frozen=True, kw_only=True):
    """Formats and further routes of a control daemon."""

    add_routes: Callable[[ControlParts, OperatorRoutes], None] = lambda parts, routes: None
    announcements: AnnouncementFormat = msgspec.field(default_factory=OwnAnnouncements)
    """How workers announce themselves."""
