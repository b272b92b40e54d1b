"""The command line: reads it whole, then runs what it names."""

from __future__ import annotations

import contextlib
import io
import sys
from typing import Any

import fire
from fire.core import FireExit

from cactusdyke.cmd import action, output, reading
from cactusdyke.cmd.call import call
from cactusdyke.cmd.entry import entry
from cactusdyke.cmd.events import events
from cactusdyke.cmd.questionnaire import QuestionnaireCommands
from cactusdyke.cmd.report import report
from cactusdyke.cmd.settings import SettingsCommands
from cactusdyke.cmd.submit import submit

PROGRAM = "cactusdyke"
COMMANDS: dict[str, Any] = {
    "entry": entry,
    "settings": SettingsCommands,
    "questionnaire": QuestionnaireCommands,
    "submit": submit,
    "status": reading.status,
    "history": reading.history,
    "addresses": reading.addresses,
    "call": call,
    "cost": reading.cost,
    "trace": reading.trace,
    "report": report,
    "events": events,
}


def main() -> None:
    """Runs the command that the arguments name."""
    arguments = sys.argv[1:]
    command = _read(arguments)
    if not isinstance(command, action.Action):
        output.usage(f"no command; run {_help_for(arguments)}")
    with contextlib.suppress(BrokenPipeError, KeyboardInterrupt):
        action.run(command)


def _read(arguments: list[str]) -> Any:
    """Reads the command line; the parser's own words become one line."""
    said = io.StringIO()
    try:
        with contextlib.redirect_stderr(said), contextlib.redirect_stdout(said):
            return fire.Fire(
                COMMANDS,
                command=arguments or ["--help"],
                name=PROGRAM,
                serialize=lambda _: "",
            )
    except FireExit as ended:
        if ended.code == 0:
            print(said.getvalue(), end="")
            sys.exit(output.ExitCode.OK)
        output.usage(f"{_reason(said.getvalue())}; run {_help_for(arguments)}")


def _reason(said: str) -> str:
    for line in said.splitlines():
        if line.startswith("ERROR: "):
            return line.removeprefix("ERROR: ").strip()
    return "the command line can't be read"


def _help_for(arguments: list[str]) -> str:
    if arguments and arguments[0] in COMMANDS:
        return f"{PROGRAM} {arguments[0]} --help"
    return f"{PROGRAM} --help"


if __name__ == "__main__":
    main()
