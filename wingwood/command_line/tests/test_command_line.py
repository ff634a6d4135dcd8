"""Tests of the operators' command line against fake daemons on real sockets (docs/COMMANDS.md)."""

from __future__ import annotations

import io
import json
import os
import stat
import tempfile
import unittest
from pathlib import Path
from typing import Any

from click.testing import CliRunner, Result
from returns.result import Failure, Success
from returns.result import Result as Outcome
from tornado.httpclient import HTTPRequest, HTTPResponse

from ...bundle.signing import public_hex
from ...bundle.tests.samples import key_digest, order_between
from ...identifiers import Address, BundleVersion, Seconds, SliceName
from ..change import rebase
from ..client import NoAnswer, OperatorClient
from ..errors import ConflictError
from ..keys import read_key
from ..main import main
from ..source import read_source, write_source
from .fake_daemons import FakeDaemons

Response = Outcome[HTTPResponse, NoAnswer]
EXAMPLES = Path(__file__).parents[3] / "examples"
FIRST_PORT = 22100


class CommandCase(unittest.TestCase):
    """Runs commands in a temporary working folder that holds an operator's key."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.back = os.getcwd()
        os.chdir(self.folder)
        self.addCleanup(os.chdir, self.back)
        self.operator = self.folder / "operator.key"
        self.run_("key", "new", str(self.operator))

    def run_(self, *arguments: str, code: int = 0) -> Result:
        result = CliRunner().invoke(main, list(arguments), env={"WINGWOOD_TO": None, "WINGWOOD_KEY": None})
        if result.exception is not None and not isinstance(result.exception, SystemExit):
            raise result.exception
        self.assertEqual(result.exit_code, code, result.output)
        return result

    def json_(self, *arguments: str, code: int = 0) -> Any:
        return json.loads(self.run_(*arguments, "--json", code=code).stdout)

    def start_fake_daemons(self, daemons: int = 2) -> FakeDaemons:
        fleet = FakeDaemons([public_hex(read_key(self.operator))], FIRST_PORT, daemons)
        fleet.__enter__()
        self.addCleanup(fleet.__exit__)
        return fleet

    def write(self, name: str, text: str) -> str:
        (self.folder / name).write_text(text)
        return name


class KeysTest(CommandCase):
    """Guards against private keys that others can read or that are overwritten, and against wrong digests."""

    def test_private_key_is_readable_by_its_owner_only_and_never_overwritten(self) -> None:
        self.assertEqual(stat.S_IMODE(self.operator.stat().st_mode), 0o600)
        self.assertIn("never written over", self.run_("key", "new", str(self.operator), code=1).output)
        shown = self.run_("key", "show", str(self.operator)).output.strip()
        self.assertEqual(shown, public_hex(read_key(self.operator)))
        self.assertIn("not an operator's key", self.run_("key", "show", self.write("x", "y"), code=1).output)

    def test_digest_printed_with_a_caller_key_matches_the_key(self) -> None:
        made = self.json_("caller-key", "new")
        self.assertEqual(key_digest(made["key"]), made["digest"])
        made = self.json_("key", "new", "--fleet", "fleet.key")
        self.assertEqual(len(bytes.fromhex(Path("fleet.key").read_text())), 32)


class SourceTest(CommandCase):
    """Guards against invalid bundle sources and settings that are accepted or refused without a usable reason."""

    def test_examples_are_valid_and_unchanged_after_writing_and_reading(self) -> None:
        for name in ("despensa", "sabarmati"):
            source = EXAMPLES / f"{name}.toml"
            self.assertIn(
                "3 services, 3 routes, 3 classes, 5 tenants", self.run_("bundle", "check", str(source)).output
            )
            again = self.write("again.toml", write_source(read_source(source)))
            self.assertEqual(read_source(Path(again)), read_source(source))
        self.run_("key", "new", "--fleet", "fleet.key")
        os.mkdir("keys")
        os.rename("fleet.key", "keys/fleet.key")
        for name in ("router", "control"):
            self.assertIn("in order", self.run_("settings", "check", str(EXAMPLES / f"{name}-settings.toml")).output)

    def test_error_for_an_invalid_source_names_file_field_value_and_remedy(self) -> None:
        service = '[service.chat]\npool = "m"\n'
        for text, said in (
            ("[door.x]\n", "door is unknown; use [service.NAME]"),
            ("service = 3\n", "service is 3: expected tables"),
            ("[service.chat]\n", "service.chat: pool is missing"),
            (service + "retry_share = 'many'\n", "service.chat: retry_share is 'many': expected a number"),
            (service + "colour = 1\n", "colour is unknown; the fields are name, pool"),
            (service + "kind = 'odd'\n", "expected one of model, plain"),
            (service + "retry_share = 0.9\n", "service/chat field retry_share is 0.9: a share from 0 to 0.2"),
            (service + "[[service]]\n", "not TOML"),
            ('[route.a]\npath_prefix = "/"\nservice = "chat"\n', "there is no service/chat in the bundle; add it"),
            ("[[class]]\nname = 'a'\n[[class]]\nname = 'a'\n", "class/a stands twice"),
        ):
            output = self.run_("bundle", "check", self.write("b.toml", text), code=1).output
            self.assertIn(said, output)
        os.mkdir("parts")
        for name in ("parts/one.toml", "parts/two.toml"):
            self.write(name, service)
        self.assertIn("service/chat stands in parts/one.toml too", self.run_("bundle", "check", "parts", code=1).output)

    def test_daemons_refuse_to_start_with_invalid_settings(self) -> None:
        wrong = self.write("s.toml", 'name = "r"\ncolour = 1\n')
        self.assertIn("s.toml: colour: unknown key", self.run_("router", "--settings", wrong, code=1).output)
        self.assertIn("flag --stop-within", self.run_("control", "--stop-within", "soon", code=1).output)


class OrderTest(CommandCase):
    """Guards against lost, doubled or overwritten changes.

    They can arise when another operator's order comes first, when an answer is lost after the order was decided, or
    when a partitioned daemon answers with outdated state.
    """

    def push(self, fleet: FakeDaemons, *more: str, code: int = 0) -> Result:
        source = str(EXAMPLES / "despensa.toml")
        return self.run_("bundle", "push", source, "--key", str(self.operator), *fleet.to, *more, code=code)

    def change(self, fleet: FakeDaemons, *more: str, code: int = 0) -> Result:
        return self.run_("bundle", "change", *more, "--key", str(self.operator), *fleet.to, code=code)

    def test_push_show_change_history_and_diff(self) -> None:
        fleet = self.start_fake_daemons()
        self.assertIn("no bundle", self.run_("bundle", "show", *fleet.to, code=1).output)
        self.assertIn("accepted: version 1", self.push(fleet).output)
        self.assertIn("nothing differs", self.push(fleet).output)
        digest = key_digest("new")
        self.change(fleet, "--set", "tenant/riders.paid_rate=20", "--add-key", f"tenant/riders={digest}")
        _, order = fleet.orders[-1]
        self.assertEqual((list(order.changed), order.removed), (["tenant/riders"], ()))
        shown = self.json_("bundle", "show", *fleet.to)
        self.assertEqual((shown["version"], shown["slices"]["tenant/riders"]["paid_rate"]), (2, 20.0))
        self.assertIn(f"{digest[:12]}..", self.run_("bundle", "show", *fleet.to).output)
        self.change(fleet, "--remove-key", digest[:12] + "..", "--remove", "tenant/suppliers")
        self.assertEqual(
            [entry["version"] for entry in self.json_("bundle", "history", *fleet.to)["entries"]], [3, 2, 1]
        )
        changes = self.json_("bundle", "diff", "1", "3", *fleet.to)
        self.assertEqual(
            [(each["slice"], each["done"]) for each in changes],
            [("tenant/riders", "changed"), ("tenant/suppliers", "removed")],
        )
        self.assertIn("paid_rate", self.run_("bundle", "diff", "1", *fleet.to).output)
        source = self.write("back.toml", self.run_("bundle", "show", "--version", "1", "--toml", *fleet.to).output)
        self.run_("bundle", "push", source, "--key", str(self.operator), *fleet.to)
        self.assertEqual(fleet.state.slices_at(BundleVersion(4)), read_source(EXAMPLES / "despensa.toml"))

    def test_invalid_changes_are_refused_before_an_order_is_sent(self) -> None:
        fleet = self.start_fake_daemons()
        self.push(fleet)
        for flag, value, said in (
            ("--set", "tenant/riders.paid_rate=fast", "paid_rate is 'fast': expected a number"),
            ("--set", "tenant/riders.paid_rate=-1", "paid_rate is -1.0: calls a second"),
            ("--set", "tenant/riders.colour=1", "the fields of a tenant are priority_class"),
            ("--set", "tenant/nobody.burst=1", "there are: tenant/buyers"),
            ("--set", "riders", "write it as KIND/NAME.FIELD=VALUE"),
            ("--remove", "service/chat", "there is no service/chat in the bundle"),
            ("--remove-key", "0" * 64, "0 keys start so"),
            (
                "--remove-key",
                self.json_("bundle", "show", *fleet.to)["slices"]["tenant/riders"]["keys"][0][:7],
                "too short",
            ),
            ("--add-key", "tenant/riders=short", "64 hex digits"),
        ):
            self.assertIn(said, self.change(fleet, flag, value, code=1).output)
        self.assertIn("nothing to change", self.change(fleet, code=1).output)
        self.assertIn(
            "signed: name", self.run_("bundle", "change", "--set", "class/gold.weight=9", *fleet.to, code=1).output
        )
        self.assertIn("class/gold", self.change(fleet, "--dry-run", "--set", "class/gold.weight=9").output)
        self.assertEqual(len(fleet.orders), 1)

    def race(self, fleet: FakeDaemons, part: str) -> None:
        """Makes the next order conflict: another operator's order that changes slice ``part`` is decided before it."""
        before = fleet.state.slices_at(fleet.state.version) or {}
        name = SliceName(part)
        after = {**before, name: before[name].replace(b'"weight":4.0', b'"weight":5.0').replace(b":15.0", b":16.0")}
        self.assertNotEqual(before, after)
        fleet.competing_order = order_between(
            fleet.state.version, before, after, f"theirs-{part}", read_key(self.operator)
        )

    def test_conflict_names_the_order_that_won_and_can_be_rebased(self) -> None:
        fleet = self.start_fake_daemons()
        self.push(fleet)
        self.race(fleet, "class/gold")
        lost = self.change(fleet, "--set", "tenant/riders.burst=3", code=3).output
        self.assertIn("version 2 is taken, made by order theirs-class/gold", lost)
        self.assertIn("--rebase", lost)
        self.race(fleet, "tenant/buyers")
        self.assertIn("version 4", self.change(fleet, "--set", "tenant/riders.burst=3", "--rebase").output)
        slices = fleet.state.slices_at(BundleVersion(4)) or {}
        self.assertIn(b'"burst":3.0', slices[SliceName("tenant/riders")])
        self.assertIn(b'"paid_rate":16.0', slices[SliceName("tenant/buyers")])
        self.race(fleet, "tenant/riders")
        both = self.change(fleet, "--set", "tenant/riders.burst=4", "--rebase", code=3).output
        self.assertIn("tenant/riders was changed by the other order too", both)

    def test_same_order_is_sent_to_the_next_daemon_after_a_lost_answer(self) -> None:
        fleet = self.start_fake_daemons()
        fleet.losing_answers.add(fleet.addresses[0])
        printed = self.push(fleet)
        self.assertIn("resending is safe", printed.stderr)
        self.assertIn("accepted: version 1", printed.stdout)
        self.assertEqual([address for address, _ in fleet.orders], fleet.addresses)
        self.assertEqual(fleet.orders[0][1], fleet.orders[1][1])
        self.assertEqual(fleet.state.version, 1)

    def test_outcome_is_unknown_and_the_order_is_saved_without_any_answer(self) -> None:
        fleet = self.start_fake_daemons(1)
        fleet.losing_answers.add(fleet.addresses[0])
        printed = self.push(fleet, "--patience", "0", code=4).output
        self.assertIn("may or may not come in force", printed)
        kept = next(self.folder.glob("order-*.json"))
        self.assertIn(kept.name, printed)
        fleet.__exit__()
        self.assertIn(
            "nothing was sent", self.run_("bundle", "push", kept.name, *fleet.to, "--patience", "0", code=5).output
        )
        again = self.start_fake_daemons(1)
        self.assertEqual(self.json_("bundle", "push", kept.name, *again.to)["version"], 1)
        self.assertEqual(self.json_("bundle", "push", kept.name, *again.to)["outcome"], "accepted")

    def test_daemon_without_connection_to_control_is_skipped(self) -> None:
        fleet = self.start_fake_daemons()
        self.push(fleet)
        fleet.without_control.add(fleet.addresses[0])
        self.assertIn("accepted: version 2", self.change(fleet, "--set", "tenant/riders.burst=3").output)
        fleet.routers = True
        start = ("start", "x", "--set", "class/gold.weight=9", "--stages", "zone=b,all")
        self.run_("rollout", *start, "--key", str(self.operator), *fleet.to)
        self.assertIn("router-b", self.run_("rollout", "status", "x", *fleet.to).output)

    def test_signed_order_file_is_pushed_refused_on_conflict_and_checked(self) -> None:
        fleet = self.start_fake_daemons()
        source, signed = str(EXAMPLES / "sabarmati.toml"), str(self.folder / "signed")
        sign = ("bundle", "sign", source, "--key", str(self.operator), "--output", signed)
        self.assertEqual(self.json_(*sign)["version"], 1)
        self.assertEqual(self.json_("bundle", "push", signed, *fleet.to)["version"], 1)
        self.run_(*sign, "--order", "again")
        refused = self.json_("bundle", "push", signed, *fleet.to, code=3)
        self.assertEqual((refused["outcome"], refused["order"]), ("conflict", "again"))
        self.assertNotIn("--rebase", self.run_("bundle", "push", signed, *fleet.to, code=3).output)
        self.run_("key", "new", "stranger.key")
        self.run_(*sign[:4], "stranger.key", *sign[5:], *fleet.to)
        self.assertIn("not one of the 1 operator keys", self.run_("bundle", "push", signed, *fleet.to, code=1).output)
        self.assertIn(
            "not a signed order", self.run_("bundle", "push", self.write("odd", "x"), *fleet.to, code=1).output
        )

    def test_rebase_preserves_the_changes_of_both_orders_and_refuses_overlaps(self) -> None:
        one, two, three = SliceName("a"), SliceName("b"), SliceName("c")
        base = {one: b"1", two: b"2", three: b"3"}
        self.assertEqual(rebase(base, {one: b"9", two: b"2"}, {**base, two: b"8"}), {one: b"9", two: b"8"})
        self.assertEqual(rebase(base, {**base, one: b"9"}, {**base, one: b"9"}), {**base, one: b"9"})
        with self.assertRaises(ConflictError):
            rebase(base, {one: b"1", two: b"2"}, {**base, three: b"7"})


