"""Confirms which bundle version is the latest, by request and reply (docs/DESIGN.md section 9.3)."""

from __future__ import annotations

import asyncio

import msgspec
from returns.result import Success

from ..context.protocols import Context, Task
from ..control.protocols import BundleSource, ControlCore
from ..identifiers import Address, BundleVersion, Instant, Seconds
from ..membership.messages import ClusterUpdate
from ..membership.protocols import Membership
from ..transport.frames import Identity
from ..transport.messenger import Messenger
from .distribution_options import DistributionOptions
from .messages import BundleAnnounced, LatestVersionReply, LatestVersionRequest

MAX_CONTROLS_ASKED = 3
"""The number of other control daemons that are asked for a confirmation, besides the primary."""


MIN_REQUEST_INTERVAL_S = Seconds(0.05)
"""The least time between the end of one request for a confirmation and the start of the next."""


class _Confirmation(msgspec.Struct, frozen=True):
    """The knowledge that ``version`` was the latest one at ``confirmed_at`` of the own clock."""

    confirmed_at: Instant
    version: BundleVersion


class FreshnessConfirmer:
    """Obtains confirmations of the latest version from the primary at a fixed interval, and answers requests for them.

    It runs on each control daemon and owns the latest confirmation. On the primary the confirmation is a poll in which
    the core confirms that this daemon still leads; concurrent requests share polls.
    """

    def __init__(
        self,
        context: Context,
        messenger: Messenger,
        core: ControlCore,
        source: BundleSource,
        membership: Membership,
        options: DistributionOptions | None = None,
    ) -> None:
        self._context = context
        self._messenger = messenger
        self._core = core
        self._source = source
        self._membership = membership
        self._options = options or DistributionOptions()
        self._confirmed_at: Instant | None = None
        """The instant of the own clock just before the request whose answer was ``_confirmed_version``."""
        self._confirmed_version = BundleVersion(0)
        self._announced_version = BundleVersion(0)
        """The latest version that a control daemon has announced as durable."""
        self._current_poll: asyncio.Future[bool] | None = None
        self._next_poll: asyncio.Future[bool] | None = None
        """The poll that starts after the current one; calls of ``confirm_leadership`` wait for its result."""
        self._task: Task | None = None
        messenger.on_call(LatestVersionRequest, self._on_latest_version_request)
        messenger.on_post(BundleAnnounced, self._on_announced)

    def start(self) -> None:
        """Starts the loop that obtains confirmations; ``stop`` ends it."""
        self._task = self._context.tasks.spawn("freshness confirmation", self._confirm_forever())

    def stop(self) -> None:
        """Ends the loop; the last confirmation stays and ages."""
        if self._task is not None:
            self._task.cancel()

    def membership_update(self) -> ClusterUpdate:
        """Returns the content for heartbeat answers; the age of the confirmation is computed at this instant."""
        age = None
        if self._confirmed_at is not None:
            age = Seconds(self._context.clock.monotonic() - self._confirmed_at)
        return ClusterUpdate(
            epoch=self._core.epoch(),
            primary=self._core.primary_address(),
            latest_version=max(self._announced_version, self._confirmed_version, self._own_latest_version()),
            confirmed_version=self._confirmed_version,
            confirmation_age=age,
        )

    def _own_latest_version(self) -> BundleVersion:
        manifest = self._source.latest()
        return BundleVersion(0) if manifest is None else manifest.version

    def _on_announced(self, peer: Identity, message: BundleAnnounced) -> None:
        if peer.role == "control":
            self._announced_version = max(self._announced_version, message.version)

    # -- obtaining confirmations

    async def _confirm_forever(self) -> None:
        clock = self._context.clock
        while True:
            asked_at = clock.monotonic()
            confirmation = await self._request_confirmation()
            if confirmation is None:
                interval = self._options.confirmation_retry_interval
            else:
                self._record(confirmation)
                interval = self._options.confirmation_interval
            remaining = asked_at + interval * (0.9 + 0.2 * self._context.random.random()) - clock.monotonic()
            await clock.sleep(Seconds(max(MIN_REQUEST_INTERVAL_S, remaining)))

    def _record(self, confirmation: _Confirmation) -> None:
        if self._confirmed_at is not None and confirmation.confirmed_at <= self._confirmed_at:
            return
        if confirmation.version < self._confirmed_version:
            self._context.log.event(
                "latest-version-regressed", reported=confirmation.version, confirmed=self._confirmed_version
            )
            return
        self._confirmed_at, self._confirmed_version = confirmation.confirmed_at, confirmation.version

    async def _request_confirmation(self) -> _Confirmation | None:
        """Returns the latest confirmation that another daemon or the own core gave; None when nobody gave one.

        The primary is asked first; its confirmation has age 0. When it gives none, other control daemons that may have
        asked it are asked: the age of their confirmation is subtracted from the instant before the request.
        """
        clock = self._context.clock
        if self._core.leads():
            asked_at = clock.monotonic()
            return _Confirmation(asked_at, self._own_latest_version()) if await self.confirm_leadership() else None
        latest: _Confirmation | None = None
        for address in self._sources():
            asked_at = clock.monotonic()
            outcome = await self._messenger.call(
                address, LatestVersionRequest(), LatestVersionReply, self._options.confirmation_timeout
            )
            if not isinstance(outcome, Success):
                continue
            reply: LatestVersionReply = outcome.unwrap()
            if not reply.confirmed:
                continue
            confirmed_at = Instant(asked_at - reply.age)
            if latest is None or confirmed_at > latest.confirmed_at:
                latest = _Confirmation(confirmed_at, reply.version)
            if not reply.age:
                break
        return latest

    def _sources(self) -> list[Address]:
        own = self._messenger.identity.internal
        primary = self._core.primary_address()
        others = [control.internal for control in self._membership.controls()]
        if len(others) > MAX_CONTROLS_ASKED:
            others = self._context.random.sample(others, MAX_CONTROLS_ASKED)
        candidates = dict.fromkeys(address for address in (primary, *others) if address is not None)
        return [address for address in candidates if address != own]

    # -- answering requests

    async def _on_latest_version_request(self, _peer: Identity, _message: LatestVersionRequest) -> LatestVersionReply:
        primary = self._core.primary_address()
        if await self.confirm_leadership():
            return LatestVersionReply(True, self._own_latest_version(), Seconds(0.0), primary)
        if self._confirmed_at is None:
            return LatestVersionReply(False, BundleVersion(0), Seconds(0.0), primary)
        age = Seconds(max(1e-6, self._context.clock.monotonic() - self._confirmed_at))
        return LatestVersionReply(True, self._confirmed_version, age, primary)

    async def confirm_leadership(self) -> bool:
        """Returns whether this daemon was primary at some instant after this call; many callers share one poll.

        A poll that is in progress may have started before this call, so a caller waits for the next one.
        """
        if not self._core.leads():
            return False
        if self._next_poll is not None:
            return await asyncio.shield(self._next_poll)
        self._next_poll = waiting = asyncio.get_running_loop().create_future()
        if self._current_poll is None:
            self._context.tasks.spawn("leadership confirmation", self._run_polls())
        return await asyncio.shield(waiting)

    async def _run_polls(self) -> None:
        while self._next_poll is not None:
            self._current_poll, self._next_poll = self._next_poll, None
            confirmed = False
            try:
                async with asyncio.timeout(self._options.confirmation_timeout):
                    confirmed = await self._core.confirm_leadership() and self._core.leads()
            except TimeoutError:
                pass
            self._current_poll.set_result(confirmed)
        self._current_poll = None
