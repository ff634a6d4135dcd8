"""Commands that read the state of daemons: `wingwood workers`, `members` and `health`."""

from __future__ import annotations

import click
import msgspec
from returns.result import Failure, Success
from tornado.httpclient import HTTPResponse

from ..identifiers import Address, Seconds
from ..operator_api.reading import HealthReport
from ..registry.protocols import Worker
from ..transport.frames import Identity
from .client import NoAnswer, OperatorClient, decode, error_of
from .errors import ExitCode
from .options import json_option, to_option
from .output import print_json, print_table


def _client(addresses: tuple[Address, ...]) -> OperatorClient:
    client = OperatorClient(addresses, lambda message: click.echo(message, err=True))
    click.get_current_context().call_on_close(client.close)
    return client


@click.command()
@to_option
@json_option
def workers(addresses: tuple[Address, ...], as_json: bool) -> None:
    """Lists the workers that a daemon knows."""
    found = _client(addresses).read("/control/v1/workers", list[Worker])
    if as_json:
        print_json(found)
        return
    titles = ("instance", "pool", "zone", "address", "state", "slots", "running", "waiting", "cache used")
    rows = []
    for worker in found:
        load = worker.load
        load_figures = (load.running, load.waiting, load.cache_tokens_used) if load else (None, None, None)
        rows.append(
            (worker.instance, worker.pool, worker.zone, worker.address, worker.state, worker.slots, *load_figures)
        )
    print_table(titles, rows)


@click.command()
@to_option
@json_option
def members(addresses: tuple[Address, ...], as_json: bool) -> None:
    """Lists the daemons that a daemon takes for members."""
    found = _client(addresses).read("/control/v1/members", list[Identity])
    if as_json:
        print_json(found)
        return
    rows = [(each.name, each.role, each.zone, each.internal, each.operator, each.incarnation) for each in found]
    print_table(("name", "role", "zone", "internal", "operator", "incarnation"), rows)


UNPROVEN_AFTER_S = Seconds(3.0)
"""Age of the proof from which a daemon counts as unhealthy; a take-over by another primary takes less."""


class DaemonHealth(msgspec.Struct, frozen=True, kw_only=True):
    """Health report of one daemon, or the reason why there is none."""

    address: Address
    health: HealthReport | None = None
    problem: str | None = None

    def unproven_note(self) -> str | None:
        """Returns a note if the daemon received no proof of leadership for too long (docs/DESIGN.md section 9.3)."""
        age = None if self.health is None else self.health.bundle_proven_age
        return None if age is None or age < UNPROVEN_AFTER_S else f"no proof of lead heard for {age:.1f} s"

    def is_healthy(self) -> bool:
        """Whether the daemon answers, is ready and has a recent proof of leadership.

        On the primary also whether it accepts orders and control could survive another loss; only the primary
        knows that.
        """
        report = self.health
        if report is None or not report.ready or self.unproven_note() is not None:
            return False
        control = report.control
        return control is None or control.own_role != "primary" or (control.accepts_orders and control.complete)


@click.command()
@to_option
@json_option
def health(addresses: tuple[Address, ...], as_json: bool) -> None:
    """Asks every daemon named for its health; exit code 6 when one is away, not ready, or control incomplete."""
    client = _client(addresses)
    checked = [_ask_health(client, address) for address in client.addresses]
    if as_json:
        print_json(
            [
                {
                    "address": str(each.address),
                    "well": each.is_healthy(),
                    "health": each.health,
                    "problem": each.problem,
                }
                for each in checked
            ]
        )
    else:
        titles = ("daemon", "role", "zone", "ready", "version", "proven", "members", "workers", "control", "notes")
        print_table(titles, [_row(each) for each in checked])
    if not all(each.is_healthy() for each in checked):
        raise click.exceptions.Exit(int(ExitCode.UNHEALTHY))


def _ask_health(client: OperatorClient, address: Address) -> DaemonHealth:
    match client.ask(address, "/control/v1/health"):
        case Success(HTTPResponse(code=200) as response):
            return DaemonHealth(address=address, health=decode(response.body, HealthReport, address))
        case Success(HTTPResponse() as response):
            return DaemonHealth(address=address, problem=error_of(response).reason)
        case Failure(NoAnswer(reason=reason)):
            return DaemonHealth(address=address, problem=f"no answer: {reason}")
    raise AssertionError("a result is a success or a failure")


def _row(checked: DaemonHealth) -> list[object]:
    report = checked.health
    if report is None:
        return [checked.address, None, None, False, None, None, None, None, None, checked.problem]
    control = report.control
    state = None
    if control is not None:
        state = f"{control.own_role} of epoch {control.epoch}"
        if control.own_role == "primary":
            completeness = "complete" if control.complete else "INCOMPLETE"
            orders = "takes orders" if control.accepts_orders else "takes no orders"
            state = f"{state}, {completeness}, {orders}"
    age = report.bundle_proven_age
    notes = "; ".join(
        dict.fromkeys(filter(None, [*report.reasons, control.detail if control else None, checked.unproven_note()]))
    )
    return [
        report.name,
        report.role,
        report.zone,
        report.ready,
        report.version,
        None if age is None else f"{age:.1f} s ago",
        report.members,
        report.workers_ready,
        state,
        notes or None,
    ]
