"""The HTTP interface of each daemon for operators, workers and the platform (docs/DESIGN.md section 15)."""
