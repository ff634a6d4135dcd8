"""The replicated control core: a primary, its backups and a witness that only votes (docs/DESIGN.md section 7)."""
