"""The ledger records which calls that must not be repeated were claimed, and their outcomes (docs/DESIGN.md, 13).

``LedgerState`` in the control core owns all claims and outcomes; each router has a ``RouterLedger``, which owns only
the claims that wait for an answer and the outcomes that are not yet durable.
"""
