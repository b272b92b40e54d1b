"""Prints results and failures, and ends with the documented exit code."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any, NoReturn, TypeVar

import orjson
from result import Err, Result

if TYPE_CHECKING:
    from cactusdyke.errors import Failure

T = TypeVar("T")

EXIT_FAILED = 1
EXIT_USAGE = 2


def show(value: Any, *, as_json: bool, text: str) -> None:
    """Prints a value as JSON, or its text for people."""
    if as_json:
        text = orjson.dumps(value, option=orjson.OPT_INDENT_2).decode()
    print(text)


def fail(failure: Failure, *, code: int = EXIT_FAILED) -> NoReturn:
    """Prints a failure as one line with its remedy and ends."""
    print(f"cactusdyke: {failure.message}", file=sys.stderr)
    sys.exit(code)


def unwrap(outcome: Result[T, Failure], *, code: int = EXIT_FAILED) -> T:
    """Returns the value, or ends with the failure's line."""
    if isinstance(outcome, Err):
        fail(outcome.err_value, code=code)
    return outcome.ok_value
