"""The outgoing connection to one peer (docs/DESIGN.md section 4)."""

from __future__ import annotations

import asyncio

import msgspec
from returns.result import Failure, Result, Success
from tornado.iostream import BaseIOStream, StreamClosedError

from ..context.protocols import Context
from ..identifiers import Address, Instant
from .errors import HandshakeRejectedError, TransportError, TransportFailure, failure_name
from .frames import Envelope, Identity, encode_frame, read_frame
from .handshake import connect_handshake
from .transport_options import TransportOptions

NONCE_BYTES = 16
UNRESPONSIVE_DETAIL = "silent"
"""Detail of the failure of calls to an unresponsive peer; operators know this text from replies."""


class Traffic:
    """Counts what one messenger sends and receives."""

    def __init__(self) -> None:
        self.bytes_out = 0
        self.bytes_in = 0
        self.messages_out = 0
        """Number of calls, posts and replies sent."""

    def write(self, stream: BaseIOStream, envelope: Envelope) -> None:
        """Writes the envelope without waiting, and counts it; an error of the stream shows at its reading end."""
        payload = encode_frame(msgspec.msgpack.encode(envelope))
        self.bytes_out += len(payload)
        self.messages_out += 1
        stream.write(payload).add_done_callback(_ignore_closed)

    async def read(self, stream: BaseIOStream, max_bytes: int) -> Envelope:
        """Reads one envelope and counts its bytes; raises the errors of ``read_frame``, and MsgspecError."""
        payload = await read_frame(stream, max_bytes)
        self.bytes_in += len(payload)
        return msgspec.msgpack.decode(payload, type=Envelope)


class _Progress(msgspec.Struct, frozen=True):
    """Received bytes of an unfinished frame, and sent bytes while data was unsent."""

    received_bytes: int = 0
    sent_bytes: int = 0


