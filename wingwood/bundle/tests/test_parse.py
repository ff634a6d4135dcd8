"""Tests of parsing, checking and changing bundles (docs/DESIGN.md sections 5.1 and 5.2)."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from ...identifiers import BundleVersion, ClassName, PoolName, Seconds, ServiceName, SliceName, TenantName
from ..canonical import root_digest, slice_digest
from ..errors import BundleError
from ..model import Bundle, BundleDelta, CallerLimits, Edition, Engine, Pool, PoolShare, PriorityClass, Service, Tenant
from ..orders import difference
from ..parse import apply_delta, apply_delta_gradually, parse_bundle
from ..route import Route
from ..signing import sign_manifest, verify_manifest
from .samples import (
    OPERATOR,
    OPERATOR_KEYS,
    UNKNOWN_OPERATOR,
    SlicePart,
    key_digest,
    order_between,
    sample_slices,
    slice_of,
)

Slices = dict[SliceName, bytes]


def complete_delta(slices: Slices, version: int = 1) -> BundleDelta:
    """Returns a delta that carries all slices."""
    manifest = order_between(version - 1, {}, slices).manifest
    return BundleDelta(since=BundleVersion(0), manifest=manifest, changed=slices, removed=())


def step(before: Slices, after: Slices, since: int, version: int) -> BundleDelta:
    """Returns a delta from version ``since`` to ``version`` with the differences only."""
    changed, removed = difference(before, after)
    manifest = order_between(version - 1, before, after).manifest
    return BundleDelta(since=BundleVersion(since), manifest=manifest, changed=changed, removed=removed)


def accepted(current: Bundle | None, delta: BundleDelta) -> Bundle:
    """Returns the bundle after applying the delta, which must be valid."""
    return apply_delta(current, delta, OPERATOR_KEYS).unwrap()


def error_of(slices: Slices) -> BundleError:
    """Returns the error for which a bundle of these slices is refused."""
    return parse_bundle(order_between(0, {}, slices).manifest, slices).failure()


class SignatureTest(unittest.TestCase):
    """Guards against accepting a manifest that no operator signed, and against refusing a valid one.

    A valid signature must survive decoding: JSON and msgpack may turn a signing time in full seconds into an integer,
    which would change the signed bytes.
    """

    def test_any_altered_field_breaks_the_signature(self) -> None:
        manifest = order_between(0, {}, sample_slices()).manifest
        self.assertIsNone(verify_manifest(manifest, OPERATOR_KEYS))
        altered = {"version": 2, "base": 1, "root": "0" * 64, "order": "other", "signed_at": 5.0}
        for field, value in altered.items():
            forged = msgspec.structs.replace(manifest, **{field: value})
            self.assertIn("does not fit", verify_manifest(forged, OPERATOR_KEYS) or "", field)

    def test_unknown_and_malformed_signers_are_refused(self) -> None:
        manifest = order_between(0, {}, sample_slices(), key=UNKNOWN_OPERATOR).manifest
        self.assertIn("not one of", verify_manifest(manifest, OPERATOR_KEYS) or "")
        odd = msgspec.structs.replace(manifest, signer="zz")
        self.assertIn("not an Ed25519", verify_manifest(odd, ("zz",)) or "")

    def test_signing_time_in_full_seconds_survives_json_and_msgpack(self) -> None:
        manifest = sign_manifest(
            msgspec.structs.replace(order_between(0, {}, {}).manifest, signed_at=1764650000), OPERATOR
        )
        for codec in (msgspec.json, msgspec.msgpack):
            again = codec.decode(codec.encode(manifest), type=type(manifest))
            self.assertIsNone(verify_manifest(again, OPERATOR_KEYS))


class CrossCheckTest(unittest.TestCase):
    """Guards against invalid slices in force, and against problems that don't name the field and the remedy."""

    def test_each_problem_names_slice_field_value_and_remedy(self) -> None:
        cases: list[tuple[Service | Route | PriorityClass | Tenant, str, str, str]] = [
            (Service(name=ServiceName("chat"), pool=PoolName("Bad Pool")), "pool", "Bad Pool", "a-z"),
            (Service(name=ServiceName("chat"), pool=PoolName("m"), retry_share=0.5), "retry_share", "0.5", "0.2"),
            (Service(name=ServiceName("chat"), pool=PoolName("m"), deadline=Seconds(0)), "deadline", "0.0", "3600"),
            (Route(name="chat", path_prefix="v1", service=ServiceName("chat")), "path_prefix", "v1", "starts with /"),
            (Route(name="chat", path_prefix="/x", service=ServiceName("nope")), "service", "nope", "chat"),
            (Route(name="chat", path_prefix="/x", service=ServiceName("chat"), methods=()), "methods", "()", "one"),
            (PriorityClass(name=ClassName("gold"), weight=0.0), "weight", "0.0", "above 0"),
            (
                Tenant(name=TenantName("tenant-1"), priority_class=ClassName("x"), paid_rate=1.0),
                "priority_class",
                "x",
                "gold",
            ),
            (
                Tenant(name=TenantName("tenant-1"), priority_class=ClassName("gold"), paid_rate=-1.0),
                "paid_rate",
                "-1.0",
                "0",
            ),
            (
                Tenant(
                    name=TenantName("tenant-1"),
                    priority_class=ClassName("gold"),
                    paid_rate=1.0,
                    services=(ServiceName("lost"),),
                ),
                "services",
                "lost",
                "add it",
            ),
            (
                Tenant(
                    name=TenantName("tenant-1"),
                    priority_class=ClassName("gold"),
                    paid_rate=1.0,
                    keys=(key_digest("key-0"),),
                ),
                "keys",
                key_digest("key-0"),
                "tenant/tenant-0",
            ),
        ]
        for part, field, value, remedy in cases:
            name, data = slice_of(part)
            error = error_of({**sample_slices(), name: data})
            self.assertEqual((error.slice, error.field, error.value), (name, field, value))
            self.assertIn(remedy, error.remedy)

    def test_limits_of_fields_in_bundles_with_pools(self) -> None:
        chat: dict[str, Any] = {"name": ServiceName("chat"), "pool": PoolName("model")}
        shares = (PoolShare(pool=PoolName("model"), weight=0), PoolShare(pool=PoolName("spare"), weight=0))
        negative = (PoolShare(pool=PoolName("model"), weight=-1), PoolShare(pool=PoolName("spare"), weight=2))
        twice = (PoolShare(pool=PoolName("model"), weight=1), PoolShare(pool=PoolName("model"), weight=2))
        tenant: dict[str, Any] = {"name": TenantName("tenant-1"), "priority_class": ClassName("gold")}
        route: dict[str, Any] = {"name": "chat", "path_prefix": "/x", "service": ServiceName("chat")}
        cases: list[tuple[SlicePart, str, str]] = [
            (Service(**chat, split=shares), "split", "above 0"),
            (Service(**chat, split=negative), "split", "from 0"),
            (Service(**chat, split=twice), "split", "once"),
            (Service(**chat, attempts=0), "attempts", "from 1"),
            (Service(**chat, urgency=10), "urgency", "9"),
            (Service(**chat, latency_objective=Seconds(0)), "latency_objective", "above 0"),
            (Service(**chat, max_chunk_gap=Seconds(-1)), "longest_pause", "above 0"),
            (Route(**route, host="Chat.Example"), "host", "lower case"),
            (Route(**route, host="chat.example:80"), "host", "without a port"),
            (Route(**route, position=-1), "position", "from 0"),
            (PriorityClass(name=ClassName("gold"), urgency=-1), "urgency", "from 0"),
            (Tenant(**tenant, paid_rate=1.1e10), "paid_rate", "10000000000"),
            (Tenant(**tenant, paid_rate=1.0, burst=Seconds(-1)), "burst", "from 0"),
            (Tenant(**tenant, paid_rate=1.0, plain_tokens=-1), "plain_tokens", "from 0"),
            (Pool(name=PoolName("model"), connections=-1), "connections", "from 0"),
            (Pool(name=PoolName("model"), health_path="health"), "health_path", "starts with /"),
            (Pool(name=PoolName("model"), engine=Engine(slots=0, cache_tokens=1)), "engine.slots", "from 1"),
            (CallerLimits(body_bytes=0), "body_bytes", "from 1"),
            (CallerLimits(idle=Seconds(0)), "idle", "above 0"),
            (CallerLimits(name="others"), "name", "callers"),
            (Edition(number=-1), "number", "from 0"),
            (Edition(name="mine", number=1), "name", "operator"),
        ]
        for part, field, remedy in cases:
            name, data = slice_of(part)
            error = error_of({**sample_slices(), name: data})
            self.assertEqual((error.code, error.slice, error.field), ("field", name, field))
            self.assertIn(remedy, error.remedy)
        for fine in (
            Tenant(**tenant, paid_rate=1e10, burst=Seconds(0), unit="tokens"),
            Service(**chat, split=(shares[0], PoolShare(pool=PoolName("spare"), weight=1))),
            Route(**route, host="chat.example"),
            CallerLimits(),
            Edition(number=3),
        ):
            name, data = slice_of(fine)
            slices = {**sample_slices(), name: data}
            self.assertIsInstance(parse_bundle(order_between(0, {}, slices).manifest, slices), Success)

    def test_a_bundle_declares_all_of_its_pools_or_none(self) -> None:
        model, plain = (slice_of(Pool(name=PoolName(name))) for name in ("model", "plain"))
        error = error_of({**sample_slices(), **dict([model])})
        self.assertEqual(
            (error.code, error.slice, error.field, error.value),
            ("reference", "service/cards", "pool", "plain"),
        )
        both = {**sample_slices(), **dict([model, plain])}
        split = (PoolShare(pool=PoolName("model"), weight=1), PoolShare(pool=PoolName("spare"), weight=0))
        name, data = slice_of(Service(name=ServiceName("chat"), pool=PoolName("model"), split=split))
        self.assertEqual(error_of({**both, name: data}).field, "split")
        current = accepted(None, complete_delta(both))
        self.assertEqual(sorted(current.pools), ["model", "plain"])
        lacking = {key: value for key, value in both.items() if key != "pool/model"}
        error = apply_delta(current, step(both, lacking, 1, 2), OPERATOR_KEYS).failure()
        self.assertEqual((error.code, error.value), ("reference", "model"))
        self.assertEqual(accepted(current, step(both, sample_slices(), 1, 2)).pools, {})

    def test_caller_limits_and_edition_are_parsed_and_removed(self) -> None:
        extra = dict([slice_of(CallerLimits(idle=Seconds(15.0))), slice_of(Edition(number=7, annotations={"a": [1]}))])
        slices = {**sample_slices(), **extra}
        current = accepted(None, complete_delta(slices))
        assert current.caller_limits is not None and current.edition is not None
        self.assertEqual((current.caller_limits.idle, current.edition.number), (15.0, 7))
        bare = accepted(current, step(slices, sample_slices(), 1, 2))
        self.assertEqual((bare.caller_limits, bare.edition), (None, None))

    def test_routes_must_not_overlap(self) -> None:
        name, data = slice_of(Route(name="other", path_prefix="/v1/chat", service=ServiceName("chat")))
        self.assertEqual(error_of({**sample_slices(), name: data}).code, "double")
        apart = [
            Route(name="other", path_prefix="/v1/chat", service=ServiceName("chat"), methods=("GET",)),
            Route(name="third", path_prefix="/v1/chat", service=ServiceName("chat"), host="chat.example"),
        ]
        slices = {**sample_slices(), **dict(slice_of(route) for route in apart)}
        current = accepted(None, complete_delta(slices))
        self.assertEqual([route.name for route in current.route_index.find("", "/v1/chat")], ["chat", "other"])
        name, data = slice_of(msgspec.structs.replace(apart[1], host=""))
        error = apply_delta(current, step(slices, {**slices, name: data}, 1, 2), OPERATOR_KEYS).failure()
        self.assertEqual((error.code, error.slice, error.field), ("double", "route/third", "path_prefix"))

    def test_malformed_slices_are_refused(self) -> None:
        name = SliceName("class/gold")
        for data, remedy in (
            (b'{"name": "gold", "weight": 4.0}', "sorted keys"),
            (b'{"name":"gold","name":"gold","weight":4.0}', "sorted keys"),
            (b'{"name":"iron","weight":4.0}', "must be gold"),
            (b'{"name":"gold","weight":"4"}', "float"),
            (b'{"colour":1,"name":"gold"}', "colour"),
            (b"[" * 100_000, ""),
            (b'{"name":"gold","weight":' + b" " * 300_000 + b"1}", "keep below"),
        ):
            self.assertIn(remedy, error_of({**sample_slices(), name: data}).remedy)
        self.assertIn("are called", error_of({**sample_slices(), SliceName("odd/x"): b"{}"}).remedy)


