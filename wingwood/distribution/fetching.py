"""Fetches deltas chunk by chunk from other daemons and serves them to others (docs/DESIGN.md section 9.2)."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from returns.result import Success

from ..bundle.model import Bundle, BundleDelta
from ..context.protocols import Clock
from ..identifiers import Address, BundleVersion
from ..transport.messenger import Messenger
from .chunk_relay import ChunkRelay, IncomingDelta
from .deltas import ChunkServer, DeltaChain, decode_delta, decompress_chunk, full_delta
from .limits import DistributionLimits
from .messages import BundleChunk, FetchBundle


class NotAvailable(msgspec.Struct, frozen=True):
    """The result of a fetch whose source has nothing newer; ``alternative_source`` may have it."""

    alternative_source: Address | None
    pending: bool
    """True when the source is about to fetch the delta itself."""


class DeltaFetcher:
    """Runs one fetch at a time and relays received chunks to other requesters at once."""

    def __init__(
        self,
        clock: Clock,
        messenger: Messenger,
        limits: DistributionLimits,
        on_fetch_started: Callable[[BundleVersion], None],
    ) -> None:
        """``on_fetch_started`` is called with the version of a delta when its first chunk has been received."""
        self._clock = clock
        self._on_fetch_started = on_fetch_started
        self._messenger = messenger
        self._limits = limits
        self._chunk_relay = ChunkRelay(clock)
        self._incoming: IncomingDelta | None = None
        self._chunks = ChunkServer(limits.chunk_bytes, limits.first_chunk_bytes)

    # -- fetching

    async def fetch_pending(
        self, source: Address, since: BundleVersion, latest_known: BundleVersion
    ) -> BundleDelta | NotAvailable | None:
        """Does the same as ``fetch``, but retries while ``source`` replies that it is about to fetch the delta too.

        Retries end after ``upstream_retry_limit`` seconds; the last result is returned.
        """
        deadline = self._clock.monotonic() + self._limits.upstream_retry_limit
        while True:
            result = await self.fetch(source, since, latest_known)
            if not (isinstance(result, NotAvailable) and result.pending) or self._clock.monotonic() >= deadline:
                return result

    async def fetch(
        self, source: Address, since: BundleVersion, latest_known: BundleVersion
    ) -> BundleDelta | NotAvailable | None:
        """Returns the delta from ``since`` to the version that ``source`` has.

        Returns None when the source did not answer, or stopped answering before the last chunk. Other daemons can
        fetch the received chunks from here until ``discard_incoming`` is called.
        """
        self.discard_incoming()
        request = FetchBundle(since, accepts_compressed=True, latest_known=latest_known)
        chunks: list[bytes] = []
        while True:
            timeout = self._limits.next_chunk_timeout if chunks else self._limits.first_chunk_timeout
            outcome = await self._messenger.call(source, request, BundleChunk, timeout)
            if not isinstance(outcome, Success):
                return None
            chunk: BundleChunk = outcome.unwrap()
            if not chunk.found:
                return NotAvailable(chunk.alternative_source, chunk.pending)
            data = self._verified_data(request, chunk)
            if data is None:
                return None
            chunks.append(data)
            self._store_chunk(since, chunk)
            received_bytes = chunk.offset + len(data)
            if received_bytes >= chunk.total:
                return decode_delta(chunks)
            request = FetchBundle(since, chunk.to, received_bytes, accepts_compressed=True, latest_known=latest_known)

    def discard_incoming(self) -> None:
        """Stops relaying the chunks of the last fetch, once its delta is in force on this daemon or was refused."""
        if self._incoming is not None:
            self._chunk_relay.end(self._incoming)
            self._incoming = None

    def _verified_data(self, request: FetchBundle, chunk: BundleChunk) -> bytes | None:
        """Returns the uncompressed bytes of ``chunk``; None when it is not the requested chunk or is invalid."""
        if chunk.offset != request.offset or chunk.total > self._limits.max_fetch_bytes:
            return None
        data = decompress_chunk(chunk)
        return None if data is None or (not data and chunk.offset < chunk.total) else data

    def _store_chunk(self, since: BundleVersion, chunk: BundleChunk) -> None:
        if self._incoming is None:
            self._incoming = self._chunk_relay.start(since, chunk.to)
            self._chunk_relay.add(self._incoming, chunk)
            self._on_fetch_started(chunk.to)
        else:
            self._chunk_relay.add(self._incoming, chunk)

    # -- answering

    async def answer(
        self, request: FetchBundle, bundle: Bundle | None, chain: DeltaChain, primary: Address | None
    ) -> BundleChunk:
        """Answers a ``FetchBundle`` request from the bundle in force.

        When the requester needs a later version, it answers from the delta that is being received, and waits a
        limited time for the chunk.
        """
        held = BundleVersion(0) if bundle is None else bundle.version
        if request.accepts_compressed and max(request.latest_known, request.to) > held:
            timeout = self._limits.relay_next_chunk_wait if request.offset else self._limits.relay_first_chunk_wait
            relayed = await self._chunk_relay.wait_for_chunk(request, timeout)
            if relayed is not None:
                return relayed
            if not request.offset:
                return BundleChunk(False, held, alternative_source=primary, pending=True)
        if bundle is None:
            return BundleChunk(False, held, alternative_source=primary)
        delta = None
        if request.since < bundle.version and not (request.offset and self._chunks.holds(request.since, request.to)):
            delta = chain.since(request.since) or full_delta(bundle)
        return self._chunks.chunk(request, bundle.version, delta)
