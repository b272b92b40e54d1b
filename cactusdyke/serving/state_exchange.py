"""Keeps copies of the store's state current, from the store or from a peer."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import anyio
from result import Err, Result

from cactusdyke import events
from cactusdyke.background import background_tasks
from cactusdyke.errors import DECODING_ERRORS
from cactusdyke.kernel import Service
from cactusdyke.serving import state_readers
from cactusdyke.serving.state_encoding import PACKED, StateEncoder, unpack
from cactusdyke.serving.state_traffic import DAEMON, StateTraffic
from cactusdyke.transport import timed_fetch
from cactusdyke.transport.messages import (
    Request,
    Response,
    json_response,
    parse_object,
)
from cactusdyke.transport.network import CallOptions

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

    from cactusdyke.clock import Clock, Instant
    from cactusdyke.errors import Failure
    from cactusdyke.serving.followed_state import FollowedState
    from cactusdyke.serving.peers import PeerDaemon, PeerDaemons
    from cactusdyke.serving.state_timings import StateTimings
    from cactusdyke.transport.network import Network

STATE_PATH = "/internal/v1/known-state"
MIN_HOLD_MS = 20.0
"""Shortest wait of a follower's call, as its source is about to be stale."""
COALESCE_MS = 100.0
"""Changes within this time of each other are read with one call."""
RETRY_MS = 250.0
"""Between a reader's retries at the store."""
NON_READER_RETRY_MS = 2_500.0
"""Between retries of a daemon that reads only because no reader answers."""
AVOIDANCE_MS = 3_000.0
"""How long a silent or stale reader is not followed."""
STORE = "the store"
RANDOM_QUESTIONS = 2
"""Daemons that are asked at random, beside one reader, in each round."""
QUICK_ROUNDS = 6
"""Rounds of questions before a daemon asks less often. What one daemon knows
has reached some hundred others by then."""


