"""The journal under power loss, partial writes, stalled calls and damaged files (docs/DESIGN.md section 7.5)."""

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
from .. import (
    DiskFailedError,
    DiskFullError,
    Journal,
    JournalDamagedError,
    JournalLockedError,
    JournalMissingError,
    JournalTimeoutError,
    JournalUnusableError,
    scan,
)
from ..errors import error_of
from ..journal import COMPACTION_CHUNK_BYTES
from .memory_disk import MemoryDisk, PowerLostError


class RecordingLog:
    def __init__(self) -> None:
        self.events: list[str] = []

    def event(self, name: str, **fields: object) -> None:
        self.events.append(name)


def make_context(world: World, disk: MemoryDisk, seed: int = 0) -> Context:
    return Context(SimulatedClock(world), None, disk, None, random.Random(seed), RecordingLog(), None)  # type: ignore[arg-type]


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

    async def create_journal(self, *payloads: bytes) -> Journal:
        """Creates a journal with the payload ``first`` and appends the payloads."""
        journal = self.journal()
        self.assertEqual(await journal.create([b"first"]), Success(None))
        for payload in payloads:
            self.assertEqual(await journal.append(payload), Success(None))
        return journal

    async def read_back(self) -> Sequence[bytes]:
        return (await self.journal().open()).unwrap()

    @on_simulated_time
    async def test_reads_back_appended_payloads(self) -> None:
        """All payloads must be read back in order, also empty and long ones."""
        await self.create_journal(b"one", b"", b"three" * 1000)
        self.assertEqual(await self.read_back(), [b"first", b"one", b"", b"three" * 1000])

    @on_simulated_time
    async def test_missing_journal_is_reported(self) -> None:
        """Opening a journal that does not exist must fail with ``JournalMissingError``."""
        self.assertIsInstance((await self.journal().open()).failure(), JournalMissingError)

    @on_simulated_time
    async def test_truncation_within_the_last_frame_loses_only_that_frame(self) -> None:
        """A file that ends anywhere within its last frame must lose that frame only, and be truncated."""
        await self.create_journal(b"one", b"two" * 5)
        complete_file = self.disk.files["control.journal"]
        start = scan(complete_file).unwrap().valid_bytes - len(b"two" * 5) - 16
        for length in range(start, len(complete_file)):
            self.disk.files["control.journal"] = complete_file[:length]
            self.assertEqual(await self.read_back(), [b"first", b"one"])
            self.assertEqual(len(self.disk.files["control.journal"]), start)

    @on_simulated_time
    async def test_flipped_byte_before_the_last_frame_is_reported_at_its_frame(self) -> None:
        """A flipped byte that a valid frame follows must be reported as damage, not truncated as a torn tail."""
        await self.create_journal(b"one" * 3, b"two")
        complete_file = self.disk.files["control.journal"]
        last = len(complete_file) - 16 - 3
        for position in range(last):
            damaged = bytearray(complete_file)
            damaged[position] ^= 0x40
            self.disk.files["control.journal"] = bytes(damaged)
            error = (await self.journal().open()).failure()
            assert isinstance(error, JournalDamagedError), error
            self.assertIn(error.offset, (0, 40, 40 + 16 + 5))
            self.assertLessEqual(error.offset, position)
        self.disk.files["control.journal"] = b"X" + complete_file[1:]
        self.assertIsInstance((await self.journal().open()).failure(), JournalDamagedError)

    @on_simulated_time
    async def test_rewritten_file_is_never_treated_as_torn(self) -> None:
        """A rewritten file was synced before its rename, so any damage to it must be reported as damage."""
        journal = await self.create_journal(b"one")
        await journal.rewrite(lambda: [b"first", b"the complete state"])
        complete_file = self.disk.files["control.journal"]
        for position in range(len(complete_file)):
            damaged = bytearray(complete_file)
            damaged[position] ^= 0x40
            for data in (bytes(damaged), complete_file[:position]):
                self.disk.files["control.journal"] = data
                self.assertIsInstance((await self.journal().open()).failure(), JournalDamagedError)

    @on_simulated_time
    async def test_torn_payload_that_contains_a_journal_is_no_damage(self) -> None:
        """Frames inside a torn payload must not be taken for valid frames of the file itself."""
        await self.create_journal(b"one")
        inner = self.disk.files["control.journal"]
        journal = self.journal()
        await journal.open()
        await journal.append(inner * 2)
        self.disk.files["control.journal"] = self.disk.files["control.journal"][:-3]
        self.assertEqual(await self.read_back(), [b"first", b"one"])

    @on_simulated_time
    async def test_failed_append_leaves_nothing_and_the_next_one_succeeds(self) -> None:
        """Appends that fail on a full disk must leave no bytes that damage later records."""
        journal = await self.create_journal(b"one")
        for _ in range(20):
            self.disk.fault, self.disk.failing_operations = DiskFault("full"), ("append",)
            self.assertIsInstance((await journal.append(b"lost" * 9)).failure(), DiskFullError)
            self.disk.fault = None
        self.assertEqual(await journal.append(b"two"), Success(None))
        self.assertEqual(await self.read_back(), [b"first", b"one", b"two"])

    @on_simulated_time
    async def test_journal_is_unusable_until_opened_if_truncation_fails(self) -> None:
        """If a partial append cannot be truncated, later appends must fail until the journal is opened again."""
        journal = await self.create_journal(b"one")
        self.disk.fault, self.disk.failing_operations = DiskFault("failed"), ("append", "truncate")
        self.assertIsInstance((await journal.append(b"lost" * 9)).failure(), DiskFailedError)
        self.disk.fault = None
        self.assertIsInstance((await journal.append(b"two")).failure(), JournalUnusableError)
        self.assertIsInstance(await journal.open(), Success)
        self.assertEqual(await journal.append(b"two"), Success(None))
        self.assertEqual((await self.read_back())[-1], b"two")

    @on_simulated_time
    async def test_stalled_append_times_out_and_never_overlaps_another_call(self) -> None:
        """A disk call that exceeds its time limit must never run together with another call on the file."""
        journal = await self.create_journal(b"one")
        self.disk.stall_event = asyncio.Event()
        self.assertIsInstance((await journal.append(b"late")).failure(), JournalTimeoutError)
        self.assertIsInstance((await journal.append(b"two")).failure(), JournalUnusableError)
        self.assertIsInstance((await journal.open()).failure(), JournalTimeoutError)
        self.disk.stall_event.set()
        self.assertEqual((await journal.open()).unwrap(), [b"first", b"one", b"late"])
        self.assertEqual(await journal.append(b"two"), Success(None))
        self.assertEqual(self.disk.max_active_calls, 1)

    @on_simulated_time
    async def test_append_during_compaction_waits_for_one_chunk_at_most(self) -> None:
        """A long compaction must not delay an append by more than one chunk, nor lose it."""
        journal = await self.create_journal(b"one")
        complete_file = b"state" * (COMPACTION_CHUNK_BYTES // 5 * 3)
        compacting = asyncio.ensure_future(journal.compact([b"first", complete_file]))
        calls: list[int] = []
        while not compacting.done():
            before = self.disk.calls
            self.assertEqual(await journal.append(b"more"), Success(None))
            calls.append(self.disk.calls - before)
        self.assertEqual(compacting.result(), Success(None))
        self.assertEqual(max(calls[:-1]), 2, "its own call and one chunk")
        self.assertEqual(await self.read_back(), [b"first", complete_file, *[b"more"] * len(calls)])

    @on_simulated_time
    async def test_compaction_is_aborted_when_the_file_is_replaced(self) -> None:
        """A compaction must not overwrite a file that was replaced or opened again since it started."""
        for replace in (True, False):
            journal = await self.create_journal(b"one")
            compacting = asyncio.ensure_future(journal.compact([b"x" * COMPACTION_CHUNK_BYTES * 2]))
            await asyncio.sleep(0)
            if replace:
                await journal.rewrite(lambda: [b"state of another"])
            else:
                await journal.open()
            self.assertIsInstance((await compacting).failure(), JournalUnusableError)
            await journal.append(b"two")
            expected = [b"state of another", b"two"] if replace else [b"first", b"one", b"two"]
            self.assertEqual(await self.read_back(), expected)

    @on_simulated_time
    async def test_full_disk_during_compaction_leaves_the_old_file(self) -> None:
        """A compaction that fails must lose neither earlier records nor those appended meanwhile."""
        journal = await self.create_journal(b"one")
        self.disk.fault, self.disk.failing_operations = DiskFault("full"), ("write_new",)
        self.assertIsInstance((await journal.compact([b"x"])).failure(), DiskFullError)
        self.disk.fault = None
        compacting = asyncio.ensure_future(journal.compact([b"x" * COMPACTION_CHUNK_BYTES * 3]))
        await journal.append(b"two")
        self.disk.fault, self.disk.failing_operations = DiskFault("full"), ("append",)
        self.assertIsInstance((await compacting).failure(), DiskFullError)
        self.disk.fault = None
        self.assertEqual(await journal.append(b"three"), Success(None))
        self.assertEqual(await self.read_back(), [b"first", b"one", b"two", b"three"])

    @on_simulated_time
    async def test_removed_or_changed_file_accepts_no_append(self) -> None:
        """If the file is removed or changed while the process runs, an append must fail and write nothing."""
        journal = await self.create_journal(b"one")
        self.assertEqual(await journal.check(), Success(None))
        complete_file = self.disk.files.pop("control.journal")
        self.assertIsInstance((await journal.check()).failure(), JournalMissingError)
        for remaining_files in ({}, {"control.journal": complete_file[:-1]}):
            journal = await self.create_journal(b"one")
            self.disk.files = dict(remaining_files)
            self.assertIsInstance((await journal.append(b"two")).failure(), JournalMissingError)
            self.assertIsInstance((await journal.append(b"two")).failure(), JournalUnusableError)
            self.assertEqual(self.disk.files, remaining_files)

    @on_simulated_time
    async def test_rewrite_waits_for_appends_and_full_disk_leaves_the_old_file(self) -> None:
        """A rewrite must include all earlier appends, and must leave the file as it is when the disk is full."""
        journal = await self.create_journal(b"one")
        waiting = [asyncio.create_task(journal.append(bytes([number]))) for number in range(5)]
        rewriting = asyncio.create_task(journal.rewrite(lambda: [b"snapshot"]))
        after = asyncio.create_task(journal.append(b"after"))
        await asyncio.gather(*waiting, rewriting, after)
        self.assertEqual(await self.read_back(), [b"snapshot", b"after"])
        self.disk.fault, self.disk.failing_operations = DiskFault("full"), ("write_new",)
        self.assertIsInstance((await journal.rewrite(lambda: [b"never"])).failure(), DiskFullError)
        self.assertEqual(await journal.append(b"two"), Success(None))
        self.assertEqual(await self.read_back(), [b"snapshot", b"after", b"two"])

    @on_simulated_time
    async def test_power_loss_at_any_call_keeps_acknowledged_payloads(self) -> None:
        """Payloads whose append returned success must survive a power loss during any later disk call."""
        for seed in range(300):
            await self.run_until_power_loss(seed)

    async def run_until_power_loss(self, seed: int) -> None:
        """Loses power at a random disk call and reads the file back.

        It must hold the acknowledged payloads, or the result of the operation that was running.
        """
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
        except PowerLostError:
            pass
        disk.power_loss_at_call = None
        match await Journal(context, "j", Seconds(1.0)).open():
            case Success(payloads):
                self.assertIn(list(payloads), (acknowledged, possible), f"seed {seed}")
            case Failure(error):
                self.fail(f"seed {seed}: {error}")

    def test_error_kinds_keep_the_names_that_log_entries_and_refusals_show(self) -> None:
        """Daemons send these names to each other and operators search logs for them, so they outlive the classes."""
        kinds = {
            JournalMissingError: "missing",
            JournalDamagedError: "damaged",
            JournalUnusableError: "sick",
            JournalTimeoutError: "slow",
            DiskFullError: "full",
            DiskFailedError: "failed",
            JournalLockedError: "locked",
        }
        for error_type, kind in kinds.items():
            self.assertEqual(error_type("detail").kind, kind)
        for fault in (DiskFault("full"), DiskFault("failed"), DiskFault("locked"), DiskFault("missing")):
            self.assertEqual(error_of(fault).kind, fault.kind)


if __name__ == "__main__":
    unittest.main()
