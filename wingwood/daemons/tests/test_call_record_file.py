"""Tests that recorded calls are written to a data folder that did not exist before (docs/DESIGN.md section 17)."""

from __future__ import annotations

import asyncio
import random
import tempfile
import unittest
from pathlib import Path

import msgspec

from ...context.protocols import Context
from ...context.real import RealClock, RealDisk, RealNetwork, RealTasks
from ...context.stream_client import StreamHttpClient
from ...identifiers import WallTime
from ..call_record_file import CallRecordFile


class SilentLog:
    """A log that discards all events."""

    def event(self, name: str, **fields: object) -> None:
        pass


class CallRecordFileTest(unittest.TestCase):
    def test_data_folder_is_created_and_first_line_states_the_start_time(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(self.record(Path(folder) / "not" / "yet"))
            lines = (Path(folder) / "not" / "yet" / "day.jsonl").read_bytes().splitlines()
        self.assertEqual(lines[1:], [b'{"at":1}', b'{"at":2}'])
        self.assertGreater(WallTime(msgspec.json.decode(lines[0])["began"]), 1.6e9)

    async def record(self, folder: Path) -> None:
        log, network = SilentLog(), RealNetwork()
        tasks = RealTasks(log, self.fail)
        http = StreamHttpClient(network, tasks)
        context = Context(RealClock(), network, RealDisk(folder), http, random.Random(1), log, tasks)
        record_file = CallRecordFile(context, "day.jsonl")
        record_file.start()
        record_file.write(b'{"at":1}\n')
        await record_file.flush()
        record_file.write(b'{"at":2}\n')
        await record_file.flush()
        await tasks.cancel_all()
