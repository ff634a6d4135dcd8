"""Membership on a router: its session with a coordinator and its view of the members (docs/DESIGN.md section 8)."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from ..context.protocols import Context
from ..identifiers import Address, BundleVersion, Epoch, Instant
from ..transport.messenger import Messenger
from .control_directory import ControlDirectory
from .coordinator_selection import CoordinatorSelection
from .coordinator_session import CoordinatorSession, UpdateCallback
from .known_controls import KnownControlsResponder
from .member_list import MemberList
from .member_list_replica import MemberListReplica
from .member_view import MemberView
from .membership_options import MembershipOptions
from .observed_versions import ObservedVersions


class MembershipClient(MemberView):
    """Implements ``Membership`` on a router, with one session at a time at the coordinator ranked first.

    Builds the parts of a client. Owns the source of the bundle version that heartbeats report.
    """

    def __init__(
        self,
        context: Context,
        messenger: Messenger,
        seeds: Sequence[Address],
        options: MembershipOptions | None = None,
    ) -> None:
        super().__init__(MemberList(max_retained_changes=0))
        options = options or MembershipOptions()
        timeout_s = options.answer_timeout_s
        self._version_source: Callable[[], BundleVersion] = lambda: BundleVersion(0)
        self._observed = ObservedVersions()
        self._directory = ControlDirectory(context, messenger, seeds, self, self._observed, timeout_s)
        self._selection = CoordinatorSelection(context, messenger.identity, self, self._directory, options)
        self._session = CoordinatorSession(
            context,
            messenger,
            options,
            self._directory,
            self._selection,
            MemberListReplica(messenger, self, self._directory, timeout_s),
            self._observed,
            self._own_version,
        )
        KnownControlsResponder(messenger, self, self._directory.controls_to_report, self._known_versions)

    def set_version_source(self, in_force: Callable[[], BundleVersion]) -> None:
        """Sets the function that returns the bundle version to report in heartbeats."""
        self._version_source = in_force

    def on_update(self, callback: UpdateCallback) -> None:
        """Registers a callback for the update in each heartbeat answer.

        It receives the update and the local clock's time before the heartbeat was sent.
        """
        self._session.on_update(callback)

    def on_session_lost(self, callback: Callable[[], None]) -> None:
        """Registers a callback for an answer that says that others have seen this daemon leave since the last one."""
        self._session.on_lost(callback)

    def use_seeds(self, seeds: Sequence[Address]) -> None:
        """Replaces the seeds; addresses that were learned since the start are retained."""
        self._directory.use_seeds(seeds)

    def start(self) -> None:
        """Starts the session's heartbeats."""
        self._session.start()

    def stop(self) -> None:
        """Ends the session at once, so that others need not wait for the session timeout."""
        self._session.stop()

    # -- for health, operators' calls and distribution

    def session_confirmed_at(self) -> Instant | None:
        """Returns the local time before the heartbeat that last confirmed the session; None before the first."""
        return self._session.confirmed_at()

    def primary_address(self) -> Address | None:
        """Returns the internal address of the presumed primary according to the latest update."""
        return self._session.primary()

    def epoch(self) -> Epoch:
        """Returns the latest known epoch."""
        return self._observed.epoch

    def known_controls(self) -> list[Address]:
        """Returns the control members first, then other known control daemons (latest first), then the seeds."""
        return self._directory.known_controls()

    def peer_addresses(self) -> list[Address]:
        """Returns the internal addresses of other routers; also works before the first session."""
        return self._directory.peer_addresses()

    def coordinator(self) -> Address | None:
        """Returns the address of the coordinator that has this daemon's session; None if there is none."""
        return self._selection.current()

    def _own_version(self) -> BundleVersion:
        return self._version_source()

    def _known_versions(self) -> ObservedVersions:
        return ObservedVersions(self._observed.epoch, max(self._observed.version, self._own_version()))
