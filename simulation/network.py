"""TCP between simulated machines (docs/DESIGN.md section 16).

The model covers delay per pair of zones with jitter, bytes split and joined anywhere, bounded buffers, refused
connects, accept queues that keep accepting while a process is frozen, resets on kill, and silence when a machine
loses power. Partitions work one way or both ways; after healing their traffic arrives late (as with retransmission)
or finds its connection reset. For machines in ``bandwidth`` it covers the time that bytes take on their link, first
come first served. Lost acknowledgements are not modelled.
"""

from __future__ import annotations

import asyncio
import contextvars
import itertools
from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any

import msgspec
from returns.result import Failure, Result, Success
from tornado.iostream import BaseIOStream

from wingwood.context.protocols import Listener, NetworkFault, StreamHandler
from wingwood.identifiers import Address, Seconds

from .endpoint import Endpoint, Host, SimulatedStream
from .virtual_time import INCARNATION, Incarnation, VirtualTimeLoop

LINK_CHUNK_BYTES = 16 * 1024
"""A link of limited bandwidth delivers bytes in chunks of at most this size."""
SYN_RETRY_PAUSES_S = (1.0, 2.0, 4.0, 8.0, 16.0)
"""Pauses before a connect that got no answer is tried again; after the last one it is not tried any more."""
ACCEPT_QUEUE_LENGTH = 1024


class NetworkShape(msgspec.Struct, frozen=True, kw_only=True):
    """Delays in seconds, one way, and probabilities of faults."""

    same_machine: float = 0.00003
    same_zone: float = 0.00015
    between_zones: float = 0.0006
    jitter: float = 0.5
    """Each delay grows by a random share of itself, at most this one."""
    split_chance: float = 0.1
    reset_on_heal_chance: float = 0.25
    reset_after_s: float = 600.0
    """A connection whose traffic was blocked for longer than this is reset when the partition heals."""


class _SimulatedListener:
    """A listening address of a process with its queue of connections that wait to be accepted."""

    def __init__(
        self,
        network: SimulatedNetworkCore,
        machine: Host,
        address: Address,
        handler: StreamHandler,
        incarnation: Incarnation,
    ) -> None:
        self.network = network
        self.machine = machine
        self.address = address
        self.handler = handler
        self.incarnation = incarnation
        self.waiting = 0
        self.context = contextvars.copy_context()

    def close(self) -> None:
        if self.network.listeners.get(self.address) is self:
            del self.network.listeners[self.address]

    def accept(self, endpoint: Endpoint) -> None:
        self.waiting -= 1
        if endpoint.closed:
            return
        stream = SimulatedStream(endpoint)
        awaitable = self.handler(stream, endpoint.other)
        if awaitable is not None:
            asyncio.ensure_future(awaitable).add_done_callback(_raise)


def _raise(future: asyncio.Future[Any]) -> None:
    if not future.cancelled():
        future.result()


class Cut(msgspec.Struct, eq=False):
    """Directed pairs of machine names between which nothing passes."""

    pairs: tuple[tuple[str, str], ...]
    healed: bool = False


