"""Calls and posts between daemons: one link and one task for each peer (docs/DESIGN.md section 4)."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Literal, Protocol, TypeVar

import msgspec
from returns.result import Failure, Result, Success
from tornado.iostream import BaseIOStream

from ..context.protocols import Context, Listener, NetworkFault
from ..identifiers import Address, Instant, Seconds
from .frames import (
    PROTOCOL_VERSION,
    Envelope,
    FrameTooLarge,
    Hello,
    Identity,
    StreamClosedError,
    compute_proof,
    frame,
    read_frame,
)

Message = TypeVar("Message", bound=msgspec.Struct)
Reply = TypeVar("Reply", bound=msgspec.Struct)

CallHandler = Callable[[Identity, Any], Awaitable[msgspec.Struct]]
PostHandler = Callable[[Identity, Any], None]


def wire_name(message_type: type[msgspec.Struct]) -> str:
    """Returns the name that travels with messages of this type: the class's ``WIRE_NAME``, else the class's name."""
    name: str = vars(message_type).get("WIRE_NAME", message_type.__name__)
    return name


class TransportFault(msgspec.Struct, frozen=True):
    """Reason why a call has no reply. If ``sent`` is False, it did not reach the peer and never will."""

    kind: Literal["unreachable", "timeout", "closed", "overloaded", "rejected"]
    sent: bool
    detail: str = ""


class Messenger(Protocol):
    """The interface of the transport that other packages use."""

    identity: Identity

    def on_call(
        self, message_type: type[Message], handler: Callable[[Identity, Message], Awaitable[msgspec.Struct]]
    ) -> None:
        """Registers the handler that answers calls of this type.

        Each call is handled in its own task, so calls of one peer may overlap.
        """
        ...

    def on_post(self, message_type: type[Message], handler: Callable[[Identity, Message], None]) -> None:
        """Registers the handler of posts of this type; it receives one peer's posts in the order of sending."""
        ...

    async def call(
        self, address: Address, message: msgspec.Struct, reply_type: type[Reply], timeout: Seconds
    ) -> Result[Reply, TransportFault]: ...

    def post(self, address: Address, message: msgspec.Struct) -> None:
        """Sends a message without an answer; it is lost without notice if the peer is unreachable."""
        ...


class TransportLimits(msgspec.Struct, frozen=True):
    max_frame_bytes: int = 64 * 1024 * 1024
    max_unsent_bytes: int = 96 * 1024 * 1024
    max_calls_waiting: int = 20_000
    max_posts_waiting: int = 10_000
    """Limit for posts made while a link is connecting; further posts are lost, as with an unreachable peer."""
    connect_timeout: Seconds = Seconds(0.5)
    silence_timeout: Seconds = Seconds(1.5)
    """A link is closed when a call on it has waited for this long and no byte was received; the next use reconnects."""
    retry_pause: Seconds = Seconds(0.1)


