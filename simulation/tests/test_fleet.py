"""A simulated fleet gives the same run for the same seed, whatever hash seed the interpreter has.

The tests guard against iteration over sets or unseeded randomness in daemons or simulator, which would make failing
seeds impossible to reproduce.
"""

from __future__ import annotations

import os
import subprocess
import sys
import unittest
from pathlib import Path

from simulation.scenario import read_scenario, run_scenario

RUN_EACH_ALONE = True
ROOT = Path(__file__).resolve().parents[2]
SCENARIO_TEXT = """# A little of everything.
deployment despensa
calm 4
at 1 push set tenant/riders.burst=2
at 1 freeze router-4 for 2
at 1.5 kill control-1 for 2
at 2 cut off router-6 for 2
at 2 disk control-2 slow for 2
at 3 worker care-model-1 drains
at 3 worker care-model-2 breaks mid-event for 3
at 4 power off router-9 for 2
at 4 push set tenant/riders.burst=3 losing the answer
"""


def digest_of(seed: int) -> str:
    return run_scenario(read_scenario(SCENARIO_TEXT, "everything"), seed).digest


class SameSeedSameRun(unittest.TestCase):
    def test_digest_is_the_same_under_other_hash_seeds_and_in_a_second_run(self) -> None:
        command = [sys.executable, "-c", "from simulation.tests.test_fleet import digest_of; print(digest_of(3))"]
        running = [
            subprocess.Popen(
                command,
                env={**os.environ, "PYTHONHASHSEED": hash_seed, "PYTHONPATH": str(ROOT)},
                stdout=subprocess.PIPE,
                text=True,
            )
            for hash_seed in ("1", "2")
        ]
        digests = [digest_of(3), digest_of(3)]
        digests += [process.communicate()[0].strip() for process in running]
        self.assertEqual(len(set(digests)), 1, digests)
        self.assertEqual(len(digests[0]), 32)
