"""Many incoming connections must not exhaust the descriptors of a process (docs/DESIGN.md section 3)."""

from __future__ import annotations

import asyncio
import os
import socket
import unittest

from returns.result import Success
from tornado.iostream import BaseIOStream

from ...identifiers import Address
from ..real.network import RESERVED_DESCRIPTORS, RealNetwork


class Descriptors(unittest.IsolatedAsyncioTestCase):
    async def is_accepted(self, network: RealNetwork, port: int) -> bool:
        """Returns whether a new connection is accepted; otherwise it was closed at once."""
        accepted_event = asyncio.Event()

        def take(stream: BaseIOStream, peer: Address) -> None:
            stream.close()
            accepted_event.set()

        listening = network.listen(Address("127.0.0.1", port), take)
        assert isinstance(listening, Success)
        with socket.create_connection(("127.0.0.1", port)) as raw:
            raw.setblocking(False)
            async with asyncio.timeout(5):
                self.assertEqual(await asyncio.get_running_loop().sock_recv(raw, 1), b"")
        listening.unwrap().close()
        return accepted_event.is_set()

    async def test_connections_beyond_the_bound_are_closed_at_once(self) -> None:
        network = RealNetwork()
        self.assertTrue(await self.is_accepted(network, 23391))
        lowest_free = os.dup(0)
        os.close(lowest_free)
        network._system_descriptor_limit = RESERVED_DESCRIPTORS + lowest_free
        self.assertFalse(await self.is_accepted(network, 23392))
