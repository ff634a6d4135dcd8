"""Decides operators' signed orders by compare-and-set on the base version (docs/DESIGN.md section 5.4)."""

from __future__ import annotations

import re
from collections.abc import Collection

import msgspec
from returns.result import Failure, Success

from ..identifiers import BundleVersion, OrderId, SliceName
from .editions import EDITION_SLICE
from .model import Bundle, Manifest, Order, OrderOutcome
from .orders import manifest_fingerprint
from .parse import change_bundle
from .problem import BundleProblem
from .signing import verify_manifest
from .state_records import RecordedOutcome, RefusedRecord, RememberedOrder
from .stored_bundles import StateOptions, StoredBundles

_ORDER_ID = re.compile(r"[!-~]{1,64}")


def order_id_refusal(order: OrderId) -> str | None:
    """Returns the reason why this is not a valid order id; None when it is valid."""
    if _ORDER_ID.fullmatch(order):
        return None
    return f"order is {order[:80]!r}: 1 to 64 letters without spaces"


class OrderDecisions(StoredBundles):
    """Returns the same outcome whenever an order is resent; for this, refusals of authentic orders are recorded too."""

    def __init__(self, options: StateOptions) -> None:
        super().__init__(options)
        self._operator_keys = options.operator_keys

    def _decide_order(self, order: Order) -> tuple[bytes | None, OrderOutcome]:
        """Decides a signed order; returns the record, or None when there is nothing to record, and the outcome."""
        manifest = order.manifest
        order_fingerprint = manifest_fingerprint(manifest)
        known = self._remembered.get(manifest.order)
        if known is not None and known.fingerprint == order_fingerprint:
            return None, known.as_outcome()
        refusal = self._unrecorded_refusal(order, known)
        if refusal is not None:
            return None, self._refusal_outcome(manifest, "invalid", refusal)
        if manifest.base != self._version:
            return self._record_refusal(manifest, order_fingerprint, "conflict", self._conflict_reason(manifest))
        held = self._parsed_bundle()
        match change_bundle(held, manifest, order.changed, _removed_by(order, held)):
            case Success(bundle):
                return self._decide_bundle(held, bundle, order_fingerprint)
            case Failure(BundleProblem() as problem):
                if problem.code == "root":
                    # The slices are not the signed ones, so the refusal of this order must not be recorded.
                    return None, self._refusal_outcome(manifest, "invalid", str(problem))
                return self._record_refusal(manifest, order_fingerprint, "invalid", str(problem))
        raise AssertionError("a result is a success or a failure")

    def _decide_bundle(self, held: Bundle, bundle: Bundle, order_fingerprint: bytes) -> tuple[bytes, OrderOutcome]:
        """Decides an order that is well-formed and based on the latest version."""
        manifest = bundle.manifest
        refusal = self._bundle_size_refusal(bundle) or self._older_edition_refusal(bundle)
        if refusal is not None:
            return self._record_refusal(manifest, order_fingerprint, "invalid", refusal)
        outcome = OrderOutcome(order=manifest.order, outcome="accepted", version=manifest.version)
        return self._record_acceptance(held, bundle, order_fingerprint), outcome

    def _older_edition_refusal(self, bundle: Bundle) -> str | None:
        """Returns the reason for refusing a bundle that decreases the edition number; None when it does not."""
        current = self._edition_number()
        if (bundle.edition.number if bundle.edition is not None else 0) >= current:
            return None
        return f"{EDITION_SLICE}: the operator's number is {current} and never goes back"

    def _unrecorded_refusal(self, order: Order, known: RememberedOrder | None) -> str | None:
        """Returns the reason for a refusal that is not recorded, since the order is not authentic or malformed."""
        manifest = order.manifest
        reason = verify_manifest(manifest, self._operator_keys)
        if reason is not None:
            return f"{reason}; sign with an operator's key"
        if known is not None:
            return f"order {manifest.order} was used before with other content; make a new order id"
        refusal = order_id_refusal(manifest.order)
        if refusal is not None:
            return refusal
        if manifest.base != manifest.version - 1 or manifest.base < 0:
            return f"base is {manifest.base} and version {manifest.version}: the version follows its base"
        return self._size_refusal("order", sum(len(data) for data in order.changed.values()))

    def _conflict_reason(self, manifest: Manifest) -> str:
        """Returns the text of a conflict: which order made the version that this one claims, if it is remembered."""
        if manifest.base > self._version:
            return f"base is {manifest.base}, but version {self._version} is the newest: read it and build on it"
        winner = self._history.get(BundleVersion(manifest.base + 1))
        by = f", made by order {winner.order} of signer {winner.signer[:16]}" if winner is not None else ""
        return f"version {manifest.version} is taken{by}; the newest is {self._version}: read it and build on it"

    def _refusal_outcome(self, manifest: Manifest, outcome: RecordedOutcome, reason: str) -> OrderOutcome:
        return OrderOutcome(order=manifest.order, outcome=outcome, version=self._version, reason=reason)

    def _record_refusal(
        self, manifest: Manifest, order_fingerprint: bytes, decided: RecordedOutcome, reason: str
    ) -> tuple[bytes, OrderOutcome]:
        outcome = self._refusal_outcome(manifest, decided, reason)
        record = RefusedRecord(outcome, order_fingerprint, manifest.signer, manifest.signed_at)
        return msgspec.msgpack.encode(record), outcome


def _removed_by(order: Order, held: Bundle) -> Collection[SliceName]:
    """Returns the names of the slices that the order removes."""
    if order.replaces_all:
        return [name for name in held.slices if name not in order.changed]
    return order.removed
