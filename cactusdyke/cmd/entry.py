"""cactusdyke entry: runs the daemon."""

from __future__ import annotations

from cactusdyke import daemon, settings
from cactusdyke.cmd import output


def entry(settings_file: str) -> None:
    """Runs the entry daemon that SETTINGS_FILE describes, until SIGTERM."""
    loaded = output.unwrap(settings.load(settings_file), code=output.EXIT_USAGE)
    daemon.main(loaded)
