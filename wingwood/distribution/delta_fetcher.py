"""Fetches one delta chunk by chunk from another daemon (docs/DESIGN.md section 9.2)."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from returns.result import Success

from ..bundle.model import BundleDelta
from ..context.protocols import Clock
from ..identifiers import Address, BundleVersion
from ..transport.messenger import Messenger
from .chunk_relay import ChunkRelay, IncomingDelta
from .chunk_server import decode_delta, decompress_chunk
from .distribution_options import DistributionOptions
from .messages import BundleChunk, FetchBundle


class NotAvailable(msgspec.Struct, frozen=True):
    """The result of a fetch whose source has nothing newer; ``alternative_source`` may have it."""

    alternative_source: Address | None
    pending: bool
    """True when the source is about to fetch the delta itself."""


class DeltaFetcher:
    """Runs one fetch at a time and hands received chunks to a ``ChunkRelay`` at once."""

    def __init__(
        self,
        clock: Clock,
        messenger: Messenger,
        options: DistributionOptions,
        chunk_relay: ChunkRelay,
        on_fetch_started: Callable[[BundleVersion], None],
    ) -> None:
        """``on_fetch_started`` is called with the version of a delta when its first chunk has been received."""
        self._clock = clock
        self._messenger = messenger
        self._options = options
        self._chunk_relay = chunk_relay
        self._on_fetch_started = on_fetch_started
        self._incoming: IncomingDelta | None = None

    async def fetch_pending(
        self, source: Address, since: BundleVersion, latest_known: BundleVersion
    ) -> BundleDelta | NotAvailable | None:
        """Does the same as ``fetch``, but retries while ``source`` replies that it is about to fetch the delta too.

        Retries end after ``upstream_retry_limit`` seconds; the last result is returned.
        """
        deadline = self._clock.monotonic() + self._options.upstream_retry_limit
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
            timeout = self._options.next_chunk_timeout if chunks else self._options.first_chunk_timeout
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
        """Stops relaying the chunks of the last fetch, once its delta is applied on this daemon or was rejected."""
        if self._incoming is not None:
            self._chunk_relay.end(self._incoming)
            self._incoming = None

    def _verified_data(self, request: FetchBundle, chunk: BundleChunk) -> bytes | None:
        """Returns the uncompressed bytes of ``chunk``; None when it is not the requested chunk or is invalid."""
        if chunk.offset != request.offset or chunk.total > self._options.max_fetch_bytes:
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
