"""Fuzz test: arbitrary bytes as slices are either parsed or refused with an error, and never raise an exception.

See docs/DESIGN.md section 5.1.
"""

from __future__ import annotations

import unittest
from typing import Any

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from ...identifiers import SliceName
from ..canonical import canonical_json
from ..errors import BundleError
from ..parse import parse_bundle
from .samples import order_between, sample_slices

SAMPLES = sample_slices(2)
names = st.one_of(
    st.sampled_from(sorted(SAMPLES)),
    st.sampled_from(["rollout/next", "pool/model", "limits/callers", "edition/operator", "route/chat@share=5"]),
    st.text(max_size=12),
)
odd = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats(allow_nan=False)
    | st.text(max_size=6)
    | st.sampled_from(["plain", "gold", "summaries", "/v1/x", "a" * 65]),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=6), inner, max_size=3),
    max_leaves=6,
)


def changed(data: bytes, field: int, value: Any, drop: bool) -> bytes:
    """Returns the slice with one of its fields changed or left out."""
    read = msgspec.json.decode(data)
    name = sorted(read)[field % len(read)]
    if drop:
        del read[name]
    else:
        read[name] = value
    return canonical_json(read)


contents = st.one_of(
    st.builds(changed, st.sampled_from(sorted(SAMPLES.values())), st.integers(0, 30), odd, st.booleans()),
    odd.map(msgspec.json.encode),
    st.binary(max_size=20),
    st.integers(1, 200_000).map(lambda depth: b"[" * depth),
)
slices = st.dictionaries(names, contents, min_size=1, max_size=3)


class FuzzedSlices(unittest.TestCase):
    @settings(max_examples=400, deadline=None, derandomize=True)
    @given(slices, st.booleans())
    def test_any_slices_are_read_or_refused(self, odd_slices: dict[str, bytes], among_good_ones: bool) -> None:
        given_slices = {SliceName(name): data for name, data in odd_slices.items()}
        if among_good_ones:
            given_slices = {**SAMPLES, **given_slices}
        manifest = order_between(0, {}, given_slices).manifest
        match parse_bundle(manifest, given_slices):
            case Success(bundle):
                self.assertEqual(set(bundle.slices), set(given_slices))
            case Failure(error):
                self.assertIsInstance(error, BundleError)
            case other:
                self.fail(str(other))


if __name__ == "__main__":
    unittest.main()
