"""The HTTP client on tornado's curl client and libcurl (docs/DESIGN.md section 12.2).

Only the event loop integration of ``CurlAsyncHTTPClient`` is used, not its ``fetch``: that method queues
calls above ``max_clients`` invisibly, follows redirects, decompresses, takes proxies from the environment
and can't be cancelled. Each call here has its own handle and connection, so libcurl finds no pooled
connection on which it would send a request a second time.
"""

from __future__ import annotations

import contextlib
import re
from typing import Final

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient

from .http_exchange import Exchange
from .http_framing import MAX_HEAD_BYTES, ChunkDecoder, fault_of_request, framing_of, is_token
from .protocols import HttpExchange, HttpFault, HttpHead, HttpRequest
from .socket_options import reset_descriptor_on_close

_MAX_IDLE_HANDLES: Final = 256
"""Handles without a call that are stored for later calls, because making one is expensive."""
_PROCEED: Final[int] = pycurl.PREREQFUNC_OK
_ABORT: Final[int] = pycurl.PREREQFUNC_ABORT
_PAUSE: Final[int] = pycurl.WRITEFUNC_PAUSE
_SOCKET_ACCEPTED: Final[int] = pycurl.SOCKOPT_OK
_STATUS_LINE = re.compile(r"HTTP/1\.[01] ([1-5][0-9]{2})(?: .*)?")
_MALFORMED: Final = frozenset(
    {pycurl.E_UNSUPPORTED_PROTOCOL, pycurl.E_FTP_WEIRD_SERVER_REPLY, pycurl.E_BAD_CONTENT_ENCODING}
)


class CurlHttpClient:
    """Implements HttpClient on real sockets."""

    def __init__(self) -> None:
        self._engine: _Engine | None = None

    def start(self, request: HttpRequest) -> HttpExchange:
        """Starts the call on a connection of its own."""
        if self._engine is None:
            self._engine = _Engine(force_instance=True, max_clients=0)
        exchange = _CurlExchange(request, self._engine)
        problem = fault_of_request(request)
        if problem is not None:
            exchange.end(HttpFault("malformed", False, problem))
        else:
            self._engine.add(exchange)
        return exchange

    def calls(self) -> int:
        """Returns the number of calls in progress."""
        return 0 if self._engine is None else len(self._engine.exchanges)

    def close(self) -> None:
        """Cancels all calls."""
        if self._engine is not None:
            for exchange in list(self._engine.exchanges.values()):
                exchange.cancel()
            self._engine.close()
            self._engine = None


class _Engine(CurlAsyncHTTPClient):
    """libcurl's multi handle on tornado's event loop; ``max_clients`` is 0 because ``fetch`` is not used."""

    exchanges: dict[pycurl.Curl, _CurlExchange]
    idle_handles: list[pycurl.Curl]

    def initialize(self, max_clients: int = 0, **_: object) -> None:  # type: ignore[override]
        """Called by tornado in place of a constructor."""
        super().initialize(max_clients=max_clients)
        self.exchanges = {}
        self.idle_handles = []

    def add(self, exchange: _CurlExchange) -> None:
        """Starts the exchange on an idle handle or a new one."""
        curl = self.idle_handles.pop() if self.idle_handles else pycurl.Curl()
        exchange.set_up(curl)
        self.exchanges[curl] = exchange
        self._multi.add_handle(curl)
        self._set_timeout(0)

    def remove(self, curl: pycurl.Curl) -> None:
        """Removes the handle, which closes its connection."""
        del self.exchanges[curl]
        self._multi.remove_handle(curl)
        curl.reset()
        if len(self.idle_handles) < _MAX_IDLE_HANDLES:
            self.idle_handles.append(curl)
        else:
            curl.close()

    def resume(self, curl: pycurl.Curl) -> None:
        """Continues reading after it was paused."""
        with contextlib.suppress(pycurl.error):  # It failed while paused; _finish reports that.
            curl.pause(pycurl.PAUSE_CONT)
        self._set_timeout(0)

    def _finish(self, curl: pycurl.Curl, curl_error: int | None = None, curl_message: str | None = None) -> None:
        exchange = self.exchanges[curl]
        self.remove(curl)
        exchange.finished(curl_error, curl_message or "")


