"""Tells other daemons how streams began, and asks them.

A caller that takes a stream up comes to any daemon, often because the one that
began the stream has ended. So each origin is told to a few others as the first
event is forwarded. Which ones follows from the stream's id and the members. A
daemon that takes the stream up asks more of them, as members may have changed.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Any

import anyio
import orjson
import xxhash
from result import Err, Ok

from cactusdyke.background import background_tasks
from cactusdyke.errors import DECODING_ERRORS, Failure, FailureKind
from cactusdyke.kernel import Service
from cactusdyke.serving.stream_origins import StreamOrigin
from cactusdyke.transport.messages import (
    JSON_TYPE,
    Request,
    Response,
    failure_response,
    json_response,
    parse_object,
)
from cactusdyke.transport.network import CallOptions

if TYPE_CHECKING:
    from cactusdyke.clock import Clock
    from cactusdyke.serving.peers import PeerDaemon, PeerDaemons
    from cactusdyke.serving.stream_origins import StreamOrigins
    from cactusdyke.serving.untold_origins import UntoldOrigins
    from cactusdyke.transport.network import Network

STREAMS_PATH = "/internal/v1/streams"
TOLD_DAEMONS = 4
ASKED_DAEMONS = 8
COALESCE_MS = 2.0
CONNECT_TIMEOUT_MS = 250.0
TELL_TIMEOUT_MS = 500.0
ASK_TIMEOUT_MS = 250.0
MAX_QUEUED = 2_000
"""Origins queued for each daemon; further ones are dropped."""
OK_STATUS = 200


class StreamExchange(Service):
    """Sends origins to other daemons and finds those that others know."""

    def __init__(
        self,
        *,
        clock: Clock,
        network: Network,
        daemons: PeerDaemons,
        origins: StreamOrigins,
        untold: UntoldOrigins,
    ) -> None:
        self._clock = clock
        self._network = network
        self._daemons = daemons
        self._origins = origins
        self._untold = untold
        untold.on_regained(self._tell_again)
        self._queued: dict[str, list[tuple[str, StreamOrigin]]] = {}
        self._added = anyio.Event()

    async def run(self) -> None:
        """Sends queued origins until it is cancelled."""
        async with background_tasks() as tasks:
            while True:
                await self._added.wait()
                await self._clock.sleep(COALESCE_MS)
                self._added = anyio.Event()
                queued, self._queued = self._queued, {}
                for address, begun in queued.items():
                    tasks.start_soon(self._send, address, begun)

    def tell(self, stream_id: str, origin: StreamOrigin) -> None:
        """Tells a few other daemons how a stream began.

        Nothing waits for their answers: a stream whose origin is lost cannot be
        taken up elsewhere, which is safe.
        """
        receivers = self._ranked(stream_id)[:TOLD_DAEMONS]
        alone = (
            self._daemons.count_known and self._daemons.estimated_count() == 1
        )
        if not receivers and not alone:
            now = self._clock.now()
            self._untold.record_result(accepted=False, sent_at=now)
        self._untold.record_begin()
        for daemon in receivers:
            queued = self._queued.setdefault(daemon.address, [])
            if len(queued) < MAX_QUEUED:
                queued.append((stream_id, origin))
        self._added.set()

    async def find(self, stream_id: str) -> StreamOrigin | None:
        """Asks other daemons how a stream began; None if none knows.

        The first answer counts.
        """
        found = await self._ask_others(stream_id, enough=1)
        origin = found[0] if found else await self._untold.find(stream_id)
        return self._origins.put(stream_id, origin) if origin else None

    async def find_agreed(self, stream_id: str) -> StreamOrigin | None:
        """Asks other daemons, and waits for all, even if this one knows.

        For names that several streams may share: the origin is unknown if
        daemons know it differently.
        """
        for origin in await self._ask_others(stream_id, enough=ASKED_DAEMONS):
            self._origins.put(stream_id, origin)
        known = self._origins.find(stream_id)
        if known is not None:
            return known
        saved = await self._untold.find(stream_id)
        return self._origins.put(stream_id, saved) if saved else None

    async def handle(self, request: Request) -> Response:
        """Remembers the origins that another daemon tells, or answers it."""
        value = request.json()
        if isinstance(value, Err):
            return failure_response(value.err_value)
        try:
            body = value.ok_value
            if "find" in body:
                return json_response(self._encoded(body["find"]))
            replicas = body.get("replicas", {})
            for stream_id, service, version in body["begun"]:
                origin = _decode(service, version, replicas.get(stream_id))
                self._origins.put(str(stream_id), origin)
        except DECODING_ERRORS as error:
            return failure_response(
                Failure(
                    kind=FailureKind.BAD_REQUEST,
                    detail=f"the streams can't be read: {error!r}",
                )
            )
        return json_response({})

    def _encoded(self, stream_id: str) -> dict[str, Any]:
        origin = self._origins.find(stream_id)
        if origin is None:
            return {"origin": None}
        return {
            "origin": [origin.service, origin.version],
            "replica": [origin.replica, origin.born],
        }

    def _ranked(self, stream_id: str) -> list[PeerDaemon]:
        """Returns the other daemons, the best of each data centre first.

        Daemons that see the same members agree without a message, and the loss
        of a data centre leaves the origins that are told in others.
        """
        others = sorted(
            (d for d in self._daemons.all() if not d.is_local),
            key=lambda d: xxhash.xxh3_64_intdigest(
                f"{stream_id}@{d.name}".encode()
            ),
        )
        counts: collections.Counter[str] = collections.Counter()
        places: dict[str, int] = {}
        for daemon in others:
            places[daemon.name] = counts[daemon.data_centre]
            counts[daemon.data_centre] += 1
        return sorted(others, key=lambda d: places[d.name])

    async def _send(
        self, address: str, begun: list[tuple[str, StreamOrigin]]
    ) -> None:
        options = CallOptions(
            connect_timeout_ms=CONNECT_TIMEOUT_MS,
            progress_timeout_ms=TELL_TIMEOUT_MS,
        )
        sent_at = self._clock.now()
        answer = await self._network.fetch(
            address, _request(_encode(begun)), options
        )
        self._untold.record_result(
            accepted=isinstance(answer, Ok)
            and answer.ok_value.status == OK_STATUS,
            sent_at=sent_at,
        )

    def _tell_again(self) -> None:
        for stream_id, origin in self._origins.begun_here():
            self.tell(stream_id, origin)

    async def _ask_others(
        self, stream_id: str, *, enough: int
    ) -> list[StreamOrigin]:
        found: list[StreamOrigin] = []

        async def ask(daemon: PeerDaemon) -> None:
            origin = await self._ask(daemon, stream_id)
            if origin is None:
                return
            found.append(origin)
            if len(found) >= enough:
                tasks.cancel_scope.cancel()

        with self._clock.timeout(ASK_TIMEOUT_MS):
            async with anyio.create_task_group() as tasks:
                for daemon in self._ranked(stream_id)[:ASKED_DAEMONS]:
                    tasks.start_soon(ask, daemon)
        return found

    async def _ask(
        self, daemon: PeerDaemon, stream_id: str
    ) -> StreamOrigin | None:
        options = CallOptions(
            connect_timeout_ms=ASK_TIMEOUT_MS,
            progress_timeout_ms=ASK_TIMEOUT_MS,
        )
        answer = await self._network.fetch(
            daemon.address, _request({"find": stream_id}), options
        )
        if isinstance(answer, Err) or answer.ok_value.status != OK_STATUS:
            return None
        body = answer.ok_value.body
        value = parse_object(body if isinstance(body, bytes) else b"")
        match value:
            case Ok({"origin": [str(service), str(version)]}):
                told = value.ok_value.get("replica")
                return _decode(service, version, told)
        return None


def _encode(begun: list[tuple[str, StreamOrigin]]) -> dict[str, Any]:
    """Returns a message; the release before knows no replicas."""
    return {
        "begun": [[name, o.service, o.version] for name, o in begun],
        "replicas": {name: [o.replica, o.born] for name, o in begun if o.born},
    }


def _decode(service: Any, version: Any, replica: Any) -> StreamOrigin:
    origin = StreamOrigin(service=str(service), version=str(version))
    match replica:
        case [str(name), int(born)]:
            origin.replica, origin.born = name, born
    return origin


def _request(body: Any) -> Request:
    return Request(
        method="POST",
        path=STREAMS_PATH,
        headers={"content-type": JSON_TYPE},
        body=orjson.dumps(body),
    )
