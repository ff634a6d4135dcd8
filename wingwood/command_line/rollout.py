"""Commands `wingwood rollout`, which make a change in stages (docs/DESIGN.md section 19)."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from pathlib import Path

import click
import msgspec
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from returns.result import Failure, Result, Success

from ..bundle.model import OrderOutcome, Rollout
from ..identifiers import Address, DaemonName, Seconds
from ..rollout.errors import FleetUnavailableError, StepRejectedError
from ..rollout.plan import Slices, Step, advance, parse_stages, read_rollouts, remove_record, roll_back
from ..rollout.runner import RolloutRunner, take_step
from ..rollout.stage_routers import count_stage_routers, in_stage
from ..rollout.start import start_rollout
from ..transport.frames import Identity
from .change import changed_slices
from .client import OperatorClient
from .errors import CommandError, ConflictError, ExitCode, OutcomeUnknownError
from .fleet_access import HttpFleetAccess, members_of
from .options import json_option, key_option, retry_timeout_option, to_option
from .orders import latest_slices, operator_client, private_key
from .output import print_json, print_table
from .rollout_table import print_rollouts


@click.group()
def rollout() -> None:
    """A change in stages: to one zone or share of the routers first, watched, then to the next, or back."""


def _take_step(client: OperatorClient, private: Ed25519PrivateKey, step: Step) -> OrderOutcome:
    match asyncio.run(take_step(HttpFleetAccess(client, private), step)):
        case Success(OrderOutcome() as outcome):
            return outcome
        case Failure(StepRejectedError(kind="conflict", reason=reason)):
            raise ConflictError(reason)
        case Failure(StepRejectedError(reason=reason)):
            raise CommandError(reason)
        case Failure(FleetUnavailableError(reason=reason)):
            raise OutcomeUnknownError(f"{reason}. `wingwood rollout status` says where it stands")
    raise AssertionError("a result is a success or a failure")


def _report(outcome: OrderOutcome, as_json: bool, message: str) -> None:
    if as_json:
        print_json(outcome)
    else:
        click.echo(f"accepted: version {outcome.version} (order {outcome.order}); {message}")


_retry_timeout_option = retry_timeout_option("Seconds of trying to be heard.")
_SHARE = click.FloatRange(0, 1)


@rollout.command()
@click.argument("name")
@click.option("--set", "sets", multiple=True, metavar="KIND/NAME.FIELD=VALUE", help="Set a field.")
@click.option("--file", "files", multiple=True, type=click.Path(path_type=Path), help="Put in the slices of a source.")
@click.option("--stages", required=True, metavar="STAGES", help="Such as zone=a,25%,all; each keeps those before it.")
@click.option(
    "--watch", type=click.FloatRange(0, 86400), default=60.0, show_default=True, help="Seconds to watch each stage."
)
@click.option("--highest-failures", type=_SHARE, default=0.02, show_default=True, help="Share of calls that may fail.")
@click.option(
    "--highest-refusals",
    type=_SHARE,
    default=0.05,
    show_default=True,
    help="Share that may be refused for want of room.",
)
@_retry_timeout_option
@key_option
@to_option
@json_option
def start(
    name: str,
    sets: tuple[str, ...],
    files: tuple[Path, ...],
    stages: str,
    watch: float,
    highest_failures: float,
    highest_refusals: float,
    retry_timeout: float,
    key_file: Path | None,
    addresses: tuple[Address, ...],
    as_json: bool,
) -> None:
    """Puts the first stage of a change in place, as roll-out NAME. `rollout run NAME` takes it on from there."""
    if not sets and not files:
        raise CommandError("nothing to change: use --set or --file")
    match parse_stages(stages):
        case Success(read):
            pass
        case Failure(StepRejectedError(reason=reason)):
            raise CommandError(f"--stages: {reason}")
    client = operator_client(addresses, retry_timeout)
    private = private_key(key_file)
    reached = _check_stages(client, read)

    def change(slices: Slices) -> Result[Slices, StepRejectedError]:
        return Success(changed_slices(slices, files=files, sets=sets))

    step = start_rollout(name, change, read, Seconds(watch), highest_failures, highest_refusals, reached)
    outcome = _take_step(client, private, step)
    _report(outcome, as_json, f"stage {read[0]} of {', '.join(read)}; next: wingwood rollout run {name}")


def _check_stages(client: OperatorClient, stages: Sequence[str]) -> int:
    """Checks that each stage but the last reaches routers that the earlier ones don't; returns the size of the first.

    The check uses the routers that control lists now. Raises CommandError for a stage that reaches no further one.
    """
    routers = _routers(client)
    reached: set[DaemonName] = set()
    for number, stage in enumerate(stages[:-1]):
        plan = msgspec.structs.replace(_EMPTY, stages=tuple(stages))
        names = {each.name for each in routers if in_stage(plan, number, each)}
        if names == reached:
            zones = ", ".join(sorted({each.zone for each in routers}))
            raise CommandError(
                f"--stages: {stage} reaches no further router of the {len(routers)} there are now; "
                f"the zones are {zones or 'none'}, and with few routers a share must be larger"
            )
        reached = names
    return count_stage_routers(msgspec.structs.replace(_EMPTY, stages=tuple(stages)), 0, routers)


def _routers(client: OperatorClient) -> list[Identity]:
    return [each for each in members_of(client) if each.role == "router"]


_EMPTY = Rollout(
    name="",
    stages=(),
    stage=0,
    state="running",
    changes=(),
    watch=Seconds(0.0),
    highest_failures=0.0,
    highest_refusals=0.0,
)


def _existing(client: OperatorClient, name: str) -> Rollout:
    """Reads a roll-out from the latest bundle; raises CommandError if there is none of this name."""
    _, slices = latest_slices(client)
    found = read_rollouts(slices)
    if name not in found:
        raise CommandError(f"there is no rollout/{name}; there are: {', '.join(found) or 'none'}")
    return found[name]


@rollout.command()
@click.argument("name", required=False)
@to_option
@json_option
def status(name: str | None, addresses: tuple[Address, ...], as_json: bool) -> None:
    """Lists roll-outs, or says of one which routers act on it and how they stand."""
    client = operator_client(addresses)
    if name is None:
        _, slices = latest_slices(client)
        rollouts = list(read_rollouts(slices).values())
        if as_json:
            print_json(rollouts)
        elif rollouts:
            print_rollouts(rollouts)
        else:
            click.echo("no roll-outs")
        return
    found = _existing(client, name)
    match asyncio.run(HttpFleetAccess(client, None).observe()):
        case Success(fleet_status):
            pass
        case Failure(lost):
            raise CommandError(lost.reason)
    rows = []
    for member in fleet_status.routers():
        router_status = fleet_status.router_statuses.get(member.name)
        acts = found.state == "finished" or (found.state == "running" and in_stage(found, found.stage, member))
        version = None if router_status is None else router_status.version
        rows.append((member.name, member.zone, acts, router_status is not None and router_status.ready, version))
    if as_json:
        titles = ("router", "zone", "acts_on_it", "ready", "version")
        print_json({"rollout": found, "routers": [dict(zip(titles, row, strict=True)) for row in rows]})
        return
    print_rollouts([found])
    click.echo()
    print_table(("router", "zone", "acts on it", "ready", "version"), rows)


@rollout.command("go-on")
@click.argument("name")
@click.option("--from-stage", "from_stage", metavar="STAGE", help="Only if it stands at this stage.")
@_retry_timeout_option
@key_option
@to_option
@json_option
def advance_command(
    name: str,
    from_stage: str | None,
    retry_timeout: float,
    key_file: Path | None,
    addresses: tuple[Address, ...],
    as_json: bool,
) -> None:
    """Takes roll-out NAME to its next stage now; after the last one it is finished."""
    client = operator_client(addresses, retry_timeout)
    found = _existing(client, name)
    stage = found.stages[found.stage]
    if from_stage is not None and from_stage != stage:
        raise ConflictError(f"rollout/{name} stands at {stage}")
    reached = count_stage_routers(found, found.stage + 1, _routers(client))
    outcome = _take_step(client, private_key(key_file), advance(name, found.stage, reached))
    last = found.stage + 1 == len(found.stages)
    _report(outcome, as_json, "finished" if last else f"stage {found.stages[found.stage + 1]}")


@rollout.command("roll-back")
@click.argument("name")
@click.option("--reason", default="by hand", show_default=True, help="Kept in the bundle.")
@_retry_timeout_option
@key_option
@to_option
@json_option
def roll_back_command(
    name: str,
    reason: str,
    retry_timeout: float,
    key_file: Path | None,
    addresses: tuple[Address, ...],
    as_json: bool,
) -> None:
    """Puts everything of roll-out NAME back as it was, as a new version."""
    client = operator_client(addresses, retry_timeout)
    _existing(client, name)
    _report(_take_step(client, private_key(key_file), roll_back(name, reason)), as_json, "rolled back")


@rollout.command("forget")
@click.argument("name")
@_retry_timeout_option
@key_option
@to_option
@json_option
def forget_command(
    name: str, retry_timeout: float, key_file: Path | None, addresses: tuple[Address, ...], as_json: bool
) -> None:
    """Takes the record of a finished or rolled back roll-out out of the bundle; the history keeps it."""
    client = operator_client(addresses, retry_timeout)
    _existing(client, name)
    _report(_take_step(client, private_key(key_file), remove_record(name)), as_json, "forgotten")


@rollout.command()
@click.argument("name")
@click.option("--fewest-calls", type=click.IntRange(0), default=10, show_default=True, help="To see before going on.")
@click.option("--every", type=click.FloatRange(0.1, 60), default=1.0, show_default=True, help="Seconds between looks.")
@click.option(
    "--give-up",
    type=click.FloatRange(0, 86400),
    default=600.0,
    show_default=True,
    help="Seconds beyond the watch after which a stage that shows nothing ends the command.",
)
@_retry_timeout_option
@key_option
@to_option
def run(
    name: str,
    fewest_calls: int,
    every: float,
    give_up: float,
    retry_timeout: float,
    key_file: Path | None,
    addresses: tuple[Address, ...],
) -> None:
    """Watches roll-out NAME and takes it on stage by stage, or rolls it back. Start it again anywhere, at any time.

    Ends with 0 when finished and 6 when rolled back or given up (it then stays at its stage).
    """
    client = operator_client(addresses, retry_timeout)
    private = private_key(key_file)
    _existing(client, name)
    runner = RolloutRunner(
        HttpFleetAccess(client, private), name, click.echo, fewest_calls, Seconds(every), Seconds(give_up)
    )
    ended = asyncio.run(runner.run())
    click.echo(f"{ended.result}: {ended.reason}")
    if ended.result != "finished":
        raise click.exceptions.Exit(int(ExitCode.UNHEALTHY))
