"""The command line: one method a command."""

from __future__ import annotations

import fire

from cactusdyke.cmd.entry import entry


class Commands:
    """Serves multi-stage model pipelines; see docs/ for the handbook."""

    def __init__(self) -> None:
        self.entry = entry


def main() -> None:
    """Runs the command that the arguments name."""
    fire.Fire(Commands(), name="cactusdyke")


if __name__ == "__main__":
    main()
