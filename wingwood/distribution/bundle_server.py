"""Serves bundles from a router to other daemons (docs/DESIGN.md section 9.2)."""

from __future__ import annotations

from ..membership.client import MembershipClient
from ..transport.frames import Identity
from ..transport.messenger import Messenger
from .applied_bundle import AppliedBundle
from .chunk_relay import ChunkRelay
from .chunk_server import ChunkServer
from .deltas import full_delta
from .distribution_options import DistributionOptions
from .messages import BundleChunk, FetchBundle
from .version_target import VersionTarget


class BundleServer:
    """Answers ``FetchBundle`` on a router, from the applied bundle or from the delta that is being received."""

    def __init__(
        self,
        messenger: Messenger,
        membership: MembershipClient,
        applied: AppliedBundle,
        target: VersionTarget,
        chunk_relay: ChunkRelay,
        options: DistributionOptions,
    ) -> None:
        self._membership = membership
        self._applied = applied
        self._target = target
        self._chunk_relay = chunk_relay
        self._options = options
        self._chunks = ChunkServer(options.chunk_bytes, options.first_chunk_bytes)
        messenger.on_call(FetchBundle, self._on_fetch)

    async def _on_fetch(self, _peer: Identity, request: FetchBundle) -> BundleChunk:
        """Waits a limited time for the chunk when the requester needs a later version than the applied one."""
        self._target.raise_to(request.latest_known)
        bundle = self._applied.current()
        version = self._applied.version()
        primary = self._membership.primary_address()
        if request.accepts_compressed and max(request.latest_known, request.to) > version:
            relayed = await self._relayed_chunk(request)
            if relayed is not None:
                return relayed
            if not request.offset:
                return BundleChunk(False, version, alternative_source=primary, pending=True)
        if bundle is None:
            return BundleChunk(False, version, alternative_source=primary)
        delta = None
        is_encoded = request.offset and self._chunks.has_encoded(request.since, request.to)
        if request.since < bundle.version and not is_encoded:
            delta = self._applied.delta_since(request.since) or full_delta(bundle)
        return self._chunks.chunk(request, bundle.version, delta)

    async def _relayed_chunk(self, request: FetchBundle) -> BundleChunk | None:
        timeout = self._options.relay_next_chunk_wait if request.offset else self._options.relay_first_chunk_wait
        return await self._chunk_relay.wait_for_chunk(request, timeout)
