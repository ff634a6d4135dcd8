"""One end of a simulated connection, as its machine's kernel holds it, and tornado's stream over it (section 16)."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections import deque
from typing import TYPE_CHECKING, Protocol

from tornado.iostream import BaseIOStream

from wingwood.identifiers import Address

from .virtual_time import Descriptor, Incarnation

if TYPE_CHECKING:
    from .network import SimulatedNetworkCore

BUFFER_BYTES = 256 * 1024


class Host(Protocol):
    """The part of a machine that the network uses."""

    name: str
    zone: str
    host: str
    powered: bool


class Endpoint(Descriptor):
    """One end of a connection, as the kernel of its machine holds it."""

    def __init__(self, network: SimulatedNetworkCore, machine: Host, own: Address, other: Address) -> None:
        super().__init__(network.loop.new_descriptor_number())
        self.network = network
        self.machine = machine
        self.own = own
        self.other = other
        self.peer: Endpoint = self
        self.incarnation: Incarnation | None = None
        self.received = bytearray()
        self.ended = False
        self.error: OSError | None = None
        self.closed = False
        self.reset_on_close = False
        """Whether closing drops the segments that have not arrived (SO_LINGER with 0 seconds)."""
        self.blocked_writer = False
        self.segments: deque[tuple[float, bytes | None, bool]] = deque()
        """Segments in flight to the peer: (arrival, bytes or None for the end, whether the end is a reset)."""
        self.bytes_in_flight = 0
        self.last_arrival = 0.0
        self.timer_set = False
        self.stalled_since: float | None = None
        """When a partition or a machine without power first blocked the segments; None while they flow."""
        self.retransmits_at = 0.0
        """When the segments that were blocked are sent again."""

    def readable(self) -> bool:
        return bool(self.received) or self.ended or self.error is not None

    def writable(self) -> bool:
        return self.error is not None or self.room() > 0

    def room(self) -> int:
        """Returns how many bytes fit between this end and the peer's reader."""
        return BUFFER_BYTES - self.bytes_in_flight - len(self.peer.received)

    def send(self, data: bytes | memoryview) -> int:
        if self.error is not None:
            raise self.error
        if self.closed:
            raise BrokenPipeError(32, "closed")
        room = self.room()
        if room <= 0:
            self.blocked_writer = True
            raise BlockingIOError
        if len(data) <= room:
            taken = bytes(data)
        else:
            taken = bytes(data[:room])
            self.blocked_writer = True
        self.network.transmit(self, taken)
        return len(taken)

    def receive_into(self, buffer: bytearray | memoryview) -> int | None:
        if self.received:
            count = min(len(buffer), len(self.received))
            if count > 1 and self.network.random.random() < self.network.shape.split_chance:
                count = self.network.random.randint(1, count)
            buffer[:count] = self.received[:count]
            del self.received[:count]
            self.network.consumed(self)
            return count
        if self.error is not None:
            raise self.error
        return 0 if self.ended else None

    def close(self) -> None:
        """Closes as the kernel does: sends a reset when unread bytes are left, otherwise the end of stream.

        With ``reset_on_close`` it sends a reset in any case, and nothing is sent again.
        """
        if self.closed:
            return
        self.closed = True
        self.network.loop.unwatch(self)
        self.network.remove_endpoint(self)
        if self.error is None and self.reset_on_close:
            self.network.abort(self)
        elif self.error is None:
            self.network.queue(self, None, reset=bool(self.received))
        self.received.clear()

    def vanish(self) -> None:
        """Removes the endpoint of a machine that lost power; the peer is sent nothing."""
        self.closed = True
        self.network.loop.unwatch(self)
        self.network.remove_endpoint(self)
        self.segments.clear()
        self.received.clear()


class _SimulatedSocket:
    """The part of a socket that tornado's HTTP server reads, and the option that makes closing a reset."""

    family = socket.AF_INET

    def __init__(self, endpoint: Endpoint) -> None:
        self._endpoint = endpoint

    def getpeername(self) -> tuple[str, int]:
        return (self._endpoint.other.host, self._endpoint.other.port)

    def getsockname(self) -> tuple[str, int]:
        return (self._endpoint.own.host, self._endpoint.own.port)

    def setsockopt(self, level: int, option: int, value: bytes | int) -> None:
        """Knows only the option that says whether closing resets the connection."""
        if (level, option) == (socket.SOL_SOCKET, socket.SO_LINGER) and isinstance(value, bytes):
            enabled, seconds = struct.unpack("ii", value)
            self._endpoint.reset_on_close = bool(enabled) and seconds == 0


class SimulatedStream(BaseIOStream):
    """Tornado's stream over one end of a simulated connection."""

    def __init__(self, endpoint: Endpoint) -> None:
        super().__init__(max_buffer_size=96 * 1024 * 1024, read_chunk_size=65536)
        self.endpoint = endpoint
        self.socket = _SimulatedSocket(endpoint)

    def __hash__(self) -> int:
        return self.endpoint.number

    def __eq__(self, other: object) -> bool:
        return self is other

    def fileno(self) -> int:
        return self.endpoint.number

    def write(self, data: bytes | memoryview) -> asyncio.Future[None]:
        """Writes as the base class does, but sends the data at once when nothing is queued before it."""
        if self._closed or self._write_buffer or self._write_futures or not isinstance(data, bytes) or not data:
            return super().write(data)
        try:
            count = self.endpoint.send(data)
        except OSError:
            return super().write(data)
        self._total_write_index += count
        self._total_write_done_index += count
        if count < len(data):
            return super().write(data[count:])
        self._maybe_add_error_listener()
        written: asyncio.Future[None] = asyncio.Future()
        written.set_result(None)
        return written

    def close_fd(self) -> None:
        self.endpoint.close()

    def write_to_fd(self, data: memoryview) -> int:
        return self.endpoint.send(data)

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        return self.endpoint.receive_into(buf)

    def get_fd_error(self) -> Exception | None:
        return self.endpoint.error
