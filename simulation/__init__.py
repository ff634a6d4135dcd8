"""The simulator: whole fleets in one process on virtual time (docs/DESIGN.md section 16). Not shipped.

Usage::

    async def main(context: Context) -> None: ...      # runs as a process; may return while its tasks go on

    with World(seed=1) as world:
        first = world.start("c1", main, zone="a")      # process "c1" on a machine "c1" of its own
        world.start("r1", other_main, zone="b", machine="m4")
        address = address_of(first.machine, 7000)      # machines have IP numbers, listen on these only
        world.run(seconds=5)                           # virtual; returns at once when little happens
        world.freeze("c1"); world.run(2); world.wake("c1")
        cut = world.cut("c1", "m4", both_ways=False); world.run(1); world.heal(cut)
        world.kill("c1"); world.restart("c1")          # SIGKILL; the disk keeps what was written
        world.power_off("c1"); world.power_on("c1")    # silence, unsynced bytes lost; starts its processes again
        world.machine("c1").disk.set_mode("stalled")   # well, slow, stalled, full, failing
        world.wipe("c1")
        value = world.complete(coroutine())            # a test's own coroutine, outside all processes
        assert world.wait_for(lambda: condition, within=2.0)
        assert not world.broken_invariants             # exceptions that escaped in simulated processes
        world.digest(); world.timeline()

``Context`` is the daemons' own (wingwood/context/protocols.py). asyncio.sleep, asyncio.timeout, tasks,
queues and tornado (HTTPServer.handle_stream, IOLoop.current(), tornado.queues) work as usual.
Only code inside a process may listen; each process has its own clock offset, so instants of
different processes can't be compared by mistake. Do not iterate over sets of futures or of
strings in code whose order matters: the same seed must give the same run.
"""

from .disk import MachineDisk, SimulatedDisk
from .http_client import PlainHttpClient
from .network import Cut, NetworkShape, SimulatedNetwork, SimulatedStream
from .virtual_time import VirtualTimeLoop
from .world import Machine, Process, World, address_of, seeded

__all__ = [
    "Cut",
    "Machine",
    "MachineDisk",
    "NetworkShape",
    "PlainHttpClient",
    "Process",
    "SimulatedDisk",
    "SimulatedNetwork",
    "SimulatedStream",
    "VirtualTimeLoop",
    "World",
    "address_of",
    "seeded",
]
