"""Interfaces of the HTTP formats of callers and workers, and the responses that routers make (section 12.1).

The default formats are in ``caller_format.py`` and ``worker_format.py``. A deployment whose callers and workers use
other headers and bodies supplies a pair of its own. Formats translate names and values; only the policies decide
what is done with a call.
"""

from __future__ import annotations

from typing import Protocol

import msgspec

from ..context.protocols import HttpHead, HttpRequest
from ..identifiers import IdempotencyKey, KeyDigest, RequestId, Seconds
from ..registry.protocols import Worker
from .calls import CallerRequest, IncomingCall, Prompt
from .results import Rejection

Headers = tuple[tuple[str, str], ...]
"""Names and values of headers in order."""


class RenderedResponse(msgspec.Struct, frozen=True):
    """A complete HTTP response that the router made itself."""

    status: int
    headers: Headers
    body: bytes


def json_response(status: int, document: object, headers: Headers = ()) -> RenderedResponse:
    """Returns a response whose body is ``document`` as JSON; ``headers`` follow those of the body."""
    body = msgspec.json.encode(document, order="deterministic")
    body_headers = (("Content-Type", "application/json"), ("Content-Length", str(len(body))))
    return RenderedResponse(status, (*body_headers, *headers), body)


class CallerFormat(Protocol):
    """Reads the requests of callers and renders the responses that the router makes itself."""

    def request_id(self, request: CallerRequest) -> RequestId | None:
        """Returns the request id that the caller chose; None when there is none or it is malformed."""
        ...

    def plain_path(self, path: str) -> str | None:
        """Returns the path by which the route is chosen; None when the path is not acceptable."""
        ...

    def key(self, request: CallerRequest) -> KeyDigest | None:
        """Returns the digest of the caller's key; None unless the request has exactly one key."""
        ...

    def problem(self, request: CallerRequest) -> Rejection | None:
        """Returns the rejection of a malformed request of an accepted caller; None when it is well formed."""
        ...

    def prompt(self, request: CallerRequest) -> Prompt:
        """Returns what the request states about its prompt."""
        ...

    def caller_timeout(self, request: CallerRequest) -> Seconds | None:
        """Returns how long the caller waits in all, counted from its sending of the request; None if not stated."""
        ...

    def idempotency_key(self, request: CallerRequest) -> IdempotencyKey | None:
        """Returns the idempotency key of the request; None unless it has exactly one, well-formed key."""
        ...

    def has_idempotency_key(self, request: CallerRequest) -> bool:
        """Returns whether the request has an idempotency key, well-formed or not."""
        ...

    def last_event(self, request: CallerRequest) -> int | None:
        """Returns the id of the last event that the caller has of an interrupted stream; None when it names none."""
        ...

    def worker_response_headers(self, call: IncomingCall) -> Headers:
        """Returns the headers that the router adds to the response of ``call.history.worker``."""
        ...

    def router_response(self, rejection: Rejection, request_id: RequestId, sent: bool) -> RenderedResponse:
        """Renders a rejection; ``sent`` is whether any part of this call was sent to a worker."""
        ...


class WorkerFormat(Protocol):
    """Builds the requests to workers and reads the heads of their responses."""

    @property
    def end_marker(self) -> bytes | None:
        """Data of the event that ends each stream; None if a stream is complete once its framing has ended cleanly."""
        ...

    @property
    def close_ends_body(self) -> bool:
        """Whether a response with neither length nor chunked encoding is complete when its connection ends cleanly."""
        ...

    def request(self, call: IncomingCall, worker: Worker, time_left: Seconds) -> HttpRequest:
        """Builds the request that sends ``call`` to ``worker``; ``time_left`` is how long the caller still waits.

        For a stream of which the caller has events, the request asks the worker to continue after the last of them.
        The forwarding policy adds connection limits, checks and timeouts.
        """
        ...

    def is_response_to(self, head: HttpHead, call: IncomingCall) -> bool:
        """Returns whether this is the head of the response to ``call`` and not to another call."""
        ...

    def reports_not_run(self, head: HttpHead) -> bool:
        """Returns whether the worker states that it has not run the call and will not run it."""
        ...

    def is_other_instance(self, head: HttpHead) -> bool:
        """Returns whether the response says that the address belongs to another instance than the intended one."""
        ...

    def caller_headers(self, head: HttpHead) -> Headers:
        """Returns the worker's headers that are passed on to the caller, without those of the framing."""
        ...


class Formats(msgspec.Struct, frozen=True, kw_only=True):
    """The pair of formats that a deployment uses."""

    caller: CallerFormat
    worker: WorkerFormat
