"""In-memory connections between handlers, with faults on the way."""

from __future__ import annotations

import contextlib
import math
from collections.abc import AsyncIterator, Iterator, Mapping
from typing import Any

import anyio
import anyio.abc
import attrs
from result import Err, Ok, Result

from cactusdyke.clock import Clock, EventLoopClock
from cactusdyke.errors import CactusdykeError, Failure, FailureKind, Ran
from cactusdyke.transport.messages import Handler, Request, Response
from cactusdyke.transport.network import CallOptions, Incoming, Network

PART_BYTES = 16_384


@attrs.define(kw_only=True)
class Link:
    """Faults of one direction between two owners.

    Attributes:
        cut: Nothing gets through, also not on new connections.
        silent: What is handed over never arrives, new connections included.
        delay_ms: One-way latency.
        lose_answers: How many of the next answers never arrive.
    """

    cut: bool = False
    silent: bool = False
    delay_ms: float = 0.0
    lose_answers: int = 0


@attrs.define(kw_only=True)
class _Listener:
    owner: str
    handler: Handler


class HostLink:
    """The link of one host, which all that it sends or receives shares.

    Args:
        clock: The hub's clock.
        bytes_per_ms: Bandwidth, in each direction.
    """

    def __init__(self, *, clock: Clock, bytes_per_ms: float) -> None:
        self._clock = clock
        self._bytes_per_ms = bytes_per_ms
        self._free_at = {"in": 0.0, "out": 0.0}
        self.received_bytes = 0

    async def carry(self, direction: str, size: int) -> None:
        """Returns once the link has carried some bytes behind all others."""
        begins_at = max(self._clock.now(), self._free_at[direction])
        self._free_at[direction] = begins_at + size / self._bytes_per_ms
        if direction == "in":
            self.received_bytes += size
        await self._clock.sleep(self._free_at[direction] - self._clock.now())


class Hub:
    """Everything that listens, and the links between owners.

    An owner is a process: a daemon, a stand-in or a caller. Handlers run in
    tasks of the hub, as a server goes on when its caller has left.
    """

    def __init__(self) -> None:
        self.clock: Clock = EventLoopClock()
        self._listeners: dict[str, _Listener] = {}
        self._links: dict[tuple[str, str], Link] = {}
        self._host_links: dict[str, HostLink] = {}
        self._awake: dict[str, anyio.Event] = {}
        self._dead: dict[str, anyio.Event] = {}
        self._open: dict[tuple[str, str], list[Any]] = {}
        self._served: dict[str, set[Any]] = {}
        self._tasks: anyio.abc.TaskGroup | None = None

    async def __aenter__(self) -> Hub:
        self._tasks = await anyio.create_task_group().__aenter__()
        return self

    async def __aexit__(self, *error: Any) -> None:
        assert self._tasks is not None
        self._tasks.cancel_scope.cancel()
        await self._tasks.__aexit__(*error)

    def listen(self, address: str, handler: Handler, *, owner: str) -> None:
        """Lets `handler` answer at an address."""
        self._listeners[address] = _Listener(owner=owner, handler=handler)
        self._dead.pop(owner, None)

    def network(self, owner: str) -> Network:
        """Returns the network as one owner sees it."""
        return _MemoryNetwork(hub=self, owner=owner)

    def link(self, source: str, target: str) -> Link:
        """Returns the link whose faults may be changed."""
        return self._links.setdefault((source, target), Link())

    def limit_host(self, owner: str, *, mbit_per_s: float) -> HostLink:
        """Limits the bandwidth of an owner's host; answers come in parts."""
        link = HostLink(clock=self.clock, bytes_per_ms=mbit_per_s * 125)
        self._host_links[owner] = link
        return link

    def host_links(self, source: str, target: str) -> list[tuple[str, Any]]:
        """Returns the limited links from one owner to another, in order."""
        found = [("out", source), ("in", target)]
        return [
            (direction, self._host_links[owner])
            for direction, owner in found
            if owner in self._host_links
        ]

    def links(self) -> list[Link]:
        """Returns every link whose faults were ever looked at."""
        return list(self._links.values())

    def clock_of(self, owner: str) -> Clock:
        """Returns a clock whose sleeps end only while the owner is awake."""
        return _OwnerClock(hub=self, owner=owner)

    def kill(self, owner: str) -> None:
        """Ends an owner: its listeners go and its connections break."""
        self._listeners = {
            address: listener
            for address, listener in self._listeners.items()
            if listener.owner != owner
        }
        self._dead.setdefault(owner, anyio.Event()).set()
        for exchange in self._served.pop(owner, ()):
            exchange.die()

    def freeze(self, owner: str) -> None:
        """Stops an owner from sending and receiving until it is woken."""
        self._awake.setdefault(owner, anyio.Event())

    def wake(self, owner: str) -> None:
        """Lets a frozen owner go on."""
        if event := self._awake.pop(owner, None):
            event.set()

    async def awake(self, owner: str) -> None:
        """Waits while an owner is frozen."""
        while event := self._awake.get(owner):
            await event.wait()

    def silence_open(self, caller: str, listener: str) -> None:
        """Lets connections open now go silent for good; new ones work."""
        for exchange in self._open.get((caller, listener), ()):
            exchange.lose()

    def opened(self, caller: str, listener: str, exchange: Any) -> None:
        """Notes an exchange that is under way."""
        self._open.setdefault((caller, listener), []).append(exchange)

    def closed(self, caller: str, listener: str, exchange: Any) -> None:
        """Forgets an exchange that has ended."""
        self._open[caller, listener].remove(exchange)

    @contextlib.contextmanager
    def serving(self, owner: str, exchange: Any) -> Iterator[None]:
        """Notes an exchange that ends if its listener's owner does."""
        self._served.setdefault(owner, set()).add(exchange)
        try:
            yield
        finally:
            self._served.get(owner, set()).discard(exchange)

    def start(self, function: Any, *args: Any) -> None:
        """Runs a task for as long as the hub is open."""
        assert self._tasks is not None
        self._tasks.start_soon(function, *args)

    def listener(self, address: str) -> _Listener | None:
        """Returns who listens at an address."""
        return self._listeners.get(address)

    def death(self, owner: str) -> anyio.Event:
        """Returns the event of an owner's end."""
        return self._dead.setdefault(owner, anyio.Event())


