"""Compares the ledgers of the workers with what the callers saw.

Finds calls that ran twice, or despite a promise that they had not, and callers that were left without an answer.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Final

import msgspec

from .callers import Try
from .routes import TIMEOUT_S, kind_of
from .troubles import Pause

ANSWER_WITHIN_S: Final = 0.5
MIN_LATE: Final = 8
MAX_LATE_SHARE: Final = 0.25
"""The users' bounds for answers that come later than ``ANSWER_WITHIN_S`` after a route's time limit (CONFIG)."""


class Verdict(msgspec.Struct, frozen=True):
    """What one run showed. Each finding names the call, its runs and its tries."""

    runs: int
    twice: tuple[str, ...]
    """Calls that ran more than once, in one try or over all tries (TWICE)."""
    broken_promises: tuple[str, ...]
    """Tries that ran although their caller was promised that they had not (REFUSED)."""
    ended: tuple[str, ...]
    """Programs that ended by themselves."""
    silent: tuple[str, ...] = ()
    """Tries that got neither an answer nor the end of their connection, at routers that were not paused (CONFIG)."""
    late: tuple[str, ...] = ()
    """Tries that ended later than ``ANSWER_WITHIN_S`` after the time limit of their route, at such routers."""
    lasting: int = 0
    """Tries at such routers that lasted longer than the time limit of their route."""

    def passed(self) -> bool:
        """Returns whether nothing was found in a run in which calls ran."""
        found = self.twice or self.broken_promises or self.ended or self.silent or self.answers_too_late()
        return self.runs > 0 and not found

    def answers_too_late(self) -> bool:
        """Returns whether CONFIG is broken: eight tries or more are late, and over a quarter of those that last."""
        return len(self.late) >= MIN_LATE and len(self.late) > MAX_LATE_SHARE * self.lasting


def read_ledgers(files: Iterable[Path]) -> list[str]:
    """Returns the lines of all ledgers: ``ATTEMPT-ID INSTANCE TIME``."""
    return [line for file in files if file.exists() for line in file.read_text().splitlines()]


def judge(ledger: Iterable[str], tries: Iterable[Try], ended: Iterable[str], pauses: Sequence[Pause] = ()) -> Verdict:
    """Returns the verdict on one run."""
    tries = list(tries)
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
        if kind_of(each.attempt).runs_once and each.may_try_again() and each.attempt in run_attempts:
            broken_promises.append(f"{each}: {runs[each.attempt.partition('-')[0]]}")
    twice = tuple(
        f"{call}: ran {lines}; tries {tries_of[call]}"
        for call, lines in runs.items()
        if len(lines) > 1 and kind_of(call).runs_once
    )
    held = [each for each in tries if not _was_paused(each, pauses)]
    lasting = [each for each in held if each.ended_at - each.started_at > TIMEOUT_S]
    late = [each for each in lasting if each.ended_at - each.started_at > TIMEOUT_S + ANSWER_WITHIN_S]
    return Verdict(
        runs=count,
        twice=twice,
        broken_promises=tuple(broken_promises),
        ended=tuple(ended),
        silent=tuple(str(each) for each in held if each.end == "silent"),
        late=tuple(str(each) for each in late),
        lasting=len(lasting),
    )


def _was_paused(each: Try, pauses: Iterable[Pause]) -> bool:
    """Returns whether the router was paused while it held the try."""
    return any(
        pause.router == each.router and pause.began_at < each.ended_at and pause.ended_at > each.started_at
        for pause in pauses
    )
