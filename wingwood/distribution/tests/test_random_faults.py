"""Tests bundle distribution under random faults that overlap and repeat (docs/DESIGN.md section 9.6).

An observer that knows all acknowledgements checks that no router serves on a version that is too old or goes back to
an earlier one, and that connected routers get each version and serve.
"""

from __future__ import annotations

import unittest
from collections.abc import Callable

from simulation import World, seeded

from ...identifiers import BundleVersion, Seconds
from .small_fleet import SmallFleet

RUN_EACH_ALONE = True
RECOVERY_TIME_S = 4.0
"""The time after its last fault from which a router counts as connected."""


class FaultWalk:
    """A random walk of faults on routers and on at most one control daemon at a time, never the primary."""

    fleet_class = SmallFleet

    def __init__(self, world: World, seed: int) -> None:
        self.world = world
        self.random = seeded(seed, "walk")
        self.fleet = self.fleet_class(world, bound=Seconds(5.0))
        self.repairs: dict[str, Callable[[], object]] = {}
        """The function that ends the fault, for each daemon that has one now."""
        self.connected_since = dict.fromkeys(sorted(world.processes), 0.0)
        self.highest: dict[tuple[str, int], int] = {}
        self.violations: list[str] = []

    def run(self, seconds: float) -> None:
        self.fleet.settle()
        until = self.world.now + seconds
        while self.world.now < until:
            if self.random.random() < 0.08:
                self.fault()
            if self.random.random() < 0.08 and self.repairs:
                self.repair(self.random.choice(sorted(self.repairs)))
            if self.random.random() < 0.2 or self.world.now % 20 > 18:
                self.fleet.commit()
            self.world.run(0.05)
            self.observe()
        for name in sorted(self.repairs):
            self.repair(name)
        done = self.world.wait_for(self.has_recovered, 12.0)
        if not done:
            views = {name: self.fleet.view_of(name) for name in self.fleet.versions()}
            self.report_violation(
                f"not recovered: {self.fleet.versions()} serving {self.fleet.serving()} views {views}"
            )

    def has_recovered(self) -> bool:
        fleet = self.fleet
        return (
            len(fleet.serving()) == len(fleet.routers)
            and fleet.all_in_force(fleet.orders.version)
            and fleet.all_see(fleet.everybody())
        )

    def fault(self) -> None:
        world, random = self.world, self.random
        control_faulty = any(name.startswith("c") for name in self.repairs)
        names = [name for name in sorted(world.processes) if name not in self.repairs and name != "c1"]
        name = random.choice([name for name in names if not (control_faulty and name.startswith("c"))])
        if sum(name.startswith("r") for name in self.repairs) >= 5:
            return
        kind = random.choice(["kill", "freeze", "blink", "deaf", "mute", "cut", "pair"])
        if kind == "pair":
            other = random.choice([entry for entry in sorted(world.processes) if entry != name])
            if name.startswith("c") and other.startswith("c"):
                return
            cut = world.cut(name, other, both_ways=random.random() < 0.5)
            self.connected_since[other] = float("inf")

            def remove_cut() -> None:
                world.heal(cut)
                self.connected_since[other] = world.now

            self.repairs[name] = remove_cut
        elif kind == "kill":
            world.kill(name)
            self.repairs[name] = lambda: world.restart(name)
        elif kind in ("freeze", "blink"):
            world.freeze(name)
            self.repairs[name] = lambda: world.wake(name)
        else:
            cut = world.cut_off(name, inward=kind != "mute", outward=kind != "deaf")
            self.repairs[name] = lambda: world.heal(cut)
        self.connected_since[name] = float("inf")
        if kind == "blink":
            world.run(random.uniform(0.05, 1.0))
            self.repair(name)

    def repair(self, name: str) -> None:
        self.repairs.pop(name)()
        self.connected_since[name] = self.world.now

    def report_violation(self, text: str) -> None:
        self.violations.append(f"{self.world.now:.2f} {text}")

    def observe(self) -> None:
        fleet, now = self.fleet, self.world.now
        due = max((version for version, at in fleet.committed_at.items() if now - at > 2.0), default=BundleVersion(0))
        serving = fleet.serving()
        undisturbed = [name for name in fleet.versions() if now - self.connected_since[name] > RECOVERY_TIME_S]
        connected = [name for name in undisturbed if name not in self.repairs]
        for name, version in fleet.versions().items():
            life = name, self.world.processes[name].incarnation_number
            if version < self.highest.get(life, 0):
                self.report_violation(f"{name} went back to {version}")
            self.highest[life] = version
            missed = fleet.committed_at.get(BundleVersion(version + 1))
            if name in serving and missed is not None and now - missed > 5.0:
                self.report_violation(f"{name} serves on {version}, {now - missed:.2f} s too old")
        for name in connected:
            if fleet.versions()[name] < due:
                self.report_violation(f"{name} is connected and has {fleet.versions()[name]}, not {due}")
            if name not in serving:
                self.report_violation(f"{name} is connected and does not serve")
            if missing := set(connected) - set(fleet.view_of(name)):
                self.report_violation(f"{name} misses {sorted(missing)}")


class RandomFaultsTest(unittest.TestCase):
    def walk(self, seed: int) -> None:
        with World(seed) as world:
            walk = FaultWalk(world, seed)
            walk.run(60.0)
            self.assertEqual(walk.violations[:5], [], f"seed {seed}\n{world.timeline(5)}")
            self.assertEqual(world.broken_invariants, [])

    def test_seeds_one_to_three(self) -> None:
        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                self.walk(seed)

    def test_seeds_four_to_six(self) -> None:
        for seed in (4, 5, 6):
            with self.subTest(seed=seed):
                self.walk(seed)
