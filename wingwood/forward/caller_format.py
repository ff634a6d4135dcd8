"""The form of callers' calls and of router-made answers (docs/DESIGN.md section 12.3).

Callers send HTTP/1.1 (or 1.0) with ``Authorization: Bearer KEY``, optionally ``Prefix: shared1/shared2/session``,
``X-Request-Id`` (echoed) and, for services that may not be repeated, ``Idempotency-Key``.

Answers of workers carry ``Wingwood-Worker`` and ``Wingwood-Award`` (why that worker). Answers that the router made
itself carry ``Wingwood-Answer: router`` and JSON ``{code, reason, run, sent, request, retry_after?}``. ``run`` is
``not-run`` (no call of this idempotency key ran, and none will unless it is sent again), ``unknown`` or
``ran``. ``sent`` says whether anything of this one request went to a worker.
"""

from __future__ import annotations

import hashlib
import math
import re
from typing import Final

import msgspec

from ..identifiers import IdempotencyKey, KeyDigest, RequestId, WorkerInstance
from .protocols import IncomingCall, Refused, RunState
from .worker_format import PREFIX, REQUEST_ID

AUTHORIZATION: Final = "Authorization"
IDEMPOTENCY_KEY: Final = "Idempotency-Key"
ANSWER: Final = "Wingwood-Answer"
WORKER: Final = "Wingwood-Worker"
AWARD: Final = "Wingwood-Award"
RETRY_AFTER: Final = "Retry-After"

PREFIX_BYTES: Final = 1024
PREFIX_PARTS: Final = 32
IDEMPOTENCY_KEY_BYTES: Final = 200

_REQUEST_ID = re.compile(r"[!-~]{1,128}")
_IDEMPOTENCY_KEY = re.compile(rf"[ -~]{{1,{IDEMPOTENCY_KEY_BYTES}}}")
_PREFIX_PART = re.compile(r"[!-~]+")
_PATH = re.compile(r"[!-~]{1,8192}")
_ENCODED = re.compile(r"%(2e|2f|5c)", re.IGNORECASE)


class RouterAnswer(msgspec.Struct, frozen=True, omit_defaults=True):
    """The JSON body of a router-made answer."""

    code: str
    reason: str
    run: RunState
    sent: bool
    request: RequestId
    retry_after: float | None = None


def router_answer(
    refused: Refused, request: RequestId, sent: bool = False
) -> tuple[tuple[tuple[str, str], ...], bytes]:
    """Headers and body of a router-made answer."""
    body = msgspec.json.encode(
        RouterAnswer(refused.code, refused.reason, refused.run, sent, request, refused.retry_after),
        order="deterministic",
    )
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
        (ANSWER, "router"),
    ]
    if request:
        headers.append((REQUEST_ID, str(request)))
    if refused.retry_after is not None:
        headers.append((RETRY_AFTER, str(max(1, math.ceil(refused.retry_after)))))
    if refused.status == 401:
        headers.append(("WWW-Authenticate", "Bearer"))
    return tuple(headers), body


def worker_answer_headers(request: RequestId, worker: WorkerInstance, how: str) -> tuple[tuple[str, str], ...]:
    return (REQUEST_ID, str(request)), (WORKER, str(worker)), (AWARD, how)


def given_request_id(call: IncomingCall) -> RequestId | None:
    """The caller's own, when it is short and plain."""
    value = call.header(REQUEST_ID)
    return RequestId(value) if value is not None and _REQUEST_ID.fullmatch(value) else None


def key_digest(call: IncomingCall) -> KeyDigest | None:
    """Digest of the caller's key; None without exactly one key in the known form."""
    values = [value for name, value in call.headers if name.lower() == "authorization"]
    if len(values) != 1:
        return None
    scheme, _, key = values[0].partition(" ")
    key = key.strip()
    if scheme.lower() != "bearer" or not key:
        return None
    return KeyDigest(hashlib.sha256(key.encode("latin-1", "replace")).hexdigest())


def idempotency_key(call: IncomingCall) -> IdempotencyKey | None:
    """None without exactly one well-formed key."""
    values = [value for name, value in call.headers if name.lower() == "idempotency-key"]
    if len(values) != 1 or not _IDEMPOTENCY_KEY.fullmatch(values[0]):
        return None
    return IdempotencyKey(values[0])


def prefix_parts(call: IncomingCall) -> tuple[str, ...] | None:
    """Shared parts first, the session last; empty without the header; None when it is malformed."""
    values = [value for name, value in call.headers if name.lower() == PREFIX.lower()]
    if not values:
        return ()
    if len(values) > 1 or len(values[0]) > PREFIX_BYTES:
        return None
    parts = tuple(values[0].split("/"))
    if len(parts) > PREFIX_PARTS or not all(_PREFIX_PART.fullmatch(part) for part in parts):
        return None
    return parts


def plain_path(path: str) -> str | None:
    """The path without its query; None when another reader could take it for another path."""
    plain = path.partition("?")[0]
    if not _PATH.fullmatch(path):
        return None
    if not plain.startswith("/") or "//" in plain or "\\" in plain or "#" in path or _ENCODED.search(plain):
        return None
    return None if any(part in {".", ".."} for part in plain.split("/")) else plain
