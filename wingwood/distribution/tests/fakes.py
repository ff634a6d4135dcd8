"""Fakes of the control core and its bundle source, which a test steers, over the real bundle state
(docs/DESIGN.md section 7).
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

import msgspec
from returns.result import Failure, Result, Success

from ...bundle.model import BundleDelta, Manifest, Order, Tenant
from ...bundle.state import BundleState
from ...bundle.tests.samples import OPERATOR_KEYS, order_between, sample_slices, slice_of
from ...control.errors import CommandFailure
from ...control.protocols import ViewReport
from ...identifiers import Address, BundleVersion, ClassName, Epoch, Seconds, SliceName, TenantName
from ...transport.frames import Identity
from ...transport.messenger import Messenger


class ConfirmLead(msgspec.Struct, frozen=True):
    """A call that asks whether the sender is still primary in ``epoch``."""

    epoch: Epoch


class LeadConfirmed(msgspec.Struct, frozen=True):
    """The reply to ``ConfirmLead``."""

    confirmed: bool


class FakeControlCore:
    """Has the epoch and the primary that the test sets; ``confirm_leadership`` really asks the other daemons."""

    def __init__(self, messenger: Messenger, others: tuple[Address, ...]) -> None:
        self._messenger = messenger
        self._others = others
        self._epoch = Epoch(0)
        self._primary: Address | None = None
        self._callbacks: list[Callable[[], None]] = []
        messenger.on_call(ConfirmLead, self._on_confirm)

    def set_primary(self, epoch: int, primary: Address | None) -> None:
        self._epoch, self._primary = Epoch(epoch), primary
        for callback in self._callbacks:
            callback()

    async def _on_confirm(self, peer: Identity, message: ConfirmLead) -> LeadConfirmed:
        return LeadConfirmed(message.epoch >= self._epoch)

    def leads(self) -> bool:
        return self._primary == self._messenger.identity.internal

    def epoch(self) -> Epoch:
        return self._epoch

    def primary_address(self) -> Address | None:
        return self._primary

    async def decide(self, kind: str, command: msgspec.Struct) -> Result[msgspec.Struct, CommandFailure]:
        return Failure(CommandFailure("not-leading"))

    async def confirm_leadership(self) -> bool:
        epoch = self._epoch
        for other in self._others:
            if other == self._messenger.identity.internal:
                continue
            answer = await self._messenger.call(other, ConfirmLead(epoch), LeadConfirmed, Seconds(0.2))
            if isinstance(answer, Success):
                return bool(answer.unwrap().confirmed) and self.leads() and epoch == self._epoch
        return False

    def report(self) -> ViewReport:
        raise NotImplementedError

    def on_change(self, callback: Callable[[], None]) -> None:
        self._callbacks.append(callback)


class FakeBundleSource:
    """The bundle source of one control daemon over the state on its disk; the disk survives a restart of the daemon."""

    def __init__(self, state: BundleState) -> None:
        self._state = state
        self._callbacks: list[Callable[[Manifest], None]] = []

    def latest(self) -> Manifest | None:
        return self._state.manifest_at(self._state.version)

    def delta_since(self, version: BundleVersion) -> BundleDelta | None:
        return self._state.delta_since(version, self._state.version)

    def on_committed(self, callback: Callable[[Manifest], None]) -> None:
        self._callbacks.append(callback)

    def committed(self) -> None:
        manifest = self.latest()
        assert manifest is not None
        for callback in self._callbacks:
            callback(manifest)


def empty_disk() -> BundleState:
    return BundleState(OPERATOR_KEYS)


class Orders:
    """Creates consecutive signed orders, each of which changes the paid rate of one tenant."""

    def __init__(self, tenants: int = 5) -> None:
        self.version = BundleVersion(0)
        self.slices: dict[SliceName, bytes] = {}
        self._tenants = tenants

    def next(self, added: Mapping[SliceName, bytes] | None = None) -> Order:
        """Returns the next order; with ``added`` it adds these slices instead of changing a tenant."""
        if added:
            after = self.slices | dict(added)
        elif self.version == 0:
            after = sample_slices(self._tenants)
        else:
            tenant = Tenant(
                name=TenantName(f"tenant-{self.version % self._tenants}"),
                priority_class=ClassName("gold"),
                paid_rate=10.0 + self.version,
            )
            after = self.slices | dict([slice_of(tenant)])
        order = order_between(self.version, self.slices, after)
        self.version, self.slices = order.manifest.version, after
        return order
