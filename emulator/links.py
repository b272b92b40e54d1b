"""Connections from daemons to emulated backend servers, in memory."""

from __future__ import annotations

import abc
import collections
import contextlib
import math
from typing import TYPE_CHECKING, Any

import anyio
import attrs
import orjson

from cactusdyke.clock import MS_PER_SECOND, Instant
from cactusdyke.transport.answer_parser import AnswerHead
from cactusdyke.transport.exchange import (
    CONNECT_TIMEOUT_MS,
    BackendConnections,
    Exchange,
    ExchangeError,
)
from cactusdyke.transport.tunnel import (
    TUNNEL_TIMEOUT_MS,
    TunnelGate,
    Tunnels,
    TunnelUnavailableError,
)
from emulator.statements import UNAVAILABLE_STATUS, Statements
from emulator.world import ReplicaCut

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Iterator

    from cactusdyke.transport.answer_parser import Headers
    from emulator.world import World


@attrs.frozen(kw_only=True)
class Crash:
    """What a request does to each replica that begins to run it.

    Attributes:
        name: Names the request, however often it comes.
        after_ms: From its begin to the crash.
        down_ms: Until the replica is back.
    """

    name: str
    after_ms: float
    down_ms: float


@attrs.frozen(kw_only=True)
class Call:
    """A call as a backend server gets it.

    Attributes:
        path: What is asked for.
        body: Its JSON.
        left: Set when the caller has closed the connection.
        crash: What it does to a replica that begins to run it, if that is
            a crash.
        daemon: Name of the daemon whose host makes the connection.
    """

    path: str
    body: dict[str, Any]
    left: anyio.Event
    daemon: str = ""
    crash: Crash | None = None


class Answering(abc.ABC):
    """Where a backend server puts its answer."""

    @abc.abstractmethod
    def head(self, status: int, **headers: str) -> None:
        """Sends the head."""

    @abc.abstractmethod
    def part(self, data: bytes) -> None:
        """Sends a part of the body."""

    @abc.abstractmethod
    def end(self) -> None:
        """Ends the answer."""

    def whole(self, status: int, body: dict[str, Any], **headers: str) -> None:
        """Sends a whole answer."""
        self.head(status, **headers)
        self.part(orjson.dumps(body))
        self.end()


PERCENT = 100.0
COLD_OVERSHOOT = 1.5
COLD_SLACK = 5.0
COLD_WINDOW_MS = 1_000.0
LIMIT_OVERSHOOT = 1.5
LIMIT_SLACK = 5.0
LIMIT_WINDOW_MS = 4_000.0
BRITTLE_WINDOW_MS = 1_000.0
FALLEN_MS = 3_000.0
"""How long a brittle replica is down that has fallen over."""
WRONG_REPLICA_STATUS = 421
LIMIT_KNOWN_MS = 3_000.0
"""Within this time of its first statement all daemons know a limit."""
EVACUATION_KNOWN_MS = 1_000.0
"""Within this time all daemons know that a data centre is evacuated."""


FREE_OF_LIMIT = frozenset({"/report"})
"""Calls that are no requests: what asks for the state of a replica."""


class _StatedLimit:
    """The limit that a replica states, and the requests that it gets."""

    def __init__(self, *, world: World) -> None:
        self._world = world
        self._binds_from: Instant = math.inf
        self._arrivals: collections.deque[Instant] = collections.deque()
        self.requests_per_s: float | None = None

    def set(self, requests_per_s: float | None) -> None:
        """Changes the limit; it binds once daemons can know it."""
        if requests_per_s is None:
            self._binds_from = math.inf
        elif self.requests_per_s is None:
            self._binds_from = self._world.clock.now() + LIMIT_KNOWN_MS
        self.requests_per_s = requests_per_s
        self._arrivals.clear()

    def count_arrival(self) -> None:
        """Counts a request, and whether it is one too many."""
        if self.requests_per_s is None:
            return
        now = self._world.clock.now()
        self._world.counts["requests to limited"] += 1
        if now < self._binds_from:
            return
        self._arrivals.append(now)
        while self._arrivals[0] <= now - LIMIT_WINDOW_MS:
            self._arrivals.popleft()
        window_s = LIMIT_WINDOW_MS / MS_PER_SECOND
        most = LIMIT_OVERSHOOT * self.requests_per_s * window_s + LIMIT_SLACK
        if len(self._arrivals) > most:
            self._world.counts["requests too many for limited"] += 1


