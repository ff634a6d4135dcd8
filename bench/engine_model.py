"""Models a batching engine with chunked prefill and a KV cache of prompt parts, on virtual time.

Each step generates one token for every running stream and prefills waiting prompts in order of arrival, up to the size
of one chunk. A step takes a base time, a little time for each running stream, and the time to prefill the chunk. The
declared parts of a finished prompt stay in the cache; the least recently used parts are evicted when running turns
need room.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict, deque
from collections.abc import Sequence

import msgspec

from wingwood.identifiers import Address, PoolName, WorkerInstance, Zone
from wingwood.placement.protocols import PromptPart
from wingwood.placement.sent_chains import Chain, chains
from wingwood.registry.protocols import Worker, WorkerLoad

MAX_STEPS_WITHOUT_PREFILL = 8
"""The most steps that are simulated as one while nothing is prefilled."""


class Engine(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of an engine; times are in seconds, sizes in tokens."""

    slots: int = 32
    cache_tokens: int = 250_000
    step_seconds: float = 0.0007
    step_seconds_per_stream: float = 0.000002
    prefill_seconds_per_token: float = 1 / 300_000
    chunk_tokens: int = 2000
    tokens_per_event: int = 34


class Stream:
    """One turn at an engine: the times of its events, and a future that is set when the turn ends."""

    def __init__(self, parts: tuple[PromptPart, ...], prompt: int, generate: int, end: asyncio.Future[None]) -> None:
        self.parts = parts
        self.prompt = prompt
        self.generate = max(1, generate)
        self.end = end
        self.first: asyncio.Future[None] = end.get_loop().create_future()
        self.remaining_prefill_tokens = -1
        """-1 until the stream is admitted."""
        self.cached = 0
        self.generated = 0
        self.events: list[float] = []
        self.aborted = False

    @property
    def unshared_tokens(self) -> int:
        return max(0, self.prompt - sum(part.tokens for part in self.parts))


