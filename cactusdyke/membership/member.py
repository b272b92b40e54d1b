"""Membership entry of one daemon, and the precedence of its updates."""

from __future__ import annotations

import enum
from typing import Any

import attrs
from result import Err, Ok, Result

from cactusdyke.errors import Failure, FailureKind
from cactusdyke.transport.network_address import NetworkAddress


class MemberState(enum.StrEnum):
    """State of a daemon, reported by itself or by others."""

    LIVE = "live"
    SUSPECTED = "suspected"
    LEAVING = "leaving"
    DEAD = "dead"

    @property
    def rank(self) -> int:
        """Precedence among states of the same incarnation; the higher wins."""
        return _RANKS[self]


_RANKS = {state: rank for rank, state in enumerate(MemberState)}
_BY_CODE = {state.value[:2]: state for state in MemberState}
_WIRE_FIELDS = 7


@attrs.frozen(kw_only=True)
class Member:
    """Membership entry of one daemon.

    Attributes:
        name: The daemon's name.
        address: Where it accepts connections.
        data_centre: Where it runs.
        region: The region of its data centre.
        incarnation: Increases with each start and each refutation.
        state: Its state, in the view of the daemon that keeps the entry.
        revision: The highest configuration revision known to be in force
            there.
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
        """Order of updates about the same daemon; the greater wins."""
        return (self.incarnation, self.state.rank)

    def encode(self) -> list[Any]:
        """Returns the entry as a JSON list, for a message."""
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
    """Decodes an entry of a message."""
    if (
        not isinstance(value, list)
        or len(value) != _WIRE_FIELDS
        or not all(isinstance(part, str) for part in (*value[:4], value[5]))
        or not all(isinstance(part, int) for part in (value[4], value[6]))
        or value[5] not in _BY_CODE
        or not _is_address(value[1])
    ):
        return Err(
            Failure(
                kind=FailureKind.BAD_REQUEST,
                detail=f"invalid member entry: {str(value)[:200]}",
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


def _is_address(text: str) -> bool:
    try:
        NetworkAddress.parse(text)
    except ValueError:
        return False
    return True
