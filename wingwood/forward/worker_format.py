"""The default format of calls to workers and of their answers (docs/DESIGN.md section 12.1).

A call is sent as HTTP/1.1 to the caller's path at the worker's address, with the unchanged body, its length and:

- ``Prefix``: the caller's header, unchanged (``shared1/shared2/session``), if it sent one;
- ``Expect-Instance: INSTANCE``: the intended run of the worker process; another one answers 412 and does not run it;
- ``X-Request-Id``, ``X-Tenant``, ``Idempotency-Key`` (if sent), ``Content-Type`` and the caller's other
  end-to-end headers; never ``Authorization`` and never hop-by-hop headers.

A 412, or a 503 with ``Not-Run: true``, states that the worker did not run the call and will not. Every other
status is the worker's own answer and is passed on. A stream is ``text/event-stream``, one event per
generated token, and ends with the event ``data: [DONE]``. The head of the answer
may state ``Cached-Tokens`` and ``Prompt-Tokens``.
"""

from __future__ import annotations

from typing import Final

from ..context.protocols import HttpHead, HttpRequest
from ..identifiers import Seconds
from ..registry.protocols import Worker, WorkerLoad
from .event_streams import LAST_EVENT_ID
from .http_headers import end_to_end
from .protocols import IncomingCall
from .worker_requests import request_to_worker

PREFIX: Final = "Prefix"
EXPECT_INSTANCE: Final = "Expect-Instance"
REQUEST_ID: Final = "X-Request-Id"
TENANT: Final = "X-Tenant"
NOT_RUN: Final = "Not-Run"
CACHED_TOKENS: Final = "Cached-Tokens"
"""Optional answer header, read by the bench: how many prompt tokens the worker found in its KV cache."""
PROMPT_TOKENS: Final = "Prompt-Tokens"
END_MARKER: Final = b"[DONE]"

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
    close_ends_body = False

    def request(self, call: IncomingCall, worker: Worker, left: Seconds) -> HttpRequest:
        router_headers = [(EXPECT_INSTANCE, str(worker.instance)), (REQUEST_ID, str(call.request))]
        if call.tenant is not None:
            router_headers.append((TENANT, str(call.tenant.name)))
        return request_to_worker(call, worker, router_headers, _NOT_COPIED_TO_WORKER, LAST_EVENT_ID)

    def is_answer_to(self, head: HttpHead, call: IncomingCall) -> bool:
        """Returns True: calls do not share connections, so that whatever is received answers this call."""
        return True

    def reports_not_run(self, head: HttpHead) -> bool:
        if head.status == 412:
            return True
        return head.status == 503 and (head.header(NOT_RUN) or "").strip().lower() == "true"

    def is_other_instance(self, head: HttpHead) -> bool:
        return head.status == 412

    def caller_headers(self, head: HttpHead) -> tuple[tuple[str, str], ...]:
        return end_to_end(head.headers, _NOT_COPIED_TO_CALLER)

    def load(self, head: HttpHead) -> WorkerLoad | None:
        return None
