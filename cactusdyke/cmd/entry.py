"""cactusdyke entry: runs the daemon."""

from __future__ import annotations

from cactusdyke import daemon, settings
from cactusdyke.cmd import output
from cactusdyke.cmd.action import Action


def entry(settings_file: str) -> Action:
    """Runs the entry daemon that a settings file describes, until SIGTERM.

    Args:
        settings_file: Settings in JSON with comments.
    """

    def work() -> None:
        loaded = output.unwrap(settings.load(settings_file))
        try:
            daemon.main(loaded)
        except OSError as error:
            output.usage(
                f"{loaded.host}:{loaded.port} can't be listened on"
                f" ({error.strerror}); free the port or change the settings"
            )

    return Action(work=work)
