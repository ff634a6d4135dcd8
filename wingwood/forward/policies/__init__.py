"""Policies of the request path, one in each module (docs/DESIGN.md section 12.4)."""
