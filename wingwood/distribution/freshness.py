"""Proves which bundle version is the latest, by question and answer (docs/DESIGN.md section 9.3)."""

from __future__ import annotations

import asyncio

from returns.result import Success

from ..context.protocols import Context, Task
from ..control.protocols import BundleSource, ControlCore
from ..identifiers import Address, BundleVersion, Instant, Seconds
from ..membership.messages import ClusterUpdate
from ..membership.protocols import Membership
from ..transport.frames import Identity
from ..transport.messenger import Messenger
from .limits import DistributionLimits
from .messages import BundleAnnounced, LatestVersionProof, LatestVersionRequest

MAX_CONTROLS_ASKED = 3
"""The number of other control daemons that are asked for a proof, besides the primary."""


class FreshnessProver:
    """Obtains proofs of the latest version from the primary at a fixed interval, and answers requests for them.

    It runs on each control daemon. On the primary the proof is a round in which the core confirms that this daemon is
    still primary.
    """

    def __init__(
        self,
        context: Context,
        messenger: Messenger,
        core: ControlCore,
        source: BundleSource,
        membership: Membership,
        limits: DistributionLimits,
    ) -> None:
        self._context = context
        self._messenger = messenger
        self._core = core
        self._source = source
        self._membership = membership
        self._limits = limits
        self._proven_at: Instant | None = None
        """The instant of the own clock just before the request whose answer was ``_proven_version``."""
        self._proven_version = BundleVersion(0)
        self._announced_version = BundleVersion(0)
        """The latest version that a control daemon has announced as durable."""
        self._current_round: asyncio.Future[bool] | None = None
        self._next_round: asyncio.Future[bool] | None = None
        """The round that starts after the current one; calls of ``prove`` wait for its result."""
        self._task: Task | None = None
        messenger.on_call(LatestVersionRequest, self._on_latest_version_request)
        messenger.on_post(BundleAnnounced, self._on_announced)

    def start(self) -> None:
        self._task = self._context.tasks.spawn("freshness proof", self._run_proof_loop())

    def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()

    def membership_update(self) -> ClusterUpdate:
        """Returns the content for heartbeat answers; the age of the proof is computed at this instant."""
        age = None
        if self._proven_at is not None:
            age = Seconds(self._context.clock.monotonic() - self._proven_at)
        return ClusterUpdate(
            epoch=self._core.epoch(),
            primary=self._core.primary_address(),
            latest_version=max(self._announced_version, self._proven_version, self._own_latest_version()),
            confirmed_version=self._proven_version,
            confirmation_age=age,
        )

    def _own_latest_version(self) -> BundleVersion:
        manifest = self._source.latest()
        return BundleVersion(0) if manifest is None else manifest.version

    def _on_announced(self, peer: Identity, message: BundleAnnounced) -> None:
        if peer.role == "control":
            self._announced_version = max(self._announced_version, message.version)

    # -- obtaining proofs

    async def _run_proof_loop(self) -> None:
        clock = self._context.clock
        while True:
            asked_at = clock.monotonic()
            proof = await self._request_proof()
            if proof is not None:
                self._record_proof(*proof)
            wait = self._limits.proof_interval if proof is not None else self._limits.proof_retry_interval
            pause = asked_at + wait * (0.9 + 0.2 * self._context.random.random()) - clock.monotonic()
            await clock.sleep(Seconds(max(0.05, pause)))

    def _record_proof(self, proven: Instant, version: BundleVersion) -> None:
        if self._proven_at is not None and proven <= self._proven_at:
            return
        if version < self._proven_version:
            self._context.log.event("newest-went-back", told=version, known=self._proven_version)
            return
        self._proven_at, self._proven_version = proven, version

    async def _request_proof(self) -> tuple[Instant, BundleVersion] | None:
        """Returns a proof as the instant at which it held and the version; None when nobody gave one.

        The primary is asked first; its proof has age 0. When it gives none, other control daemons that may have asked
        it are asked: the age of their proof is subtracted from the instant before the request, and the latest counts.
        """
        clock = self._context.clock
        if self._core.leads():
            asked_at = clock.monotonic()
            return (asked_at, self._own_latest_version()) if await self.prove() else None
        latest_proof: tuple[Instant, BundleVersion] | None = None
        for address in self._sources():
            asked_at = clock.monotonic()
            outcome = await self._messenger.call(
                address, LatestVersionRequest(), LatestVersionProof, self._limits.proof_timeout
            )
            if not isinstance(outcome, Success):
                continue
            answer: LatestVersionProof = outcome.unwrap()
            if answer.proven and (latest_proof is None or asked_at - answer.age > latest_proof[0]):
                latest_proof = Instant(asked_at - answer.age), answer.version
            if answer.proven and not answer.age:
                break
        return latest_proof

    def _sources(self) -> list[Address]:
        own = self._messenger.identity.internal
        primary = self._core.primary_address()
        others = [control.internal for control in self._membership.controls()]
        if len(others) > MAX_CONTROLS_ASKED:
            others = self._context.random.sample(others, MAX_CONTROLS_ASKED)
        candidates = dict.fromkeys(address for address in (primary, *others) if address is not None)
        return [address for address in candidates if address != own]

    # -- answering requests

    async def _on_latest_version_request(self, peer: Identity, message: LatestVersionRequest) -> LatestVersionProof:
        primary = self._core.primary_address()
        if await self.prove():
            return LatestVersionProof(True, self._own_latest_version(), Seconds(0.0), primary)
        if self._proven_at is None:
            return LatestVersionProof(False, BundleVersion(0), Seconds(0.0), primary)
        age = Seconds(max(1e-6, self._context.clock.monotonic() - self._proven_at))
        return LatestVersionProof(True, self._proven_version, age, primary)

    async def prove(self) -> bool:
        """Returns whether this daemon was primary at some instant after this call; many callers share one round.

        A round that is in progress may have started before this call, so a caller waits for the next one.
        """
        if not self._core.leads():
            return False
        if self._next_round is not None:
            return await asyncio.shield(self._next_round)
        self._next_round = waiting = asyncio.get_running_loop().create_future()
        if self._current_round is None:
            self._context.tasks.spawn("proof of lead", self._run_rounds())
        return await asyncio.shield(waiting)

    async def _run_rounds(self) -> None:
        while self._next_round is not None:
            self._current_round, self._next_round = self._next_round, None
            proven = False
            try:
                async with asyncio.timeout(self._limits.proof_timeout):
                    proven = await self._core.confirm_leadership() and self._core.leads()
            except TimeoutError:
                pass
            self._current_round.set_result(proven)
        self._current_round = None
