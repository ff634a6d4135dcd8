"""Measures processor time and memory of the fleet's processes during a run, from ``/proc``."""

from __future__ import annotations

import os
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import msgspec

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


class Usage(msgspec.Struct, frozen=True):
    processor_seconds: float
    resident_bytes: int


def usage_of(process_id: int, proc: Path = Path("/proc")) -> Usage | None:
    """Returns the usage of a process so far, or None when there is no such process."""
    try:
        fields = (proc / str(process_id) / "stat").read_text().rpartition(")")[2].split()
        status = (proc / str(process_id) / "status").read_text()
    except OSError:
        return None
    resident = next((line.split()[1] for line in status.splitlines() if line.startswith("VmRSS:")), "0")
    return Usage((int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND, int(resident) * 1024)


class ProcessMonitor:
    """Measures the usage of ``processes`` (process ids by names such as ``router-1``) since its creation."""

    def __init__(self, processes: Mapping[str, int]) -> None:
        self._processes = dict(processes)
        self._before = {name: usage_of(process_id) for name, process_id in self._processes.items()}

    def report(self, elapsed: float) -> dict[str, Any]:
        """Returns by process name the share of one processor in percent, and the resident memory in MB.

        Processes that have ended or did not exist at the start are omitted.
        """
        usage: dict[str, Any] = {}
        for name, process_id in self._processes.items():
            before, after = self._before[name], usage_of(process_id)
            if before is not None and after is not None:
                processor_seconds = after.processor_seconds - before.processor_seconds
                usage[name] = {
                    "processor_percent": round(100 * processor_seconds / elapsed, 2),
                    "processor_seconds": round(processor_seconds, 2),
                    "resident_megabytes": round(after.resident_bytes / 1e6, 1),
                }
        return usage


def usage_by_kind(processes: Mapping[str, Any]) -> dict[str, Any]:
    """Summarises usage by kind of process, which is the process name without its number."""
    kinds: dict[str, list[Any]] = {}
    for name, usage in processes.items():
        kinds.setdefault(name.rpartition("-")[0], []).append(usage)
    return {
        kind: {
            "processes": len(each),
            "processor_percent_mean": round(sum(one["processor_percent"] for one in each) / len(each), 2),
            "processor_percent_most": max(one["processor_percent"] for one in each),
            "processor_seconds": round(sum(one["processor_seconds"] for one in each), 2),
            "resident_megabytes_mean": round(sum(one["resident_megabytes"] for one in each) / len(each), 1),
            "resident_megabytes_most": max(one["resident_megabytes"] for one in each),
        }
        for kind, each in sorted(kinds.items())
    }
