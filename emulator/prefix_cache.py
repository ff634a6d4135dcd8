"""The KV cache of one emulated worker: bounded tokens over the parts of a prefix, least recently used goes.

A part is known by the path of parts up to it, since a KV cache is only of use behind the same start.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

import msgspec


class PromptPart(msgspec.Struct, frozen=True):
    """One part of a prompt: a shared one, or (the last) the session's own turns so far."""

    name: str
    tokens: int


class PrefixCache:
    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        """Tokens that it holds at most."""
        self.used = 0
        self.evicted = 0
        """Tokens given up since the start."""
        self._tokens: OrderedDict[tuple[str, ...], int] = OrderedDict()

    def cached_tokens(self, parts: Sequence[PromptPart]) -> int:
        """How many of the prompt's first tokens are kept; the rest needs a prefill."""
        path: tuple[str, ...] = ()
        found = 0
        for part in parts:
            path = (*path, part.name)
            cached = min(self._tokens.get(path, 0), part.tokens)
            found += cached
            if cached < part.tokens:
                break
        return found

    def store(self, parts: Sequence[PromptPart]) -> None:
        """Records that all parts were just used; their starts count as used last, so they go last."""
        path: tuple[str, ...] = ()
        paths = []
        for part in parts:
            path = (*path, part.name)
            self.used += part.tokens - self._tokens.get(path, 0)
            self._tokens[path] = part.tokens
            paths.append(path)
        for path in reversed(paths):
            self._tokens.move_to_end(path)
        while self.used > self.capacity and self._tokens:
            _, tokens = self._tokens.popitem(last=False)
            self.used -= tokens
            self.evicted += tokens

    def clear(self) -> None:
        self._tokens.clear()
        self.used = 0
