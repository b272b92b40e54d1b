"""Numbered log events, the source of docs/events.md."""

from __future__ import annotations

import enum
from typing import Any

import eliot


class Event(enum.Enum):
    """Every event that the system logs: number, meaning and remedy."""

    DAEMON_STARTED = (1001, "The daemon listens and serves.", "")
    DAEMON_DRAINING = (
        1002,
        "A planned stop has begun; the daemon serves until callers moved.",
        "",
    )
    DAEMON_STOPPED = (1003, "The daemon has ended with nothing in flight.", "")
    INTERNAL_ERROR = (
        1004,
        "A handler met an error that the code does not expect.",
        "Report it with the fields of this event.",
    )
    CONFIGURATION_APPLIED = (2001, "A higher revision is in force here.", "")
    CONFIGURATION_REJECTED = (
        2002,
        "A revision could not be read whole; the one in force stays.",
        "Submit the configuration again or read the named object.",
    )
    STORE_UNAVAILABLE = (
        2101,
        "The object service did not answer.",
        "Check the platform's object service; serving goes on without it.",
    )
    MEMBER_CHANGED = (3001, "A daemon's state as seen from here changed.", "")
    DAEMON_PAUSED = (
        3002,
        "This daemon stood still; what it then missed accuses nobody.",
        "Look for a suspended or overcommitted host if this is repeated.",
    )
    GOSSIP_REJECTED = (
        3003,
        "A value on another daemon's message could not be read.",
        "Check that all daemons run releases that may run together.",
    )
    ATTEMPT_FAILED = (
        4001,
        "An attempt at a backend server failed.",
        "Look at the backend server if this is repeated.",
    )
    ANSWER_DROPPED = (
        4002,
        "An answer was not the one asked for, or came late, and was dropped.",
        "Look at the backend server if this is repeated.",
    )
    REQUEST_REFUSED = (4003, "A request was refused before it ran.", "")
    BOOKING_OUTCOME_UNKNOWN = (
        5001,
        "A non-idempotent call may or may not have run.",
        "Ask the plain service by the idempotency key.",
    )

    def __init__(self, number: int, meaning: str, remedy: str) -> None:
        self.number = number
        self.meaning = meaning
        self.remedy = remedy

    @property
    def code(self) -> str:
        """The number as it is printed, such as CD1001."""
        return f"CD{self.number}"


def log(event: Event, **fields: Any) -> None:
    """Writes one numbered event with its fields to the eliot log."""
    eliot.log_message(
        message_type=f"{event.code}:{event.name.lower()}", **fields
    )
