"""Defines the program `wingwood`; each daemon role and each operator's task is a subcommand."""

from __future__ import annotations

import click

from .bundle import bundle
from .daemon_status import health, members, workers
from .daemons import control, router, settings_group
from .keys import caller_key, key
from .replay import replay_command
from .rollout import rollout


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """Router fleet for language models.

    Exit codes: 0 done, 1 refused (the message says what to mend), 2 wrong usage, 3 conflict with another
    order, 4 an order's outcome is unknown (sending it again is safe), 5 no daemon answered, 6 not healthy.
    """


for command in (
    router,
    control,
    bundle,
    rollout,
    key,
    caller_key,
    workers,
    members,
    health,
    settings_group,
    replay_command,
):
    main.add_command(command)
