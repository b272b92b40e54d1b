"""Answers other daemons that ask for the configuration in force."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from cactusdyke.configuration import peers
from cactusdyke.errors import Failure, FailureKind
from cactusdyke.transport.messages import (
    Request,
    Response,
    failure_response,
    json_response,
)
from cactusdyke.util import structure

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from cactusdyke.configuration import loader
    from cactusdyke.configuration.in_force import InForce

MAX_WAITING = 64
MAX_WAIT_MS = 20_000.0
MAX_PARTS_BYTES = 512 * 1024
MAX_NEWS_BYTES = 64 * 1024


class ExchangeHandlers:
    """The handlers behind /internal/v1/configuration."""

    def __init__(self, *, in_force: InForce) -> None:
        self._in_force = in_force
        self._waiting = 0

    async def head(self, request: Request) -> Response:
        """Waits for a higher revision and answers with what is new in it."""
        query = _numbers(request)
        if isinstance(query, Err):
            return failure_response(query.err_value)
        above, wait_ms = query.ok_value
        if wait_ms > 0 and self._waiting < MAX_WAITING:
            self._waiting += 1
            try:
                await self._in_force.wait_above(above, wait_ms=wait_ms)
            finally:
                self._waiting -= 1
        return json_response(
            structure.unstructure(self._answer(self._in_force.snapshot, above))
        )

    async def parts(self, request: Request) -> Response:
        """Answers with those of the named parts that are in force here."""
        value = request.json()
        if isinstance(value, Err):
            return failure_response(value.err_value)
        named = structure.structure(
            value.ok_value.get("references"),
            tuple[str, ...],
            name="references",
        )
        if isinstance(named, Err):
            return failure_response(named.err_value)
        # The asker may have got its head just before a higher revision came
        # into force here; its parts are still kept with the last few.
        data = collections.ChainMap(
            *(dict(s.data) for s in self._in_force.recent.values())
        )
        return json_response(
            {"parts": _within(named.ok_value, data, MAX_PARTS_BYTES)}
        )

    def _answer(self, snapshot: loader.Snapshot, above: int) -> peers.PeerHead:
        revision = snapshot.head.revision
        confirmed_ms_ago = self._in_force.confirmed_ms_ago()
        if revision <= above:
            return peers.PeerHead(
                revision=revision, confirmed_ms_ago=confirmed_ms_ago
            )
        parts: dict[str, str] = {}
        if asker := self._in_force.recent.get(above):
            new = (r for r in snapshot.data if r not in asker.data)
            parts = _within(new, snapshot.data, MAX_NEWS_BYTES)
        return peers.PeerHead(
            revision=revision,
            confirmed_ms_ago=confirmed_ms_ago,
            head=snapshot.head,
            parts=parts,
        )


def _within(
    references: Iterable[str], data: Mapping[str, bytes], limit: int
) -> dict[str, str]:
    """Returns the parts that are there, as many as fit into `limit` bytes."""
    parts: dict[str, str] = {}
    size = 0
    for reference in references:
        if reference not in data:
            continue
        size += len(data[reference])
        if size > limit and parts:
            break
        parts[reference] = data[reference].decode()
    return parts


def _numbers(request: Request) -> Result[tuple[int, float], Failure]:
    try:
        above = int(request.query.get("above", "0"))
        wait_ms = float(request.query.get("wait_ms", "0"))
    except ValueError as error:
        return Err(
            Failure(
                kind=FailureKind.BAD_REQUEST,
                detail=f"A query parameter is not a number: {error}",
            )
        )
    if above < 0 or not 0 <= wait_ms <= MAX_WAIT_MS:
        return Err(
            Failure(
                kind=FailureKind.BAD_REQUEST,
                detail="above is negative, or wait_ms is not from 0 to"
                f" {MAX_WAIT_MS:.0f}",
            )
        )
    return Ok((above, wait_ms))
