"""Replays calls that routers recorded against a fleet, and reports what callers saw (docs/REPLAY.md)."""
