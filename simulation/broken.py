"""Deliberately broken variants of the fleet, which show that each check of the observer can fail.

They exist in the test harness only: they wrap parts of a daemon or of its context, or change its settings
(docs/DESIGN.md section 16.3).
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
from wingwood.limits.protocols import CallRejection
from wingwood.settings.model import DaemonSettings

from .fleet import Daemon, DaemonFactories, DaemonFactory

WORKER_PORT = 9000


class WrappedExchange:
    """Forwards all calls to the inner exchange; variants override what they break."""

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

    def ended(self) -> bool:
        return self.inner.ended()


class WrappedClient:
    """Wraps the exchanges of calls to workers; health checks pass unchanged."""

    def __init__(self, inner: HttpClient, wrap: Callable[[HttpClient, HttpRequest], HttpExchange]) -> None:
        self._inner = inner
        self._wrap = wrap

    def start(self, request: HttpRequest) -> HttpExchange:
        if request.method != "POST" or request.address.port != WORKER_PORT:
            return self._inner.start(request)
        return self._wrap(self._inner, request)


def _sent_twice(client: HttpClient, request: HttpRequest) -> HttpExchange:
    """Sends each call to its worker twice."""
    client.start(request)
    return client.start(request)


class _DeniesSending(WrappedExchange):
    """Reports that a call could not be sent although the worker answered it."""

    async def head(self) -> Result[HttpHead, HttpFault]:
        await self.inner.head()
        return Failure(HttpFault("connect", False, "broken variant"))

    def request_sent(self) -> bool:
        return False


class _DelaysChunks(WrappedExchange):
    """Delays each chunk by 0.3 s."""

    async def next_chunk(self) -> Result[bytes | None, HttpFault]:
        chunk = await self.inner.next_chunk()
        await asyncio.sleep(0.3)
        return chunk


class _DropsThirdChunk(WrappedExchange):
    """Drops the third event of each stream."""

    _events = 0

    async def next_chunk(self) -> Result[bytes | None, HttpFault]:
        while True:
            chunk = await self.inner.next_chunk()
            if not isinstance(chunk, Success) or not chunk.unwrap():
                return chunk
            self._events += 1
            if self._events != 3 or b"[DONE]" in chunk.unwrap():
                return chunk


class _NamesAnotherCall(WrappedExchange):
    """Replaces the mark of the call in each chunk."""

    async def next_chunk(self) -> Result[bytes | None, HttpFault]:
        chunk = await self.inner.next_chunk()
        if isinstance(chunk, Success) and (data := chunk.unwrap()):
            return Success(re.sub(rb'"call":"[^"]', b'"call":"~', data))  # keeps the length of the chunk
        return chunk


class _CompletesTruncatedStreams(WrappedExchange):
    """Ends a truncated stream with the end marker, so that it looks complete."""

    _ended = False

    async def next_chunk(self) -> Result[bytes | None, HttpFault]:
        if self._ended:
            return Success(None)
        chunk = await self.inner.next_chunk()
        if isinstance(chunk, Success):
            return chunk
        self._ended = True
        return Success(b"\n\ndata: [DONE]\n\n")


class _NeverEndsCalls(WrappedExchange):
    """Receives each response and tells the attempt neither of it nor of its cancellation."""

    async def head(self) -> Result[HttpHead, HttpFault]:
        await asyncio.get_running_loop().create_future()
        raise AssertionError("never reached")


class _IgnoresCancellation(WrappedExchange):
    """Ignores cancellation, so that workers go on with calls whose callers disconnected."""

    def cancel(self) -> None:
        return None


class _SendsLate(WrappedExchange):
    """Sends each call one second late without checking whether its caller is still connected."""

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

    def ended(self) -> bool:
        return self._ready.done() and self._ready.result().ended()


class DiscardingDisk:
    """Acknowledges all writes but holds them in memory only."""

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
    """Acknowledges writes that it holds in memory only, from ``SYNCED_FOR`` seconds on.

    The next incarnation finds the files as they were before.
    """

    SYNCED_FOR = 4.5

    def __init__(self, inner: Disk, context: Context) -> None:
        self._inner = inner
        self._context = context
        self._started = context.clock.monotonic()
        self._unsynced: DiscardingDisk | None = None

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
            unsynced = DiscardingDisk(self._inner)
            for name in (await self._inner.names()).unwrap():
                await unsynced.write_new(name, (await self._inner.read(name)).unwrap())
            self._unsynced = unsynced
        return self._unsynced or self._inner


def _real(role: str) -> DaemonFactory:
    build: DaemonFactory = importlib.import_module(f"wingwood.daemons.{role}").build
    return build


def _with_client(wrap: Callable[[HttpClient, HttpRequest], HttpExchange]) -> DaemonFactories:
    def build(context: Context, settings: DaemonSettings) -> Daemon:
        return _real("router")(msgspec.structs.replace(context, http=WrappedClient(context.http, wrap)), settings)

    return DaemonFactories(router=build)


def _wrapping(exchange: type[WrappedExchange]) -> DaemonFactories:
    return _with_client(lambda client, request: exchange(client.start(request)))


def _discarding_disks() -> DaemonFactories:
    def build(context: Context, settings: DaemonSettings) -> Daemon:
        return _real("control")(msgspec.structs.replace(context, disk=DiscardingDisk(context.disk)), settings)

    return DaemonFactories(control=build)


def _unsynced_disks() -> DaemonFactories:
    def build(context: Context, settings: DaemonSettings) -> Daemon:
        return _real("control")(msgspec.structs.replace(context, disk=UnsyncedDisk(context.disk, context)), settings)

    return DaemonFactories(control=build)


def _keeps_removed_keys() -> DaemonFactories:
    """Lets routers that are cut off go on serving without a bound."""

    def build(context: Context, settings: DaemonSettings) -> Daemon:
        return _real("router")(context, msgspec.structs.replace(settings, removed_key_bound=None))

    return DaemonFactories(router=build)


def _one_router_knows_one_operator() -> DaemonFactories:
    """Removes one operator key from router-7, so that it rejects bundles signed with this key."""

    def build(context: Context, settings: DaemonSettings) -> Daemon:
        keys = settings.operator_keys[:1] if settings.name == "router-7" else settings.operator_keys
        return _real("router")(context, msgspec.structs.replace(settings, operator_keys=keys))

    return DaemonFactories(router=build)


class _BrokenDaemon:
    """A daemon in which ``break_parts`` replaces some parts after its start."""

    def __init__(self, inner: Daemon, break_parts: Callable[[Any], None]) -> None:
        self.inner = inner
        self._break_parts = break_parts

    async def start(self) -> Any:
        started = await self.inner.start()
        self._break_parts(self.inner)
        return started

    async def drain(self) -> None:
        await self.inner.drain()

    def stop(self) -> None:
        self.inner.stop()


def _breaking(
    router: Callable[[Any], None] | None = None, control: Callable[[Any], None] | None = None
) -> DaemonFactories:
    def maker(role: str, break_parts: Callable[[Any], None] | None) -> DaemonFactory | None:
        if break_parts is None:
            return None
        return lambda context, settings: _BrokenDaemon(_real(role)(context, settings), break_parts)

    return DaemonFactories(router=maker("router", router), control=maker("control", control))


def _shows_older_versions(router: Any) -> None:
    """Makes a router report the previous version on every fifth read."""
    version, reads = router.bundle.version, 0

    def older() -> int:
        nonlocal reads
        reads += 1
        latest = int(version())
        return latest - 1 if latest > 1 and reads % 5 == 0 else latest

    router.bundle.version = older


def _trusts_drained_workers(router: Any) -> None:
    """Makes a router treat workers that were ready once as ready for ever."""
    ready, known = router.registry.ready, {}

    def all_known(pool: str) -> list[Any]:
        known.update({worker.instance: worker for worker in ready(pool)})
        return [worker for _, worker in sorted(known.items()) if worker.pool == pool]

    async def confirmed(_: Any) -> bool:
        return True

    router.registry.ready = all_known
    router.registry.confirm = confirmed
    router.registry.begin = lambda _: True


def _reports_all_orders_accepted(client: Any) -> None:
    """Answers conflicting orders as accepted."""
    decide = client.decide

    async def decide_accepted(kind: str, command: Any, reply_type: Any, timeout: Any) -> Any:
        decided = await decide(kind, command, reply_type, timeout)
        if kind == "bundle" and isinstance(decided, Success) and decided.unwrap().outcome == "conflict":
            version = command.order.manifest.version
            return Success(msgspec.structs.replace(decided.unwrap(), outcome="accepted", version=version))
        return decided

    client.decide = decide_accepted


def _refuses_resent_orders(client: Any) -> None:
    """Answers each order that was sent before with a conflict."""
    decide, seen = client.decide, _ORDERS_SEEN

    async def decide_once(kind: str, command: Any, reply_type: Any, timeout: Any) -> Any:
        decided = await decide(kind, command, reply_type, timeout)
        if kind != "bundle" or not isinstance(decided, Success):
            return decided
        order = command.order.manifest.order
        if order in seen:
            return Success(msgspec.structs.replace(decided.unwrap(), outcome="conflict", reason="broken variant"))
        seen.add(order)
        return decided

    client.decide = decide_once


_ORDERS_SEEN: set[str] = set()


def _always_reports_primary(control: Any) -> None:
    """Makes a control daemon report for ever that it accepts orders once it was primary."""
    core = control._parts.core
    report, was_primary = core.report, False

    def report_primary() -> Any:
        nonlocal was_primary
        report_now = report()
        was_primary = was_primary or report_now.own_role == "primary"
        return (
            msgspec.structs.replace(report_now, own_role="primary", accepts_orders=True) if was_primary else report_now
        )

    core.report = report_primary


def _says_ready_while_it_stops(router: Any) -> None:
    """Makes a router report ready while it drains."""
    path, bundle = router.path, router.bundle
    path.ready = lambda: path._started and bundle.may_serve()


def _never_ends_its_drain(router: Any) -> None:
    """Makes the drain of a router last for ever."""
    drain = router.drain

    async def endless() -> None:
        await drain()
        await asyncio.sleep(1e6)

    router.drain = endless


def _admits_all_calls(router: Any) -> None:
    """Disables the shares of tenants at a router."""

    async def take(_: Any, cost: int = 1) -> None:
        return None

    router.shares.take = take


def _refuses_half(router: Any) -> None:
    """Refuses every other call as beyond the tenant's share."""
    take, calls = router.shares.take, 0

    async def refuse_every_other(tenant: Any, cost: int = 1) -> Any:
        nonlocal calls
        calls += 1
        return CallRejection(Seconds(0.5)) if calls % 2 else await take(tenant, cost)

    router.shares.take = refuse_every_other


