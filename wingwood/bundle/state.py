"""The replicated bundle state: orders, their outcomes and the history (docs/DESIGN.md section 5.4).

``BundleState`` is control's ``Applier`` of kind ``bundle``. What it holds is decided, but on the
primary not always durable yet. Whoever shows or distributes from it therefore names the newest
version that *is* durable: ``manifest_at``, ``delta_since`` and ``slices_at`` answer as of that
version, whatever has been decided since. They can do so for the last ``history_versions`` versions.
A reply without a record (a resent order) rests on earlier records, so it must not leave before
every record decided earlier is durable.
"""

from __future__ import annotations

from collections.abc import Callable, Collection

import msgspec
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from ..control.protocols import BundleCommand, FindEdition, SubmitEdition, SubmitOrder
from ..identifiers import WallTime
from .edition_decisions import EditionDecisions
from .order_decisions import OrderDecisions
from .parse import DEFAULT_MAX_BUNDLE_BYTES
from .signing import public_hex
from .stored_bundles import StateOptions


class BundleState(OrderDecisions, EditionDecisions):
    """Decides orders by compare-and-set on the base version and gives each the same outcome for ever after.

    ``operator_keys``: hex Ed25519 keys whose orders count. ``outcome_retention``: orders remembered.
    ``history_versions``: past versions whose slices and manifests are kept. ``bundle_bytes``: largest bundle.
    ``signing_key``: seed of the Ed25519 key with which editions are signed (None: none are taken; its public key
    counts as an operator's); ``wall_clock`` tells when, for people.
    """

    kind = "bundle"
    command_type = BundleCommand

    def __init__(
        self,
        operator_keys: Collection[str],
        outcome_retention: int = 100_000,
        history_versions: int = 200,
        bundle_bytes: int = DEFAULT_MAX_BUNDLE_BYTES,
        signing_key: bytes | None = None,
        wall_clock: Callable[[], WallTime] = lambda: WallTime(0.0),
    ) -> None:
        key = None if signing_key is None else Ed25519PrivateKey.from_private_bytes(signing_key)
        own = () if key is None else (public_hex(key),)
        super().__init__(
            StateOptions(
                operator_keys=frozenset([*operator_keys, *own]),
                outcome_retention=outcome_retention,
                history_versions=history_versions,
                bundle_bytes=bundle_bytes,
                signing_key=key,
                wall_clock=wall_clock,
            )
        )

    def decide(self, command: msgspec.Struct) -> tuple[bytes | None, msgspec.Struct]:
        """Orders to ``OrderOutcome``; no record when the order is not authentic or was decided before."""
        match command:
            case SubmitOrder(order):
                return self._decide_order(order)
            case SubmitEdition(change):
                return self._decide_edition(change)
            case FindEdition(wanted):
                return None, self._edition_status(wanted)
        raise TypeError(f"bundle state got {type(command).__name__}")
