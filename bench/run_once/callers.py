"""Callers that keep their connections open and retry as the platform's clients do.

A call that may run only once is tried again only after a promise that it has not run (408, 421, 429, 503), if no
connection came about, or if the connection was reset before any byte of an answer. The kernel resets a connection that
is closed with unread bytes, so a reset says that the router had not read the request.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections import Counter
from random import Random
from typing import Final, Literal, TextIO

import msgspec

from .routes import CALL_KINDS, TIMEOUT_S, kind_of

PROMISES: Final = frozenset({408, 421, 429, 503})
MAX_TRIES: Final = 3
_CALLER_TIMEOUTS_S: Final = (TIMEOUT_S, 3.0)
"""How long callers say that they wait."""
_ANSWER_TIMEOUT_S: Final = 3.0
_THINK_S: Final = 0.01

End = Literal["answer", "unreachable", "reset", "closed", "silent"]


class Try(msgspec.Struct, frozen=True):
    """One try of a call: where it was sent, and how it ended for the caller."""

    attempt: str
    router: str
    end: End
    status: int
    started_at: float
    ended_at: float
    """When it ended for the caller; both times are those of the wall clock, in seconds."""

    def may_try_again(self) -> bool:
        """Returns whether the call may be sent once more, since it has not run."""
        return self.end in ("unreachable", "reset") or (self.end == "answer" and self.status in PROMISES)


class Callers:
    """Keeps connections to routers in use until ``stop``; ``tries`` holds all that was sent."""

    def __init__(self, routers: list[str], port: int, seed: int, log: TextIO) -> None:
        self.tries: list[Try] = []
        self.outcomes: Counter[str] = Counter()
        self._routers = routers
        self._port = port
        self._random = Random(f"{seed}/callers")
        self._log = log
        self._stopped = False
        self._calls = 0

    async def run(self, count: int) -> None:
        """Runs ``count`` callers at once until ``stop``."""
        await asyncio.gather(*(self._keep_calling(Random(self._random.random())) for _ in range(count)))

    def stop(self) -> None:
        """Lets each caller finish its call."""
        self._stopped = True

    async def _keep_calling(self, random: Random) -> None:
        while not self._stopped:
            connection = await _Connection.open(random.choice(self._routers), self._port)
            if connection is None:
                await asyncio.sleep(0.05)
                continue
            # An open connection is used until it ends, also while its router drains.
            while not self._stopped and connection.usable:
                await self._call(connection, random)
                await asyncio.sleep(random.uniform(0, 2 * _THINK_S))
            connection.close()

    async def _call(self, connection: _Connection, random: Random) -> None:
        """Makes one call; its first try is sent on the open connection, further ones on new connections."""
        self._calls += 1
        kind = random.choice(CALL_KINDS)
        call = f"{kind.name}{self._calls}"
        split = random.random() < 0.2
        result = await self._try(f"{call}-1", connection, split)
        for number in range(2, MAX_TRIES + 1):
            if not result.may_try_again():
                return
            await asyncio.sleep(random.uniform(0, 0.05))
            other = await _Connection.open(random.choice(self._routers), self._port)
            if other is None:
                result = msgspec.structs.replace(result, end="unreachable")
                continue
            result = await self._try(f"{call}-{number}", other, split)
            other.close()

    async def _try(self, attempt: str, connection: _Connection, split: bool) -> Try:
        started_at = time.time()
        end, status = await connection.ask(attempt, split)
        result = Try(attempt, connection.router, end, status, started_at, time.time())
        self.tries.append(result)
        self.outcomes[f"{end} {status}" if status else end] += 1
        self._log.write(f"{started_at:.6f} {attempt} {connection.router} {end} {status} {time.time():.6f}\n")
        return result


class _Connection:
    """A kept connection to one router."""

    def __init__(self, router: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.router = router
        self.usable = True
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, router: str, port: int) -> _Connection | None:
        """Opens a connection, or returns None after a second."""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(1.0):
                return cls(router, *await asyncio.open_connection(router, port))
        return None

    def close(self) -> None:
        """Closes the connection."""
        self.usable = False
        self._writer.close()

    async def ask(self, attempt: str, split: bool) -> tuple[End, int]:
        """Sends one request, in two parts if ``split``, and returns how it ended, with the status of the answer."""
        body = b"a small order"
        waits = _CALLER_TIMEOUTS_S[len(attempt) % len(_CALLER_TIMEOUTS_S)]
        head = (
            f"POST /{kind_of(attempt).name}/1 HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {attempt}\r\n"
            f"X-Api-Key: key-1\r\nDeadline-Ms: {int(1000 * waits)}\r\nContent-Length: {len(body)}\r\n\r\n"
        ).encode()
        answered = False
        try:
            async with asyncio.timeout(_ANSWER_TIMEOUT_S):
                self._writer.write(head if split else head + body)
                if split:
                    await asyncio.sleep(0.001)
                    self._writer.write(body)
                first = await self._reader.readline()
                answered = bool(first)
                if not answered:
                    self.close()
                    return "closed", 0
                return "answer", await self._read_answer(first)
        except TimeoutError:
            self.close()
            return "silent", 0
        except asyncio.IncompleteReadError:
            self.close()
            return "closed", 0
        except OSError:
            self.close()
            return ("closed" if answered else "reset"), 0

    async def _read_answer(self, first: bytes) -> int:
        length = 0
        chunked = False
        while (line := (await self._reader.readline()).strip()) != b"":
            name, _, value = line.lower().partition(b":")
            if name == b"content-length":
                length = int(value)
            elif name == b"transfer-encoding":
                chunked = True
            elif name == b"connection" and b"close" in value:
                self.usable = False
        if chunked:
            await self._read_chunks()
        else:
            await self._reader.readexactly(length)
        return int(first.split()[1])

    async def _read_chunks(self) -> None:
        while (size := int(await self._reader.readuntil(b"\r\n"), 16)) > 0:
            await self._reader.readexactly(size + 2)
        await self._reader.readexactly(2)
