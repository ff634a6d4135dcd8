"""Deliberately broken variants of the fleet, to show that each check of the observer can fail.

They exist in the test harness only: wrappers around what a daemon gets from its context, or other
settings than the deployment's (docs/DESIGN.md section 16.3).
"""

from __future__ import annotations

import asyncio
import importlib
import re
from collections.abc import Callable, Sequence
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from wingwood.context.protocols import (
    Context,
    Disk,
    DiskFault,
    HttpClient,
    HttpExchange,
    HttpFault,
    HttpHead,
    HttpRequest,
)
from wingwood.identifiers import Seconds
from wingwood.limits.protocols import ShareRefused
from wingwood.settings.model import DaemonSettings

from .fleet import Build, Builds, Daemon

WORKER_PORT = 9000


class WrappedExchange:
    """Passes everything on; variants override what they break."""

    def __init__(self, inner: HttpExchange) -> None:
        self.inner = inner

    async def head(self) -> Result[HttpHead, HttpFault]:
        return await self.inner.head()

    async def next_chunk(self) -> Result[bytes | None, HttpFault]:
        return await self.inner.next_chunk()

    def cancel(self) -> None:
        self.inner.cancel()

    def request_sent(self) -> bool:
        return self.inner.request_sent()


class WrappedClient:
    """Breaks calls to workers (not health questions)."""

    def __init__(self, inner: HttpClient, wrap: Callable[[HttpClient, HttpRequest], HttpExchange]) -> None:
        self._inner = inner
        self._wrap = wrap

    def start(self, request: HttpRequest) -> HttpExchange:
        if request.method != "POST" or request.address.port != WORKER_PORT:
            return self._inner.start(request)
        return self._wrap(self._inner, request)


def _sent_twice(client: HttpClient, request: HttpRequest) -> HttpExchange:
    client.start(request)
    return client.start(request)


class _DeniesSending(WrappedExchange):
    async def head(self) -> Result[HttpHead, HttpFault]:
        await self.inner.head()
        return Failure(HttpFault("connect", False, "broken variant"))

    def request_sent(self) -> bool:
        return False


class _HoldsPieces(WrappedExchange):
    async def next_chunk(self) -> Result[bytes | None, HttpFault]:
        piece = await self.inner.next_chunk()
        await asyncio.sleep(0.3)
        return piece


class _ChangesStream(WrappedExchange):
    """Loses the third event of each stream."""

    _events = 0

    async def next_chunk(self) -> Result[bytes | None, HttpFault]:
        while True:
            piece = await self.inner.next_chunk()
            if not isinstance(piece, Success) or not piece.unwrap():
                return piece
            self._events += 1
            if self._events != 3 or b"[DONE]" in piece.unwrap():
                return piece


class _NamesAnotherCall(WrappedExchange):
    async def next_chunk(self) -> Result[bytes | None, HttpFault]:
        piece = await self.inner.next_chunk()
        if isinstance(piece, Success) and (data := piece.unwrap()):
            return Success(re.sub(rb'"call":"[^"]', b'"call":"~', data))  # of the same length
        return piece


class _EndsCutStreams(WrappedExchange):
    """Makes a broken stream look whole."""

    _ended = False

    async def next_chunk(self) -> Result[bytes | None, HttpFault]:
        if self._ended:
            return Success(None)
        piece = await self.inner.next_chunk()
        if isinstance(piece, Success):
            return piece
        self._ended = True
        return Success(b"\n\ndata: [DONE]\n\n")


class _IgnoresLeaving(WrappedExchange):
    """Calls go on at their workers when nobody wants them any more."""

    def cancel(self) -> None:
        return None


