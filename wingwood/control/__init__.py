"""The replicated control core: a primary, its backups, and witnesses that only accept views (DESIGN.md section 7)."""
