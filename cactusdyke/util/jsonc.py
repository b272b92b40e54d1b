"""Reads JSON with comments, and writes canonical JSON."""

from __future__ import annotations

import hashlib
import re
from typing import Any

import orjson
import pyjson5
from result import Err, Ok, Result

from cactusdyke.errors import Failure, FailureKind

_POSITION = re.compile(r"near (\d+)")


def parse_text(text: str, *, name: str) -> Result[Any, Failure]:
    """Parses JSON with comments; `name` tells where the text came from."""
    try:
        return Ok(pyjson5.decode(text))
    except pyjson5.Json5Exception as error:
        return Err(
            Failure(
                kind=FailureKind.INVALID,
                detail=f"{name} is not JSON with comments{_where(error, text)}",
            )
        )


def _where(error: pyjson5.Json5Exception, text: str) -> str:
    """Returns the first of the error's arguments and its line in the text.

    The others hold what was parsed so far, which may be long and secret.
    """
    message = str(error.args[0]) if error.args else type(error).__name__
    position = _POSITION.search(message)
    if position is None:
        return f": {message}"
    line = text.count("\n", 0, int(position[1])) + 1
    return f": line {line}: {message}"


def canonical(value: Any) -> bytes:
    """Returns JSON with sorted keys, the same bytes for the same value."""
    return orjson.dumps(value, option=orjson.OPT_SORT_KEYS)


def digest(value: bytes) -> str:
    """Returns the first 128 bits of SHA-256 in hexadecimal."""
    return hashlib.sha256(value).hexdigest()[:32]
