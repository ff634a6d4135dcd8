"""``python -m wingwood``."""

from .command_line.main import main

main(prog_name="wingwood")