class _Link:
    """The outgoing connection to one peer: opened at first use, closed when the peer is silent."""

    def __init__(self, messenger: TcpMessenger, address: Address) -> None:
        self.messenger = messenger
        self.address = address
        self.stream: BaseIOStream | None = None
        self.waiting: dict[int, asyncio.Future[Result[msgspec.Raw, TransportFault]]] = {}
        self.connecting: asyncio.Future[bool] | None = None
        self.posts: list[Envelope] = []
        """Posts made while connecting."""
        self.last_fault = ""
        self.last_byte_at = Instant(0.0)
        self.last_failure_at: Instant | None = None
        self.silent_since: Instant | None = None
        """Time of the oldest call that timed out without any byte received since."""
        self.transfer_progress: tuple[int, int] = (0, 0)
        """Received bytes of an unfinished frame, and sent bytes while data was unsent, at the last check."""

    async def connected(self) -> bool:
        if self.stream is not None and not self.stream.closed():
            return True
        connecting = self.connect()
        return connecting is not None and await asyncio.shield(connecting)

    def connect(self) -> asyncio.Future[bool] | None:
        """Starts connecting unless that is in progress; returns None for a short time after a failure."""
        if self.connecting is None:
            pause = self.messenger.limits.retry_pause
            now = self.messenger.context.clock.monotonic()
            if self.last_failure_at is not None and now - self.last_failure_at < pause:
                return None
            self.connecting = asyncio.get_running_loop().create_future()
            self.messenger.context.tasks.spawn(f"link {self.address}", self._run(self.connecting))
        return self.connecting

    def post(self, envelope: Envelope) -> None:
        """Writes the post now, or as soon as the link is connected; the order of posts is kept."""
        if self.stream is not None and not self.stream.closed():
            self.write(envelope)
        elif self.connect() is not None and len(self.posts) < self.messenger.limits.max_posts_waiting:
            self.posts.append(envelope)

    async def _run(self, connecting: asyncio.Future[bool]) -> None:
        context = self.messenger.context
        stream = await self._open()
        self.connecting = None
        posts, self.posts = self.posts, []
        if stream is None:
            self.last_failure_at = context.clock.monotonic()
            connecting.set_result(False)
            return
        self.stream = stream
        self.last_byte_at = context.clock.monotonic()
        for envelope in posts:
            self.write(envelope)
        connecting.set_result(True)
        try:
            while True:
                payload = await read_frame(stream, self.messenger.limits.max_frame_bytes)
                self.messenger.bytes_in += len(payload)
                envelope = msgspec.msgpack.decode(payload, type=Envelope)
                self.last_byte_at = context.clock.monotonic()
                self.silent_since = None
                waiter = self.waiting.pop(envelope.number, None)
                if waiter is None or waiter.done():
                    continue
                if envelope.kind == "reply":
                    waiter.set_result(Success(envelope.body))
                else:
                    detail = msgspec.msgpack.decode(envelope.body, type=str)
                    waiter.set_result(Failure(TransportFault("rejected", True, detail)))
        except StreamClosedError as closed:
            self.drop(f"closed: {closed.real_error}")
        except (FrameTooLarge, msgspec.MsgspecError) as malformed:
            context.log.event("peer-malformed", address=self.address, detail=str(malformed))
            self.drop("malformed")

    async def _open(self) -> BaseIOStream | None:
        messenger = self.messenger
        opened = await messenger.context.network.connect(self.address, messenger.limits.connect_timeout)
        if not isinstance(opened, Success):
            self.last_fault = f"{opened.failure().kind} {opened.failure().detail}"
            return None
        stream: BaseIOStream = opened.unwrap()
        nonce = messenger.context.random.randbytes(16)
        try:
            async with asyncio.timeout(messenger.limits.connect_timeout):
                await stream.write(
                    frame(msgspec.msgpack.encode(Hello(PROTOCOL_VERSION, messenger.identity, nonce, b"")))
                )
                answer = msgspec.msgpack.decode(await read_frame(stream, 4096), type=Hello)
                expected = compute_proof(messenger.key, answer.identity, answer.nonce, nonce)
                if answer.protocol != PROTOCOL_VERSION or answer.proof != expected:
                    messenger.context.log.event(
                        "peer-refused", address=self.address, reason="wrong fleet key or protocol"
                    )
                    self.last_fault = "wrong fleet key or protocol"
                    stream.close()
                    return None
                proof = compute_proof(messenger.key, messenger.identity, nonce, answer.nonce)
                await stream.write(
                    frame(msgspec.msgpack.encode(Hello(PROTOCOL_VERSION, messenger.identity, nonce, proof)))
                )
        except (StreamClosedError, FrameTooLarge, TimeoutError, msgspec.MsgspecError) as problem:
            self.last_fault = f"hello failed: {type(problem).__name__}"
            stream.close()
            return None
        return stream

    def handle_call_timeout(self, called_at: Instant) -> None:
        """Closes the link if nothing has been received for too long; the call made at ``called_at`` timed out.

        A large frame that is still being transferred, in either direction, does not count as silence.
        """
        if self.last_byte_at >= called_at:
            return
        if self.is_transferring():
            self.silent_since = None
            return
        if self.silent_since is None:
            self.silent_since = called_at
        if self.messenger.context.clock.monotonic() - self.silent_since >= self.messenger.limits.silence_timeout:
            self.drop("silent")

    def is_transferring(self) -> bool:
        """Returns whether bytes of a large frame were received or sent since the previous check."""
        stream = self.stream
        if stream is None:
            return False
        has_unsent = len(stream._write_buffer) > 0
        current = (stream._read_buffer_size, stream._total_write_done_index if has_unsent else 0)
        before, self.transfer_progress = self.transfer_progress, current
        return current[0] > before[0] or 0 < before[1] < current[1]

    def drop(self, reason: str) -> None:
        stream, self.stream = self.stream, None
        self.silent_since = None
        self.transfer_progress = (0, 0)
        if stream is not None:
            stream.close()
        waiting, self.waiting = self.waiting, {}
        for waiter in waiting.values():
            if not waiter.done():
                waiter.set_result(Failure(TransportFault("closed", True, reason)))

    def write(self, envelope: Envelope) -> bool:
        stream = self.stream
        if stream is None or stream.closed():
            return False
        if len(stream._write_buffer) > self.messenger.limits.max_unsent_bytes:
            return False
        payload = frame(msgspec.msgpack.encode(envelope))
        self.messenger.bytes_out += len(payload)
        self.messenger.messages_out += 1
        future = stream.write(payload)
        future.add_done_callback(_ignore_closed)
        return True


