"""Counts durations in the bucket layout of HDR histograms, whose relative width is equal at every size."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec

PRECISION_BITS = 8
"""256 buckets for each doubling of the value, which gives an error below 0.4%."""


class Timing(msgspec.Struct):
    """Histogram of durations in microseconds; its JSON form has the count of each bucket, so that results add up."""

    counts: dict[int, int] = msgspec.field(default_factory=dict)
    total: int = 0
    highest: int = 0

    def add(self, seconds: float) -> None:
        """Counts one duration in seconds; a negative one counts as zero."""
        microseconds = max(0, round(seconds * 1_000_000))
        bucket = _bucket(microseconds)
        self.counts[bucket] = self.counts.get(bucket, 0) + 1
        self.total += 1
        self.highest = max(self.highest, microseconds)

    def add_all(self, durations: Iterable[float]) -> None:
        """Counts several durations in seconds."""
        for seconds in durations:
            self.add(seconds)

    def percentile(self, percent: float) -> float | None:
        """Returns the percentile in milliseconds, or None if there are no values."""
        if not self.total:
            return None
        wanted = max(1, -(-self.total * percent // 100))
        seen = 0
        for bucket in sorted(self.counts):
            seen += self.counts[bucket]
            if seen >= wanted:
                return min(_bucket_upper_bound(bucket), self.highest) / 1000
        return self.highest / 1000

    def summary(self) -> Mapping[str, float | None]:
        """Returns the usual percentiles and the maximum in milliseconds."""
        return {f"p{percent:g}": self.percentile(percent) for percent in (50, 95, 99)} | {
            "max": self.highest / 1000 if self.total else None
        }


def _bucket(value: int) -> int:
    shift = max(0, value.bit_length() - PRECISION_BITS - 1)
    return (shift << (PRECISION_BITS + 1)) + (value >> shift)


def _bucket_upper_bound(bucket: int) -> int:
    shift, part = bucket >> (PRECISION_BITS + 1), bucket & ((1 << (PRECISION_BITS + 1)) - 1)
    return ((part + 1) << shift) - 1
