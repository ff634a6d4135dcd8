"""What can be made to go wrong with an emulated worker (``POST /faults``)."""

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
    """One switch. ``none`` takes all switches back.

    - ``crash``: the process ends at once; ``restart-empty``: a new life at the same address, with an empty cache;
    - ``dark``: nothing is answered or announced for ``seconds``, connections stay open;
    - ``late``: answers begin ``seconds`` later than they would;
    - ``break-mid-event``: a stream breaks inside event number ``after``, a plain answer short of its length;
    - ``stray-bytes``: bytes of no answer follow each whole answer;
    - ``lie-about-load``: says that nothing runs and nothing waits;
    - ``error-status``: answers with ``status`` instead of running the call;
    - ``close-without-answer``: runs the call and closes without a byte.

    ``calls`` bounds how many calls it touches (None: until taken back).
    """

    fault: FaultKind
    seconds: float = 5.0
    after: int = 3
    status: int = 500
    calls: int | None = None


class ActiveFaults:
    """The faults that touch single calls."""

    def __init__(self) -> None:
        self._faults: dict[str, Fault] = {}
        self._calls_left: dict[str, int] = {}

    def activate(self, fault: Fault) -> None:
        if fault.fault == "none":
            self._faults.clear()
            self._calls_left.clear()
            return
        self._faults[fault.fault] = fault
        self._calls_left.pop(fault.fault, None)
        if fault.calls is not None:
            self._calls_left[fault.fault] = fault.calls

    def active(self, kind: FaultKind) -> Fault | None:
        """The fault when it is switched on, without using up one of its calls."""
        return self._faults.get(kind)

    def take(self, kind: FaultKind) -> Fault | None:
        """The fault when it touches the call under way."""
        fault = self._faults.get(kind)
        if fault is None or kind not in self._calls_left:
            return fault
        self._calls_left[kind] -= 1
        if self._calls_left[kind] <= 0:
            self._faults.pop(kind)
            self._calls_left.pop(kind)
        return fault
