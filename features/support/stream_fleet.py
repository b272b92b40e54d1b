"""Daemons that tell one another how streams began, in virtual time."""

from __future__ import annotations

import collections
import random

import anyio
import attrs
from result import Ok

from cactusdyke.serving.stream_exchange import StreamExchange
from cactusdyke.serving.stream_origins import StreamOrigin, StreamOrigins
from cactusdyke.serving.untold_origins import OriginStore, UntoldOrigins
from features.support.state_fleet import FixedDaemons, peer
from standins.hub import Hub

SERVICE = "models"
VERSIONS = ("v1", "v1.1", "v2")
DETECTION_S = 1.5
"""After this time the others take a daemon that ended for dead."""
LINK_DELAY_MS = 1.5


@attrs.frozen(kw_only=True)
class BegunStream:
    """A stream, the daemon that began it, and its software version."""

    name: str
    daemon: int
    version: str


class _SharedStore(OriginStore):
    """The platform's store as all daemons reach it."""

    def __init__(self, name, saved):
        self._name = name
        self._saved = saved

    async def save_origins(self, begun):
        self._saved[self._name] = begun
        return Ok(None)

    async def read_origins(self):
        return Ok([one for begun in self._saved.values() for one in begun])


class StreamFleet:
    """Daemons that begin streams at random, and others that take them up.

    Attributes:
        saved: What daemons that could tell nobody saved in the store.
        counts: What was counted: messages and bytes between daemons, streams
            that were taken up, found, and found with another version.
    """

    def __init__(self, *, count, seed=1):
        self.hub = Hub()
        self.counts = collections.Counter()
        self.saved = {}
        self._rng = random.Random(seed)
        self._members = set(range(count))
        self._listed = set(range(count))
        self._views = {}
        self._exchanges = {}
        self._streams = []

    async def __aenter__(self):
        await self.hub.__aenter__()
        for number in sorted(self._members):
            self._start(number)
        self._update_views()
        return self

    async def __aexit__(self, *error):
        await self.hub.__aexit__(*error)

    async def begin_streams(self, *, per_s, for_s):
        """Lets daemons begin streams at random."""
        ends_at = anyio.current_time() + for_s
        while anyio.current_time() < ends_at:
            await anyio.sleep(self._rng.expovariate(per_s))
            self._begin()

    def _begin(self):
        stream = BegunStream(
            name=f"{self._rng.getrandbits(64):016x}",
            daemon=self._rng.choice(sorted(self._members)),
            version=self._rng.choice(VERSIONS),
        )
        self._streams.append(stream)
        origin = StreamOrigin(
            service=SERVICE,
            version=stream.version,
            replica="r",
            is_local=True,
        )
        exchange = self._exchanges[stream.daemon]
        exchange._origins.put(stream.name, origin)
        exchange.tell(stream.name, origin)

    async def kill(self, numbers, *, detected):
        """Ends daemons at once; returns once the others know, if they do."""
        for number in numbers:
            self.hub.kill(f"d{number}")
            self._members.discard(number)
            del self._exchanges[number]
        if detected:
            await anyio.sleep(DETECTION_S)
            self._listed -= set(numbers)
            self._update_views()

    def cut_off(self, numbers, *, cut):
        """Cuts daemons off from all others, or ends the cut."""
        for number in numbers:
            for other in self._members - {number}:
                for pair in ((number, other), (other, number)):
                    names = [f"d{one}" for one in pair]
                    self.hub.link(*names).cut = cut

    def lose_power(self, number):
        """Lets a daemon say nothing more; the others don't notice."""
        self.cut_off([number], cut=True)
        self._members.discard(number)

    async def restart(self, number, *, pause_s):
        """Restarts a daemon, which leaves and comes back without memory."""
        self._listed.discard(number)
        self._update_views()
        await anyio.sleep(pause_s)
        self.hub.kill(f"d{number}")
        await anyio.sleep(pause_s)
        self._start(number)
        self._listed.add(number)
        self._update_views()

    def sample(self, share):
        """Returns a share of the daemons."""
        members = sorted(self._members)
        return self._rng.sample(members, round(share * len(members)))

    def in_data_centre(self, name):
        """Returns the daemons of a data centre."""
        return [n for n in self._members if peer(n).data_centre == name]

    async def take_up(self, *, begun_by):
        """Takes up the streams that daemons began, each elsewhere at once."""
        async with anyio.create_task_group() as tasks:
            for stream in self._streams:
                if stream.daemon in begun_by:
                    tasks.start_soon(self._take_up_one, stream)

    async def _take_up_one(self, stream):
        others = sorted(self._members - {stream.daemon})
        exchange = self._exchanges[self._rng.choice(others)]
        origin = exchange._origins.find(stream.name)
        if origin is None:
            origin = await exchange.find(stream.name)
        self.counts["taken up"] += 1
        self.counts["found"] += origin is not None
        wrong = origin is not None and origin.version != stream.version
        self.counts["wrong"] += wrong

    def _start(self, number):
        name = f"d{number}"
        clock = self.hub.clock_of(name)
        view = self._views[number] = FixedDaemons((peer(number),))
        origins = StreamOrigins(clock=clock)
        exchange = StreamExchange(
            clock=clock,
            network=self.hub.network(name),
            daemons=view,
            origins=origins,
            untold=UntoldOrigins(
                clock=clock,
                origins=origins,
                store=_SharedStore(name, self.saved),
            ),
        )
        self._exchanges[number] = exchange

        async def handle(request):
            self.counts["messages"] += 1
            self.counts["bytes"] += len(request.body)
            return await exchange.handle(request)

        self.hub.listen(f"{name}:1", handle, owner=name)
        self.hub.start(exchange.run)
        self.hub.start(exchange._untold.run)

    def _update_views(self):
        daemons = [peer(n) for n in sorted(self._listed)]
        for number, view in self._views.items():
            view._daemons = tuple(
                attrs.evolve(d, is_local=d.name == f"d{number}")
                for d in daemons
            )
