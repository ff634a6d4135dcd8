"""Tests of joined deltas and delta chains over the real bundle state (docs/DESIGN.md section 9.2).

They guard against a delta that leads to a bundle with wrong content.
"""

from __future__ import annotations

import unittest
from random import Random

from returns.result import Success

from ...bundle.model import Bundle
from ...bundle.parse import apply_delta
from ...bundle.tests.samples import OPERATOR_KEYS, order_between, sample_slices, submit
from ...identifiers import BundleVersion, SliceName
from ..deltas import DeltaChain
from .fakes import empty_disk


class DeltaChainTest(unittest.TestCase):
    def test_any_version_within_the_chain_is_brought_to_the_latest(self) -> None:
        """Slices are added, changed and removed, and followers skip versions; joined deltas pass the root check."""
        random = Random(3)
        state = empty_disk()
        slices: dict[SliceName, bytes] = {}
        past: dict[int, Bundle] = {}
        chain, applied_version, bundle = DeltaChain(max_deltas=30), BundleVersion(0), None
        joined, missing = 0, 0
        full = sample_slices(20)
        extra = [SliceName(f"tenant/tenant-{number}") for number in range(20)]
        for version in range(1, 120):
            after = {name: data for name, data in full.items() if name not in extra or random.random() < 0.7}
            submit(state, order_between(version - 1, slices, after))
            slices = after
            if random.random() < 0.5:
                continue
            delta = state.delta_since(
                BundleVersion(random.choice([applied_version, applied_version, max(0, applied_version - 1)])),
                state.version,
            )
            assert delta is not None
            outcome = apply_delta(bundle, delta, OPERATOR_KEYS)
            assert isinstance(outcome, Success), outcome
            chain.add(delta, applied_version)
            bundle = past[version] = outcome.unwrap()
            applied_version = bundle.version
            for since, old in past.items():
                if since == applied_version:
                    continue
                joined_delta = chain.since(BundleVersion(since))
                if joined_delta is None:
                    missing += 1
                    continue
                joined += 1
                result = apply_delta(old, joined_delta, OPERATOR_KEYS)
                assert isinstance(result, Success), result
                self.assertEqual(result.unwrap().slices, bundle.slices)
        self.assertGreater(joined, 500)
        self.assertGreater(missing, 100)
