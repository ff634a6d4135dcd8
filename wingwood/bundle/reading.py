"""Reading bundles and their history from a control daemon (docs/DESIGN.md section 5.5)."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol, TypeVar

import msgspec
from returns.result import Failure, Result, Success

from ..identifiers import Address, BundleVersion, Seconds, SliceName
from ..transport.frames import Identity
from ..transport.messenger import Messenger
from .model import Bundle, Manifest
from .state import BundleState
from .state_records import HistoryEntry

READ_TIMEOUT_SECONDS = Seconds(1.0)

ReplyType = TypeVar("ReplyType", "BundleAnswer", "HistoryAnswer")


class AskBundle(msgspec.Struct, frozen=True):
    """To a control daemon; ``version`` 0 asks for the newest durable one. Reply: BundleAnswer."""

    version: BundleVersion


class BundleView(msgspec.Struct, frozen=True):
    """A bundle as it was signed."""

    manifest: Manifest
    slices: dict[SliceName, bytes]


class BundleAnswer(msgspec.Struct, frozen=True):
    latest: BundleVersion = msgspec.field(name="newest")
    view: BundleView | None
    """None when there is no bundle yet, or the version asked for is not kept."""
    authoritative: bool = msgspec.field(name="sure", default=True)
    """False: this daemon does not keep the bundles now; another does."""


class AskHistory(msgspec.Struct, frozen=True):
    """To a control daemon. Reply: HistoryAnswer."""

    limit: int = msgspec.field(name="most")


class HistoryAnswer(msgspec.Struct, frozen=True):
    latest: BundleVersion = msgspec.field(name="newest")
    entries: list[HistoryEntry]
    """Newest first."""
    authoritative: bool = msgspec.field(name="sure", default=True)


class NotReadable(msgspec.Struct, frozen=True):
    reason: str


class BundleReader(Protocol):
    """What the operator API asks for the bundles that control keeps."""

    async def bundle(self, version: BundleVersion) -> Result[BundleAnswer, NotReadable]:
        """``version`` 0: the newest."""
        ...

    async def history(self, limit: int) -> Result[HistoryAnswer, NotReadable]: ...


class LocalBundleReader:
    """On a control daemon. ``durable`` tells the newest version that this daemon knows to be durable.

    ``stores_bundles``: whether the bundles are its own to keep now. A spare holds none, and a witness that was backup
    once holds old ones; neither may speak for the fleet, nor say that there is no bundle.
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
        """Whether what is read here stands for the fleet.

        A primary that just took over holds versions and doesn't know yet that they are durable: not sure.
        """
        return self._stores_bundles() and (self._durable_version() > 0 or self._state.version == 0)

    def read_bundle(self, version: BundleVersion) -> BundleAnswer:
        latest = self._durable_version()
        wanted = version or latest
        manifest = self._state.manifest_at(wanted) if wanted <= latest else None
        slices = self._state.slices_at(wanted) if manifest is not None else None
        if manifest is None or slices is None:
            return BundleAnswer(latest, None, self.is_authoritative())
        return BundleAnswer(latest, BundleView(manifest, slices), self.is_authoritative())

    def read_history(self, limit: int) -> HistoryAnswer:
        latest = self._durable_version()
        return HistoryAnswer(latest, self._state.history(latest, limit), self.is_authoritative())

    async def bundle(self, version: BundleVersion) -> Result[BundleAnswer, NotReadable]:
        return Success(self.read_bundle(version))

    async def history(self, limit: int) -> Result[HistoryAnswer, NotReadable]:
        return Success(self.read_history(limit))

    def serve(self, messenger: Messenger) -> None:
        """Answers the other daemons' ``RemoteBundleReader``."""

        async def answer_bundle(_peer: Identity, question: AskBundle) -> BundleAnswer:
            return self.read_bundle(question.version)

        async def answer_history(_peer: Identity, question: AskHistory) -> HistoryAnswer:
            return self.read_history(question.limit)

        messenger.on_call(AskBundle, answer_bundle)
        messenger.on_call(AskHistory, answer_history)


class RemoteBundleReader:
    """On a router: asks the control daemons one after another, the presumed primary first."""

    def __init__(
        self, messenger: Messenger, controls: Callable[[], Sequence[Address]], timeout: Seconds = READ_TIMEOUT_SECONDS
    ) -> None:
        self._messenger = messenger
        self._controls = controls
        self._timeout = timeout

    async def bundle(self, version: BundleVersion) -> Result[BundleAnswer, NotReadable]:
        return await self._call_any(AskBundle(version), BundleAnswer)

    async def history(self, limit: int) -> Result[HistoryAnswer, NotReadable]:
        return await self._call_any(AskHistory(limit), HistoryAnswer)

    async def _call_any(self, question: msgspec.Struct, answer_type: type[ReplyType]) -> Result[ReplyType, NotReadable]:
        reasons = []
        for address in self._controls():
            match await self._messenger.call(address, question, answer_type, self._timeout):
                case Success(answer) if answer.authoritative:
                    return Success(answer)
                case Success():
                    reasons.append(f"{address} does not keep them")
                case Failure(fault):
                    reasons.append(f"{address} {fault.kind}")
        return Failure(NotReadable("no control daemon answered: " + (", ".join(reasons) or "none is known")))


def view_of(bundle: Bundle) -> BundleView:
    return BundleView(bundle.manifest, dict(bundle.slices))
