"""Sample changes, steps and observations of a fleet for the tests of roll-outs."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec
from returns.result import Result, Success

from ...bundle.canonical import canonical_json
from ...bundle.parse import parse_bundle
from ...bundle.tests.samples import order_between
from ...identifiers import Address, BundleVersion, DaemonName, Incarnation, Seconds, SliceName, Zone
from ...transport.frames import Identity
from ..errors import StepRejectedError
from ..fleet_status import FleetStatus, RouterStatus
from ..plan import Slices, Step
from ..start import start_rollout

CHAT = SliceName("service/chat")
STAGES = ("zone=a", "share=50", "all")


def with_pool(pool: str, name: SliceName = CHAT) -> Step:
    def change(slices: Slices) -> Result[Slices, StepRejectedError]:
        return Success({**slices, name: canonical_json({**msgspec.json.decode(slices[name]), "pool": pool})})

    return change


def started(name: str = "bigger", change: Step | None = None, stages: Sequence[str] = STAGES) -> Step:
    return start_rollout(name, change or with_pool("large"), stages, Seconds(10.0), 0.02, 0.05, 3)


def after(slices: Slices, *steps: Step) -> Slices:
    for step in steps:
        slices = step(slices).unwrap()
        checked = parse_bundle(order_between(0, {}, slices).manifest, slices)
        assert isinstance(checked, Success), checked
    return slices


def without_record(slices: Slices) -> Slices:
    return {name: data for name, data in slices.items() if not name.startswith("rollout/")}


def router(name: str, zone: str) -> Identity:
    address = Address("127.0.0.1", 1)
    return Identity(DaemonName(name), Incarnation("1"), "router", Zone(zone), address, address)


ROUTERS = tuple(router(f"{zone}-{number}", zone) for zone in "abc" for number in range(3))
A, B, C = (tuple(each.name for each in ROUTERS if each.zone == zone) for zone in "abc")


def fleet_status(
    counts: dict[str, dict[str, float]] | None = None,
    unavailable: Sequence[str] = (),
    versions: dict[str, int] | None = None,
    incarnations: dict[str, str] | None = None,
) -> FleetStatus:
    """Builds an observation of all routers; ``counts`` has the outcomes of chat for each router of a zone.

    ``unavailable`` names routers without an answer, ``versions`` routers with another bundle version than 7, and
    ``incarnations`` routers with another incarnation than 1.
    """
    router_statuses: dict[DaemonName, RouterStatus | None] = {}
    for each in ROUTERS:
        found = {("chat", outcome): count for outcome, count in (counts or {}).get(each.zone, {}).items()}
        router_status = RouterStatus(
            incarnation=Incarnation((incarnations or {}).get(each.name, "1")),
            ready=True,
            version=BundleVersion((versions or {}).get(each.name, 7)),
            counts={**found, ("cards", "worker-broke"): 1000.0 if counts else 0.0},
        )
        router_statuses[each.name] = None if each.name in unavailable else router_status
    return FleetStatus(
        members=tuple(each for each in ROUTERS if each.name not in unavailable), router_statuses=router_statuses
    )
