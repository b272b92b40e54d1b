"""Limits how deeply parsed JSON is nested.

Code that visits a value recursively fails on one that is nested too deeply:
orjson encodes 254 levels and parses 1,024, Python itself bears some hundred.
What a daemon accepts, it also has to be able to log and to pass on.
"""

from __future__ import annotations

import itertools
from typing import Any

MAX_MESSAGE_NESTING = 128
"""Levels of a whole message; a stored entry fits into it with its envelope."""
MAX_ENTRY_NESTING = 64
"""Levels of what one writer put into the store."""


def is_nested_deeper(value: Any, levels: int) -> bool:
    """Returns whether lists and objects are nested in more than some levels."""
    containers = [value] if isinstance(value, dict | list) else []
    for _ in range(levels):
        if not containers:
            return False
        inner = itertools.chain.from_iterable(
            c.values() if isinstance(c, dict) else c for c in containers
        )
        containers = [each for each in inner if isinstance(each, dict | list)]
    return bool(containers)


def may_be_nested_deeper(body: bytes, levels: int) -> bool:
    """Returns False if JSON has too few brackets for more than some levels."""
    return body.count(b"[") + body.count(b"{") > levels
