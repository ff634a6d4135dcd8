"""Runs all tests of the tree with nose2 in several parallel processes, and prints one result.

Usage: ``python -m tests_runner [--processes N] [--only TEXT]``. A module is one unit of work; a module that
sets ``RUN_EACH_ALONE = True`` (long simulated scenarios) is split into its single tests. Tests named
in KNOWN-RED.txt (``test.id: command and seed; what was seen; issue``) are run, printed, and not counted as failed.
"""

from __future__ import annotations

import argparse
import concurrent.futures
import importlib
import os
import re
import subprocess
import sys
import time
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent
UNIT_TIMEOUT_S = 600
RAN_LINE = re.compile(r"^Ran (\d+) tests? in", re.MULTILINE)
FAILED_LINE = re.compile(r"^(?:FAIL|ERROR): (\S+) \(([^)\s]+)\)", re.MULTILINE)
SKIPPED_COUNT = re.compile(r"skipped=(\d+)")


def find_units(only: str | None) -> list[list[str]]:
    """Returns the units of work, each a list of test ids for one process; single long tests come before modules."""
    single: list[list[str]] = []
    modules: list[list[str]] = []
    for path in sorted(ROOT.glob("*/**/tests/test_*.py")):
        if not {".venv", "target"}.isdisjoint(path.parts):
            continue
        name = module_name(path)
        if only and only not in name:
            continue
        text = path.read_text()
        if re.search(r"^RUN_EACH_ALONE\b.*= True", text, re.MULTILINE):
            module = importlib.import_module(name)
            suite = unittest.defaultTestLoader.loadTestsFromModule(module)
            single.extend([test.id()] for test in flatten(suite))
        else:
            modules.append([name])
    return single + modules


def module_name(path: Path) -> str:
    """Returns the dotted name of a module; platform/ is imported under another name (docs/PLATFORM.md section 2)."""
    folder, *rest = path.relative_to(ROOT).with_suffix("").parts
    return ".".join(["wingwood_platform" if folder == "platform" else folder, *rest])


def flatten(suite: unittest.TestSuite) -> list[unittest.TestCase]:
    """Returns the single tests of a suite, in its order."""
    found: list[unittest.TestCase] = []
    for part in suite:
        if isinstance(part, unittest.TestSuite):
            found.extend(flatten(part))
        else:
            found.append(part)
    return found


def run_unit(unit: list[str]) -> tuple[list[str], float, int, str, int]:
    """Runs one unit and returns the unit, seconds, number of tests that ran, output and exit code."""
    started = time.monotonic()
    try:
        done = subprocess.run(
            [sys.executable, "-m", "nose2", "-s", str(ROOT), *unit],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=UNIT_TIMEOUT_S,
            check=False,
            env={**os.environ, "PYTHONPATH": str(ROOT)},
        )
        output, code = done.stdout + done.stderr, done.returncode
    except subprocess.TimeoutExpired as timed_out:
        partial = (
            timed_out.stderr.decode(errors="replace")
            if isinstance(timed_out.stderr, bytes)
            else (timed_out.stderr or "")
        )
        output, code = f"{partial}\nno end within {UNIT_TIMEOUT_S} s", 124
    ran_line = RAN_LINE.search(output)
    return unit, time.monotonic() - started, int(ran_line.group(1)) if ran_line else 0, output, code


def read_known_failures() -> dict[str, str]:
    """Returns the entries of KNOWN-RED.txt by test id."""
    path = ROOT / "KNOWN-RED.txt"
    lines = path.read_text().splitlines() if path.exists() else []
    entries = dict(line.split(":", 1) for line in lines if ":" in line and not line.startswith("#"))
    return {key.strip(): value.strip() for key, value in entries.items()}


def main() -> int:
    """Runs all units and returns the exit code: 1 when a test failed or none ran."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--processes", type=int, default=max(2, (os.cpu_count() or 2) - 2))
    parser.add_argument("--only", help="only modules whose dotted name contains this")
    options = parser.parse_args()
    sys.path.insert(0, str(ROOT))
    units = find_units(options.only)
    known_failures = read_known_failures()
    total = failed = skipped = 0
    known_failed: list[str] = []
    started = time.monotonic()
    with concurrent.futures.ThreadPoolExecutor(options.processes) as pool:
        for unit, seconds, ran, output, code in pool.map(run_unit, units):
            total += ran
            skipped_count = SKIPPED_COUNT.search(output)
            skipped += int(skipped_count.group(1)) if skipped_count else 0
            print(f"{'ok  ' if code == 0 else 'FAIL'} {ran:4d} tests {seconds:7.1f} s  {' '.join(unit)}", flush=True)
            if code == 0:
                continue
            names = {
                f"{where}.{name}" if not where.endswith(name) else where for name, where in FAILED_LINE.findall(output)
            }
            unexpected = names - known_failures.keys()
            if names and not unexpected:
                known_failed.extend(sorted(names))
                continue
            failed += max(1, len(unexpected))
            print(output[-20000:], flush=True)
    for name in known_failed:
        print(f"known red: {name}: {known_failures[name]}")
    print(f"whole run {time.monotonic() - started:.1f} s")
    passed = total - failed - len(known_failed) - skipped
    print(f"{passed} passed, {failed} failed, {skipped} skipped", flush=True)
    return 1 if failed or total == 0 else 0


if __name__ == "__main__":
    raise SystemExit(main())