class _Brittleness:
    """Falls over if a brittle replica has to refuse too many requests."""

    def __init__(self, *, world: World, fall: Callable[[], None]) -> None:
        self._world = world
        self._fall = fall
        self._binds_from: Instant = math.inf
        self._refused: collections.deque[Instant] = collections.deque()
        self.most_refused: int | None = None

    @property
    def waits_less(self) -> bool:
        """Whether the replica lets fewer requests wait than it did."""
        return self._world.clock.now() >= self._binds_from

    def set(self, most_refused: int | None) -> None:
        """Begins or ends it; it binds once daemons can know it."""
        known_at = self._world.clock.now() + LIMIT_KNOWN_MS
        self._binds_from = math.inf if most_refused is None else known_at
        self.most_refused = most_refused
        self._refused.clear()

    def count_refusal(self) -> None:
        """Counts a request that was refused for want of room."""
        if self.most_refused is None or not self.waits_less:
            return
        now = self._world.clock.now()
        self._world.counts["refused by brittle"] += 1
        self._refused.append(now)
        while self._refused[0] <= now - BRITTLE_WINDOW_MS:
            self._refused.popleft()
        if len(self._refused) > self.most_refused:
            self._refused.clear()
            self._world.counts["brittle fallen over"] += 1
            self._fall()


class _Stating(Answering):
    """An answer whose head states what the replica takes."""

    def __init__(
        self,
        *,
        answer: Answering,
        daemon: str,
        limit: _StatedLimit,
        brittleness: _Brittleness,
        statements: Statements,
        load: Callable[[], str | None],
    ) -> None:
        self._answer = answer
        self._daemon = daemon
        self._statements = statements
        self._load = load
        self._limit = limit
        self._brittleness = brittleness

    def head(self, status: int, **headers: str) -> None:
        """Sends the head."""
        self._answer.head(status, **headers, **self._stated(status))

    def whole(self, status: int, body: dict[str, Any], **headers: str) -> None:
        """Sends a whole answer."""
        if status == UNAVAILABLE_STATUS:
            self._brittleness.count_refusal()
        self._answer.whole(status, body, **headers, **self._stated(status))

    def _stated(self, status: int) -> dict[str, str]:
        stated = {
            "limit": self._limit.requests_per_s,
            "brittle": self._brittleness.most_refused,
            "load": self._load(),
        }
        limits = {k: str(v) for k, v in stated.items() if v is not None}
        return limits | self._statements.headers(status, self._daemon)

    def part(self, data: bytes) -> None:
        """Sends a part of the body."""
        self._answer.part(data)

    def end(self) -> None:
        """Ends the answer."""
        self._answer.end()


@attrs.frozen(kw_only=True)
class ListedEntry:
    """What the platform's list says of a replica beyond its place."""

    name: str
    version: str
    born: int


