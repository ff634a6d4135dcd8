"""A plain HTTP/1.1 client over any ``Network``, for callers, operators and workers of a run.

It is deliberately independent of the daemons' client: what callers observed is judged by code that shares nothing
with the code under test (docs/DESIGN.md section 16).
"""

from __future__ import annotations

import asyncio
from typing import Literal

from returns.result import Failure, Result, Success
from tornado.iostream import BaseIOStream, StreamClosedError, UnsatisfiableReadError

from wingwood.context.protocols import HttpExchange, HttpFault, HttpHead, HttpRequest, Network

MAX_HEAD_BYTES = 64 * 1024


class PlainExchange:
    """One HTTP request and its answer."""

    def __init__(
        self, network: Network, request: HttpRequest, stream: BaseIOStream | None = None, keep_open: bool = False
    ) -> None:
        """Starts the call, over the open connection ``stream`` when one is given."""
        self._network = network
        self._request = request
        self._stream = stream
        self._keep_open = keep_open
        self._sent = False
        self._cancelled = False
        self._head: HttpHead | None = None
        self._remaining_bytes = 0
        self._ended = False
        self._opening = asyncio.get_running_loop().create_task(self._open(), name=f"http {request.address}")

    async def _open(self) -> HttpFault | None:
        request = self._request
        if self._stream is None and (fault := await self._connect()) is not None:
            return fault
        stream = self._stream
        assert stream is not None
        lines = [f"{request.method} {request.path} HTTP/1.1", f"Host: {request.address}"]
        if not self._keep_open:
            lines.append("Connection: close")
        lines += [f"{name}: {value}" for name, value in request.headers]
        if request.body or request.method in ("POST", "PUT", "PATCH"):
            lines.append(f"Content-Length: {len(request.body)}")
        if stream.closed():
            return HttpFault("broken", False, "closed before it was used again")
        self._sent = True
        stream.write("\r\n".join(lines).encode() + b"\r\n\r\n" + request.body)
        return None

    async def _connect(self) -> HttpFault | None:
        request = self._request
        connected = await self._network.connect(request.address, request.connect_timeout)
        if not isinstance(connected, Success):
            return HttpFault("connect", False, f"{connected.failure().kind} {connected.failure().detail}")
        stream = connected.unwrap()
        if self._cancelled:
            stream.close()
            return HttpFault("cancelled", False)
        self._stream = stream
        return None

    async def head(self) -> Result[HttpHead, HttpFault]:
        fault = await asyncio.shield(self._opening)
        if fault is not None:
            return Failure(fault)
        try:
            while True:
                head = await self._read_head()
                if head.status >= 200:
                    self._head = head
                    return Success(head)
        except StreamClosedError as closed:
            return Failure(self._broken(str(closed.real_error or "closed before an answer")))
        except (ValueError, UnsatisfiableReadError) as malformed:
            self.cancel()
            return Failure(HttpFault("malformed", True, str(malformed)))

    def _broken(self, detail: str) -> HttpFault:
        return HttpFault("cancelled" if self._cancelled else "broken", self._sent, detail)

    async def _read_head(self) -> HttpHead:
        assert self._stream is not None
        raw = (await self._stream.read_until(b"\r\n\r\n", max_bytes=MAX_HEAD_BYTES)).decode("latin-1")
        first, *lines = raw[:-4].split("\r\n")
        parts = first.split(" ", 2)
        if len(parts) < 2 or not parts[0].startswith("HTTP/1.") or not parts[1].isdigit():
            raise ValueError(f"not a status line: {first[:80]!r}")
        headers = tuple((name.strip(), value.strip()) for name, _, value in (line.partition(":") for line in lines))
        lowered = {name.lower(): value for name, value in headers}
        framing: Literal["length", "chunked", "close", "none"]
        if lowered.get("transfer-encoding", "").lower() == "chunked":
            framing = "chunked"
        elif "content-length" in lowered:
            framing, self._remaining_bytes = "length", int(lowered["content-length"])
        elif int(parts[1]) in (204, 304) or int(parts[1]) < 200:
            framing = "none"
        else:
            framing = "close"
        return HttpHead(int(parts[1]), headers, framing)

    async def next_chunk(self) -> Result[bytes | None, HttpFault]:
        stream, head = self._stream, self._head
        if stream is None or head is None:
            return Failure(HttpFault("cancelled", self._sent))
        if self._ended:
            return Success(None)
        try:
            chunk = await self._read_chunk(stream, head)
        except StreamClosedError as closed:
            if head.framing == "close" and closed.real_error is None and not self._cancelled:
                chunk = None
            else:
                return Failure(self._broken(str(closed.real_error or "closed within the body")))
        except (ValueError, UnsatisfiableReadError) as malformed:
            self.cancel()
            return Failure(HttpFault("malformed", True, str(malformed)))
        if chunk is None:
            self._ended = True
            if not self._keep_open or head.framing == "close":
                stream.close()
        return Success(chunk)

    async def _read_chunk(self, stream: BaseIOStream, head: HttpHead) -> bytes | None:
        if head.framing == "none" or (head.framing == "length" and self._remaining_bytes == 0):
            return None
        if head.framing == "close":
            return bytes(await stream.read_bytes(65536, partial=True))
        if head.framing == "length":
            chunk = bytes(await stream.read_bytes(min(self._remaining_bytes, 65536), partial=True))
            self._remaining_bytes -= len(chunk)
            return chunk
        size = int((await stream.read_until(b"\r\n", max_bytes=64)).split(b";")[0].strip(), 16)
        if size == 0:
            if await stream.read_until(b"\r\n", max_bytes=MAX_HEAD_BYTES) != b"\r\n":
                raise ValueError("trailers")
            return None
        framed = bytes(await stream.read_bytes(size + 2))
        if framed[-2:] != b"\r\n":
            raise ValueError("chunk without its end")
        return framed[:-2]

    def reusable(self) -> BaseIOStream | None:
        """Returns the connection when the next call may be sent over it, otherwise None."""
        head, stream = self._head, self._stream
        if not self._ended or not self._keep_open or head is None or stream is None or stream.closed():
            return None
        return None if (head.header("Connection") or "").lower() == "close" else stream

    def cancel(self) -> None:
        self._cancelled = True
        if self._stream is not None:
            self._stream.close()

    def request_sent(self) -> bool:
        return self._sent

    def ended(self) -> bool:
        return self._ended or self._cancelled or (self._stream is not None and self._stream.closed())


class PlainHttpClient:
    """Starts exchanges that each use a connection of their own."""

    def __init__(self, network: Network) -> None:
        self._network = network

    def start(self, request: HttpRequest) -> HttpExchange:
        return PlainExchange(self._network, request)
