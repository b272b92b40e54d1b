"""Callers: they try, come back after refusals, and judge what they got."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import anyio
import attrs
import orjson

from cactusdyke.transport.front_interface import ReadRequest, Reply

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactusdyke.clock import Clock, Instant
    from cactusdyke.transport.front_interface import Headers
    from emulator.arrivals import Arrival
    from emulator.daemons import EmulatedDaemon
    from emulator.links import Links
    from emulator.world import World

CONNECT_MS = 1_000.0
"""How long a caller tries a host that says nothing."""
WAY_MS = 3.0
ASK_AGAIN_MS = 2_000.0
GAP_MS = 300.0
CUT_KNOWN_MS = 3_000.0
"""Within this time all daemons have adapted to a cut from replicas."""
REFUSAL_MS = 1_000.0
"""Within this time a caller hears that its stream cannot go on."""
MOST_RETRY_SHARE = 1 / 3
"""Of the time left that a caller stays away when it is told to."""


@attrs.define(kw_only=True)
class Outcome:
    """How a request ended for its caller.

    Attributes:
        arrival: The request.
        how: on_time, late, refused or failed.
        first_ms: Time to the first event or the answer, if one came.
        tries: How often it was sent.
    """

    arrival: Arrival
    how: str
    first_ms: float = 0.0
    tries: int = 0

    @property
    def earned(self) -> float:
        """What the answer was worth."""
        kind = self.arrival.kind
        worths = {"on_time": kind.worth, "late": kind.late_worth}
        return worths.get(self.how, 0.0)


class _Got(Reply):
    """What a caller has got of an answer."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self.status = 0
        self.body = b""
        self.first_at: Instant | None = None
        self.last_at: Instant = 0.0
        self.longest_gap_ms = 0.0
        self.complete = False

    async def whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Takes a whole answer."""
        del headers
        self.status, self.body, self.complete = status, body, True
        self._note()

    async def begin(self, status: int, headers: Headers) -> None:
        """Takes the head of a stream."""
        del headers
        self.status = status

    async def part(self, data: bytes) -> None:
        """Takes events."""
        self.body += data
        self._note()

    async def end(self) -> None:
        """Takes the end."""
        self.complete = True

    @property
    def quarantined(self) -> bool:
        """Whether the request was refused as one that crashes replicas."""
        if self.status != 503 or not self.complete:
            return False
        return bool(orjson.loads(self.body)["kind"] == "quarantined")

    def _note(self) -> None:
        now = self._clock.now()
        if self.first_at is None:
            self.first_at = now
        else:
            gap_ms = now - self.last_at
            self.longest_gap_ms = max(self.longest_gap_ms, gap_ms)
        self.last_at = now


@attrs.define(kw_only=True)
class _Stream:
    """What a caller holds of a stream, over all its tries.

    Attributes:
        begun_by: Id of the try that brought the first event, empty before.
        first_at: When the first event came.
        versions: Software versions of its events, in order.
        numbers: Their numbers.
    """

    begun_by: str = ""
    first_at: Instant | None = None
    versions: list[str] = attrs.field(factory=list)
    numbers: list[int] = attrs.field(factory=list)

    @property
    def version(self) -> str:
        """The software version that began it."""
        return self.versions[0]

    @property
    def mixed(self) -> bool:
        """Whether it holds events of two software versions."""
        return len(set(self.versions)) > 1

    def extend(self, name: str, got: _Got) -> bool:
        """Adds the events of a try; returns whether there are any."""
        events = got.body.decode().split("\n\n")[:-1]
        if not self.begun_by and events:
            self.begun_by = name
            self.first_at = got.first_at
        for event in events:
            _, number, version = event.split()
            self.numbers.append(int(number))
            self.versions.append(version)
        return bool(events)


class Callers:
    """Makes the requests of a play."""

    def __init__(
        self, *, world: World, daemons: list[EmulatedDaemon], links: Links
    ) -> None:
        self._links = links
        self._world = world
        self._clock = world.clock
        self._daemons = daemons
        self._known = list(daemons)
        self._numbers = itertools.count()
        self._refused: set[str] = set()
        self.outcomes: list[Outcome] = []

    async def run(self, arrivals: list[Arrival]) -> None:
        """Makes all requests, and returns when the last has ended."""
        began = self._clock.now()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._ask_for_addresses, tasks.cancel_scope)
            async with anyio.create_task_group() as requests:
                for arrival in arrivals:
                    at = began + arrival.at_ms
                    await self._clock.sleep(at - self._clock.now())
                    requests.start_soon(self._one, arrival)
            tasks.cancel_scope.cancel()
        self._world.counts["refused and ran"] += sum(
            self._world.executions[name] > 0 for name in self._refused
        )

    async def _ask_for_addresses(self, scope: anyio.CancelScope) -> None:
        while not scope.cancel_called:
            await self._clock.sleep(ASK_AGAIN_MS)
            self._learn_addresses()

    def _learn_addresses(self) -> None:
        up = [daemon for daemon in self._daemons if daemon.up]
        self._known = up or self._known

    async def _one(self, arrival: Arrival) -> None:
        began = self._clock.now()
        outcome = Outcome(arrival=arrival, how="failed")
        stream = _Stream()
        avoid: set[str] = set()
        for _ in range(1 + arrival.kind.retries):
            left_ms = arrival.patience_ms - (self._clock.now() - began)
            if left_ms <= 0:
                break
            outcome.tries += 1
            daemon = self._pick(avoid)
            avoid.add(daemon.name)
            if not daemon.up:
                await self._no_connection(daemon, left_ms)
                continue
            got = _Got(clock=self._clock)
            request = self._request(arrival, left_ms, stream)
            await self._clock.sleep(WAY_MS)
            sent_at = self._clock.now()
            traffic = self._world.traffic[arrival.kind.service]
            traffic.requests.append(sent_at)
            count = self._stream_counter(arrival, daemon, stream)
            process = daemon.core
            with self._clock.timeout(left_ms) as scope:
                await daemon.answer(request, got)
            broken_off = got.first_at is not None and not got.complete
            by_daemon = daemon.core is process and not scope.cancelled_caught
            self._world.counts["answers broken off"] += broken_off and by_daemon
            if arrival.kind.resumable and got.status in {0, 200}:
                count(stream.extend(_request_id(request), got) or got.complete)
            elif arrival.kind.resumable:
                count(served=False)
                self._count_late_refusal(stream, sent_at)
            await self._clock.sleep(WAY_MS)
            served = self._take(outcome, got, began, stream)
            if outcome.tries == 1:
                self._count_first_try(daemon, sent_at, served=served)
                self._count_beside_crashes(arrival, sent_at, served=served)
            self._check_runs(arrival, _request_id(request), got, stream)
            if served:
                break
            if not await self._comes_back(outcome, got, began):
                break
        self.outcomes.append(outcome)
        self._world.counts["streams of two versions"] += stream.mixed
        self._world.counts["asked"] += 1
        self._world.counts["answered"] += outcome.how in {"on_time", "late"}

    async def repeat(
        self, draw: Callable[[], Arrival], *, every_ms: float, for_ms: float
    ) -> None:
        """Sends what `draw` returns, each time under a new id."""
        ends_at = self._clock.now() + for_ms
        async with anyio.create_task_group() as tasks:
            while self._clock.now() < ends_at:
                tasks.start_soon(self._once, draw())
                pause_ms = self._world.rng.expovariate(1 / every_ms)
                await self._clock.sleep(pause_ms)

    async def _once(self, arrival: Arrival) -> None:
        daemon = self._pick(set())
        if not daemon.up:
            return
        got = _Got(clock=self._clock)
        with self._clock.timeout(arrival.patience_ms):
            request = self._request(arrival, arrival.patience_ms, _Stream())
            await daemon.answer(request, got)
        self._world.counts["crashing refused"] += got.quarantined

    def _count_first_try(
        self, daemon: EmulatedDaemon, sent_at: Instant, *, served: bool
    ) -> None:
        """Counts a first try while daemons are cut off from replicas."""
        cuts = self._world.cut_from_replicas
        if not cuts or sent_at < CUT_KNOWN_MS + max(
            cut.since for cut in cuts.values()
        ):
            return
        where = "at cut" if daemon.name in cuts else "elsewhere"
        self._world.counts[f"first tries {where}"] += 1
        self._world.counts[f"first tries served {where}"] += served

    def _count_beside_crashes(
        self, arrival: Arrival, sent_at: Instant, *, served: bool
    ) -> None:
        """Counts first tries of requests like those that crash replicas."""
        phase = self._world.crash_phase(arrival.kind.name, sent_at)
        self._world.counts[f"first tries {phase}"] += 1
        self._world.counts[f"first tries served {phase}"] += served

    def _stream_counter(
        self, arrival: Arrival, daemon: EmulatedDaemon, stream: _Stream
    ) -> Callable[[bool], None]:
        """Returns what counts whether a new or resumed stream was served.

        Counted are tries at daemons that have been undisturbed for a while, and
        of resumed streams those whose software version two replicas have.
        """
        serving = sum(
            backend.serves and backend.version == stream.version
            for backend in self._links.backends.values()
            if stream.begun_by and backend.service == arrival.kind.service
        )
        counted = daemon.in_touch and (not stream.begun_by or serving > 1)
        kind = "resumed" if stream.begun_by else "new"

        def count(served: bool) -> None:
            if counted:
                self._world.counts[f"{kind} streams tried"] += 1
                self._world.counts[f"{kind} streams served"] += served

        return count

    def _count_late_refusal(self, stream: _Stream, sent_at: Instant) -> None:
        """Counts streams whose caller waited to hear that they cannot go on."""
        waited_ms = self._clock.now() - sent_at
        late = bool(stream.begun_by) and waited_ms > REFUSAL_MS
        self._world.counts["resumed streams refused late"] += late

    def _check_runs(
        self, arrival: Arrival, name: str, got: _Got, stream: _Stream
    ) -> None:
        """Counts requests that ran though they must not have."""
        if arrival.kind.runs_once:
            self._world.counts["ran twice"] += self._world.executions[name] > 1
            if got.status == 503 and got.complete:
                self._refused.add(name)
        if got.status == 200 and got.complete and arrival.events:
            if not arrival.kind.resumable:
                stream.extend(name, got)
            is_whole = stream.numbers == list(range(arrival.events))
            self._world.counts["streams not whole"] += not is_whole

    def _pick(self, avoid: set[str]) -> EmulatedDaemon:
        others = [d for d in self._known if d.name not in avoid]
        return self._world.rng.choice(others or self._known)

    async def _no_connection(
        self, daemon: EmulatedDaemon, left_ms: float
    ) -> None:
        wait_ms = CONNECT_MS if daemon.powerless else 2 * WAY_MS
        await self._clock.sleep(min(wait_ms, left_ms))
        self._learn_addresses()

    def _request(
        self, arrival: Arrival, left_ms: float, stream: _Stream
    ) -> ReadRequest:
        kind = arrival.kind.name
        name = f"{kind}:{arrival.number}:{next(self._numbers)}"
        body = {
            "number": arrival.number,
            "parts": arrival.parts,
            "events": arrival.events,
            "pieces": arrival.pieces,
            "crash": arrival.crash,
            "resumes": stream.begun_by,
            "after": stream.numbers[-1] if stream.numbers else None,
        }
        return ReadRequest(
            method="POST",
            target=f"/{kind}/",
            headers=[
                (b"id", name.encode()),
                (b"patience_ms", str(left_ms).encode()),
                (b"customer", arrival.customer.encode()),
            ],
            body=orjson.dumps(body),
            arrived_at=self._clock.now(),
        )

    def _take(
        self, outcome: Outcome, got: _Got, began: Instant, stream: _Stream
    ) -> bool:
        """Judges an answer; returns whether the caller is content."""
        first_at = stream.first_at or got.first_at
        if not (got.complete and got.status == 200 and first_at):
            outcome.how = "refused" if got.status == 503 else "failed"
            if got.quarantined:
                self._world.counts["sound quarantined"] += 1
            return False
        kind = outcome.arrival.kind
        outcome.first_ms = first_at + WAY_MS - began
        on_time = outcome.first_ms <= kind.objective_ms
        smooth = got.longest_gap_ms <= GAP_MS or not kind.events
        outcome.how = "on_time" if on_time and smooth else "late"
        return True

    async def _comes_back(
        self, outcome: Outcome, got: _Got, began: Instant
    ) -> bool:
        kind = outcome.arrival.kind
        if got.status == 503 and got.complete:
            told_ms = orjson.loads(got.body).get("retry_after_ms") or 0
            passed_ms = self._clock.now() - began
            left_ms = outcome.arrival.patience_ms - passed_ms
            await self._clock.sleep(min(told_ms, left_ms * MOST_RETRY_SHARE))
            return True
        return not kind.runs_once


def _request_id(request: ReadRequest) -> str:
    return dict(request.headers)[b"id"].decode()
