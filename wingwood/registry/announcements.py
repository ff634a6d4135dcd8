"""Announcements of workers, independent of their HTTP format (docs/DESIGN.md section 10.1)."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import msgspec
from returns.result import Result

from ..identifiers import WorkerInstance
from ..operator_api.protocols import OperatorReply, OperatorRequest
from .protocols import Worker


class Announcement(msgspec.Struct, frozen=True):
    """A worker's announcement about itself."""

    worker: Worker
    sequence: int = 0
    """Increases with each announcement of an instance; 0 if the worker does not number its announcements."""


class Departure(msgspec.Struct, frozen=True):
    """A worker stops accepting new turns. The message contains nothing but its instance id."""

    instance: WorkerInstance


class AnnouncementRoute(msgspec.Struct, frozen=True):
    """An HTTP route on which workers announce themselves."""

    method: str
    path: str
    """In the syntax that ``OperatorRoutes.add`` accepts."""


class AnnouncementFormat(Protocol):
    """HTTP format between workers and daemons: names, paths, bodies and status codes. It makes no decisions."""

    @property
    def routes(self) -> Sequence[AnnouncementRoute]:
        """The routes on which workers announce themselves."""
        ...

    def read(self, request: OperatorRequest) -> Result[Announcement | Departure, str]:
        """Returns the parsed announcement, or a text that says what is wrong with the request."""
        ...

    def malformed(self, problem: str) -> OperatorReply:
        """Returns the reply to a request that could not be read."""
        ...

    def acknowledged(self, worker: Worker) -> OperatorReply:
        """Returns the acknowledgement: the worker is renewed, or its new state is stored safely in the fleet."""
        ...

    def departure_acknowledged(self, instance: WorkerInstance) -> OperatorReply:
        """Returns the acknowledgement of a departure when no daemon knows the worker, so none sends it turns."""
        ...

    def instance_ended(self, worker: Worker) -> OperatorReply:
        """Returns the refusal of a state that is earlier than the final state in ``worker``."""
        ...

    def try_another_daemon(self, reason: str) -> OperatorReply:
        """Returns the reply without acknowledgement: the worker should announce to another daemon.

        Repeating an announcement is harmless.
        """
        ...
