"""Splits a stream of bytes at a delimiter."""

from __future__ import annotations


class PartTooLongError(Exception):
    """The bytes after the last delimiter are more than may be kept."""


class DelimitedReader:
    """Splits bytes at a delimiter as they arrive.

    Its time is linear in the bytes, and what it keeps is bounded: a sender may
    go on without ever sending the delimiter.
    """

    def __init__(self, delimiter: bytes, *, max_bytes: int) -> None:
        self._delimiter = delimiter
        self._max_bytes = max_bytes
        self._rest = bytearray()

    @property
    def remainder(self) -> bytes:
        """The bytes after the last delimiter."""
        return bytes(self._rest)

    def feed(self, data: bytes) -> list[bytes]:
        """Appends bytes and returns the parts that they complete.

        Raises:
            PartTooLongError: An incomplete part has more than the most bytes.
        """
        # A delimiter may have begun at the end of what was searched before.
        begin = max(0, len(self._rest) - len(self._delimiter) + 1)
        self._rest += data
        parts = []
        taken = 0
        while (end := self._rest.find(self._delimiter, begin)) >= 0:
            parts.append(bytes(self._rest[taken:end]))
            taken = begin = end + len(self._delimiter)
        del self._rest[:taken]
        if not parts and len(self._rest) > self._max_bytes:
            raise PartTooLongError(
                f"over {self._max_bytes} bytes without an end"
            )
        return parts
