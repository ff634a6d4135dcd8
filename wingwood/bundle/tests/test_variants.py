"""Tests of variants for some routers, and of roll-outs in a bundle (docs/DESIGN.md section 19)."""

from __future__ import annotations

import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from ...identifiers import BundleVersion, ClassName, DaemonName, PoolName, Seconds, ServiceName, SliceName, Zone
from ..canonical import canonical_json
from ..errors import BundleError
from ..model import Bundle, BundleDelta, PriorityClass, Rollout, RolloutChange, Service
from ..orders import difference
from ..parse import apply_delta, parse_bundle
from ..rollouts import required_slices
from ..route import Route
from ..variants import VariantTarget, choose_variants, selects, share_bucket
from .samples import OPERATOR_KEYS, key_digest, order_between, sample_slices, slice_of

Slices = dict[SliceName, bytes]
CHAT = SliceName("service/chat")
A = VariantTarget(Zone("a"), DaemonName("router-1"))
B = VariantTarget(Zone("b"), DaemonName("router-2"))
TARGETS = (
    None,
    *(VariantTarget(Zone(zone), DaemonName(f"router-{number}")) for number in range(1, 5) for zone in "ab"),
)


def changed(name: SliceName, /, **fields: object) -> bytes:
    """Returns a sample slice with other values in these fields."""
    return canonical_json({**msgspec.json.decode(sample_slices()[name]), **fields})


def read(slices: Slices, target: VariantTarget | None = None) -> Bundle:
    return parse_bundle(order_between(0, {}, slices).manifest, slices, target).unwrap()


def error_of(slices: Slices) -> BundleError:
    return parse_bundle(order_between(0, {}, slices).manifest, slices).failure()


def rollout_of(stage: int = 0, state: str = "running", name: str = "bigger", **fields: object) -> Rollout:
    plain = msgspec.json.decode(sample_slices()[CHAT])
    change = RolloutChange(slice=CHAT, before=plain, after={**plain, "pool": "large"})
    rollout = Rollout(
        name=name,
        stages=("zone=a", "share=25", "all"),
        stage=stage,
        state=state,  # type: ignore[arg-type]
        changes=(change,),
        watch=Seconds(60.0),
        highest_failures=0.02,
        highest_refusals=0.05,
    )
    return msgspec.structs.replace(rollout, **fields)


def bundle_during(rollout: Rollout) -> Slices:
    """Returns the slices that a bundle must contain while the roll-out is running."""
    return {
        **sample_slices(),
        **required_slices(rollout),
        SliceName(f"rollout/{rollout.name}"): canonical_json(rollout),
    }


