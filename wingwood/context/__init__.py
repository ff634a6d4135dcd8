"""Everything that a daemon uses from its environment: protocols, HTTP clients, and the operating system.

The simulator implements the same protocols on virtual time (docs/DESIGN.md section 3).
"""
