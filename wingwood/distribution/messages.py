"""Messages that carry bundles, and requests for the latest version (docs/DESIGN.md section 9)."""

from __future__ import annotations

from typing import ClassVar

import msgspec

from ..bundle.model import BundleDelta
from ..identifiers import Address, BundleVersion, Epoch, Seconds


class BundlePosted(msgspec.Struct, frozen=True, array_like=True):
    """A post that carries a change to be applied.

    The primary sends it to the tree roots of each zone, and a router sends it to its subscribers.
    """

    delta: BundleDelta
    epoch: Epoch
    """The epoch of the primary that posts. A router that forwards the change states the latest epoch it knows."""


class BundleAnnounced(msgspec.Struct, frozen=True, array_like=True):
    """A post that says that a version is durable; the receiver fetches it when it needs it.

    The primary sends it to the tree roots and to the control daemons, and a router sends it to its subscribers.
    """

    version: BundleVersion
    epoch: Epoch


class Subscribe(msgspec.Struct, frozen=True, array_like=True):
    """A call by which a router subscribes at its upstream router, or renews its subscription.

    The reply is ``Subscribed``. ``DistributionOptions.renewal_interval`` sets how often it is sent.
    """

    version: BundleVersion = msgspec.field(name="held")
    """The version applied on the subscriber."""


class Subscribed(msgspec.Struct, frozen=True, array_like=True):
    """The reply to ``Subscribe``."""

    version: BundleVersion = msgspec.field(name="held")
    """The version applied on the upstream router."""


class FetchBundle(msgspec.Struct, frozen=True, array_like=True):
    """A call that asks for the delta from ``since`` to the latest version that the receiver has.

    The reply is ``BundleChunk``. The first request of a fetch has ``to`` and ``offset`` 0; the following ones
    ask for the further chunks of the same delta.
    """

    since: BundleVersion
    to: BundleVersion = BundleVersion(0)
    offset: int = 0
    """The position of the requested chunk in the uncompressed bytes of the encoded delta."""
    accepts_compressed: bool = msgspec.field(default=False, name="unpacks")
    """Whether the requester can decompress chunks; daemons older than compression do not send this field."""
    latest_known: BundleVersion = msgspec.field(default=BundleVersion(0), name="wanted")
    """The latest version that has been announced to the requester."""


class BundleChunk(msgspec.Struct, frozen=True, array_like=True):
    """The reply to ``FetchBundle``: one chunk of an encoded ``BundleDelta``."""

    found: bool
    """False when this daemon has nothing newer (``to`` is then its version) or does not store bundles."""
    to: BundleVersion
    total: int = 0
    """The number of bytes of the complete encoded delta, uncompressed."""
    offset: int = 0
    data: bytes = b""
    alternative_source: Address | None = msgspec.field(default=None, name="ask")
    """A daemon that should have the bundle, when this one does not."""
    compressed: bool = msgspec.field(default=False, name="packed")
    """Whether ``data`` is a zlib stream of the chunk."""
    pending: bool = msgspec.field(default=False, name="coming")
    """True when the delta is not found yet but this daemon is about to fetch it; the requester should retry."""


class LatestVersionRequest(msgspec.Struct, frozen=True, array_like=True):
    """A call that asks which version is the latest acknowledged one.

    A control daemon sends it to the primary, or to another control daemon that can reach the primary.
    The reply is ``LatestVersionReply``.
    """

    WIRE_NAME: ClassVar[str] = "AskNewest"


class LatestVersionReply(msgspec.Struct, frozen=True, array_like=True):
    """The reply to ``LatestVersionRequest``."""

    WIRE_NAME: ClassVar[str] = "NewestProven"

    confirmed: bool = msgspec.field(name="proven")
    """False when the answering daemon has no confirmation; ``version`` and ``age`` then mean nothing."""
    version: BundleVersion
    age: Seconds
    """How many seconds before the answer ``version`` was the latest.

    The primary states 0: ``version`` was the latest at some instant between question and answer, and no other
    daemon was primary at that instant.
    """
    primary: Address | None = None
    """The presumed primary of the answering daemon."""
