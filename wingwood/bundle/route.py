"""One route of a bundle (docs/DESIGN.md section 5.7)."""

from __future__ import annotations

from typing import Any

import msgspec

from ..identifiers import ServiceName

JsonObject = dict[str, Any]
"""A JSON object of an operator, whose values are stored and returned without being interpreted."""


class Route(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Slice ``route/NAME``: assigns calls whose path starts with ``path_prefix`` to ``service``.

    When several routes match a call, the one with the longest prefix applies.
    """

    name: str
    path_prefix: str
    service: ServiceName
    methods: tuple[str, ...] = ("POST",)
    host: str = ""
    """Host name of the calls, in lower case. Empty: any host that has no matching route of its own."""
    needs_key: bool = True
    """False: calls without a key are accepted too; they belong to no tenant."""
    position: int = 0
    """Sort position among the operator's routes; it lets the routes be read back in the order they were given in."""
    annotations: JsonObject = {}
    """Data of the operator's own tools; daemons store and return it without interpreting it."""
