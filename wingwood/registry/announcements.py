"""What workers tell of themselves, whatever form they tell it in (docs/DESIGN.md section 10.1)."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import msgspec
from returns.result import Result

from ..identifiers import WorkerInstance
from ..operator_api.protocols import OperatorReply, OperatorRequest
from .protocols import Worker


class Announcement(msgspec.Struct, frozen=True):
    """A worker's own word on itself."""

    worker: Worker
    sequence: int = 0
    """Rises with each announcement of one instance where workers number them; 0 where they don't."""


class Departure(msgspec.Struct, frozen=True):
    """The worker takes no new turns from now on. It names only itself."""

    instance: WorkerInstance


class AnnouncementRoute(msgspec.Struct, frozen=True):
    method: str
    path: str
    """As ``OperatorRoutes.add`` takes it."""


class AnnouncementFormat(Protocol):
    """The workers' edge: names, paths, bodies and status codes. Decides nothing."""

    @property
    def routes(self) -> Sequence[AnnouncementRoute]: ...

    def read(self, request: OperatorRequest) -> Result[Announcement | Departure, str]:
        """What the worker tells, or what is wrong with the request."""
        ...

    def malformed(self, problem: str) -> OperatorReply: ...

    def acknowledged(self, worker: Worker) -> OperatorReply:
        """Acknowledged: renewed, or its new state is safe with the fleet."""
        ...

    def departure_acknowledged(self, instance: WorkerInstance) -> OperatorReply:
        """Acknowledged: nobody in the fleet knows such a worker, so nobody sends it turns."""
        ...

    def instance_over(self, worker: Worker) -> OperatorReply:
        """The announced state goes back behind a final one, which ``worker`` holds."""
        ...

    def try_another_daemon(self, reason: str) -> OperatorReply:
        """Not acknowledged: the worker should tell another daemon, which is harmless to repeat."""
        ...
