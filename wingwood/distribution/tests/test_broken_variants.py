"""Each check must be able to fail: broken variants of the fleet are caught (docs/DESIGN.md sections 8 and 9)."""

from __future__ import annotations

import unittest
from collections.abc import Sequence

import msgspec

from ...identifiers import Address, BundleVersion, Instant, Seconds
from ...membership.coordinator import MembershipCoordinator
from ...membership.coordinator_peer import CoordinatorPeer as _Peer
from ...membership.limits import SessionTimes
from ...membership.messages import ClusterUpdate, Heartbeat, SessionsReport, UnreachableCoordinator
from ...membership.tests import test_sessions as sessions
from ...transport.frames import Identity
from ..follower import BundleFollower
from ..freshness import FreshnessProver
from ..limits import DistributionLimits
from ..publisher import BundlePublisher
from . import test_distribution as distribution
from .small_fleet import ControlParts, RouterParts, SmallFleet


class TrustingProver(FreshnessProver):
    """Says that it leads without asking anybody."""

    async def prove(self) -> bool:
        return self._core.leads()


class AgelessProver(FreshnessProver):
    """Forgets how old its proof is."""

    def news(self) -> ClusterUpdate:
        return msgspec.structs.replace(super().news(), proof_age=Seconds(0.0))


class LonelyProver(FreshnessProver):
    def _sources(self) -> list[Address]:
        return super()._sources()[:1]


class LateCountingFollower(BundleFollower):
    """Counts a proof from when the answer came instead of from before the question."""

    def _on_news(self, news: ClusterUpdate, asked: Instant) -> None:
        super()._on_news(news, self._context.clock.monotonic())


class CarelessFollower(BundleFollower):
    """Takes a proof of a version that it doesn't have."""

    def _note_proof(self, version: BundleVersion, proven: Instant) -> None:
        super()._note_proof(BundleVersion(0), proven)


class LingeringFollower(BundleFollower):
    """Serves a second longer than the bound."""

    def may_serve(self) -> bool:
        proven = self.proven_newest_at()
        return proven is not None and self._context.clock.monotonic() - proven <= 6.0


class HearsayKeeper(MembershipCoordinator):
    """Renews a session whatever its daemon hears."""

    def _renew(self, peer: Identity, message: Heartbeat, now: Instant, was_member: bool) -> bool:
        return super()._renew(peer, msgspec.structs.replace(message, last_answer_age=Seconds(0.0)), now, was_member)


class ForgetfulKeeper(MembershipCoordinator):
    """Believes a keeper's young life that nobody holds a session there."""

    def _apply_report(self, peer: _Peer, report: SessionsReport, reported_at: Instant) -> None:
        super()._apply_report(peer, msgspec.structs.replace(report, settling=False), reported_at)


class SelfAssuredKeeper(MembershipCoordinator):
    """Takes all others for dead rather than itself for cut off."""

    def _check_isolation(self, now: Instant) -> None:
        pass


class KeeperWithoutRelay(MembershipCoordinator):
    def _relay(self, unreachable: Sequence[UnreachableCoordinator]) -> list[SessionsReport]:
        return []


def fleet_of(
    keeper: type[MembershipCoordinator] = MembershipCoordinator,
    prover: type[FreshnessProver] = FreshnessProver,
    follower: type[BundleFollower] = BundleFollower,
    times: SessionTimes | None = None,
    limits: DistributionLimits | None = None,
) -> type[SmallFleet]:
    class Publisher(BundlePublisher):
        prover_class = prover

    class Control(ControlParts):
        keeper_class = keeper
        publisher_class = Publisher

    class Router(RouterParts):
        follower_class = follower

    Control.times = Router.times = times or SessionTimes()
    Control.limits = Router.limits = limits or DistributionLimits()

    class Fleet(SmallFleet):
        control_parts = Control
        router_parts = Router

    return Fleet


Scenario = type[sessions.SessionsTest] | type[distribution.RollOutTest] | type[distribution.FreshnessTest]


class BrokenVariantsTest(unittest.TestCase):
    def caught(self, fleet: type[SmallFleet], scenario: Scenario, test: str) -> None:
        broken = type("Broken", (scenario,), {"fleet": fleet})
        with self.assertRaises(AssertionError):
            broken(f"test_{test}").debug()

    def test_proofs(self) -> None:
        self.caught(
            fleet_of(prover=TrustingProver), distribution.FreshnessTest, "cut_off_former_primary_proves_nothing"
        )
        frozen_control = "frozen_control_daemon_that_wakes_does_not_pass_on_an_old_proof"
        self.caught(fleet_of(prover=AgelessProver), distribution.FreshnessTest, frozen_control)
        relay = "keeper_that_cannot_reach_the_primary_passes_on_the_proof_of_another"
        self.caught(fleet_of(prover=LonelyProver), distribution.FreshnessTest, relay)

    def test_counting(self) -> None:
        """The short wait for an answer hides what is counted wrongly, so it is made long here."""
        buffered, patient = (
            "frozen_router_does_not_serve_on_a_buffered_answer",
            SessionTimes(answer_timeout=Seconds(30.0)),
        )
        type("Patient", (distribution.FreshnessTest,), {"fleet": fleet_of(times=patient)})(f"test_{buffered}").debug()
        self.caught(fleet_of(follower=LateCountingFollower, times=patient), distribution.FreshnessTest, buffered)
        unable = "router_that_hears_of_a_version_but_cannot_get_it_stops"
        self.caught(fleet_of(follower=CarelessFollower), distribution.FreshnessTest, unable)
        clocks = "slow_and_fast_clocks_stay_within_the_margin"
        self.caught(fleet_of(follower=LingeringFollower), distribution.FreshnessTest, clocks)

    def test_roll_out(self) -> None:
        patient = DistributionLimits(home_wait=Seconds(30.0))
        at_home = "home_that_is_killed_frozen_or_cut_off_in_that_moment_breaks_nothing"
        self.caught(fleet_of(limits=patient), distribution.RollOutTest, at_home)
        hasty = DistributionLimits(pause=Seconds(0.0))
        self.caught(fleet_of(limits=hasty), distribution.RollOutTest, "storm_of_fifty_changes_a_second")

    def test_sessions(self) -> None:
        deaf = "router_partitioned_in_one_direction_leaves_and_rejoins"
        self.caught(fleet_of(HearsayKeeper), sessions.SessionsTest, deaf)
        apart = "partitioned_control_daemons_receive_sessions_by_relay"
        self.caught(fleet_of(KeeperWithoutRelay), sessions.SessionsTest, apart)
        restarted = "control_daemon_restarted_at_once_loses_no_member"
        self.caught(fleet_of(ForgetfulKeeper), sessions.SessionsTest, restarted)
        isolated = "routers_move_away_from_an_isolated_coordinator"
        self.caught(fleet_of(SelfAssuredKeeper), sessions.SessionsTest, isolated)
        graceless = SessionTimes(grace_period=Seconds(0.3), session_timeout=Seconds(0.3))
        self.caught(fleet_of(times=graceless), sessions.SessionsTest, "no_member_flaps_when_a_control_daemon_fails")
        hasty = SessionTimes(settling_period=Seconds(0.0))
        self.caught(fleet_of(times=hasty), sessions.SessionsTest, "no_member_is_lost_when_all_control_daemons_restart")