class Backend(abc.ABC):
    """An emulated backend server.

    A cold one crashes if it gets more requests in a second than it tolerates.
    """

    def __init__(
        self,
        *,
        world: World,
        name: str,
        service: str,
        data_centre: str,
        version: str = "v1",
        cold_s: float = 0.0,
        cold_per_s: float = 0.0,
    ) -> None:
        self.world = world
        self.name = name
        self.version = version
        self.born = round(world.clock.now()) + 1
        self.draining = False
        self.service = service
        self.data_centre = data_centre
        self.address = f"{name}:1"
        self.gone = False
        self.slow = 1.0
        self.slots = 1
        self.silent_until: Instant = 0.0
        self.cold_ms = cold_s * MS_PER_SECOND
        self.cold_per_s = cold_per_s
        self._cold_until: Instant = 0.0
        self._arrivals: collections.deque[Instant] = collections.deque()
        self._stated = _StatedLimit(world=world)
        self.statements = Statements(world=world)
        self.brittleness = _Brittleness(
            world=world,
            fall=lambda: world.hub.start(self._crash_if_there, FALLEN_MS),
        )
        self._calls: set[anyio.CancelScope] = set()
        self._crashing: set[str] = set()
        self._starts = 0
        self._old_entry: ListedEntry | None = None
        self._old_entry_until: Instant = 0.0

    @property
    def entry(self) -> ListedEntry | None:
        """Its entry in the platform's list, None if it has none."""
        if self.world.clock.now() < self._old_entry_until:
            return self._old_entry
        if self.gone or self.draining:
            return None
        return ListedEntry(name=self.name, version=self.version, born=self.born)

    @property
    def serves(self) -> bool:
        """Whether it takes new requests."""
        return not (self.gone or self.draining)

    def list_late(self, late_ms: float, entry: ListedEntry | None) -> None:
        """Keeps an entry in the list for a while, whatever happens to it."""
        self._old_entry = entry
        self._old_entry_until = self.world.clock.now() + late_ms

    @property
    def cold_left_ms(self) -> float:
        """How long it stays cold."""
        return max(0.0, self._cold_until - self.world.clock.now())

    @property
    def silent_ms(self) -> float:
        """How long nothing passes to or from it."""
        return max(0.0, self.silent_until - self.world.clock.now())

    def turn_cold(self) -> None:
        """Makes it cold from now on."""
        self._cold_until = self.world.clock.now() + self.cold_ms

    def state_limit(self, requests_per_s: float | None) -> None:
        """States a limit in all answers from now on, or none."""
        self._stated.set(requests_per_s)

    async def serve(self, call: Call, answer: Answering) -> None:
        """Answers one call, unless a crash ends it."""
        self._count_arrival()
        if call.body.get("expect", self.name) != self.name:
            answer.whole(WRONG_REPLICA_STATUS, {}, ran="no")
            return
        if call.path not in FREE_OF_LIMIT:
            self._stated.count_arrival()
            self.statements.count_arrival(call.daemon)
        answer = _Stating(
            answer=answer,
            daemon=call.daemon,
            limit=self._stated,
            brittleness=self.brittleness,
            statements=self.statements,
            load=self._told_load,
        )
        if call.path not in FREE_OF_LIMIT and self.statements.draws_refusal():
            answer.whole(UNAVAILABLE_STATUS, {}, ran="no")
            return
        with anyio.CancelScope() as scope:
            self._calls.add(scope)
            if call.crash is not None:
                self._crashing.add(call.crash.name)
            try:
                await self._serve(call, answer)
            finally:
                self._calls.discard(scope)
                if call.crash is not None:
                    self._crashing.discard(call.crash.name)

    def _count_arrival(self) -> None:
        """Counts a request, and crashes if it is one too many when cold."""
        now = self.world.clock.now()
        evacuated_at = self.world.evacuated_at.get(self.data_centre)
        if (
            evacuated_at is not None
            and now > evacuated_at + EVACUATION_KNOWN_MS
        ):
            self.world.counts["requests to evacuated"] += 1
        self._arrivals.append(now)
        while self._arrivals[0] <= now - COLD_WINDOW_MS:
            self._arrivals.popleft()
        if not self.cold_per_s or not self.cold_left_ms:
            return
        self.world.counts["requests to cold"] += 1
        most = self.cold_per_s * COLD_OVERSHOOT + COLD_SLACK
        if len(self._arrivals) > most:
            self.world.counts["requests too many for cold"] += 1
            self.world.hub.start(self._crash_if_there, self.cold_ms)

    async def _crash_if_there(self, down_ms: float) -> None:
        if not self.gone:
            await self.crash(down_ms=down_ms)

    def begun(self, call: Call) -> None:
        """Notes that a request has begun to run."""
        if "id" in call.body:
            self.world.executions[call.body["id"]] += 1
        if call.crash is not None:
            self.world.hub.start(self._crash_under, call.crash)

    async def crash(
        self,
        *,
        down_ms: float,
        version: str = "",
        listed_late_ms: float | None = None,
    ) -> None:
        """Ends the process; returns once it is back.

        Args:
            down_ms: How long it is down.
            version: Software version that it comes back with, as before if
                empty.
            listed_late_ms: How long after its start its entry is updated. It
                then keeps its name; None for another name.
        """
        if listed_late_ms is not None:
            self.list_late(down_ms + listed_late_ms, self.entry)
        self.gone = True
        for name in self._crashing:
            self.world.crashing[name].crashes.append(self.world.clock.now())
        for scope in self._calls:
            scope.cancel()
        self._forget()
        await self.world.clock.sleep(down_ms)
        self._starts += 1
        self.version = version or self.version
        self.born = round(self.world.clock.now()) + 1
        if listed_late_ms is None:
            self.name = f"{self.name.partition('~')[0]}~{self._starts}"
        self._arrivals.clear()
        self.state_limit(None)
        self.statements.clear()
        self.turn_cold()
        self.gone = False

    async def _crash_under(self, crash: Crash) -> None:
        name = self.name
        await self.world.clock.sleep(crash.after_ms)
        if self.name == name and not self.gone:
            await self.crash(down_ms=crash.down_ms)

    async def leave(self, *, after_ms: float) -> None:
        """Takes no new requests from now on, and ends some time later."""
        self.draining = True
        await self.world.clock.sleep(after_ms)
        self.gone = True
        for scope in self._calls:
            scope.cancel()

    def _told_load(self) -> str | None:
        """Returns requests running and waiting, slots and the slowdown."""
        if not self.world.scenario.reports_load:
            return None
        running, waiting, slots = self._load()
        return f"{running},{waiting},{slots},{round(PERCENT * self.slow)}"

    @abc.abstractmethod
    def _load(self) -> tuple[int, int, int]:
        """Returns requests running, requests waiting, and slots."""

    def _forget(self) -> None:  # noqa: B027
        """Drops what does not outlive the process."""

    @abc.abstractmethod
    async def _serve(self, call: Call, answer: Answering) -> None:
        """Answers one call."""


