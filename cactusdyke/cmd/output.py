"""Prints results and failures, and ends with the documented exit code."""

from __future__ import annotations

import enum
import sys
from typing import TYPE_CHECKING, Any, NoReturn, TypeVar

import orjson
from result import Err, Result

from cactusdyke.errors import Failure, FailureKind, Ran

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

T = TypeVar("T")


class ExitCode(enum.IntEnum):
    """The exit codes, as documented in docs/command-line.md."""

    OK = 0
    FAILED = 1
    USAGE = 2
    UNKNOWN = 3
    REFUSED = 4


def show_json(value: Any) -> None:
    """Prints a value as indented JSON."""
    option = orjson.OPT_INDENT_2 | orjson.OPT_NON_STR_KEYS
    print(orjson.dumps(value, option=option).decode())


def show_table(rows: Sequence[Mapping[str, Any]]) -> None:
    """Prints rows under the names of their columns."""
    if not rows:
        print("nothing to show")
        return
    names = list(rows[0])
    cells = [names, *([_cell(row.get(name)) for name in names] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    for row in cells:
        padded = map(str.ljust, row, widths)
        print("  ".join(padded).rstrip())


def fail(failure: Failure, *, code: ExitCode | None = None) -> NoReturn:
    """Prints a failure as one line with its remedy and ends."""
    line = " ".join(failure.message.split())
    if failure.retry_after_ms is not None:
        line += f" (retry after {failure.retry_after_ms} ms)"
    print(f"cactusdyke: {line}", file=sys.stderr)
    sys.exit(exit_code(failure) if code is None else code)


def unwrap(outcome: Result[T, Failure], *, code: ExitCode | None = None) -> T:
    """Returns the value, or ends with the failure's line."""
    if isinstance(outcome, Err):
        fail(outcome.err_value, code=code)
    return outcome.ok_value


def usage(detail: str) -> NoReturn:
    """Ends because the command line can't be carried out as written."""
    print(f"cactusdyke: {detail}", file=sys.stderr)
    sys.exit(ExitCode.USAGE)


def exit_code(failure: Failure) -> ExitCode:
    """Returns the exit code that tells a script what a failure means."""
    if failure.kind is FailureKind.INVALID:
        return ExitCode.USAGE
    if failure.ran is Ran.UNKNOWN:
        return ExitCode.UNKNOWN
    if failure.kind is FailureKind.NOT_SENT:
        return ExitCode.FAILED
    return ExitCode.REFUSED


def _cell(value: Any) -> str:
    if value is None:
        return "-"
    return f"{value:.6g}" if isinstance(value, float) else str(value)
