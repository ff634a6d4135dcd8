"""What the probes share: a quiet real context, members that stand still, children asked by line."""

from __future__ import annotations

import json
import os
import random
import resource
import subprocess
import sys
import time
from collections.abc import Callable, Iterable, Sequence
from pathlib import Path
from typing import Any

from wingwood.context.protocols import Context
from wingwood.context.real import RealClock, RealDisk, RealNetwork, RealTasks
from wingwood.identifiers import Address, DaemonName, Incarnation, Instant, Zone
from wingwood.transport.frames import Identity

KEY = b"capacity bench's key, of no worth"
Row = dict[str, Any]


class ErrorsOnlyLog:
    def event(self, name: str, **fields: object) -> None:
        if name in ("invariant-broken", "peer-refused"):
            print(name, fields, file=sys.stderr, flush=True)


def real_quiet_context(folder: Path | None = None) -> Context:
    log = ErrorsOnlyLog()
    return Context(
        clock=RealClock(),
        network=RealNetwork(),
        disk=RealDisk(folder or Path(".")),
        http=None,  # type: ignore[arg-type]
        random=random.Random(1),
        log=log,
        tasks=RealTasks(log, lambda reason: os._exit(3)),
    )


def routers(count: int, zones: int = 1, first_port: int = 1) -> list[Identity]:
    return [
        Identity(
            DaemonName(f"r{number:04}"),
            Incarnation(f"{number:016x}"),
            "router",
            Zone(f"zone-{number % zones}"),
            Address("127.0.0.1", first_port + number),
        )
        for number in range(count)
    ]


class FixedMembership:
    """Members that the bench sets; the session is always just proven."""

    def __init__(self, members: Sequence[Identity]) -> None:
        self._members = tuple(members)
        self._callbacks: list[Callable[[], None]] = []

    def set(self, members: Sequence[Identity]) -> None:
        self._members = tuple(members)
        for callback in self._callbacks:
            callback()

    def members(self) -> Sequence[Identity]:
        return self._members

    def routers(self) -> Sequence[Identity]:
        return self._members

    def controls(self) -> Sequence[Identity]:
        return ()

    def is_member(self, incarnation: Incarnation) -> bool:
        return True

    def session_proven_at(self) -> Instant | None:
        return RealClock().monotonic()

    def on_change(self, callback: Callable[[], None]) -> None:
        self._callbacks.append(callback)


class DiscardingMessenger:
    """Takes posts and forgets them; for probes of one daemon's own work."""

    def __init__(self, identity: Identity) -> None:
        self.identity = identity
        self.posts = 0

    def on_call(self, message_type: type, handler: Any) -> None: ...

    def on_post(self, message_type: type, handler: Any) -> None: ...

    async def call(self, *arguments: Any) -> Any:
        raise AssertionError("the probe asks nobody")

    def post(self, address: Address, message: Any) -> None:
        self.posts += 1


class Child:
    """``python -m MODULE ARGUMENTS``; answers each empty line with one JSON line; ended by its id."""

    def __init__(self, module: str, *arguments: str) -> None:
        command = [sys.executable, "-m", module, *arguments]
        self._process = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)

    def report(self) -> Row:
        assert self._process.stdin is not None and self._process.stdout is not None
        self._process.stdin.write("\n")
        self._process.stdin.flush()
        found: Row = json.loads(self._process.stdout.readline())
        return found

    def end(self) -> None:
        self._process.terminate()
        self._process.wait(10)


def processor_seconds() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def resident_bytes(process: int | str = "self") -> int:
    return int(Path(f"/proc/{process}/statm").read_text().split()[1]) * resource.getpagesize()


def processor_seconds_of(process: int) -> float:
    fields = Path(f"/proc/{process}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def per_second(before: Row, after: Row, field: str) -> float:
    return float((after[field] - before[field]) / (after["at"] - before["at"]))


def cpu_seconds(work: Callable[[], object]) -> float:
    """Processor seconds of one call."""
    started = time.process_time()
    work()
    return time.process_time() - started


def rounded_row(row: Row) -> Row:
    return {name: float(f"{value:.6g}") if isinstance(value, float) else value for name, value in row.items()}


def rounded_rows(rows: Iterable[Row]) -> list[Row]:
    return [rounded_row(row) for row in rows]