class _SentLate(WrappedExchange):
    """Sends each call a second late, and doesn't look whether its caller is still there."""

    def __init__(self, client: HttpClient, request: HttpRequest) -> None:
        self._ready: asyncio.Future[HttpExchange] = asyncio.get_running_loop().create_future()
        unchecked = msgspec.structs.replace(request, last_check=None)
        asyncio.get_running_loop().call_later(1.0, lambda: self._ready.set_result(client.start(unchecked)))

    async def head(self) -> Result[HttpHead, HttpFault]:
        return await (await asyncio.shield(self._ready)).head()

    async def next_chunk(self) -> Result[bytes | None, HttpFault]:
        return await (await asyncio.shield(self._ready)).next_chunk()

    def cancel(self) -> None:
        return None

    def request_sent(self) -> bool:
        return True


class ForgetfulDisk:
    """Says yes and writes nothing after the first records."""

    def __init__(self, inner: Disk) -> None:
        self._inner = inner
        self._files: dict[str, bytes] = {}

    async def lock(self) -> Result[None, DiskFault]:
        return await self._inner.lock()

    async def names(self) -> Result[list[str], DiskFault]:
        return Success(sorted(self._files))

    async def read(self, name: str) -> Result[bytes, DiskFault]:
        return Success(self._files[name]) if name in self._files else Failure(DiskFault("missing", name))

    async def append(self, name: str, data: bytes, at: int | None = None) -> Result[None, DiskFault]:
        self._files[name] = self._files.get(name, b"") + data
        return Success(None)

    async def write_new(self, name: str, data: bytes) -> Result[None, DiskFault]:
        self._files[name] = data
        return Success(None)

    async def rename(self, name: str, new_name: str) -> Result[None, DiskFault]:
        self._files[new_name] = self._files.pop(name)
        return Success(None)

    async def truncate(self, name: str, length: int) -> Result[None, DiskFault]:
        self._files[name] = self._files[name][:length]
        return Success(None)

    async def remove(self, name: str) -> Result[None, DiskFault]:
        self._files.pop(name, None)
        return Success(None)


class UnsyncedDisk:
    """After a while it says yes to what only lies in memory: the next life finds the files as they were."""

    SYNCED_FOR = 4.5

    def __init__(self, inner: Disk, context: Context) -> None:
        self._inner = inner
        self._context = context
        self._started = context.clock.monotonic()
        self._unsynced: ForgetfulDisk | None = None

    async def lock(self) -> Result[None, DiskFault]:
        return await self._inner.lock()

    async def names(self) -> Result[Sequence[str], DiskFault]:
        return await (await self._disk()).names()

    async def read(self, name: str) -> Result[bytes, DiskFault]:
        return await (await self._disk()).read(name)

    async def append(self, name: str, data: bytes, at: int | None = None) -> Result[None, DiskFault]:
        return await (await self._disk()).append(name, data, at)

    async def write_new(self, name: str, data: bytes) -> Result[None, DiskFault]:
        return await (await self._disk()).write_new(name, data)

    async def rename(self, name: str, new_name: str) -> Result[None, DiskFault]:
        return await (await self._disk()).rename(name, new_name)

    async def truncate(self, name: str, length: int) -> Result[None, DiskFault]:
        return await (await self._disk()).truncate(name, length)

    async def remove(self, name: str) -> Result[None, DiskFault]:
        return await (await self._disk()).remove(name)

    async def _disk(self) -> Disk:
        if self._unsynced is None and self._context.clock.monotonic() - self._started > self.SYNCED_FOR:
            unsynced = ForgetfulDisk(self._inner)
            for name in (await self._inner.names()).unwrap():
                await unsynced.write_new(name, (await self._inner.read(name)).unwrap())
            self._unsynced = unsynced
        return self._unsynced or self._inner


def _real(role: str) -> Build:
    build: Build = importlib.import_module(f"wingwood.daemons.{role}").build
    return build


def _with_client(wrap: Callable[[HttpClient, HttpRequest], HttpExchange]) -> Builds:
    def build(context: Context, settings: DaemonSettings) -> Daemon:
        return _real("router")(msgspec.structs.replace(context, http=WrappedClient(context.http, wrap)), settings)

    return Builds(router=build)


