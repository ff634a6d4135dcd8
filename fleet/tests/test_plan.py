"""Shapes and the files that are written from them (docs/DESIGN.md section 17).

The tests guard against shapes whose ports or references conflict, and against files that daemons or operators reject.
"""

from __future__ import annotations

import hashlib
import tempfile
import tomllib
import unittest
from pathlib import Path

import msgspec
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from returns.result import Failure, Success

from wingwood.bundle.signing import public_hex
from wingwood.command_line.source import check_bundle, read_source
from wingwood.settings.load import check_settings

from ..plan import CallerKeys, bundle_text, plan_fleet, settings_text
from ..shape import check_shape, read_shape

FOLDER = Path(__file__).resolve().parent.parent


class DeploymentShapes(unittest.TestCase):
    def test_both_deployments_have_their_current_sizes(self) -> None:
        for name in ("despensa", "sabarmati"):
            shape = read_shape(FOLDER / f"{name}.toml").unwrap()
            workers = {pool.kind: pool.workers for pool in shape.pools}
            self.assertEqual((len(shape.zones), shape.routers, shape.controls, len(shape.tenants)), (3, 11, 3, 5))
            self.assertEqual(workers, {"model": 9, "plain": 3})
            plain = [service for service in shape.services if service.kind == "plain"]
            self.assertEqual([service.repeatable for service in plain], [False])

    def test_no_two_listeners_share_a_port_and_all_are_on_loopback(self) -> None:
        for name in ("despensa", "sabarmati", "demo"):
            plan = plan_fleet(read_shape(FOLDER / f"{name}.toml").unwrap())
            addresses = [worker.address for worker in plan.workers]
            for daemon in plan.daemons:
                addresses += [daemon.internal, daemon.operator, *([daemon.caller] if daemon.caller else [])]
            self.assertEqual(len(addresses), len(set(addresses)))
            self.assertTrue(all(address.startswith("127.0.0.1:") for address in addresses))
            self.assertGreater(plan.next_port, max(int(address.rpartition(":")[2]) for address in addresses))

    def test_control_daemons_are_in_different_zones(self) -> None:
        plan = plan_fleet(read_shape(FOLDER / "despensa.toml").unwrap())
        zones = [daemon.zone for daemon in plan.daemons if daemon.role == "control"]
        self.assertEqual(len(set(zones)), 3)
        self.assertEqual(len(plan.seeds), 3)

    def test_an_undefined_name_is_reported(self) -> None:
        shape = read_shape(FOLDER / "demo.toml").unwrap()
        broken = msgspec.structs.replace(shape, classes=())
        self.assertIn("there is no class 'gold'", check_shape(broken))

    def test_an_unknown_key_is_a_problem_that_names_file_and_key(self) -> None:
        match read_shape(FOLDER / "tests" / "unknown-key.toml"):
            case Failure(problem):
                self.assertIn("unknown-key.toml", str(problem))
                self.assertIn("routerz", str(problem))
            case Success(_):
                self.fail("read a shape with an unknown key")


class WrittenFiles(unittest.TestCase):
    def setUp(self) -> None:
        self.shape = read_shape(FOLDER / "despensa.toml").unwrap()
        self.plan = plan_fleet(self.shape)

    def test_only_control_daemons_get_a_data_folder(self) -> None:
        for daemon in self.plan.daemons:
            text = settings_text(daemon, self.shape, self.plan.seeds, "00", "11", Path("folder"))
            settings = tomllib.loads(text)
            self.assertEqual("data_folder" in settings, daemon.role == "control")
            self.assertEqual("caller" in settings, daemon.role == "router")
            self.assertEqual(settings["removed_key_bound"], 5.0)

    def test_the_daemons_settings_reader_accepts_all_settings(self) -> None:
        operator = public_hex(Ed25519PrivateKey.from_private_bytes(bytes(32)))
        for daemon in self.plan.daemons:
            text = settings_text(daemon, self.shape, self.plan.seeds, "ab" * 32, operator, Path("folder"))
            read = check_settings(tomllib.loads(text), f"{daemon.name}.toml")
            self.assertIsInstance(read, Success, read)

    def test_the_operators_bundle_reader_accepts_the_bundle_of_each_shape(self) -> None:
        for name in ("despensa", "sabarmati", "demo"):
            shape = read_shape(FOLDER / f"{name}.toml").unwrap()
            keys = CallerKeys({tenant.name: f"secret-{tenant.name}" for tenant in shape.tenants})
            with tempfile.TemporaryDirectory() as folder:
                file = Path(folder) / "bundle.toml"
                file.write_text(bundle_text(shape, keys))
                bundle = check_bundle(read_source(file))
            self.assertEqual(len(bundle.services), len(shape.services))
            self.assertEqual(len(bundle.keys), len(shape.tenants))

    def test_the_bundle_contains_digests_of_the_keys_and_never_the_keys(self) -> None:
        keys = CallerKeys({tenant.name: f"secret-{tenant.name}" for tenant in self.shape.tenants})
        text = bundle_text(self.shape, keys)
        self.assertNotIn("secret-", text)
        bundle = tomllib.loads(text)
        expected = hashlib.sha256(b"secret-riders").hexdigest()
        self.assertEqual(bundle["tenant"]["riders"]["keys"], [expected])
        self.assertIs(bundle["service"]["product-card"]["repeatable"], False)
        self.assertEqual(bundle["route"]["chat"], {"path_prefix": "/v1/chat", "service": "chat"})
