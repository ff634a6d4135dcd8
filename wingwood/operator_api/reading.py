"""The HTTP routes that operators and the platform read from (docs/DESIGN.md section 15.3).

The handlers take callables, so that routers and control daemons can each supply the data they have.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Literal

import msgspec
from prometheus_client import CollectorRegistry, generate_latest
from returns.result import Failure, Success

from ..bundle.errors import BundleReadError
from ..bundle.model import Bundle, Manifest
from ..bundle.reading import BundleReader, BundleView, HistoryAnswer, view_of
from ..control.protocols import ViewReport
from ..identifiers import BundleVersion, DaemonName, Incarnation, Seconds, SliceName, Zone
from ..transport.frames import Identity
from .protocols import OperatorReply, OperatorRequest, OperatorRoutes, error_reply

METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
MAX_HISTORY_ENTRIES = 1_000
"""The largest number of history entries that one request may ask for."""


class BundleDocument(msgspec.Struct, frozen=True, kw_only=True):
    """A bundle as a JSON document; it contains the slices byte for byte as they were signed."""

    version: BundleVersion
    is_latest: bool = msgspec.field(name="newest")
    """Whether control stated that this is the latest version; False for the bundle in force and for older versions."""
    manifest: Manifest
    slices: dict[SliceName, msgspec.Raw]


class HealthReport(msgspec.Struct, frozen=True, kw_only=True):
    """The status of one daemon."""

    name: DaemonName
    role: Literal["router", "control"]
    zone: Zone
    incarnation: Incarnation
    ready: bool
    reasons: tuple[str, ...] = ()
    """Why it is not ready, or what else an operator should know."""
    version: BundleVersion = BundleVersion(0)
    """The version in force on this daemon."""
    bundle_proven_age: Seconds | None = None
    """The number of seconds since ``version`` was last proven to be the latest; None without a proof."""
    session_age: Seconds | None = None
    """The number of seconds since the session with control was last confirmed; None without a session."""
    members: int = 0
    workers_ready: int = 0
    control: ViewReport | None = None
    """On control daemons: which daemon is primary, and whether the fleet could survive another loss now."""


class ReadRoutes:
    """The ``GET`` routes for bundle, history, members, workers, health, live, ready and metrics.

    ``current`` returns the bundle in force on this daemon. ``reader`` reads what control stores; it is None where
    control cannot be asked. ``workers`` returns the known workers as JSON documents. ``health`` is called for each
    request; ``/ready`` and ``/live`` answer 200 or 503.
    """

    def __init__(
        self,
        *,
        current: Callable[[], Bundle | None],
        reader: BundleReader | None,
        members: Callable[[], Sequence[Identity]],
        workers: Callable[[], Sequence[msgspec.Struct]],
        health: Callable[[], HealthReport],
        live: Callable[[], bool] = lambda: True,
        metrics: CollectorRegistry | None = None,
    ) -> None:
        self._current = current
        self._reader = reader
        self._members = members
        self._workers = workers
        self._health = health
        self._live = live
        self._metrics = metrics

    def add_to(self, routes: OperatorRoutes) -> None:
        """Adds the routes to the table of a server."""
        for path, handler in (
            ("/control/v1/bundle", self.bundle),
            ("/control/v1/history", self.history),
            ("/control/v1/members", self.members),
            ("/control/v1/workers", self.workers),
            ("/control/v1/health", self.health),
            ("/live", self.live),
            ("/ready", self.ready),
            ("/metrics", self.metrics),
        ):
            routes.add("GET", path, handler)

    async def bundle(self, request: OperatorRequest) -> OperatorReply:
        """Returns the bundle in force on this daemon.

        ``?newest=1`` asks control for the latest version, and ``?version=N`` for an older one that control stores.
        """
        version = _number(request, "version", 0)
        if version is None:
            return error_reply(400, "malformed", "version must be a whole number such as ?version=12")
        in_force = self._current()
        if in_force is not None and version == in_force.version:
            return _bundle_reply(view_of(in_force), is_latest=False)
        if version or in_force is None or request.query.get("newest") == "1":
            answer = await self._bundle_from_control(version, in_force is None)
            if answer is not None:
                return answer
        assert in_force is not None, (
            "without a bundle in force, the reply from control or its error has been returned above"
        )
        return _bundle_reply(view_of(in_force), is_latest=False)

    async def _bundle_from_control(self, version: BundleVersion, required: bool) -> OperatorReply | None:
        """Returns the reply built from control's answer.

        Returns None when control cannot be asked and the bundle in force is to be returned instead. With ``required``
        an error is returned in that case.
        """
        if self._reader is None:
            if version:
                return error_reply(404, "not-kept", "older versions are asked of control daemons")
            return _unreachable("no bundle is in force here, and control is not asked from here") if required else None
        match await self._reader.bundle(version):
            case Success(answer):
                if answer.view is not None:
                    return _bundle_reply(answer.view, is_latest=answer.view.manifest.version == answer.latest)
                if answer.latest == 0:
                    return error_reply(404, "no-bundle", "there is no bundle yet; push one")
                return error_reply(
                    404,
                    "not-kept",
                    f"version {version} is not kept; the newest is {answer.latest}, see history_versions",
                )
            case Failure(BundleReadError(reason)):
                return _unreachable(reason) if version or required else None
        raise AssertionError("a result is a success or a failure")

    async def history(self, request: OperatorRequest) -> OperatorReply:
        """Returns the ``?most=N`` latest history entries, the latest first."""
        most = _number(request, "most", 50)
        if most is None or not 0 < most <= MAX_HISTORY_ENTRIES:
            return error_reply(400, "malformed", f"most must be a whole number from 1 to {MAX_HISTORY_ENTRIES}")
        if self._reader is None:
            return error_reply(404, "not-kept", "the history is asked of control daemons")
        match await self._reader.history(most):
            case Success(HistoryAnswer() as answer):
                return OperatorReply(body=answer)
            case Failure(BundleReadError(reason)):
                return _unreachable(reason)
        raise AssertionError("a result is a success or a failure")

    async def members(self, _request: OperatorRequest) -> OperatorReply:
        """Returns the daemons that this daemon counts as members of the fleet."""
        return OperatorReply(body=list(self._members()))

    async def workers(self, _request: OperatorRequest) -> OperatorReply:
        """Returns the workers that this daemon knows, in any state."""
        return OperatorReply(body=list(self._workers()))

    async def health(self, _request: OperatorRequest) -> OperatorReply:
        """Returns this daemon's ``HealthReport``; always 200, also when the daemon is not ready."""
        return OperatorReply(body=self._health())

    async def live(self, _request: OperatorRequest) -> OperatorReply:
        """Returns 200 while the process works, else 503."""
        alive = self._live()
        return OperatorReply(status=200 if alive else 503, body={"live": alive})

    async def ready(self, _request: OperatorRequest) -> OperatorReply:
        """Returns 200 when this daemon may be sent requests, else 503 with the reasons."""
        report = self._health()
        body: dict[str, object] = {"ready": report.ready, "reasons": list(report.reasons)}
        return OperatorReply(status=200 if report.ready else 503, body=body)

    async def metrics(self, _request: OperatorRequest) -> OperatorReply:
        """Returns the metrics in Prometheus' text format; 404 on a daemon without metrics."""
        if self._metrics is None:
            return error_reply(404, "no-metrics", "this daemon counts nothing")
        return OperatorReply(body=generate_latest(self._metrics), headers=(("Content-Type", METRICS_TYPE),))


def _unreachable(reason: str) -> OperatorReply:
    return error_reply(503, "unreachable", reason, (("Retry-After", "1"),))


def _number(request: OperatorRequest, name: str, default: int) -> BundleVersion | None:
    """Returns the query parameter ``name`` as a number, or ``default`` without it; None when it is no number."""
    text = request.query.get(name, str(default))
    return BundleVersion(int(text)) if text.isascii() and text.isdigit() and len(text) < 16 else None


def _bundle_reply(view: BundleView, is_latest: bool) -> OperatorReply:
    return OperatorReply(
        body=BundleDocument(
            version=view.manifest.version,
            is_latest=is_latest,
            manifest=view.manifest,
            slices={name: msgspec.Raw(view.slices[name]) for name in sorted(view.slices)},
        )
    )
