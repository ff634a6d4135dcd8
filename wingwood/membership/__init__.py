"""Membership: which daemons are alive, agreed by heartbeats to coordinators (docs/DESIGN.md section 8).

Routers run a ``MembershipClient``, control daemons a ``MembershipCoordinator``; both answer ``Membership``.
"""
