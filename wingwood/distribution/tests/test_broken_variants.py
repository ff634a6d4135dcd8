"""Runs tests of membership and distribution on faulty variants of the fleet, which they must reject
(docs/DESIGN.md sections 8 and 9).

This guards against tests that cannot fail.
"""

from __future__ import annotations

import unittest
from collections.abc import Sequence

import msgspec

from ...identifiers import Address, BundleVersion, Instant, Seconds
from ...membership.coordinator import MembershipCoordinator
from ...membership.coordinator_peer import CoordinatorPeer
from ...membership.isolation import IsolationDetector
from ...membership.local_sessions import LocalSessions
from ...membership.membership_options import MembershipOptions
from ...membership.messages import ClusterUpdate, Heartbeat, SessionsReport, UnreachableCoordinator
from ...membership.peer_reports import PeerReports
from ...membership.session_reports import SessionsReporter
from ...membership.tests import test_sessions as sessions
from ...transport.frames import Identity
from ..applied_bundle import AppliedBundle
from ..distribution_options import DistributionOptions
from ..follower import BundleFollower
from ..freshness_confirmation import FreshnessConfirmer
from . import test_distribution as distribution
from .small_fleet import ControlParts, RouterParts, SmallFleet


class TrustingConfirmer(FreshnessConfirmer):
    """Claims to be primary without asking the other control daemons."""

    async def confirm_leadership(self) -> bool:
        return self._core.leads()


class AgelessConfirmer(FreshnessConfirmer):
    """Reports each confirmation with age 0."""

    def membership_update(self) -> ClusterUpdate:
        return msgspec.structs.replace(super().membership_update(), confirmation_age=Seconds(0.0))


class PrimaryOnlyConfirmer(FreshnessConfirmer):
    """Asks only the primary for a confirmation, never other control daemons."""

    def _sources(self) -> list[Address]:
        return super()._sources()[:1]


class LateConfirmationFollower(BundleFollower):
    """Counts the age of a confirmation from the answer instead of from before the request."""

    def _on_membership_update(self, membership_update: ClusterUpdate, asked_at: Instant) -> None:
        super()._on_membership_update(membership_update, self._context.clock.monotonic())


class UncheckedConfirmationBundle(AppliedBundle):
    """Accepts a confirmation of a version that is not applied."""

    def record_confirmation(self, version: BundleVersion, confirmed_at: Instant) -> None:
        super().record_confirmation(BundleVersion(0), confirmed_at)


class LateStoppingBundle(AppliedBundle):
    """Serves for a second longer than the bound allows."""

    def may_serve(self) -> bool:
        confirmed_at = self.confirmed_latest_at()
        return confirmed_at is not None and self._context.clock.monotonic() - confirmed_at <= 6.0


class UnconditionalSessions(LocalSessions):
    """Renews a session even when its daemon receives no answers."""

    def renew(self, peer: Identity, heartbeat: Heartbeat, now: Instant, was_member: bool) -> bool:
        return super().renew(peer, msgspec.structs.replace(heartbeat, last_answer_age=Seconds(0.0)), now, was_member)


class UnconditionalRenewalCoordinator(MembershipCoordinator):
    sessions_class = UnconditionalSessions


class TrustingReports(PeerReports):
    """Trusts a coordinator that has just restarted when it reports no sessions."""

    def _apply(self, peer: CoordinatorPeer, report: SessionsReport, reported_at: Instant) -> None:
        super()._apply(peer, msgspec.structs.replace(report, warming_up=False), reported_at)


class SessionForgettingCoordinator(MembershipCoordinator):
    reports_class = TrustingReports


class NoIsolationDetector(IsolationDetector):
    """Considers all other coordinators failed rather than itself cut off."""

    def check(self, now: Instant) -> None:
        pass


class NeverIsolatedCoordinator(MembershipCoordinator):
    isolation_class = NoIsolationDetector


class ReporterWithoutRelay(SessionsReporter):
    """Does not forward the sessions that other coordinators report."""

    def _relay(self, unreachable: Sequence[UnreachableCoordinator]) -> list[SessionsReport]:
        return []


class CoordinatorWithoutRelay(MembershipCoordinator):
    reporter_class = ReporterWithoutRelay


