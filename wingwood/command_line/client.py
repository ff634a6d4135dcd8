"""Bounded HTTP calls to daemons' operator addresses; orders are sent again after a lost answer."""

from __future__ import annotations

import math
import time
from collections.abc import Callable, Sequence
from typing import Any, TypeVar

import msgspec
from returns.result import Failure, Result, Success
from tornado.httpclient import HTTPClient, HTTPError, HTTPRequest, HTTPResponse
from tornado.simple_httpclient import HTTPTimeoutError, SimpleAsyncHTTPClient

from ..bundle.model import Order, OrderOutcome
from ..identifiers import Address, Seconds
from ..operator_api.protocols import OperatorError
from .output import Problem, Unreachable

Value = TypeVar("Value")

CONNECT_WITHIN = Seconds(2.0)
ANSWER_WITHIN = Seconds(10.0)
READ_WITHIN = Seconds(5.0)
"""For what any other daemon can answer as well."""
LARGEST_ANSWER = 64 * 1024 * 1024
PAUSE = Seconds(0.5)
"""Between two rounds over all daemons."""


class NoBundle(Problem):
    """The daemon has no bundle yet."""


class NoAnswer(msgspec.Struct, frozen=True):
    """``sent`` False: no connection was made, so nothing left this machine."""

    address: Address
    sent: bool
    reason: str


