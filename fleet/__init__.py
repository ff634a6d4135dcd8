"""Puts a whole fleet on one machine: daemons and emulated workers as child processes (docs/DESIGN.md section 17).

Not part of the shipped package, whose daemons start no process. Everything listens on loopback only.
"""
