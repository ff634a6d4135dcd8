"""The default format of callers' requests and of the responses that the router makes (docs/DESIGN.md section 12.3).

Callers send HTTP/1.1 (or 1.0) with ``Authorization: Bearer KEY``, optionally ``Prefix: shared1/shared2/session``,
``X-Request-Id`` (echoed) and, for services that may not be repeated, ``Idempotency-Key``.

Responses of workers carry ``Wingwood-Worker`` and ``Wingwood-Award`` (how that worker was chosen). Responses that
the router made itself carry ``Wingwood-Answer: router`` and JSON ``{code, reason, run, sent, request, retry_after?}``.
``run`` is ``not-run`` (no call with this idempotency key ran, and none will unless it is sent again), ``unknown`` or
``ran``. ``sent`` is whether any part of this request was sent to a worker.
"""

from __future__ import annotations

import hashlib
import math
import re
from http import HTTPStatus
from typing import Final

import msgspec

from ..identifiers import IdempotencyKey, KeyDigest, RequestId, Seconds
from .calls import CallerRequest, IncomingCall, Prompt
from .formats import Headers, RenderedResponse, json_response
from .results import Rejection, RunState
from .resumable_stream import LAST_EVENT_ID, parse_event_id
from .worker_format import PREFIX, REQUEST_ID

AUTHORIZATION: Final = "Authorization"
IDEMPOTENCY_KEY: Final = "Idempotency-Key"
ANSWER: Final = "Wingwood-Answer"
WORKER: Final = "Wingwood-Worker"
AWARD: Final = "Wingwood-Award"
RETRY_AFTER: Final = "Retry-After"

MAX_PREFIX_BYTES: Final = 1024
MAX_PREFIX_PARTS: Final = 32
MAX_IDEMPOTENCY_KEY_BYTES: Final = 200

_REQUEST_ID = re.compile(r"[!-~]{1,128}")
_IDEMPOTENCY_KEY = re.compile(rf"[ -~]{{1,{MAX_IDEMPOTENCY_KEY_BYTES}}}")
_PREFIX_PART = re.compile(r"[!-~]+")
_PATH = re.compile(r"[!-~]{1,8192}")
_ENCODED = re.compile(r"%(2e|2f|5c)", re.IGNORECASE)


class RouterResponseBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """The JSON body of a response made by the router."""

    code: str
    reason: str
    run: RunState
    sent: bool
    request: RequestId
    retry_after: float | None = None


class DefaultCallerFormat:
    """Implements ``CallerFormat`` with the headers described at the top of this module."""

    def request_id(self, request: CallerRequest) -> RequestId | None:
        """Returns the caller's ``X-Request-Id`` if it is at most 128 printable characters without spaces, else None."""
        value = request.header(REQUEST_ID)
        return RequestId(value) if value is not None and _REQUEST_ID.fullmatch(value) else None

    def plain_path(self, path: str) -> str | None:
        """Returns the path without its query; None when another HTTP server could read it as a different path."""
        plain = path.partition("?")[0]
        if not _PATH.fullmatch(path):
            return None
        if not plain.startswith("/") or "//" in plain or "\\" in plain or "#" in path or _ENCODED.search(plain):
            return None
        return None if any(part in {".", ".."} for part in plain.split("/")) else plain

    def key(self, request: CallerRequest) -> KeyDigest | None:
        """Returns the digest of the key in ``Authorization: Bearer KEY``; None unless there is exactly one."""
        values = request.header_values(AUTHORIZATION)
        if len(values) != 1:
            return None
        scheme, _, key = values[0].partition(" ")
        key = key.strip()
        return digest_of_key(key) if scheme.lower() == "bearer" and key else None

    def problem(self, request: CallerRequest) -> Rejection | None:
        """Returns a 400 for a malformed or repeated ``Prefix``, else None."""
        if prefix_parts(request) is None:
            return Rejection(
                status=400, code="prefix-malformed", reason="one header of the form Prefix: shared/session"
            )
        return None

    def prompt(self, request: CallerRequest) -> Prompt:
        """Returns the prefix of the prompt; callers state no sizes."""
        return Prompt(prefix_parts(request) or ())

    def caller_timeout(self, request: CallerRequest) -> Seconds | None:  # noqa: ARG002
        """Returns None: callers state no timeout, the configuration of their service does."""
        return None

    def idempotency_key(self, request: CallerRequest) -> IdempotencyKey | None:
        """Returns the key if the header is present once and has at most 200 printable characters, else None."""
        values = request.header_values(IDEMPOTENCY_KEY)
        if len(values) != 1 or not _IDEMPOTENCY_KEY.fullmatch(values[0]):
            return None
        return IdempotencyKey(values[0])

    def has_idempotency_key(self, request: CallerRequest) -> bool:
        """Returns whether the request has the header ``Idempotency-Key``."""
        return request.header(IDEMPOTENCY_KEY) is not None

    def last_event(self, request: CallerRequest) -> int | None:
        """Returns the event id in ``Last-Event-ID``; None without a valid one."""
        return parse_event_id(request.header(LAST_EVENT_ID))

    def worker_response_headers(self, call: IncomingCall) -> Headers:
        """Returns the request id, the worker and how placement chose it."""
        history = call.history
        return (REQUEST_ID, str(call.request_id)), (WORKER, str(history.worker)), (AWARD, history.placement_method)

    def router_response(self, rejection: Rejection, request_id: RequestId, sent: bool = False) -> RenderedResponse:
        """Renders a rejection as JSON; a 504 states no ``Retry-After``, which has full seconds, rounded up."""
        retry_after = None if rejection.status == HTTPStatus.GATEWAY_TIMEOUT else rejection.retry_after
        headers = [(ANSWER, "router")]
        if request_id:
            headers.append((REQUEST_ID, str(request_id)))
        if retry_after is not None:
            headers.append((RETRY_AFTER, str(max(1, math.ceil(retry_after)))))
        if rejection.status == HTTPStatus.UNAUTHORIZED:
            headers.append(("WWW-Authenticate", "Bearer"))
        body = RouterResponseBody(rejection.code, rejection.reason, rejection.run, sent, request_id, retry_after)
        return json_response(rejection.status, body, tuple(headers))


def digest_of_key(key: str) -> KeyDigest:
    """Returns the SHA-256 of an API key; bundles contain these digests and no keys."""
    return KeyDigest(hashlib.sha256(key.encode("latin-1", "replace")).hexdigest())


def prefix_parts(request: CallerRequest) -> tuple[str, ...] | None:
    """Returns the parts of the ``Prefix`` header, shared parts first and the session last.

    The result is empty without the header, and None when the header is malformed or repeated.
    """
    values = request.header_values(PREFIX)
    if not values:
        return ()
    if len(values) > 1 or len(values[0]) > MAX_PREFIX_BYTES:
        return None
    parts = tuple(values[0].split("/"))
    if len(parts) > MAX_PREFIX_PARTS or not all(_PREFIX_PART.fullmatch(part) for part in parts):
        return None
    return parts
