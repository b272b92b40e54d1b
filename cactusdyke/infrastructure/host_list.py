"""The platform's list of live and leaving hosts, which lags."""

from __future__ import annotations

import abc
import enum
from typing import TYPE_CHECKING

import attrs
import orjson
from result import Err, Ok, Result

from cactusdyke.transport.messages import Request
from cactusdyke.transport.network import CallOptions

if TYPE_CHECKING:
    from cactusdyke.errors import Failure
    from cactusdyke.transport.network import Network


class HostState(enum.StrEnum):
    """What the list says of a host."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen(kw_only=True)
class ListedHost:
    """One entry of the list."""

    name: str
    address: str
    data_centre: str
    state: HostState


class HostList(abc.ABC):
    """Reads the list of hosts."""

    @abc.abstractmethod
    async def read(self) -> Result[tuple[ListedHost, ...], Failure]:
        """Returns the list as it stands, which may lag by seconds."""


class HttpHostList(HostList):
    """A host list behind HTTP."""

    def __init__(self, *, address: str, network: Network) -> None:
        self._address = address
        self._network = network

    async def read(self) -> Result[tuple[ListedHost, ...], Failure]:
        """Returns the list as it stands."""
        answer = await self._network.fetch(
            self._address, Request(method="GET", path="/hosts"), CallOptions()
        )
        if isinstance(answer, Err):
            return answer
        body = answer.ok_value.body
        assert isinstance(body, bytes)
        return Ok(
            tuple(
                ListedHost(
                    name=item["name"],
                    address=item["address"],
                    data_centre=item["data_centre"],
                    state=HostState(item["state"]),
                )
                for item in orjson.loads(body)["hosts"]
            )
        )
