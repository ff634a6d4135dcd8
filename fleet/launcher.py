"""Runs a fleet on this machine: ``python -m fleet.launcher SHAPE.toml [--folder F]`` and the class that tools use.

The launcher ends only the child processes that it started, by their process ids. All ports are on loopback.
"""

from __future__ import annotations

import asyncio
import json
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
from collections.abc import Iterable, Sequence
from pathlib import Path
from types import TracebackType

import click
import msgspec
from returns.result import Failure

from .children import Child, python_module_command, stop_all
from .http import JsonClient
from .json_values import JsonObject, JsonValue
from .plan import (
    CallerKeys,
    DaemonPlan,
    Plan,
    WorkerPlan,
    bundle_text,
    new_caller_keys,
    plan_fleet,
    settings_text,
)
from .shape import HOST, Shape, read_shape
from .waiting import FleetError, wait_until

ROOT = Path(__file__).resolve().parent.parent
STOP_TIMEOUT_S = 25.0
"""Time that daemons get to finish their streams after SIGTERM. It exceeds the daemons' own limit ``stop_within``, so
that a daemon is killed only if it fails to stop by itself."""


class CommandResult(msgspec.Struct, frozen=True):
    """Exit code, standard output and standard error of a command."""

    code: int
    output: str
    errors: str

    def json(self) -> JsonValue:
        """Returns the output as decoded JSON; raises ``json.JSONDecodeError`` when it is not JSON."""
        return json.loads(self.output)


