"""The request path of a router: callers' requests, the policies they pass, and the attempts on workers.

``RequestPath`` puts the parts together. ``CallerEdge`` reads requests and writes responses, ``Chain`` runs the policies
of ``policies``, and the last of them runs the attempts of ``attempt`` (docs/DESIGN.md section 12).
"""