class DeltaTest(unittest.TestCase):
    """Guards against tampered or incomplete deltas, and against falling back to an older bundle."""

    def test_tampered_missing_and_extra_slices_break_the_root(self) -> None:
        slices = sample_slices()
        delta = complete_delta(slices)
        name = SliceName("tenant/tenant-1")
        rich = slices[name].replace(b"11.0", b"99.0")
        self.assertNotEqual(rich, slices[name])
        bare = {key: data for key, data in slices.items() if key != name}
        extra = {**slices, SliceName("class/more"): b'{"name":"more","weight":1.0}'}
        for changed in ({**slices, name: rich}, bare, extra):
            forged = msgspec.structs.replace(delta, changed=changed)
            self.assertEqual(apply_delta(None, forged, OPERATOR_KEYS).failure().code, "root")

    def test_older_versions_and_gaps_are_refused(self) -> None:
        slices = sample_slices()
        current = accepted(None, complete_delta(slices, 3))
        self.assertEqual(apply_delta(current, complete_delta(slices, 3), OPERATOR_KEYS).failure().code, "stale")
        self.assertEqual(apply_delta(current, complete_delta(slices, 2), OPERATOR_KEYS).failure().code, "stale")
        self.assertEqual(apply_delta(current, step(slices, slices, 5, 6), OPERATOR_KEYS).failure().code, "gap")
        self.assertEqual(accepted(current, step(slices, slices, 2, 6)).version, 6)

    def test_keys_may_move_between_tenants_in_one_change(self) -> None:
        slices = sample_slices()
        current = accepted(None, complete_delta(slices))
        moved = dict(slices)
        for number, keys in ((1, (key_digest("key-0"),)), (0, (key_digest("key-1"),))):
            tenant = msgspec.structs.replace(current.tenants[TenantName(f"tenant-{number}")], keys=keys)
            moved.update([slice_of(tenant)])
        bundle = accepted(current, step(slices, moved, 1, 2))
        self.assertEqual(bundle.keys[key_digest("key-0")], "tenant-1")
        self.assertEqual(current.keys[key_digest("key-0")], "tenant-0")

    def test_removing_a_referenced_slice_is_refused(self) -> None:
        slices = sample_slices()
        current = accepted(None, complete_delta(slices))
        for name, field in (("service/chat", "service"), ("class/gold", "priority_class")):
            after = {key: data for key, data in slices.items() if key != name}
            error = apply_delta(current, step(slices, after, 1, 2), OPERATOR_KEYS).failure()
            self.assertEqual((error.code, error.field), ("reference", field))


