"""Measures membership coordinators in a full mesh: the cost of their mutual requests against their number.

No daemon holds a session in this probe. Several coordinators run in one child process, so they share some wake-ups
that separate processes would each pay for.
"""

from __future__ import annotations

import asyncio
import random
import sys
import time
from itertools import pairwise

import msgspec
from returns.result import Success

from wingwood.identifiers import Address, DaemonName, Incarnation, Zone
from wingwood.membership.coordinator import MembershipCoordinator
from wingwood.transport.frames import Identity
from wingwood.transport.messenger import TcpMessenger

from ..hollow_daemons import answer_parent, own_report
from .common import KEY, Child, Row, per_second, real_quiet_context
from .planned import PLANNED

FIRST_PORT = 32700
COORDINATOR_COUNTS = ((3, 1), (10, 1), (20, 2), (30, 3), (PLANNED.control_machines, 4))
"""Pairs: the number of coordinators, and the number of processes that run them.

43 coordinators in a single process use its whole core and never settle.
"""
MEASURED_SECONDS = 8.0


async def serve(first: int, end: int) -> None:
    seeds = tuple(Address("127.0.0.1", FIRST_PORT + number) for number in range(3))
    messengers: list[TcpMessenger] = []
    coordinators: list[MembershipCoordinator] = []
    for number in range(first, end):
        own = Identity(
            DaemonName(f"c{number:02}"),
            Incarnation(f"{number:016x}"),
            "control",
            Zone(f"zone-{number % PLANNED.zones}"),
            Address("127.0.0.1", FIRST_PORT + number),
        )
        context = msgspec.structs.replace(real_quiet_context(), random=random.Random(number))
        messenger = TcpMessenger(context, own, KEY)
        coordinator = MembershipCoordinator(context, messenger, seeds)
        assert isinstance(messenger.start(), Success)
        coordinator.start()
        messengers.append(messenger)
        coordinators.append(coordinator)
    await answer_parent(
        lambda: (
            own_report(messengers) | {"fewest_members": min(len(coordinator.members()) for coordinator in coordinators)}
        )
    )


def _measure_count(count: int, processes: int) -> Row:
    boundaries = [count * number // processes for number in range(processes + 1)]
    children = [Child("bench.capacity.coordinators", str(first), str(end)) for first, end in pairwise(boundaries)]

    def reports() -> list[Row]:
        return [child.report() for child in children]

    try:
        started = time.monotonic()
        while (fewest := min(report["fewest_members"] for report in reports())) < count:
            if time.monotonic() - started > 40:
                raise TimeoutError(
                    f"membership not formed after 40 s: a coordinator knows only {fewest} of {count} members"
                )
            time.sleep(0.1)
        formed = time.monotonic() - started
        time.sleep(4.0)
        before = reports()
        time.sleep(MEASURED_SECONDS)
        after = reports()

        def mean_rate(field: str) -> float:
            return sum(per_second(earlier, later, field) for earlier, later in zip(before, after, strict=True)) / count

        return {
            "keepers": count,
            "processes": processes,
            "formed_s": formed,
            "members_after": min(report["fewest_members"] for report in after),
            "keeper_core": mean_rate("processor"),
            "keeper_bytes": mean_rate("messenger_bytes"),
            "keeper_wire_bytes": mean_rate("wire_bytes"),
        }
    finally:
        for child in children:
            child.end()


def measure() -> list[Row]:
    return [_measure_count(count, processes) for count, processes in COORDINATOR_COUNTS]


if __name__ == "__main__":
    asyncio.run(serve(int(sys.argv[1]), int(sys.argv[2])))
