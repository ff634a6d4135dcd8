"""Commands of the replicated bundle state, which a daemon sends to the primary (docs/DESIGN.md section 5.4)."""

from __future__ import annotations

import msgspec

from ..identifiers import OrderId
from .model import EditionChange, Order


class SubmitOrder(msgspec.Struct, frozen=True, tag=True):
    """Command with an operator's order, sent by any daemon. Its reply is an ``OrderOutcome``."""

    order: Order


class SubmitEdition(msgspec.Struct, frozen=True, tag=True):
    """Command with an order that uses the operator's own edition numbers. Its reply is an ``OrderOutcome``."""

    change: EditionChange


class FindEdition(msgspec.Struct, frozen=True, tag=True):
    """Command that asks for the latest edition and whether ``order`` was accepted (empty: no order is asked about).

    Its reply is an ``EditionStatus``. Like every command it is answered by a primary that its backups
    confirm, so the reply misses nothing that was acknowledged earlier.
    """

    order: OrderId = OrderId("")


BundleCommand = SubmitOrder | SubmitEdition | FindEdition
"""The commands that the applier of kind ``bundle`` accepts."""
