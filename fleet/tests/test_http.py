"""Tests of the JSON client that tools use on this machine."""

from __future__ import annotations

import asyncio
import socket
import unittest

from ..http import JsonClient, JsonReply


class JsonClientTest(unittest.TestCase):
    """Guards against a tool that fails with an exception when a daemon does not answer in time."""

    def ask(self, address: str) -> JsonReply:
        async def run() -> JsonReply:
            client = JsonClient()
            try:
                return await client.get(address, "/", timeout=0.1)
            finally:
                client.close()

        return asyncio.run(run())

    def test_unanswered_request_is_a_reply_without_status(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as unresponsive:
            reply = self.ask(f"127.0.0.1:{unresponsive.getsockname()[1]}")
        self.assertEqual(reply.status, 0)
        self.assertIn("Timeout", reply.body)
        self.assertFalse(reply.succeeded)

    def test_rejected_connection_is_a_reply_without_status(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as closed:
            address = f"127.0.0.1:{closed.getsockname()[1]}"
        self.assertEqual(self.ask(address).status, 0)
