"""Measures how long the operator's configurations block the event loop.

``python -m bench.configuration_steps [ROUTES ...]`` prints one line for each size and stage: the total processor time
and the longest time between two turns of the event loop. The stages are the translation of a complete configuration,
the preparation on the primary, its decision and the application of the record, the reading by a router, the rendering
of the configuration, and the same for a patch of one route.
"""

from __future__ import annotations

import asyncio
import gc
import sys
import time
from collections.abc import Awaitable, Callable
from typing import TypeVar

import msgspec
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from wingwood_platform.configuration import TranslatedChange, render_configuration, translate_complete, translate_patch
from wingwood_platform.tests.configurations import SIGNING_KEY, large_configuration, route

from wingwood.bundle.commands import SubmitEdition
from wingwood.bundle.model import Bundle, EditionChange
from wingwood.bundle.parse import apply_delta_gradually
from wingwood.bundle.signing import public_hex
from wingwood.bundle.state import BundleState
from wingwood.identifiers import BundleVersion, OrderId

SIZES = (350, 2_000)
Value = TypeVar("Value")


async def run_measured(title: str, work: Callable[[], Awaitable[Value]]) -> Value:
    """Runs ``work`` beside a task that runs in each turn of the event loop; prints the times and returns the value."""
    longest_gap, last_turn_at = 0.0, time.perf_counter()

    async def note_loop_turns() -> None:
        nonlocal longest_gap, last_turn_at
        while True:
            now = time.perf_counter()
            longest_gap, last_turn_at = max(longest_gap, now - last_turn_at), now
            await asyncio.sleep(0)

    gc.collect()
    watcher = asyncio.create_task(note_loop_turns())
    await asyncio.sleep(0)
    longest_gap, last_turn_at, started_at = 0.0, time.perf_counter(), time.process_time()
    value = await work()
    longest_gap = max(longest_gap, time.perf_counter() - last_turn_at)
    cpu_seconds = time.process_time() - started_at
    watcher.cancel()
    print(f"  {title:34s} {1000 * cpu_seconds:7.1f} ms in all, longest {1000 * longest_gap:6.2f} ms", flush=True)
    return value


class Stages:
    """Passes a change through one control state to the bundle of one router."""

    def __init__(self) -> None:
        self.state = BundleState((), signing_key=SIGNING_KEY)
        self.signers = (public_hex(Ed25519PrivateKey.from_private_bytes(SIGNING_KEY)),)
        self.bundle: Bundle | None = None

    async def submit_change(self, title: str, change: EditionChange) -> None:
        command = SubmitEdition(change)
        encoded = await run_measured(
            f"{title}: encode command", self._as_coroutine(lambda: msgspec.msgpack.encode(command))
        )
        await run_measured(
            f"{title}: decode command", self._as_coroutine(lambda: msgspec.msgpack.decode(encoded, type=SubmitEdition))
        )
        await run_measured(f"{title}: prepare", lambda: self.state.prepare(command))
        record, _ = await run_measured(f"{title}: decide", self._as_coroutine(lambda: self.state.decide(command)))
        assert record is not None
        await run_measured(f"{title}: apply", self._as_coroutine(lambda: self.state.apply(record)))
        since = BundleVersion(0 if self.bundle is None else self.bundle.version)
        delta = self.state.delta_since(since, self.state.version)
        assert delta is not None
        current = self.bundle
        self.bundle = (
            await run_measured(f"{title}: router reads", lambda: apply_delta_gradually(current, delta, self.signers))
        ).unwrap()

    def _as_coroutine(self, work: Callable[[], Value]) -> Callable[[], Awaitable[Value]]:
        async def run() -> Value:
            return work()

        return run


def edition_change(order: str, base: int, content: TranslatedChange) -> EditionChange:
    return EditionChange(
        order=OrderId(order),
        base=base,
        number=content.number,
        changed=content.changed,
        removed=content.removed,
        replaces_all=content.complete,
    )


async def run(routes: int) -> None:
    body = msgspec.json.encode(large_configuration(routes))
    print(f"{routes} routes, {len(body)} bytes", flush=True)
    stages = Stages()
    complete = (await run_measured("whole: translate", lambda: translate_complete(body))).unwrap()
    await stages.submit_change("whole", edition_change("whole", 0, complete))
    current = stages.state.slices_at(stages.state.version)
    assert current is not None
    await run_measured("give back", lambda: render_configuration(current))
    patch = msgspec.json.encode({"version": 8, "upsert": {"routes": [route("r-00001", service="s2")]}})
    small = (await run_measured("patch: translate", lambda: translate_patch(patch, current))).unwrap()
    await stages.submit_change("patch", edition_change("patch", 7, small))


def main() -> None:
    for routes in [int(each) for each in sys.argv[1:]] or SIZES:
        asyncio.run(run(routes))


if __name__ == "__main__":
    main()
