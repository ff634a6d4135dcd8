"""Makes HTTP calls with timeouts to daemons' operator addresses; orders are sent again after a lost answer."""

from __future__ import annotations

import math
import time
from collections.abc import Callable, Sequence
from typing import TypeVar

import msgspec
from returns.result import Failure, Result, Success
from tornado.httpclient import HTTPClient, HTTPError, HTTPRequest, HTTPResponse
from tornado.simple_httpclient import HTTPTimeoutError, SimpleAsyncHTTPClient

from ..bundle.model import Order, OrderOutcome
from ..identifiers import Address, Seconds
from ..operator_api.protocols import OperatorError
from .errors import BundleMissingError, CommandError, UnreachableError

Value = TypeVar("Value")

CONNECT_TIMEOUT_S = Seconds(2.0)
REQUEST_TIMEOUT_S = Seconds(10.0)
FAILOVER_READ_TIMEOUT_S = Seconds(5.0)
"""Timeout of a read while other daemons are named that can answer it as well."""
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
RETRY_BACKOFF_S = Seconds(0.5)
"""Time between two attempts to send an order to all daemons."""


class NoAnswer(msgspec.Struct, frozen=True):
    """A call without an answer. ``sent`` is False if no connection was made, so that the daemon received nothing."""

    address: Address
    sent: bool
    reason: str


