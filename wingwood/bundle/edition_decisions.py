"""Decides orders with the operator's own edition numbers, which control daemons sign (docs/DESIGN.md section 5.4)."""

from __future__ import annotations

import asyncio

import msgspec
from returns.result import Failure, Success

from ..identifiers import OrderId
from .commands import SubmitEdition
from .editions import edition_fingerprint, signed_steps
from .gradual import Steps, at_once, gradually_while
from .model import Bundle, EditionChange, EditionStatus, OrderOutcome
from .order_decisions import order_id_refusal
from .parse import Checked, parse_steps
from .state_records import RecordedOutcome, RememberedOrder
from .stored_bundles import StateOptions, StoredBundles

MAX_PREPARED_EDITIONS = 4
"""Largest number of prepared editions; each of them may hold all slices of a bundle."""


class PreparedEdition(msgspec.Struct, frozen=True):
    """An edition that was checked, and signed if it is valid, before it is decided."""

    held: Bundle
    """The bundle to which the change was applied."""
    checked: Checked


class EditionDecisions(StoredBundles):
    """Records only accepted orders. A refusal reports the present state, and the same order may be sent again later."""

    _prepared: dict[bytes, PreparedEdition]
    """Prepared editions by fingerprint, the oldest first."""

    def __init__(self, options: StateOptions) -> None:
        super().__init__(options)
        self._signing_key = options.signing_key
        self._wall_clock = options.wall_clock
        self._preparing = asyncio.Lock()
        """Held while an order is prepared, so that several orders at once need no more memory and time than one."""

    def apply(self, record: bytes) -> None:
        before = self._version
        super().apply(record)
        if self._version != before:
            self._prepared.clear()

    def restore(self, snapshot: bytes | None) -> None:
        self._prepared = {}
        super().restore(snapshot)

    def _edition_status(self, order: OrderId) -> EditionStatus:
        """Returns the latest edition, and the outcome of the order if it was accepted."""
        known = self._remembered.get(order)
        accepted = known is not None and known.outcome == "accepted"
        return EditionStatus(
            number=self._edition_number(),
            version=self._version,
            outcome=known.as_outcome() if known is not None and accepted else None,
        )

    # decisions

    def _decide_edition(self, change: EditionChange) -> tuple[bytes | None, OrderOutcome]:
        """Decides an edition order; returns the record, or None when there is nothing to record, and the outcome."""
        order_fingerprint = edition_fingerprint(change)
        known = self._remembered.get(change.order)
        if known is not None and known.fingerprint == order_fingerprint:
            return None, msgspec.structs.replace(known.as_outcome(), edition=change.number)
        current = self._edition_number()
        if known is None and change.base != current:
            reason = f"base is {change.base}, but edition {current} is the newest: read it and build on it"
            return None, self._edition_refusal(change, "conflict", reason)
        refusal = self._precheck_refusal(change, known, current)
        if refusal is not None:
            return None, self._edition_refusal(change, "invalid", refusal)
        held = self._parsed_bundle()
        match self._checked(held, change, order_fingerprint):
            case Success(bundle):
                return self._decide_checked(held, bundle, change, order_fingerprint)
            case Failure(problem):
                return None, self._edition_refusal(change, "invalid", str(problem))
        raise AssertionError("a result is a success or a failure")

    def _decide_checked(
        self, held: Bundle, bundle: Bundle, change: EditionChange, order_fingerprint: bytes
    ) -> tuple[bytes | None, OrderOutcome]:
        """Decides an order whose resulting bundle is valid and signed."""
        refusal = self._bundle_size_refusal(bundle)
        if refusal is not None:
            return None, self._edition_refusal(change, "invalid", refusal)
        outcome = OrderOutcome(order=change.order, outcome="accepted", version=bundle.version, edition=change.number)
        return self._record_acceptance(held, bundle, order_fingerprint), outcome

    def _checked(self, held: Bundle, change: EditionChange, order_fingerprint: bytes) -> Checked:
        """Returns the prepared result if it was made for this bundle, else checks and signs the change now."""
        prepared = self._prepared.get(order_fingerprint)
        if prepared is not None and prepared.held is held:
            return prepared.checked
        return at_once(self._edition_steps(held, change))

    def _edition_steps(self, held: Bundle, change: EditionChange) -> Steps[Checked]:
        assert self._signing_key is not None, "an order without a key to sign it is refused"
        return signed_steps(held, change, self._signing_key, self._wall_clock)

    def _precheck_refusal(self, change: EditionChange, known: RememberedOrder | None, current: int) -> str | None:
        """Returns the reason for refusing an order without looking into its slices; None when there is none."""
        if self._signing_key is None:
            return "this fleet takes signed orders only: control has no signing_key in its settings"
        if known is not None:
            return f"order {change.order} was used before with other content; make a new order id"
        refusal = order_id_refusal(change.order)
        if refusal is not None:
            return refusal
        if change.number <= current:
            return f"number is {change.number}: it must be above {current}, the newest edition"
        return self._size_refusal("order", sum(len(data) for data in change.changed.values()))

    def _edition_refusal(self, change: EditionChange, outcome: RecordedOutcome, reason: str) -> OrderOutcome:
        return OrderOutcome(
            order=change.order,
            outcome=outcome,
            version=self._version,
            reason=reason,
            edition=self._edition_number(),
        )

    # preparation

    async def prepare(self, command: msgspec.Struct) -> None:
        """Checks and signs an edition in advance, in steps, so that ``decide`` does not block other tasks for long.

        The result is used only if no other version was applied since.
        """
        if not isinstance(command, SubmitEdition):
            return
        change, order_fingerprint = command.change, edition_fingerprint(command.change)
        async with self._preparing:
            if self._is_worth_preparing(change, order_fingerprint):
                await self._prepare(change, order_fingerprint)

    def _is_worth_preparing(self, change: EditionChange, order_fingerprint: bytes) -> bool:
        current = self._edition_number()
        if order_fingerprint in self._prepared or change.base != current or change.order in self._remembered:
            return False
        return self._precheck_refusal(change, None, current) is None

    async def _prepare(self, change: EditionChange, order_fingerprint: bytes) -> None:
        held = await self._parsed_gradually()
        if held is None:
            return
        checked = await gradually_while(lambda: self._parsed is held, self._edition_steps(held, change))
        if checked is not None and self._parsed is held:
            while len(self._prepared) >= MAX_PREPARED_EDITIONS:
                del self._prepared[next(iter(self._prepared))]
            self._prepared[order_fingerprint] = PreparedEdition(held, checked)

    async def _parsed_gradually(self) -> Bundle | None:
        """Does the work of ``_parsed_bundle`` in steps; returns None when another version was applied meanwhile."""
        if self._parsed is None and self._version > 0:
            manifest = self._manifests[self._version]
            steps = parse_steps(manifest, self._slices.latest())
            parsed = await gradually_while(lambda: self._manifests.get(self._version) is manifest, steps)
            if parsed is None or self._manifests.get(self._version) is not manifest:
                return None
            self._parsed = parsed.unwrap()
        return self._parsed_bundle()
