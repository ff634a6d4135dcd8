"""Choice of the worker for each turn: reservations, claims, costs and fallbacks (docs/DESIGN.md section 11)."""
