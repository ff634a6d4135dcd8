"""The HTTP server of the operator address (docs/DESIGN.md section 15.1).

It runs tornado's HTTP/1.1 connection on streams from ``Context.network``, so it works in the simulator too.
"""

from __future__ import annotations

from collections.abc import Awaitable
from http.client import responses
from urllib.parse import parse_qsl, unquote, urlsplit

import msgspec
from returns.result import Result, Success
from tornado import httputil
from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters, HTTP1ServerConnection
from tornado.iostream import BaseIOStream, StreamClosedError

from ..context.protocols import Context, Listener, NetworkFault
from ..identifiers import Address, Seconds
from .protocols import OperatorHandler, OperatorReply, OperatorRequest, error_reply


class ServerLimits(msgspec.Struct, frozen=True):
    """The limits of an ``OperatorServer``, in bytes and seconds."""

    connections: int = 1_000
    """The number of open connections above which a new one is closed at once."""
    header_bytes: int = 16 * 1024
    """The size of a request head above which the response is 431.

    Above four times this size the connection is closed without a response.
    """
    body_bytes: int = 256 * 1024
    """The body limit of a route that sets none of its own."""
    total_body_bytes: int = 96 * 1024 * 1024
    """The limit for the bodies of all requests that are being read or answered.

    It is also the part of a refused body that is read and discarded, since a response sent before the end of the body
    is lost when the connection closes. A longer refused body is answered at once.
    """
    idle_timeout: Seconds = Seconds(75.0)
    """The time within which the head of the next request must arrive."""
    body_timeout: Seconds = Seconds(20.0)
    """The time within which a request body must arrive."""


_BUSY = error_reply(503, "busy", "too many large requests at once; try again", (("Retry-After", "1"),))


class _Route(msgspec.Struct, frozen=True):
    """The handler of one method and path, and the size limit of its request bodies."""

    handler: OperatorHandler
    body_bytes: int


class OperatorServer:
    """Serves ``OperatorRoutes`` on one listening address; every error response is JSON."""

    def __init__(self, context: Context, limits: ServerLimits | None = None) -> None:
        self.context = context
        self.limits = limits or ServerLimits()
        self.pending_body_bytes = 0
        """The number of body bytes announced or read by requests that have not been answered yet."""
        self._exact_routes: dict[str, dict[str, _Route]] = {}
        self._prefix_routes: dict[str, dict[str, _Route]] = {}
        self._listener: Listener | None = None
        self._connections: dict[HTTP1ServerConnection, BaseIOStream] = {}
        self._parameters = HTTP1ConnectionParameters(
            max_header_size=4 * self.limits.header_bytes,
            header_timeout=self.limits.idle_timeout,
            body_timeout=self.limits.body_timeout,
            max_body_size=self.limits.total_body_bytes,
        )
        self._delegate = _ConnectionDelegate(self)

    def add(self, method: str, path: str, handler: OperatorHandler, body_bytes: int | None = None) -> None:
        """Adds a route; see ``OperatorRoutes.add``."""
        table, key = (self._prefix_routes, path[:-1]) if path.endswith("/*") else (self._exact_routes, path)
        route = _Route(handler, self.limits.body_bytes if body_bytes is None else body_bytes)
        table.setdefault(key, {})[method] = route

    def start(self, address: Address) -> Result[None, NetworkFault]:
        """Starts to listen on ``address``; the result is a failure when the address cannot be used."""
        listening = self.context.network.listen(address, self.handle_stream)
        if isinstance(listening, Success):
            self._listener = listening.unwrap()
        return listening.map(lambda _: None)

    def stop(self) -> None:
        """Stops listening and closes all open connections."""
        if self._listener is not None:
            self._listener.close()
        for stream in list(self._connections.values()):
            stream.close()

    def handle_stream(self, stream: BaseIOStream, peer: Address) -> None:
        """Serves a new connection, or closes it when too many are open."""
        if len(self._connections) >= self.limits.connections:
            self.context.log.event("operator-connection-refused", peer=peer, connections=len(self._connections))
            stream.close()
            return
        connection = HTTP1ServerConnection(stream, self._parameters, peer)  # type: ignore[arg-type]
        self._connections[connection] = stream
        connection.start_serving(self._delegate)

    def closed(self, connection: object) -> None:
        """Removes a connection that has been closed."""
        if isinstance(connection, HTTP1ServerConnection):
            self._connections.pop(connection, None)

    def find(self, method: str, path: str) -> _Route | OperatorReply:
        """Returns the route, or the response that says why there is none."""
        methods = self._exact_routes.get(path)
        if methods is None:
            prefixes = [prefix for prefix in self._prefix_routes if path.startswith(prefix)]
            methods = self._prefix_routes[max(prefixes, key=len)] if prefixes else None
        if methods is None:
            return error_reply(404, "no-such-path", f"there is no {path[:200]} here; see docs/COMMANDS.md")
        if method not in methods:
            allowed = ", ".join(sorted(methods))
            return error_reply(405, "wrong-method", f"{path} takes {allowed}", (("Allow", allowed),))
        return methods[method]


class _ConnectionDelegate(httputil.HTTPServerConnectionDelegate):
    """Creates an ``_Exchange`` for each request of a connection."""

    def __init__(self, server: OperatorServer) -> None:
        self._server = server

    def start_request(
        self,
        server_conn: object,
        request_conn: httputil.HTTPConnection,
    ) -> httputil.HTTPMessageDelegate:
        assert isinstance(request_conn, HTTP1Connection)
        return _Exchange(self._server, request_conn)

    def on_close(self, server_conn: object) -> None:
        self._server.closed(server_conn)


