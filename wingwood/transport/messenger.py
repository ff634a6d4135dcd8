"""Calls and posts between daemons: one link and one task for each peer (docs/DESIGN.md section 4)."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Literal, Protocol, TypeVar

import msgspec
from returns.result import Failure, Result, Success
from tornado.iostream import BaseIOStream, StreamClosedError

from ..context.protocols import Context, Listener, NetworkFault
from ..identifiers import Address, Seconds
from .errors import HandshakeRejectedError, TransportError, TransportFailure, failure_name
from .frames import Envelope, Identity
from .handshake import accept_handshake
from .peer_link import NONCE_BYTES, PeerLink, Traffic
from .transport_options import TransportOptions

Message = TypeVar("Message", bound=msgspec.Struct)
Reply = TypeVar("Reply", bound=msgspec.Struct)

# The type of a handler's message is that of its key, which cannot be stated for a mapping; hence Any.
CallHandler = Callable[[Identity, Any], Awaitable[msgspec.Struct]]
PostHandler = Callable[[Identity, Any], None]


def wire_name(message_type: type[msgspec.Struct]) -> str:
    """Returns the name that travels with messages of this type: the class's ``WIRE_NAME``, else the class's name."""
    name: str = vars(message_type).get("WIRE_NAME", message_type.__name__)
    return name


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
    ) -> Result[Reply, TransportFailure]:
        """Sends a message and returns the reply, or why there was none within ``timeout`` seconds."""
        ...

    def post(self, address: Address, message: msgspec.Struct) -> None:
        """Sends a message without an answer; it is lost without notice if the peer is unreachable."""
        ...


class TcpMessenger:
    """Implements ``Messenger``: outgoing links to peers and the listener for incoming connections.

    In the handshake, both sides confirm that they have the fleet key.
    """

    def __init__(
        self, context: Context, identity: Identity, key: bytes, options: TransportOptions | None = None
    ) -> None:
        """``identity`` is that of the own daemon, ``key`` the fleet key."""
        self.identity = identity
        self.traffic = Traffic()
        """Counts what was sent and received."""
        self._context = context
        self._key = key
        self._options = options or TransportOptions()
        self._links: dict[Address, PeerLink] = {}
        self._call_handlers: dict[str, tuple[type[msgspec.Struct], CallHandler]] = {}
        self._post_handlers: dict[str, tuple[type[msgspec.Struct], PostHandler]] = {}
        self._last_call_number = 0
        self._listener: Listener | None = None
        self._incoming: set[BaseIOStream] = set()

    def on_call(
        self, message_type: type[Message], handler: Callable[[Identity, Message], Awaitable[msgspec.Struct]]
    ) -> None:
        """See ``Messenger.on_call``; an earlier handler of this type is replaced."""
        self._call_handlers[wire_name(message_type)] = (message_type, handler)

    def on_post(self, message_type: type[Message], handler: Callable[[Identity, Message], None]) -> None:
        """See ``Messenger.on_post``; an earlier handler of this type is replaced."""
        self._post_handlers[wire_name(message_type)] = (message_type, handler)

    def start(self) -> Result[None, NetworkFault]:
        """Starts to listen at the internal address; fails if that address cannot be used."""
        match self._context.network.listen(self.identity.internal, self._handle_stream):
            case Success(listener):
                self._listener = listener
                return Success(None)
            case Failure(fault):
                return Failure(fault)
        raise AssertionError("a result is a success or a failure")

    def stop(self) -> None:
        """Stops listening and closes all connections; pending calls fail."""
        if self._listener is not None:
            self._listener.close()
        for link in list(self._links.values()):
            link.close("stopped")
        for stream in list(self._incoming):
            stream.close()

    async def call(
        self, address: Address, message: msgspec.Struct, reply_type: type[Reply], timeout: Seconds
    ) -> Result[Reply, TransportFailure]:
        """See ``Messenger.call``."""
        match await self._call(address, message, timeout):
            case Success(body):
                try:
                    return Success(msgspec.msgpack.decode(body, type=reply_type))
                except msgspec.MsgspecError as malformed:
                    return Failure(TransportFailure("rejected", True, str(malformed)))
            case Failure(failure):
                return Failure(failure)
        raise AssertionError("a result is a success or a failure")

    def post(self, address: Address, message: msgspec.Struct) -> None:
        """See ``Messenger.post``."""
        link = self._link(address)
        link.post(_envelope("post", 0, message))

    async def _call(
        self, address: Address, message: msgspec.Struct, timeout: Seconds
    ) -> Result[msgspec.Raw, TransportFailure]:
        """Returns the encoded reply."""
        link = self._link(address)
        self._last_call_number += 1
        number = self._last_call_number
        sent = False
        called_at = self._context.clock.monotonic()
        try:
            async with asyncio.timeout(timeout):
                if not await link.connected():
                    return Failure(TransportFailure("unreachable", False, link.last_problem))
                if len(link.pending_calls) >= self._options.max_pending_calls:
                    return Failure(TransportFailure("overloaded", False))
                reply: asyncio.Future[Result[msgspec.Raw, TransportFailure]]
                reply = asyncio.get_running_loop().create_future()
                if not link.write(_envelope("call", number, message)):
                    return Failure(TransportFailure("overloaded", False))
                sent = True
                link.pending_calls[number] = reply
                return await reply
        except TimeoutError:
            link.pending_calls.pop(number, None)
            if sent:
                link.handle_call_timeout(called_at)
            return Failure(TransportFailure("timeout", sent))
        finally:
            link.pending_calls.pop(number, None)

    def _link(self, address: Address) -> PeerLink:
        link = self._links.get(address)
        if link is None:
            link = self._links[address] = PeerLink(
                self._context, self.identity, self._key, self._options, self.traffic, address
            )
        return link

    # --- incoming connections -----------------------------------------------------------------

    async def _handle_stream(self, stream: BaseIOStream, address: Address) -> None:
        self._incoming.add(stream)
        try:
            await self._serve(stream)
        except StreamClosedError:
            pass
        except HandshakeRejectedError as rejected:
            self._context.log.event("unknown-peer-dropped", address=address, detail=str(rejected))
        except (TransportError, msgspec.MsgspecError, TimeoutError) as problem:
            self._context.log.event(
                "unknown-peer-dropped", address=address, detail=f"{failure_name(problem)}: {problem}"
            )
        finally:
            self._incoming.discard(stream)
            stream.close()

    async def _serve(self, stream: BaseIOStream) -> None:
        async with asyncio.timeout(self._options.unresponsive_timeout):
            peer = await accept_handshake(
                stream, self.identity, self._key, lambda: self._context.random.randbytes(NONCE_BYTES)
            )
        while True:
            envelope = await self.traffic.read(stream, self._options.max_frame_bytes)
            if envelope.kind == "post":
                self._handle_post(peer, envelope)
            elif envelope.kind == "call":
                self._context.tasks.spawn(f"answer {envelope.name}", self._answer(stream, peer, envelope))

    def _handle_post(self, peer: Identity, envelope: Envelope) -> None:
        registered = self._post_handlers.get(envelope.name)
        if registered is not None:
            message_type, handler = registered
            handler(peer, msgspec.msgpack.decode(envelope.body, type=message_type))

    async def _answer(self, stream: BaseIOStream, peer: Identity, envelope: Envelope) -> None:
        reply = await self._reply_to(peer, envelope)
        if not stream.closed():
            self.traffic.write(stream, reply)

    async def _reply_to(self, peer: Identity, envelope: Envelope) -> Envelope:
        registered = self._call_handlers.get(envelope.name)
        if registered is None:
            return _fault(envelope.number, f"no handler for {envelope.name}")
        message_type, handler = registered
        try:
            message = msgspec.msgpack.decode(envelope.body, type=message_type)
        except msgspec.MsgspecError as malformed:
            return _fault(envelope.number, str(malformed))
        return _envelope("reply", envelope.number, await handler(peer, message))


def _envelope(kind: Literal["call", "reply", "post"], number: int, message: msgspec.Struct) -> Envelope:
    return Envelope(kind, number, wire_name(type(message)), msgspec.Raw(msgspec.msgpack.encode(message)))


def _fault(number: int, detail: str) -> Envelope:
    return Envelope("fault", number, "", msgspec.Raw(msgspec.msgpack.encode(detail)))
