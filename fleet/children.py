"""Child processes that are started, suspended, killed and stopped by their own process id, each with a log file."""

from __future__ import annotations

import ctypes
import os
import signal
import subprocess
import sys
import time
from collections.abc import Mapping, Sequence
from pathlib import Path

PR_SET_PDEATHSIG = 1
"""Option of prctl(2): the kernel kills a child when the launcher ends, even if the launcher was killed."""


class Child:
    """One child process, which may be started again after its end. Signals are sent to its own process id only."""

    def __init__(self, name: str, command: Sequence[str], log_file: Path, folder: Path) -> None:
        self.name = name
        self.command = tuple(command)
        self.log_file = log_file
        self.folder = folder
        self.frozen = False
        self.expected_to_run = False
        """Whether the process was started and not asked to end since; if it has ended then, this was unexpected."""
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def process_id(self) -> int | None:
        """The id of the latest process, even if it has ended; None before the first start."""
        return self._process.pid if self._process is not None else None

    def start(self) -> None:
        """Starts the process unless it is running; its output is appended to the log file."""
        if self.running():
            return
        with self.log_file.open("ab") as log:
            self._process = subprocess.Popen(
                self.command,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                cwd=self.folder,
                env=_environment(),
                start_new_session=True,
                preexec_fn=_kill_on_parent_death,  # noqa: PLW1509 (one system call, made from the main thread)
            )
        self.frozen = False
        self.expected_to_run = True

    def running(self) -> bool:
        """Returns whether the process was started and has not ended."""
        return self._process is not None and self._process.poll() is None

    def exit_code(self) -> int | None:
        """Returns the exit code; None while the process runs or when it was never started."""
        return None if self._process is None else self._process.poll()

    def kill(self) -> None:
        """Sends SIGKILL and waits for the end; the end does not count as unexpected."""
        self.expected_to_run = False
        if self.running():
            self._signal(signal.SIGKILL)
            self._wait(None)

    def freeze(self) -> None:
        """Suspends the process with SIGSTOP until ``resume``."""
        self._signal(signal.SIGSTOP)
        self.frozen = True

    def resume(self) -> None:
        """Continues the suspended process with SIGCONT."""
        self._signal(signal.SIGCONT)
        self.frozen = False

    def terminate(self) -> None:
        """Sends SIGTERM, and resumes a suspended child, which could not handle the signal otherwise."""
        self.expected_to_run = False
        if self.running():
            self._signal(signal.SIGTERM)
            if self.frozen:
                self.resume()

    def wait_or_kill(self, timeout: float) -> None:
        """Waits for a child that was asked to terminate; kills it when it has not ended within ``timeout`` seconds."""
        if not self._wait(timeout):
            self.kill()

    def log_tail(self, lines: int = 12) -> str:
        """Returns the last ``lines`` lines of the log file; empty when it can't be read."""
        try:
            text = self.log_file.read_text(errors="replace")
        except OSError:
            return ""
        return "\n".join(text.splitlines()[-lines:])

    def _signal(self, number: signal.Signals) -> None:
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def _wait(self, timeout: float | None) -> bool:
        if self._process is None:
            return True
        try:
            self._process.wait(timeout)
        except subprocess.TimeoutExpired:
            return False
        return True


def stop_all(children: Sequence[Child], timeout: float) -> None:
    """Asks all children to terminate, and kills those that have not ended within ``timeout`` seconds in total."""
    for child in children:
        child.terminate()
    deadline = time.monotonic() + timeout
    for child in children:
        child.wait_or_kill(max(0.0, deadline - time.monotonic()))


def python_module_command(module: str, *arguments: str) -> list[str]:
    """Returns the command that runs a module with the Python interpreter of this process."""
    return [sys.executable, "-m", module, *arguments]


def _environment() -> Mapping[str, str]:
    return {**os.environ, "PYTHONUNBUFFERED": "1"}


_libc = ctypes.CDLL(None, use_errno=True)


def _kill_on_parent_death() -> None:
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
