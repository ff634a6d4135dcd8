"""The replicated bundle state: orders, their outcomes and the history (docs/DESIGN.md section 5.4).

``BundleState`` is the ``Applier`` of kind ``bundle`` in control daemons. Its contents are decided, but on the primary
they may not be durable yet. Code that shows or distributes bundles therefore names the latest version that *is*
durable: ``manifest_at``, ``delta_since`` and ``slices_at`` answer for that version, whatever has been decided since.
They can do so for the last ``history_versions`` versions. A reply without a record (to a resent order) is based on
earlier records, so it must not be sent before all records decided earlier are durable.
"""

from __future__ import annotations

from collections.abc import Callable, Collection

import msgspec
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from ..identifiers import WallTime
from .commands import BundleCommand, FindEdition, SubmitEdition, SubmitOrder
from .edition_decisions import EditionDecisions
from .order_checks import SizeLimit
from .order_decisions import OrderDecisions
from .parse import DEFAULT_MAX_BUNDLE_BYTES
from .signing import public_hex
from .stored_bundles import StoredBundles


class BundleState(StoredBundles):
    """Decides orders by compare-and-set on the base version, and returns the same outcome when an order is resent.

    ``operator_keys`` are the Ed25519 public keys, in hex digits, whose orders are accepted; the public key of
    ``signing_key`` is added to them. ``outcome_retention`` is the number of orders whose outcome is stored,
    ``history_versions`` the number of past versions whose slices and manifests are stored, and ``bundle_bytes`` the
    largest size of a bundle. ``signing_key`` is the seed of the Ed25519 key that signs editions; when it is None,
    editions are refused. ``wall_clock`` gives the time of signing, which is only shown to people.
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
        super().__init__(outcome_retention, history_versions)
        key = None if signing_key is None else Ed25519PrivateKey.from_private_bytes(signing_key)
        own_keys = () if key is None else (public_hex(key),)
        size_limit = SizeLimit(bundle_bytes)
        self._orders = OrderDecisions(self, frozenset([*operator_keys, *own_keys]), size_limit)
        self._editions = EditionDecisions(self, key, size_limit, wall_clock)

    async def prepare(self, command: msgspec.Struct) -> None:
        """Prepares an edition in steps, so that ``decide`` does not block other tasks for long."""
        if isinstance(command, SubmitEdition):
            await self._editions.prepare(command.change)

    def decide(self, command: msgspec.Struct) -> tuple[bytes | None, msgspec.Struct]:
        """Decides a command; returns the record to be journaled, or None, and the reply.

        The reply to an order is an ``OrderOutcome``. There is no record for an order that is not authentic, was decided
        before, or is a refused edition order; nor for a ``FindEdition``, whose reply is an ``EditionStatus``.
        """
        match command:
            case SubmitOrder(order):
                return self._orders.decide(order)
            case SubmitEdition(change):
                return self._editions.decide(change)
            case FindEdition(order_id):
                return None, self._editions.status(order_id)
        raise TypeError(f"bundle state got {type(command).__name__}")

    def apply(self, record: bytes) -> None:
        """Applies a journal record; a new version makes the prepared editions useless."""
        before = self.version
        super().apply(record)
        if self.version != before:
            self._editions.discard_prepared()

    def restore(self, snapshot: bytes | None) -> None:
        """Replaces the state by that of a snapshot; None stands for the empty state."""
        self._editions.discard_prepared()
        super().restore(snapshot)
