"""What operators and the platform read (docs/DESIGN.md section 15.3).

The handlers take small callables, so that routers and control daemons wire in what they have.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Literal

import msgspec
from prometheus_client import CollectorRegistry, generate_latest
from returns.result import Failure, Success

from ..bundle.model import Bundle, Manifest
from ..bundle.reading import BundleReader, BundleView, HistoryAnswer, NotReadable, view_of
from ..control.protocols import ViewReport
from ..identifiers import BundleVersion, DaemonName, Incarnation, Seconds, SliceName, Zone
from ..registry.protocols import Worker
from ..transport.frames import Identity
from .protocols import OperatorReply, OperatorRequest, OperatorRoutes, error_reply

METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
MAX_HISTORY_ENTRIES = 1_000


class BundleDocument(msgspec.Struct, frozen=True, kw_only=True):
    """A bundle as JSON: the slices stand in it byte for byte as they were signed."""

    version: BundleVersion
    newest: bool
    """Whether control said that this is the newest; False: in force here, or an older one."""
    manifest: Manifest
    slices: dict[SliceName, msgspec.Raw]


class HealthReport(msgspec.Struct, frozen=True, kw_only=True):
    """How one daemon stands."""

    name: DaemonName
    role: Literal["router", "control"]
    zone: Zone
    incarnation: Incarnation
    ready: bool
    reasons: tuple[str, ...] = ()
    """Why it is not ready, or what else an operator should know."""
    version: BundleVersion = BundleVersion(0)
    """In force here."""
    bundle_proven_age: Seconds | None = None
    """Since ``version`` was last proven to be the newest."""
    session_age: Seconds | None = None
    """Since the session with control was last confirmed."""
    members: int = 0
    workers_ready: int = 0
    control: ViewReport | None = None
    """On control daemons: who leads, and whether another loss could be borne now."""


class ReadRoutes:
    """``GET`` bundle, history, members, workers, health, live, ready, metrics.

    ``current``: the bundle in force here. ``reader``: what control keeps; None where it can't be asked.
    ``health`` is made anew for each call; ``/ready`` and ``/live`` answer 200 or 503.
    """

    def __init__(
        self,
        *,
        current: Callable[[], Bundle | None],
        reader: BundleReader | None,
        members: Callable[[], Sequence[Identity]],
        workers: Callable[[], Sequence[Worker]],
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
        """In force here; ``?newest=1`` asks control, ``?version=N`` for an older one that control keeps."""
        version = _number(request, "version", 0)
        if version is None:
            return error_reply(400, "malformed", "version must be a whole number such as ?version=12")
        here = self._current()
        if here is not None and version == here.version:
            return _bundle_reply(view_of(here), newest=False)
        if version or here is None or request.query.get("newest") == "1":
            answer = await self._bundle_from_control(version, here is None)
            if answer is not None:
                return answer
        assert here is not None, "without one here, control's answer or its silence has been given"
        return _bundle_reply(view_of(here), newest=False)

    async def _bundle_from_control(self, version: BundleVersion, required: bool) -> OperatorReply | None:
        """None: control can't be asked, and what is in force here will do (not when it ``required``)."""
        if self._reader is None:
            if version:
                return error_reply(404, "not-kept", "older versions are asked of control daemons")
            return _unreachable("no bundle is in force here, and control is not asked from here") if required else None
        match await self._reader.bundle(version):
            case Success(answer):
                if answer.view is not None:
                    return _bundle_reply(answer.view, newest=answer.view.manifest.version == answer.newest)
                if answer.newest == 0:
                    return error_reply(404, "no-bundle", "there is no bundle yet; push one")
                return error_reply(
                    404,
                    "not-kept",
                    f"version {version} is not kept; the newest is {answer.newest}, see history_versions",
                )
            case Failure(NotReadable(reason)):
                return _unreachable(reason) if version or required else None
        raise AssertionError("a result is a success or a failure")

    async def history(self, request: OperatorRequest) -> OperatorReply:
        """``?most=N`` entries, newest first."""
        most = _number(request, "most", 50)
        if most is None or not 0 < most <= MAX_HISTORY_ENTRIES:
            return error_reply(400, "malformed", f"most must be a whole number from 1 to {MAX_HISTORY_ENTRIES}")
        if self._reader is None:
            return error_reply(404, "not-kept", "the history is asked of control daemons")
        match await self._reader.history(most):
            case Success(HistoryAnswer() as answer):
                return OperatorReply(body=answer)
            case Failure(NotReadable(reason)):
                return _unreachable(reason)
        raise AssertionError("a result is a success or a failure")

    async def members(self, _request: OperatorRequest) -> OperatorReply:
        return OperatorReply(body=list(self._members()))

    async def workers(self, _request: OperatorRequest) -> OperatorReply:
        return OperatorReply(body=list(self._workers()))

    async def health(self, _request: OperatorRequest) -> OperatorReply:
        return OperatorReply(body=self._health())

    async def live(self, _request: OperatorRequest) -> OperatorReply:
        alive = self._live()
        return OperatorReply(status=200 if alive else 503, body={"live": alive})

    async def ready(self, _request: OperatorRequest) -> OperatorReply:
        report = self._health()
        body: dict[str, object] = {"ready": report.ready, "reasons": list(report.reasons)}
        return OperatorReply(status=200 if report.ready else 503, body=body)

    async def metrics(self, _request: OperatorRequest) -> OperatorReply:
        if self._metrics is None:
            return error_reply(404, "no-metrics", "this daemon counts nothing")
        return OperatorReply(body=generate_latest(self._metrics), headers=(("Content-Type", METRICS_TYPE),))


def _unreachable(reason: str) -> OperatorReply:
    return error_reply(503, "unreachable", reason, (("Retry-After", "1"),))


def _number(request: OperatorRequest, name: str, default: int) -> BundleVersion | None:
    text = request.query.get(name, str(default))
    return BundleVersion(int(text)) if text.isascii() and text.isdigit() and len(text) < 16 else None


def _bundle_reply(view: BundleView, newest: bool) -> OperatorReply:
    return OperatorReply(
        body=BundleDocument(
            version=view.manifest.version,
            newest=newest,
            manifest=view.manifest,
            slices={name: msgspec.Raw(view.slices[name]) for name in sorted(view.slices)},
        )
    )
