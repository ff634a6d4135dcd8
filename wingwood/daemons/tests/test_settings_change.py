"""Tests that changed settings are passed to a running daemon, and unchanged or unreadable ones are not."""

from __future__ import annotations

import asyncio
import random
import unittest
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from ...context.no_disk import NoDisk
from ...context.protocols import Context
from ...context.real import RealClock, RealNetwork, RealTasks
from ...identifiers import Address, DaemonName, Seconds, Zone
from ...settings.load import SettingsProblem
from ...settings.model import DaemonSettings
from ..process import StartFailure, follow_settings

SETTINGS = DaemonSettings(
    name=DaemonName("router-1"),
    role="router",
    zone=Zone("north"),
    internal=Address("127.0.0.1", 7000),
    operator=Address("127.0.0.1", 7001),
    caller=Address("127.0.0.1", 7002),
    seeds=(Address("127.0.0.1", 7100),),
    fleet_key=b"x" * 16,
    operator_keys=("ab" * 32,),
)
OTHER_SEEDS = msgspec.structs.replace(SETTINGS, seeds=(Address("127.0.0.1", 7200),))


class SilentLog:
    """A log that discards all events."""

    def event(self, name: str, **fields: object) -> None:
        pass


class RecordingDaemon:
    """A daemon that records the settings passed to it."""

    def __init__(self) -> None:
        self.received: asyncio.Queue[DaemonSettings] = asyncio.Queue()

    async def start(self) -> Result[None, StartFailure]:
        return Success(None)

    async def drain(self) -> None:
        pass

    def stop(self) -> None:
        pass

    def settings_changed(self, settings: DaemonSettings) -> None:
        self.received.put_nowait(settings)


def context() -> Context:
    log = SilentLog()
    http: Any = None
    tasks = RealTasks(log, lambda reason: None)
    return Context(RealClock(), RealNetwork(), NoDisk(), http, random.Random(1), log, tasks)


async def settings_passed_on(reads: list[Result[DaemonSettings, SettingsProblem]]) -> DaemonSettings:
    """Returns the first settings passed to the daemon when ``reads`` are the results of reading them."""
    daemon, hangup = RecordingDaemon(), asyncio.Event()

    def read_settings() -> Result[DaemonSettings, SettingsProblem]:
        if len(reads) > 1:
            hangup.set()
        return reads.pop(0) if reads else Success(OTHER_SEEDS)

    hangup.set()
    following = asyncio.create_task(follow_settings(context(), SETTINGS, read_settings, hangup, daemon))
    try:
        async with asyncio.timeout(Seconds(5.0)):
            return await daemon.received.get()
    finally:
        following.cancel()


class SettingsChangeTest(unittest.TestCase):
    def test_hangup_signal_passes_new_seeds_to_the_daemon(self) -> None:
        self.assertEqual(asyncio.run(settings_passed_on([Success(OTHER_SEEDS)])).seeds, OTHER_SEEDS.seeds)

    def test_unchanged_and_unreadable_settings_are_not_passed_on(self) -> None:
        unreadable = Failure(SettingsProblem(file="x.toml", expected="not TOML"))
        reads: list[Result[DaemonSettings, SettingsProblem]] = [Success(SETTINGS), unreadable, Success(OTHER_SEEDS)]
        self.assertEqual(asyncio.run(settings_passed_on(reads)), OTHER_SEEDS)
