"""Encodes copies of the store's state for other daemons, large ones packed.

The objects of a kind repeat each other's keys and values, so that they take a
narrow link a small part of the time when they are compressed.
"""

from __future__ import annotations

import base64
import zlib
from typing import TYPE_CHECKING, Any

import orjson

from cactusdyke.transport.network import MAX_BODY_BYTES

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cactusdyke.serving.followed_state import FollowedState

PACKED = "packed"
MIN_PACKED_BYTES = 4_096
"""Smaller values are sent as they are."""
COMPRESSION_LEVEL = 1
MAX_KEPT = 8
"""Encoded values kept for each state; most followers know the same revision."""


class StateEncoder:
    """Encodes states, once for all followers that know the same revision."""

    def __init__(self) -> None:
        self._revisions: dict[str, int] = {}
        self._kept: dict[str, dict[tuple[int, bool], dict[str, Any]]] = {}

    def encode(
        self, state: FollowedState, known: int, *, packed: bool
    ) -> dict[str, Any]:
        """Returns what a follower lacks of a state, as a JSON value.

        Args:
            state: The state.
            known: The revision that the follower knows.
            packed: Whether the follower reads packed values.
        """
        if self._revisions.get(state.name) != state.revision:
            self._revisions[state.name] = state.revision
            self._kept[state.name] = {}
        kept = self._kept[state.name]
        key = (known, packed)
        if key not in kept:
            if len(kept) >= MAX_KEPT:
                kept.pop(next(iter(kept)))
            kept[key] = _encode(state.lacking_since(known), packed=packed)
        return {**state.status(), **kept[key]}


def unpack(body: Mapping[str, Any]) -> Mapping[str, Any]:
    """Returns an encoded state with its packed values.

    Raises:
        TypeError, ValueError: They can't be read, or are too large.
    """
    if PACKED not in body:
        return body
    try:
        data = base64.b64decode(body[PACKED], validate=True)
        stream = zlib.decompressobj()
        value = stream.decompress(data, MAX_BODY_BYTES)
    except zlib.error as error:
        raise ValueError(f"packed values can't be read: {error}") from error
    if not stream.eof:
        raise ValueError("packed values are cut short, or too large")
    return {**body, **orjson.loads(value)}


def _encode(values: dict[str, Any], *, packed: bool) -> dict[str, Any]:
    encoded = orjson.dumps(values)
    if packed and len(encoded) >= MIN_PACKED_BYTES:
        data = zlib.compress(encoded, COMPRESSION_LEVEL)
        return {PACKED: base64.b64encode(data).decode()}
    return {
        key: orjson.Fragment(orjson.dumps(value))
        for key, value in values.items()
    }
