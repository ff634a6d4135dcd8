"""Child processes are signalled by their own process id (docs/DESIGN.md section 17).

The tests guard against children that survive the launcher, or whose unexpected end is not noticed. They wait for the
end of processes and never for a fixed time.
"""

from __future__ import annotations

import sys
import tempfile
import unittest
from pathlib import Path

from ..children import Child, stop_all

WAITS = "import signal; print('up', flush=True); signal.pause()"
ENDS = "print('up', flush=True); raise SystemExit(3)"
IGNORES = "import signal; signal.signal(signal.SIGTERM, signal.SIG_IGN); print('up', flush=True); signal.pause()"


class Children(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def child(self, code: str) -> Child:
        child = Child("child", [sys.executable, "-c", code], self.folder / "child.log", self.folder)
        self.addCleanup(child.kill)
        child.start()
        running = True
        while "up" not in child.log_tail():
            self.assertTrue(running, "ended before it was up")
            running = child.running()
        return child

    def test_a_child_that_ignores_sigterm_is_killed(self) -> None:
        child = self.child(IGNORES)
        stop_all([child], 0.1)
        self.assertEqual(child.exit_code(), -9)

    def test_a_suspended_child_is_resumed_to_stop(self) -> None:
        child = self.child(WAITS)
        child.freeze()
        stop_all([child], 30)
        self.assertEqual(child.exit_code(), -15)

    def test_a_killed_child_starts_again_as_another_process(self) -> None:
        child = self.child(WAITS)
        before = child.process_id
        child.kill()
        self.assertFalse(child.running())
        child.start()
        self.assertTrue(child.running())
        self.assertNotEqual(child.process_id, before)

    def test_an_unexpected_end_is_distinguished_from_a_kill(self) -> None:
        child = self.child(ENDS)
        child.wait_or_kill(30)
        self.assertEqual((child.exit_code(), child.expected_to_run), (3, True))
        killed = self.child(WAITS)
        killed.kill()
        self.assertFalse(killed.expected_to_run)