class OperatorClient:
    """Sends calls to the daemons at ``addresses`` in turn.

    ``report_progress`` receives one line for each failed attempt to send an order. Orders are sent again for
    ``retry_timeout`` seconds. Raises CommandError if there are no addresses.
    """

    def __init__(
        self,
        addresses: Sequence[Address],
        report_progress: Callable[[str], None],
        retry_timeout: Seconds = Seconds(30.0),  # noqa: B008 - a number
        sleep: Callable[[float], None] = time.sleep,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        if not addresses:
            raise CommandError("name a daemon with --to 127.0.0.1:7001 (its operator address) or in WINGWOOD_TO")
        self.addresses = tuple(addresses)
        self._request_order = list(addresses)
        """Daemons that did not answer move to the end: a frozen machine in the list must not delay an order."""
        self._report_progress = report_progress
        self._retry_timeout = retry_timeout
        self._sleep = sleep
        self._clock = clock
        self._http = HTTPClient(
            SimpleAsyncHTTPClient, max_body_size=MAX_RESPONSE_BYTES, max_buffer_size=MAX_RESPONSE_BYTES
        )

    def close(self) -> None:
        """Closes all connections."""
        self._http.close()

    def ask(self, address: Address, path: str, body: bytes | None = None) -> Result[HTTPResponse, NoAnswer]:
        """Makes one call and returns its answer, whatever the HTTP status."""
        request = HTTPRequest(
            f"http://{address}{path}",
            method="GET" if body is None else "POST",
            body=body,
            headers={"Content-Type": "application/json"} if body is not None else {},
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=FAILOVER_READ_TIMEOUT_S if body is None and len(self.addresses) > 1 else REQUEST_TIMEOUT_S,
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
            self._request_order.remove(address)
            self._request_order.append(address)
        return answer

    def read(self, path: str, type_: type[Value]) -> Value:
        """Returns the first answer of any daemon, decoded; a daemon that is unreachable or answers 503 is skipped.

        Raises BundleMissingError, CommandError for any other status, and UnreachableError if no daemon answered.
        """
        reasons: list[str] = []
        for address in list(self._request_order):
            match self._ask(address, path):
                case Success(HTTPResponse(code=200) as response):
                    return decode(response.body, type_, address)
                case Success(HTTPResponse() as response):
                    error = error_of(response)
                    if error.code == "no-bundle":
                        raise BundleMissingError(f"{address}: {error.reason}")
                    if response.code != 503:
                        raise CommandError(f"{address}: {error.reason}")
                    reasons.append(f"{address}: {error.reason}")
                case Failure(NoAnswer() as lost):
                    reasons.append(f"{lost.address}: {lost.reason}")
        raise UnreachableError("no daemon answered: " + "; ".join(reasons))

    def read_highest(
        self, path: str, type_: type[Value], rank: Callable[[Value], float], sufficient_rank: float = math.inf
    ) -> Value:
        """Asks all daemons and returns the answer with the highest rank; stops at one of ``sufficient_rank``.

        A partitioned daemon answers with outdated state, so one answer alone is not trusted. Raises BundleMissingError
        or UnreachableError if no daemon gave an answer.
        """
        best: Value | None = None
        problems: list[CommandError] = []
        for address in list(self._request_order):
            try:
                found = self._read_from(address, path, type_)
            except CommandError as problem:
                problems.append(problem)
                continue
            if best is None or rank(found) > rank(best):
                best = found
            if rank(found) >= sufficient_rank:
                break
        if best is not None:
            return best
        raise next(
            (problem for problem in problems if isinstance(problem, BundleMissingError)), None
        ) or UnreachableError("no daemon answered: " + "; ".join(problem.message for problem in problems))

    def _read_from(self, address: Address, path: str, type_: type[Value]) -> Value:
        match self._ask(address, path):
            case Success(HTTPResponse(code=200) as response):
                return decode(response.body, type_, address)
            case Success(HTTPResponse() as response):
                error = error_of(response)
                kind = BundleMissingError if error.code == "no-bundle" else CommandError
                raise kind(f"{address}: {error.reason}")
            case Failure(NoAnswer() as lost):
                raise UnreachableError(f"{address}: {lost.reason}")
        raise AssertionError("a result is a success or a failure")

    def submit(self, order: Order) -> OrderOutcome | None:
        """Sends an order and returns its outcome; None if a daemon may have received it but none reported an outcome.

        The same bytes go to each daemon in turn until one reports a definite outcome; resending is safe because
        an order takes effect once only. Raises UnreachableError if nothing was sent.
        """
        body = msgspec.json.encode(order)
        until = self._clock() + self._retry_timeout
        sent = False
        reasons: dict[Address, str] = {}
        while True:
            for address in list(self._request_order):
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
                self._report_progress(
                    f"{address}: {reasons[address]}; the same order goes to the next daemon, resending is safe"
                )
            if self._clock() >= until:
                break
            self._sleep(RETRY_BACKOFF_S)
        if sent:
            return None
        failures = "; ".join(f"{address}: {reason}" for address, reason in reasons.items())
        raise UnreachableError(f"no daemon could be reached, nothing was sent: {failures}")


def decode(body: bytes, type_: type[Value], address: Address) -> Value:
    """Decodes a JSON answer; raises CommandError if it is not of this type."""
    try:
        return msgspec.json.decode(body, type=type_)
    except (msgspec.MsgspecError, UnicodeError) as malformed:
        raise CommandError(f"{address}: the answer can't be read ({malformed}); is this an operator address?") from None


def error_of(response: HTTPResponse) -> OperatorError:
    """Returns the error in an answer; an answer in another format becomes the error ``odd-answer``."""
    try:
        return msgspec.json.decode(response.body or b"", type=OperatorError)
    except (msgspec.MsgspecError, UnicodeError):
        return OperatorError("odd-answer", f"HTTP {response.code} {response.reason}; is this an operator address?")


def outcome_of(response: HTTPResponse, address: Address) -> OrderOutcome | None:
    """Returns the outcome in an answer, or None if the answer leaves the order open (503 without an outcome).

    Raises CommandError for any other answer without an outcome.
    """
    try:
        fields: object = msgspec.json.decode(response.body or b"null")
    except (msgspec.MsgspecError, UnicodeError):
        fields = None
    if isinstance(fields, dict) and "outcome" in fields:
        return decode(response.body, OrderOutcome, address)
    if response.code == 503:
        return None
    raise CommandError(f"{address}: {error_of(response).reason}")
