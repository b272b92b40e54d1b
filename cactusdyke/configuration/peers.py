"""Who follows whom: other daemons as sources of the configuration."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import TYPE_CHECKING, Any

import attrs
import orjson
import xxhash
from result import Err, Ok, Result

from cactusdyke.configuration import objects
from cactusdyke.configuration.loader import PartSource
from cactusdyke.errors import Failure, FailureKind
from cactusdyke.infrastructure.directory import Directory, Peer
from cactusdyke.transport.messages import Request, parse_object
from cactusdyke.transport.network import CallOptions
from cactusdyke.util import structure

if TYPE_CHECKING:
    from cactusdyke.transport.network import Network

HEAD_PATH = "/internal/v1/configuration/head"
PARTS_PATH = "/internal/v1/configuration/parts"

WATCHERS_PER_DATA_CENTRE = 2
"""Daemons of a data centre that watch the store; two, so that one may fail."""

FOLLOWERS_PER_DAEMON = 4
"""With two watchers, 42 daemons of a data centre are two steps deep."""

PARTS_PER_CALL = 128
CONNECT_TIMEOUT_MS = 500.0
ANSWER_TIMEOUT_MS = 1_500.0


class FixedDirectory(Directory):
    """The daemons that the settings name."""

    def __init__(self, *, peers: Sequence[Peer]) -> None:
        self._peers = tuple(peers)

    def peers(self) -> Sequence[Peer]:
        """Returns the daemons that the settings name."""
        return self._peers


def parent_of(own: Peer, peers: Sequence[Peer]) -> Peer | None:
    """Returns whom a daemon follows, None if it watches the store itself.

    Daemons of a data centre are ranked by hash of their names, the first two
    watch the store, and each is followed by at most four of the next ranks.
    Views that differ for a while do no harm: everyone answers whoever asks.
    """
    ranked = sorted(
        (own, *(p for p in peers if p.data_centre == own.data_centre)),
        key=lambda peer: xxhash.xxh64_intdigest(peer.name.encode()),
    )
    rank = [peer.name for peer in ranked].index(own.name)
    if rank < WATCHERS_PER_DATA_CENTRE:
        return None
    return ranked[(rank - WATCHERS_PER_DATA_CENTRE) // FOLLOWERS_PER_DAEMON]


@attrs.frozen(kw_only=True)
class PeerHead:
    """What a peer says of its configuration.

    Attributes:
        revision: The revision in force there.
        confirmed_ms_ago: Age of the store's word behind it, None for none.
        head: The head, if the revision is higher than the asker's.
        parts: What the asker lacks, as far as the peer knows it.
    """

    revision: int
    confirmed_ms_ago: float | None = None
    head: objects.Head | None = None
    parts: Mapping[str, str] = attrs.field(factory=dict)


class PeerClient:
    """Asks one peer at a time for its head and for parts."""

    def __init__(self, *, network: Network) -> None:
        self._network = network

    async def head(
        self, address: str, *, above: int, wait_ms: float
    ) -> Result[PeerHead, Failure]:
        """Returns a peer's revision, once it is above `above` or time is up."""
        request = Request(
            method="GET",
            path=HEAD_PATH,
            query={"above": str(above), "wait_ms": str(int(wait_ms))},
        )
        answer = await self._fetch(
            address, request, wait_ms + ANSWER_TIMEOUT_MS
        )
        return answer.and_then(
            lambda value: structure.structure(value, PeerHead, name=address)
        )

    async def parts(
        self, address: str, references: Sequence[str]
    ) -> Result[dict[str, bytes], Failure]:
        """Returns those of some parts that a peer has."""
        request = Request(
            method="POST",
            path=PARTS_PATH,
            body=orjson.dumps({"references": list(references)}),
        )
        answer = await self._fetch(address, request, ANSWER_TIMEOUT_MS)
        return answer.and_then(
            lambda value: structure.structure(
                value.get("parts"), dict[str, str], name=address
            )
        ).map(lambda parts: {r: text.encode() for r, text in parts.items()})

    async def _fetch(
        self, address: str, request: Request, timeout_ms: float
    ) -> Result[dict[str, Any], Failure]:
        options = CallOptions(
            connect_timeout_ms=CONNECT_TIMEOUT_MS,
            progress_timeout_ms=timeout_ms,
        )
        answer = await self._network.fetch(address, request, options)
        if isinstance(answer, Err):
            return answer
        body = answer.ok_value.body
        assert isinstance(body, bytes)
        if answer.ok_value.status != 200:
            return Err(
                Failure(
                    kind=FailureKind.NOT_FOUND,
                    detail=f"{address} answered {answer.ok_value.status}",
                )
            )
        return parse_object(body)


class PeerSource(PartSource):
    """Reads parts from a peer, some of which came with its head."""

    def __init__(
        self,
        *,
        client: PeerClient,
        address: str,
        parts: Mapping[str, str] | None = None,
    ) -> None:
        self._client = client
        self._address = address
        self._parts = {r: text.encode() for r, text in (parts or {}).items()}

    async def fetch(
        self, references: Sequence[str]
    ) -> Result[Mapping[str, bytes], Failure]:
        """Returns parts by reference; those that aren't there are left out."""
        found = {r: self._parts[r] for r in references if r in self._parts}
        while missing := [r for r in references if r not in found]:
            answer = await self._client.parts(
                self._address, missing[:PARTS_PER_CALL]
            )
            if isinstance(answer, Err):
                return answer
            if not answer.ok_value:
                break
            found.update(answer.ok_value)
        return Ok(found)