class OperatorClient:
    """Asks the daemons at ``addresses`` in turn. ``say`` gets one line for each thing worth telling."""

    def __init__(
        self,
        addresses: Sequence[Address],
        say: Callable[[str], None],
        patience: Seconds = Seconds(30.0),  # noqa: B008 - a number
        pause: Callable[[float], None] = time.sleep,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        if not addresses:
            raise Problem("name a daemon with --to 127.0.0.1:7001 (its operator address) or in WINGWOOD_TO")
        self.addresses = tuple(addresses)
        self._in_turn = list(addresses)
        """Those that were silent come last: a frozen machine in the list must not hold up an order."""
        self._say = say
        self._patience = patience
        self._pause = pause
        self._clock = clock
        self._http = HTTPClient(SimpleAsyncHTTPClient, max_body_size=LARGEST_ANSWER, max_buffer_size=LARGEST_ANSWER)

    def close(self) -> None:
        self._http.close()

    def ask(self, address: Address, path: str, body: bytes | None = None) -> Result[HTTPResponse, NoAnswer]:
        """One call, one answer of any status."""
        request = HTTPRequest(
            f"http://{address}{path}",
            method="GET" if body is None else "POST",
            body=body,
            headers={"Content-Type": "application/json"} if body is not None else {},
            connect_timeout=CONNECT_WITHIN,
            request_timeout=READ_WITHIN if body is None and len(self.addresses) > 1 else ANSWER_WITHIN,
            follow_redirects=False,
            decompress_response=False,
        )
        try:
            return Success(self._http.fetch(request, raise_error=False))
        except HTTPTimeoutError as problem:
            return Failure(NoAnswer(address, "connecting" not in str(problem), str(problem)))
        except (HTTPError, OSError) as problem:
            return Failure(NoAnswer(address, not isinstance(problem, ConnectionRefusedError), str(problem)))

    def _ask(self, address: Address, path: str, body: bytes | None = None) -> Result[HTTPResponse, NoAnswer]:
        answer = self.ask(address, path, body)
        if isinstance(answer, Failure):
            self._in_turn.remove(address)
            self._in_turn.append(address)
        return answer

    def read(self, path: str, type_: type[Value]) -> Value:
        """The first answer of any daemon, decoded; a daemon that can't answer now is passed over."""
        reasons: list[str] = []
        for address in list(self._in_turn):
            match self._ask(address, path):
                case Success(HTTPResponse(code=200) as response):
                    return decode(response.body, type_, address)
                case Success(HTTPResponse() as response):
                    error = error_of(response)
                    if error.code == "no-bundle":
                        raise NoBundle(f"{address}: {error.reason}")
                    if response.code != 503:
                        raise Problem(f"{address}: {error.reason}")
                    reasons.append(f"{address}: {error.reason}")
                case Failure(NoAnswer() as lost):
                    reasons.append(f"{lost.address}: {lost.reason}")
        raise Unreachable("no daemon answered: " + "; ".join(reasons))

    def best(self, path: str, type_: type[Value], rank: Callable[[Value], float], enough: float = math.inf) -> Value:
        """The answer that ranks highest, of all daemons named or up to one that ranks ``enough``.

        A daemon that is cut off answers from what it held then; others know better.
        """
        best: Value | None = None
        problems: list[Problem] = []
        for address in list(self._in_turn):
            try:
                found = self._read_from(address, path, type_)
            except Problem as problem:
                problems.append(problem)
                continue
            if best is None or rank(found) > rank(best):
                best = found
            if rank(found) >= enough:
                break
        if best is not None:
            return best
        raise next((problem for problem in problems if isinstance(problem, NoBundle)), None) or Unreachable(
            "no daemon answered: " + "; ".join(problem.message for problem in problems)
        )

    def _read_from(self, address: Address, path: str, type_: type[Value]) -> Value:
        match self._ask(address, path):
            case Success(HTTPResponse(code=200) as response):
                return decode(response.body, type_, address)
            case Success(HTTPResponse() as response):
                error = error_of(response)
                kind = NoBundle if error.code == "no-bundle" else Problem
                raise kind(f"{address}: {error.reason}")
            case Failure(NoAnswer() as lost):
                raise Unreachable(f"{address}: {lost.reason}")
        raise AssertionError("a result is a success or a failure")

    def submit(self, order: Order) -> OrderOutcome | None:
        """The order's outcome; None when some daemon may have got it and none said what became of it.

        The same bytes go to each daemon in turn until one answers for sure: resending is safe.
        """
        body = msgspec.json.encode(order)
        until = self._clock() + self._patience
        sent = False
        reasons: dict[Address, str] = {}
        while True:
            for address in list(self._in_turn):
                match self._ask(address, "/control/v1/orders", body):
                    case Success(HTTPResponse() as response):
                        outcome = outcome_of(response, address)
                        if outcome is not None and outcome.outcome != "unknown":
                            return outcome
                        sent = True
                        reasons[address] = outcome.reason if outcome is not None else error_of(response).reason
                    case Failure(NoAnswer() as lost):
                        sent = sent or lost.sent
                        reasons[address] = lost.reason
                self._say(f"{address}: {reasons[address]}; the same order goes to the next daemon, resending is safe")
            if self._clock() >= until:
                break
            self._pause(PAUSE)
        if sent:
            return None
        told = "; ".join(f"{address}: {reason}" for address, reason in reasons.items())
        raise Unreachable(f"no daemon could be reached, nothing was sent: {told}")


def decode(body: bytes, type_: type[Value], address: Address) -> Value:
    try:
        return msgspec.json.decode(body, type=type_)
    except (msgspec.MsgspecError, UnicodeError) as malformed:
        raise Problem(f"{address}: the answer can't be read ({malformed}); is this an operator address?") from None


def error_of(response: HTTPResponse) -> OperatorError:
    try:
        return msgspec.json.decode(response.body or b"", type=OperatorError)
    except (msgspec.MsgspecError, UnicodeError):
        return OperatorError("odd-answer", f"HTTP {response.code} {response.reason}; is this an operator address?")


def outcome_of(response: HTTPResponse, address: Address) -> OrderOutcome | None:
    """None for an answer that leaves the order open (503 without an outcome)."""
    try:
        fields: Any = msgspec.json.decode(response.body or b"null")
    except (msgspec.MsgspecError, UnicodeError):
        fields = None
    if isinstance(fields, dict) and "outcome" in fields:
        return decode(response.body, OrderOutcome, address)
    if response.code == 503:
        return None
    raise Problem(f"{address}: {error_of(response).reason}")
