"""Settings of a daemon: their keys, checks and defaults (docs/DESIGN.md section 6)."""
