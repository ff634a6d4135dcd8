"""The default format of requests to workers and of their responses (docs/DESIGN.md section 12.1).

A call is sent as HTTP/1.1 to the caller's path at the worker's address, with the unchanged body, its length and:

- ``Prefix``: the caller's header, unchanged (``shared1/shared2/session``), if it sent one;
- ``Expect-Instance: INSTANCE``: the intended run of the worker process; another one answers 412 and does not run it;
- ``X-Request-Id``, ``X-Tenant``, ``Idempotency-Key`` (if sent), ``Content-Type`` and the caller's other
  end-to-end headers; never ``Authorization`` and never hop-by-hop headers.

A 412, or a 503 with ``Not-Run: true``, states that the worker did not run the call and will not. Every other
status is the worker's own response and is passed on. A stream is ``text/event-stream``, one event per
generated token, and ends with the event ``data: [DONE]``. The head of the
response may state ``Cached-Tokens`` and ``Prompt-Tokens``.
"""

from __future__ import annotations

from http import HTTPStatus
from typing import Final

from ..context.protocols import HttpHead, HttpRequest
from ..identifiers import Seconds
from ..registry.protocols import Worker
from .calls import IncomingCall
from .formats import Headers
from .http_headers import end_to_end
from .resumable_stream import LAST_EVENT_ID
from .worker_requests import request_to_worker

PREFIX: Final = "Prefix"
EXPECT_INSTANCE: Final = "Expect-Instance"
REQUEST_ID: Final = "X-Request-Id"
TENANT: Final = "X-Tenant"
NOT_RUN: Final = "Not-Run"
CACHED_TOKENS: Final = "Cached-Tokens"
"""Optional response header, read by the bench: how many prompt tokens the worker found in its KV cache."""
PROMPT_TOKENS: Final = "Prompt-Tokens"
END_MARKER: Final = b"[DONE]"
"""Data of the event that ends each stream."""

_NOT_COPIED_TO_WORKER: Final = frozenset(
    {
        "accept-encoding",  # The router could not find events and the end marker in a compressed stream.
        "authorization",
        "content-length",
        "expect",
        "expect-instance",
        "host",
        "x-request-id",
        "x-tenant",
    }
)
_NOT_COPIED_TO_CALLER: Final = frozenset(
    {"content-length", "not-run", "wingwood-answer", "wingwood-award", "wingwood-worker", "x-request-id"}
)


class DefaultWorkerFormat:
    """Implements ``WorkerFormat`` with the headers described at the top of this module."""

    end_marker: bytes | None = END_MARKER
    """Each stream ends with the event ``data: [DONE]``."""
    close_ends_body = False
    """A connection also ends when the worker dies, so that closing ends no body."""

    def request(self, call: IncomingCall, worker: Worker, time_left: Seconds) -> HttpRequest:  # noqa: ARG002
        """Builds the request; workers of this format are not told how long the caller still waits."""
        router_headers = [(EXPECT_INSTANCE, str(worker.instance)), (REQUEST_ID, str(call.request_id))]
        if call.attributes.tenant is not None:
            router_headers.append((TENANT, call.tenant_name))
        return request_to_worker(call, worker, router_headers, _NOT_COPIED_TO_WORKER, LAST_EVENT_ID)

    def is_response_to(self, head: HttpHead, call: IncomingCall) -> bool:  # noqa: ARG002
        """Returns True: calls do not share connections, so that whatever is received is the response to this call."""
        return True

    def reports_not_run(self, head: HttpHead) -> bool:
        """Returns whether the worker states that it has not run the call and will not run it."""
        if head.status == HTTPStatus.PRECONDITION_FAILED:
            return True
        return head.status == HTTPStatus.SERVICE_UNAVAILABLE and (head.header(NOT_RUN) or "").strip().lower() == "true"

    def is_other_instance(self, head: HttpHead) -> bool:
        """Returns whether the worker is another instance than the intended one."""
        return head.status == HTTPStatus.PRECONDITION_FAILED

    def caller_headers(self, head: HttpHead) -> Headers:
        """Returns the end-to-end headers, without those that the router sets itself."""
        return end_to_end(head.headers, _NOT_COPIED_TO_CALLER)
