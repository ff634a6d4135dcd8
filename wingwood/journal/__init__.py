"""Append-only file of checksummed records that is compacted when it becomes long (docs/DESIGN.md section 7.5).

A ``Journal`` owns one file of the data folder and the file that replaces it; ``frames`` is the file format.
"""

from .errors import (
    DiskFailedError,
    DiskFullError,
    JournalDamagedError,
    JournalError,
    JournalLockedError,
    JournalMissingError,
    JournalTimeoutError,
    JournalUnusableError,
)
from .frames import JournalContents, scan
from .journal import Journal

__all__ = [
    "DiskFailedError",
    "DiskFullError",
    "Journal",
    "JournalContents",
    "JournalDamagedError",
    "JournalError",
    "JournalLockedError",
    "JournalMissingError",
    "JournalTimeoutError",
    "JournalUnusableError",
    "scan",
]