class Fleet:
    """The daemons and workers of one fleet by name.

    Its files are written below ``folder``: settings, keys, data, logs, runs and bundle.toml.
    """

    def __init__(self, shape: Shape, folder: Path) -> None:
        self.shape = shape
        self.folder = folder.resolve()
        self.plan: Plan = plan_fleet(shape)
        self.daemons: dict[str, DaemonPlan] = {daemon.name: daemon for daemon in self.plan.daemons}
        self.workers: dict[str, WorkerPlan] = {worker.name: worker for worker in self.plan.workers}
        self.children: dict[str, Child] = {}
        self.keys: CallerKeys = CallerKeys({})
        self.http = JsonClient()
        self._next_port = self.plan.next_port
        self._replacements = 0

    async def __aenter__(self) -> Fleet:
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, problem: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self.stop()

    # Files

    def prepare(self) -> None:
        """Writes the keys, settings and the bundle file, without starting a process."""
        for name in ("settings", "keys", "data", "logs", "runs"):
            (self.folder / name).mkdir(parents=True, exist_ok=True)
        self._check_ports()
        self._make_keys()
        for daemon in self.daemons.values():
            self._write_settings(daemon)
        self.bundle_file.write_text(bundle_text(self.shape, self.keys))
        self._write_addresses()

    @property
    def bundle_file(self) -> Path:
        """The operator's bundle file."""
        return self.folder / "bundle.toml"

    @property
    def operator_key_file(self) -> Path:
        """The file of the key with which bundles are signed."""
        return self.folder / "keys" / "operator.key"

    def _make_keys(self) -> None:
        result = self.command("key", "new", str(self.operator_key_file), "--json")
        if result.code:
            raise FleetError(f"wingwood key new failed: {result.errors or result.output}")
        self._operator_public = str(result.json()["public_key"])
        fleet_key = self.folder / "keys" / "fleet.key"
        result = self.command("key", "new", "--fleet", str(fleet_key), "--json")
        if result.code:
            raise FleetError(f"wingwood key new --fleet failed: {result.errors or result.output}")
        self._fleet_key = fleet_key.read_text().strip()
        self.keys = new_caller_keys(self.shape)
        (self.folder / "keys" / "callers.json").write_text(json.dumps(dict(self.keys.by_tenant), indent=2))

    def _write_settings(self, daemon: DaemonPlan) -> None:
        text = settings_text(daemon, self.shape, self.plan.seeds, self._fleet_key, self._operator_public, self.folder)
        self._settings_file(daemon).write_text(text)

    def _settings_file(self, daemon: DaemonPlan) -> Path:
        return self.folder / "settings" / f"{daemon.name}.toml"

    def _write_addresses(self) -> None:
        """Writes fleet.json for tools that are started separately, such as the load tool."""
        document = {
            "shape": msgspec.to_builtins(self.shape),
            "routers": [
                {"name": daemon.name, "caller": daemon.caller, "operator": daemon.operator} for daemon in self.routers()
            ],
            "controls": [{"name": daemon.name, "operator": daemon.operator} for daemon in self.controls()],
            "workers": {
                worker.name: {"address": worker.address, "pool": worker.pool.name} for worker in self.workers.values()
            },
            "keys": dict(self.keys.by_tenant),
        }
        (self.folder / "fleet.json").write_text(json.dumps(document, indent=2))

    def _check_ports(self) -> None:
        port_in_use = first_port_in_use(range(self.shape.first_port, self.plan.next_port))
        if port_in_use is not None:
            raise FleetError(f"port {port_in_use} is taken by another program; set first_port in the shape")

    # Processes

    def start_daemons(self) -> None:
        """Starts all daemons without waiting for them."""
        for daemon in self.daemons.values():
            self._start_daemon(daemon)

    def start_workers(self) -> None:
        """Starts all workers without waiting for them."""
        for worker in self.workers.values():
            self._start_worker(worker)

    def _start_daemon(self, daemon: DaemonPlan) -> None:
        command = python_module_command("wingwood", daemon.role, "--settings", str(self._settings_file(daemon)))
        self._start(daemon.name, command)

    def _start_worker(self, worker: WorkerPlan) -> None:
        pool = worker.pool
        arguments = {
            "--name": worker.name,
            "--address": worker.address,
            "--pool": pool.name,
            "--zone": worker.zone,
            "--kind": pool.kind,
            "--slots": pool.slots,
            "--cache-tokens": pool.cache_tokens,
            "--prefill-per-token": pool.prefill_per_token,
            "--decode-per-token": pool.decode_per_token,
            "--decode-per-other-stream": pool.decode_per_other_stream,
            "--plain-seconds": pool.plain_seconds,
            "--runs-file": self.runs_file(worker.name),
        }
        options = [text for name, value in arguments.items() for text in (name, str(value))]
        options.append("--tells-load" if pool.tells_load else "--hides-load")
        # Each worker announces itself to three daemons, as in the real deployments; the first is in its own zone.
        near = [daemon for daemon in self.daemons.values() if daemon.zone == worker.zone]
        others = [daemon for daemon in self.daemons.values() if daemon.zone != worker.zone]
        for daemon in (near + others)[:1] + near[-1:] + others[-1:]:
            options += ["--announce", daemon.operator]
        self._start(worker.name, python_module_command("emulator.process", *options))

    def _start(self, name: str, command: Sequence[str]) -> None:
        child = self.children.get(name)
        if child is None:
            child = Child(name, command, self.folder / "logs" / f"{name}.log", ROOT)
            self.children[name] = child
        child.start()

    def runs_file(self, worker: str) -> Path:
        """Returns the file to which a worker writes its runs."""
        return self.folder / "runs" / f"{worker}.jsonl"

    async def start(self) -> None:
        """Starts all processes, and returns when all daemons are live and all workers answer."""
        self.prepare()
        self.start_daemons()
        self.start_workers()
        await self.wait_until_live()
        await self.wait_for_workers()

    async def stop(self) -> None:
        """Stops all processes; kills those that do not end within ``STOP_TIMEOUT_S``."""
        await asyncio.to_thread(stop_all, list(self.children.values()), STOP_TIMEOUT_S)
        self.http.close()

    # Conditions

    async def wait_until_live(self) -> None:
        """Waits until all daemons answer /live."""
        for daemon in self.daemons.values():
            await self.wait_for_daemon(daemon.name, "/live")

    async def wait_until_ready(self) -> None:
        """Waits until all daemons report that they are ready. Routers do so only once a bundle is in force."""
        for daemon in self.daemons.values():
            await self.wait_for_daemon(daemon.name, "/ready")

    async def wait_for_daemon(self, name: str, path: str, timeout: float = 60.0) -> None:
        """Waits until a daemon answers a path with status 2xx; raises FleetError after ``timeout`` seconds."""
        daemon = self.daemons[name]

        async def condition() -> bool:
            self.check_children()
            return (await self.http.get(daemon.operator, path)).succeeded

        await wait_until(f"{name} answers {path} with 200", condition, timeout)

    async def wait_for_workers(self) -> None:
        """Waits until all workers answer /health."""
        for worker in self.workers.values():

            async def condition(worker: WorkerPlan = worker) -> bool:
                self.check_children()
                return (await self.http.get(worker.address, "/health")).succeeded

            await wait_until(f"worker {worker.name} answers /health", condition)

    def check_children(self) -> None:
        """Raises FleetError with the last lines of the log when a child has ended without being asked to."""
        for child in self.children.values():
            if child.expected_to_run and not child.running():
                child.expected_to_run = False
                raise FleetError(
                    f"{child.name} ended unexpectedly with code {child.exit_code()}; its log ends:\n{child.log_tail()}"
                )

    # Faults, by name

    def kill(self, name: str) -> None:
        """Kills a process with SIGKILL."""
        self.children[name].kill()

    def freeze(self, name: str) -> None:
        """Suspends a process with SIGSTOP until ``resume``."""
        self.children[name].freeze()

    def resume(self, name: str) -> None:
        """Continues a suspended process."""
        self.children[name].resume()

    def restart(self, name: str) -> None:
        """Kills the process if it still runs, and starts it again with the same settings and data."""
        self.kill(name)
        self.children[name].start()

    async def restart_gracefully(self, name: str) -> None:
        """Sends SIGTERM, waits for the process to end, and starts it again."""
        child = self.children[name]
        child.terminate()
        await asyncio.to_thread(child.wait_or_kill, STOP_TIMEOUT_S)
        child.start()

    def wipe(self, name: str) -> None:
        """Kills a control daemon, deletes its data folder and starts it again at the same address."""
        self.kill(name)
        shutil.rmtree(self.folder / "data" / name, ignore_errors=True)
        self.children[name].start()

    def replace(self, name: str) -> str:
        """Kills a daemon permanently and starts a new one without data at a new address. Returns the new daemon's name.

        The settings of all daemons still list the three original seeds.
        """
        old = self.daemons.pop(name)
        self.kill(name)
        self._replacements += 1
        new = DaemonPlan(
            name=f"{old.role}-new-{self._replacements}", role=old.role, zone=old.zone, first_port=self._next_port
        )
        self._next_port += 3
        self.daemons[new.name] = new
        self._write_settings(new)
        self._write_addresses()
        self._start_daemon(new)
        return new.name

    def replace_worker(self, name: str) -> str:
        """Kills a worker permanently and starts a new one at a new address. Returns the new worker's name."""
        old = self.workers.pop(name)
        self.kill(name)
        self._replacements += 1
        new = WorkerPlan(
            name=f"{old.pool.name}-new-{self._replacements}", pool=old.pool, zone=old.zone, port=self._next_port
        )
        self._next_port += 1
        self.workers[new.name] = new
        self._write_addresses()
        self._start_worker(new)
        return new.name

    # State

    def process_ids(self) -> dict[str, int]:
        """Returns the process ids of the running children by name."""
        ids = {name: child.process_id for name, child in self.children.items() if child.running()}
        return {name: number for name, number in ids.items() if number is not None}

    def routers(self) -> list[DaemonPlan]:
        """Returns the routers that were not replaced."""
        return [daemon for daemon in self.daemons.values() if daemon.role == "router"]

    def controls(self) -> list[DaemonPlan]:
        """Returns the control daemons that were not replaced."""
        return [daemon for daemon in self.daemons.values() if daemon.role == "control"]

    async def version_on(self, name: str) -> int:
        """Returns the bundle version that is in force on a daemon, or 0 when there is none."""
        reply = await self.http.get(self.daemons[name].operator, "/control/v1/bundle")
        return int(reply.body["version"]) if reply.succeeded else 0

    async def control_reports(self) -> JsonObject:
        """Returns the control status that each answering control daemon reports, with the daemon's own incarnation."""
        reports = {}
        for daemon in self.controls():
            reply = await self.http.get(daemon.operator, "/control/v1/health")
            if reply.succeeded and reply.body.get("control"):
                reports[daemon.name] = {**reply.body["control"], "incarnation": reply.body["incarnation"]}
        return reports

    async def control_complete(self) -> bool:
        """Tells whether the control daemons could tolerate the loss of any one of them.

        The primary has to report this, and all members that it counts on have to answer this process.
        """
        reports = (await self.control_reports()).values()
        answering = {report["incarnation"] for report in reports}
        return any(
            report["own_role"] == "primary" and report["complete"] and answering.issuperset(report["members"])
            for report in reports
        )

    async def primary(self) -> str | None:
        """Returns the name of the control daemon that reports to be primary and to accept orders, if there is one."""
        for name, report in (await self.control_reports()).items():
            if report["own_role"] == "primary" and report["accepts_orders"]:
                return name
        return None

    async def runs(self) -> list[JsonObject]:
        """Returns all runs of all workers so far from their run files, including the runs of killed workers."""
        return await asyncio.to_thread(self._read_runs)

    def _read_runs(self) -> list[JsonObject]:
        latest: dict[tuple[str, int], JsonObject] = {}
        for file in sorted((self.folder / "runs").glob("*.jsonl")):
            for line in file.read_text().splitlines():
                run = json.loads(line)
                latest[(run["instance"], run["number"])] = run
        return list(latest.values())

    def command(self, *arguments: str) -> CommandResult:
        """Runs the operators' command line once."""
        done = subprocess.run(
            python_module_command("wingwood", *arguments),
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=False,
            timeout=120,
        )
        return CommandResult(done.returncode, done.stdout, done.stderr)

    async def run_command(self, *arguments: str) -> CommandResult:
        """Runs the operators' command line once, without blocking the event loop."""
        return await asyncio.to_thread(self.command, *arguments)