class VariantChoiceTest(unittest.TestCase):
    """Guards against variants that reach the wrong routers, or change what must be the same on all routers.

    A caller may retry at a router with another variant; a call that may run only once must not run again there.
    """

    def test_variant_applies_to_routers_of_its_zone_only(self) -> None:
        slices = {**sample_slices(), SliceName(f"{CHAT}@zone=a"): changed(CHAT, pool="large")}
        pools = [read(slices, target).services[ServiceName("chat")].pool for target in (A, B, None)]
        self.assertEqual(pools, ["large", "model", "model"])
        self.assertEqual(read(slices, A).slices, read(slices, B).slices)

    def test_routes_and_classes_may_have_variants(self) -> None:
        slices = {
            **sample_slices(),
            SliceName("route/chat@zone=a"): changed(SliceName("route/chat"), service="summaries"),
            SliceName("class/gold@zone=a"): changed(SliceName("class/gold"), weight=9.0),
        }
        here, there = read(slices, A), read(slices, B)
        self.assertEqual([route.name for route in here.routes], [route.name for route in there.routes])
        targets = [next(route.service for route in view.routes if route.name == "chat") for view in (here, there)]
        self.assertEqual(targets, ["summaries", "chat"])
        self.assertEqual([view.classes[ClassName("gold")].weight for view in (here, there)], [9.0, 4.0])

    def test_shares_include_smaller_shares_and_zones_take_precedence(self) -> None:
        targets = [VariantTarget(Zone("a"), DaemonName(f"router-{number}")) for number in range(1000)]
        insides = [{target.name for target in targets if selects(f"share={share}", target)} for share in (10, 25, 99)]
        self.assertTrue(insides[0] < insides[1] < insides[2])
        self.assertEqual(insides[0], {target.name for target in targets if share_bucket(target.name) in range(10)})
        for share, inside in zip((10, 25, 99), insides, strict=True):
            self.assertAlmostEqual(len(inside) / 1000, share / 100, delta=0.03)
        names = [SliceName(f"{CHAT}@{whom}") for whom in ("share=50", "share=99", "zone=a", "zone=b")]
        early = next(target for target in targets if share_bucket(target.name) < 50)
        self.assertEqual(choose_variants(names, early), {CHAT: f"{CHAT}@zone=a"})
        self.assertEqual(choose_variants(names[:2], early), {CHAT: f"{CHAT}@share=50"})

    def test_invalid_variants_are_refused_with_the_reason(self) -> None:
        tenant, cards = SliceName("tenant/tenant-1"), SliceName("service/cards")
        for name, data, expected_text in (
            (f"{tenant}@zone=a", changed(tenant, paid_rate=1.0), "a tenant counts for the whole fleet"),
            ("rollout/x@zone=a", b"{}", "only services, routes and classes"),
            (f"{CHAT}@region=a", changed(CHAT), "zone=ZONE or share=PERCENT"),
            (f"{CHAT}@share=0", changed(CHAT), "from 1 to 99"),
            (f"{CHAT}@share=100", changed(CHAT), "from 1 to 99"),
            (f"{CHAT}@zone=a@zone=b", changed(CHAT), "@zone=ZONE"),
            (f"{CHAT}@zone=", changed(CHAT), "@zone=ZONE"),
            ("service/new@zone=a", changed(CHAT, name="new"), "a variant needs the plain one"),
            (f"{CHAT}@zone=a", changed(CHAT, name="new"), "must be chat"),
            (f"{CHAT}@zone=a", changed(CHAT, repeatable=False), "must be True"),
            (f"{cards}@zone=a", changed(cards, repeatable=True), "must be False"),
            (f"{cards}@zone=a", changed(cards, kind="model"), "must be plain"),
            (f"{CHAT}@zone=a", changed(CHAT, retry_share=0.9), "a share from 0"),
            ("route/chat@zone=a", changed(SliceName("route/chat"), path_prefix="/x"), "as in the plain one"),
            ("route/chat@zone=a", changed(SliceName("route/chat"), service="none"), "no service/none"),
            ("route/chat@zone=a", changed(SliceName("route/chat"), service="cards"), "would run again"),
            ("route/cards@zone=a", changed(SliceName("route/cards"), service="chat"), "would run again"),
        ):
            error = error_of({**sample_slices(), SliceName(name): data})
            self.assertIn(expected_text, str(error), name)
            self.assertEqual(error.slice.partition("@")[0], name.partition("@")[0])

    def test_plain_slice_must_not_change_against_its_variant(self) -> None:
        variant = SliceName(f"{CHAT}@zone=a")
        before = {**sample_slices(), variant: changed(CHAT, pool="large")}
        current = apply_delta(None, complete_delta(before, 1), OPERATOR_KEYS, A).unwrap()
        after = {**before, CHAT: changed(CHAT, repeatable=False)}
        self.assertIn("must be False", str(apply_delta(current, step(before, after, 2), OPERATOR_KEYS, A).failure()))

    def test_removed_key_is_gone_for_all_routers_during_a_rollout(self) -> None:
        before = bundle_during(rollout_of())
        tenant = SliceName("tenant/tenant-1")
        after = {**before, tenant: changed(tenant, keys=[])}
        for target in TARGETS:
            current = apply_delta(None, complete_delta(before, 1), OPERATOR_KEYS, target).unwrap()
            self.assertIn(key_digest("key-1"), current.keys)
            self.assertNotIn(
                key_digest("key-1"), apply_delta(current, step(before, after, 2), OPERATOR_KEYS, target).unwrap().keys
            )


def complete_delta(slices: Slices, version: int) -> BundleDelta:
    manifest = order_between(version - 1, {}, slices).manifest
    return BundleDelta(since=BundleVersion(0), manifest=manifest, changed=slices, removed=())


def step(before: Slices, after: Slices, version: int) -> BundleDelta:
    altered, removed = difference(before, after)
    manifest = order_between(version - 1, before, after).manifest
    return BundleDelta(since=BundleVersion(version - 1), manifest=manifest, changed=altered, removed=removed)