def _wrapping(exchange: type[WrappedExchange]) -> Builds:
    return _with_client(lambda client, request: exchange(client.start(request)))


def _forgetful_disks() -> Builds:
    def build(context: Context, settings: DaemonSettings) -> Daemon:
        return _real("control")(msgspec.structs.replace(context, disk=ForgetfulDisk(context.disk)), settings)

    return Builds(control=build)


def _unsynced_disks() -> Builds:
    def build(context: Context, settings: DaemonSettings) -> Daemon:
        return _real("control")(msgspec.structs.replace(context, disk=UnsyncedDisk(context.disk, context)), settings)

    return Builds(control=build)


def _keeps_removed_keys() -> Builds:
    def build(context: Context, settings: DaemonSettings) -> Daemon:
        return _real("router")(context, msgspec.structs.replace(settings, removed_key_bound=None))

    return Builds(router=build)


def _one_router_knows_one_operator() -> Builds:
    def build(context: Context, settings: DaemonSettings) -> Daemon:
        keys = settings.operator_keys[:1] if settings.name == "router-7" else settings.operator_keys
        return _real("router")(context, msgspec.structs.replace(settings, operator_keys=keys))

    return Builds(router=build)


class _Spoiled:
    """A daemon with some object of it spoiled once it has started."""

    def __init__(self, inner: Daemon, spoil: Callable[[Any], None]) -> None:
        self.inner = inner
        self._spoil = spoil

    async def start(self) -> Any:
        started = await self.inner.start()
        self._spoil(self.inner)
        return started

    async def drain(self) -> None:
        await self.inner.drain()

    def stop(self) -> None:
        self.inner.stop()


def _spoiled(router: Callable[[Any], None] | None = None, control: Callable[[Any], None] | None = None) -> Builds:
    def maker(role: str, spoil: Callable[[Any], None] | None) -> Build | None:
        if spoil is None:
            return None
        return lambda context, settings: _Spoiled(_real(role)(context, settings), spoil)

    return Builds(router=maker("router", router), control=maker("control", control))


def _shows_older_versions(router: Any) -> None:
    """Now and then a router has the version before the one it had."""
    version, looks = router.follower.version, 0

    def older() -> int:
        nonlocal looks
        looks += 1
        newest = int(version())
        return newest - 1 if newest > 1 and looks % 5 == 0 else newest

    router.follower.version = older


def _trusts_drained_workers(router: Any) -> None:
    """Workers that were ready once stay so."""
    ready, known = router.registry.ready, {}

    def all_known(pool: str) -> list[Any]:
        known.update({worker.instance: worker for worker in ready(pool)})
        return [worker for _, worker in sorted(known.items()) if worker.pool == pool]

    async def confirmed(_: Any) -> bool:
        return True

    router.registry.ready = all_known
    router.registry.confirm = confirmed
    router.registry.begin = lambda _: True


def _tells_all_orders_accepted(client: Any) -> None:
    decide = client.decide

    async def lying(kind: str, command: Any, reply_type: Any, timeout: Any) -> Any:
        decided = await decide(kind, command, reply_type, timeout)
        if kind == "bundle" and isinstance(decided, Success) and decided.unwrap().outcome == "conflict":
            version = command.order.manifest.version
            return Success(msgspec.structs.replace(decided.unwrap(), outcome="accepted", version=version))
        return decided

    client.decide = lying


def _refuses_resent_orders(client: Any) -> None:
    """Each order's second answer is a conflict."""
    decide, seen = client.decide, _ORDERS_SEEN

    async def forgetful(kind: str, command: Any, reply_type: Any, timeout: Any) -> Any:
        decided = await decide(kind, command, reply_type, timeout)
        if kind != "bundle" or not isinstance(decided, Success):
            return decided
        order = command.order.manifest.order
        if order in seen:
            return Success(msgspec.structs.replace(decided.unwrap(), outcome="conflict", reason="broken variant"))
        seen.add(order)
        return decided

    client.decide = forgetful


