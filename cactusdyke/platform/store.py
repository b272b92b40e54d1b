"""Client of the platform's store, which holds objects by kind and name."""

from __future__ import annotations

import urllib.parse
from typing import TYPE_CHECKING, Any

import orjson
from result import Err, Ok, Result

from cactusdyke.errors import Failure, FailureKind, Ran
from cactusdyke.infrastructure.watched_store import (
    Change,
    Changes,
    Listing,
    StoreObject,
    WatchedStore,
)
from cactusdyke.serving.state_traffic import STORE, StateTraffic
from cactusdyke.transport import timed_fetch
from cactusdyke.transport.messages import JSON_TYPE, Request
from cactusdyke.transport.network import CallOptions
from cactusdyke.util import lenient_json
from cactusdyke.util.json_nesting import MAX_ENTRY_NESTING, is_nested_deeper

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cactusdyke.clock import Clock
    from cactusdyke.transport.network import Network

CONNECT_TIMEOUT_MS = 500.0
CALL_TIMEOUT_MS = 1_500.0
WATCH_MARGIN_MS = 600.0
"""Added to the longest wait of a watch. The store answers within milliseconds;
a watch without an answer by then is on a silent connection."""
PROGRESS_TIMEOUT_MS = 1_500.0
"""Longest time between two parts of an answer."""
TRANSFER_TIMEOUT_MS = 20_000.0
"""Longest time of an answer once it has begun: a page of 1 MB, by the narrowest
links and beside what else is on them."""
MOST_PAGES = 1_000


