"""One route of a bundle (docs/DESIGN.md section 5.7)."""

from __future__ import annotations

from typing import Any

import msgspec

from ..identifiers import ServiceName


class Route(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Slice ``route/NAME``: calls whose path starts with ``path_prefix`` belong to ``service``; longest wins."""

    name: str
    path_prefix: str
    service: ServiceName
    methods: tuple[str, ...] = ("POST",)
    host: str = ""
    """Lower-case host name that callers ask for; empty: any host for which no other route stands."""
    needs_key: bool = True
    """False: callers without a key are taken too, and belong to no tenant."""
    position: int = 0
    """Place among the operator's routes, for reading back in the same order."""
    annotations: dict[str, Any] = {}
    """What the operator's own tools keep with it; daemons only give it back."""