class _CurlExchange(Exchange):
    """One call on one libcurl handle; libcurl calls it with header lines and body bytes."""

    def __init__(self, request: HttpRequest, engine: _Engine) -> None:
        super().__init__(request)
        self._engine = engine
        self._curl: pycurl.Curl | None = None
        self._paused = False
        self._head_bytes = 0
        self._status = 0
        self._headers: list[tuple[str, str]] = []
        self._head_done = False
        self._chunks: ChunkDecoder | None = None
        self._problem: str | None = None
        """The reason why this client rejected the head of the response."""

    def set_up(self, curl: pycurl.Curl) -> None:
        """Sets the options of the handle for this call."""
        self._curl = curl
        request = self.request
        set_option = curl.setopt
        set_option(pycurl.URL, f"http://{request.address}/")
        set_option(pycurl.REQUEST_TARGET, request.path)  # Byte for byte: libcurl would normalize a path in the URL.
        set_option(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
        set_option(pycurl.FRESH_CONNECT, 1)
        set_option(pycurl.FORBID_REUSE, 1)
        set_option(pycurl.PROXY, "")
        set_option(pycurl.NOPROXY, "*")
        set_option(pycurl.NOSIGNAL, 1)
        set_option(pycurl.FOLLOWLOCATION, 0)
        set_option(pycurl.HTTP_CONTENT_DECODING, 0)
        # libcurl accepts LF instead of CRLF after a chunk, so a chunk that is one byte short would pass as complete.
        set_option(pycurl.HTTP_TRANSFER_DECODING, 0)
        set_option(pycurl.CONNECTTIMEOUT_MS, max(1, int(1000 * request.connect_timeout)))
        set_option(pycurl.HTTPHEADER, _header_lines(request))
        if request.method == "HEAD":
            set_option(pycurl.NOBODY, 1)
        elif request.body or request.method == "POST":
            set_option(pycurl.POST, 1)
            set_option(pycurl.POSTFIELDS, request.body)
            set_option(pycurl.CUSTOMREQUEST, request.method)
        else:
            set_option(pycurl.HTTPGET, 1)
            set_option(pycurl.CUSTOMREQUEST, request.method)
        set_option(pycurl.SOCKOPTFUNCTION, _set_up_socket)
        set_option(pycurl.PREREQFUNCTION, self._before_write)
        set_option(pycurl.HEADERFUNCTION, self._on_header_line)
        set_option(pycurl.WRITEFUNCTION, self._on_body)

    def finished(self, error: int | None, message: str) -> None:
        """Called when libcurl has ended the transfer; ``error`` is its error code, or None."""
        self._curl = None
        if self._problem is not None:
            self.end(HttpFault("malformed", self._sent, self._problem))
        elif error is None and self._chunks is not None:
            self.end(HttpFault("broken", True, "closed within the chunks"))
        elif error is None:
            self.end(None)
        elif not self._sent:
            refused = error == pycurl.E_ABORTED_BY_CALLBACK
            self.end(HttpFault("cancelled" if refused else "connect", False, message))
        elif error in _MALFORMED and not self._head_done:
            self.end(HttpFault("malformed", True, message))
        else:
            self.end(HttpFault("broken", True, message))

    def _before_write(self, *_: object) -> int:
        return _PROCEED if self.may_write() else _ABORT

    def _on_header_line(self, line: bytes) -> int | None:
        if self._head_done:
            return None  # The line belongs to the trailers of a chunked answer.
        self._head_bytes += len(line)
        if self._head_bytes > MAX_HEAD_BYTES:
            return self._reject("head too long")
        text = line.decode("latin-1").rstrip("\r\n")
        if text.startswith("HTTP/"):
            self._headers.clear()
            match = _STATUS_LINE.fullmatch(text)
            if match is None:
                return self._reject("malformed status line")
            self._status = int(match[1])
        elif text:
            return self._add_header(text)
        elif self._status == 101:
            return self._reject("switches protocols")
        elif self._status >= 200:
            return self._end_head()
        return None

    def _add_header(self, text: str) -> int | None:
        if text[0] in " \t":
            if self._headers:
                name, value = self._headers[-1]
                self._headers[-1] = (name, f"{value} {text.strip()}")
            return None
        name, separator, value = text.partition(":")
        if not separator or not is_token(name):
            return self._reject("malformed header")  # libcurl would ignore it as unknown, even a framing header.
        self._headers.append((name, value.strip(" \t")))
        return None

    def _end_head(self) -> int | None:
        headers = tuple(self._headers)
        framing = framing_of(self.request.method, self._status, headers)
        if framing is None:
            return self._reject("contradicting lengths")
        self._head_done = True
        if framing == "chunked":
            self._chunks = ChunkDecoder()
        self.set_head(HttpHead(self._status, headers, framing, new_connection=True))
        return None

    def _reject(self, problem: str) -> int:
        self._problem = problem
        return -1

    def _on_body(self, chunk: bytes) -> int | None:
        if self.is_full():
            self._paused = True
            return _PAUSE  # libcurl stores the chunk and passes it again after resuming.
        if self._chunks is None:
            self.add_chunk(chunk)
            return None
        body = self._chunks.take(chunk)
        if body:
            self.add_chunk(body)
        if self._chunks.problem is not None:
            self.end(HttpFault("broken", True, self._chunks.problem))
        elif self._chunks.ended:
            self.end(None)
        return -1 if self.ended() else None  # libcurl itself would read until the connection closes.

    def _resume_if_paused(self) -> None:
        if self._paused and self._curl is not None:
            self._paused = False
            self._engine.resume(self._curl)

    def _close(self) -> None:
        if self._curl is not None:
            curl, self._curl = self._curl, None
            self._engine.remove(curl)


def _set_up_socket(descriptor: int, _: int) -> int:
    """Makes every close a reset, since libcurl does not say which one cuts a call off."""
    reset_descriptor_on_close(descriptor)
    return _SOCKET_ACCEPTED


def _header_lines(request: HttpRequest) -> list[bytes]:
    """Returns the headers in libcurl's syntax: ``Name;`` sends an empty value, ``Name:`` omits a header of its own."""
    header_names = {name.lower() for name, _ in request.headers}
    lines = [
        f"{name}: {value}".encode("latin-1") if value.strip() else f"{name};".encode("latin-1")
        for name, value in request.headers
    ]
    if "connection" not in header_names:
        lines.append(b"Connection: close")
    own = ("Accept", "Content-Type", "Expect", "User-Agent")
    lines += [name.encode() + b":" for name in own if name.lower() not in header_names]
    return lines