class _OwnerClock(EventLoopClock):
    """Time goes on while its owner is frozen; its owner does not."""

    def __init__(self, *, hub: Hub, owner: str) -> None:
        self._hub = hub
        self._owner = owner

    async def sleep(self, duration_ms: float) -> None:
        await super().sleep(duration_ms)
        await self._hub.awake(self._owner)


class _MemoryNetwork(Network):
    def __init__(self, *, hub: Hub, owner: str) -> None:
        self._hub = hub
        self._owner = owner

    @contextlib.asynccontextmanager
    async def open(
        self, address: str, request: Request, options: CallOptions
    ) -> AsyncIterator[Result[Incoming, Failure]]:
        await self._hub.awake(self._owner)
        listener = self._hub.listener(address)
        if listener is None:
            yield Err(_not_sent(address, "refused"))
            return
        there = self._hub.link(self._owner, listener.owner)
        back = self._hub.link(listener.owner, self._owner)
        if there.cut or back.cut:
            await self._hub.clock.sleep(options.connect_timeout_ms)
            yield Err(_not_sent(address, "no answer to the connection"))
            return
        if options.may_send is not None and not options.may_send():
            yield Err(_not_sent(address, "the sender may no longer send"))
            return
        exchange = _Exchange(
            hub=self._hub,
            caller=self._owner,
            listener=listener,
            address=address,
            options=options,
        )
        self._hub.start(exchange.serve, request)
        self._hub.opened(self._owner, listener.owner, exchange)
        try:
            opened = await exchange.head()
            await self._hub.awake(self._owner)
            yield opened
        finally:
            self._hub.closed(self._owner, listener.owner, exchange)
            exchange.close()