class SilentDaemonTest(unittest.TestCase):
    """Guards against a frozen daemon that delays every call because it is asked first each time."""

    def test_daemon_without_an_answer_is_asked_last_afterwards(self) -> None:
        asked: list[str] = []

        class Client(OperatorClient):
            def ask(self, address: Address, path: str, body: bytes | None = None) -> Response:
                asked.append(f"{address.port} {'order' if body else 'read'}")
                if address.port == 1:
                    return Failure(NoAnswer(address, True, "Timeout during request"))
                answer = b'{"order":"o","outcome":"accepted","version":2}' if body else b"[1]"
                request = HTTPRequest(f"http://{address}{path}")
                return Success(HTTPResponse(request, 200, buffer=io.BytesIO(answer)))

        client = Client([Address("127.0.0.1", port) for port in (1, 2, 3)], lambda text: None)
        self.addCleanup(client.close)
        self.assertEqual(client.read_highest("/x", list[int], len, sufficient_rank=1), [1])
        self.assertEqual(client.read("/x", list[int]), [1])
        client.submit(order_between(1, {}, {}))
        self.assertEqual(asked, ["1 read", "2 read", "2 read", "2 order"])


class DaemonStatusTest(CommandCase):
    """Guards against an unhealthy or unreachable daemon that is reported with exit code 0."""

    def test_workers_members_and_health_print_state_and_exit_codes(self) -> None:
        fleet = self.start_fake_daemons()
        self.assertIn("w1", self.run_("workers", *fleet.to).output)
        self.assertEqual(self.json_("members", *fleet.to)[0]["name"], "control-1")
        self.assertIn("primary of epoch 3, complete, takes orders", self.run_("health", *fleet.to).output)
        fleet.proven_age = Seconds(5.7)
        self.assertIn("no proof of lead heard for 5.7 s", self.run_("health", *fleet.to, code=6).output)
        fleet.proven_age = Seconds(0.4)
        self.run_("health", *fleet.to)
        fleet.complete = False
        self.assertIn("INCOMPLETE", self.run_("health", *fleet.to, code=6).output)
        away = self.json_("health", "--to", "127.0.0.1:22199", code=6)
        self.assertFalse(away[0]["well"])
        self.assertIn("no daemon answered", self.run_("workers", "--to", "127.0.0.1:22199", code=5).output)
        self.assertIn("--to", self.run_("workers", code=1).output)
        self.assertIn("127.0.0.1:7000", self.run_("workers", "--to", "localhost", code=2).output)


