"""Faults that can be switched on in an emulated worker (``POST /faults``)."""

from __future__ import annotations

from typing import Literal

import msgspec

FaultKind = Literal[
    "none",
    "crash",
    "restart-empty",
    "dark",
    "late",
    "break-mid-event",
    "stray-bytes",
    "lie-about-load",
    "error-status",
    "close-without-answer",
]


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A fault to switch on; ``none`` switches all faults off.

    - ``crash``: the process ends at once;
    - ``restart-empty``: a new instance starts at the same address with an empty cache;
    - ``dark``: the worker answers and announces nothing for ``seconds``, while connections stay open;
    - ``late``: answers begin ``seconds`` later than they would;
    - ``break-mid-event``: a stream breaks inside event number ``after``, and a plain answer before its full length;
    - ``stray-bytes``: bytes that belong to no answer follow each complete answer;
    - ``lie-about-load``: the worker reports that no calls run or wait;
    - ``error-status``: the worker answers with ``status`` instead of running the call;
    - ``close-without-answer``: the worker runs the call and closes the connection without sending a byte.

    ``calls`` limits the number of calls that the fault affects (None: until it is switched off).
    """

    fault: FaultKind
    seconds: float = 5.0
    after: int = 3
    status: int = 500
    calls: int | None = None


class ActiveFaults:
    """The faults that are switched on and affect single calls."""

    def __init__(self) -> None:
        self._faults: dict[str, Fault] = {}
        self._calls_left: dict[str, int] = {}

    def activate(self, fault: Fault) -> None:
        """Switches a fault on, in place of one of the same kind; ``none`` switches all off."""
        if fault.fault == "none":
            self._faults.clear()
            self._calls_left.clear()
            return
        self._faults[fault.fault] = fault
        self._calls_left.pop(fault.fault, None)
        if fault.calls is not None:
            self._calls_left[fault.fault] = fault.calls

    def active(self, kind: FaultKind) -> Fault | None:
        """Returns the fault if it is switched on, without counting a call against its limit."""
        return self._faults.get(kind)

    def take(self, kind: FaultKind) -> Fault | None:
        """Returns the fault if it affects the current call, and counts the call against the fault's limit."""
        fault = self._faults.get(kind)
        if fault is None or kind not in self._calls_left:
            return fault
        self._calls_left[kind] -= 1
        if self._calls_left[kind] <= 0:
            self._faults.pop(kind)
            self._calls_left.pop(kind)
        return fault
