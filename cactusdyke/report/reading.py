"""Reads log lines, wherever on a line the JSON object begins."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs
import orjson

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator


@attrs.frozen(kw_only=True)
class LogLine:
    """One event of one daemon.

    Attributes:
        at_ms: Time of day that the daemon gave it, Unix milliseconds.
        daemon: The daemon's name.
        code: The event's code, such as CD4302.
        fields: Everything else.
    """

    at_ms: int
    daemon: str
    code: str
    fields: dict[str, Any]


def read(lines: Iterable[str]) -> Iterator[LogLine]:
    """Yields the events in lines; others are passed over."""
    for line in lines:
        begin = line.find("{")
        if begin < 0:
            continue
        try:
            value = orjson.loads(line[begin:])
        except orjson.JSONDecodeError:
            continue
        if not isinstance(value, dict) or not isinstance(
            value.get("event"), str
        ):
            continue
        yield LogLine(
            at_ms=int(value.get("at", 0)),
            daemon=str(value.get("daemon", "")),
            code=value["event"].partition(":")[0],
            fields=value,
        )
