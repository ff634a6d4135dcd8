"""The journal under lost power, partial writes, stalls and damage (docs/DESIGN.md section 7.5)."""

from __future__ import annotations

import asyncio
import functools
import random
import unittest
from collections.abc import Awaitable, Callable, Sequence

from returns.result import Failure, Success

from simulation import World
from simulation.world import SimulatedClock

from ...context.protocols import Context, DiskFault
from ...identifiers import Seconds
from .. import Journal, scan
from ..journal import COMPACTION_CHUNK_BYTES
from .memory_disk import MemoryDisk, PowerLost


class SilentLog:
    def __init__(self) -> None:
        self.events: list[str] = []

    def event(self, name: str, **fields: object) -> None:
        self.events.append(name)


def make_context(world: World, disk: MemoryDisk, seed: int = 0) -> Context:
    return Context(SimulatedClock(world), None, disk, None, random.Random(seed), SilentLog(), None)  # type: ignore[arg-type]


def on_simulated_time(test: Callable[[JournalTests], Awaitable[None]]) -> Callable[[JournalTests], None]:
    @functools.wraps(test)
    def run(self: JournalTests) -> None:
        async def complete_file() -> None:
            await test(self)

        self.world.complete(complete_file(), within=600.0)

    return run


class JournalTests(unittest.TestCase):
    def setUp(self) -> None:
        self.world = World(1)
        self.world.__enter__()
        self.addCleanup(self.world.close)
        self.disk = MemoryDisk()
        self.context = make_context(self.world, self.disk)

    def journal(self) -> Journal:
        return Journal(self.context, "control.journal", Seconds(0.01))

    async def created(self, *payloads: bytes) -> Journal:
        journal = self.journal()
        self.assertEqual(await journal.create([b"first"]), Success(None))
        for payload in payloads:
            self.assertEqual(await journal.append(payload), Success(None))
        return journal

    async def read_back(self) -> Sequence[bytes]:
        return (await self.journal().open()).unwrap()

    @on_simulated_time
    async def test_reads_back_what_was_appended(self) -> None:
        await self.created(b"one", b"", b"three" * 1000)
        self.assertEqual(await self.read_back(), [b"first", b"one", b"", b"three" * 1000])

    @on_simulated_time
    async def test_missing_journal_is_said(self) -> None:
        self.assertEqual((await self.journal().open()).failure().kind, "missing")

    @on_simulated_time
    async def test_every_cut_of_the_tail_loses_only_the_last_record(self) -> None:
        await self.created(b"one", b"two" * 5)
        complete_file = self.disk.files["control.journal"]
        start = scan(complete_file).unwrap().valid_bytes - len(b"two" * 5) - 16
        for length in range(start, len(complete_file)):
            self.disk.files["control.journal"] = complete_file[:length]
            self.assertEqual(await self.read_back(), [b"first", b"one"])
            self.assertEqual(len(self.disk.files["control.journal"]), start)

    @on_simulated_time
    async def test_every_flipped_byte_before_the_last_record_is_damage_at_its_frame(self) -> None:
        await self.created(b"one" * 3, b"two")
        complete_file = self.disk.files["control.journal"]
        last = len(complete_file) - 16 - 3
        for position in range(last):
            damaged = bytearray(complete_file)
            damaged[position] ^= 0x40
            self.disk.files["control.journal"] = bytes(damaged)
            fault = (await self.journal().open()).failure()
            self.assertEqual(fault.kind, "damaged")
            self.assertIn(fault.offset, (0, 40, 40 + 16 + 5))
            self.assertLessEqual(fault.offset, position)
        self.disk.files["control.journal"] = b"X" + complete_file[1:]
        self.assertEqual((await self.journal().open()).failure().kind, "damaged")

    @on_simulated_time
    async def test_a_rewritten_file_is_never_taken_for_torn(self) -> None:
        journal = await self.created(b"one")
        await journal.rewrite(lambda: [b"first", b"the whole state"])
        complete_file = self.disk.files["control.journal"]
        for position in range(len(complete_file)):
            damaged = bytearray(complete_file)
            damaged[position] ^= 0x40
            for data in (bytes(damaged), complete_file[:position]):
                self.disk.files["control.journal"] = data
                self.assertEqual((await self.journal().open()).failure().kind, "damaged")

    @on_simulated_time
    async def test_a_payload_that_holds_a_journal_is_no_damage_when_torn(self) -> None:
        await self.created(b"one")
        inner = self.disk.files["control.journal"]
        journal = self.journal()
        await journal.open()
        await journal.append(inner * 2)
        self.disk.files["control.journal"] = self.disk.files["control.journal"][:-3]
        self.assertEqual(await self.read_back(), [b"first", b"one"])

    @on_simulated_time
    async def test_a_failed_append_leaves_nothing_and_the_next_one_holds(self) -> None:
        journal = await self.created(b"one")
        for _ in range(20):
            self.disk.fault, self.disk.failing_operations = DiskFault("full"), ("append",)
            self.assertEqual((await journal.append(b"lost" * 9)).failure().kind, "full")
            self.disk.fault = None
        self.assertEqual(await journal.append(b"two"), Success(None))
        self.assertEqual(await self.read_back(), [b"first", b"one", b"two"])

    @on_simulated_time
    async def test_when_the_tail_cannot_be_cut_off_it_is_sick_until_opened(self) -> None:
        journal = await self.created(b"one")
        self.disk.fault, self.disk.failing_operations = DiskFault("failed"), ("append", "truncate")
        self.assertEqual((await journal.append(b"lost" * 9)).failure().kind, "failed")
        self.disk.fault = None
        self.assertEqual((await journal.append(b"two")).failure().kind, "sick")
        self.assertIsInstance(await journal.open(), Success)
        self.assertEqual(await journal.append(b"two"), Success(None))
        self.assertEqual((await self.read_back())[-1], b"two")

    @on_simulated_time
    async def test_a_stalled_append_is_slow_then_sick_and_never_overlaps_another_call(self) -> None:
        journal = await self.created(b"one")
        self.disk.stall_event = asyncio.Event()
        self.assertEqual((await journal.append(b"late")).failure().kind, "slow")
        self.assertEqual((await journal.append(b"two")).failure().kind, "sick")
        self.assertEqual((await journal.open()).failure().kind, "slow")
        self.disk.stall_event.set()
        self.assertEqual((await journal.open()).unwrap(), [b"first", b"one", b"late"])
        self.assertEqual(await journal.append(b"two"), Success(None))
        self.assertEqual(self.disk.max_active_calls, 1)

    @on_simulated_time
    async def test_appends_go_on_during_a_compaction_and_wait_for_one_piece_at_most(self) -> None:
        journal = await self.created(b"one")
        complete_file = b"state" * (COMPACTION_CHUNK_BYTES // 5 * 3)
        compacting = asyncio.ensure_future(journal.compact([b"first", complete_file]))
        calls: list[int] = []
        while not compacting.done():
            before = self.disk.calls
            self.assertEqual(await journal.append(b"more"), Success(None))
            calls.append(self.disk.calls - before)
        self.assertEqual(compacting.result(), Success(None))
        self.assertEqual(max(calls[:-1]), 2, "its own call and one piece")
        self.assertEqual(await self.read_back(), [b"first", complete_file, *[b"more"] * len(calls)])

    @on_simulated_time
    async def test_a_compaction_is_given_up_when_the_file_is_replaced_meanwhile(self) -> None:
        for replace in (True, False):
            journal = await self.created(b"one")
            compacting = asyncio.ensure_future(journal.compact([b"x" * COMPACTION_CHUNK_BYTES * 2]))
            await asyncio.sleep(0)
            if replace:
                await journal.rewrite(lambda: [b"state of another"])
            else:
                await journal.open()
            self.assertEqual((await compacting).failure().kind, "sick")
            await journal.append(b"two")
            expected = [b"state of another", b"two"] if replace else [b"first", b"one", b"two"]
            self.assertEqual(await self.read_back(), expected)

    @on_simulated_time
    async def test_a_full_disk_during_a_compaction_leaves_the_old_file(self) -> None:
        journal = await self.created(b"one")
        self.disk.fault, self.disk.failing_operations = DiskFault("full"), ("write_new",)
        self.assertEqual((await journal.compact([b"x"])).failure().kind, "full")
        self.disk.fault = None
        compacting = asyncio.ensure_future(journal.compact([b"x" * COMPACTION_CHUNK_BYTES * 3]))
        await journal.append(b"two")
        self.disk.fault, self.disk.failing_operations = DiskFault("full"), ("append",)
        self.assertEqual((await compacting).failure().kind, "full")
        self.disk.fault = None
        self.assertEqual(await journal.append(b"three"), Success(None))
        self.assertEqual(await self.read_back(), [b"first", b"one", b"two", b"three"])

    @on_simulated_time
    async def test_a_folder_emptied_or_changed_under_it_takes_no_append(self) -> None:
        journal = await self.created(b"one")
        self.assertEqual(await journal.check(), Success(None))
        complete_file = self.disk.files.pop("control.journal")
        self.assertEqual((await journal.check()).failure().kind, "missing")
        for remaining_files in ({}, {"control.journal": complete_file[:-1]}):
            journal = await self.created(b"one")
            self.disk.files = dict(remaining_files)
            self.assertEqual((await journal.append(b"two")).failure().kind, "missing")
            self.assertEqual((await journal.append(b"two")).failure().kind, "sick")
            self.assertEqual(self.disk.files, remaining_files)

    @on_simulated_time
    async def test_a_rewrite_waits_for_appends_and_a_full_disk_leaves_the_old_file(self) -> None:
        journal = await self.created(b"one")
        waiting = [asyncio.create_task(journal.append(bytes([number]))) for number in range(5)]
        rewriting = asyncio.create_task(journal.rewrite(lambda: [b"snapshot"]))
        after = asyncio.create_task(journal.append(b"after"))
        await asyncio.gather(*waiting, rewriting, after)
        self.assertEqual(await self.read_back(), [b"snapshot", b"after"])
        self.disk.fault, self.disk.failing_operations = DiskFault("full"), ("write_new",)
        self.assertEqual((await journal.rewrite(lambda: [b"never"])).failure().kind, "full")
        self.assertEqual(await journal.append(b"two"), Success(None))
        self.assertEqual(await self.read_back(), [b"snapshot", b"after", b"two"])

    @on_simulated_time
    async def test_lost_power_at_any_call_keeps_all_that_was_said_to_be_synced(self) -> None:
        for seed in range(300):
            await self.lose_power(seed)

    async def lose_power(self, seed: int) -> None:
        randomness = random.Random(seed)
        disk = MemoryDisk(seed)
        context = make_context(self.world, disk, seed)
        acknowledged: list[bytes] = []
        possible: list[bytes] = []
        journal = Journal(context, "j", Seconds(1.0))
        await journal.create([])
        disk.power_loss_at_call = disk.calls + randomness.randrange(1, 25)
        try:
            for number in range(30):
                if randomness.random() < 0.2:
                    compacting = asyncio.ensure_future(journal.compact(list(acknowledged)))
                    for extra in range(randomness.randrange(3)):
                        payload = f"{number}/{extra}".encode() * randomness.randrange(60)
                        possible = [*acknowledged, payload]
                        (await journal.append(payload)).unwrap()
                        acknowledged = possible
                    (await compacting).unwrap()
                elif randomness.random() < 0.2:
                    compact = b"|".join(acknowledged)
                    possible = [compact]
                    (await journal.rewrite(lambda payload=compact: [payload])).unwrap()  # type: ignore[misc]
                    acknowledged = [compact]
                else:
                    payload = f"{number}".encode() * randomness.randrange(60)
                    possible = [*acknowledged, payload]
                    (await journal.append(payload)).unwrap()
                    acknowledged = possible
        except PowerLost:
            pass
        disk.power_loss_at_call = None
        match await Journal(context, "j", Seconds(1.0)).open():
            case Success(found):
                self.assertIn(list(found), (acknowledged, possible), f"seed {seed}")
            case Failure(fault):
                self.fail(f"seed {seed}: {fault}")


if __name__ == "__main__":
    unittest.main()
