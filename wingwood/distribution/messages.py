"""How bundles travel, and how their newness is proven (docs/DESIGN.md section 9)."""

from __future__ import annotations

import msgspec

from ..bundle.model import BundleDelta
from ..identifiers import Address, BundleVersion, Epoch, Seconds


class BundlePosted(msgspec.Struct, frozen=True, array_like=True):
    """Post, primary to homes and homes to subscribers: a change to put in force."""

    delta: BundleDelta
    epoch: Epoch
    """Of the primary that posts; routers pass on the newest that they know."""


class BundleAnnounced(msgspec.Struct, frozen=True, array_like=True):
    """Post, primary to homes and to control daemons: that version is durable; fetch it when needed."""

    version: BundleVersion
    epoch: Epoch


class Subscribe(msgspec.Struct, frozen=True, array_like=True):
    """Call, router to its zone's home, every second or so. Reply: Subscribed."""

    held: BundleVersion


class Subscribed(msgspec.Struct, frozen=True, array_like=True):
    held: BundleVersion
    """In force at the home."""


class FetchBundle(msgspec.Struct, frozen=True, array_like=True):
    """Call: what takes a holder of ``since`` to the newest version here. Reply: BundleChunk.

    ``to`` and ``offset`` are 0 at first; a large delta is fetched chunk by chunk.
    """

    since: BundleVersion
    to: BundleVersion = BundleVersion(0)
    offset: int = 0
    """In the unpacked bytes."""
    unpacks: bool = False
    """Whether the asker takes packed pieces; daemons from before packing don't say so."""
    wanted: BundleVersion = BundleVersion(0)
    """The newest version that the asker has heard of."""


class BundleChunk(msgspec.Struct, frozen=True, array_like=True):
    """A piece of an encoded BundleDelta."""

    found: bool
    """False: nothing newer here (``to`` tells what is), or this daemon doesn't keep bundles."""
    to: BundleVersion
    total: int = 0
    """Bytes of the whole encoded delta, unpacked."""
    offset: int = 0
    data: bytes = b""
    ask: Address | None = None
    """Who should have it."""
    packed: bool = False
    """Whether ``data`` is a zlib stream of the piece."""
    coming: bool = False
    """Not found yet, but this daemon is about to fetch it: ask again."""


class AskNewest(msgspec.Struct, frozen=True, array_like=True):
    """Call, control daemon to the primary, or to another that can reach it: which version is the newest
    acknowledged one? Reply: NewestProven."""


class NewestProven(msgspec.Struct, frozen=True, array_like=True):
    proven: bool
    version: BundleVersion
    age: Seconds
    """``version`` was the newest this long before the answer. 0 from the primary: it was still so at some
    instant between question and answer, and nobody else led then."""
    primary: Address | None = None
