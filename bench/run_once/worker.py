"""An emulated worker of the platform that writes every run to a ledger file, and that often answers badly.

Each line of the ledger is ``ATTEMPT-ID INSTANCE TIME``, written before anything of the answer is sent. A line is
written at once, so that it stands there even if the worker is killed.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import struct
import sys
import time
from typing import Final

SERVICE: Final = "shop"
_SLOTS: Final = 32
_HEARTBEAT_S: Final = 0.6
_DRAIN_S: Final = 2.2
_FAULTS: Final = {
    "none": 70,
    "full": 6,
    "refuse-unread": 3,
    "lost-answer": 5,
    "reset-after-run": 4,
    "reset-in-answer": 3,
    "close-idle-soon": 5,
    "surplus-answer": 3,
    "late": 1,
    "504-at-deadline": 2,
    "answer-at-deadline": 2,
    "rest-at-deadline": 2,
    "full-at-deadline": 2,
    "reset-at-deadline": 1,
}
"""What a worker does with a request, and how often (weights); the deadline is the one that the worker is handed."""
_SPIN_S: Final = 0.003
"""The event loop's timers are up to a millisecond late, so that the last part of an exact wait is spent spinning."""
_LATE_S: Final = 1.3
_EVENT: Final = b"id: %d\ndata: xxxxxxxx\n\n"
_EVENTS: Final = 3


async def _wait_exactly(until: float) -> None:
    """Returns at a time of the monotonic clock."""
    await asyncio.sleep(max(0.0, until - time.monotonic() - _SPIN_S))
    while time.monotonic() < until:
        pass


