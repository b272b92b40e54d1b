"""cactusdyke events: explains a numbered event."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusdyke.cmd import output
from cactusdyke.cmd.action import Action
from cactusdyke.observe import catalogue

if TYPE_CHECKING:
    from cactusdyke.events import Event


def events(event: str = "", *, json: bool = False) -> Action:
    """Explains one event, or lists them all.

    Args:
        event: A number such as CD1001, or a name.
        json: Print JSON.
    """

    def work() -> None:
        if event == "":
            _show(catalogue.in_order(), json=json)
            return
        found = catalogue.find(str(event))
        if found is None:
            output.usage(
                f"no event is called {event}; run cactusdyke events for all"
            )
        _show([found], json=json)

    return Action(work=work)


def _show(found: list[Event], *, json: bool) -> None:
    rows = [
        {
            "number": event.code,
            "name": event.name.lower(),
            "meaning": event.meaning,
            "remedy": event.remedy or "nothing",
        }
        for event in found
    ]
    if json:
        output.show_json(rows)
    else:
        output.show_table(rows)
