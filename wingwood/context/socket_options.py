"""Options of TCP connections that decide what happens to bytes that the peer has not acknowledged (section 12.2).

After an orderly close, the kernel goes on sending what the peer has not acknowledged, so that a partition delays the
bytes but does not withdraw them. A reset drops them.
"""

from __future__ import annotations

import contextlib
import os
import socket
import struct
from typing import Final, Protocol

from tornado.iostream import BaseIOStream

_LINGER_OPTION: Final = struct.Struct("ii")
_RESET_ON_CLOSE: Final = _LINGER_OPTION.pack(1, 0)
_ORDERLY_CLOSE: Final = _LINGER_OPTION.pack(0, 0)


class _SocketOptions(Protocol):
    def setsockopt(self, level: int, option: int, value: bytes | int, /) -> None: ...


def reset_on_close(stream: BaseIOStream, enabled: bool) -> None:
    """Sets whether the connection is reset when it is closed, also by the end of the process; no effect if closed."""
    _set_option(stream, socket.SO_LINGER, _RESET_ON_CLOSE if enabled else _ORDERLY_CLOSE)


def reset_descriptor_on_close(descriptor: int) -> None:
    """Makes closing a reset for the socket of an open descriptor that another library owns."""
    with socket.socket(fileno=os.dup(descriptor)) as duplicate:
        duplicate.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)


def close_with_reset(stream: BaseIOStream) -> None:
    """Closes the connection and drops what the peer has not acknowledged."""
    reset_on_close(stream, True)
    stream.close()


def probe_when_silent(stream: BaseIOStream, enabled: bool) -> None:
    """Sets whether TCP keep-alive probes abort the connection when the peer is unresponsive."""
    _set_option(stream, socket.SO_KEEPALIVE, int(enabled))


def _set_option(stream: BaseIOStream, option: int, value: bytes | int) -> None:
    options: _SocketOptions | None = getattr(stream, "socket", None)
    if options is not None:
        with contextlib.suppress(OSError):  # The connection is closed already.
            options.setsockopt(socket.SOL_SOCKET, option, value)
