"""Runs a complete fleet on one machine: daemons and emulated workers as child processes (docs/DESIGN.md section 17).

This package is not shipped, because the daemons of the shipped package start no processes. All processes listen on
loopback addresses only.
"""
