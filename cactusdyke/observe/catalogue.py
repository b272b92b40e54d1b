"""The catalogue of numbered events, as docs/events.md shows it."""

from __future__ import annotations

from cactusdyke.events import Event

_HEAD = """# Log events

Written from cactusdyke/events.py by `make docs`; a scenario compares the two.
Each event is one line of JSON in the log, with its number and name in
`message_type`.

| number | name | meaning | what to do |
|---|---|---|---|
"""


def markdown() -> str:
    """Returns the whole page."""
    return _HEAD + "".join(_row(event) for event in in_order())


def in_order() -> list[Event]:
    """Returns the events by number."""
    return sorted(Event, key=lambda event: event.number)


def find(name: str) -> Event | None:
    """Returns the event with a number, such as CD1001, or a name."""
    wanted = name.lower().removeprefix("cd")
    for event in Event:
        if wanted in (str(event.number), event.name.lower()):
            return event
    return None


def _row(event: Event) -> str:
    remedy = event.remedy or "nothing"
    name = event.name.lower()
    return f"| {event.code} | {name} | {event.meaning} | {remedy} |\n"


if __name__ == "__main__":
    print(markdown(), end="")
