"""A soak of real processes for calls that run twice or have no answer: ``python -m bench.run_once`` (section 17.5)."""
