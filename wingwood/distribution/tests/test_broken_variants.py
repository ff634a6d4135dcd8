"""Runs tests of membership and distribution on faulty variants of the fleet, which they must reject
(docs/DESIGN.md sections 8 and 9).

This guards against tests that cannot fail.
"""

from __future__ import annotations

import unittest
from collections.abc import Sequence

import msgspec

from ...identifiers import Address, BundleVersion, Instant, Seconds
from ...membership.keeper import SessionKeeper
from ...membership.keeper_peer import KeeperPeer as _Peer
from ...membership.limits import SessionTimes
from ...membership.messages import Heartbeat, News, SessionsTold, Unheard
from ...membership.tests import test_sessions as sessions
from ...transport.frames import Identity
from ..follower import BundleFollower
from ..freshness import FreshnessProver
from ..limits import DistributionLimits
from ..publisher import BundlePublisher
from . import test_distribution as distribution
from .small_fleet import ControlParts, RouterParts, SmallFleet


class TrustingProver(FreshnessProver):
    """Claims to be primary without asking the other control daemons."""

    async def prove(self) -> bool:
        return self._core.leads()


class AgelessProver(FreshnessProver):
    """Reports each proof with age 0."""

    def membership_update(self) -> News:
        return msgspec.structs.replace(super().membership_update(), proof_age=Seconds(0.0))


class PrimaryOnlyProver(FreshnessProver):
    """Asks only the primary for a proof, never other control daemons."""

    def _sources(self) -> list[Address]:
        return super()._sources()[:1]


class LateProofFollower(BundleFollower):
    """Counts the age of a proof from the answer instead of from before the request."""

    def _on_membership_update(self, membership_update: News, asked: Instant) -> None:
        super()._on_membership_update(membership_update, self._context.clock.monotonic())


class UncheckedProofFollower(BundleFollower):
    """Accepts a proof of a version that is not in force on it."""

    def _record_proof(self, version: BundleVersion, proven: Instant) -> None:
        super()._record_proof(BundleVersion(0), proven)


class LateStoppingFollower(BundleFollower):
    """Serves for a second longer than the bound allows."""

    def may_serve(self) -> bool:
        proven = self.proven_latest_at()
        return proven is not None and self._context.clock.monotonic() - proven <= 6.0


class UnconditionalRenewalCoordinator(SessionKeeper):
    """Renews a session even when its daemon receives no answers."""

    def _renew(self, peer: Identity, message: Heartbeat, now: Instant, was_member: bool) -> bool:
        return super()._renew(peer, msgspec.structs.replace(message, unanswered=Seconds(0.0)), now, was_member)


class SessionForgettingCoordinator(SessionKeeper):
    """Trusts a coordinator that has just restarted when it reports no sessions."""

    def _take(self, peer: _Peer, told: SessionsTold, heard: Instant) -> None:
        super()._take(peer, msgspec.structs.replace(told, settling=False), heard)


class NeverAloneCoordinator(SessionKeeper):
    """Considers all other coordinators failed rather than itself cut off."""

    def _look_whether_alone(self, now: Instant) -> None:
        pass


class CoordinatorWithoutRelay(SessionKeeper):
    """Does not forward the sessions that other coordinators report."""

    def _relay(self, unheard: Sequence[Unheard]) -> list[SessionsTold]:
        return []


def fleet_of(
    coordinator: type[SessionKeeper] = SessionKeeper,
    prover: type[FreshnessProver] = FreshnessProver,
    follower: type[BundleFollower] = BundleFollower,
    times: SessionTimes | None = None,
    limits: DistributionLimits | None = None,
) -> type[SmallFleet]:
    class Publisher(BundlePublisher):
        prover_class = prover

    class Control(ControlParts):
        coordinator_class = coordinator
        publisher_class = Publisher

    class Router(RouterParts):
        follower_class = follower

    Control.times = Router.times = times or SessionTimes()
    Control.limits = Router.limits = limits or DistributionLimits()

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

    def test_proofs(self) -> None:
        self.assert_rejected(
            fleet_of(prover=TrustingProver), distribution.FreshnessTest, "cut_off_former_primary_proves_nothing"
        )
        frozen_control = "woken_control_daemon_does_not_forward_an_old_proof"
        self.assert_rejected(fleet_of(prover=AgelessProver), distribution.FreshnessTest, frozen_control)
        relay = "coordinator_without_the_primary_forwards_the_proof_of_another"
        self.assert_rejected(fleet_of(prover=PrimaryOnlyProver), distribution.FreshnessTest, relay)

    def test_counting(self) -> None:
        """The short timeout for an answer hides a wrong age, so it is made long here."""
        buffered, patient = "frozen_router_does_not_serve_on_a_buffered_answer", SessionTimes(answer=Seconds(30.0))
        type("Patient", (distribution.FreshnessTest,), {"fleet": fleet_of(times=patient)})(f"test_{buffered}").debug()
        self.assert_rejected(fleet_of(follower=LateProofFollower, times=patient), distribution.FreshnessTest, buffered)
        unable = "router_that_cannot_fetch_an_announced_version_stops_serving"
        self.assert_rejected(fleet_of(follower=UncheckedProofFollower), distribution.FreshnessTest, unable)
        clocks = "slow_and_fast_clocks_stay_within_the_margin"
        self.assert_rejected(fleet_of(follower=LateStoppingFollower), distribution.FreshnessTest, clocks)

    def test_propagation(self) -> None:
        patient = DistributionLimits(push_wait=Seconds(30.0))
        at_home = "faulty_tree_root_does_not_delay_a_change"
        self.assert_rejected(fleet_of(limits=patient), distribution.PropagationTest, at_home)
        hasty = DistributionLimits(min_publish_interval=Seconds(0.0))
        self.assert_rejected(fleet_of(limits=hasty), distribution.PropagationTest, "fifty_changes_per_second")

    def test_sessions(self) -> None:
        deaf = "router_cut_off_in_one_direction_leaves_and_comes_back"
        self.assert_rejected(fleet_of(UnconditionalRenewalCoordinator), sessions.SessionsTest, deaf)
        apart = "control_daemons_cut_from_each_other_still_see_each_others_sessions"
        self.assert_rejected(fleet_of(CoordinatorWithoutRelay), sessions.SessionsTest, apart)
        restarted = "control_daemon_restarted_at_once_loses_nobody"
        self.assert_rejected(fleet_of(SessionForgettingCoordinator), sessions.SessionsTest, restarted)
        isolated = "keeper_cut_off_from_the_others_loses_its_routers_to_them"
        self.assert_rejected(fleet_of(NeverAloneCoordinator), sessions.SessionsTest, isolated)
        graceless = SessionTimes(grace=Seconds(0.3), lost=Seconds(0.3))
        self.assert_rejected(
            fleet_of(times=graceless), sessions.SessionsTest, "no_member_flaps_when_a_control_daemon_dies"
        )
        hasty = SessionTimes(settle=Seconds(0.0))
        self.assert_rejected(
            fleet_of(times=hasty), sessions.SessionsTest, "all_control_daemons_killed_and_started_empty_of_sessions"
        )