class Worker:
    """One run of a worker process."""

    def __init__(self, instance: str, address: str, zone: str, ledger: str, seed: int, controls: list[str]) -> None:
        self.instance, self.address, self.zone = instance, address, zone
        self._ledger = os.open(ledger, os.O_WRONLY | os.O_CREAT | os.O_APPEND)
        self._random = random.Random(f"{seed}/{instance}")
        self._controls = controls
        self._state = "ready"
        self._beats = 0

    async def run(self) -> None:
        """Serves until the process is killed, or has drained after SIGTERM."""
        host, _, port = self.address.rpartition(":")
        await asyncio.start_server(self._serve, host, int(port))
        drained = asyncio.Event()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, drained.set)
        beats = asyncio.create_task(self._send_heartbeats())
        await drained.wait()
        self._state = "draining"
        await self._tell("Heartbeat")
        await asyncio.sleep(_DRAIN_S)
        beats.cancel()
        await self._tell("Deregister")

    async def _send_heartbeats(self) -> None:
        while True:
            await self._tell("Heartbeat")
            await asyncio.sleep(_HEARTBEAT_S)

    async def _tell(self, verb: str) -> None:
        self._beats += 1
        body = json.dumps(
            {
                "service": SERVICE,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": _SLOTS,
                "state": self._state,
                "cold_left_ms": 0,
                "stage": "both",
                "models": [],
                "seq": self._beats,
            }
        ).encode()
        for address in self._random.sample(self._controls, len(self._controls)):
            head = f"POST /v1/Instances.{verb}/{self.instance} HTTP/1.1\r\nHost: c\r\nConnection: close\r\n"
            with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
                async with asyncio.timeout(1.0):
                    host, _, port = address.rpartition(":")
                    reader, writer = await asyncio.open_connection(host, int(port))
                    writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
                    status = (await reader.readline()).split()
                    writer.close()
                    if len(status) > 1 and status[1].startswith(b"2"):
                        return

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while await self._answer(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Handles one request; returns whether the connection stays open."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        received_at = time.monotonic()
        lines = head.split("\r\n")
        headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:])}
        await reader.readexactly(int(headers.get("content-length") or 0))
        path = lines[0].split(" ")[1]
        if path == "/health":
            writer.write(f"HTTP/1.1 200 OK\r\nInstance-Id: {self.instance}\r\nContent-Length: 0\r\n\r\n".encode())
            return True
        attempt = headers.get("attempt-id", "none")
        if headers.get("target-instance") not in (None, self.instance):
            writer.write(self._response(attempt, "421 Misdirected", "Not-Executed: 1"))
            return True
        fault = self._random.choices(list(_FAULTS), list(_FAULTS.values()))[0]
        deadline = received_at + int(headers.get("deadline-ms") or 0) / 1000
        if fault == "full-at-deadline":
            await _wait_exactly(deadline)
            fault = "full"
        if fault == "refuse-unread":
            self._reset(writer)
            return False
        if fault == "full":
            writer.write(self._response(attempt, "503 Full", "Not-Executed: 1"))
            return True
        os.write(self._ledger, f"{attempt} {self.instance} {time.time():.6f}\n".encode())
        answer = self._stream(attempt) if path.startswith("/chat/") else self._answer_of(attempt)
        if fault.endswith("-at-deadline"):
            return await self._finish_at(deadline, attempt, answer, fault, writer)
        return await self._run(answer, fault, writer)

    async def _finish_at(
        self, deadline: float, attempt: str, answer: bytes, fault: str, writer: asyncio.StreamWriter
    ) -> bool:
        """Ends the answer at the deadline that the router set; returns whether the connection stays open."""
        sent = self._random.randrange(1, len(answer)) if fault == "rest-at-deadline" else 0
        writer.write(answer[:sent])
        await _wait_exactly(deadline)
        if fault == "reset-at-deadline":
            self._reset(writer)
            return False
        writer.write(self._response(attempt, "504 Late") if fault == "504-at-deadline" else answer[sent:])
        return True

    async def _run(self, answer: bytes, fault: str, writer: asyncio.StreamWriter) -> bool:
        await asyncio.sleep(_LATE_S if fault == "late" else self._random.choice((0.0, 0.005, 0.02, 0.08)))
        match fault:
            case "lost-answer":
                return False
            case "reset-after-run":
                self._reset(writer)
                return False
            case "reset-in-answer":
                writer.write(answer[: self._random.randrange(1, len(answer))])
                await asyncio.sleep(0.001)
                self._reset(writer)
                return False
            case "surplus-answer":
                writer.write(answer)
                await asyncio.sleep(self._random.choice((0.0, 0.001, 0.004)))
                writer.write(answer)
                return True
            case "close-idle-soon":
                writer.write(answer)
                await asyncio.sleep(self._random.choice((0.0, 0.0005, 0.002, 0.01)))
                return False
        writer.write(answer)
        return True

    def _answer_of(self, attempt: str) -> bytes:
        return self._response(attempt, "200 OK", "Keep-Alive: timeout=4", b"x" * 800)

    def _stream(self, attempt: str) -> bytes:
        """Returns a stream of events in chunks."""
        head = (
            f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: {self.instance}.seal\r\n"
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        events = [_EVENT % number for number in range(1, _EVENTS + 1)]
        return head.encode() + b"".join(b"%x\r\n%b\r\n" % (len(event), event) for event in events) + b"0\r\n\r\n"

    def _response(self, attempt: str, status: str, header: str = "", body: bytes = b"") -> bytes:
        lines = [
            f"HTTP/1.1 {status}",
            f"Attempt-Id: {attempt}",
            f"Response-Seal: {self.instance}.seal",
            f"Content-Length: {len(body)}",
            *([header] if header else []),
        ]
        return "\r\n".join([*lines, "", ""]).encode() + body

    @staticmethod
    def _reset(writer: asyncio.StreamWriter) -> None:
        connection = writer.get_extra_info("socket")
        with contextlib.suppress(OSError):
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()


def main() -> None:
    """Runs a worker: INSTANCE ADDRESS ZONE LEDGER SEED CONTROL..."""
    instance, address, zone, ledger, seed, *controls = sys.argv[1:]
    asyncio.run(Worker(instance, address, zone, ledger, int(seed), controls).run())


if __name__ == "__main__":
    main()
