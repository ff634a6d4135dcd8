"""Bundles: the signed configuration of the fleet, its checks, and its replicated versions (docs/DESIGN.md section 5).

``BundleState`` on control daemons owns all versions and decided orders. Routers own only the bundle that they apply.
"""
