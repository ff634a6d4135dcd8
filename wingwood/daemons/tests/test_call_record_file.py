"""A recorded day reaches a data folder that nobody made before (docs/DESIGN.md section 17)."""

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


class Quiet:
    def event(self, name: str, **fields: object) -> None:
        pass


class CallRecordFileTest(unittest.TestCase):
    def test_the_folder_is_made_and_the_first_line_says_when_it_began(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(self.record(Path(folder) / "not" / "yet"))
            lines = (Path(folder) / "not" / "yet" / "day.jsonl").read_bytes().splitlines()
        self.assertEqual(lines[1:], [b'{"at":1}', b'{"at":2}'])
        self.assertGreater(WallTime(msgspec.json.decode(lines[0])["began"]), 1.6e9)

    async def record(self, folder: Path) -> None:
        log, network = Quiet(), RealNetwork()
        tasks = RealTasks(log, self.fail)
        http = StreamHttpClient(network, tasks)
        context = Context(RealClock(), network, RealDisk(folder), http, random.Random(1), log, tasks)
        day = CallRecordFile(context, "day.jsonl")
        day.start()
        day.write(b'{"at":1}\n')
        await day.flush()
        day.write(b'{"at":2}\n')
        await day.flush()
        await tasks.cancel_all()
