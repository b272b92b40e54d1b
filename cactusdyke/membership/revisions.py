"""Spreads which configuration revision is in force at which daemon."""

from __future__ import annotations

import base64
from typing import TYPE_CHECKING, Any

from cactusdyke.membership.attachments import Attachment

if TYPE_CHECKING:
    from cactusdyke.membership.member import Member
    from cactusdyke.membership.table import MemberTable

MAX_REVISIONS = 3
MAX_MERGED_BITMAPS = 256
"""Bitmaps that are remembered as merged. A revision spreads in as many steps
as there are daemons at most."""


class RevisionMap(Attachment):
    """Attaches a bitmap of the daemons for each of the latest revisions.

    The revision in force changes at every daemon at once. As member updates,
    this would cost each daemon as many entries as there are daemons. Bitmaps
    that receivers combine by "or" spread as fast, and take two bytes for
    twelve daemons.
    """

    def __init__(self, *, table: MemberTable) -> None:
        self._table = table
        self._merged_digest = ""
        self._merged: set[tuple[int, str]] = set()

    def write(self, receiver: Member | None) -> Any:
        """Returns the latest revisions, each with a bitmap of daemons."""
        revisions = self._revisions_by_name()
        latest = sorted({r for r in revisions.values() if r}, reverse=True)
        if not latest:
            return None
        names = self._table.present_names
        return [
            self._table.digest,
            *(
                [
                    revision,
                    _encode_bitmap([revisions[n] >= revision for n in names]),
                ]
                for revision in latest[:MAX_REVISIONS]
            ),
        ]

    def read(self, sender: Member, value: Any) -> None:
        """Merges the sender's bitmaps."""
        digest, *bitmaps = value
        # Bits refer to daemons by their position in the table, and to one
        # incarnation each. With a different table, a bit could be read for a
        # restarted daemon that has no revision in force yet.
        if digest != self._table.digest:
            return
        if digest != self._merged_digest:
            self._merged_digest = digest
            self._merged.clear()
        names = self._table.present_names
        for revision, text in bitmaps:
            # Most messages repeat a bitmap that is known to all daemons.
            if (revision, text) in self._merged:
                continue
            if len(self._merged) >= MAX_MERGED_BITMAPS:
                self._merged.clear()
            self._merged.add((revision, text))
            for name, has in zip(names, _decode_bitmap(text), strict=False):
                if has and name != self._table.own.name:
                    self._table.record_revision(name, int(revision))

    def _revisions_by_name(self) -> dict[str, int]:
        return {m.name: m.revision for m in self._table.present()}


def _encode_bitmap(bits: list[bool]) -> str:
    number = sum(1 << place for place, bit in enumerate(bits) if bit)
    data = number.to_bytes((len(bits) + 7) // 8, "little")
    return base64.b64encode(data).decode()


def _decode_bitmap(text: str) -> list[bool]:
    data = base64.b64decode(text)
    return [bool(byte >> place & 1) for byte in data for place in range(8)]