def first_port_in_use(ports: Iterable[int]) -> int | None:
    """Returns the first of the loopback ports on which another program listens."""
    for port in ports:
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((HOST, port))
            except OSError:
                return port
    return None


def free_first_port(shape: Shape, lowest: int = 28000, highest: int = 29900) -> int:
    """Finds a first port for a fleet of this shape, for tests that run while other fleets are up.

    All ports of the fleet and 20 more for replacements are free from there on. Raises FleetError when there is no such
    port.
    """
    span = plan_fleet(shape).next_port - shape.first_port + 20
    for first in range(lowest, highest - span, span):
        if first_port_in_use(range(first, first + span)) is None:
            return first
    raise FleetError(f"no {span} ports in a row are free from {lowest} to {highest}")


def open_shape(file: Path) -> Shape:
    """Reads a shape file or raises FleetError. A name such as ``demo`` means the shape in the folder of this module."""
    if not file.exists() and (ROOT / "fleet" / f"{file.name}.toml").exists():
        file = ROOT / "fleet" / f"{file.name}.toml"
    match read_shape(file):
        case Failure(problem):
            raise FleetError(str(problem))
        case read:
            return read.unwrap()


async def _run(shape: Shape, folder: Path, push: bool) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stopped.set)
    async with Fleet(shape, folder) as fleet:
        starting = asyncio.create_task(_bring_up(fleet, push))
        stopping = asyncio.create_task(stopped.wait())
        await asyncio.wait([starting, stopping], return_when=asyncio.FIRST_COMPLETED)
        if not starting.done():
            starting.cancel()
        else:
            await starting
            await stopping
        click.echo("stopping")


