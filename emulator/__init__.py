"""An emulated model or plain worker for tests and trials, with the faults that real workers show.

See docs/DESIGN.md section 17. It is not part of the shipped package. It runs on the daemons' context, so that the same
code runs as a process (``python -m emulator.process``) and inside the simulator.
"""
