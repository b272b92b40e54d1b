"""Which daemons have which configuration revision in force."""

from __future__ import annotations

import base64
from typing import TYPE_CHECKING, Any

from cactusdyke.membership.attachments import Attachment

if TYPE_CHECKING:
    from cactusdyke.membership.member import Member
    from cactusdyke.membership.table import MemberTable

MAX_REVISIONS = 3


class RevisionMap(Attachment):
    """Carries a bit for each daemon and each of the latest revisions.

    The revision in force changes at every daemon at once. As news of members
    this would cost each daemon as many entries as there are daemons; a bit
    for each, joined by "or", spreads as fast for two bytes in twelve daemons.
    """

    def __init__(self, *, table: MemberTable) -> None:
        self._table = table

    def write(self, receiver: Member | None) -> Any:
        """Returns the latest revisions with the daemons known to have them."""
        revisions = self._by_name()
        latest = sorted({r for r in revisions.values() if r}, reverse=True)
        if not latest:
            return None
        names = self._table.present_names
        return [
            self._table.digest,
            *(
                [revision, _to_text([revisions[n] >= revision for n in names])]
                for revision in latest[:MAX_REVISIONS]
            ),
        ]

    def read(self, sender: Member, value: Any) -> None:
        """Joins what the sender knows."""
        digest, *carried = value
        # The bits speak of daemons by their place in the table, and of one
        # incarnation each. With another table a bit could vouch for a daemon
        # that was restarted and has nothing in force yet.
        if digest != self._table.digest:
            return
        names = self._table.present_names
        for revision, text in carried:
            for name, has in zip(names, _to_bits(text), strict=False):
                if has and name != self._table.own.name:
                    self._table.record_revision(name, int(revision))

    def _by_name(self) -> dict[str, int]:
        return {m.name: m.revision for m in self._table.present()}


def _to_text(bits: list[bool]) -> str:
    number = sum(1 << place for place, bit in enumerate(bits) if bit)
    data = number.to_bytes((len(bits) + 7) // 8, "little")
    return base64.b64encode(data).decode()


def _to_bits(text: str) -> list[bool]:
    data = base64.b64decode(text)
    return [bool(byte >> place & 1) for byte in data for place in range(8)]
