"""This daemon's view of the daemons that share the customers' limits."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

import attrs

from cactusdyke.membership.member import MemberState

if TYPE_CHECKING:
    from cactusdyke.clock import Clock, Instant
    from cactusdyke.membership.members import Members

REFRESH_INTERVAL_MS = 250.0
LOSS_RETENTION_MS = 30_000.0


@attrs.frozen(kw_only=True)
class Daemon:
    """A daemon that callers may be directed to.

    Attributes:
        name: The daemon's name.
        address: Address for callers, `host:port`.
        data_centre: The daemon's data centre.
        region: The region of the data centre.
    """

    name: str
    address: str
    data_centre: str
    region: str


class Fleet(abc.ABC):
    """Source of the fleet's membership."""

    @property
    @abc.abstractmethod
    def own_name(self) -> str:
        """This daemon's name."""

    @abc.abstractmethod
    def serving(self) -> tuple[Daemon, ...]:
        """Returns the daemons that callers may be directed to."""

    @abc.abstractmethod
    def leaving(self) -> frozenset[str]:
        """Returns the names of daemons that announced their departure."""


class MembersFleet(Fleet):
    """The fleet according to the membership service."""

    def __init__(self, *, members: Members) -> None:
        self._members = members

    @property
    def own_name(self) -> str:
        """This daemon's name."""
        return self._members.own.name

    def serving(self) -> tuple[Daemon, ...]:
        """Returns the daemons that callers may be directed to."""
        return tuple(
            Daemon(
                name=member.name,
                address=member.address,
                data_centre=member.data_centre,
                region=member.region,
            )
            for member in self._members.serving()
        )

    def leaving(self) -> frozenset[str]:
        """Returns the names of daemons that announced their departure."""
        return frozenset(
            member.name
            for member in self._members.all()
            if member.state is MemberState.LEAVING
        )


class FleetView:
    """Cached view of the fleet and of recently lost daemons."""

    def __init__(self, *, clock: Clock, fleet: Fleet) -> None:
        self._clock = clock
        self._fleet = fleet
        self._read_at: Instant = -REFRESH_INTERVAL_MS
        self._serving: tuple[Daemon, ...] = ()
        self._lost: dict[str, Instant] = {}
        self._version = 0

    @property
    def own_name(self) -> str:
        """This daemon's name."""
        return self._fleet.own_name

    @property
    def version(self) -> int:
        """Number that increases whenever the serving daemons change."""
        return self._version

    @property
    def serving(self) -> tuple[Daemon, ...]:
        """The daemons that callers may be directed to."""
        self._refresh()
        return self._serving

    @property
    def visible_share(self) -> float:
        """Visible daemons as a share of visible and recently lost ones.

        In a network partition each side sees the other as lost. Within
        `LOSS_RETENTION_MS` the shares of both sides add up to one, so that
        together they do not exceed a limit.
        """
        self._refresh()
        seen = len(self._serving)
        return seen / (seen + len(self._lost)) if seen else 1.0

    def _refresh(self) -> None:
        now = self._clock.now()
        if now - self._read_at < REFRESH_INTERVAL_MS:
            return
        self._read_at = now
        serving = self._fleet.serving()
        if serving != self._serving:
            self._record_losses(serving, now)
            self._serving = serving
            self._version += 1
        self._lost = {
            name: at
            for name, at in self._lost.items()
            if now - at < LOSS_RETENTION_MS
        }

    def _record_losses(self, serving: tuple[Daemon, ...], now: Instant) -> None:
        names = {daemon.name for daemon in serving}
        planned = self._fleet.leaving()
        for daemon in self._serving:
            if daemon.name not in names and daemon.name not in planned:
                self._lost[daemon.name] = now
        for name in names:
            self._lost.pop(name, None)
