"""The replicated control core: primary, backup, witness (docs/DESIGN.md section 7)."""
