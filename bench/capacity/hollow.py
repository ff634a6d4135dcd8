"""Runs the fleets of ``bench.hollow_daemons`` on ports that belong to the capacity bench.

A hollow daemon has the real membership client and bundle follower of a router, but no callers.
``python -m bench.capacity.hollow control|hollow ...`` runs one of the child processes.
"""

from __future__ import annotations

import subprocess
import sys
from typing import Any

import msgspec

from wingwood.identifiers import Address

from .. import hollow_daemons

CONTROL_PORT = 32000
HOLLOW_PORT = 32010


class CapacityChild(hollow_daemons.Child):
    def __init__(self, *arguments: str) -> None:
        self._process = subprocess.Popen(
            [sys.executable, "-m", "bench.capacity.hollow", *arguments],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )


def use_own_ports() -> None:
    """Replaces the ports and the child class of ``hollow_daemons`` with those of this module."""
    own: dict[str, Any] = {
        "CONTROL_PORT": CONTROL_PORT,
        "HOLLOW_PORT": HOLLOW_PORT,
        "SEEDS": tuple(Address("127.0.0.1", CONTROL_PORT + number) for number in range(3)),
        "Child": CapacityChild,
    }
    for name, value in own.items():
        setattr(hollow_daemons, name, value)


async def measure_fleet(daemons: int, processes: int, tenants: int, seconds: float) -> dict[str, Any]:
    """Measures a fleet of one size in three phases: idle, the planned rate of changes, and two changes per second."""
    use_own_ports()
    zones = 3 if daemons < 100 else 14
    size = await hollow_daemons.measure(daemons, zones, processes, tenants, seconds, 0.0)
    found: dict[str, Any] = msgspec.to_builtins(size)
    return found | {"processes": processes}


if __name__ == "__main__":
    use_own_ports()
    hollow_daemons.programs()
