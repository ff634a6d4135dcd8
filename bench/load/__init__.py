"""Load and experiment tool: ``python -m bench.load run|compare`` (docs/DESIGN.md section 17)."""