names = st.sampled_from(["a", "b", "c", "d"])
services = st.builds(Service, name=names, pool=st.sampled_from(["m", "p", "!"]), repeatable=st.booleans())
routes = st.builds(
    Route,
    name=names,
    path_prefix=st.sampled_from(["/", "/x", "/xy"]),
    service=names,
    host=st.sampled_from(["", "h"]),
    methods=st.sampled_from([("GET",), ("POST",), ("GET", "POST")]),
)
pools = st.builds(Pool, name=st.sampled_from(["m", "p"]))
singles = st.one_of(
    st.builds(CallerLimits, body_bytes=st.sampled_from([0, 1])),
    st.builds(Edition, number=st.integers(0, 2)),
)
classes = st.builds(PriorityClass, name=names, weight=st.sampled_from([1.0, 2.0]))
tenants = st.builds(
    Tenant,
    name=names,
    priority_class=names,
    paid_rate=st.sampled_from([1.0, 2.0]),
    keys=st.lists(st.sampled_from([key_digest(name) for name in "wxyz"]), max_size=2, unique=True).map(tuple),
    services=st.lists(names, max_size=1).map(tuple),
)
contents = st.lists(st.one_of(services, routes, classes, tenants, pools, singles), max_size=14).map(
    lambda parts: dict(slice_of(part) for part in parts)
)
base = {
    name: data
    for letter in "abcd"
    for name, data in (
        slice_of(Service(name=ServiceName(letter), pool=PoolName("m"))),
        slice_of(PriorityClass(name=ClassName(letter))),
    )
}


