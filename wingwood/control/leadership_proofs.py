"""Proofs that no other daemon leads, needed by reads (docs/DESIGN.md section 7.2.7)."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from ..identifiers import Seconds
from .leadership import Leadership
from .member import Member, MemberSetup
from .messages import ControlConfirm, ControlConfirmed

RETRY_BACKOFF_S = Seconds(0.02)
"""Pause before the next round after one that proved nothing."""


class LeadershipProofs(Member):
    """Collects requests for a proof of leadership and serves them together with one round of questions."""

    def __init__(self, setup: MemberSetup) -> None:
        super().__init__(setup)
        self._proofs: list[asyncio.Future[bool]] = []
        """Requests that wait for the next round."""
        self._proof_asked = asyncio.Event()

    async def confirm_leadership(self) -> bool:
        if self._leadership is None:
            return False
        asked: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._proofs.append(asked)
        self._proof_asked.set()
        try:
            async with asyncio.timeout(self._options.confirmation_timeout):
                return await asked
        except TimeoutError:
            return False

    async def _run_proofs(self) -> None:
        """Runs the rounds; each serves the requests made before it started."""
        while True:
            await self._proof_asked.wait()
            self._proof_asked.clear()
            asked, self._proofs = self._proofs, []
            asked = [one for one in asked if not one.done()]
            if asked:
                await self._serve(asked)

    async def _serve(self, asked: list[asyncio.Future[bool]]) -> None:
        leadership = self._leadership
        if leadership is not None and await self._proof_round(leadership):
            _resolve_all(asked, True)
        elif self._leadership is None:
            _resolve_all(asked, False)
        else:
            await self._context.clock.sleep(RETRY_BACKOFF_S)
            self._proofs = asked + self._proofs
            self._proof_asked.set()

    async def _proof_round(self, leadership: Leadership) -> bool:
        """Returns whether a majority, counting us, confirmed that it has promised nothing above our epoch."""
        view = leadership.view
        if not leadership.commit_known or self._store.prepared.epoch != view.epoch:
            return False

        def confirmed(answers: list[ControlConfirmed]) -> bool:
            return view.majority({self._own_incarnation, *(answer.by for answer in answers if answer.confirmed)})

        work = [
            self._ask(member, ControlConfirm(member.incarnation, view.epoch), ControlConfirmed)
            for member in self._other_members(view)
        ]
        answers = await self._gather(work, confirmed, self._options.call_timeout)
        return confirmed(answers) and self._leadership is leadership and leadership.view is view and not self._stale


def _resolve_all(asked: Sequence[asyncio.Future[bool]], proved: bool) -> None:
    for one in asked:
        if not one.done():
            one.set_result(proved)
