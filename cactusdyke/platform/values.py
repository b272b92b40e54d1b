"""Checks of single values of the platform's objects.

Another writer may have put anything there that JSON can express.
"""

from __future__ import annotations

import math
import re
from typing import Any

MAX_WHOLE_NUMBER = 2**53
"""The largest up to which a float holds every whole number."""
MAX_NUMBER = 1e18
_HEADER_VALUE = re.compile(r"[!-~]{1,256}")


def text(value: Any) -> str:
    """Returns a text.

    Raises:
        TypeError: It is none.
    """
    if not isinstance(value, str):
        raise TypeError(f"a text is needed in place of {value!r:.60}")
    return value


def header_value(value: Any) -> str:
    """Returns a text that can be sent as the value of a header.

    Raises:
        ValueError: It is empty or too long, or has other characters than
            visible ASCII.
    """
    if not _HEADER_VALUE.fullmatch(text(value)):
        raise ValueError(f"no header can hold {value!r:.60}")
    return text(value)


def number(value: Any) -> float:
    """Returns a finite number that is not negative.

    Raises:
        TypeError, ValueError: It is none.
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"a number is needed in place of {value!r:.60}")
    if not math.isfinite(value) or not 0 <= value <= MAX_NUMBER:
        raise ValueError(f"{value!r:.60} is out of range")
    return float(value)


def whole_number(
    value: Any, *, least: int = 0, most: int = MAX_WHOLE_NUMBER
) -> int:
    """Returns a whole number in a range.

    Raises:
        TypeError, ValueError: It is none.
    """
    if not number(value).is_integer() or not least <= value <= most:
        raise ValueError(f"{value!r:.60} is no whole number in range")
    return int(value)
