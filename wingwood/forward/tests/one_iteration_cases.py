"""The kinds of routes, workers' scripts and other events that the tests of one iteration combine."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Final

import msgspec

from ...bundle.model import Service
from ...identifiers import Seconds
from ..caller_format import DefaultCallerFormat
from ..formats import Formats
from ..forward_options import (
    AttemptOptions,
    CallerOptions,
    DeadlineOptions,
    ForwardOptions,
    RequestLimits,
    RetryOptions,
)
from ..request_path import DEFAULT_FORMATS
from ..worker_format import DefaultWorkerFormat
from .fakes import CHUNKED, DONE, chunk
from .one_iteration import EVENTS, LAST_EVENT, Case, IterationWorld, Script, orders, service_of

DEADLINE_S: Final = Seconds(0.6)
FIRST_BYTE_DEADLINE_S: Final = Seconds(0.3)
CHUNK_TIMEOUT_S: Final = Seconds(0.2)
HEAD_RECEIVED_S: Final = 0.0015
"""When the head that a worker sends at once is received, counted from the receipt of the call."""
HEAD_DUE_S: Final = Seconds(AttemptOptions().head_buffer_time + HEAD_RECEIVED_S)
MOVE_S: Final = Seconds(CHUNK_TIMEOUT_S / 2 + HEAD_RECEIVED_S)
"""When a resumable stream moves to another worker if no chunk follows its first one."""
CHUNK_DUE_S: Final = Seconds(CHUNK_TIMEOUT_S + HEAD_RECEIVED_S)
CONNECTION_LIMIT_S: Final = Seconds(0.3)
FIRST_ANSWER_S: Final = 0.001
"""When the answer to the first call of a connection has been sent, counted from its receipt."""
IDLE_GRACE_S: Final = 0.05
"""How long a connection stays open beyond its idle time (``TimedConnection``)."""
STALL_S: Final = Seconds(0.2)
"""How long a stalled router does not run, which is above ``AttemptOptions.loop_stall_threshold``."""
NOT_RUN: Final = b"HTTP/1.1 503 Full\r\nNot-Run: true\r\nContent-Length: 0\r\n\r\n"
STREAM_BY_CLOSE: Final = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
BODY: Final = b"complete"
HEAD: Final = b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n"


class CloseEndsStreams(DefaultWorkerFormat):
    """A format without end marker, in which the end of a connection ends a body."""

    end_marker = None
    close_ends_body = True


WITHOUT_MARKER: Final = Formats(caller=DefaultCallerFormat(), worker=CloseEndsStreams())
CALLER_BOUNDS: Final = ForwardOptions(
    deadline=DeadlineOptions(first_byte_margin=Seconds(0.0), wait_timeouts_end_calls=False),
    retry=RetryOptions(max_attempts=6, retry_after=Seconds(0.1)),
    attempt=AttemptOptions(reuse_connections=True, connect_timeout=Seconds(0.25), buffered_body_bytes=64 * 1024),
)
"""Only the deadline ends a call, as on the users' platform."""
SERVICE_BOUNDS: Final = ForwardOptions(deadline=DeadlineOptions(first_byte_margin=Seconds(0.0)))
"""The service's wait timeouts end calls too."""

TIMES: Final = {"deadline": DEADLINE_S, "first_byte_timeout": FIRST_BYTE_DEADLINE_S, "chunk_timeout": CHUNK_TIMEOUT_S}
CARDS: Final = service_of("cards", kind="plain", repeatable=False, streaming=False, **TIMES)
KEYED: Final = msgspec.structs.replace(CARDS, idempotency_keys=True)
PLAIN: Final = service_of("plain", kind="plain", streaming=False, **TIMES)
STREAM: Final = service_of("stream", repeatable=False, **TIMES)
RESUMABLE: Final = service_of("resumable", resumable=True, **TIMES)

