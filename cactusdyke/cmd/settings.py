"""cactusdyke settings: checks a daemon's settings."""

from __future__ import annotations

from cactusdyke import settings
from cactusdyke.cmd import output
from cactusdyke.cmd.action import Action
from cactusdyke.util import structure


class SettingsCommands:
    """Checks settings files."""

    def check(self, settings_file: str, *, json: bool = False) -> Action:
        """Says whether a daemon would start with a settings file.

        Args:
            settings_file: Settings in JSON with comments.
            json: Print the settings with every default filled in.
        """

        def work() -> None:
            loaded = output.unwrap(settings.load(settings_file))
            if json:
                output.show_json(structure.unstructure(loaded))
            else:
                print(f"{settings_file}: good, for the daemon {loaded.name}")

        return Action(work=work)