def fleet_of(
    coordinator: type[MembershipCoordinator] = MembershipCoordinator,
    confirmer: type[FreshnessConfirmer] = FreshnessConfirmer,
    bundle: type[AppliedBundle] = AppliedBundle,
    follower: type[BundleFollower] = BundleFollower,
    membership: MembershipOptions | None = None,
    options: DistributionOptions | None = None,
) -> type[SmallFleet]:
    class Control(ControlParts):
        coordinator_class = coordinator
        confirmer_class = confirmer

    class Router(RouterParts):
        bundle_class = bundle
        follower_class = follower

    Control.membership_options = Router.membership_options = membership or MembershipOptions()
    Control.options = Router.options = options or DistributionOptions()

    class Fleet(SmallFleet):
        control_parts = Control
        router_parts = Router

    return Fleet


Scenario = type[sessions.SessionsTest] | type[distribution.PropagationTest] | type[distribution.FreshnessTest]


class BrokenVariantsTest(unittest.TestCase):
    def assert_rejected(self, fleet: type[SmallFleet], scenario: Scenario, test: str) -> None:
        broken = type("Broken", (scenario,), {"fleet": fleet})
        with self.assertRaises(AssertionError):
            broken(f"test_{test}").debug()

    def test_confirmations(self) -> None:
        self.assert_rejected(
            fleet_of(confirmer=TrustingConfirmer),
            distribution.FreshnessTest,
            "partitioned_former_primary_confirms_nothing",
        )
        frozen_control = "resumed_control_daemon_does_not_forward_an_old_confirmation"
        self.assert_rejected(fleet_of(confirmer=AgelessConfirmer), distribution.FreshnessTest, frozen_control)
        relay = "coordinator_without_the_primary_forwards_the_confirmation_of_another"
        self.assert_rejected(fleet_of(confirmer=PrimaryOnlyConfirmer), distribution.FreshnessTest, relay)

    def test_counting(self) -> None:
        """The short timeout for an answer hides a wrong age, so it is made long here."""
        buffered = "frozen_router_does_not_serve_on_a_buffered_answer"
        patient = MembershipOptions(answer_timeout_s=Seconds(30.0))
        correct, late = fleet_of(membership=patient), fleet_of(follower=LateConfirmationFollower, membership=patient)
        type("Patient", (distribution.FreshnessTest,), {"fleet": correct})(f"test_{buffered}").debug()
        self.assert_rejected(late, distribution.FreshnessTest, buffered)
        unable = "router_that_cannot_fetch_an_announced_version_stops_serving"
        self.assert_rejected(fleet_of(bundle=UncheckedConfirmationBundle), distribution.FreshnessTest, unable)
        clocks = "slow_and_fast_clocks_stay_within_the_margin"
        self.assert_rejected(fleet_of(bundle=LateStoppingBundle), distribution.FreshnessTest, clocks)

    def test_propagation(self) -> None:
        patient = DistributionOptions(push_wait=Seconds(30.0))
        at_home = "faulty_tree_root_does_not_delay_a_change"
        self.assert_rejected(fleet_of(options=patient), distribution.PropagationTest, at_home)
        hasty = DistributionOptions(min_publish_interval=Seconds(0.0))
        self.assert_rejected(fleet_of(options=hasty), distribution.PropagationTest, "fifty_changes_per_second")

    def test_sessions(self) -> None:
        deaf = "router_partitioned_in_one_direction_leaves_and_rejoins"
        self.assert_rejected(fleet_of(UnconditionalRenewalCoordinator), sessions.SessionsTest, deaf)
        apart = "partitioned_control_daemons_receive_sessions_by_relay"
        self.assert_rejected(fleet_of(CoordinatorWithoutRelay), sessions.SessionsTest, apart)
        restarted = "control_daemon_restarted_at_once_loses_no_member"
        self.assert_rejected(fleet_of(SessionForgettingCoordinator), sessions.SessionsTest, restarted)
        isolated = "routers_move_away_from_an_isolated_coordinator"
        self.assert_rejected(fleet_of(NeverIsolatedCoordinator), sessions.SessionsTest, isolated)
        graceless = MembershipOptions(grace_period_s=Seconds(0.3), session_timeout_s=Seconds(0.3))
        self.assert_rejected(
            fleet_of(membership=graceless), sessions.SessionsTest, "no_member_flaps_when_a_control_daemon_fails"
        )
        hasty = MembershipOptions(warm_up_period_s=Seconds(0.0))
        self.assert_rejected(
            fleet_of(membership=hasty), sessions.SessionsTest, "no_member_is_lost_when_all_control_daemons_restart"
        )
