"""Checks the body of a caller's request."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

import attrs
from result import Err, Ok, Result

from cactusdyke.errors import Failure, FailureKind

if TYPE_CHECKING:
    from cactusdyke.transport.messages import Request

MAX_DEADLINE_MS = 600_000.0
KNOWN_FIELDS = frozenset({"input", "deadline_ms", "stream"})


@attrs.frozen(kw_only=True)
class CallBody:
    """What a caller asks for.

    Attributes:
        input: What the pipeline or service works on.
        deadline_ms: How long the caller waits; None for the configured time.
        stream: Whether the answer is wanted token by token.
    """

    input: Any
    deadline_ms: float | None = None
    stream: bool = False


def parse(request: Request) -> Result[CallBody, Failure]:
    """Returns the checked body of a call."""
    value = request.json()
    if isinstance(value, Err):
        return value
    fields = value.ok_value
    unknown = sorted(set(fields) - KNOWN_FIELDS)
    if unknown:
        return Err(_bad(f"The body has unknown fields: {', '.join(unknown)}"))
    if "input" not in fields:
        return Err(_bad("The body has no field 'input'"))
    if not isinstance(fields.get("stream", False), bool):
        return Err(_bad("The field 'stream' is not true or false"))
    deadline = fields.get("deadline_ms")
    if deadline is not None and not _is_deadline(deadline):
        return Err(
            _bad(
                "The field 'deadline_ms' is not a number above 0 and up to"
                f" {MAX_DEADLINE_MS:.0f}"
            )
        )
    return Ok(CallBody(**fields))


def _is_deadline(value: object) -> bool:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return False
    return math.isfinite(value) and 0 < value <= MAX_DEADLINE_MS


def _bad(detail: str) -> Failure:
    return Failure(kind=FailureKind.BAD_REQUEST, detail=detail)
