"""Calls and posts between daemons over TCP (docs/DESIGN.md section 4).

``TcpMessenger`` implements ``Messenger``, the interface that other packages use. It has one ``PeerLink`` for each peer
and serves incoming connections. ``handshake`` authenticates both sides, ``frames`` defines what is on the wire.
"""
