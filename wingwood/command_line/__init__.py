"""The program `wingwood`: daemons as subcommands, and the client for operators (docs/COMMANDS.md)."""
