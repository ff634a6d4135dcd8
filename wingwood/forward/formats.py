"""What callers and workers speak, as plug-ins of the request path (docs/DESIGN.md section 12.1).

The product's own forms are ``caller_format.py`` and ``worker_format.py``. A deployment whose callers and
workers speak otherwise brings a pair of its own. Formats translate names and values; what is done with a call
is decided by the policies alone.
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
    """A whole answer that the router made itself."""

    status: int
    headers: Headers
    body: bytes


class CallerFormat(Protocol):
    """How callers' calls are read, and the form of answers that the router makes."""

    def request_id(self, call: IncomingCall) -> RequestId | None:
        """The caller's own, when it is well formed."""
        ...

    def plain_path(self, path: str) -> str | None:
        """The path by which the route is chosen; None when it can't be taken."""
        ...

    def key(self, call: IncomingCall) -> KeyDigest | None:
        """Digest of the caller's key; None without exactly one key."""
        ...

    def problem(self, call: IncomingCall) -> Refused | None:
        """Why an accepted caller's call is malformed; None when it is not."""
        ...

    def prompt(self, call: IncomingCall) -> Prompt: ...

    def caller_timeout(self, call: IncomingCall) -> Seconds | None:
        """How long the caller waits in all, counted from its sending; None: not told."""
        ...

    def idempotency_key(self, call: IncomingCall) -> IdempotencyKey | None:
        """None without exactly one well-formed key."""
        ...

    def has_idempotency_key(self, call: IncomingCall) -> bool:
        """Whether it gave any, well-formed or not."""
        ...

    def last_event(self, call: IncomingCall) -> int | None:
        """Id of the last event that the caller has of a broken stream."""
        ...

    def worker_answer_headers(self, call: IncomingCall) -> Headers:
        """What the router adds to the answer of ``call.worker``."""
        ...

    def router_answer(self, refused: Refused, request: RequestId, sent: bool) -> RenderedAnswer:
        """``sent``: something of this call went to a worker."""
        ...


class WorkerFormat(Protocol):
    """How calls go to workers, and how their answers are read."""

    @property
    def end_marker(self) -> bytes | None:
        """Data of the event that ends each stream; None: a stream is whole when its framing ended cleanly."""
        ...

    @property
    def close_ends_body(self) -> bool:
        """Whether an answer with neither length nor chunks is whole when its connection ends cleanly."""
        ...

    def request(self, call: IncomingCall, worker: Worker, left: Seconds) -> HttpRequest:
        """``left``: how long the caller still waits. A stream of which events were given is continued behind them.

        Connections, checks and time-outs are the forwarder's matter.
        """
        ...

    def is_answer_to(self, head: HttpHead, call: IncomingCall) -> bool:
        """Whether this is an answer to ``call`` at all, and not to another one."""
        ...

    def reports_not_run(self, head: HttpHead) -> bool:
        """Whether the worker states that it did not run the call and will not."""
        ...

    def is_other_instance(self, head: HttpHead) -> bool:
        """Whether the answer says that another instance than the one meant has the address."""
        ...

    def caller_headers(self, head: HttpHead) -> Headers:
        """The worker's headers that go on to the caller, without those of framing."""
        ...

    def load(self, head: HttpHead) -> WorkerLoad | None:
        """What the worker tells of its load along with the answer."""
        ...


class Formats(msgspec.Struct, frozen=True, kw_only=True):
    """What a deployment's callers and workers speak."""

    caller: CallerFormat
    worker: WorkerFormat