NO_BODY: Final = b"HTTP/1.1 504 Late\r\nContent-Length: 0\r\n\r\n"
STATUS_204: Final = b"HTTP/1.1 204 None\r\n\r\n"
IN_CHUNKS: Final = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
LARGE: Final = b"x" * 700_000
LARGE_HEAD: Final = b"HTTP/1.1 200 OK\r\nContent-Length: 700000\r\n\r\n"
PLAIN_SCRIPTS: Final = {
    "nothing": Script(),
    "504 without body": Script(at_moment=NO_BODY),
    "204": Script(at_moment=STATUS_204),
    "204 and close": Script(at_moment=STATUS_204, end="close"),
    "answer": Script(at_moment=HEAD + BODY, body=BODY),
    "answer and close": Script(at_moment=HEAD + BODY, end="close", body=BODY),
    "chunked answer": Script(at_moment=IN_CHUNKS + chunk(BODY) + b"0\r\n\r\n", body=BODY),
    "end of chunks": Script(before=IN_CHUNKS + chunk(BODY), at_moment=b"0\r\n\r\n", body=BODY),
    "body after head": Script(before=HEAD, at_moment=BODY, body=BODY),
    "rest of body": Script(before=HEAD + BODY[:4], at_moment=BODY[4:], body=BODY),
    "rest of body and close": Script(before=HEAD + BODY[:4], at_moment=BODY[4:], end="close", body=BODY),
    "head only": Script(at_moment=HEAD),
    "head before": Script(before=HEAD),
    "part": Script(before=HEAD + BODY[:4], at_moment=BODY[4:6]),
    "part and close": Script(before=HEAD + BODY[:4], at_moment=BODY[4:6], end="close"),
    "part and reset": Script(before=HEAD + BODY[:4], end="reset"),
    "head and reset": Script(before=HEAD, end="reset"),
    "close": Script(end="close"),
    "reset": Script(end="reset"),
    "not run": Script(at_moment=NOT_RUN, not_run=True),
    "not run and close": Script(at_moment=NOT_RUN, end="close", not_run=True),
    "malformed": Script(at_moment=b"nonsense\r\n\r\n"),
    "large body": Script(before=LARGE_HEAD + LARGE, body=LARGE),
    "rest of large body": Script(before=LARGE_HEAD + LARGE[:-1], at_moment=LARGE[-1:], end="close", body=LARGE),
}
LARGE_EVENT: Final = b"data: %b\n\n" % LARGE
STREAM_START: Final = CHUNKED + chunk(EVENTS)
STREAM_SCRIPTS: Final = {
    "nothing": Script(),
    "504 without body": Script(at_moment=NO_BODY),
    "stream": Script(at_moment=STREAM_START + chunk(DONE) + b"0\r\n\r\n", body=EVENTS + DONE),
    "end of stream": Script(before=STREAM_START, at_moment=chunk(DONE) + b"0\r\n\r\n", body=EVENTS + DONE),
    "end after marker": Script(before=CHUNKED + chunk(EVENTS + DONE), at_moment=b"0\r\n\r\n", body=EVENTS + DONE),
    "end without marker": Script(before=STREAM_START, at_moment=b"0\r\n\r\n", body=EVENTS),
    "event": Script(before=STREAM_START, at_moment=chunk(LAST_EVENT)),
    "first event": Script(before=CHUNKED, at_moment=chunk(EVENTS)),
    "part of an event": Script(before=STREAM_START, at_moment=chunk(LAST_EVENT[:6])),
    "close": Script(before=STREAM_START, end="close"),
    "reset": Script(before=STREAM_START, end="reset"),
    "reset after head": Script(before=CHUNKED, end="reset"),
    "reset before head": Script(end="reset"),
    "end by closing": Script(before=STREAM_BY_CLOSE + EVENTS, at_moment=DONE, end="close", body=EVENTS + DONE),
    "not run": Script(at_moment=NOT_RUN, not_run=True),
    "large stream": Script(
        before=CHUNKED + chunk(LARGE_EVENT), at_moment=chunk(DONE) + b"0\r\n\r\n", body=LARGE_EVENT + DONE
    ),
}


class Route(msgspec.Struct, frozen=True):
    """A kind of route."""

    name: str
    service: Service
    options: ForwardOptions
    scripts: dict[str, Script]
    formats: Formats = DEFAULT_FORMATS


