"""The other coordinators that a coordinator knows (docs/DESIGN.md section 8)."""

from __future__ import annotations

from collections.abc import Sequence
from zlib import crc32

from ..identifiers import Address, Incarnation, Instant, Seconds
from ..transport.frames import Identity
from .coordinator_peer import CoordinatorPeer


class CoordinatorPeers:
    """Owns the peers by address, in the order in which they became known."""

    def __init__(self, own_address: Address, session_timeout_s: Seconds) -> None:
        self.own_address = own_address
        self._session_timeout_s = session_timeout_s
        self._by_address: dict[Address, CoordinatorPeer] = {}

    def all(self) -> Sequence[CoordinatorPeer]:
        """Returns the peers in the order in which they became known."""
        return list(self._by_address.values())

    def get(self, address: Address) -> CoordinatorPeer | None:
        """Returns the peer at the address, or None if none is known there."""
        return self._by_address.get(address)

    def add(self, address: Address, now: Instant) -> CoordinatorPeer | None:
        """Adds a peer; returns None if it is known already or the address is the own one."""
        if address == self.own_address or address in self._by_address:
            return None
        peer = self._by_address[address] = CoordinatorPeer(address, now)
        return peer

    def evict(self, address: Address) -> None:
        """Removes the peer at the address."""
        del self._by_address[address]

    def identity_of_session(self, incarnation: Incarnation) -> Identity | None:
        """Returns the daemon's identity if any peer has a session of it."""
        identities = (peer.identity_of_session(incarnation) for peer in self._by_address.values())
        return next((identity for identity in identities if identity is not None), None)

    def live_addresses(self, now: Instant) -> tuple[Address, ...]:
        """Returns the sorted addresses of this coordinator and of all peers that reported within a session timeout."""
        reporting = [
            address
            for address, peer in self._by_address.items()
            if peer.last_report_at is not None and now - peer.last_report_at <= self._session_timeout_s
        ]
        return tuple(sorted([self.own_address, *reporting]))

    def known_addresses(self) -> list[Address]:
        """Returns the own address, then those of all peers that ever reported, the latest reports first."""
        known = sorted((peer for peer in self._by_address.values() if peer.identity is not None), key=_report_order)
        return list(dict.fromkeys([self.own_address, *(peer.address for peer in known)]))

    def last_answer_at(self) -> Instant | None:
        """Returns when a peer last answered a request of this coordinator; None if none ever did."""
        answered_at = [peer.last_direct_at for peer in self._by_address.values() if peer.last_direct_at is not None]
        return max(answered_at, default=None)


def _report_order(peer: CoordinatorPeer) -> float:
    return -(peer.last_report_at if peer.last_report_at is not None else float("-inf"))


def checksum(addresses: Sequence[Address]) -> int:
    """Returns a checksum of the addresses, by which two coordinators compare whom they know."""
    return crc32(" ".join(map(str, addresses)).encode())
