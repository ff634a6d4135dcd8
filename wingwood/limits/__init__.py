"""Limits on calls: paid shares over the entire fleet, retry budgets and admission (docs/DESIGN.md section 14).

``FleetShares`` admits a tenant's calls by its paid rate. Each router is also the allocator of some tenants' shares:
``share_client`` and ``lease_requester`` are the router's side, ``share_allocator`` is the allocator's side.
"""
