"""Adapters: interfaces of a deployment's surroundings that replace or extend the product's own HTTP interface
(docs/DESIGN.md section 15.5).
"""

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
    """The state of a router that the HTTP routes of a adapter may read."""

    def health(self) -> HealthReport:
        """Returns the current health of the router."""
        ...


class ControlState(Protocol):
    """The state of a control daemon that the HTTP routes of a adapter may read."""

    @property
    def editions(self) -> EditionClient:
        """The client that submits and reads editions."""
        ...


def _add_no_routes(_state: object, _routes: OperatorRoutes) -> None:
    """Adds nothing: the product's own routes suffice."""


class RouterAdapter(msgspec.Struct, frozen=True, kw_only=True):
    """The formats and additional HTTP routes of a router."""

    add_routes: Callable[[RouterState, OperatorRoutes], None] = _add_no_routes
    formats: Formats = DEFAULT_FORMATS
    """The formats of calls from callers and of calls to workers."""


class ControlAdapter(msgspec.Struct, frozen=True, kw_only=True):
    """The formats and additional HTTP routes of a control daemon."""

    add_routes: Callable[[ControlState, OperatorRoutes], None] = _add_no_routes
    announcements: AnnouncementFormat = msgspec.field(default_factory=DefaultAnnouncementFormat)
    """The format in which workers announce themselves."""
