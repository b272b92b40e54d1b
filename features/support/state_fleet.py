"""Daemons that follow the state of a store, on a hub in virtual time."""

from __future__ import annotations

import collections
import random

import anyio
import attrs

from cactusdyke.platform.store import StoreClient
from cactusdyke.serving.followed_state import FollowedState
from cactusdyke.serving.peers import PeerDaemon, PeerDaemons
from cactusdyke.serving.state_encoding import PACKED
from cactusdyke.serving.state_exchange import STATE_PATH, StateExchange
from cactusdyke.serving.state_timings import StateTimings
from cactusdyke.transport.messages import Request, Response, json_response
from cactusdyke.transport.routes import Routes
from standins.hub import HostLink, Hub
from standins.platform_store import PlatformStore

DATA_CENTRES = ("north", "east", "south")
KIND = "things"
HANDLING_MS = 1.0
WIDE = 0
"""Size class of hosts whose links are wide."""
WIDE_MBIT_PER_S = 100.0


def peer(number: int, *, data_centres=DATA_CENTRES, **values) -> PeerDaemon:
    """Returns daemon `number`; data centres are assigned in turn."""
    return PeerDaemon(
        name=f"d{number}",
        address=f"d{number}:1",
        public_address=f"d{number}:80",
        data_centre=data_centres[number % len(data_centres)],
        **{"ready": True, **values},
    )


class FixedDaemons(PeerDaemons):
    def __init__(self, daemons: tuple[PeerDaemon, ...]) -> None:
        self._daemons = daemons

    def all(self) -> tuple[PeerDaemon, ...]:
        return self._daemons

    def estimated_count(self) -> int:
        return len(self._daemons)


class Things(FollowedState):
    """A state that only records the order in which its things arrive."""

    def __init__(self, **values) -> None:
        super().__init__(kind=KIND, **values)
        self.seen: list[str] = []

    @property
    def names(self) -> set[str]:
        return set(self._objects)

    def version_of(self, name: str) -> int:
        """Returns the version that an object states, 0 if it is unknown."""
        known = self._objects.get(name)
        return known.spec.get("version", 0) if known else 0

    def _apply_objects(self, source: str) -> None:
        self.seen.append(f"all by {source}")

    def _apply_change(self, change, source) -> None:
        self.seen.append(change.object.name)


class StateFleet:
    """A store, and daemons that are all members of one deployment."""

    def __init__(
        self,
        *,
        count: int,
        seed: int = 1,
        apply_ms: float = 2_000.0,
        mbit_per_s: float | None = None,
        packs: bool = True,
    ) -> None:
        self.hub = Hub()
        self._scopes: dict[str, anyio.CancelScope] = {}
        self.host_links: dict[str, HostLink] = {}
        self._mbit_per_s = mbit_per_s
        self._packs = packs
        self.store = PlatformStore(clock=self.hub.clock)
        self.states: dict[str, Things] = {}
        self.exchanges: dict[str, StateExchange] = {}
        self.attempts: collections.Counter[str] = collections.Counter()
        self.rejected: set[str] = set()
        self.asked: collections.Counter[str] = collections.Counter()
        self._count = count
        self._apply_ms = apply_ms
        self._rng = random.Random(seed)

    async def __aenter__(self) -> StateFleet:
        await self.hub.__aenter__()
        for number in range(self._count):
            self._start(number)
        await anyio.sleep(4.0)
        return self

    async def __aexit__(self, *error) -> None:
        await self.hub.__aexit__(*error)

    @property
    def readers(self) -> list[str]:
        return [name for name, e in self.exchanges.items() if e.reads_store]

    @property
    def calls(self) -> int:
        return self.attempts.total()

    def source_of(self, name: str) -> str:
        return self.exchanges[name]._source

    async def until_all_have(self, thing: str, names, *, within_s: float):
        """Waits until all of `names` have a thing; returns the time in s."""
        began = anyio.current_time()
        while not all(thing in self.states[name].names for name in names):
            assert anyio.current_time() - began < within_s, [
                n for n in names if thing not in self.states[n].names
            ]
            await anyio.sleep(0.01)
        return anyio.current_time() - began

    def _store_for(self, name: str) -> str:
        """Returns a store address for one daemon only, to count its calls."""

        async def handle(request: Request) -> Response:
            self.attempts[name] += 1
            if name in self.rejected:
                return json_response({}, status=503)
            return await self.store.routes.handle(request)

        address = f"store-{name}:1"
        self.hub.listen(address, handle, owner="store")
        return address

    def _peer(self, number: int, **values) -> PeerDaemon:
        """Returns a daemon; where links are narrow, a tenth have wide ones."""
        if self._mbit_per_s is not None:
            values["size_class"] = WIDE if number % 10 == 0 else WIDE - 1
        return peer(number, **values)

    def stop(self, name: str) -> None:
        """Ends a daemon, with all that it knows."""
        self._scopes.pop(name).cancel()
        self.hub.kill(name)

    def restart(self, number: int) -> None:
        """Starts a daemon again, with nothing known."""
        self._start(number)

    def _start(self, number: int) -> None:
        own = self._peer(number)
        if self._mbit_per_s is not None:
            wide = own.size_class == WIDE
            self.host_links[own.name] = self.hub.limit_host(
                own.name,
                mbit_per_s=WIDE_MBIT_PER_S if wide else self._mbit_per_s,
            )
        clock = self.hub.clock_of(own.name)
        network = self.hub.network(own.name)
        state = Things(
            store=StoreClient(
                address=self._store_for(own.name), network=network, clock=clock
            ),
            clock=clock,
        )
        daemons = tuple(
            self._peer(n, is_local=n == number) for n in range(self._count)
        )
        exchange = StateExchange(
            clock=clock,
            rng=random.Random(self._rng.random()),
            network=network,
            daemons=FixedDaemons(daemons),
            states=[state],
            timings=lambda: StateTimings(apply_ms=self._apply_ms),
        )
        routes = Routes()
        routes.add("GET", STATE_PATH, exchange.handle)
        self.states[own.name] = state
        self.exchanges[own.name] = exchange

        async def handle(request: Request) -> Response:
            self.asked[own.name] += 1
            await self.hub.clock.sleep(HANDLING_MS)
            if not self._packs:
                query = {k: v for k, v in request.query.items() if k != PACKED}
                request = attrs.evolve(request, query=query)
            return await routes.handle(request)

        self.hub.listen(own.address, handle, owner=own.name)
        scope = self._scopes[own.name] = anyio.CancelScope()
        self.hub.start(_run_within, scope, exchange)


async def _run_within(
    scope: anyio.CancelScope, exchange: StateExchange
) -> None:
    with scope:
        await exchange.run()
