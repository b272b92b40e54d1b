"""Bounds what may come around the chunks of a body."""

from __future__ import annotations

FRAMING_BYTES_PER_CHUNK = 64
"""Size, line ends and a short extension of a chunk."""


class FramingLimit:
    """Counts chunk headers and trailers, as the bytes of a body arrive.

    Args:
        most_bytes: How many such bytes may come beyond those that chunks of
            their number need.
    """

    def __init__(self, *, most_bytes: int) -> None:
        self._most_bytes = most_bytes
        self._left = most_bytes

    def allows(self, framing_bytes: int, *, chunks: int) -> bool:
        """Counts framing that came with so many chunks.

        Returns:
            Whether there was not too much of it.
        """
        needed = FRAMING_BYTES_PER_CHUNK * chunks
        self._left = min(self._most_bytes, self._left + needed - framing_bytes)
        return self._left >= 0