class SameEitherWayTest(unittest.TestCase):
    """Guards against checks that a change skips: applying a change must give what parsing all slices gives."""

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(contents, contents, st.sets(st.sampled_from(sorted(base)), max_size=2))
    def test_a_change_gives_what_reading_the_whole_gives(
        self, first: Slices, second: Slices, dropped: set[SliceName]
    ) -> None:
        before = {**base, **first}
        after = {name: data for name, data in {**base, **second}.items() if name not in dropped}
        current = apply_delta(None, complete_delta(before), OPERATOR_KEYS).value_or(None)
        known = before if current is not None else {}
        delta = step(known, after, 1 if current is not None else 0, 2)
        by_change = apply_delta(current, delta, OPERATOR_KEYS)
        match by_change, parse_bundle(delta.manifest, after):
            case Success(changed), Success(read):
                self.assertEqual(changed, read)
                digests = {name: slice_digest(data) for name, data in after.items()}
                self.assertEqual(changed.manifest.root, root_digest(digests))
            case Failure(), Failure():
                pass
            case other:
                self.fail(f"the two ways differ: {other}")


class GradualTest(unittest.TestCase):
    """Guards against stalled streams while a router parses a large bundle."""

    def test_other_tasks_run_while_a_large_bundle_is_parsed(self) -> None:
        slices = sample_slices(3_000)
        delta = complete_delta(slices)
        turns: list[int] = []

        async def count() -> None:
            while True:
                turns.append(0)
                await asyncio.sleep(0)

        async def run() -> Bundle:
            counting = asyncio.create_task(count())
            bundle = (await apply_delta_gradually(None, delta, OPERATOR_KEYS)).unwrap()
            counting.cancel()
            return bundle

        self.assertEqual(asyncio.run(run()), accepted(None, delta))
        self.assertGreater(len(turns), 20)
        forged = msgspec.structs.replace(delta, changed=sample_slices(2_999))
        error = asyncio.run(apply_delta_gradually(None, forged, OPERATOR_KEYS)).failure()
        self.assertEqual(error.code, "root")
