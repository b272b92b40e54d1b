"""Parses JSON of which a part can't be read, for the sake of the rest.

One answer holds the entries of many writers.
"""

from __future__ import annotations

import json
import math
import re
from typing import TYPE_CHECKING, Any

import orjson
from result import Err, Ok, Result

from cactusdyke.errors import Failure, FailureKind

if TYPE_CHECKING:
    from collections.abc import Iterator

ENVELOPE_LEVELS = 4
"""Levels around the content of an entry: the answer, its list, an event in it
and the event's object."""
_STRING = rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"'
_NEXT_BRACKETS = re.compile(
    rb'(?:[^"\[\]{}]++|' + _STRING + rb")*+([\[{]++|[\]}]++)", re.DOTALL
)
_NEXT_MARK = re.compile(
    rb'(?:[^"\[\]{},:]++|' + _STRING + rb")*+([\[\]{},:])", re.DOTALL
)
_OPENING = b"[{"
_CLOSING = b"]}"


def parse_object(
    body: bytes, *, content_key: str
) -> Result[dict[str, Any], Failure]:
    """Parses a body that must be a JSON object.

    Args:
        body: The encoded object.
        content_key: Key of what other writers put there. Such a value becomes
            null as a whole if it can't be read.

    Returns:
        The object. Outside of contents, bytes and escapes that are no Unicode
        become U+FFFD, and numbers that no float holds become null.
    """
    try:
        value = orjson.loads(body)
    except orjson.JSONDecodeError:
        try:
            value = _Parser(content_key).parse(body, ENVELOPE_LEVELS)
        except (ValueError, RecursionError) as error:
            return Err(_failure(f"it is not JSON: {error}"))
    if not isinstance(value, dict):
        return Err(_failure("it is not a JSON object"))
    return Ok(value)


class _Parser:
    """Parses the members of objects and the items of lists one by one."""

    def __init__(self, content_key: str) -> None:
        self._content_key = content_key

    def parse(self, body: bytes, levels: int) -> Any:
        """Parses a value of which a part can't be read.

        Raises:
            ValueError, RecursionError: It can't be divided into parts.
        """
        opening = body.lstrip()[:1]
        if levels and opening == b"{":
            members = (
                (self._parse_part(key, 0), part) for key, part in _split(body)
            )
            return {
                key: self._parse_part(
                    part, levels - 1, is_content=key == self._content_key
                )
                for key, part in members
                if isinstance(key, str)
            }
        if levels and opening == b"[":
            return [
                self._parse_part(part, levels - 1) for _, part in _split(body)
            ]
        return _parse_leniently(body)

    def _parse_part(
        self, part: bytes, levels: int, *, is_content: bool = False
    ) -> Any:
        try:
            return orjson.loads(part)
        except orjson.JSONDecodeError:
            if is_content:
                return None
        try:
            return self.parse(part, levels)
        except (ValueError, RecursionError):
            return None


def _split(body: bytes) -> Iterator[tuple[bytes, bytes]]:
    """Yields key and value of each member of an object, or item of a list.

    Only strings and brackets are looked at, without recursion. Items have no
    key.

    Raises:
        ValueError: A string or a bracket isn't closed.
    """
    depth = position = begin = 0
    key = b""
    while True:
        pattern = _NEXT_MARK if depth == 1 else _NEXT_BRACKETS
        found = pattern.match(body, position)
        if found is None:
            raise ValueError("a string or a bracket is not closed")
        marks = found[1]
        if not depth:
            # What is left of a run of brackets belongs to the first value.
            marks = marks[:1]
        elif marks[:1] in _CLOSING:
            marks = marks[: max(1, depth - 1)]
        position = found.start(1) + len(marks)
        if marks[:1] in _OPENING:
            depth += len(marks)
            begin = begin or position
            continue
        if marks[:1] in _CLOSING:
            depth -= len(marks)
        if depth == 1 and marks == b":":
            key, begin = body[begin : position - 1], position
        elif not depth or (depth == 1 and marks == b","):
            part = body[begin : position - 1]
            if key or part.strip():
                yield key, part
            key, begin = b"", position
        if not depth:
            return


def _parse_leniently(body: bytes) -> Any:
    value = json.loads(
        body.decode("utf-8", "replace"),
        parse_constant=lambda _: None,
        parse_float=_finite,
        parse_int=_finite,
        strict=False,
    )
    # Surrogates without a partner can't be encoded.
    text = json.dumps(value, ensure_ascii=False)
    return orjson.loads(text.encode("utf-8", "replace"))


def _finite(digits: str) -> float | int | None:
    value = float(digits)
    if not math.isfinite(value):
        return None
    return int(digits) if digits.lstrip("-").isdigit() else value


def _failure(detail: str) -> Failure:
    return Failure(
        kind=FailureKind.BAD_REQUEST, detail=f"The body can't be read: {detail}"
    )
