"""Builds the daemons from their parts and runs them as processes (docs/DESIGN.md section 15)."""
