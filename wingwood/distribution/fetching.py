"""Fetching deltas piece by piece from other daemons, and handing them on (docs/DESIGN.md section 9.2)."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from returns.result import Success

from ..bundle.model import Bundle, BundleDelta
from ..context.protocols import Clock
from ..identifiers import Address, BundleVersion
from ..transport.messenger import Messenger
from .deltas import ChunkServer, DeltaChain, decode_delta, unpacked, whole
from .limits import DistributionLimits
from .messages import BundleChunk, FetchBundle
from .passing_on import IncomingDelta, PassingOn


class NotHere(msgspec.Struct, frozen=True):
    """The source has nothing newer; ``ask`` may have it."""

    ask: Address | None
    coming: bool
    """The source is about to fetch it."""


class DeltaFetcher:
    """One fetch at a time; what comes in is given to other askers at once."""

    def __init__(
        self,
        clock: Clock,
        messenger: Messenger,
        limits: DistributionLimits,
        on_begin: Callable[[BundleVersion], None],
    ) -> None:
        """``on_begin`` is told the version of which the first piece has come."""
        self._clock = clock
        self._on_begin = on_begin
        self._messenger = messenger
        self._limits = limits
        self._passing_on = PassingOn(clock)
        self._incoming: IncomingDelta | None = None
        self._chunks = ChunkServer(limits.chunk_bytes, limits.first_chunk_bytes)

    # -- asking

    async def fetch_coming(
        self, source: Address, since: BundleVersion, wanted: BundleVersion
    ) -> BundleDelta | NotHere | None:
        """As ``fetch``, but asks again while ``source`` says that it is about to fetch it too."""
        until = self._clock.monotonic() + self._limits.upstream_wait
        while True:
            fetched = await self.fetch(source, since, wanted)
            if not (isinstance(fetched, NotHere) and fetched.coming) or self._clock.monotonic() >= until:
                return fetched

    async def fetch(self, source: Address, since: BundleVersion, wanted: BundleVersion) -> BundleDelta | NotHere | None:
        """What ``source`` has newer than ``since``; None when it did not answer, or not to the end.

        Its pieces can be had here until ``settled``.
        """
        self.settled()
        asked = FetchBundle(since, unpacks=True, wanted=wanted)
        pieces: list[bytes] = []
        while True:
            patience = self._limits.fetch_more if pieces else self._limits.fetch
            outcome = await self._messenger.call(source, asked, BundleChunk, patience)
            if not isinstance(outcome, Success):
                return None
            chunk: BundleChunk = outcome.unwrap()
            if not chunk.found:
                return NotHere(chunk.ask, chunk.coming)
            piece = self._checked(asked, chunk)
            if piece is None:
                return None
            pieces.append(piece)
            self._pass_on(since, chunk)
            reached = chunk.offset + len(piece)
            if reached >= chunk.total:
                return decode_delta(pieces)
            asked = FetchBundle(since, chunk.to, reached, unpacks=True, wanted=wanted)

    def settled(self) -> None:
        """What was fetched last is in force here, or was refused."""
        if self._incoming is not None:
            self._passing_on.end(self._incoming)
            self._incoming = None

    def _checked(self, asked: FetchBundle, chunk: BundleChunk) -> bytes | None:
        """The chunk's piece, if it is the one asked for."""
        if chunk.offset != asked.offset or chunk.total > self._limits.bundle_bytes:
            return None
        piece = unpacked(chunk)
        return None if piece is None or (not piece and chunk.offset < chunk.total) else piece

    def _pass_on(self, since: BundleVersion, chunk: BundleChunk) -> None:
        if self._incoming is None:
            self._incoming = self._passing_on.begin(since, chunk.to)
            self._passing_on.add(self._incoming, chunk)
            self._on_begin(chunk.to)
        else:
            self._passing_on.add(self._incoming, chunk)

    # -- answering

    async def answer(
        self, asked: FetchBundle, bundle: Bundle | None, chain: DeltaChain, primary: Address | None
    ) -> BundleChunk:
        """From the bundle in force, or from what is coming in while that is not what the asker needs."""
        held = BundleVersion(0) if bundle is None else bundle.version
        if asked.unpacks and max(asked.wanted, asked.to) > held:
            within = self._limits.pass_more if asked.offset else self._limits.pass_first
            passed_on = await self._passing_on.piece(asked, within)
            if passed_on is not None:
                return passed_on
            if not asked.offset:
                return BundleChunk(False, held, ask=primary, coming=True)
        if bundle is None:
            return BundleChunk(False, held, ask=primary)
        delta = None
        if asked.since < bundle.version and not (asked.offset and self._chunks.holds(asked.since, asked.to)):
            delta = chain.since(asked.since) or whole(bundle)
        return self._chunks.chunk(asked, bundle.version, delta)