async def _bring_up(fleet: Fleet, push: bool) -> None:
    click.echo(f"starting {len(fleet.daemons)} daemons and {len(fleet.workers)} workers below {fleet.folder}")
    await fleet.start()
    if push:
        pushed = await push_bundle(fleet)
        click.echo(f"bundle version {pushed} acknowledged")
        await fleet.wait_until_ready()
    for daemon in fleet.daemons.values():
        caller = f", callers {daemon.caller}" if daemon.caller else ""
        click.echo(f"  {daemon.name:<12} {daemon.zone:<8} operators {daemon.operator}{caller}")
    click.echo("up; Ctrl-C ends it")


async def push_bundle(fleet: Fleet) -> int:
    """Signs ``bundle.toml`` and pushes it with the command line. Returns the acknowledged version."""
    signed = fleet.folder / "bundle.signed"
    result = await fleet.run_command(
        "bundle", "sign", str(fleet.bundle_file), "--key", str(fleet.operator_key_file), "--output", str(signed)
    )
    if result.code:
        raise FleetError(f"wingwood bundle sign failed: {result.errors or result.output}")
    to = [word for daemon in fleet.controls() for word in ("--to", daemon.operator)]
    pushed = await fleet.run_command("bundle", "push", str(signed), *to, "--json")
    if pushed.code:
        raise FleetError(f"wingwood bundle push failed: {pushed.errors or pushed.output}")
    return int(pushed.json()["version"])


@click.command()
@click.argument("shape", type=click.Path(path_type=Path))
@click.option("--folder", type=click.Path(path_type=Path), help="Folder for its files; a new temporary one by default.")
@click.option("--push/--no-push", default=True, show_default=True, help="Sign the shape's bundle and push it.")
def main(shape: Path, folder: Path | None, push: bool) -> None:
    """Starts the fleet of the file SHAPE (despensa, sabarmati, demo or a path) and keeps it up until Ctrl-C."""
    try:
        with tempfile.TemporaryDirectory(prefix="wingwood-fleet-") as temporary:
            asyncio.run(_run(open_shape(shape), folder or Path(temporary), push))
    except FleetError as problem:
        click.echo(f"error: {problem}", err=True)
        sys.exit(1)


if __name__ == "__main__":
    main()
