"""The routes of the soak's configuration, one for each kind of call."""

from __future__ import annotations

from typing import Final

import msgspec

TIMEOUT_S: Final = 1.0
"""The longest time that a router may hold a call (``timeout_ms``)."""


class CallKind(msgspec.Struct, frozen=True):
    """A kind of calls; the ids of its calls begin with ``name``."""

    name: str
    platform_kind: str
    """``kind`` of its route in the platform's configuration."""
    runs_once: bool
    """Whether a call may run only once."""


CALL_KINDS: Final = (
    CallKind("order", "non_idempotent", True),
    CallKind("sheet", "idempotent", False),
    CallKind("chat", "streaming", True),
)


def kind_of(attempt: str) -> CallKind:
    """Returns the kind of the call with this id."""
    return next(kind for kind in CALL_KINDS if attempt.startswith(kind.name))
