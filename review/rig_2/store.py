"""Stands in for the platform's store, as PROTOCOL.md describes it.

It keeps what writers put as the bytes that they sent, and hands these out: an
entry may be one that no JSON library of this process reads or writes.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import json
import time
import urllib.parse
from typing import TYPE_CHECKING, Any

from rig_2.http11 import Request, Server, encode_answer

if TYPE_CHECKING:
    import asyncio as _asyncio

PAGE = 500
PREFIX = "/-/objects/"


@dataclasses.dataclass
class _Event:
    revision: int
    kind: str
    name: str
    spec: bytes
    deleted: bool


class Store:
    """Objects by kind and name under one revision, with lists and watches."""

    def __init__(self, *, host: str = "127.0.0.1") -> None:
        self._server = Server(host=host, handle=self._handle)
        self._objects: dict[str, dict[str, tuple[int, bytes]]] = {}
        self._history: list[_Event] = []
        self._revision = 100
        self._changed = asyncio.Event()
        self.calls = 0

    @property
    def address(self) -> str:
        """Where it listens."""
        return self._server.address

    @property
    def revision(self) -> int:
        """Its revision."""
        return self._revision

    async def start(self) -> None:
        """Begins to serve."""
        await self._server.start()

    def stop(self) -> None:
        """Ends."""
        self._server.kill()

    def put(self, kind: str, name: str, spec: Any) -> float:
        """Writes an object, as operator or replica.

        Args:
            kind: The object's kind.
            name: Its name.
            spec: Its content; bytes are kept as they are.

        Returns:
            The instant of the acknowledgement.
        """
        raw = spec if isinstance(spec, bytes) else json.dumps(spec).encode()
        known = self._objects.setdefault(kind, {}).get(name)
        if known is None or known[1] != raw:
            self._revision += 1
            self._objects[kind][name] = (self._revision, raw)
            self._note(kind, name, raw, deleted=False)
        return time.monotonic()

    def remove(self, kind: str, name: str) -> float:
        """Removes an object; returns the instant of the acknowledgement."""
        known = self._objects.get(kind, {}).pop(name, None)
        if known is not None:
            self._revision += 1
            self._note(kind, name, known[1], deleted=True)
        return time.monotonic()

    def names(self, kind: str) -> list[str]:
        """Returns the names of a kind's objects."""
        return sorted(self._objects.get(kind, {}))

    def spec(self, kind: str, name: str) -> bytes:
        """Returns the content of an object."""
        return self._objects[kind][name][1]

    def _note(self, kind: str, name: str, raw: bytes, *, deleted: bool) -> None:
        self._history.append(
            _Event(
                revision=self._revision,
                kind=kind,
                name=name,
                spec=raw,
                deleted=deleted,
            )
        )
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _handle(
        self,
        request: Request,
        reader: _asyncio.StreamReader,
        writer: _asyncio.StreamWriter,
    ) -> bool:
        del reader
        self.calls += 1
        status, body = await self._answer(request)
        kind = {"Content-Type": "application/json"}
        writer.write(encode_answer(status, body, kind))
        await writer.drain()
        return True

    async def _answer(self, request: Request) -> tuple[int, bytes]:
        if not request.path.startswith(PREFIX):
            return 404, b"{}"
        parts = [
            urllib.parse.unquote(part)
            for part in request.path.removeprefix(PREFIX).split("/")
        ]
        kind, name = parts[0], parts[1] if len(parts) > 1 else ""
        objects = self._objects.setdefault(kind, {})
        status, body = 405, b"{}"
        if request.method == "GET" and "watch" in request.query:
            status, body = 200, await self._watch(kind, request.query)
        elif request.method == "GET" and not name:
            status, body = 200, self._list(kind, request.query)
        elif request.method == "GET":
            status = 200 if name in objects else 404
            body = self._object(kind, name) if name in objects else b"{}"
        elif request.method in {"POST", "PUT"}:
            status, body = self._write(kind, name, request)
        elif request.method == "DELETE":
            status = 200 if name in objects else 404
            self.remove(kind, name)
            body = b"{}"
        return status, body

    def _write(
        self, kind: str, name: str, request: Request
    ) -> tuple[int, bytes]:
        sent = json.loads(request.body)
        exists = (name or sent["metadata"]["name"]) in self._objects[kind]
        if request.method == "POST":
            name = sent["metadata"]["name"]
            if exists:
                return 409, self._object(kind, name)
        elif not exists:
            return 404, b"{}"
        self.put(kind, name, sent.get("spec"))
        return 200, self._object(kind, name)

    def _list(self, kind: str, query: dict[str, str]) -> bytes:
        after = query.get("after", "")
        names = [n for n in self.names(kind) if n > after]
        items = b",".join(self._object(kind, n) for n in names[:PAGE])
        more = b"true" if len(names) > PAGE else b"false"
        return b'{"items":[%b],"has_more":%b,"current_rev":%d}' % (
            items,
            more,
            self._revision,
        )

    async def _watch(self, kind: str, query: dict[str, str]) -> bytes:
        revision = int(query["watch"])
        wait_s = min(30_000, int(query.get("wait_ms", "0"))) / 1000
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while not self._since(kind, revision):
                    await self._changed.wait()
        found = [
            b'{"object":%b,"deleted":%b}'
            % (
                _encode(event.name, event.revision, event.spec),
                b"true" if event.deleted else b"false",
            )
            for event in self._since(kind, revision)
        ]
        return b'{"events":[%b],"current_rev":%d}' % (
            b",".join(found),
            self._revision,
        )

    def _since(self, kind: str, revision: int) -> list[_Event]:
        return [
            event
            for event in self._history
            if event.kind == kind and event.revision > revision
        ]

    def _object(self, kind: str, name: str) -> bytes:
        revision, raw = self._objects[kind][name]
        return _encode(name, revision, raw)


def _encode(name: str, revision: int, raw: bytes) -> bytes:
    metadata = json.dumps(
        {
            "name": name,
            "revision": revision,
            "created": 1,
            "finalizers": [],
            "deleting": False,
        }
    )
    return b'{"metadata":%b,"spec":%b,"status":null}' % (
        metadata.encode(),
        raw,
    )