class _Exchange(httputil.HTTPMessageDelegate):
    """One request and its response. The body is stored only when the head is valid, otherwise it is discarded."""

    def __init__(self, server: OperatorServer, connection: HTTP1Connection) -> None:
        self._server = server
        self._connection = connection
        self._route: _Route | None = None
        self._refusal: OperatorReply | None = None
        """The error response, sent once the body has been read and discarded: a response sent before that is lost when
        the connection closes."""
        self._body = bytearray()
        self._reserved_bytes = 0
        self._discarded_bytes = 0

    def headers_received(
        self, start_line: httputil.RequestStartLine | httputil.ResponseStartLine, headers: httputil.HTTPHeaders
    ) -> Awaitable[None] | None:
        assert isinstance(start_line, httputil.RequestStartLine)
        self._start_line, self._headers = start_line, headers
        self._refusal = self._check_head()
        announced = headers.get("Content-Length", "0")
        if self._refusal is not None and (
            not announced.isdigit() or int(announced[:18]) > self._server.limits.total_body_bytes
        ):
            self._answer(self._refusal)
        return None

    def _check_head(self) -> OperatorReply | None:
        """Finds the route and reserves the announced body bytes; returns an error response when it cannot."""
        limits = self._server.limits
        size = sum(len(name) + len(value) + 4 for name, value in self._headers.get_all()) + len(self._start_line.path)
        if size > limits.header_bytes:
            return error_reply(431, "headers-too-large", f"the head has {size} bytes, {limits.header_bytes} are taken")
        try:
            parts = urlsplit(self._start_line.path)
            self._path = unquote(parts.path, errors="strict")
            self._query = dict(parse_qsl(parts.query, keep_blank_values=True, errors="strict", max_num_fields=50))
        except (ValueError, UnicodeDecodeError):
            return error_reply(400, "malformed", "the request's path can't be read")
        found = self._server.find(self._start_line.method, self._path)
        if isinstance(found, OperatorReply):
            return found
        announced = self._headers.get("Content-Length", "0")
        if not (announced.isascii() and announced.isdigit() and len(announced) < 19):
            return error_reply(400, "malformed", f"Content-Length is {announced[:40]!r}: one number is expected")
        if int(announced) > found.body_bytes:
            return self._too_large(found)
        if self._server.pending_body_bytes + int(announced) > limits.total_body_bytes:
            return _BUSY
        self._reserve_body_bytes(int(announced))
        self._route = found
        return None

    def _too_large(self, route: _Route) -> OperatorReply:
        return error_reply(413, "body-too-large", f"{self._path} takes bodies up to {route.body_bytes} bytes")

    def _reserve_body_bytes(self, length: int) -> None:
        """Sets the number of bytes that this request counts towards ``pending_body_bytes``."""
        self._server.pending_body_bytes += length - self._reserved_bytes
        self._reserved_bytes = length

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        if self._route is None:
            self._discarded_bytes += len(chunk)
            if self._refusal is not None and self._discarded_bytes > self._server.limits.total_body_bytes:
                self._answer(self._refusal)
            return None
        self._body += chunk
        if len(self._body) > self._reserved_bytes:
            self._reserve_body_bytes(len(self._body))
        if len(self._body) > self._route.body_bytes:
            self._refuse(self._too_large(self._route))
        elif self._server.pending_body_bytes > self._server.limits.total_body_bytes:
            self._refuse(_BUSY)
        return None

    def _refuse(self, reply: OperatorReply) -> None:
        """Drops the body received so far; ``reply`` is sent at the end of the body."""
        self._reserve_body_bytes(0)
        self._body = bytearray()
        self._route, self._refusal = None, reply

    def finish(self) -> None:
        if self._refusal is not None:
            self._answer(self._refusal)
        if self._route is None:
            return
        peer = self._connection.context
        assert isinstance(peer, Address)
        request = OperatorRequest(
            method=self._start_line.method,
            path=self._path,
            query=self._query,
            headers={name.lower(): value for name, value in self._headers.items()},
            body=bytes(self._body),
            peer=peer,
        )
        self._server.context.tasks.spawn(f"operator {self._path}", self._run(self._route.handler, request))

    async def _run(self, handler: OperatorHandler, request: OperatorRequest) -> None:
        try:
            reply = await handler(request)
        except (msgspec.MsgspecError, UnicodeError) as malformed:
            reply = error_reply(400, "malformed", str(malformed))
        except Exception:
            self._answer(error_reply(500, "broken", "an error in this daemon; its log says more"))
            raise
        self._answer(reply)

    def on_connection_close(self) -> None:
        self._reserve_body_bytes(0)
        self._route = self._refusal = None

    def _answer(self, reply: OperatorReply) -> None:
        self._reserve_body_bytes(0)
        self._route = self._refusal = None
        self._body = bytearray()
        content_type = "application/json"
        match reply.body:
            case bytes(body):
                pass
            case str(text):
                body, content_type = text.encode(), "text/plain; charset=utf-8"
            case other:
                body = msgspec.json.encode(other)
        headers = httputil.HTTPHeaders({"Content-Type": content_type})
        for name, value in reply.headers:
            headers[name] = value
        headers["Content-Length"] = str(len(body))
        line = httputil.ResponseStartLine("HTTP/1.1", reply.status, responses.get(reply.status, "Answer"))
        try:
            written = self._connection.write_headers(line, headers, body)
            written.add_done_callback(lambda future: future.cancelled() or future.exception())
            self._connection.finish()
        except StreamClosedError:
            self._server.context.log.event("operator-disconnected", path=self._start_line.path[:200])
