"""The KV cache of an emulated worker: a bounded number of tokens with eviction of the least recently used parts.

A part of a prompt is identified by the path of all parts up to it, because KV entries can be used again only after the
same preceding tokens.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

import msgspec


class PromptPart(msgspec.Struct, frozen=True):
    """One part of a prompt: a shared part, or (the last one) the session's own turns so far."""

    name: str
    tokens: int


class PrefixCache:
    """Counts tokens only; it holds no content."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        """Maximum number of tokens in the cache."""
        self.used = 0
        self.evicted = 0
        """Number of tokens evicted since the start."""
        self._tokens: OrderedDict[tuple[str, ...], int] = OrderedDict()

    def cached_tokens(self, parts: Sequence[PromptPart]) -> int:
        """Returns how many of the prompt's first tokens are in the cache; the rest needs a prefill."""
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
        """Stores all parts as just used, then evicts the least recently used ones beyond the capacity.

        Earlier parts of a prompt count as used more recently than later ones, so that they are evicted last.
        """
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
        """Removes all tokens, without counting them as evicted."""
        self._tokens.clear()
        self.used = 0
