"""The simulator runs whole fleets in one operating-system process on virtual time (docs/DESIGN.md section 16).

It serves tests and is not shipped.

Usage::

    async def main(context: Context) -> None: ...      # a simulated process; its tasks may outlive it

    with World(seed=1) as world:
        first = world.start("c1", main, zone="a")      # process "c1" on its own machine "c1"
        world.start("r1", other_main, zone="b", machine="m4")
        address = address_of(first.machine, 7000)      # a machine listens on its own IP address only
        world.run(seconds=5)                           # virtual seconds, usually much less real time
        world.freeze("c1"); world.run(2); world.wake("c1")
        cut = world.cut("c1", "m4", both_ways=False); world.run(1); world.heal(cut)
        world.kill("c1"); world.restart("c1")          # SIGKILL; written data stays on the disk
        world.power_off("c1"); world.power_on("c1")    # unsynced bytes are lost; power_on restarts processes
        world.machine("c1").disk.set_mode("stalled")   # or well, slow, full, failing
        world.wipe("c1")
        value = world.complete(coroutine())            # a coroutine of the test, outside all processes
        assert world.wait_for(lambda: condition, within=2.0)
        assert not world.broken_invariants             # exceptions that no simulated process handled
        world.digest(); world.timeline()

``Context`` is the class that the daemons use (wingwood/context/protocols.py). asyncio.sleep, asyncio.timeout,
tasks, queues and tornado (HTTPServer.handle_stream, IOLoop.current(), tornado.queues) work as usual.
Only code inside a process may listen. Each process has its own clock offset, so that a comparison of instants of
different processes fails visibly. Code whose order matters must not iterate over sets of futures or of strings,
because the same seed must give the same run.
"""

from .disk import MachineDisk, SimulatedDisk
from .endpoint import SimulatedStream
from .http_client import PlainHttpClient
from .network import Cut, NetworkShape, SimulatedNetwork
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