def _ignore_closed(future: asyncio.Future[None]) -> None:
    if not future.cancelled():
        future.exception()


class TcpMessenger:
    """Outgoing links to peers and the listener for incoming ones.

    In the hello, both sides prove that they have the fleet key.
    """

    def __init__(self, context: Context, identity: Identity, key: bytes, limits: TransportLimits | None = None) -> None:
        self.context = context
        self.identity = identity
        self.key = key
        self.limits = limits or TransportLimits()
        self._links: dict[Address, _Link] = {}
        self._call_handlers: dict[str, tuple[type[msgspec.Struct], CallHandler]] = {}
        self._post_handlers: dict[str, tuple[type[msgspec.Struct], PostHandler]] = {}
        self._number = 0
        self._listener: Listener | None = None
        self._incoming: set[BaseIOStream] = set()
        self.bytes_out = 0
        self.bytes_in = 0
        self.messages_out = 0
        """Number of calls, posts and replies sent."""

    def on_call(
        self, message_type: type[Message], handler: Callable[[Identity, Message], Awaitable[msgspec.Struct]]
    ) -> None:
        self._call_handlers[wire_name(message_type)] = (message_type, handler)

    def on_post(self, message_type: type[Message], handler: Callable[[Identity, Message], None]) -> None:
        self._post_handlers[wire_name(message_type)] = (message_type, handler)

    def start(self) -> Result[None, NetworkFault]:
        match self.context.network.listen(self.identity.internal, self._handle_stream):
            case Success(listener):
                self._listener = listener
                return Success(None)
            case Failure(fault):
                return Failure(fault)
        raise AssertionError("a result is a success or a failure")

    def stop(self) -> None:
        if self._listener is not None:
            self._listener.close()
        for link in list(self._links.values()):
            link.drop("stopped")
        for stream in list(self._incoming):
            stream.close()

    async def call(
        self, address: Address, message: msgspec.Struct, reply_type: type[Reply], timeout: Seconds
    ) -> Result[Reply, TransportFault]:
        link = self._link(address)
        self._number += 1
        number = self._number
        sent = False
        called_at = self.context.clock.monotonic()
        try:
            async with asyncio.timeout(timeout):
                if not await link.connected():
                    return Failure(TransportFault("unreachable", False, link.last_fault))
                if len(link.waiting) >= self.limits.max_calls_waiting:
                    return Failure(TransportFault("overloaded", False))
                waiter: asyncio.Future[Result[msgspec.Raw, TransportFault]] = asyncio.get_running_loop().create_future()
                body = msgspec.Raw(msgspec.msgpack.encode(message))
                if not link.write(Envelope("call", number, wire_name(type(message)), body)):
                    return Failure(TransportFault("overloaded", False))
                sent = True
                link.waiting[number] = waiter
                outcome = await waiter
        except TimeoutError:
            link.waiting.pop(number, None)
            if sent:
                link.handle_call_timeout(called_at)
            return Failure(TransportFault("timeout", sent))
        finally:
            link.waiting.pop(number, None)
        match outcome:
            case Success(raw):
                try:
                    return Success(msgspec.msgpack.decode(raw, type=reply_type))
                except msgspec.MsgspecError as malformed:
                    return Failure(TransportFault("rejected", True, str(malformed)))
            case Failure(fault):
                return Failure(fault)
        raise AssertionError("a result is a success or a failure")

    def post(self, address: Address, message: msgspec.Struct) -> None:
        link = self._link(address)
        envelope = Envelope("post", 0, wire_name(type(message)), msgspec.Raw(msgspec.msgpack.encode(message)))
        link.post(envelope)

    def _link(self, address: Address) -> _Link:
        link = self._links.get(address)
        if link is None:
            link = self._links[address] = _Link(self, address)
        return link

    async def _handle_stream(self, stream: BaseIOStream, address: Address) -> None:
        self._incoming.add(stream)
        try:
            await self._serve(stream, address)
        except StreamClosedError:
            pass
        except (FrameTooLarge, msgspec.MsgspecError, TimeoutError) as problem:
            self.context.log.event("stranger-dropped", address=address, detail=f"{type(problem).__name__}: {problem}")
        finally:
            self._incoming.discard(stream)
            stream.close()

    async def _serve(self, stream: BaseIOStream, address: Address) -> None:
        async with asyncio.timeout(self.limits.silence_timeout):
            first = msgspec.msgpack.decode(await read_frame(stream, 4096), type=Hello)
            nonce = self.context.random.randbytes(16)
            proof = compute_proof(self.key, self.identity, nonce, first.nonce)
            await stream.write(frame(msgspec.msgpack.encode(Hello(PROTOCOL_VERSION, self.identity, nonce, proof))))
            second = msgspec.msgpack.decode(await read_frame(stream, 4096), type=Hello)
        peer = second.identity
        if second.protocol != PROTOCOL_VERSION or second.proof != compute_proof(self.key, peer, first.nonce, nonce):
            self.context.log.event("stranger-dropped", address=address, detail="wrong fleet key or protocol")
            return
        while True:
            payload = await read_frame(stream, self.limits.max_frame_bytes)
            self.bytes_in += len(payload)
            envelope = msgspec.msgpack.decode(payload, type=Envelope)
            if envelope.kind == "post":
                self._handle_post(peer, envelope)
            elif envelope.kind == "call":
                self.context.tasks.spawn(f"answer {envelope.name}", self._answer(stream, peer, envelope))

    def _handle_post(self, peer: Identity, envelope: Envelope) -> None:
        found = self._post_handlers.get(envelope.name)
        if found is not None:
            message_type, handler = found
            handler(peer, msgspec.msgpack.decode(envelope.body, type=message_type))

    async def _answer(self, stream: BaseIOStream, peer: Identity, envelope: Envelope) -> None:
        found = self._call_handlers.get(envelope.name)
        if found is None:
            reply = Envelope(
                "fault", envelope.number, "", msgspec.Raw(msgspec.msgpack.encode(f"no handler for {envelope.name}"))
            )
        else:
            message_type, handler = found
            try:
                message = msgspec.msgpack.decode(envelope.body, type=message_type)
            except msgspec.MsgspecError as malformed:
                reply = Envelope("fault", envelope.number, "", msgspec.Raw(msgspec.msgpack.encode(str(malformed))))
            else:
                answer = await handler(peer, message)
                reply = Envelope(
                    "reply", envelope.number, wire_name(type(answer)), msgspec.Raw(msgspec.msgpack.encode(answer))
                )
        if not stream.closed():
            payload = frame(msgspec.msgpack.encode(reply))
            self.bytes_out += len(payload)
            self.messages_out += 1
            stream.write(payload).add_done_callback(_ignore_closed)