class EngineWorker:
    def __init__(self, number: int, engine: Engine, zone: Zone) -> None:
        self.instance = WorkerInstance(f"w{number}")
        self.engine = engine
        self.zone = zone
        self.up = True
        self.slow_factor = 1.0
        self._loop = asyncio.get_event_loop()
        self._cache: OrderedDict[Chain, int] = OrderedDict()
        self._cached_tokens = 0
        self._reserved_tokens = 0
        self._waiting: deque[Stream] = deque()
        self._running: list[Stream] = []
        self._stepping = False
        self.prefilled_tokens = 0
        self.prefilled_part_tokens = 0

    def announcement(self, pool: PoolName) -> Worker:
        return Worker(
            instance=self.instance,
            address=Address("127.0.0.1", 1),
            pool=pool,
            zone=self.zone,
            slots=self.engine.slots,
            cache_tokens=self.engine.cache_tokens,
            load=WorkerLoad(len(self._running), len(self._waiting)),
        )

    @property
    def stream_count(self) -> int:
        return len(self._running) + len(self._waiting)

    def submit(self, parts: tuple[PromptPart, ...], prompt: int, generate: int) -> Stream:
        stream = Stream(parts, prompt, generate, self._loop.create_future())
        self._waiting.append(stream)
        self._wake()
        return stream

    def tokens_ahead(self) -> int:
        """Returns how many tokens the engine has to prefill before it starts a new prompt."""
        waiting = sum(stream.prompt - self.cached(stream.parts) for stream in self._waiting)
        return waiting + sum(max(0, stream.remaining_prefill_tokens) for stream in self._running)

    def resume(self) -> None:
        self.up = True
        self._wake()

    # --- steps --------------------------------------------------------------------------------

    def _wake(self) -> None:
        if not self._stepping and self.up and (self._waiting or self._running):
            self._stepping = True
            self._step()

    def _step(self) -> None:
        self._admit()
        prefilled, did_prefill = self._prefill_chunk()
        decoding = [stream for stream in self._running if stream.remaining_prefill_tokens == 0]
        steps = 1
        if not did_prefill and decoding:
            steps = min(MAX_STEPS_WITHOUT_PREFILL, *(self._to_boundary(stream) for stream in decoding))
        per_step = self.engine.step_seconds + self.engine.step_seconds_per_stream * len(self._running)
        seconds = (steps * per_step + prefilled * self.engine.prefill_seconds_per_token) * self.slow_factor
        self._loop.call_later(seconds, self._stepped, decoding, steps)

    def _to_boundary(self, stream: Stream) -> int:
        event = self.engine.tokens_per_event
        return min(stream.generate - stream.generated, event - stream.generated % event)

    def _admit(self) -> None:
        self._waiting = deque(stream for stream in self._waiting if not stream.aborted)
        for stream in [stream for stream in self._running if stream.aborted]:
            self._leave(stream)
        while self._waiting and len(self._running) < self.engine.slots:
            stream = self._waiting[0]
            if (
                self._running
                and self._reserved_tokens + stream.unshared_tokens + stream.generate > self.engine.cache_tokens
            ):
                return
            self._waiting.popleft()
            self._running.append(stream)
            self._reserved_tokens += stream.unshared_tokens + stream.generate
            stream.cached = self.cached(stream.parts)
            self._touch(stream.parts, stream.cached)
            stream.remaining_prefill_tokens = stream.prompt - stream.cached
            self.prefilled_tokens += stream.remaining_prefill_tokens
            self.prefilled_part_tokens += stream.prompt - stream.unshared_tokens - stream.cached

    def _prefill_chunk(self) -> tuple[int, bool]:
        """Returns the number of tokens prefilled in this step, and whether that number is above zero."""
        remaining = self.engine.chunk_tokens
        for stream in self._running:
            if stream.remaining_prefill_tokens > 0 and remaining > 0:
                tokens = min(remaining, stream.remaining_prefill_tokens)
                stream.remaining_prefill_tokens -= tokens
                remaining -= tokens
                if stream.remaining_prefill_tokens == 0:
                    self._store(stream.parts)
        did_prefill = remaining < self.engine.chunk_tokens
        return self.engine.chunk_tokens - remaining, did_prefill

    def _stepped(self, decoding: Sequence[Stream], steps: int) -> None:
        now = self._loop.time()
        for stream in decoding:
            if stream.aborted:
                continue
            stream.generated += steps
            done = stream.generated >= stream.generate
            if done or stream.generated % self.engine.tokens_per_event == 0:
                stream.events.append(now)
                if not stream.first.done():
                    stream.first.set_result(None)
            if done:
                self._leave(stream)
                stream.end.set_result(None)
        self._stepping = False
        self._wake()

    def _leave(self, stream: Stream) -> None:
        self._running.remove(stream)
        self._reserved_tokens -= stream.unshared_tokens + stream.generate
        self._store(stream.parts)

    # --- the cache ----------------------------------------------------------------------------

    def cached(self, parts: tuple[PromptPart, ...]) -> int:
        """Returns how many tokens of a prompt with these parts are cached."""
        tokens = 0
        for chain, end_tokens in chains(parts):
            if chain not in self._cache:
                break
            tokens = end_tokens
        return tokens

    def _touch(self, parts: tuple[PromptPart, ...], tokens: int) -> None:
        """Marks chains as recently used, the longest first, so that no prefix is evicted before its continuations."""
        for chain, end_tokens in reversed(list(chains(parts))):
            if end_tokens <= tokens and chain in self._cache:
                self._cache.move_to_end(chain)

    def _store(self, parts: tuple[PromptPart, ...]) -> None:
        before = 0
        for chain, end_tokens in chains(parts):
            if chain not in self._cache:
                self._cache[chain] = end_tokens - before
                self._cached_tokens += end_tokens - before
            before = end_tokens
        self._touch(parts, before)
        while self._cache and self._cached_tokens + self._reserved_tokens > self.engine.cache_tokens:
            _, tokens = self._cache.popitem(last=False)
            self._cached_tokens -= tokens
