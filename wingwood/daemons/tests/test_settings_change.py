"""Settings that are written anew while a daemon runs."""

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


class NoLog:
    def event(self, name: str, **fields: object) -> None:
        pass


class Listening:
    """A daemon that notes what it is told."""

    def __init__(self) -> None:
        self.told: asyncio.Queue[DaemonSettings] = asyncio.Queue()

    async def start(self) -> Result[None, StartFailure]:
        return Success(None)

    async def drain(self) -> None:
        pass

    def stop(self) -> None:
        pass

    def settings_changed(self, settings: DaemonSettings) -> None:
        self.told.put_nowait(settings)


def context() -> Context:
    log = NoLog()
    http: Any = None
    tasks = RealTasks(log, lambda reason: None)
    return Context(RealClock(), RealNetwork(), NoDisk(), http, random.Random(1), log, tasks)


async def told_by(answers: list[Result[DaemonSettings, SettingsProblem]]) -> DaemonSettings:
    daemon, hangup = Listening(), asyncio.Event()

    def read_settings() -> Result[DaemonSettings, SettingsProblem]:
        if len(answers) > 1:
            hangup.set()
        return answers.pop(0) if answers else Success(OTHER_SEEDS)

    hangup.set()
    following = asyncio.create_task(follow_settings(context(), SETTINGS, read_settings, hangup, daemon))
    try:
        async with asyncio.timeout(Seconds(5.0)):
            return await daemon.told.get()
    finally:
        following.cancel()


class SettingsChange(unittest.TestCase):
    def test_hang_up_hands_new_seeds_to_the_daemon(self) -> None:
        self.assertEqual(asyncio.run(told_by([Success(OTHER_SEEDS)])).seeds, OTHER_SEEDS.seeds)

    def test_the_same_settings_and_unreadable_ones_change_nothing(self) -> None:
        unreadable = Failure(SettingsProblem(file="x.toml", expected="not TOML"))
        answers: list[Result[DaemonSettings, SettingsProblem]] = [Success(SETTINGS), unreadable, Success(OTHER_SEEDS)]
        self.assertEqual(asyncio.run(told_by(answers)), OTHER_SEEDS)
