"""Checks of single values, attached to attrs fields as metadata."""

from __future__ import annotations

import abc
import difflib
import re
from typing import TYPE_CHECKING, Any

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

CHECK_KEY = "cactusdyke.check"
SHOWN_CHARACTERS = 60


class Check(abc.ABC):
    """Tells what is wrong with a value."""

    @abc.abstractmethod
    def problem(self, value: Any) -> str | None:
        """Returns the value, what is allowed and the remedy, or None."""


@attrs.frozen(kw_only=True)
class Within(Check):
    """A number in a range.

    Attributes:
        low: The lowest allowed number.
        high: The highest allowed number.
        above_low: Whether `low` itself is not allowed.
        unit: What the number counts, for the message.
    """

    low: float
    high: float
    above_low: bool = False
    unit: str = ""

    def problem(self, value: Any) -> str | None:
        """Returns what is wrong with a number."""
        too_low = value <= self.low if self.above_low else value < self.low
        if not too_low and value <= self.high:
            return None
        start = "above" if self.above_low else "from"
        unit = f" {self.unit}" if self.unit else ""
        return (
            f"{value:g} is not allowed; give a number {start} {self.low:g} to"
            f" {self.high:g}{unit}"
        )


@attrs.frozen(kw_only=True)
class Matching(Check):
    """A text of a certain form.

    Attributes:
        pattern: Regular expression for the whole text.
        form: What the text has to be, for the message.
        secret: Whether the value must not be repeated in the message.
    """

    pattern: str
    form: str
    secret: bool = False

    def problem(self, value: Any) -> str | None:
        """Returns what is wrong with a text."""
        if re.fullmatch(self.pattern, value):
            return None
        value = f"a text of {len(value)}" if self.secret else shown(value)
        return f"{value} is not allowed; give {self.form}"


@attrs.frozen(kw_only=True)
class Each(Check):
    """A list whose every value passes a check.

    Attributes:
        check: The check of each value.
        at_least: How many values there must be.
    """

    check: Check | None = None
    at_least: int = 0

    def problem(self, value: Any) -> str | None:
        """Returns what is wrong with the list or its values."""
        if len(value) < self.at_least:
            return f"has {len(value)} entries; give at least {self.at_least}"
        problems = [
            f"[{number}] {problem}"
            for number, item in enumerate(value)
            if self.check and (problem := self.check.problem(item))
        ]
        return ", ".join(problems) or None


NAME = Matching(
    pattern=r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}",
    form=(
        "1 to 63 letters, digits, dots, dashes and underscores, the first a"
        " letter or digit"
    ),
)
ADDRESS = Matching(
    pattern=(
        r"([A-Za-z0-9._-]+|\[[0-9a-fA-F:.]+\])"
        r":([1-9]\d{0,3}|[1-5]\d{4}|6[0-4]\d{3}|65[0-4]\d\d|655[0-2]\d|6553[0-5])"
    ),
    form="an address as host:port, the port from 1 to 65535",
)
TOKEN_HASH = Matching(
    pattern=r"[0-9a-f]{64}",
    form="the SHA-256 of a token as 64 small hexadecimal digits",
    secret=True,
)


def checked(check: Check) -> Mapping[str, Any]:
    """Returns the metadata of a field whose values are checked."""
    return {CHECK_KEY: check}


def shown(value: Any) -> str:
    """Returns a value as a message shows it, cut to a bounded length."""
    text = repr(value)
    if len(text) > SHOWN_CHARACTERS:
        text = text[:SHOWN_CHARACTERS] + "..."
    return text


def nearest(name: str, known: Iterable[str]) -> str:
    """Returns the remedy for an unknown name: the nearest, or all known."""
    names = sorted(known)
    close = difflib.get_close_matches(name, names, n=1, cutoff=0.5)
    if close:
        return f"did you mean {close[0]!r}?"
    return f"known: {', '.join(names)}" if names else "none is known"