class RolloutTest(unittest.TestCase):
    """Guards against bundles whose slices disagree with a running roll-out, such as after a client failed midway."""

    def test_stages_include_earlier_ones_and_the_last_has_no_variant(self) -> None:
        variants = [sorted(read(bundle_during(rollout_of(stage))).variants) for stage in range(3)]
        self.assertEqual(variants, [[f"{CHAT}@zone=a"], [f"{CHAT}@share=25", f"{CHAT}@zone=a"], []])
        self.assertEqual(read(bundle_during(rollout_of(2)), B).services[ServiceName("chat")].pool, "large")

    def test_slices_must_agree_with_a_running_rollout(self) -> None:
        slices = bundle_during(rollout_of())
        variant = SliceName(f"{CHAT}@zone=a")
        for altered, expected_text in (
            ({**slices, CHAT: changed(CHAT, deadline=9.0)}, "wingwood rollout roll-back bigger"),
            ({**slices, variant: changed(CHAT, pool="other")}, "at stage zone=a"),
            ({**slices, SliceName(f"{CHAT}@zone=b"): changed(CHAT)}, "must not stand"),
            ({name: data for name, data in slices.items() if name != variant}, "must stand"),
        ):
            self.assertIn(expected_text, str(error_of(altered)))
        # After the roll-back any order may change the slices.
        done = rollout_of(state="rolled-back")
        read({**sample_slices(), SliceName("rollout/bigger"): canonical_json(done), CHAT: changed(CHAT, deadline=9.0)})

    def test_two_rollouts_must_not_change_one_slice(self) -> None:
        slices = {**bundle_during(rollout_of()), **bundle_during(rollout_of(name="other"))}
        self.assertIn("rollout/bigger is changing it", str(error_of(slices)))

    def test_changes_of_all_running_rollouts_are_limited(self) -> None:
        slices = sample_slices()
        for number in range(6):
            names = [f"c{number}-{index:02}" for index in range(100)]
            before = {name: {"name": name, "weight": 1.0} for name in names}
            changes = tuple(
                RolloutChange(
                    slice=SliceName(f"class/{name}"), before=before[name], after={**before[name], "weight": 2.0}
                )
                for name in names
            )
            rollout = rollout_of(name=f"r{number}", changes=changes)
            more = {SliceName(f"rollout/r{number}"): canonical_json(rollout), **required_slices(rollout)}
            if number == 5:
                self.assertIn("keep to 500 slices", str(error_of({**slices, **more})))
            slices.update(more)
            if number == 4:
                read(slices)

    def test_invalid_fields_of_a_rollout_are_refused(self) -> None:
        tenant = RolloutChange(slice=SliceName("tenant/tenant-1"), before={}, after={"keys": []})
        same = RolloutChange(slice=CHAT, before={}, after={})
        for fields, expected_text in (
            ({"stages": ("zone=a",)}, "the last one is all"),
            ({"stages": ("half", "all")}, "a stage is zone=ZONE"),
            ({"stages": ("zone=a", "zone=a", "all")}, "each stage once"),
            ({"stage": 3}, "from 0 to 2"),
            ({"watch": Seconds(-1.0)}, "seconds from 0"),
            ({"highest_failures": 2.0}, "a share"),
            ({"changes": (tenant,)}, "tenants and keys change everywhere at once"),
            ({"changes": (same,)}, "the same"),
            ({"changes": ()}, "1 to 100"),
        ):
            slices = {**sample_slices(), SliceName("rollout/bigger"): canonical_json(rollout_of(**fields))}
            self.assertIn(expected_text, str(error_of(slices)))


letters = st.sampled_from(["a", "b"])
whoms = st.sampled_from(["", "@zone=a", "@zone=b", "@share=20", "@share=60"])
parts = st.tuples(
    st.one_of(
        st.builds(
            Service, name=letters, pool=st.sampled_from(["m", "p"]), repeatable=st.sampled_from([True, True, False])
        ),
        st.builds(Route, name=letters, path_prefix=st.sampled_from(["/x", "/x", "/y"]), service=letters),
        st.builds(PriorityClass, name=letters, weight=st.sampled_from([1.0, 2.0])),
    ),
    whoms,
)
contents = st.lists(parts, max_size=10).map(
    lambda found: {SliceName(f"{slice_of(part)[0]}{whom}"): slice_of(part)[1] for part, whom in found}
)
base = {
    name: data
    for letter in "ab"
    for name, data in (
        slice_of(Service(name=ServiceName(letter), pool=PoolName("m"))),
        slice_of(Route(name=letter, path_prefix=f"/{letter}", service=ServiceName(letter))),
        slice_of(PriorityClass(name=ClassName(letter))),
    )
}


class SameEitherWayTest(unittest.TestCase):
    """Guards against variants that a change leaves stale: it must give every router what parsing all slices gives."""

    both: int

    def test_a_change_gives_what_reading_the_whole_gives_at_every_place(self) -> None:
        self.both = 0

        @settings(max_examples=300, deadline=None, derandomize=True)
        @given(contents, contents)
        def compare(first: Slices, second: Slices) -> None:
            before, after = {**base, **first}, {**base, **second}
            for target in TARGETS:
                current = apply_delta(None, complete_delta(before, 1), OPERATOR_KEYS, target).value_or(None)
                delta = step(before, after, 2) if current is not None else complete_delta(after, 2)
                match apply_delta(current, delta, OPERATOR_KEYS, target), parse_bundle(delta.manifest, after, target):
                    case Success(by_change), Success(by_whole):
                        self.assertEqual(by_change, by_whole)
                        self.both += current is not None and by_whole.plain is not None
                    case Failure(), Failure():
                        pass
                    case other:
                        self.fail(f"the two ways differ: {other}")

        compare()
        self.assertGreater(self.both, 50, "too few pairs show a variant")