class Links:
    """All backend servers by address."""

    def __init__(self, *, world: World) -> None:
        self._world = world
        self.backends: dict[str, Backend] = {}
        self.gates: dict[str, TunnelGate] = {}
        self._open: collections.defaultdict[str, set[_Exchange]] = (
            collections.defaultdict(set)
        )

    def add(self, backend: Backend) -> None:
        """Lets a backend server be reached."""
        self.backends[backend.address] = backend

    def cut(self, daemon: str, how: str) -> None:
        """Cuts a daemon off from all replicas."""
        self._world.cut_from_replicas[daemon] = ReplicaCut(
            how=how, since=self._world.clock.now()
        )
        for exchange in tuple(self._open[daemon]):
            if how == "hang":
                exchange.fall_silent()
            elif how == "reset":
                exchange.break_off()

    def heal(self, daemon: str) -> None:
        """Ends such a cut; connections that hung stay silent."""
        self._world.cut_from_replicas.pop(daemon, None)

    @contextlib.contextmanager
    def opened(self, daemon: str, exchange: _Exchange) -> Iterator[None]:
        """Notes an open connection between a daemon and a replica."""
        self._open[daemon].add(exchange)
        try:
            yield
        finally:
            self._open[daemon].discard(exchange)

    def break_off(self, daemon: str) -> None:
        """Breaks a daemon's connections to replicas, as its process ends."""
        self.gates.pop(daemon, None)
        for exchange in tuple(self._open[daemon]):
            exchange.break_off()

    def tunnels(self, daemon: str) -> Tunnels:
        """Returns the tunnels through others as one daemon opens them."""
        return _Tunnels(world=self._world, links=self, daemon=daemon)

    def of(self, daemon: str, data_centre: str) -> BackendConnections:
        """Returns the connections as one daemon sees them."""
        return _Connections(
            world=self._world,
            links=self,
            daemon=daemon,
            data_centre=data_centre,
        )


class _Connections(BackendConnections):
    def __init__(
        self, *, world: World, links: Links, daemon: str, data_centre: str
    ) -> None:
        self._world = world
        self._links = links
        self._daemon = daemon
        self._data_centre = data_centre

    @contextlib.asynccontextmanager
    async def connect(self, address: str) -> AsyncIterator[Exchange]:
        cut = self._world.cut_from_replicas.get(self._daemon)
        if cut is not None and cut.how == "hang":
            await self._world.clock.sleep(CONNECT_TIMEOUT_MS)
            raise ExchangeError(f"{address}: no connection in time", sent=False)
        backend = self._links.backends.get(address)
        if backend is None or backend.gone or cut is not None:
            raise ExchangeError(
                f"{address}: nobody there", sent=False, refused=True
            )
        way_ms = self._world.way_ms(self._data_centre, backend.data_centre)
        wait_ms = 2 * way_ms + backend.silent_ms
        await self._world.clock.sleep(min(wait_ms, CONNECT_TIMEOUT_MS))
        if wait_ms > CONNECT_TIMEOUT_MS:
            raise ExchangeError(f"{address}: no connection in time", sent=False)
        self._world.counts["connections"] += 1
        exchange = _Exchange(
            world=self._world,
            backend=backend,
            daemon=self._daemon,
            way_ms=way_ms,
        )
        try:
            with self._links.opened(self._daemon, exchange):
                yield exchange
        finally:
            exchange.left.set()


