"""Errors of the control core, by what a caller can do about them.

``CommandFailure`` and ``StoreFailure`` are values that callers receive in a ``Result``: a command may be sent again or
elsewhere, and a store that cannot be opened is reported to the operator. ``InvariantError`` is raised where the
state contradicts the protocol; nobody handles it, so the process reports a broken invariant.
"""

from __future__ import annotations

from typing import Literal

import msgspec

from ..identifiers import Address


class ControlFailure(msgspec.Struct, frozen=True):
    """Base of the errors that callers of the control core receive as values."""


class CommandFailure(ControlFailure, frozen=True):
    """Why a command has no reply.

    ``not-leading``: this daemon did nothing; ask ``primary``. ``unknown``: the command may or may not
    become durable. ``busy``: the command was not run and will not be.
    """

    kind: Literal["not-leading", "unknown", "busy"]
    primary: Address | None = None
    detail: str = ""


class StoreFailure(ControlFailure, frozen=True):
    """Why a data folder cannot be used; ``detail`` is a sentence for the operator.

    ``locked``: another process uses the folder. ``damaged``: the journal is damaged at byte ``offset``.
    ``disk``: the disk failed or is full, and opening may be tried again.
    """

    kind: Literal["locked", "damaged", "disk"]
    detail: str
    offset: int = 0


class InvariantError(AssertionError):
    """Raised when the state of a member contradicts the protocol; continuing could lose acknowledged records."""