class _Exchange(Incoming):
    """One request and its answer on the way through the hub."""

    def __init__(
        self,
        *,
        hub: Hub,
        caller: str,
        listener: _Listener,
        address: str,
        options: CallOptions,
    ) -> None:
        self._hub = hub
        self._caller = caller
        self._listener = listener
        self._address = address
        self._options = options
        # A restarted owner has a new event; this is about the old process.
        self._death = hub.death(listener.owner)
        self._sender, self._receiver = anyio.create_memory_object_stream[
            Response | bytes | None
        ](math.inf)
        self._response: Response | None = None
        self._lost = False
        self._scope = anyio.CancelScope()

    @property
    def status(self) -> int:
        assert self._response is not None
        return self._response.status

    @property
    def headers(self) -> Mapping[str, str]:
        assert self._response is not None
        return self._response.headers

    async def serve(self, request: Request) -> None:
        """Runs the handler, on the listener's side."""
        owner = self._listener.owner
        there = self._hub.link(self._caller, owner)
        await self._hub.clock.sleep(there.delay_ms)
        if there.cut or there.silent:
            return
        if self._death.is_set():
            self._break()
            return
        with self._scope, self._hub.serving(owner, self):
            await self._hub.awake(owner)
            response = await self._listener.handler(request)
            await self._answer(response)

    async def head(self) -> Result[Incoming, Failure]:
        """Waits for the answer's head."""
        first = await self._next()
        if isinstance(first, Response):
            self._response = first
            return Ok(self)
        return Err(self._failure("no answer"))

    async def chunks(self) -> AsyncIterator[bytes]:
        assert self._response is not None
        if isinstance(self._response.body, bytes):
            yield self._response.body
            return
        while True:
            chunk = await self._next()
            if chunk == b"":
                return
            if not isinstance(chunk, bytes):
                raise CactusdykeError(self._failure("the stream broke"))
            await self._hub.awake(self._caller)
            yield chunk

    def die(self) -> None:
        """Ends the handler and breaks the connection."""
        self._break()
        self._scope.cancel()

    def lose(self) -> None:
        """Lets nothing more of the answer arrive."""
        self._lost = True

    def close(self) -> None:
        """Leaves the answer; its server notices at its next send."""
        self._receiver.close()

    async def _answer(self, response: Response) -> None:
        back = self._hub.link(self._listener.owner, self._caller)
        if back.lose_answers > 0:
            back.lose_answers -= 1
            self._lost = True
        links = self._hub.host_links(self._listener.owner, self._caller)
        if isinstance(response.body, bytes):
            if not links:
                await self._put(response)
                return
            response = attrs.evolve(response, body=_in_parts(response.body))
        await self._put(attrs.evolve(response, body=_no_chunks()))
        async with contextlib.aclosing(response.body) as body:
            async for chunk in body:
                for direction, link in links:
                    await link.carry(direction, len(chunk))
                if not await self._put(chunk):
                    return
        await self._put(b"")

    async def _put(self, part: Response | bytes) -> bool:
        owner = self._listener.owner
        back = self._hub.link(owner, self._caller)
        await self._hub.awake(owner)
        await self._hub.clock.sleep(back.delay_ms)
        if back.cut or back.silent or self._lost:
            return True
        try:
            self._sender.send_nowait(part)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            return False
        return True

    def _break(self) -> None:
        with contextlib.suppress(
            anyio.BrokenResourceError, anyio.ClosedResourceError
        ):
            self._sender.send_nowait(None)

    async def _next(self) -> Response | bytes | None:
        clock, limit = self._hub.clock, self._options.limit
        while True:
            wait_ms = self._options.wait_ms(clock)
            with clock.timeout(wait_ms):
                return await self._receiver.receive()
            if limit is None or wait_ms >= self._options.progress_timeout_ms:
                return None
            if limit.is_over(max(clock.now(), limit.until)):
                return None

    def _failure(self, detail: str) -> Failure:
        return Failure(
            kind=FailureKind.CONNECTION_LOST,
            detail=f"The connection to {self._address} failed: {detail}",
            ran=Ran.UNKNOWN,
        )


async def _in_parts(body: bytes) -> AsyncIterator[bytes]:
    for start in range(0, len(body), PART_BYTES):
        yield body[start : start + PART_BYTES]


async def _no_chunks() -> AsyncIterator[bytes]:
    return
    yield b""


def _not_sent(address: str, detail: str) -> Failure:
    return Failure(
        kind=FailureKind.NOT_SENT,
        detail=f"No connection to {address}: {detail}",
    )
