"""Stands in for the users' platform's store in its form of objects by kind."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Any

import anyio

from cactusdyke.transport.messages import Request, Response, json_response
from standins.base import StandIn

if TYPE_CHECKING:
    from cactusdyke.clock import Clock

PAGE = 3


class PlatformStore(StandIn):
    """Objects with revisions, lists in pages, and watches with a history.

    Attributes:
        objects: Content and revision by kind and name.
        revision: The store's revision.
        oldest: The oldest revision that a watch may begin from.
    """

    def __init__(self, *, clock: Clock) -> None:
        super().__init__(clock=clock)
        self.revision = 10
        self.oldest = 0
        self.objects: dict[str, dict[str, tuple[int, Any]]] = (
            collections.defaultdict(dict)
        )
        self.history: list[tuple[int, str, str, Any, bool]] = []
        self._changed = anyio.Event()
        self.serve("GET", "/-/objects/{kind}", self._list)
        self.serve("POST", "/-/objects/{kind}", self._create)
        self.serve("PUT", "/-/objects/{kind}/{name}", self._replace)
        self.serve("DELETE", "/-/objects/{kind}/{name}", self._delete)

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Writes an object, as operator or replica."""
        self.revision += 1
        self.objects[kind][name] = (self.revision, spec)
        self._note(kind, name, spec, deleted=False)

    def remove(self, kind: str, name: str) -> None:
        """Removes an object."""
        if name in self.objects[kind]:
            self.revision += 1
            _, spec = self.objects[kind].pop(name)
            self._note(kind, name, spec, deleted=True)

    def forget_history(self) -> None:
        """Makes every watch from before answer that its history is gone."""
        self.oldest = self.revision + 1
        self.revision += 1
        self.history.clear()
        changed, self._changed = self._changed, anyio.Event()
        changed.set()

    def _note(self, kind: str, name: str, spec: Any, *, deleted: bool) -> None:
        self.history.append((self.revision, kind, name, spec, deleted))
        changed, self._changed = self._changed, anyio.Event()
        changed.set()

    async def _list(self, request: Request) -> Response:
        kind = request.parameters["kind"]
        if "watch" in request.query:
            return await self._watch(kind, request)
        self.counts["lists"] += 1
        after = request.query.get("after", "")
        names = sorted(n for n in self.objects[kind] if n > after)
        return json_response(
            {
                "items": [
                    _object(name, *self.objects[kind][name])
                    for name in names[:PAGE]
                ],
                "has_more": len(names) > PAGE,
                "current_rev": self.revision,
            }
        )

    async def _watch(self, kind: str, request: Request) -> Response:
        self.counts["watches"] += 1
        revision = int(request.query["watch"])
        if revision < self.oldest:
            return json_response({}, status=410)
        with self.clock.timeout(float(request.query.get("wait_ms", "0"))):
            while revision >= self.oldest and not self._since(kind, revision):
                await self._changed.wait()
        if revision < self.oldest:
            return json_response({}, status=410)
        events = [
            {"object": _object(name, at, spec), "deleted": deleted}
            for at, name, spec, deleted in self._since(kind, revision)
        ]
        return json_response({"events": events, "current_rev": self.revision})

    def _since(
        self, kind: str, revision: int
    ) -> list[tuple[int, str, Any, bool]]:
        return [
            (at, name, spec, deleted)
            for at, of, name, spec, deleted in self.history
            if of == kind and at > revision
        ]

    async def _create(self, request: Request) -> Response:
        self.counts["writes"] += 1
        kind = request.parameters["kind"]
        body = request.json().unwrap()
        name = body["metadata"]["name"]
        if name in self.objects[kind]:
            return json_response({}, status=409)
        self.put(kind, name, body["spec"])
        return json_response(_object(name, *self.objects[kind][name]))

    async def _replace(self, request: Request) -> Response:
        self.counts["writes"] += 1
        kind, name = request.parameters["kind"], request.parameters["name"]
        if name not in self.objects[kind]:
            return json_response({}, status=404)
        body = request.json().unwrap()
        current = _object(name, *self.objects[kind][name])
        expected = body.get("metadata", {}).get("revision")
        if expected not in {None, current["metadata"]["revision"]}:
            return json_response(current, status=409)
        self.put(kind, name, body["spec"])
        return json_response(_object(name, *self.objects[kind][name]))

    async def _delete(self, request: Request) -> Response:
        self.counts["writes"] += 1
        kind, name = request.parameters["kind"], request.parameters["name"]
        expected = request.query.get("revision")
        if expected is not None and name in self.objects[kind]:
            current = _object(name, *self.objects[kind][name])
            if int(expected) != current["metadata"]["revision"]:
                return json_response(current, status=409)
        self.remove(kind, name)
        return json_response({})


def _object(name: str, revision: int, spec: Any) -> dict[str, Any]:
    metadata = {"name": name, "revision": revision, "finalizers": []}
    return {"metadata": metadata, "spec": spec, "status": None}
