"""Times a worker's drain at the moment of a fault: until its acknowledgement and until its last use by a router."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from simulation.world import World

from .control_fleet import AnnouncingWorker, ControlFleet

OBSERVATION_INTERVAL_S = 0.01
OBSERVATION_TIME_S = 12.0


class DrainTimes(msgspec.Struct, frozen=True):
    """Times in seconds since the worker first announced that it leaves."""

    acknowledged: float
    """Until the acknowledgement; infinite if there was none within the observation time."""
    heeded: float
    """Until the last moment when a router that can reach the daemons listed the worker as ready."""
    slowest_answer: float
    """The longest that a daemon took to answer the worker at all."""

    @property
    def late(self) -> float:
        """Time from the acknowledgement to the last use; the limit applies to this."""
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
    """Cuts a control daemon off from all machines of other zones; the worker announces its leaving to it first."""
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
"""Causes a fault and returns the names of the routers that can no longer reach the other daemons."""
FAULTS: dict[str, tuple[Fault, float]] = {
    "none": (lambda fleet: set(), 0.0),
    "owner killed": (_fault_owner_killed, 0.0),
    "owner frozen for 5 s": (_fault_owner_frozen, 0.0),
    "owner without power": (_fault_owner_without_power, 0.0),
    "owner cut off": (_fault_owner_cut_off, 0.0),
    "owner frozen 1 s before": (_fault_owner_frozen, 1.0),
    "owners of two zones killed": (_fault_two_owners_killed, 0.0),
    "a zone without power": (_fault_zone_without_power, 0.0),
    "all control killed, back in 1 s": (_fault_control_killed, 0.0),
    "all control killed 1.5 s before": (_fault_control_killed, 1.5),
    "contacted daemon restarted": (_fault_contacted_control_restarted, 0.05),
    "contacted daemon cut off 0.1 s before": (_fault_control_cut_off, 0.1),
    "contacted daemon cut off 6 s before": (_fault_control_cut_off, 6.0),
    "contacted daemon cut off 16 s before": (_fault_control_cut_off, 16.0),
    "contacted zone cut off 0.1 s before": (_fault_contacted_zone_cut_off, 0.1),
    "contacted zone cut off 16 s before": (_fault_contacted_zone_cut_off, 16.0),
    "everything killed 0.5 s before": (_fault_everything_killed, 0.5),
    "everything killed 2.5 s before": (_fault_everything_killed, 2.5),
}
"""Each fault, and how many seconds before the worker's announcement it occurs."""


def drain_times(fault: str, seed: int, routers: int = 11) -> DrainTimes:
    """Returns the times of one drain; the worker announces it first to the first control daemon of zone b."""
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
    """Observes the routers until the observation time ends.

    Once acknowledged, the worker is silent, so that no later announcement corrects a wrong acknowledgement.
    """
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
