"""One worker leaves in the moment of a fault: when that is acknowledged, and when the last router heeds it."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from simulation.world import World

from .control_fleet import AnnouncingWorker, ControlFleet

OBSERVATION_INTERVAL_S = 0.01
OBSERVATION_TIME_S = 12.0


class DrainTimes(msgspec.Struct, frozen=True):
    """Seconds from the worker's first word that it leaves."""

    acknowledged: float
    """Infinite: not within the time looked."""
    heeded: float
    """Until the last router that can reach the daemons holds it ready."""
    slowest_answer: float

    @property
    def late(self) -> float:
        """Routers' last use after the acknowledgement; this is what the bound is on."""
        return max(0.0, self.heeded - self.acknowledged)


def _owner(fleet: ControlFleet) -> str:
    return fleet.owner("b")


def _fault_owner_killed(fleet: ControlFleet) -> set[str]:
    fleet.world.kill(_owner(fleet))
    return set()


def _fault_owner_frozen(fleet: ControlFleet) -> set[str]:
    owner = _owner(fleet)
    fleet.world.freeze(owner)
    fleet.world.at(fleet.world.now + 5.0, lambda: fleet.world.wake(owner))
    return {owner}


def _fault_owner_without_power(fleet: ControlFleet) -> set[str]:
    fleet.world.power_off(fleet.machine_of(_owner(fleet)))
    return set()


def _fault_owner_cut_off(fleet: ControlFleet) -> set[str]:
    owner = _owner(fleet)
    fleet.cut([fleet.machine_of(owner)], fleet.fronts())
    return {owner}


def _fault_two_owners_killed(fleet: ControlFleet) -> set[str]:
    for zone in "bc":
        fleet.world.kill(fleet.owner(zone))
    return set()


def _fault_zone_without_power(fleet: ControlFleet) -> set[str]:
    for machine in fleet.fronts("b"):
        fleet.world.power_off(machine)
    return set()


def _fault_control_killed(fleet: ControlFleet) -> set[str]:
    for name in fleet.controls():
        fleet.world.kill(name)
        fleet.world.at(fleet.world.now + 1.0, lambda name=name: fleet.world.restart(name))  # type: ignore[misc]
    return set()


def _fault_contacted_control_restarted(fleet: ControlFleet) -> set[str]:
    fleet.world.restart("control-1")
    return set()


def _fault_control_cut_off(fleet: ControlFleet) -> set[str]:
    """From all machines of other zones; the worker tells it first, when it has been so for a while."""
    near = fleet.fronts("b")
    fleet.cut(["front-1"], [name for name in fleet.fronts() if name not in near])
    return {"router-1"}


def _fault_contacted_zone_cut_off(fleet: ControlFleet) -> set[str]:
    near = fleet.fronts("b")
    fleet.cut(near, [name for name in fleet.fronts() if name not in near])
    return {name for name in fleet.routers() if fleet.machine_of(name) in near}


def _fault_everything_killed(fleet: ControlFleet) -> set[str]:
    for name in [*fleet.controls(), *fleet.routers()]:
        fleet.world.restart(name)
    return set()


Fault = Callable[[ControlFleet], set[str]]
FAULTS: dict[str, tuple[Fault, float]] = {
    "none": (lambda fleet: set(), 0.0),
    "home killed": (_fault_owner_killed, 0.0),
    "home frozen for 5 s": (_fault_owner_frozen, 0.0),
    "home without power": (_fault_owner_without_power, 0.0),
    "home cut off": (_fault_owner_cut_off, 0.0),
    "home frozen 1 s before": (_fault_owner_frozen, 1.0),
    "homes of two zones killed": (_fault_two_owners_killed, 0.0),
    "a zone without power": (_fault_zone_without_power, 0.0),
    "all control killed, back in 1 s": (_fault_control_killed, 0.0),
    "all control killed 1.5 s before": (_fault_control_killed, 1.5),
    "told daemon restarted": (_fault_contacted_control_restarted, 0.05),
    "told daemon cut off 0.1 s before": (_fault_control_cut_off, 0.1),
    "told daemon cut off 6 s before": (_fault_control_cut_off, 6.0),
    "told daemon cut off 16 s before": (_fault_control_cut_off, 16.0),
    "told zone cut off 0.1 s before": (_fault_contacted_zone_cut_off, 0.1),
    "told zone cut off 16 s before": (_fault_contacted_zone_cut_off, 16.0),
    "everything killed 0.5 s before": (_fault_everything_killed, 0.5),
    "everything killed 2.5 s before": (_fault_everything_killed, 2.5),
}
"""What happens, and how long before the worker's word that it leaves."""


def drain_times(fault: str, seed: int, routers: int = 11) -> DrainTimes:
    """One worker leaves; it tells the first control daemon of zone b first."""
    inject, before = FAULTS[fault]
    with World(seed) as world:
        fleet = ControlFleet(world, routers)
        fleet.settle()
        world.run(world.random.random() * 1.2)
        isolated = inject(fleet)
        world.run(before)
        worker = fleet.workers["model-0"]
        worker._next = 1
        began = world.now
        worker.leave()
        return _observe(fleet, worker, began, isolated)


def _observe(fleet: ControlFleet, worker: AnnouncingWorker, began: float, isolated: set[str]) -> DrainTimes:
    """Once acknowledged the worker says nothing more, so that no later word of its mends a wrong acknowledgement."""
    heeded = began
    world = fleet.world
    while world.now - began < OBSERVATION_TIME_S:
        world.run(OBSERVATION_INTERVAL_S)
        worker.silent = "draining" in worker.acknowledged_at
        routers = [name for name in fleet.routers() if name not in isolated]
        if any(worker.instance in fleet.ready_at(name) for name in routers):
            heeded = world.now
    acknowledged = worker.acknowledged_at.get("draining", float("inf"))
    return DrainTimes(acknowledged - began, heeded - began, worker.slowest)
