"""Policies of the request path, one a module (docs/DESIGN.md section 12.4)."""
