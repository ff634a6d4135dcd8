"""Measures how soon drains are acknowledged and followed under faults, on the simulator (docs/DESIGN.md section 10.7).

``python -m bench.registry_bench --seeds N``
"""

from __future__ import annotations

import click

from wingwood.registry.tests.drain_faults import FAULTS, drain_times


@click.command()
@click.option("--seeds", default=5, show_default=True)
@click.option("--routers", default=11, show_default=True)
@click.option("--fault", "only", help="Run only this fault.")
def main(seeds: int, routers: int, only: str | None) -> None:
    """Prints the worst times of each fault."""
    click.echo(f"seconds, worst of seeds 1 to {seeds}, {routers} routers")
    click.echo(f"{'fault':<36}{'acknowledged':>13}{'heeded':>9}{'after ack':>11}{'slowest answer':>16}")
    for fault in FAULTS if only is None else (only,):
        times = [drain_times(fault, seed, routers) for seed in range(1, seeds + 1)]
        worst = [max(getattr(each, name) for each in times) for name in ("acknowledged", "heeded", "late")]
        slowest = max(each.slowest_answer for each in times)
        click.echo(f"{fault:<36}{worst[0]:>13.3f}{worst[1]:>9.3f}{worst[2]:>11.3f}{slowest:>16.3f}")


if __name__ == "__main__":
    main()
