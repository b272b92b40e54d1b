"""Stands in for the platform's object service.

GET/PUT/DELETE /objects/{key...}, GET /list, GET /watch/{key...}. Keys hold
slashes, so they are routed here by hand.
"""

from __future__ import annotations

import base64
from typing import TYPE_CHECKING

import anyio

from cactusdyke.transport.messages import (
    Request,
    Response,
    json_response,
)
from standins.base import StandIn

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactusdyke.clock import Clock

MAX_VALUE_BYTES = 1 << 20


class ObjectService(StandIn):
    """Versioned objects with conditional writes and watches."""

    def __init__(self, *, clock: Clock) -> None:
        super().__init__(clock=clock)
        self.version = 0
        self.objects: dict[str, tuple[int, bytes]] = {}
        self.on_delete: Callable[[], object] = lambda: None
        self._changed = anyio.Event()
        for depth in range(1, 6):
            key = "/".join(f"{{k{i}}}" for i in range(depth))
            self.serve("GET", f"/objects/{key}", self._read)
            self.serve("PUT", f"/objects/{key}", self._write)
            self.serve("DELETE", f"/objects/{key}", self._delete)
            self.serve("GET", f"/watch/{key}", self._watch)
        self.serve("GET", "/list", self._list)

    async def _read(self, request: Request) -> Response:
        self.counts["reads"] += 1
        key = _key(request)
        if key not in self.objects:
            return json_response({"error": "no such object"}, status=404)
        return json_response(self._plain(key))

    async def _write(self, request: Request) -> Response:
        self.counts["writes"] += 1
        key = _key(request)
        # Faults of one write: `late_write` takes effect after its writer has
        # given up; `lost_write` takes effect, but its answer never comes.
        if self.faults.get("late_write") == key:
            del self.faults["late_write"]
            await self.clock.sleep(self.faults["late_ms"])
        if self._conflicts(request, key):
            return json_response({"error": "version"}, status=409)
        if len(request.body) > MAX_VALUE_BYTES:
            return json_response({"error": "too large"}, status=413)
        self.version += 1
        self.objects[key] = (self.version, request.body)
        self._notify()
        if self.faults.get("lost_write") == key:
            del self.faults["lost_write"]
            await anyio.sleep_forever()
        return json_response({"version": self.version})

    async def _delete(self, request: Request) -> Response:
        self.counts["deletes"] += 1
        self.on_delete()
        key = _key(request)
        if key in self.objects and self._conflicts(request, key):
            return json_response({"error": "version"}, status=409)
        if self.objects.pop(key, None):
            self.version += 1
            self._notify()
        return json_response({"version": self.version})

    async def _list(self, request: Request) -> Response:
        self.counts["lists"] += 1
        prefix = request.query.get("prefix", "")
        after = request.query.get("after", "")
        limit = int(request.query.get("limit", "100"))
        keys = sorted(
            key
            for key in self.objects
            if key.startswith(prefix) and key > after
        )
        return json_response(
            {"objects": [self._plain(key) for key in keys[:limit]]}
        )

    async def _watch(self, request: Request) -> Response:
        self.counts["watches"] += 1
        key = _key(request)
        above = int(request.query["above"])
        with self.clock.timeout(float(request.query["wait_ms"])):
            while self.objects.get(key, (0, b""))[0] <= above:
                await self._changed.wait()
            return json_response(self._plain(key))
        return Response(status=204)

    def _conflicts(self, request: Request, key: str) -> bool:
        wanted = request.query.get("if_version")
        current = self.objects.get(key, (0, b""))[0]
        return wanted is not None and int(wanted) != current

    def _plain(self, key: str) -> dict[str, object]:
        version, value = self.objects[key]
        encoded = base64.b64encode(value).decode()
        return {"key": key, "version": version, "value": encoded}

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()


def _key(request: Request) -> str:
    return request.path.split("/", 2)[2]
