"""A soak of real processes that looks for calls that run twice: ``python -m bench.run_once`` (docs/DESIGN.md 17.5)."""
