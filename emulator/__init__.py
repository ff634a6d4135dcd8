"""A stand-in for the model and plain workers behind the routers, with the faults they show (docs/DESIGN.md section 17).

Not part of the shipped package. It is written on the daemons' context, so the same code runs as a
process (``python -m emulator.process``) and inside the simulator.
"""
