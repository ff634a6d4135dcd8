"""Shared parts of the probes: a real context that logs only errors, a fixed membership, and child processes."""

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
    """A log that prints broken invariants and refused peers to stderr and drops every other event."""

    def event(self, name: str, **fields: object) -> None:
        if name in ("invariant-broken", "peer-rejected"):
            print(name, fields, file=sys.stderr, flush=True)


def real_quiet_context(folder: Path | None = None) -> Context:
    """Returns a context with the real clock, network and disk; a failed task ends the process with exit code 3."""
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
    """Returns identities of routers on consecutive ports, spread over the zones in turn."""
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
    """A membership whose members the probe sets; its session always counts as proven at the present moment."""

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

    def session_confirmed_at(self) -> Instant | None:
        return RealClock().monotonic()

    def on_change(self, callback: Callable[[], None]) -> None:
        self._callbacks.append(callback)


class DiscardingMessenger:
    """A messenger that counts posts and discards them, for probes that measure the work of one daemon alone."""

    def __init__(self, identity: Identity) -> None:
        self.identity = identity
        self.posts = 0

    def on_call(self, message_type: type, handler: Any) -> None: ...

    def on_post(self, message_type: type, handler: Any) -> None: ...

    async def call(self, *arguments: Any) -> Any:
        raise AssertionError("a probe with a discarding messenger sent a call; only posts are supported")

    def post(self, address: Address, message: Any) -> None:
        self.posts += 1


class Child:
    """A child process ``python -m MODULE ARGUMENTS`` that answers each empty line on stdin with one JSON line.

    The child is terminated by its own process id.
    """

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
    """Returns the processor seconds (user and system) that this process has used since its start."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def resident_bytes(process: int | str = "self") -> int:
    """Returns the resident memory of a process in bytes, read from /proc."""
    return int(Path(f"/proc/{process}/statm").read_text().split()[1]) * resource.getpagesize()


def processor_seconds_of(process: int) -> float:
    """Returns the processor seconds (user and system) of another process, read from /proc."""
    fields = Path(f"/proc/{process}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def per_second(before: Row, after: Row, field: str) -> float:
    """Returns the mean increase of ``field`` per second between two reports of a child."""
    return float((after[field] - before[field]) / (after["at"] - before["at"]))


def cpu_seconds(work: Callable[[], object]) -> float:
    """Returns the processor seconds that one call of ``work`` uses."""
    started = time.process_time()
    work()
    return time.process_time() - started


def rounded_row(row: Row) -> Row:
    """Returns the row with its floating-point numbers rounded to six significant figures."""
    return {name: float(f"{value:.6g}") if isinstance(value, float) else value for name, value in row.items()}


def rounded_rows(rows: Iterable[Row]) -> list[Row]:
    return [rounded_row(row) for row in rows]
