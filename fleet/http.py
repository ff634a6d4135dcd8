"""JSON over HTTP, by which tools query daemons and workers on this machine."""

from __future__ import annotations

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPError, HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from .json_values import JsonValue


class JsonReply(msgspec.Struct, frozen=True):
    """The answer to a request, or the reason why none arrived."""

    status: int
    """HTTP status; 0 when no answer arrived."""
    body: JsonValue
    """Decoded JSON, or the text of an answer that is not JSON, or the reason why no answer arrived."""

    @property
    def succeeded(self) -> bool:
        """Whether the status is 2xx."""
        return 200 <= self.status < 300


class JsonClient:
    """Sends requests with a total timeout in seconds. Failures are returned as replies with status 0, never raised."""

    def __init__(self) -> None:
        self._client: AsyncHTTPClient = SimpleAsyncHTTPClient(force_instance=True, max_clients=200)

    async def get(self, address: str, path: str, timeout: float = 2.0) -> JsonReply:
        """Sends a GET request."""
        return await self.ask("GET", address, path, None, timeout)

    async def post(self, address: str, path: str, body: object, timeout: float = 5.0) -> JsonReply:
        """Sends ``body`` as JSON in a POST request."""
        return await self.ask("POST", address, path, msgspec.json.encode(body), timeout)

    async def ask(self, method: str, address: str, path: str, body: bytes | None, timeout: float) -> JsonReply:
        """Sends a request whose ``body`` is already encoded; redirects are not followed."""
        request = HTTPRequest(
            f"http://{address}{path}",
            method=method,
            body=body,
            headers={"Content-Type": "application/json"} if body is not None else None,
            connect_timeout=min(1.0, timeout),
            request_timeout=timeout,
            follow_redirects=False,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except (
            HTTPError,
            OSError,
        ) as problem:  # HTTPError is raised for time-outs only, whatever ``raise_error`` says.
            return JsonReply(0, str(problem))
        try:
            return JsonReply(response.code, msgspec.json.decode(response.body))
        except msgspec.MsgspecError:
            return JsonReply(response.code, response.body.decode(errors="replace"))

    def close(self) -> None:
        """Closes the connections; requests in flight fail."""
        self._client.close()