class StateExchange(Service):
    """Reads the store if this daemon is a reader, otherwise follows a reader.

    A follower long-polls its reader for updates. If the reader does not answer,
    or its state is stale, the follower reads the store itself at once, because
    changes must reach it in time then too. The store may refuse it, so it asks
    other daemons as well until its state is fresh.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        network: Network,
        daemons: PeerDaemons,
        states: Sequence[FollowedState],
        timings: Callable[[], StateTimings],
        traffic: StateTraffic | None = None,
    ) -> None:
        self._get_timings = timings
        self._clock = clock
        self._rng = rng
        self._network = network
        self._daemons = daemons
        self._states = {state.name: state for state in states}
        self._encoder = StateEncoder()
        self._traffic = traffic or StateTraffic()
        self._change_event = anyio.Event()
        self._reads_store = anyio.Event()
        self._source = ""
        self._readers = state_readers.RankedReaders(daemons=daemons)
        self._avoided_until: dict[str, Instant] = {}
        self._rounds = 0
        for state in states:
            state.on_change(self._notify_followers)

    @property
    def reads_store(self) -> bool:
        """Whether this daemon reads the store at present."""
        return self._reads_store.is_set()

    async def run(self) -> None:
        """Reads or follows until it is cancelled."""
        async with background_tasks() as tasks:
            for state in self._states.values():
                tasks.start_loop(self._read, state)
            while True:
                await self._run_once()

    async def handle(self, request: Request) -> Response:
        """Answers a follower at the next update, or when its wait expires."""
        known: dict[str, int] = {}
        for name in self._states:
            text = request.query.get(name, "0")
            known[name] = int(text) if text.isdigit() else 0
        wait = request.query.get("wait_ms", "0")
        wait_ms = min(
            self._timings.long_poll_ms, float(wait) if wait.isdigit() else 0.0
        )
        fresh_ms = max(MIN_HOLD_MS, self._timings.stale_ms - self._age_ms)
        asked_at = self._clock.now()
        with self._clock.timeout(min(wait_ms, fresh_ms)):
            while not self._has_changes(known):
                await self._change_event.wait()
        packed = request.query.get(PACKED) == "1"
        return json_response(
            {
                "held_ms": round(self._clock.now() - asked_at),
                "states": {
                    name: self._encoder.encode(
                        state, known[name], packed=packed
                    )
                    for name, state in self._states.items()
                    if state.revision
                },
            }
        )

    def _has_changes(self, known: dict[str, int]) -> bool:
        return any(
            state.has_changes_since(known[name])
            for name, state in self._states.items()
        )

    def _notify_followers(self) -> None:
        previous, self._change_event = self._change_event, anyio.Event()
        previous.set()

    async def _read(self, state: FollowedState) -> None:
        while True:
            if state.listed:
                await self._reads_store.wait()
            read = await state.read(wait_ms=self._timings.long_poll_ms)
            if isinstance(read, Err):
                retry_ms = self._retry_ms()
                self._log_failed_read(
                    STORE, read.err_value.detail, retry_ms, state.name
                )
                await self._clock.sleep(retry_ms)
            elif read.ok_value:
                await self._clock.sleep(COALESCE_MS)

    def _retry_ms(self) -> float:
        is_reader = any(reader.is_local for reader in self._current_readers())
        retry_ms = RETRY_MS if is_reader else NON_READER_RETRY_MS
        return retry_ms * self._rng.uniform(0.5, 1.0)

    async def _run_once(self) -> None:
        source = self._choose_source()
        wait_ms = self._timings.long_poll_ms
        if source is None or not self._all_listed:
            self._set_source(STORE)
            await self._clock.sleep(self._check_ms())
            await self._ask_if_stale()
        elif await self._poll(source, wait_ms=wait_ms) < self._timings.stale_ms:
            self._rounds = 0
            self._set_source(source.name)
        else:
            self._avoided_until[source.name] = self._clock.now() + AVOIDANCE_MS
            self._reads_store.set()
            if self._rounds < QUICK_ROUNDS:
                await self._ask_if_stale()

    def _check_ms(self) -> float:
        """Returns the time until this daemon looks at its own state again."""
        if not self._rounds:
            interval_ms = self._timings.role_check_ms
        elif self._rounds < QUICK_ROUNDS:
            interval_ms = self._timings.question_ms
        else:
            interval_ms = self._timings.slow_question_ms
        return interval_ms * self._rng.uniform(0.6, 1.0)

    async def _ask_if_stale(self) -> None:
        if self._is_fresh and self._all_listed:
            self._rounds = 0
            return
        self._rounds += 1
        async with anyio.create_task_group() as tasks:
            for daemon in self._daemons_to_ask():
                tasks.start_soon(self._ask, daemon, tasks.cancel_scope)

    async def _ask(self, daemon: PeerDaemon, scope: anyio.CancelScope) -> None:
        """Asks a daemon for its state; ends a round that it makes needless."""
        await self._poll(daemon, wait_ms=0.0)
        if self._is_fresh and self._all_listed:
            scope.cancel()

    def _daemons_to_ask(self) -> list[PeerDaemon]:
        """Returns a reader, and daemons at random: any may know more."""
        others = [d for d in self._daemons.all() if not d.is_local]
        readers = [
            d
            for d in self._readers.current(self._avoided_until)
            if not d.is_local
        ]
        asked = [self._rng.choice(readers)] if readers else []
        others = [d for d in others if d not in asked]
        count = min(len(others), RANDOM_QUESTIONS)
        return asked + self._rng.sample(others, count)

    @property
    def _all_listed(self) -> bool:
        return all(state.listed for state in self._states.values())

    @property
    def _is_fresh(self) -> bool:
        return self._age_ms < self._timings.stale_ms

    def _current_readers(self) -> list[PeerDaemon]:
        now = self._clock.now()
        self._avoided_until = {
            n: at for n, at in self._avoided_until.items() if at > now
        }
        return self._readers.current(self._avoided_until)

    def _choose_source(self) -> PeerDaemon | None:
        own = next(d for d in self._daemons.all() if d.is_local)
        return state_readers.choose_source(
            own, self._current_readers(), self._avoided_until
        )

    def _set_source(self, source: str) -> None:
        if source == STORE:
            self._reads_store.set()
        elif self.reads_store:
            self._reads_store = anyio.Event()
        if source != self._source:
            self._source = source
            events.log(
                events.Event.SERVING_STATE_SOURCE,
                source=source,
                age_ms=round(self._age_ms),
            )

    @property
    def _timings(self) -> StateTimings:
        return self._get_timings()

    @property
    def _age_ms(self) -> float:
        return max(state.age_ms for state in self._states.values())

    def _log_failed_read(
        self, source: str, detail: str, retry_ms: float, kind: str = ""
    ) -> None:
        events.log(
            events.Event.SERVING_STATE_NOT_READ,
            source=source,
            kind=kind,
            detail=detail,
            age_ms=round(self._age_ms),
            retry_ms=round(retry_ms),
        )

    async def _poll(self, peer: PeerDaemon, *, wait_ms: float) -> float:
        """Merges a daemon's state.

        Returns:
            How old the state may be that it sent, in milliseconds, as the
            answer began to come; infinite without a valid answer. A stale
            source must not pass for a fresh one as this daemon knows more than
            it, nor a fresh one for stale as its answer is long.
        """
        asked_at = self._clock.now()
        answer = await self._fetch(peer, wait_ms)
        if isinstance(answer, Err):
            self._log_failed_read(peer.name, answer.err_value.detail, 0.0)
            return math.inf
        response = answer.ok_value.response
        body = response.body
        if response.status != 200 or not isinstance(body, bytes):
            detail = f"status {response.status}"
            self._log_failed_read(peer.name, detail, 0.0)
            return math.inf
        self._traffic.count_received(DAEMON, len(body))
        head_ms = answer.ok_value.head_at - asked_at
        took_ms = self._clock.now() - asked_at
        age_ms = 0.0
        parsed = parse_object(body)
        if isinstance(parsed, Err):
            self._log_failed_read(peer.name, parsed.err_value.detail, 0.0)
            return math.inf
        told = parsed.ok_value
        try:
            # Older releases do not tell how long they held the call.
            held_ms = float(told.get("held_ms", took_ms))
            if not self._states.keys() <= told["states"].keys():
                age_ms = math.inf
            for name, value in told["states"].items():
                if name in self._states:
                    source_ms = float(value["age_ms"])
                    age_ms = max(
                        age_ms, source_ms + max(0.0, head_ms - held_ms)
                    )
                    self._states[name].merge(
                        unpack(value),
                        source=peer.name,
                        transit_ms=max(0.0, took_ms - held_ms),
                    )
        except DECODING_ERRORS as error:
            events.log(
                events.Event.GOSSIP_REJECTED,
                member=peer.name,
                key="state",
                detail=repr(error),
            )
            return math.inf
        return age_ms

    async def _fetch(
        self, peer: PeerDaemon, wait_ms: float
    ) -> Result[timed_fetch.TimedResponse, Failure]:
        request = Request(
            method="GET",
            path=STATE_PATH,
            query={
                "wait_ms": str(int(wait_ms)),
                PACKED: "1",
                **{s.name: str(s.revision) for s in self._states.values()},
            },
        )
        head_ms = wait_ms + self._timings.answer_margin_ms
        return await timed_fetch.fetch(
            self._network,
            peer.address,
            request,
            CallOptions(
                connect_timeout_ms=head_ms,
                progress_timeout_ms=max(head_ms, self._timings.stale_ms),
            ),
            limits=timed_fetch.FetchLimits(
                head_ms=head_ms,
                progress_ms=self._timings.stale_ms,
                body_ms=self._timings.transfer_ms,
            ),
            clock=self._clock,
        )
