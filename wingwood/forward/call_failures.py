"""Unexpected errors while one call is handled (docs/DESIGN.md section 15.4).

An error in code that handles one call ends that call. An error inside a component that all calls share may leave its
state half changed, so it ends the process.
"""

from __future__ import annotations

import functools
import traceback
from collections.abc import Callable
from types import TracebackType
from typing import Final

from ..context.protocols import Context
from .calls import IncomingCall
from .metrics import RequestMetrics
from .results import Aborted, CallResult, Rejection

FAILURE_CODE: Final = "internal-error"


class SharedStateError(Exception):
    """An unexpected error inside a component that all calls share; its state may be half changed."""


class SharedComponent:
    """A context manager that raises SharedStateError for any error that escapes the component in its block."""

    __slots__ = ("_name",)

    def __init__(self, name: str) -> None:
        self._name = name

    def __enter__(self) -> None:
        """Enters the component."""

    def __exit__(self, _: object, problem: BaseException | None, __: TracebackType | None) -> None:
        """Leaves the component. Raises SharedStateError."""
        if isinstance(problem, Exception) and not isinstance(problem, SharedStateError):
            raise SharedStateError(f"{self._name}: {problem!r}") from problem


PLACEMENT: Final = SharedComponent("placement")
ADMISSION: Final = SharedComponent("admission")
REGISTRY: Final = SharedComponent("registry")
LIMITS: Final = SharedComponent("limits")
LEDGER: Final = SharedComponent("ledger")
HTTP_CLIENT: Final = SharedComponent("HTTP client")


class Confinement:
    """A context manager that logs and counts an error that escapes its block, and ends it there.

    A SharedStateError is raised again.
    """

    __slots__ = ("_call", "_context", "_metrics", "_stage", "failed")

    def __init__(self, context: Context, metrics: RequestMetrics, call: IncomingCall | None, stage: str) -> None:
        self._context = context
        self._metrics = metrics
        self._call = call
        self._stage = stage
        self.failed = False
        """Whether an error has escaped the block."""

    def __enter__(self) -> Confinement:
        """Returns itself."""
        return self

    def __exit__(self, _: object, problem: BaseException | None, __: TracebackType | None) -> bool:
        """Returns whether the error ends here. Errors that are no ``Exception``, such as cancellation, do not."""
        if not isinstance(problem, Exception) or isinstance(problem, SharedStateError):
            return False
        self.failed = True
        self._metrics.failed.inc()
        self._context.log.event(
            "call-failed",
            request="-" if self._call is None else self._call.request_id,
            stage=self._stage,
            trace="".join(traceback.format_exception(problem)).replace("\n", " | "),
        )
        return True


class CallFailures:
    """Confines unexpected errors to the call that they belong to, and decides how such a call ends."""

    def __init__(self, context: Context, metrics: RequestMetrics) -> None:
        self._context = context
        self._metrics = metrics

    def confined(self, call: IncomingCall | None, stage: str) -> Confinement:
        """Returns a context manager for one stage of a call; ``call`` is None while its request is being read."""
        return Confinement(self._context, self._metrics, call, stage)

    def result(self, call: IncomingCall) -> CallResult:
        """Returns how a call ends after an error: with a 502, or broken off if its response has started."""
        run = call.history.run if call.attempt is None else "unknown"
        if call.response.started:
            return Aborted(FAILURE_CODE, run)
        return Rejection(status=502, code=FAILURE_CODE, reason="this router failed to handle the call", run=run)

    def guarded(
        self, call: IncomingCall, stage: str, callback: Callable[[], None], on_error: Callable[[], None]
    ) -> Callable[[], None]:
        """Returns a callback of the event loop that calls ``on_error`` if an error escapes ``callback``.

        The event loop would only report the error, and nothing would end the call.
        """

        @functools.wraps(callback)
        def run() -> None:
            try:
                with self.confined(call, stage) as confinement:
                    callback()
            except SharedStateError as problem:
                self._context.tasks.spawn(stage, _raise(problem))
            if confinement.failed:
                on_error()

        return run


async def _raise(problem: Exception) -> None:
    raise problem
