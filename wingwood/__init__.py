"""wingwood: a router fleet for language models (see docs/DESIGN.md)."""