class RolloutTest(CommandCase):
    """Guards against roll-outs that start invalid, skip a stage or don't restore the bundle.

    Also guards against ordinary orders that remove or change the record or the variants of a running roll-out.
    """

    def setUp(self) -> None:
        super().setUp()
        self.fleet = self.start_fake_daemons()
        self.fleet.routers = True
        self.signed = ("--key", str(self.operator), *self.fleet.to)
        self.run_("bundle", "push", str(EXAMPLES / "despensa.toml"), *self.signed)

    def rollout(self, *arguments: str, code: int = 0) -> str:
        return self.run_("rollout", *arguments, *self.signed, code=code).output

    def start(self, *more: str, code: int = 0) -> str:
        change = ("--set", "service/chat.first_byte_patience=2.5", "--stages", "zone=a,all", "--watch", "0")
        return self.rollout("start", "patience", *change, *more, code=code)

    def test_start_status_go_on_and_roll_back(self) -> None:
        self.assertIn("accepted: version 2", self.start())
        self.assertEqual([order.replaces_all for _, order in self.fleet.orders], [True, False])
        printed = self.run_("rollout", "status", "patience", *self.fleet.to).output
        self.assertRegex(printed, r"router-a +a +yes")
        self.assertRegex(printed, r"router-b +b +no")
        shown = self.run_("bundle", "show", *self.fleet.to).output
        self.assertIn("chat@zone=a", shown)
        self.assertIn("zone=a (1 of 2)", shown)
        self.assertIn("running already", self.start(code=3))
        self.assertIn("stands at zone=a", self.rollout("go-on", "patience", "--from-stage", "all", code=3))
        self.assertIn("stage all", self.rollout("go-on", "patience"))
        self.assertIn("finished", self.rollout("go-on", "patience"))
        self.assertIn("rolled back", self.rollout("roll-back", "patience", "--reason", "slow"))
        self.assertEqual(self.json_("rollout", "status", *self.fleet.to)[0]["reason"], "slow")
        self.rollout("forget", "patience")
        self.assertEqual(self.fleet.state.slices_at(BundleVersion(6)), read_source(EXAMPLES / "despensa.toml"))
        self.assertIn("no roll-outs", self.run_("rollout", "status", *self.fleet.to).output)

    def test_invalid_starts_are_refused_before_an_order_is_sent(self) -> None:
        for arguments, said, code in (
            (
                ("--set", "service/chat.pool=x", "--stages", "zone=z,all"),
                "zone=z reaches no further router of the 2",
                1,
            ),
            (("--set", "service/chat.pool=x", "--stages", "half"), "write zone=NAME", 1),
            (("--set", "tenant/riders.paid_rate=1", "--stages", "zone=a"), "only services, routes and classes", 1),
            (("--set", "service/chat.retry_share=1", "--stages", "zone=a"), "a share from 0 to 0.2", 1),
            (("--set", "service/product-card.repeatable=true", "--stages", "zone=a"), "a variant may not change it", 1),
            (("--stages", "zone=a"), "nothing to change", 1),
        ):
            self.assertIn(said, self.rollout("start", "new", *arguments, code=code))
        self.assertIn("there is no rollout/new", self.rollout("go-on", "new", code=1))
        self.assertEqual(len(self.fleet.orders), 1)

    def test_ordinary_orders_leave_a_running_rollout_in_place(self) -> None:
        self.start()
        said = self.run_("bundle", "change", "--set", "service/chat.deadline=9", *self.signed, code=1).output
        self.assertIn("wingwood rollout roll-back patience", said)
        self.run_("bundle", "change", "--set", "tenant/riders.paid_rate=20", *self.signed)
        source = self.write("back.toml", self.run_("bundle", "show", "--toml", *self.fleet.to).output)
        self.assertNotIn("@", Path(source).read_text())
        self.assertIn("nothing differs", self.run_("bundle", "push", source, *self.signed).output)
        self.run_("bundle", "sign", source, "--output", "signed", *self.signed)
        self.run_("bundle", "push", "signed", *self.fleet.to)
        self.assertIn("running", self.run_("rollout", "status", *self.fleet.to).output)
        other = ("start", "other", "--set", "service/chat.pool=x", "--stages", "zone=a")
        self.assertIn("service/chat is in rollout/patience", self.rollout(*other, code=3))

    def test_variants_of_operators_are_set_changed_and_written_to_sources(self) -> None:
        part = self.write("part.toml", '[class."gold@zone=b"]\nweight = 7\n')
        self.run_("bundle", "change", "--file", part, *self.signed)
        self.run_("bundle", "change", "--set", "class/gold@zone=b.weight=8", *self.signed)
        slices = self.fleet.state.slices_at(BundleVersion(3)) or {}
        self.assertEqual(slices[SliceName("class/gold@zone=b")], b'{"name":"gold","urgency":null,"weight":8.0}')
        self.assertNotIn(b"8.0", slices[SliceName("class/gold")])
        source = self.write("back.toml", self.run_("bundle", "show", "--toml", *self.fleet.to).output)
        self.assertEqual(read_source(Path(source)), slices)
        self.assertIn(
            "has variants of its own",
            self.rollout("start", "x", "--set", "class/gold.weight=9", "--stages", "all", code=3),
        )

    def test_run_watches_and_finishes_or_rolls_back(self) -> None:
        self.start()
        run = ("run", "patience", "--every", "0.1", "--fewest-calls", "1", "--give-up", "20")
        printed = self.rollout(*run)
        self.assertIn("stage zone=a (1 of 2)", printed)
        self.assertIn("finished: version 4", printed)
        self.rollout("forget", "patience")
        self.start("--set", "service/chat.pool=odd")
        self.fleet.failing = True
        self.assertIn("rolled-back: ", self.rollout(*run, code=6))
        self.assertIn("rolled-back", self.run_("rollout", "status", *self.fleet.to).output)
