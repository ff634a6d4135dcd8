"""Exchange of control daemons' addresses, which every daemon answers (docs/DESIGN.md section 8.4)."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from returns.result import Success

from ..identifiers import Address, Seconds
from ..transport.frames import Identity
from ..transport.messenger import Messenger
from .member_view import MemberView
from .messages import KnownControls, KnownControlsRequest
from .observed_versions import ObservedVersions

MAX_PEERS_PER_ANSWER = 8


async def request_known_controls(messenger: Messenger, address: Address, timeout_s: Seconds) -> KnownControls | None:
    """Asks the daemon at the address for control daemons; returns None if it does not answer in time."""
    outcome = await messenger.call(address, KnownControlsRequest(), KnownControls, timeout_s)
    return outcome.unwrap() if isinstance(outcome, Success) else None


class KnownControlsResponder:
    """Answers ``KnownControlsRequest`` with the known control daemons and with routers that may know others."""

    def __init__(
        self,
        messenger: Messenger,
        view: MemberView,
        controls: Callable[[], Sequence[Address]],
        versions: Callable[[], ObservedVersions],
    ) -> None:
        self._view = view
        self._controls = controls
        self._versions = versions
        messenger.on_call(KnownControlsRequest, self._on_request)

    async def _on_request(self, peer: Identity, _request: KnownControlsRequest) -> KnownControls:
        versions = self._versions()
        peers = [member.internal for member in self._view.routers() if member.incarnation != peer.incarnation]
        return KnownControls(
            tuple(self._controls()), tuple(peers[:MAX_PEERS_PER_ANSWER]), versions.epoch, versions.version
        )