class PeerLink:
    """The outgoing connection to one peer: opened at first use, closed when the peer is unresponsive.

    Owns the calls that wait for a reply and the posts that wait for the connection.
    """

    def __init__(
        self,
        context: Context,
        identity: Identity,
        key: bytes,
        options: TransportOptions,
        traffic: Traffic,
        address: Address,
    ) -> None:
        """``identity`` and ``key`` are those of the own daemon, ``address`` is the peer's."""
        self._context = context
        self._identity = identity
        self._key = key
        self._options = options
        self._traffic = traffic
        self._address = address
        self._stream: BaseIOStream | None = None
        self.pending_calls: dict[int, asyncio.Future[Result[msgspec.Raw, TransportFailure]]] = {}
        """Calls that wait for their reply, by their number."""
        self.connecting: asyncio.Future[bool] | None = None
        """Completed with whether the link is connected; None unless it is connecting."""
        self._pending_posts: list[Envelope] = []
        """Posts made while connecting."""
        self.last_problem = ""
        """Why the last attempt to connect failed."""
        self._last_byte_at = Instant(0.0)
        self._last_failure_at: Instant | None = None
        self._unresponsive_since: Instant | None = None
        """Time of the oldest call that timed out without any byte received since."""
        self._progress = _Progress()
        """What had been transferred at the last check."""

    async def connected(self) -> bool:
        """Connects if necessary and returns whether the link is connected."""
        if self._open_stream() is not None:
            return True
        connecting = self._connect()
        return connecting is not None and await asyncio.shield(connecting)

    def post(self, envelope: Envelope) -> None:
        """Writes the post now, or as soon as the link is connected; the order of posts is kept."""
        if self._open_stream() is not None:
            self.write(envelope)
        elif self._connect() is not None and len(self._pending_posts) < self._options.max_pending_posts:
            self._pending_posts.append(envelope)

    def write(self, envelope: Envelope) -> bool:
        """Writes the envelope; returns False if the link is closed or has too many unsent bytes."""
        stream = self._open_stream()
        if stream is None or unsent_bytes(stream) > self._options.max_unsent_bytes:
            return False
        self._traffic.write(stream, envelope)
        return True

    def handle_call_timeout(self, called_at: Instant) -> None:
        """Closes the link if nothing has been received for too long; the call made at ``called_at`` timed out.

        A peer to or from which a large frame is still being transferred is not unresponsive. A connection that has
        failed says nothing about the peer: the task that reads it is about to close the link.
        """
        stream = self._open_stream()
        if stream is None or self._last_byte_at >= called_at:
            return
        if self._is_transferring(stream):
            self._unresponsive_since = None
            return
        if self._unresponsive_since is None:
            self._unresponsive_since = called_at
        if self._context.clock.monotonic() - self._unresponsive_since >= self._options.unresponsive_timeout:
            self.close(UNRESPONSIVE_DETAIL)

    def close(self, reason: str) -> None:
        """Closes the connection; pending calls fail with ``reason``. The next use connects again."""
        stream, self._stream = self._stream, None
        self._unresponsive_since = None
        self._progress = _Progress()
        if stream is not None:
            stream.close()
        pending, self.pending_calls = self.pending_calls, {}
        for call in pending.values():
            if not call.done():
                call.set_result(Failure(TransportFailure("closed", True, reason)))

    def _open_stream(self) -> BaseIOStream | None:
        """Returns the connection if it can be used.

        A failed write closes the stream at once, while ``_stream`` is cleared only when the reading task runs. In
        between, the stream has no buffers that could be asked.
        """
        return None if self._stream is None or self._stream.closed() else self._stream

    def _connect(self) -> asyncio.Future[bool] | None:
        """Starts connecting unless that is in progress; returns None for a short time after a failure."""
        if self.connecting is None:
            now = self._context.clock.monotonic()
            if self._last_failure_at is not None and now - self._last_failure_at < self._options.reconnect_backoff:
                return None
            self.connecting = asyncio.get_running_loop().create_future()
            self._context.tasks.spawn(f"link {self._address}", self._run(self.connecting))
        return self.connecting

    async def _run(self, connecting: asyncio.Future[bool]) -> None:
        stream = await self._open()
        self.connecting = None
        posts, self._pending_posts = self._pending_posts, []
        if stream is None:
            self._last_failure_at = self._context.clock.monotonic()
            connecting.set_result(False)
            return
        self._stream = stream
        self._last_byte_at = self._context.clock.monotonic()
        for envelope in posts:
            self.write(envelope)
        connecting.set_result(True)
        try:
            await self._receive_replies(stream)
        except StreamClosedError as closed:
            self.close(f"closed: {closed.real_error}")
        except (TransportError, msgspec.MsgspecError) as malformed:
            self._context.log.event("peer-malformed", address=self._address, detail=str(malformed))
            self.close("malformed")

    async def _receive_replies(self, stream: BaseIOStream) -> None:
        while True:
            envelope = await self._traffic.read(stream, self._options.max_frame_bytes)
            self._last_byte_at = self._context.clock.monotonic()
            self._unresponsive_since = None
            call = self.pending_calls.pop(envelope.number, None)
            if call is None or call.done():
                continue
            if envelope.kind == "reply":
                call.set_result(Success(envelope.body))
            else:
                detail = msgspec.msgpack.decode(envelope.body, type=str)
                call.set_result(Failure(TransportFailure("rejected", True, detail)))

    async def _open(self) -> BaseIOStream | None:
        """Connects and runs the handshake; returns None and sets ``last_problem`` if that fails."""
        timeout = self._options.connect_timeout
        opened = await self._context.network.connect(self._address, timeout)
        if not isinstance(opened, Success):
            self.last_problem = f"{opened.failure().kind} {opened.failure().detail}"
            return None
        stream: BaseIOStream = opened.unwrap()
        nonce = self._context.random.randbytes(NONCE_BYTES)
        try:
            async with asyncio.timeout(timeout):
                await connect_handshake(stream, self._identity, self._key, nonce)
        except HandshakeRejectedError as rejected:
            self._context.log.event("peer-rejected", address=self._address, reason=str(rejected))
            self.last_problem = str(rejected)
        except (StreamClosedError, TransportError, TimeoutError, msgspec.MsgspecError) as problem:
            self.last_problem = f"hello failed: {failure_name(problem)}"
        else:
            return stream
        stream.close()
        return None

    def _is_transferring(self, stream: BaseIOStream) -> bool:
        """Returns whether bytes of a large frame were received or sent since the previous check."""
        before, self._progress = self._progress, _transferred(stream)
        return (
            self._progress.received_bytes > before.received_bytes or 0 < before.sent_bytes < self._progress.sent_bytes
        )


def unsent_bytes(stream: BaseIOStream) -> int:
    """Returns the bytes that the open stream has buffered for sending; tornado has no public way to ask."""
    return len(stream._write_buffer)


def _transferred(stream: BaseIOStream) -> _Progress:
    sent_bytes = stream._total_write_done_index if unsent_bytes(stream) > 0 else 0
    return _Progress(stream._read_buffer_size, sent_bytes)


def _ignore_closed(future: asyncio.Future[None]) -> None:
    """Retrieves the error of a write, which would otherwise be logged; the reading side closes the link."""
    if not future.cancelled():
        future.exception()
