"""Stands in for the platform's store: objects by kind, with watches."""

from __future__ import annotations

import asyncio
import contextlib
import json
import urllib.parse
from typing import Any

from review.rig import wire

PATH_PARTS = 2


class Store:
    """Objects with revisions; it loses nothing and has no outages."""

    def __init__(self) -> None:
        self.address = ""
        self._revision = 10
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._history: list[tuple[int, str, dict[str, Any], bool]] = []
        self._changed = asyncio.Event()

    async def start(self, host: str) -> None:
        """Listens on a free port."""
        server = await asyncio.start_server(self._connection, host, 0)
        port = server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Writes an object."""
        self._revision += 1
        found = {
            "metadata": {
                "name": name,
                "revision": self._revision,
                "created": self._revision,
                "finalizers": [],
            },
            "spec": spec,
            "status": None,
        }
        self._objects.setdefault(kind, {})[name] = found
        self._note(kind, found, deleted=False)

    def remove(self, kind: str, name: str) -> None:
        """Removes an object."""
        found = self._objects.get(kind, {}).pop(name, None)
        if found is not None:
            self._revision += 1
            self._note(kind, found, deleted=True)

    def _note(self, kind: str, found: dict[str, Any], *, deleted: bool) -> None:
        self._history.append((self._revision, kind, found, deleted))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # asyncio reports a handler that is cancelled at the end as an error.
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (request := await wire.read_message(reader)) is not None:
                writer.write(await self._answer(request))
                await writer.drain()
        writer.close()

    async def _answer(self, request: wire.Message) -> bytes:
        parts = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        names = [urllib.parse.unquote(p) for p in parts.path.split("/")[3:]]
        kind, name = [*names, ""][:PATH_PARTS]
        if request.method == "GET":
            if "watch" in query:
                return await self._watch(kind, query)
            return self._list(kind, query)
        if request.method == "DELETE":
            self.remove(kind, name)
            return wire.json_answer({})
        body = json.loads(request.body)
        known = self._objects.get(kind, {})
        if request.method == "POST":
            name = body["metadata"]["name"]
            if name in known:
                return wire.json_answer(known[name], 409)
        elif name not in known:
            return wire.json_answer({}, 404)
        self.put(kind, name, body["spec"])
        return wire.json_answer(self._objects[kind][name])

    def _list(self, kind: str, query: dict[str, str]) -> bytes:
        after = query.get("after", "")
        known = self._objects.get(kind, {})
        return wire.json_answer(
            {
                "items": [known[n] for n in sorted(known) if n > after],
                "has_more": False,
                "current_rev": self._revision,
            }
        )

    async def _watch(self, kind: str, query: dict[str, str]) -> bytes:
        since = int(query["watch"])
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(float(query.get("wait_ms", "0")) / 1e3):
                while not self._events(kind, since):
                    await self._changed.wait()
        return wire.json_answer(
            {
                "events": self._events(kind, since),
                "current_rev": self._revision,
            }
        )

    def _events(self, kind: str, since: int) -> list[dict[str, Any]]:
        return [
            {"object": found, "deleted": deleted}
            for at, of, found, deleted in self._history
            if of == kind and at > since
        ]
