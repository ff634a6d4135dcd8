"""The default format of callers' calls and of the answers that the router makes (docs/DESIGN.md section 12.3).

Callers send HTTP/1.1 (or 1.0) with ``Authorization: Bearer KEY``, optionally ``Prefix: shared1/shared2/session``,
``X-Request-Id`` (echoed) and, for services that may not be repeated, ``Idempotency-Key``.

Answers of workers carry ``Wingwood-Worker`` and ``Wingwood-Award`` (why that worker was chosen). Answers that the
router made itself carry ``Wingwood-Answer: router`` and JSON ``{code, reason, run, sent, request, retry_after?}``.
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
from .event_streams import LAST_EVENT_ID, parse_event_id
from .formats import RenderedAnswer
from .protocols import IncomingCall, Prompt, Refused, RunState
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


class RouterAnswer(msgspec.Struct, frozen=True, omit_defaults=True):
    """The JSON body of an answer made by the router."""

    code: str
    reason: str
    run: RunState
    sent: bool
    request: RequestId
    retry_after: float | None = None


class DefaultCallerFormat:
    """Implements ``CallerFormat`` with the headers described at the top of this module."""

    def request_id(self, call: IncomingCall) -> RequestId | None:
        """Returns the caller's ``X-Request-Id`` if it is at most 128 printable characters without spaces, else None."""
        value = call.header(REQUEST_ID)
        return RequestId(value) if value is not None and _REQUEST_ID.fullmatch(value) else None

    def plain_path(self, path: str) -> str | None:
        """Returns the path without its query; None when another HTTP server could read it as a different path."""
        plain = path.partition("?")[0]
        if not _PATH.fullmatch(path):
            return None
        if not plain.startswith("/") or "//" in plain or "\\" in plain or "#" in path or _ENCODED.search(plain):
            return None
        return None if any(part in {".", ".."} for part in plain.split("/")) else plain

    def key(self, call: IncomingCall) -> KeyDigest | None:
        values = call.header_values(AUTHORIZATION)
        if len(values) != 1:
            return None
        scheme, _, key = values[0].partition(" ")
        key = key.strip()
        return digest_of_key(key) if scheme.lower() == "bearer" and key else None

    def problem(self, call: IncomingCall) -> Refused | None:
        if prefix_parts(call) is None:
            return Refused(status=400, code="prefix-malformed", reason="one header of the form Prefix: shared/session")
        return None

    def prompt(self, call: IncomingCall) -> Prompt:
        return Prompt(prefix_parts(call) or ())

    def caller_timeout(self, call: IncomingCall) -> Seconds | None:
        """Returns None: callers state no timeout, the configuration of their service does."""
        return None

    def idempotency_key(self, call: IncomingCall) -> IdempotencyKey | None:
        values = call.header_values(IDEMPOTENCY_KEY)
        if len(values) != 1 or not _IDEMPOTENCY_KEY.fullmatch(values[0]):
            return None
        return IdempotencyKey(values[0])

    def has_idempotency_key(self, call: IncomingCall) -> bool:
        return call.header(IDEMPOTENCY_KEY) is not None

    def last_event(self, call: IncomingCall) -> int | None:
        return parse_event_id(call.header(LAST_EVENT_ID))

    def worker_answer_headers(self, call: IncomingCall) -> tuple[tuple[str, str], ...]:
        return (REQUEST_ID, str(call.request)), (WORKER, str(call.worker)), (AWARD, call.placement_reason)

    def router_answer(self, refused: Refused, request: RequestId, sent: bool = False) -> RenderedAnswer:
        retry_after = None if refused.status == HTTPStatus.GATEWAY_TIMEOUT else refused.retry_after
        body = msgspec.json.encode(
            RouterAnswer(refused.code, refused.reason, refused.run, sent, request, retry_after),
            order="deterministic",
        )
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
            (ANSWER, "router"),
        ]
        if request:
            headers.append((REQUEST_ID, str(request)))
        if retry_after is not None:
            headers.append((RETRY_AFTER, str(max(1, math.ceil(retry_after)))))
        if refused.status == 401:
            headers.append(("WWW-Authenticate", "Bearer"))
        return RenderedAnswer(refused.status, tuple(headers), body)


def digest_of_key(key: str) -> KeyDigest:
    """Returns the SHA-256 of an API key; bundles contain these digests and no keys."""
    return KeyDigest(hashlib.sha256(key.encode("latin-1", "replace")).hexdigest())


def prefix_parts(call: IncomingCall) -> tuple[str, ...] | None:
    """Returns the parts of the ``Prefix`` header, shared parts first and the session last.

    The result is empty without the header, and None when the header is malformed or repeated.
    """
    values = call.header_values(PREFIX)
    if not values:
        return ()
    if len(values) > 1 or len(values[0]) > MAX_PREFIX_BYTES:
        return None
    parts = tuple(values[0].split("/"))
    if len(parts) > MAX_PREFIX_PARTS or not all(_PREFIX_PART.fullmatch(part) for part in parts):
        return None
    return parts
