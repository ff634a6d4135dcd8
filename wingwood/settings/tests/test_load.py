"""Tests of settings files and flags (docs/DESIGN.md section 6)."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

import msgspec
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from ...bundle.signing import public_hex
from ...identifiers import Address
from ..load import CHECKS, check_settings, expectation, read_settings
from ..model import DaemonSettings

ROUTER: dict[str, object] = {
    "name": "router-1",
    "role": "router",
    "zone": "a",
    "internal": "127.0.0.1:22000",
    "operator": "127.0.0.1:22001",
    "caller": "127.0.0.1:22002",
    "seeds": ["127.0.0.1:22010", "127.0.0.1:22020", "127.0.0.1:22030"],
    "fleet_key": "ab" * 16,
    "operator_keys": ["cd" * 32],
}
CONTROL = {**{key: value for key, value in ROUTER.items() if key != "caller"}, "role": "control", "data_folder": "data"}


class SettingsTest(unittest.TestCase):
    """Guards against daemons that start with invalid settings, and against messages that don't name the fault.

    Messages must never contain a secret.
    """

    def problem_text(self, document: dict[str, object]) -> str:
        return str(check_settings(document, "file.toml").failure())

    def test_flags_override_the_settings_file(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder, "router.toml")
            file.write_text("\n".join(f"{key} = {value!r}" for key, value in ROUTER.items()))
            settings = read_settings(file, {"zone": "b", "stop_within": 3}).unwrap()
            self.assertEqual((settings.zone, settings.stop_within), ("b", 3.0))
            self.assertEqual(settings.seeds[2], Address("127.0.0.1", 22030))
            self.assertEqual(settings.fleet_key, b"\xab" * 16)
            problem = str(read_settings(file, {"zone": 7}).failure())
            self.assertIn("flag --zone", problem)
            file.write_text("name = \n")
            self.assertIn("not TOML", str(read_settings(file, {}).failure()))
            self.assertIn("cannot be read", str(read_settings(Path(folder, "none"), {}).failure()))

    def test_every_key_has_a_check_that_describes_valid_values(self) -> None:
        self.assertEqual(sorted(CHECKS), sorted(each.name for each in msgspec.structs.fields(DaemonSettings)))
        for key in CHECKS:
            self.assertIn("expected", expectation(key))

    def test_message_names_file_key_value_and_valid_values(self) -> None:
        for key, value, expected in (
            ("zone", 7, "1 to 64 letters"),
            ("role", "door", "one of router, control"),
            ("internal", "localhost:1", "127.0.0.1:7000"),
            ("seeds", "127.0.0.1:1", "list"),
            ("seeds", ["127.0.0.1:1", "127.0.0.1:1"], "each named once"),
            ("operator_keys", ["xyz"], "64 hex"),
            ("removed_key_bound", True, "seconds"),
            ("outcome_retention", 5.5, "whole number"),
            ("balancing", "random", "sticky"),
        ):
            text = self.problem_text({**ROUTER, key: value})
            for part in ("file.toml", key, repr(value), expected):
                self.assertIn(part, text)

    def test_unknown_and_missing_keys(self) -> None:
        self.assertIn("colour: unknown key; the keys are name, role", self.problem_text({**ROUTER, "colour": 1}))
        missing = {key: value for key, value in ROUTER.items() if key != "zone"}
        self.assertIn("zone: missing; expected 1 to 64", self.problem_text(missing))

    def test_fleet_key_may_be_read_from_a_separate_file(self) -> None:
        flags = {key: value for key, value in ROUTER.items() if key != "fleet_key"}
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder, "fleet.key")
            flags["fleet_key_file"] = str(file)
            self.assertIn("wingwood key new --fleet", str(read_settings(None, flags).failure()))
            file.write_text("0f" * 32 + "\n")
            self.assertEqual(read_settings(None, flags).unwrap().fleet_key, b"\x0f" * 32)
            self.assertIn("not both", str(read_settings(None, {**ROUTER, **flags}).failure()))

    def test_keys_of_one_repeated_digit_are_refused(self) -> None:
        """The Ed25519 point of 32 zero bytes has low order, so anyone could make signatures that it verifies."""
        self.assertIn("over and over", self.problem_text({**ROUTER, "fleet_key": "0" * 64}))
        self.assertIn("64 hex", self.problem_text({**ROUTER, "operator_keys": ["0" * 64]}))

    def test_secrets_are_not_shown_in_messages(self) -> None:
        self.assertNotIn("5ecret", self.problem_text({**ROUTER, "fleet_key": "5ecret"}))
        self.assertNotIn("5ecret", self.problem_text({**ROUTER, "signing_key": "5ecret"}))

    def test_public_key_of_the_signing_key_is_a_bundle_signer(self) -> None:
        settings = check_settings({**CONTROL, "signing_key": "0a" * 32}, "f").unwrap()
        self.assertEqual(settings.signing_key, b"\x0a" * 32)
        own = public_hex(Ed25519PrivateKey.from_private_bytes(b"\x0a" * 32))
        self.assertEqual(settings.bundle_signers, ("cd" * 32, own))
        self.assertEqual(check_settings(CONTROL, "f").unwrap().bundle_signers, ("cd" * 32,))
        for wrong in ("0a" * 31, "0a" * 33, "zz" * 32, 7, "0" * 64):
            self.assertIn("(hidden): expected", self.problem_text({**CONTROL, "signing_key": wrong}))

    def test_combinations_of_keys_are_checked(self) -> None:
        self.assertEqual(check_settings(CONTROL, "f").unwrap().data_folder, "data")
        self.assertIn("caller", self.problem_text({**CONTROL, "caller": "127.0.0.1:1"}))
        relay = {key: CONTROL[key] for key in CONTROL if key != "data_folder"}
        self.assertIsNone(check_settings(relay, "f").unwrap().data_folder)
        self.assertIn("record_file", self.problem_text({**ROUTER, "record_file": "day"}))
        self.assertIn("three different", self.problem_text({**ROUTER, "operator": ROUTER["internal"]}))
