"""The policies of the request path, one per module (docs/DESIGN.md section 12.4)."""
