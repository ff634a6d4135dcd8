"""Staged roll-outs: a change reaches one stage of the routers after another, or is rolled back (docs/DESIGN.md, 19).

The bundle owns the state of every roll-out. A ``RolloutRunner`` is a process of an operator and owns only what it has
observed since it entered the current stage.
"""
