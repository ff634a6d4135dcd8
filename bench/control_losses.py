"""Measures gaps between acknowledgements of the control core when members are lost, in virtual time.

``python -m bench.control_losses [SEEDS [LOSSES_BORNE]]`` prints for each fault the median and the longest time from
the fault to the next acknowledged order as its sender saw it, and to the health report that calls the view complete
again (section 7.4).
"""

from __future__ import annotations

import statistics
import sys
from collections.abc import Callable

from wingwood.control.tests.control_world import SIX, ControlWorld, core_maker

THREE = SIX[:3]
FILLER = b"x" * 65_536
"""Filler of one order; sixteen orders make a state of 1 MB."""
RECOVERY_TIMEOUT_SECONDS = 30.0

Fault = Callable[[ControlWorld, str], None]


def _power_off_and_wipe(control: ControlWorld, name: str) -> None:
    control.world.power_off(name)
    control.world.wipe(name)


def _wipe_and_restart(control: ControlWorld, name: str) -> None:
    _power_off_and_wipe(control, name)
    control.world.at(control.world.now + 0.2, lambda: control.world.power_on(name))


def _disk(mode: str, seconds: float) -> Fault:
    def fault(control: ControlWorld, name: str) -> None:
        disk = control.world.machines[name].disk
        disk.slow_factor = 30.0
        disk.set_mode(mode)  # type: ignore[arg-type]
        control.world.at(control.world.now + seconds, lambda: disk.set_mode("well"))

    return fault


def _freeze(control: ControlWorld, name: str) -> None:
    control.world.freeze(name)
    control.world.at(control.world.now + 5.0, lambda: control.world.wake(name))


def _kill_and_restart(control: ControlWorld, name: str) -> None:
    control.world.kill(name)
    control.world.at(control.world.now + 0.2, lambda: control.world.restart(name))


def _cut_off(control: ControlWorld, name: str) -> None:
    partition = control.world.cut_off(name)
    control.world.at(control.world.now + 5.0, lambda: control.world.heal(partition))


def _wipe_running(control: ControlWorld, name: str) -> None:
    """Wipes the disk of a running process; the supervisor restarts the process 0.2 s after it has stopped."""
    control.world.wipe(name)

    def restart_when_stopped() -> None:
        if control.world.processes[name].alive:
            control.world.at(control.world.now + 0.1, restart_when_stopped)
        else:
            control.world.at(control.world.now + 0.2, lambda: control.world.restart(name))

    restart_when_stopped()


FAULTS: dict[str, Fault] = {
    "killed, back after 0.2 s": _kill_and_restart,
    "frozen 5 s": _freeze,
    "cut off 5 s": _cut_off,
    "wiped, back after 0.2 s": _wipe_and_restart,
    "wiped while running": _wipe_running,
    "disk 30 times slower for 5 s": _disk("slow", 5.0),
    "disk full for 5 s": _disk("full", 5.0),
    "disk stalled for 5 s": _disk("stalled", 5.0),
}


def measure(seed: int, losses: int, roles: tuple[str, ...], fault: Fault) -> tuple[float, float]:
    """Returns the seconds from the fault to the next acknowledgement and to a complete view.

    Raises TimeoutError when the view does not form, and AssertionError when an invariant was broken.
    """
    control = ControlWorld(seed, core_maker(failures_tolerated=losses), SIX if losses == 2 else THREE)
    world = control.world
    try:
        control.operator()
        if not world.wait_for(control.complete, 10.0):
            raise TimeoutError("the control view was not complete within 10 s")
        for _ in range(16):
            control.send(filler=FILLER)
        world.run(0.3 + 0.25 * world.random.random())
        leader = control.leader()
        assert leader is not None
        view = control.stores[leader].view
        assert view is not None
        rank = {view.primary: 0} | dict.fromkeys(view.backups, 1)
        members = [
            str(member.name) for member in sorted(view.members, key=lambda member: rank.get(member.incarnation, 2))
        ]
        positions = {"primary": 0, "backup": 1, "second backup": 2, "witness": len(members) - 1}
        started_at = world.now
        for role in roles:
            fault(control, members[positions[role]])
        while control.send(timeout=10.0) is None and world.now - started_at < RECOVERY_TIMEOUT_SECONDS:
            pass
        gap = world.now - started_at
        world.run(max(0.0, started_at + 0.3 - world.now))
        world.wait_for(control.complete, RECOVERY_TIMEOUT_SECONDS, every=0.02)
        if control.observer.faults or world.broken_invariants:
            raise AssertionError([*control.observer.faults, *world.broken_invariants])
        return gap, world.now - started_at
    finally:
        control.close()


def main(seeds: int, only_losses: int | None) -> None:
    print(f"{seeds} seeds, state 1 MB; seconds: median and longest gap, median and longest until complete")
    cases: list[tuple[int, tuple[str, ...]]] = [
        (1, ("primary",)),
        (1, ("backup",)),
        (1, ("witness",)),
        (2, ("primary", "backup")),
        (2, ("backup", "second backup")),
        (2, ("primary", "witness")),
    ]
    for losses, roles in [case for case in cases if only_losses in (None, case[0])]:
        for name, fault in FAULTS.items():
            found = [measure(seed, losses, roles, fault) for seed in range(seeds)]
            gaps, completion_times = [gap for gap, _ in found], [completed_after for _, completed_after in found]
            print(
                f"f={losses} {' and '.join(roles):26} {name:30} gap {statistics.median(gaps):5.2f} {max(gaps):5.2f}"
                f"  complete {statistics.median(completion_times):5.2f} {max(completion_times):5.2f}",
                flush=True,
            )


if __name__ == "__main__":
    arguments = [int(argument) for argument in sys.argv[1:]]
    main(arguments[0] if arguments else 10, arguments[1] if len(arguments) > 1 else None)
