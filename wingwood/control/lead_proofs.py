"""Proofs that nobody else leads, for reads (docs/DESIGN.md section 7.2.7)."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from ..identifiers import Seconds
from .lead import Lead
from .member import Member, MemberSetup
from .messages import ControlConfirm, ControlConfirmed

RETRY_PAUSE = Seconds(0.02)
"""Before the next round when one has proved nothing."""


class LeadProofs(Member):
    """Collects those who ask for a proof, and asks the other members for all of them at once."""

    def __init__(self, setup: MemberSetup) -> None:
        super().__init__(setup)
        self._proofs: list[asyncio.Future[bool]] = []
        """Who waits for the next round."""
        self._proof_asked = asyncio.Event()

    async def prove_lead(self) -> bool:
        if self._lead is None:
            return False
        asked: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._proofs.append(asked)
        self._proof_asked.set()
        try:
            async with asyncio.timeout(self._limits.proof):
                return await asked
        except TimeoutError:
            return False

    async def _run_proofs(self) -> None:
        """Each round serves who asked before it began."""
        while True:
            await self._proof_asked.wait()
            self._proof_asked.clear()
            asked, self._proofs = self._proofs, []
            asked = [one for one in asked if not one.done()]
            if asked:
                await self._serve(asked)

    async def _serve(self, asked: list[asyncio.Future[bool]]) -> None:
        lead = self._lead
        if lead is not None and await self._proof_round(lead):
            _resolve_all(asked, True)
        elif self._lead is None:
            _resolve_all(asked, False)
        else:
            await self._context.clock.sleep(RETRY_PAUSE)
            self._proofs = asked + self._proofs
            self._proof_asked.set()

    async def _proof_round(self, lead: Lead) -> bool:
        """A majority, counting us, has promised nothing above our epoch."""
        view = lead.view
        if not lead.settled or self._store.promise.epoch != view.epoch:
            return False

        def confirmed(answers: list[ControlConfirmed]) -> bool:
            return view.majority({self._me, *(answer.by for answer in answers if answer.holds)})

        work = [
            self._ask(seat, ControlConfirm(seat.incarnation, view.epoch), ControlConfirmed)
            for seat in self._others(view)
        ]
        answers = await self._gather(work, confirmed, self._limits.call)
        return confirmed(answers) and self._lead is lead and lead.view is view and not self._stale


def _resolve_all(asked: Sequence[asyncio.Future[bool]], proved: bool) -> None:
    for one in asked:
        if not one.done():
            one.set_result(proved)
