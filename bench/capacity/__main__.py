"""``python -m bench.capacity measure --output FILE`` and ``python -m bench.capacity page --input FILE``.

A probe is one measurement program. ``measure`` runs the probes one after another, each in its own process, and
writes the rows of a probe and the load of the machine to the file as soon as the probe ends. ``--only NAME`` repeats
the named probes and leaves the results of the others as they are. ``page`` writes the tables of docs/CAPACITY.md.
"""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import click

from .common import Row, rounded_rows

FLEET_SIZES = ((11, 1), (100, 1), (300, 1), (1000, 4))
"""Pairs: the number of hollow daemons, and the number of processes that run them."""


def _measure_fleet(daemons: int, processes: int) -> list[Row]:
    from .hollow import measure_fleet  # noqa: PLC0415

    return [asyncio.run(measure_fleet(daemons, processes, 5, 15.0))]


def probes() -> dict[str, Callable[[], list[Row]]]:
    from . import (  # noqa: PLC0415
        control,
        coordinators,
        daemons,
        forward,
        ledger,
        members,
        messages,
        prefixes,
        sessions,
        shares,
        workers,
    )

    result: dict[str, Callable[[], list[Row]]] = {
        "empty processes": daemons.measure_empty,
        "messages": messages.measure,
        "members changed": members.measure,
        "session map": sessions.measure,
        "shared prefixes": prefixes.measure,
        "ledger entries": ledger.measure_entries,
        "ledger claims": ledger.measure_claims,
        "keepers": coordinators.measure,
        "share asks": shares.measure_asks,
        "share grants": shares.measure_grants,
        "forward calls": forward.measure_calls,
        "forward streams": forward.measure_streams,
        "forward open": forward.measure_open,
        "worker pools": workers.measure_workers,
        "worker followers": workers.measure_followers,
        "worker edge": workers.measure_edge,
        "worker zones": workers.measure_zones,
        "daemons": daemons.measure_daemons,
        "control state": control.measure_state,
        "control restarts": control.measure_restarts,
    }
    for size, processes in FLEET_SIZES:
        result[f"fleet {size}"] = lambda size=size, processes=processes: _measure_fleet(size, processes)  # type: ignore[misc]
    return result


@click.group()
def main() -> None:
    """Measures the inputs of docs/CAPACITY.md and writes the tables of the page."""


@main.command()
@click.argument("name")
def probe(name: str) -> None:
    """Runs one probe in this process and prints its rows as JSON; ``measure`` starts this command."""
    print("\n" + json.dumps(rounded_rows(probes()[name]())))


@main.command()
@click.option("--output", type=click.Path(path_type=Path), required=True)
@click.option("--only", multiple=True, help="Probe to run, may be repeated; all probes run if left out.")
@click.option("--limit", default=600.0, show_default=True, help="Time limit of one probe, in seconds.")
def measure(output: Path, only: Sequence[str], limit: float) -> None:
    """Runs the probes one after another and records a probe that fails as failed."""
    known = list(probes())
    if unknown := sorted(set(only) - set(known)):
        raise click.UsageError(f"unknown probes {unknown}; known: {', '.join(known)}")
    failed = []
    for name in only or known:
        result = _run(name, limit)
        measured: dict[str, Any] = json.loads(output.read_text()) if output.exists() else {}
        measured[name] = result
        output.write_text(json.dumps(dict(sorted(measured.items())), indent=1) + "\n")
        click.echo(f"{name}: {result['seconds']} s, load {result['load']}, {result.get('failed', 'ok')}")
        failed += [name] if "failed" in result else []
    if failed:
        raise SystemExit(f"failed: {', '.join(failed)}")


def _run(name: str, limit: float) -> dict[str, Any]:
    load, started = os.getloadavg()[0], time.monotonic()
    result: dict[str, Any] = {
        "at": time.strftime("%Y-%m-%d %H:%M:%S"),
        "cores": os.cpu_count(),
        "python": sys.version.split()[0],
        "commit": _commit(),
    }
    command = [sys.executable, "-m", "bench.capacity", "probe", name]
    child = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    try:
        output, _ = child.communicate(timeout=limit)
        if child.returncode:
            raise ValueError(f"exit code {child.returncode}")
        result["rows"] = json.loads(output.strip().splitlines()[-1])
    except subprocess.TimeoutExpired:
        child.terminate()
        child.communicate()
        result |= {"failed": f"not done after {limit:.0f} s", "rows": []}
    except (ValueError, IndexError) as problem:
        result |= {"failed": str(problem), "rows": []}
    result["seconds"] = round(time.monotonic() - started, 1)
    result["load"] = [round(load, 1), round(os.getloadavg()[0], 1)]
    return result


def _commit() -> str:
    output = subprocess.run(["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True, check=False)
    return output.stdout.strip()


@main.command()
@click.option("--input", "source", type=click.Path(path_type=Path, exists=True), required=True)
@click.option("--page", "target", type=click.Path(path_type=Path, exists=True), default=Path("docs/CAPACITY.md"))
def page(source: Path, target: Path) -> None:
    """Writes the tables of docs/CAPACITY.md between their markers, and draws its picture."""
    from .page import write_page  # noqa: PLC0415

    write_page(json.loads(source.read_text()), target)


if __name__ == "__main__":
    main()
