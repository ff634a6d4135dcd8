"""Decides operators' signed orders by compare-and-set on the base version (docs/DESIGN.md section 5.4)."""

from __future__ import annotations

from collections.abc import Collection

import msgspec
from returns.result import Failure, Success

from ..identifiers import BundleVersion, SliceName
from .editions import EDITION_SLICE
from .errors import BundleError
from .model import Bundle, Manifest, Order, OrderOutcome
from .order_checks import SizeLimit, order_id_refusal
from .orders import manifest_fingerprint
from .parse import change_bundle
from .signing import verify_manifest
from .state_records import DecidedOrder, RecordedOutcome, RefusedRecord
from .stored_bundles import StoredBundles


class OrderDecisions:
    """Returns the same outcome whenever an order is resent; for this, refusals of authentic orders are recorded too.

    ``operator_keys`` are the Ed25519 public keys, in hex digits, whose orders are accepted.
    """

    def __init__(self, stored: StoredBundles, operator_keys: frozenset[str], size_limit: SizeLimit) -> None:
        self._stored = stored
        self._operator_keys = operator_keys
        self._size_limit = size_limit

    def decide(self, order: Order) -> tuple[bytes | None, OrderOutcome]:
        """Decides a signed order; returns the record, or None when there is nothing to record, and the outcome."""
        manifest = order.manifest
        order_fingerprint = manifest_fingerprint(manifest)
        decided = self._stored.decided_order(manifest.order)
        if decided is not None and decided.fingerprint == order_fingerprint:
            return None, decided.as_outcome()
        refusal = self._unrecorded_refusal(order, decided)
        if refusal is not None:
            return None, self._refusal_outcome(manifest, "invalid", refusal)
        if manifest.base != self._stored.version:
            return self._record_refusal(manifest, order_fingerprint, "conflict", self._conflict_reason(manifest))
        base = self._stored.latest_bundle()
        match change_bundle(base, manifest, order.changed, _removed_by(order, base)):
            case Success(bundle):
                return self._decide_bundle(base, bundle, order_fingerprint)
            case Failure(BundleError() as error):
                if error.code == "root":
                    # The slices are not the signed ones, so the refusal of this order must not be recorded.
                    return None, self._refusal_outcome(manifest, "invalid", str(error))
                return self._record_refusal(manifest, order_fingerprint, "invalid", str(error))
        raise AssertionError("a result is a success or a failure")

    def _decide_bundle(self, base: Bundle, bundle: Bundle, order_fingerprint: bytes) -> tuple[bytes, OrderOutcome]:
        """Decides an order that is well-formed and based on the latest version."""
        manifest = bundle.manifest
        refusal = self._size_limit.bundle_refusal(bundle.slices) or self._older_edition_refusal(bundle)
        if refusal is not None:
            return self._record_refusal(manifest, order_fingerprint, "invalid", refusal)
        outcome = OrderOutcome(order=manifest.order, outcome="accepted", version=manifest.version)
        return self._stored.acceptance_record(base, bundle, order_fingerprint), outcome

    def _older_edition_refusal(self, bundle: Bundle) -> str | None:
        """Returns the reason for refusing a bundle that decreases the edition number; None when it does not."""
        current = self._stored.edition_number()
        if (bundle.edition.number if bundle.edition is not None else 0) >= current:
            return None
        return f"{EDITION_SLICE}: the operator's number is {current} and never goes back"

    def _unrecorded_refusal(self, order: Order, decided: DecidedOrder | None) -> str | None:
        """Returns the reason for a refusal that is not recorded, since the order is not authentic or malformed."""
        manifest = order.manifest
        reason = verify_manifest(manifest, self._operator_keys)
        if reason is not None:
            return f"{reason}; sign with an operator's key"
        if decided is not None:
            return f"order {manifest.order} was used before with other content; make a new order id"
        refusal = order_id_refusal(manifest.order)
        if refusal is not None:
            return refusal
        if manifest.base != manifest.version - 1 or manifest.base < 0:
            return f"base is {manifest.base} and version {manifest.version}: the version follows its base"
        return self._size_limit.order_refusal(order.changed)

    def _conflict_reason(self, manifest: Manifest) -> str:
        """Returns the text of a conflict: which order made the version that this one claims, if it is stored."""
        if manifest.base > self._stored.version:
            return f"base is {manifest.base}, but version {self._stored.version} is the newest: read it and build on it"
        winner = self._stored.order_of_version(BundleVersion(manifest.base + 1))
        by = f", made by order {winner.order} of signer {winner.signer[:16]}" if winner is not None else ""
        return f"version {manifest.version} is taken{by}; the newest is {self._stored.version}: read it and build on it"

    def _refusal_outcome(self, manifest: Manifest, outcome: RecordedOutcome, reason: str) -> OrderOutcome:
        return OrderOutcome(order=manifest.order, outcome=outcome, version=self._stored.version, reason=reason)

    def _record_refusal(
        self, manifest: Manifest, order_fingerprint: bytes, refusal: RecordedOutcome, reason: str
    ) -> tuple[bytes, OrderOutcome]:
        outcome = self._refusal_outcome(manifest, refusal, reason)
        record = RefusedRecord(outcome, order_fingerprint, manifest.signer, manifest.signed_at)
        return msgspec.msgpack.encode(record), outcome


def _removed_by(order: Order, base: Bundle) -> Collection[SliceName]:
    """Returns the names of the slices that the order removes."""
    if order.replaces_all:
        return [name for name in base.slices if name not in order.changed]
    return order.removed