class _Tunnels(Tunnels):
    def __init__(self, *, world: World, links: Links, daemon: str) -> None:
        self._world = world
        self._links = links
        self._daemon = daemon

    @contextlib.asynccontextmanager
    async def connect(
        self, relay: str, address: str
    ) -> AsyncIterator[Exchange]:
        name = relay.partition(":")[0]
        hub = self._world.hub
        links = (hub.link(self._daemon, name), hub.link(name, self._daemon))
        gate = self._links.gates.get(name)
        if gate is None or any(link.cut for link in links):
            await self._world.clock.sleep(TUNNEL_TIMEOUT_MS)
            raise TunnelUnavailableError(f"{relay}: no connection in time")
        here = self._world.place(int(self._daemon[1:]))
        there = self._world.place(int(name[1:]))
        await self._world.clock.sleep(2 * self._world.way_ms(here, there))
        with gate.admit(address):
            direct = self._links.of(name, there)
            async with contextlib.AsyncExitStack() as stack:
                try:
                    exchange = await stack.enter_async_context(
                        direct.connect(address)
                    )
                except ExchangeError as error:
                    if await gate.reaches_others(address):
                        raise
                    raise TunnelUnavailableError(relay) from error
                gate.record_connected(address)
                self._world.counts[f"tunnels through {name}"] += 1
                yield exchange


class _Exchange(Exchange):
    """The daemon's end of a connection."""

    def __init__(
        self, *, world: World, backend: Backend, daemon: str, way_ms: float
    ) -> None:
        self._world = world
        self._backend = backend
        self._daemon = daemon
        self._way_ms = way_ms
        self._sent = False
        self._silent = False
        self._unframed = False
        self._answer, self._arrived = anyio.create_memory_object_stream[
            AnswerHead | bytes | None
        ](math.inf)
        self.left = anyio.Event()

    @property
    def sent(self) -> bool:
        """Whether a byte of the request was handed over."""
        return self._sent

    @property
    def ends_with_connection(self) -> bool:
        """Whether the answer states no length."""
        return self._unframed

    def fall_silent(self) -> None:
        """Lets nothing more pass in either direction."""
        self._silent = True

    def break_off(self) -> None:
        """Resets the connection; the replica sees it close."""
        self.left.set()
        self._answer.close()

    async def send(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> None:
        """Sends a request."""
        del method, headers
        self._sent = True
        value = orjson.loads(body) if body else {}
        if "id" in value:
            self._world.count_attempt(value["id"], self._backend.service)
        crash = Crash(**value["crash"]) if value.get("crash") else None
        if crash is not None:
            crashing = self._world.crashing[crash.name]
            crashing.arrivals.append(self._world.clock.now())
        call = Call(
            path=target,
            body=value,
            left=self.left,
            crash=crash,
            daemon=self._daemon,
        )
        self._world.hub.start(self._serve, call)

    async def _serve(self, call: Call) -> None:
        await self._world.clock.sleep(self._way_ms + self._backend.silent_ms)
        if self._silent or self.left.is_set():
            return
        with self._answer:
            await self._backend.serve(call, _Answer(parts=self._answer))

    async def head(self) -> AnswerHead:
        """Returns the head of the answer."""
        first = await self._next()
        await self._world.clock.sleep(self._way_ms)
        if isinstance(first, AnswerHead):
            self._unframed = first.get(b"unframed") is not None
            return first
        raise self._broken()

    async def body(self) -> AsyncIterator[bytes]:
        """Yields the answer's body."""
        while (part := await self._next()) is not None:
            assert isinstance(part, bytes)
            yield part

    async def _next(self) -> AnswerHead | bytes | None:
        try:
            part = await self._arrived.receive()
        except anyio.EndOfStream:
            if self._unframed:
                return None
            raise self._broken() from None
        if self._silent:
            await anyio.sleep_forever()
        await self._world.clock.sleep(self._backend.silent_ms)
        return part

    def _broken(self) -> ExchangeError:
        return ExchangeError(
            f"{self._backend.address}: the connection was reset",
            sent=self._sent,
        )


class _Answer(Answering):
    """The backend server's end of a connection."""

    def __init__(self, *, parts: Any) -> None:
        self._parts = parts

    def head(self, status: int, **headers: str) -> None:
        """Sends the head."""
        pairs = [(k.encode(), v.encode()) for k, v in headers.items()]
        self._put(AnswerHead(status=status, headers=pairs))

    def part(self, data: bytes) -> None:
        """Sends a part of the body."""
        self._put(data)

    def end(self) -> None:
        """Ends the answer."""
        self._put(None)

    def _put(self, part: AnswerHead | bytes | None) -> None:
        with contextlib.suppress(
            anyio.BrokenResourceError, anyio.ClosedResourceError
        ):
            self._parts.send_nowait(part)
