"""The types of decoded JSON whose fields are not checked."""

from __future__ import annotations

from typing import Any, TypeAlias

JsonValue: TypeAlias = Any
"""A decoded JSON value. It is ``Any`` because the tools read single fields of many documents and check none of them."""
JsonObject: TypeAlias = dict[str, JsonValue]
"""A decoded JSON object."""
