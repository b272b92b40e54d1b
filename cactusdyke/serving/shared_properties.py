"""Properties that requests share, and that may crash replicas."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from cactusdyke.serving.request import ServingContext

MAX_NAME_CHARS = 64
"""Longer names of parts are replaced by their hash."""


def whole_request(context: ServingContext) -> str:
    """Returns the property that only repetitions of a request share."""
    return f"request {context.digest}"


def prompt_parts(context: ServingContext) -> frozenset[str]:
    """Returns the parts of a request's prompt that others may share.

    A part is the same wherever it stands in the prompt.
    """
    return frozenset(f"part {_short(n)}" for n in context.shared_parts)


def shared_properties(context: ServingContext) -> frozenset[str]:
    """Returns everything that a crash may be blamed on."""
    return prompt_parts(context) | {whole_request(context)}


def _short(name: str) -> str:
    if len(name) <= MAX_NAME_CHARS:
        return name
    return xxhash.xxh3_128_hexdigest(name.encode())