_ORDERS_SEEN: set[str] = set()


def _always_leads(control: Any) -> None:
    """Says for ever that it takes orders, once it was primary."""
    core = control._parts.core
    report, led = core.report, False

    def boast() -> Any:
        nonlocal led
        told = report()
        led = led or told.own_role == "primary"
        return msgspec.structs.replace(told, own_role="primary", accepts_orders=True) if led else told

    core.report = boast


def _says_ready_while_it_stops(router: Any) -> None:
    path, bundle = router.path, router.follower
    path.ready = lambda: path._started and bundle.may_serve()


def _never_ends_its_drain(router: Any) -> None:
    drain = router.drain

    async def endless() -> None:
        await drain()
        await asyncio.sleep(1e6)

    router.drain = endless


def _lets_all_in(router: Any) -> None:
    async def take(_: Any, cost: int = 1) -> None:
        return None

    router.shares.take = take


def _stingy(router: Any) -> None:
    """Refuses half of the calls as beyond the share."""
    take, calls = router.shares.take, 0

    async def half(tenant: Any, cost: int = 1) -> Any:
        nonlocal calls
        calls += 1
        return ShareRefused(Seconds(0.5)) if calls % 2 else await take(tenant, cost)

    router.shares.take = half


def _never_starts_again() -> Builds:
    lives: dict[str, int] = {}

    def build(context: Context, settings: DaemonSettings) -> Daemon:
        lives[settings.name] = lives.get(settings.name, 0) + 1
        daemon = _real("router")(context, settings)
        return daemon if lives[settings.name] == 1 else _Asleep()

    return Builds(router=build)


class _Asleep:
    async def start(self) -> Any:
        await asyncio.sleep(1e6)

    async def drain(self) -> None:
        return None

    def stop(self) -> None:
        return None


VARIANTS: dict[str, Callable[[], Builds]] = {
    "sends calls twice": lambda: _with_client(_sent_twice),
    "denies sending": lambda: _wrapping(_DeniesSending),
    "holds pieces": lambda: _wrapping(_HoldsPieces),
    "loses pieces": lambda: _wrapping(_ChangesStream),
    "names another call": lambda: _wrapping(_NamesAnotherCall),
    "ends cut streams": lambda: _wrapping(_EndsCutStreams),
    "ignores that callers leave": lambda: _wrapping(_IgnoresLeaving),
    "sends calls late": lambda: _with_client(_SentLate),
    "says ready while it stops": lambda: _spoiled(router=_says_ready_while_it_stops),
    "never ends its drain": lambda: _spoiled(router=_never_ends_its_drain),
    "forgetful disks": _forgetful_disks,
    "unsynced disks": _unsynced_disks,
    "keeps removed keys": _keeps_removed_keys,
    "one router knows one operator": _one_router_knows_one_operator,
    "shows older versions": lambda: _spoiled(router=_shows_older_versions),
    "trusts drained workers": lambda: _spoiled(router=_trusts_drained_workers),
    "tells all orders accepted": lambda: _spoiled(
        router=lambda router: _tells_all_orders_accepted(router.control),
        control=lambda control: _tells_all_orders_accepted(control._parts.client),
    ),
    "refuses resent orders": lambda: _spoiled(
        router=lambda router: _refuses_resent_orders(router.control),
        control=lambda control: _refuses_resent_orders(control._parts.client),
    ),
    "always leads": lambda: _spoiled(control=_always_leads),
    "lets all in": lambda: _spoiled(router=_lets_all_in),
    "refuses half": lambda: _spoiled(router=_stingy),
    "never starts again": _never_starts_again,
}


def broken_builds(name: str) -> Builds:
    _ORDERS_SEEN.clear()
    return VARIANTS[name]()