class StoreClient(WatchedStore):
    """Lists, watches and writes objects of the platform's store."""

    def __init__(
        self,
        *,
        address: str,
        network: Network,
        clock: Clock,
        traffic: StateTraffic | None = None,
    ) -> None:
        self._address = address
        self._traffic = traffic or StateTraffic()
        self._network = network
        self._clock = clock

    async def list(self, kind: str) -> Result[Listing, Failure]:
        """Returns every object of a kind, page by page."""
        objects: list[StoreObject] = []
        after = ""
        revision: int | None = None
        for _ in range(MOST_PAGES):
            query = {"after": after} if after else {}
            answer = await self._call("GET", kind, query=query)
            if isinstance(answer, Err):
                return answer
            body = answer.ok_value
            items = map(_object, _list(body, "items"))
            page = [item for item in items if item is not None]
            objects.extend(page)
            # Objects may change while the pages are read. A watch that starts
            # at the first page's revision reports these changes.
            if revision is None:
                revision = _revision(body)
            if not body.get("has_more") or not page:
                break
            # The next page begins behind the last object that has a name.
            after = page[-1].name
        return Ok(Listing(objects=tuple(objects), revision=revision or 0))

    async def watch(
        self, kind: str, *, revision: int, wait_ms: float
    ) -> Result[Changes, Failure]:
        """Waits for changes of a kind after a revision."""
        answer = await self._call(
            "GET",
            kind,
            query={"watch": str(revision), "wait_ms": str(int(wait_ms))},
            timeout_ms=wait_ms + WATCH_MARGIN_MS,
        )
        if isinstance(answer, Err):
            if answer.err_value.kind is FailureKind.ANSWER_NOT_KEPT:
                return Ok(Changes(lost=True))
            return answer
        body = answer.ok_value
        changes = []
        for event in _list(body, "events"):
            told = event if isinstance(event, dict) else {}
            changed = _object(told.get("object"))
            if changed is not None:
                deleted = bool(told.get("deleted"))
                changes.append(Change(object=changed, deleted=deleted))
        return Ok(
            Changes(
                changes=tuple(changes),
                revision=max(revision, _revision(body)),
            )
        )

    async def put(
        self, kind: str, name: str, spec: Any
    ) -> Result[None, Failure]:
        """Creates an object, or replaces its content.

        Both may be done and their answers lost; doing them again is harmless,
        as only this daemon writes the object.
        """
        created = await self.create(kind, name, spec)
        if isinstance(created, Ok):
            return created
        if created.err_value.kind is not FailureKind.CONFLICT:
            return created
        return await self._replace(kind, {"name": name}, spec)

    async def create(
        self, kind: str, name: str, spec: Any
    ) -> Result[None, Failure]:
        """Creates an object, unless there is one of that name."""
        body = {"metadata": {"name": name}, "spec": spec}
        answer = await self._call("POST", kind, body=body)
        return answer if isinstance(answer, Err) else Ok(None)

    async def replace(
        self, kind: str, name: str, spec: Any, *, revision: int
    ) -> Result[None, Failure]:
        """Replaces an object's content if nobody has changed it since.

        Of several callers with the same revision one succeeds at most.
        """
        metadata = {"name": name, "revision": revision}
        return await self._replace(kind, metadata, spec)

    async def _replace(
        self, kind: str, metadata: dict[str, Any], spec: Any
    ) -> Result[None, Failure]:
        body = {"metadata": metadata, "spec": spec}
        answer = await self._call("PUT", kind, name=metadata["name"], body=body)
        return answer if isinstance(answer, Err) else Ok(None)

    async def delete(
        self, kind: str, name: str, *, revision: int | None = None
    ) -> Result[None, Failure]:
        """Removes an object, if it has the revision that is given."""
        query = None if revision is None else {"revision": str(revision)}
        answer = await self._call("DELETE", kind, name=name, query=query)
        return answer if isinstance(answer, Err) else Ok(None)

    async def _call(
        self,
        method: str,
        kind: str,
        *,
        name: str = "",
        query: Mapping[str, str] | None = None,
        body: Any = None,
        timeout_ms: float = CALL_TIMEOUT_MS,
    ) -> Result[dict[str, Any], Failure]:
        path = f"/-/objects/{urllib.parse.quote(kind, safe='')}"
        if name:
            path += f"/{urllib.parse.quote(name, safe='')}"
        request = Request(
            method=method,
            path=path,
            query=query or {},
            headers={"content-type": JSON_TYPE} if body is not None else {},
            body=orjson.dumps(body) if body is not None else b"",
        )
        answer = await timed_fetch.fetch(
            self._network,
            self._address,
            request,
            CallOptions(
                connect_timeout_ms=CONNECT_TIMEOUT_MS,
                progress_timeout_ms=max(timeout_ms, PROGRESS_TIMEOUT_MS),
            ),
            limits=timed_fetch.FetchLimits(
                head_ms=timeout_ms,
                progress_ms=PROGRESS_TIMEOUT_MS,
                body_ms=TRANSFER_TIMEOUT_MS,
            ),
            clock=self._clock,
        )
        if isinstance(answer, Err):
            return answer
        response = answer.ok_value.response
        assert isinstance(response.body, bytes)
        self._traffic.count_received(STORE, len(response.body))
        if response.status >= 300:
            kind_of = _STATUSES.get(
                response.status, FailureKind.STORE_UNAVAILABLE
            )
            return Err(_failure(kind_of, f"status {response.status}"))
        if method == "GET" or response.body:
            # Without a length a body that was cut at once looks empty.
            return lenient_json.parse_object(response.body, content_key="spec")
        return Ok({})


_STATUSES = {
    404: FailureKind.NOT_FOUND,
    409: FailureKind.CONFLICT,
    410: FailureKind.ANSWER_NOT_KEPT,
}


def _failure(kind: FailureKind, detail: str) -> Failure:
    return Failure(
        kind=kind, detail=f"the platform's store: {detail}", ran=Ran.UNKNOWN
    )


def _list(body: dict[str, Any], name: str) -> list[Any]:
    """Returns a list of a store's answer, an empty one if there is none."""
    value = body.get(name)
    return value if isinstance(value, list) else []


def _object(value: Any) -> StoreObject | None:
    if not isinstance(value, dict):
        return None
    metadata = value.get("metadata")
    if not isinstance(metadata, dict):
        return None
    name = metadata.get("name")
    revision = metadata.get("revision")
    if not isinstance(name, str) or not name:
        return None
    spec = value.get("spec")
    return StoreObject(
        name=name,
        revision=revision if isinstance(revision, int) else 0,
        # Followers of this daemon couldn't be told of it.
        spec=None if is_nested_deeper(spec, MAX_ENTRY_NESTING) else spec,
    )


def _revision(body: dict[str, Any]) -> int:
    revision = body.get("current_rev")
    return revision if isinstance(revision, int) else 0
