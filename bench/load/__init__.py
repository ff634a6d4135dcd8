"""Puts load on a fleet and compares runs: ``python -m bench.load run|compare`` (docs/DESIGN.md section 17)."""