def _never_starts_again() -> DaemonFactories:
    """Makes every router hang in its second and later starts."""
    starts: dict[str, int] = {}

    def build(context: Context, settings: DaemonSettings) -> Daemon:
        starts[settings.name] = starts.get(settings.name, 0) + 1
        daemon = _real("router")(context, settings)
        return daemon if starts[settings.name] == 1 else _NeverStarts()

    return DaemonFactories(router=build)


class _NeverStarts:
    """A daemon whose start never ends."""

    async def start(self) -> Any:
        await asyncio.sleep(1e6)

    async def drain(self) -> None:
        return None

    def stop(self) -> None:
        return None


VARIANTS: dict[str, Callable[[], DaemonFactories]] = {
    "sends calls twice": lambda: _with_client(_sent_twice),
    "denies sending": lambda: _wrapping(_DeniesSending),
    "holds pieces": lambda: _wrapping(_DelaysChunks),
    "loses pieces": lambda: _wrapping(_DropsThirdChunk),
    "names another call": lambda: _wrapping(_NamesAnotherCall),
    "ends cut streams": lambda: _wrapping(_CompletesTruncatedStreams),
    "leaves callers waiting": lambda: _wrapping(_NeverEndsCalls),
    "ignores that callers leave": lambda: _wrapping(_IgnoresCancellation),
    "sends calls late": lambda: _with_client(_SendsLate),
    "says ready while it stops": lambda: _breaking(router=_says_ready_while_it_stops),
    "never ends its drain": lambda: _breaking(router=_never_ends_its_drain),
    "forgetful disks": _discarding_disks,
    "unsynced disks": _unsynced_disks,
    "keeps removed keys": _keeps_removed_keys,
    "one router knows one operator": _one_router_knows_one_operator,
    "shows older versions": lambda: _breaking(router=_shows_older_versions),
    "trusts drained workers": lambda: _breaking(router=_trusts_drained_workers),
    "tells all orders accepted": lambda: _breaking(
        router=lambda router: _reports_all_orders_accepted(router.control),
        control=lambda control: _reports_all_orders_accepted(control._parts.client),
    ),
    "refuses resent orders": lambda: _breaking(
        router=lambda router: _refuses_resent_orders(router.control),
        control=lambda control: _refuses_resent_orders(control._parts.client),
    ),
    "always leads": lambda: _breaking(control=_always_reports_primary),
    "lets all in": lambda: _breaking(router=_admits_all_calls),
    "refuses half": lambda: _breaking(router=_refuses_half),
    "never starts again": _never_starts_again,
}


def broken_factories(name: str) -> DaemonFactories:
    """Returns the daemon factories of a broken variant; raises KeyError for an unknown name."""
    _ORDERS_SEEN.clear()
    return VARIANTS[name]()
