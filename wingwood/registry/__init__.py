"""Registry of workers: what they announce, who records it, and which of them may get turns (docs/DESIGN.md section 10).

``WorkerRegistry`` is the part that daemons build. ``PoolOwnership`` records states and renewals as the owner of a pool,
``FeedPoller`` and ``FeedReceiver`` follow other owners, and a ``WorkerCheck`` excludes workers to which calls fail.
"""
