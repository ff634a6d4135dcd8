"""Structured logs: eliot messages are written as lines of key=value pairs (docs/DESIGN.md section 3)."""

from __future__ import annotations

import sys
from collections.abc import Mapping
from typing import Any, TextIO

import eliot

from ..identifiers import DaemonName


def format_line(fields: Mapping[str, object]) -> str:
    """Formats fields as ``key=value`` pairs; values with spaces, quotes or line breaks are quoted."""
    return " ".join(f"{key}={format_value(value)}" for key, value in fields.items())


def format_value(value: object) -> str:
    """Formats one value: floats with six significant digits, text quoted and escaped where necessary."""
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if text and not any(character in text for character in ' "=\n\r\t'):
        return text
    escaped = (
        text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n").replace("\r", "\\r").replace("\t", "\\t")
    )
    return f'"{escaped}"'


class EliotLog:
    """The log of a daemon. It writes through eliot to ``output``, by default standard error."""

    def __init__(self, daemon: DaemonName, output: TextIO | None = None) -> None:
        self._daemon = daemon
        self._output = output or sys.stderr
        self._logger = eliot.Logger()
        eliot.add_destinations(self._write)

    def event(self, name: str, **fields: object) -> None:
        """Writes one line; fields that are neither text, number nor truth value are written as text."""
        eliot.log_message(name, **{key: _plain(value) for key, value in fields.items()})

    def _write(self, message: dict[str, Any]) -> None:
        """Writes a message of eliot as one line; ``Any`` is eliot's type of messages."""
        fields = {
            "time": f"{message['timestamp']:.3f}",
            "event": message.get("message_type", message.get("action_type", "?")),
            "daemon": self._daemon,
        }
        hidden = ("timestamp", "message_type", "task_uuid", "task_level", "action_type")
        fields.update({key: value for key, value in message.items() if key not in hidden})
        self._output.write(format_line(fields) + "\n")
        self._output.flush()


def _plain(value: object) -> object:
    return value if isinstance(value, (str, int, float, bool)) or value is None else str(value)
