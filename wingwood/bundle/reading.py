"""Reads bundles and their history, on a control daemon or from another daemon (docs/DESIGN.md section 5.5)."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import ClassVar, Protocol, TypeVar

import msgspec
from returns.result import Failure, Result, Success

from ..identifiers import Address, BundleVersion, Seconds, SliceName
from ..transport.frames import Identity
from ..transport.messenger import Messenger
from .errors import BundleReadError
from .model import Bundle, Manifest
from .state import BundleState
from .state_records import HistoryEntry

READ_TIMEOUT_SECONDS = Seconds(1.0)
"""Time within which one control daemon has to answer; after it the next one is asked."""

ReplyType = TypeVar("ReplyType", "BundleAnswer", "HistoryAnswer")


class BundleRequest(msgspec.Struct, frozen=True):
    """Request to a control daemon; ``version`` 0 requests the latest durable version. The reply is a BundleAnswer."""

    WIRE_NAME: ClassVar[str] = "AskBundle"

    version: BundleVersion


class BundleView(msgspec.Struct, frozen=True):
    """A bundle as it was signed: its manifest and the bytes of its slices."""

    manifest: Manifest
    slices: dict[SliceName, bytes]


class BundleAnswer(msgspec.Struct, frozen=True):
    """Reply to a BundleRequest."""

    latest: BundleVersion = msgspec.field(name="newest")
    """The latest version that the daemon knows to be durable; 0 when it knows none."""
    view: BundleView | None
    """The requested bundle; None when there is no bundle yet or the requested version is not stored."""
    authoritative: bool = msgspec.field(name="sure", default=True)
    """False: the reply does not speak for the fleet, because another daemon stores the bundles now."""


class HistoryRequest(msgspec.Struct, frozen=True):
    """Request to a control daemon for the latest versions. The reply is a HistoryAnswer."""

    WIRE_NAME: ClassVar[str] = "AskHistory"

    limit: int = msgspec.field(name="most")
    """Largest number of versions to return."""


class HistoryAnswer(msgspec.Struct, frozen=True):
    """Reply to a HistoryRequest; ``latest`` and ``authoritative`` mean the same as in a BundleAnswer."""

    latest: BundleVersion = msgspec.field(name="newest")
    entries: list[HistoryEntry]
    """The versions, the latest first."""
    authoritative: bool = msgspec.field(name="sure", default=True)


class BundleReader(Protocol):
    """Source from which the operator API reads the bundles that control daemons store."""

    async def bundle(self, version: BundleVersion) -> Result[BundleAnswer, BundleReadError]:
        """Reads the bundle of that version; 0 stands for the latest."""
        ...

    async def history(self, limit: int) -> Result[HistoryAnswer, BundleReadError]:
        """Reads up to ``limit`` versions of the history, the latest first."""
        ...


class LocalBundleReader:
    """Reads the bundles stored on this control daemon.

    ``durable_version`` returns the latest version that this daemon knows to be durable. ``stores_bundles`` returns
    whether this daemon is one of those that store the bundles now. A spare stores none, and a witness that was once
    a backup stores old ones; neither may answer for the fleet, nor report that there is no bundle.
    """

    def __init__(
        self,
        state: BundleState,
        durable_version: Callable[[], BundleVersion],
        stores_bundles: Callable[[], bool] = lambda: True,
    ) -> None:
        self._state = state
        self._durable_version = durable_version
        self._stores_bundles = stores_bundles

    def is_authoritative(self) -> bool:
        """Returns whether answers of this daemon are valid for the fleet.

        They aren't on a primary that has just taken over: it has versions of which it does not know yet whether
        they are durable.
        """
        return self._stores_bundles() and (self._durable_version() > 0 or self._state.version == 0)

    def read_bundle(self, version: BundleVersion) -> BundleAnswer:
        """Returns the bundle of that version (0: the latest durable one) and whether the answer is authoritative."""
        latest = self._durable_version()
        requested = version or latest
        manifest = self._state.manifest_at(requested) if requested <= latest else None
        slices = self._state.slices_at(requested) if manifest is not None else None
        if manifest is None or slices is None:
            return BundleAnswer(latest, None, self.is_authoritative())
        return BundleAnswer(latest, BundleView(manifest, slices), self.is_authoritative())

    def read_history(self, limit: int) -> HistoryAnswer:
        """Returns up to ``limit`` durable versions and whether the answer is authoritative."""
        latest = self._durable_version()
        return HistoryAnswer(latest, self._state.history(latest, limit), self.is_authoritative())

    async def bundle(self, version: BundleVersion) -> Result[BundleAnswer, BundleReadError]:
        """See ``BundleReader``."""
        return Success(self.read_bundle(version))

    async def history(self, limit: int) -> Result[HistoryAnswer, BundleReadError]:
        """See ``BundleReader``."""
        return Success(self.read_history(limit))

    def serve(self, messenger: Messenger) -> None:
        """Answers the requests that other daemons' ``RemoteBundleReader`` send."""

        async def answer_bundle(_peer: Identity, request: BundleRequest) -> BundleAnswer:
            return self.read_bundle(request.version)

        async def answer_history(_peer: Identity, request: HistoryRequest) -> HistoryAnswer:
            return self.read_history(request.limit)

        messenger.on_call(BundleRequest, answer_bundle)
        messenger.on_call(HistoryRequest, answer_history)


class RemoteBundleReader:
    """Reads bundles from other daemons: asks the control daemons one after another, the presumed primary first.

    An answer that is not authoritative counts as none.
    """

    def __init__(
        self, messenger: Messenger, controls: Callable[[], Sequence[Address]], timeout: Seconds = READ_TIMEOUT_SECONDS
    ) -> None:
        self._messenger = messenger
        self._controls = controls
        self._timeout = timeout

    async def bundle(self, version: BundleVersion) -> Result[BundleAnswer, BundleReadError]:
        """See ``BundleReader``."""
        return await self._call_any(BundleRequest(version), BundleAnswer)

    async def history(self, limit: int) -> Result[HistoryAnswer, BundleReadError]:
        """See ``BundleReader``."""
        return await self._call_any(HistoryRequest(limit), HistoryAnswer)

    async def _call_any(
        self, request: msgspec.Struct, answer_type: type[ReplyType]
    ) -> Result[ReplyType, BundleReadError]:
        reasons = []
        for address in self._controls():
            match await self._messenger.call(address, request, answer_type, self._timeout):
                case Success(answer) if answer.authoritative:
                    return Success(answer)
                case Success():
                    reasons.append(f"{address} does not keep them")
                case Failure(fault):
                    reasons.append(f"{address} {fault.kind}")
        return Failure(BundleReadError("no control daemon answered: " + (", ".join(reasons) or "none is known")))


def view_of(bundle: Bundle) -> BundleView:
    """Returns the signed form of a parsed bundle."""
    return BundleView(bundle.manifest, dict(bundle.slices))
