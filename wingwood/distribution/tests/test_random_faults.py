"""Random faults, together and twice, under an observer who knows all acknowledgements (docs/DESIGN.md section 9.6)."""

from __future__ import annotations

import unittest
from collections.abc import Callable

from simulation import World, seeded

from ...identifiers import BundleVersion, Seconds
from .small_fleet import SmallFleet

RUN_EACH_ALONE = True
CALM = 4.0
"""Seconds after its last fault from which a router counts as connected."""


class FaultWalk:
    """Two minutes of faults on routers, and on one control daemon but the primary at a time."""

    fleet_class = SmallFleet

    def __init__(self, world: World, seed: int) -> None:
        self.world = world
        self.random = seeded(seed, "walk")
        self.fleet = self.fleet_class(world, bound=Seconds(5.0))
        self.broken: dict[str, Callable[[], object]] = {}
        """How each daemon that has a fault now is mended."""
        self.well_since = dict.fromkeys(sorted(world.processes), 0.0)
        self.highest: dict[tuple[str, int], int] = {}
        self.complaints: list[str] = []

    def run(self, seconds: float) -> None:
        self.fleet.settle()
        until = self.world.now + seconds
        while self.world.now < until:
            if self.random.random() < 0.08:
                self.fault()
            if self.random.random() < 0.08 and self.broken:
                self.mend(self.random.choice(sorted(self.broken)))
            if self.random.random() < 0.2 or self.world.now % 20 > 18:
                self.fleet.commit()
            self.world.run(0.05)
            self.observe()
        for name in sorted(self.broken):
            self.mend(name)
        done = self.world.wait_for(self.whole, 12.0)
        if not done:
            views = {name: self.fleet.view_of(name) for name in self.fleet.versions()}
            self.complain(f"not whole again: {self.fleet.versions()} serving {self.fleet.serving()} views {views}")

    def whole(self) -> bool:
        fleet = self.fleet
        return (
            len(fleet.serving()) == len(fleet.routers)
            and fleet.all_in_force(fleet.orders.version)
            and fleet.all_see(fleet.everybody())
        )

    def fault(self) -> None:
        world, random = self.world, self.random
        control_broken = any(name.startswith("c") for name in self.broken)
        names = [name for name in sorted(world.processes) if name not in self.broken and name != "c1"]
        name = random.choice([name for name in names if not (control_broken and name.startswith("c"))])
        if sum(name.startswith("r") for name in self.broken) >= 5:
            return
        kind = random.choice(["kill", "freeze", "blink", "deaf", "mute", "cut", "pair"])
        if kind == "pair":
            other = random.choice([entry for entry in sorted(world.processes) if entry != name])
            if name.startswith("c") and other.startswith("c"):
                return
            cut = world.cut(name, other, both_ways=random.random() < 0.5)
            self.well_since[other] = float("inf")

            def heal() -> None:
                world.heal(cut)
                self.well_since[other] = world.now

            self.broken[name] = heal
        elif kind == "kill":
            world.kill(name)
            self.broken[name] = lambda: world.restart(name)
        elif kind in ("freeze", "blink"):
            world.freeze(name)
            self.broken[name] = lambda: world.wake(name)
        else:
            cut = world.cut_off(name, inward=kind != "mute", outward=kind != "deaf")
            self.broken[name] = lambda: world.heal(cut)
        self.well_since[name] = float("inf")
        if kind == "blink":
            world.run(random.uniform(0.05, 1.0))
            self.mend(name)

    def mend(self, name: str) -> None:
        self.broken.pop(name)()
        self.well_since[name] = self.world.now

    def complain(self, text: str) -> None:
        self.complaints.append(f"{self.world.now:.2f} {text}")

    def observe(self) -> None:
        fleet, now = self.fleet, self.world.now
        due = max((version for version, at in fleet.committed_at.items() if now - at > 2.0), default=BundleVersion(0))
        serving = fleet.serving()
        calm = [name for name in fleet.versions() if now - self.well_since[name] > CALM]
        well = [name for name in calm if name not in self.broken]
        for name, version in fleet.versions().items():
            life = name, self.world.processes[name].lives
            if version < self.highest.get(life, 0):
                self.complain(f"{name} went back to {version}")
            self.highest[life] = version
            missed = fleet.committed_at.get(BundleVersion(version + 1))
            if name in serving and missed is not None and now - missed > 5.0:
                self.complain(f"{name} serves on {version}, {now - missed:.2f} s too old")
        for name in well:
            if fleet.versions()[name] < due:
                self.complain(f"{name} is connected and has {fleet.versions()[name]}, not {due}")
            if name not in serving:
                self.complain(f"{name} is connected and does not serve")
            if missing := set(well) - set(fleet.view_of(name)):
                self.complain(f"{name} misses {sorted(missing)}")


class RandomFaultsTest(unittest.TestCase):
    def walk(self, seed: int) -> None:
        with World(seed) as world:
            walk = FaultWalk(world, seed)
            walk.run(60.0)
            self.assertEqual(walk.complaints[:5], [], f"seed {seed}\n{world.timeline(5)}")
            self.assertEqual(world.broken_invariants, [])

    def test_seeds_one_to_three(self) -> None:
        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                self.walk(seed)

    def test_seeds_four_to_six(self) -> None:
        for seed in (4, 5, 6):
            with self.subTest(seed=seed):
                self.walk(seed)
