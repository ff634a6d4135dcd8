"""Fetching deltas piece by piece from other daemons, and handing them on (docs/DESIGN.md section 9.2)."""

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
    """The source has nothing newer; ``alternative_source`` may have it."""

    alternative_source: Address | None
    pending: bool
    """The source is about to fetch it."""


class DeltaFetcher:
    """One fetch at a time; what comes in is given to other askers at once."""

    def __init__(
        self,
        clock: Clock,
        messenger: Messenger,
        limits: DistributionLimits,
        on_fetch_started: Callable[[BundleVersion], None],
    ) -> None:
        """``on_fetch_started`` is told the version of which the first piece has come."""
        self._clock = clock
        self._on_fetch_started = on_fetch_started
        self._messenger = messenger
        self._limits = limits
        self._chunk_relay = ChunkRelay(clock)
        self._incoming: IncomingDelta | None = None
        self._chunks = ChunkServer(limits.chunk_bytes, limits.first_chunk_bytes)

    # -- asking

    async def fetch_pending(
        self, source: Address, since: BundleVersion, latest_known: BundleVersion
    ) -> BundleDelta | NotAvailable | None:
        """As ``fetch``, but asks again while ``source`` says that it is about to fetch it too."""
        until = self._clock.monotonic() + self._limits.upstream_retry_limit
        while True:
            fetched = await self.fetch(source, since, latest_known)
            if not (isinstance(fetched, NotAvailable) and fetched.pending) or self._clock.monotonic() >= until:
                return fetched

    async def fetch(
        self, source: Address, since: BundleVersion, latest_known: BundleVersion
    ) -> BundleDelta | NotAvailable | None:
        """What ``source`` has newer than ``since``; None when it did not answer, or not to the end.

        Its pieces can be had here until ``discard_incoming``.
        """
        self.discard_incoming()
        asked = FetchBundle(since, accepts_compressed=True, latest_known=latest_known)
        chunks: list[bytes] = []
        while True:
            timeout = self._limits.next_chunk_timeout if chunks else self._limits.first_chunk_timeout
            outcome = await self._messenger.call(source, asked, BundleChunk, timeout)
            if not isinstance(outcome, Success):
                return None
            chunk: BundleChunk = outcome.unwrap()
            if not chunk.found:
                return NotAvailable(chunk.alternative_source, chunk.pending)
            piece = self._verified_data(asked, chunk)
            if piece is None:
                return None
            chunks.append(piece)
            self._store_chunk(since, chunk)
            reached = chunk.offset + len(piece)
            if reached >= chunk.total:
                return decode_delta(chunks)
            asked = FetchBundle(since, chunk.to, reached, accepts_compressed=True, latest_known=latest_known)

    def discard_incoming(self) -> None:
        """What was fetched last is in force here, or was refused."""
        if self._incoming is not None:
            self._chunk_relay.end(self._incoming)
            self._incoming = None

    def _verified_data(self, asked: FetchBundle, chunk: BundleChunk) -> bytes | None:
        """The chunk's piece, if it is the one asked for."""
        if chunk.offset != asked.offset or chunk.total > self._limits.max_fetch_bytes:
            return None
        piece = decompress_chunk(chunk)
        return None if piece is None or (not piece and chunk.offset < chunk.total) else piece

    def _store_chunk(self, since: BundleVersion, chunk: BundleChunk) -> None:
        if self._incoming is None:
            self._incoming = self._chunk_relay.start(since, chunk.to)
            self._chunk_relay.add(self._incoming, chunk)
            self._on_fetch_started(chunk.to)
        else:
            self._chunk_relay.add(self._incoming, chunk)

    # -- answering

    async def answer(
        self, asked: FetchBundle, bundle: Bundle | None, chain: DeltaChain, primary: Address | None
    ) -> BundleChunk:
        """From the bundle in force, or from what is coming in while that is not what the asker needs."""
        held = BundleVersion(0) if bundle is None else bundle.version
        if asked.accepts_compressed and max(asked.latest_known, asked.to) > held:
            within = self._limits.relay_next_chunk_wait if asked.offset else self._limits.relay_first_chunk_wait
            passed_on = await self._chunk_relay.piece(asked, within)
            if passed_on is not None:
                return passed_on
            if not asked.offset:
                return BundleChunk(False, held, alternative_source=primary, pending=True)
        if bundle is None:
            return BundleChunk(False, held, alternative_source=primary)
        delta = None
        if asked.since < bundle.version and not (asked.offset and self._chunks.holds(asked.since, asked.to)):
            delta = chain.since(asked.since) or full_delta(bundle)
        return self._chunks.chunk(asked, bundle.version, delta)