ROUTES: Final = (
    Route("not repeatable", CARDS, CALLER_BOUNDS, PLAIN_SCRIPTS),
    Route("with key", KEYED, SERVICE_BOUNDS, PLAIN_SCRIPTS),
    Route("buffered", PLAIN, CALLER_BOUNDS, PLAIN_SCRIPTS),
    Route("repeatable", PLAIN, SERVICE_BOUNDS, PLAIN_SCRIPTS),
    Route("stream", STREAM, SERVICE_BOUNDS, STREAM_SCRIPTS),
    Route("stream without marker", STREAM, CALLER_BOUNDS, STREAM_SCRIPTS, WITHOUT_MARKER),
    Route("resumable", RESUMABLE, SERVICE_BOUNDS, STREAM_SCRIPTS),
    Route("resumable without marker", RESUMABLE, CALLER_BOUNDS, STREAM_SCRIPTS, WITHOUT_MARKER),
)
MOMENTS: Final = {
    "head is due": HEAD_DUE_S,
    "stream moves": MOVE_S,
    "chunk time-out": CHUNK_DUE_S,
    "first-byte deadline": FIRST_BYTE_DEADLINE_S,
    "deadline": DEADLINE_S,
}
EVENTS_BESIDE: Final[dict[str, dict[str, object]]] = {
    "worker alone": {},
    "retry is answered": {"retry": "answers"},
    "retry is silent": {"retry": "silent"},
    "retry waits for placement": {"retry": "silent", "retry_placement_wait": Seconds(1.0)},
    "stalled loop": {"retry": "answers", "stall": STALL_S},
    "slow caller": {"caller": "slow"},
    "caller leaves": {"caller": "leaves"},
    "caller resets": {"caller": "resets"},
    "router stops": {"router": "stops"},
    "router drains": {"router": "drains"},
}
"""What else happens at the moment, or is different."""
ARRIVALS: Final = {"idle_timeout": "whole", "head_timeout": "end of head", "body_timeout": "end of body"}
"""What of a call is awaited under each time limit of a connection."""


def cases_at(moment: Seconds, **changes: object) -> Iterator[Case]:
    """Returns a case for each kind of route and each script, with the events at ``moment``."""
    for route in ROUTES:
        for name, script in route.scripts.items():
            case = Case(
                name=f"{route.name}: {name}",
                service=route.service,
                options=route.options,
                formats=route.formats,
                moment=moment,
                script=script,
            )
            yield msgspec.structs.replace(case, **changes)


def waits_before_attempt() -> Iterator[Case]:
    """Returns cases whose quota, ledger or placement replies at the deadline, or long after it."""
    for wait in (DEADLINE_S, FIRST_BYTE_DEADLINE_S, Seconds(3.0)):
        for step in ("share_wait", "ledger_wait", "placement_wait", "confirm_wait"):
            for moment in (FIRST_BYTE_DEADLINE_S, DEADLINE_S):
                for case in cases_at(moment, **{step: wait}):
                    if case.name.endswith((": nothing", ": not run", ": answer", ": stream")):
                        yield msgspec.structs.replace(case, name=f"{step} {wait:g}, {case.name}")


def late_arrivals() -> Iterator[Case]:
    """Returns cases whose call, or the last byte of it, arrives as a time limit of its connection or a stop is due."""
    for limit in ARRIVALS:
        for moment in (CONNECTION_LIMIT_S, Seconds(CONNECTION_LIMIT_S + IDLE_GRACE_S)):
            for router in ("serves", "drains", "stops"):
                for case in cases_at(moment, router=router, arrival=ARRIVALS[limit]):
                    if case.name.endswith((": nothing", ": answer", ": stream")):
                        options = msgspec.structs.replace(case.options, caller=_caller_options(limit))
                        yield msgspec.structs.replace(case, name=f"{limit}, {router}, {case.name}", options=options)


def _caller_options(limit: str) -> CallerOptions:
    """Returns options with one short time limit, which is due at ``CONNECTION_LIMIT_S`` after a call was received."""
    seconds = Seconds(CONNECTION_LIMIT_S - FIRST_ANSWER_S)
    if limit == "body_timeout":
        return CallerOptions(body_timeout=seconds)
    return CallerOptions(request_limits=msgspec.structs.replace(RequestLimits(), **{limit: seconds}))


def failures_of(cases: Iterable[Case], two_iterations: bool = False) -> tuple[list[str], int]:
    """Plays each case in every order; returns what failed and the number of runs."""
    failures: list[str] = []
    runs = 0
    for case in cases:
        callbacks = IterationWorld(case, None).play().callbacks
        for order in orders(len(callbacks), two_iterations):
            outcome = IterationWorld(case, order).play()
            runs += 1
            named = [[callbacks[index] for index in iteration] for iteration in order]
            failures += [f"{case.name}: {problem}; order {named}" for problem in outcome.problems]
    return failures, runs
