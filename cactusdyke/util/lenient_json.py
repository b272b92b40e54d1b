"""Parses JSON of which a part can't be read, for the sake of the rest.

One answer holds the entries of many writers.
"""

from __future__ import annotations

import json
import math
from typing import Any

import orjson
from result import Err, Ok, Result

from cactusdyke.errors import Failure, FailureKind


def parse_object(body: bytes) -> Result[dict[str, Any], Failure]:
    """Parses a body that must be a JSON object.

    Bytes and escapes that are no Unicode become U+FFFD, numbers that no float
    holds become null.
    """
    try:
        value = orjson.loads(body)
    except orjson.JSONDecodeError:
        try:
            value = _parse_leniently(body)
        except (ValueError, RecursionError) as error:
            return Err(_failure(f"it is not JSON: {error}"))
    if not isinstance(value, dict):
        return Err(_failure("it is not a JSON object"))
    return Ok(value)


def _parse_leniently(body: bytes) -> Any:
    value = json.loads(
        body.decode("utf-8", "replace"),
        parse_constant=lambda _: None,
        parse_float=_finite,
        parse_int=_finite,
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