class SimulatedNetworkCore:
    """All wires of the world."""

    def __init__(self, loop: VirtualTimeLoop, random: Random, shape: NetworkShape) -> None:
        self.loop = loop
        self.random = random
        self.shape = shape
        self.machines: dict[str, Host] = {}
        """By IP number."""
        self.listeners: dict[Address, _SimulatedListener] = {}
        self.endpoints: dict[int, Endpoint] = {}
        self.slowness: dict[tuple[str, str], float] = {}
        """Seconds added for a directed pair of machine names."""
        self.bandwidth: dict[str, float] = {}
        """Bytes a second of a machine's own link, each way, by machine name; others' links take no time."""
        self._link_free_at: dict[tuple[str, str], float] = {}
        """By machine name and direction: when what was sent so far has passed."""
        self._blocked: dict[tuple[str, str], int] = {}
        self._ports = itertools.count(32768)
        self.bytes_delivered = 0
        self.connections_made = 0
        self.on_delivery: Callable[[Endpoint, int], None] | None = None

    # -- faults

    def cut(self, pairs: list[tuple[str, str]]) -> Cut:
        cut = Cut(tuple(sorted(set(pairs))))
        for pair in cut.pairs:
            self._blocked[pair] = self._blocked.get(pair, 0) + 1
        return cut

    def heal(self, cut: Cut) -> None:
        if cut.healed:
            return
        cut.healed = True
        for pair in cut.pairs:
            left = self._blocked[pair] - 1
            if left:
                self._blocked[pair] = left
            else:
                del self._blocked[pair]
        self.resume()

    def resume(self) -> None:
        """Retransmits blocked traffic after the pause that a retransmission timer would have reached by now."""
        for endpoint in list(self.endpoints.values()):
            self._resume(endpoint)
            if endpoint.peer.closed:
                self._resume(endpoint.peer)

    def _resume(self, endpoint: Endpoint) -> None:
        if endpoint.stalled_since is None or self.blocked(endpoint.machine, endpoint.peer.machine):
            return
        stalled_for = self.loop.now - endpoint.stalled_since
        endpoint.stalled_since = None
        if stalled_for > self.shape.reset_after_s or (
            stalled_for > 2.0 and self.random.random() < self.shape.reset_on_heal_chance and not endpoint.closed
        ):
            self.loop.kernel_at(self.loop.now + self.random.uniform(0.0, 0.2), self.break_connection, endpoint)
            return
        again = self.loop.now + self.random.uniform(0.2, max(0.2, min(stalled_for, 20.0)))
        endpoint.segments = deque((max(arrival, again), data, reset) for arrival, data, reset in endpoint.segments)
        endpoint.last_arrival = max(endpoint.last_arrival, again)
        endpoint.retransmits_at = again
        self._set_timer(endpoint)

    def break_connection(self, endpoint: Endpoint) -> None:
        self._reset(endpoint)
        self._reset(endpoint.peer)

    def blocked(self, source: Host, target: Host) -> bool:
        return (
            not source.powered
            or not target.powered
            or (source is not target and (source.name, target.name) in self._blocked)
        )

    def delay(self, source: Host, target: Host) -> float:
        shape = self.shape
        if source is target:
            base = shape.same_machine
        elif source.zone == target.zone:
            base = shape.same_zone
        else:
            base = shape.between_zones
        base *= 1.0 + self.random.random() * shape.jitter
        return base + self.slowness.get((source.name, target.name), 0.0) if self.slowness else base

    # -- bytes in flight

    def transmit(self, endpoint: Endpoint, data: bytes) -> None:
        if len(data) > 1 and self.random.random() < self.shape.split_chance:
            middle = self.random.randint(1, len(data) - 1)
            self.queue(endpoint, data[:middle], reset=False)
            data = data[middle:]
        chunk_bytes = LINK_CHUNK_BYTES if self.bandwidth else max(1, len(data))
        for start in range(0, len(data), chunk_bytes):
            self.queue(endpoint, data[start : start + chunk_bytes], reset=False)

    def _link_passed(self, machine: Host, direction: str, start: float, count: int) -> float:
        """Returns when ``count`` bytes that reach the machine's link at ``start`` have passed it."""
        rate = self.bandwidth.get(machine.name)
        if rate is None:
            return start
        passed = max(start, self._link_free_at.get((machine.name, direction), 0.0)) + count / rate
        self._link_free_at[machine.name, direction] = passed
        return passed

    def _arrival(self, endpoint: Endpoint, count: int) -> float:
        source, target = endpoint.machine, endpoint.peer.machine
        if source is target:
            return self.loop.now + self.delay(source, target)
        sent = self._link_passed(source, "out", self.loop.now, count)
        return self._link_passed(target, "in", sent + self.delay(source, target), count)

    def queue(self, endpoint: Endpoint, data: bytes | None, reset: bool) -> None:
        arrival = max(self._arrival(endpoint, 0 if data is None else len(data)), endpoint.last_arrival)
        endpoint.last_arrival = arrival
        endpoint.segments.append((arrival, data, reset))
        if data is not None:
            endpoint.bytes_in_flight += len(data)
        self._set_timer(endpoint)

    def abort(self, endpoint: Endpoint) -> None:
        """Sends a reset once, which a partition loses, after the segments that are on their way.

        Segments that were lost on their way are not sent again.
        """
        blocked = self.blocked(endpoint.machine, endpoint.peer.machine)
        if blocked or endpoint.stalled_since is not None or endpoint.retransmits_at > self.loop.now:
            endpoint.segments.clear()
            endpoint.bytes_in_flight = 0
            endpoint.stalled_since = None
            endpoint.last_arrival = self.loop.now
        if not blocked:
            self.queue(endpoint, None, reset=True)

    def _set_timer(self, endpoint: Endpoint) -> None:
        if not endpoint.timer_set and endpoint.stalled_since is None and endpoint.segments:
            endpoint.timer_set = True
            self.loop.kernel_at(endpoint.segments[0][0], self._arrive, endpoint)

    def _arrive(self, endpoint: Endpoint) -> None:
        endpoint.timer_set = False
        peer = endpoint.peer
        if not endpoint.segments:
            return
        if self.blocked(endpoint.machine, peer.machine):
            endpoint.stalled_since = self.loop.now
            return
        now = self.loop.now
        while endpoint.segments and endpoint.segments[0][0] <= now:
            _, data, reset = endpoint.segments.popleft()
            if data is None:
                if reset:
                    self._reset(peer)
                else:
                    peer.ended = True
                continue
            endpoint.bytes_in_flight -= len(data)
            if peer.closed:
                endpoint.segments.clear()
                endpoint.bytes_in_flight = 0
                if endpoint.error is None and not endpoint.closed:
                    self.queue(peer, None, reset=True)
                return
            peer.received += data
            self.bytes_delivered += len(data)
            if self.on_delivery is not None:
                self.on_delivery(peer, len(data))
        self.loop.notify_readable(peer)
        self._set_timer(endpoint)

    def _reset(self, endpoint: Endpoint) -> None:
        if endpoint.closed or endpoint.error is not None:
            return
        endpoint.error = ConnectionResetError(104, "Connection reset by peer")
        endpoint.segments.clear()
        endpoint.bytes_in_flight = 0
        self.loop.notify_readable(endpoint)
        self.loop.notify_writable(endpoint)

    def consumed(self, endpoint: Endpoint) -> None:
        sender = endpoint.peer
        if sender.blocked_writer and not sender.closed:
            sender.blocked_writer = False
            self.loop.kernel_at(
                self.loop.now + self.delay(endpoint.machine, sender.machine), self.loop.notify_writable, sender
            )

    def remove_endpoint(self, endpoint: Endpoint) -> None:
        self.endpoints.pop(endpoint.number, None)

    # -- connections

    def listen(self, machine: Host, address: Address, handler: StreamHandler) -> Result[Listener, NetworkFault]:
        incarnation = INCARNATION.get()
        if incarnation is None:
            raise RuntimeError("listen() was called outside a simulated process")
        if address.host != machine.host:
            return Failure(NetworkFault("unreachable", f"{address} is not an address of {machine.name}"))
        if address in self.listeners:
            return Failure(NetworkFault("in-use", str(address)))
        accepting = _SimulatedListener(self, machine, address, handler, incarnation)
        self.listeners[address] = accepting
        return Success(accepting)

    async def connect(self, machine: Host, address: Address, timeout: Seconds) -> Result[BaseIOStream, NetworkFault]:
        answer: asyncio.Future[Endpoint | None] = self.loop.create_future()
        own = Address(machine.host, next(self._ports))
        self.loop.kernel_at(
            self.loop.now + self.delay(machine, self.machines.get(address.host, machine)),
            self._try_connect,
            machine,
            own,
            address,
            answer,
            0,
            INCARNATION.get(),
        )
        try:
            async with asyncio.timeout(timeout):
                endpoint = await answer
        except TimeoutError:
            return Failure(NetworkFault("timeout", str(address)))
        if endpoint is None:
            return Failure(NetworkFault("refused", str(address)))
        return Success(SimulatedStream(endpoint))

    def _try_connect(
        self,
        machine: Host,
        own: Address,
        address: Address,
        answer: asyncio.Future[Endpoint | None],
        retries: int,
        incarnation: Incarnation | None,
    ) -> None:
        if answer.done() or (incarnation is not None and incarnation.dead):
            return
        target = self.machines.get(address.host)
        if target is None or self.blocked(machine, target):
            self._retry_connect_later(machine, own, address, answer, retries, incarnation)
            return
        back = self.loop.now + self.delay(target, machine)
        listener = self.listeners.get(address)
        if listener is None:
            self.loop.kernel_at(back, self._refuse, target, machine, answer)
            return
        if listener.waiting >= ACCEPT_QUEUE_LENGTH:
            self._retry_connect_later(machine, own, address, answer, retries, incarnation)
            return
        near = Endpoint(self, machine, own, address)
        far = Endpoint(self, target, address, own)
        near.peer, far.peer = far, near
        near.incarnation, far.incarnation = incarnation, listener.incarnation
        for endpoint in (near, far):
            self.endpoints[endpoint.number] = endpoint
            self.loop.watch(endpoint)
        self.connections_made += 1
        listener.waiting += 1
        self.loop.call_soon(listener.accept, far, context=listener.context.copy())
        self.loop.kernel_at(back, self._established, near, answer)

    def _retry_connect_later(
        self,
        machine: Host,
        own: Address,
        address: Address,
        answer: asyncio.Future[Endpoint | None],
        retries: int,
        incarnation: Incarnation | None,
    ) -> None:
        if retries < len(SYN_RETRY_PAUSES_S):
            self.loop.kernel_at(
                self.loop.now + SYN_RETRY_PAUSES_S[retries],
                self._try_connect,
                machine,
                own,
                address,
                answer,
                retries + 1,
                incarnation,
            )

    def _refuse(self, target: Host, machine: Host, answer: asyncio.Future[Endpoint | None]) -> None:
        if not answer.done() and not self.blocked(target, machine):
            answer.set_result(None)

    def _established(self, near: Endpoint, answer: asyncio.Future[Endpoint | None]) -> None:
        if near.closed:
            return
        if self.blocked(near.peer.machine, near.machine):
            near.vanish()
            return
        if answer.done() or (near.incarnation is not None and near.incarnation.dead):
            near.close()
            return
        answer.set_result(near)

    # -- ends of processes and machines

    def process_ended(self, incarnation: Incarnation) -> None:
        for address, listener in list(self.listeners.items()):
            if listener.incarnation is incarnation:
                del self.listeners[address]
        for endpoint in list(self.endpoints.values()):
            if endpoint.incarnation is incarnation:
                endpoint.close()

    def machine_powered_off(self, machine: Host) -> None:
        for address, listener in list(self.listeners.items()):
            if listener.machine is machine:
                del self.listeners[address]
        for endpoint in list(self.endpoints.values()):
            if endpoint.machine is machine:
                endpoint.vanish()


class SimulatedNetwork:
    """The network as the processes of one machine use it (``Context.network``)."""

    def __init__(self, core: SimulatedNetworkCore, machine: Host) -> None:
        self._core = core
        self._machine = machine

    async def connect(self, address: Address, timeout: Seconds) -> Result[BaseIOStream, NetworkFault]:
        return await self._core.connect(self._machine, address, timeout)

    def listen(self, address: Address, handle_stream: StreamHandler) -> Result[Listener, NetworkFault]:
        return self._core.listen(self._machine, address, handle_stream)

    def connection_limit(self) -> int:
        return 65_536
