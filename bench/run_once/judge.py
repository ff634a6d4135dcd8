"""Compares the ledgers of the workers with what the callers saw: which calls ran twice, or ran despite a promise."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from pathlib import Path

import msgspec

from .callers import Try


class Verdict(msgspec.Struct, frozen=True):
    """What one run showed. Each finding names the call, its runs and its tries."""

    runs: int
    twice: tuple[str, ...]
    """Calls that ran more than once, in one try or over all tries (TWICE)."""
    broken_promises: tuple[str, ...]
    """Tries that ran although their caller was promised that they had not (REFUSED)."""
    ended: tuple[str, ...]
    """Programs that ended by themselves."""

    def passed(self) -> bool:
        """Returns whether nothing was found in a run in which calls ran."""
        return self.runs > 0 and not (self.twice or self.broken_promises or self.ended)


def read_ledgers(files: Iterable[Path]) -> list[str]:
    """Returns the lines of all ledgers: ``ATTEMPT-ID INSTANCE TIME``."""
    return [line for file in files if file.exists() for line in file.read_text().splitlines()]


def judge(ledger: Iterable[str], tries: Iterable[Try], ended: Iterable[str]) -> Verdict:
    """Returns the verdict on one run."""
    runs: dict[str, list[str]] = defaultdict(list)
    run_attempts: set[str] = set()
    count = 0
    for line in ledger:
        attempt = line.split()[0]
        runs[attempt.partition("-")[0]].append(line)
        run_attempts.add(attempt)
        count += 1
    tries_of: dict[str, list[str]] = defaultdict(list)
    broken_promises: list[str] = []
    for each in tries:
        tries_of[each.attempt.partition("-")[0]].append(str(each))
        if each.may_try_again() and each.attempt in run_attempts:
            broken_promises.append(f"{each}: {runs[each.attempt.partition('-')[0]]}")
    twice = tuple(f"{call}: ran {lines}; tries {tries_of[call]}" for call, lines in runs.items() if len(lines) > 1)
    return Verdict(count, twice, tuple(broken_promises), tuple(ended))
