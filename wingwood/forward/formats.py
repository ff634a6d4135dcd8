"""Interfaces of the HTTP formats of callers and workers (docs/DESIGN.md section 12.1).

The default formats are in ``caller_format.py`` and ``worker_format.py``. A deployment whose callers and workers use
other headers and bodies supplies a pair of its own. Formats translate names and values; only the policies decide
what is done with a call.
"""

from __future__ import annotations

from typing import Protocol

import msgspec

from ..context.protocols import HttpHead, HttpRequest
from ..identifiers import IdempotencyKey, KeyDigest, RequestId, Seconds
from ..registry.protocols import Worker, WorkerLoad
from .protocols import IncomingCall, Prompt, Refused

Headers = tuple[tuple[str, str], ...]


class RenderedAnswer(msgspec.Struct, frozen=True):
    """A complete HTTP answer that the router made itself."""

    status: int
    headers: Headers
    body: bytes


class CallerFormat(Protocol):
    """Reads the calls of callers and renders the answers that the router makes itself."""

    def request_id(self, call: IncomingCall) -> RequestId | None:
        """Returns the request id that the caller chose; None when there is none or it is malformed."""
        ...

    def plain_path(self, path: str) -> str | None:
        """Returns the path by which the route is chosen; None when the path is not acceptable."""
        ...

    def key(self, call: IncomingCall) -> KeyDigest | None:
        """Returns the digest of the caller's key; None unless the call has exactly one key."""
        ...

    def problem(self, call: IncomingCall) -> Refused | None:
        """Returns the refusal of a malformed call of an accepted caller; None when the call is well formed."""
        ...

    def prompt(self, call: IncomingCall) -> Prompt:
        """Returns what the call states about its prompt."""
        ...

    def caller_timeout(self, call: IncomingCall) -> Seconds | None:
        """Returns how long the caller waits in all, counted from its sending of the call; None if it is not stated."""
        ...

    def idempotency_key(self, call: IncomingCall) -> IdempotencyKey | None:
        """Returns the idempotency key of the call; None unless the call has exactly one, well-formed key."""
        ...

    def has_idempotency_key(self, call: IncomingCall) -> bool:
        """Returns whether the call has an idempotency key, well-formed or not."""
        ...

    def last_event(self, call: IncomingCall) -> int | None:
        """Returns the id of the last event that the caller has of an interrupted stream; None when it names none."""
        ...

    def worker_answer_headers(self, call: IncomingCall) -> Headers:
        """Returns the headers that the router adds to the answer of ``call.worker``."""
        ...

    def router_answer(self, refused: Refused, request: RequestId, sent: bool) -> RenderedAnswer:
        """Renders a refusal; ``sent`` is whether any part of this call was sent to a worker."""
        ...


class WorkerFormat(Protocol):
    """Builds the calls to workers and reads the heads of their answers."""

    @property
    def end_marker(self) -> bytes | None:
        """Data of the event that ends each stream; None if a stream is complete once its framing has ended cleanly."""
        ...

    @property
    def close_ends_body(self) -> bool:
        """Whether an answer with neither length nor chunked encoding is complete when its connection ends cleanly."""
        ...

    def request(self, call: IncomingCall, worker: Worker, left: Seconds) -> HttpRequest:
        """Builds the request that sends ``call`` to ``worker``; ``left`` is how long the caller still waits.

        For a stream of which the caller has events, the request asks the worker to continue after the last of them.
        The forwarding policy adds connection limits, checks and timeouts.
        """
        ...

    def is_answer_to(self, head: HttpHead, call: IncomingCall) -> bool:
        """Returns whether this head answers ``call`` and not another call."""
        ...

    def reports_not_run(self, head: HttpHead) -> bool:
        """Returns whether the worker states that it has not run the call and will not run it."""
        ...

    def is_other_instance(self, head: HttpHead) -> bool:
        """Returns whether the answer says that the address belongs to another instance than the intended one."""
        ...

    def caller_headers(self, head: HttpHead) -> Headers:
        """Returns the worker's headers that are passed on to the caller, without those of the framing."""
        ...

    def load(self, head: HttpHead) -> WorkerLoad | None:
        """Returns the load that the worker reports along with its answer; None when it reports none."""
        ...


class Formats(msgspec.Struct, frozen=True, kw_only=True):
    """The pair of formats that a deployment uses."""

    caller: CallerFormat
    worker: WorkerFormat
