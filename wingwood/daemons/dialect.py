"""What a deployment's surroundings speak where it is not the product's own interface (docs/DESIGN.md section 15.5)."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import msgspec

from ..forward.formats import Formats
from ..forward.request_path import DEFAULT_FORMATS
from ..operator_api.editions import EditionClient
from ..operator_api.protocols import OperatorRoutes
from ..operator_api.reading import HealthReport
from ..registry.announcements import AnnouncementFormat
from ..registry.worker_announcements import DefaultAnnouncementFormat


class RouterState(Protocol):
    """What a dialect's routes may ask of a router."""

    def health(self) -> HealthReport: ...


class ControlState(Protocol):
    """What a dialect's routes may ask of a control daemon."""

    @property
    def editions(self) -> EditionClient: ...


class RouterDialect(msgspec.Struct, frozen=True, kw_only=True):
    """Formats and further routes of a router."""

    add_routes: Callable[[RouterState, OperatorRoutes], None] = lambda router, routes: None
    formats: Formats = DEFAULT_FORMATS
    """How callers call, and how workers are called."""


class ControlDialect(msgspec.Struct, frozen=True, kw_only=True):
    """Formats and further routes of a control daemon."""

    add_routes: Callable[[ControlState, OperatorRoutes], None] = lambda control, routes: None
    announcements: AnnouncementFormat = msgspec.field(default_factory=DefaultAnnouncementFormat)
    """How workers announce themselves."""
