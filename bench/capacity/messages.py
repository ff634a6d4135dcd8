"""Measures the cost of one message between two daemons over loopback, for sender and receiver, at three sizes."""

from __future__ import annotations

import asyncio
import time
from typing import ClassVar

import msgspec
from returns.result import Success

from wingwood.identifiers import Address, DaemonName, Incarnation, Seconds, Zone
from wingwood.transport.frames import Identity
from wingwood.transport.messenger import TcpMessenger

from ..hollow_daemons import answer_parent, own_report
from .common import KEY, Child, Row, processor_seconds, real_quiet_context

PORT = 32050
SIZES = (64, 1024, 8192)
COUNT = 3_000


class Request(msgspec.Struct, frozen=True):
    WIRE_NAME: ClassVar[str] = "Ask"
    body: bytes


class Answer(msgspec.Struct, frozen=True):
    body: bytes


class Notification(msgspec.Struct, frozen=True):
    WIRE_NAME: ClassVar[str] = "Told"
    body: bytes


def identity(name: str, port: int) -> Identity:
    return Identity(DaemonName(name), Incarnation(name), "router", Zone("a"), Address("127.0.0.1", port))


async def serve() -> None:
    messenger = TcpMessenger(real_quiet_context(), identity("answerer", PORT), KEY)
    received = 0

    async def answer(_: Identity, request: Request) -> Answer:
        return Answer(b"x" * 64)

    def receive(_: Identity, notification: Notification) -> None:
        nonlocal received
        received += 1

    messenger.on_call(Request, answer)
    messenger.on_post(Notification, receive)
    assert isinstance(messenger.start(), Success)
    await answer_parent(lambda: own_report([messenger]) | {"took": received})


async def _measure(child: Child) -> list[Row]:
    messenger = TcpMessenger(real_quiet_context(), identity("asker", PORT + 1), KEY)
    address = Address("127.0.0.1", PORT)
    rows = []
    while not isinstance(await messenger.call(address, Request(b""), Answer, Seconds(1.0)), Success):
        await asyncio.sleep(0.1)
    for size in SIZES:
        body = b"x" * size
        before, own = child.report(), processor_seconds()
        for _ in range(COUNT):
            assert isinstance(await messenger.call(address, Request(body), Answer, Seconds(5.0)), Success)
        spent, after = processor_seconds() - own, child.report()
        row: Row = {
            "body": size,
            "ask_us": spent / COUNT * 1e6,
            "answer_us": (after["processor"] - before["processor"]) / COUNT * 1e6,
            "bytes": (after["messenger_bytes"] - before["messenger_bytes"]) / COUNT,
            "wire_bytes": (after["wire_bytes"] - before["wire_bytes"]) / COUNT,
        }
        before, own = child.report(), processor_seconds()
        for _ in range(COUNT):
            messenger.post(address, Notification(body))
            await asyncio.sleep(0)  # posts leave one by one, as they do in a daemon
            await asyncio.sleep(0)
        while child.report()["took"] < before["took"] + COUNT:
            await asyncio.sleep(0.02)
        spent, after = processor_seconds() - own, child.report()
        row |= {
            "post_us": spent / COUNT * 1e6,
            "take_us": (after["processor"] - before["processor"]) / COUNT * 1e6,
            "post_bytes": (after["messenger_bytes"] - before["messenger_bytes"]) / COUNT,
        }
        rows.append(row)
    messenger.stop()
    return rows


def measure() -> list[Row]:
    child = Child("bench.capacity.messages")
    try:
        return asyncio.run(_measure(child))
    finally:
        time.sleep(0.1)
        child.end()


if __name__ == "__main__":
    asyncio.run(serve())
