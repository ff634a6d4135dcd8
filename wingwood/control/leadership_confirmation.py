"""Confirmation that no other daemon leads, needed by reads (docs/DESIGN.md section 7.2.7)."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from ..context.protocols import Context
from ..identifiers import Seconds
from .control_options import ControlOptions
from .leadership import Leadership
from .member_state import MemberState
from .messages import ControlConfirm, ControlConfirmed
from .own_leadership import OwnLeadership
from .peer_client import PeerClient
from .replica import Replica
from .store import ControlStore

RETRY_BACKOFF_S = Seconds(0.02)
"""Backoff before the next poll after one that confirmed nothing."""


class LeadershipConfirmation:
    """Collects requests for a confirmation of leadership and answers them together with one poll of the members.

    Owns the requests that wait for the next poll. A request that arrives during a poll waits for the next one,
    because the members may have answered before it arrived.
    """

    def __init__(
        self,
        context: Context,
        options: ControlOptions,
        peers: PeerClient,
        store: ControlStore,
        replica: Replica,
        state: MemberState,
        leadership: OwnLeadership,
    ) -> None:
        self._context = context
        self._timeout = options.confirmation_timeout
        self._peers = peers
        self._store = store
        self._replica = replica
        self._leadership = leadership
        self._own_incarnation = state.own.incarnation
        self._requests: list[asyncio.Future[bool]] = []
        self._requested = asyncio.Event()

    async def confirm(self) -> bool:
        """Whether a majority confirmed, in an exchange started after this call, that no other daemon leads."""
        if self._leadership.current is None:
            return False
        request: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._requests.append(request)
        self._requested.set()
        try:
            async with asyncio.timeout(self._timeout):
                return await request
        except TimeoutError:
            return False

    async def run(self) -> None:
        """Runs the polls; each answers the requests made before it started."""
        while True:
            await self._requested.wait()
            self._requested.clear()
            requests, self._requests = self._requests, []
            requests = [request for request in requests if not request.done()]
            if requests:
                await self._answer(requests)

    async def _answer(self, requests: list[asyncio.Future[bool]]) -> None:
        leadership = self._leadership.current
        if leadership is not None and await self.majority_confirms(leadership):
            _resolve_all(requests, True)
        elif self._leadership.current is None:
            _resolve_all(requests, False)
        else:
            await self._context.clock.sleep(RETRY_BACKOFF_S)
            self._requests = requests + self._requests
            self._requested.set()

    async def majority_confirms(self, leadership: Leadership) -> bool:
        """Returns whether a majority, counting us, confirmed that it has prepared nothing above our epoch."""
        view = leadership.view
        if not leadership.commit_known or self._store.prepared.epoch != view.epoch:
            return False

        def confirmed(answers: list[ControlConfirmed]) -> bool:
            return view.majority({self._own_incarnation, *(answer.by for answer in answers if answer.confirmed)})

        calls = [
            self._peers.ask(member, ControlConfirm(member.incarnation, view.epoch), ControlConfirmed)
            for member in view.others(self._own_incarnation)
        ]
        answers = await self._peers.gather(calls, confirmed)
        unchanged = self._leadership.current is leadership and leadership.view is view
        return confirmed(answers) and unchanged and not self._replica.needs_load


def _resolve_all(requests: Sequence[asyncio.Future[bool]], confirmed: bool) -> None:
    for request in requests:
        if not request.done():
            request.set_result(confirmed)
