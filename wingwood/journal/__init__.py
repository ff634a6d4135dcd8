"""Append-only file of checksummed records that is compacted when it becomes long (docs/DESIGN.md section 7.5)."""

from .journal import Journal, JournalFault, Scan, scan

__all__ = ["Journal", "JournalFault", "Scan", "scan"]
