"""Errors of journal operations, by what the caller can do about them (docs/DESIGN.md section 7.5)."""

from __future__ import annotations

from typing import ClassVar, Literal

import msgspec

from ..context.protocols import DiskFault


class JournalError(msgspec.Struct, frozen=True):
    """Why a journal operation failed; the failure value of its ``Result``."""

    kind: ClassVar[Literal["missing", "damaged", "sick", "full", "failed", "locked", "slow"]]
    """Name of the error in log entries and in refusals that are sent to other daemons."""
    detail: str = ""


class JournalMissingError(JournalError, frozen=True):
    """The file does not exist or does not have the length that it was left with: its data is lost."""

    kind = "missing"


class JournalDamagedError(JournalError, frozen=True):
    """Synced bytes of the file are wrong, so an operator has to decide."""

    kind = "damaged"
    offset: int = 0
    """Offset of the first wrong bytes in the file."""


class JournalUnusableError(JournalError, frozen=True):
    """An earlier operation left the file in an unknown state: the journal must be opened again before further use."""

    kind = "sick"


class JournalTimeoutError(JournalError, frozen=True):
    """The disk did not answer in time: the outcome is unknown, and the journal is unusable until it is opened again."""

    kind = "slow"


class DiskFullError(JournalError, frozen=True):
    """The disk is full; the operation may be retried when there is space again."""

    kind = "full"


class DiskFailedError(JournalError, frozen=True):
    """The operating system reported another error, which ``detail`` names."""

    kind = "failed"


class JournalLockedError(JournalError, frozen=True):
    """Another process uses the data folder."""

    kind = "locked"


_ERRORS_BY_DISK_FAULT: dict[str, type[JournalError]] = {
    "full": DiskFullError,
    "failed": DiskFailedError,
    "locked": JournalLockedError,
    "missing": JournalMissingError,
}


def error_of(fault: DiskFault) -> JournalError:
    """Returns the journal error for a fault that the disk reported."""
    return _ERRORS_BY_DISK_FAULT[fault.kind](fault.detail)
