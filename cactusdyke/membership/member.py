"""One daemon as others know it, and which news of it wins."""

from __future__ import annotations

import enum
from typing import Any

import attrs
from result import Err, Ok, Result

from cactusdyke.errors import Failure, FailureKind


class MemberState(enum.StrEnum):
    """What a daemon says of itself, or others of it."""

    LIVE = "live"
    SUSPECTED = "suspected"
    LEAVING = "leaving"
    DEAD = "dead"

    @property
    def rank(self) -> int:
        """Which state wins at the same incarnation."""
        return _RANKS[self]


_RANKS = {state: rank for rank, state in enumerate(MemberState)}
_BY_CODE = {state.value[:2]: state for state in MemberState}
_WIRE_FIELDS = 7


@attrs.frozen(kw_only=True)
class Member:
    """One daemon.

    Attributes:
        name: The daemon's name.
        address: Where it serves.
        data_centre: Where it stands.
        region: The region of its data centre.
        incarnation: Grows with each start and each contradiction.
        state: Whether it serves, as seen from here.
        revision: The highest configuration revision known in force there.
    """

    name: str
    address: str
    data_centre: str
    region: str
    incarnation: int
    state: MemberState = MemberState.LIVE
    revision: int = 0

    @property
    def precedence(self) -> tuple[int, int]:
        """What decides between two pieces of news; the greater wins."""
        return (self.incarnation, self.state.rank)

    def encode(self) -> list[Any]:
        """Returns the entry as it travels."""
        return [
            self.name,
            self.address,
            self.data_centre,
            self.region,
            self.incarnation,
            self.state.value[:2],
            self.revision,
        ]


def decode_member(value: Any) -> Result[Member, Failure]:
    """Reads an entry of a message."""
    if (
        not isinstance(value, list)
        or len(value) != _WIRE_FIELDS
        or not all(isinstance(part, str) for part in (*value[:4], value[5]))
        or not all(isinstance(part, int) for part in (value[4], value[6]))
        or value[5] not in _BY_CODE
    ):
        return Err(
            Failure(
                kind=FailureKind.BAD_REQUEST,
                detail=f"{str(value)[:200]} is not a member",
            )
        )
    return Ok(
        Member(
            name=value[0],
            address=value[1],
            data_centre=value[2],
            region=value[3],
            incarnation=value[4],
            state=_BY_CODE[value[5]],
            revision=value[6],
        )
    )
