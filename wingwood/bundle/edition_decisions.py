"""Decides orders with the operator's own edition numbers, which control daemons sign (docs/DESIGN.md section 5.4)."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from returns.result import Failure, Success

from ..identifiers import OrderId, WallTime
from .editions import edition_fingerprint, signed_steps
from .gradual import Steps, at_once, gradually_while
from .model import Bundle, EditionChange, EditionStatus, OrderOutcome
from .order_checks import SizeLimit, order_id_refusal
from .parse import CheckedBundle
from .state_records import DecidedOrder, RecordedOutcome
from .stored_bundles import StoredBundles

MAX_PREPARED_EDITIONS = 4
"""Largest number of prepared editions; each of them may hold all slices of a bundle."""


class PreparedEdition(msgspec.Struct, frozen=True):
    """An edition that was checked, and signed if it is valid, before it is decided."""

    base: Bundle
    """The bundle to which the change was applied."""
    checked: CheckedBundle


class EditionDecisions:
    """Records only accepted orders. A refusal reports the present state, and the same order may be sent again later.

    It owns the prepared editions, which are on this daemon only and no part of the replicated state. ``signing_key``
    signs editions; when it is None, they are refused. ``wall_clock`` gives the time of signing.
    """

    def __init__(
        self,
        stored: StoredBundles,
        signing_key: Ed25519PrivateKey | None,
        size_limit: SizeLimit,
        wall_clock: Callable[[], WallTime],
    ) -> None:
        self._stored = stored
        self._signing_key = signing_key
        self._size_limit = size_limit
        self._wall_clock = wall_clock
        self._prepared: dict[bytes, PreparedEdition] = {}
        """Prepared editions by fingerprint, the oldest first."""
        self._preparing = asyncio.Lock()
        """Locked while an order is prepared, so that several orders at once need no more memory and time than one."""

    def discard_prepared(self) -> None:
        """Discards all prepared editions, because another version than the one they were made for is the latest."""
        self._prepared.clear()

    def status(self, order: OrderId) -> EditionStatus:
        """Returns the latest edition, and the outcome of the order if it was accepted."""
        decided = self._stored.decided_order(order)
        accepted = decided is not None and decided.outcome == "accepted"
        return EditionStatus(
            number=self._stored.edition_number(),
            version=self._stored.version,
            outcome=decided.as_outcome() if decided is not None and accepted else None,
        )

    def decide(self, change: EditionChange) -> tuple[bytes | None, OrderOutcome]:
        """Decides an edition order; returns the record, or None when there is nothing to record, and the outcome."""
        order_fingerprint = edition_fingerprint(change)
        decided = self._stored.decided_order(change.order)
        if decided is not None and decided.fingerprint == order_fingerprint:
            return None, msgspec.structs.replace(decided.as_outcome(), edition=change.number)
        current = self._stored.edition_number()
        if decided is None and change.base != current:
            reason = f"base is {change.base}, but edition {current} is the newest: read it and build on it"
            return None, self._edition_refusal(change, "conflict", reason)
        refusal = self._precheck_refusal(change, decided, current)
        if refusal is not None:
            return None, self._edition_refusal(change, "invalid", refusal)
        base = self._stored.latest_bundle()
        match self._check(base, change, order_fingerprint):
            case Success(bundle):
                return self._decide_checked(base, bundle, change, order_fingerprint)
            case Failure(error):
                return None, self._edition_refusal(change, "invalid", str(error))
        raise AssertionError("a result is a success or a failure")

    def _decide_checked(
        self, base: Bundle, bundle: Bundle, change: EditionChange, order_fingerprint: bytes
    ) -> tuple[bytes | None, OrderOutcome]:
        """Decides an order whose resulting bundle is valid and signed."""
        refusal = self._size_limit.bundle_refusal(bundle.slices)
        if refusal is not None:
            return None, self._edition_refusal(change, "invalid", refusal)
        outcome = OrderOutcome(order=change.order, outcome="accepted", version=bundle.version, edition=change.number)
        return self._stored.acceptance_record(base, bundle, order_fingerprint), outcome

    def _check(self, base: Bundle, change: EditionChange, order_fingerprint: bytes) -> CheckedBundle:
        """Returns the prepared result if it was made for this bundle, else checks and signs the change now."""
        prepared = self._prepared.get(order_fingerprint)
        if prepared is not None and prepared.base is base:
            return prepared.checked
        return at_once(self._edition_steps(base, change))

    def _edition_steps(self, base: Bundle, change: EditionChange) -> Steps[CheckedBundle]:
        assert self._signing_key is not None, "an order without a key to sign it is refused"
        return signed_steps(base, change, self._signing_key, self._wall_clock)

    def _precheck_refusal(self, change: EditionChange, decided: DecidedOrder | None, current: int) -> str | None:
        """Returns the reason for refusing an order without looking into its slices; None when there is none."""
        if self._signing_key is None:
            return "this fleet takes signed orders only: control has no signing_key in its settings"
        if decided is not None:
            return f"order {change.order} was used before with other content; make a new order id"
        refusal = order_id_refusal(change.order)
        if refusal is not None:
            return refusal
        if change.number <= current:
            return f"number is {change.number}: it must be above {current}, the newest edition"
        return self._size_limit.order_refusal(change.changed)

    def _edition_refusal(self, change: EditionChange, outcome: RecordedOutcome, reason: str) -> OrderOutcome:
        return OrderOutcome(
            order=change.order,
            outcome=outcome,
            version=self._stored.version,
            reason=reason,
            edition=self._stored.edition_number(),
        )

    # preparation

    async def prepare(self, change: EditionChange) -> None:
        """Checks and signs an edition in advance, in steps, so that ``decide`` does not block other tasks for long.

        The result is used only if no other version was applied since.
        """
        order_fingerprint = edition_fingerprint(change)
        async with self._preparing:
            if self._should_prepare(change, order_fingerprint):
                await self._prepare(change, order_fingerprint)

    def _should_prepare(self, change: EditionChange, order_fingerprint: bytes) -> bool:
        current = self._stored.edition_number()
        if (
            order_fingerprint in self._prepared
            or change.base != current
            or self._stored.decided_order(change.order) is not None
        ):
            return False
        return self._precheck_refusal(change, None, current) is None

    async def _prepare(self, change: EditionChange, order_fingerprint: bytes) -> None:
        base = await self._stored.latest_bundle_gradually()
        if base is None:
            return
        checked = await gradually_while(lambda: self._stored.is_latest(base), self._edition_steps(base, change))
        if checked is not None and self._stored.is_latest(base):
            while len(self._prepared) >= MAX_PREPARED_EDITIONS:
                del self._prepared[next(iter(self._prepared))]
            self._prepared[order_fingerprint] = PreparedEdition(base, checked)
