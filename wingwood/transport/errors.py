"""Errors of the transport between daemons (docs/DESIGN.md section 4).

``TransportFailure`` is what the caller of ``Messenger.call`` gets: it decides by ``sent`` whether another attempt is
safe. ``TransportError`` and its subclasses are raised within the package: the connection is closed and an operator is
informed by a log event, because the peer does not follow the protocol.
"""

from __future__ import annotations

from typing import Literal

import msgspec


class TransportFailure(msgspec.Struct, frozen=True):
    """Reason why a call has no reply. If ``sent`` is False, it did not reach the peer and never will."""

    kind: Literal["unreachable", "timeout", "closed", "overloaded", "rejected"]
    """``unreachable`` and ``overloaded`` were not sent; ``rejected`` was sent and the peer could not handle it.

    After ``timeout`` and ``closed`` the peer may have handled the call, unless ``sent`` is False.
    """
    sent: bool
    detail: str = ""


class TransportError(Exception):
    """The peer does not follow the protocol; the connection must be closed."""


class FrameTooLargeError(TransportError):
    """The peer announced a frame above the size limit."""


class HandshakeRejectedError(TransportError):
    """The peer has another fleet key or another version of the protocol."""


def failure_name(problem: Exception) -> str:
    """Returns the name of an error as operators know it from replies and logs."""
    return "FrameTooLarge" if isinstance(problem, FrameTooLargeError) else type(problem).__name__
