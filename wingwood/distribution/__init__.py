"""Distribution of bundles from the primary to all routers, and confirmation that a bundle is the latest one
(docs/DESIGN.md section 9).

On control daemons ``BundlePublisher`` posts acknowledged bundles and ``FreshnessConfirmer`` learns which version is the
latest. On routers ``BundleFollower`` reaches the latest version and ``AppliedBundle`` is the one that calls use.
"""
