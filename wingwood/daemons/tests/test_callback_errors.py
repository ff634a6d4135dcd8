"""Errors that escape callbacks of the event loop: they are log events, and the daemon goes on (section 15.4)."""

from __future__ import annotations

import asyncio
import contextlib
import io
import os
import signal
import unittest

import msgspec
from returns.result import Result, Success

from ...context.protocols import Context
from ...settings.model import DaemonSettings
from ..process import EXIT_STOPPED, StartFailure, run_daemon
from .test_settings_change import SETTINGS as ROUTER_SETTINGS

SETTINGS = msgspec.structs.replace(ROUTER_SETTINGS, seeds=(), keep_connections=True)


def fail() -> None:
    raise ValueError("of a callback")


class FailingDaemon:
    """A daemon one of whose timers raises; it is asked to stop after that."""

    def __init__(self, _context: Context, _settings: DaemonSettings) -> None:
        self.drained = False

    async def start(self) -> Result[None, StartFailure]:
        loop = asyncio.get_running_loop()
        loop.call_later(0.0, fail)
        loop.call_later(0.05, os.kill, os.getpid(), signal.SIGTERM)
        return Success(None)

    async def drain(self) -> None:
        self.drained = True

    def stop(self) -> None:
        assert self.drained

    def settings_changed(self, settings: DaemonSettings) -> None:
        pass


class CallbackErrors(unittest.TestCase):
    def test_error_of_a_callback_is_a_log_event(self) -> None:
        """An error of a timer was only reported on standard error, in no form that operators read."""
        output = io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
            self.assertEqual(run_daemon(SETTINGS, FailingDaemon), EXIT_STOPPED)
        lines = [line for line in output.getvalue().splitlines() if "event=callback-failed" in line]
        self.assertEqual(len(lines), 1, output.getvalue())
        self.assertIn("of a callback", lines[0])
