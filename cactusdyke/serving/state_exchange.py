"""Keeps copies of the store's state current, from the store or from a peer."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from result import Err

from cactusdyke import events
from cactusdyke.kernel import Service
from cactusdyke.serving import state_readers
from cactusdyke.transport.messages import (
    Request,
    Response,
    json_response,
    parse_object,
)
from cactusdyke.transport.network import CallOptions

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from cactusdyke.clock import Clock, Instant
    from cactusdyke.serving.followed_state import FollowedState
    from cactusdyke.serving.peers import PeerDaemon, PeerDaemons
    from cactusdyke.transport.network import Network

STATE_PATH = "/internal/v1/known-state"
LONG_POLL_MS = 900.0
"""Longest time that the store or a reader holds a call open for a change."""
TIMEOUT_MARGIN_MS = 350.0
"""With it a silent reader is detected in 1.25 s. A change must be in force
within 2 s at the strictest, and one call to the store still has to be made."""
STALE_MS = 1_200.0
"""A state that the store confirmed longer ago is stale; its daemon is not
followed."""
COALESCE_MS = 100.0
"""Changes within this time of each other are read with one call."""
RETRY_MS = 250.0
NON_READER_RETRY_MS = 2_500.0
"""Between retries of a daemon that reads only because no reader answers."""
AVOIDANCE_MS = 3_000.0
"""How long a silent or stale reader is not followed."""
ROLE_CHECK_INTERVAL_MS = 500.0


class StateExchange(Service):
    """Reads the store if this daemon is a reader, otherwise follows a reader.

    A follower long-polls its reader for updates. If the reader does not answer,
    or has had no answer from the store for `STALE_MS`, the follower reads the
    store itself at once, because changes must reach it in time then too.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        network: Network,
        daemons: PeerDaemons,
        states: Sequence[FollowedState],
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._network = network
        self._daemons = daemons
        self._states = {state.name: state for state in states}
        self._change_event = anyio.Event()
        self._reads_store = anyio.Event()
        self._source = ""
        self._readers = state_readers.RankedReaders(daemons=daemons)
        self._avoided_until: dict[str, Instant] = {}
        for state in states:
            state.on_change(self._notify_followers)

    @property
    def reads_store(self) -> bool:
        """Whether this daemon reads the store at present."""
        return self._reads_store.is_set()

    async def run(self) -> None:
        """Reads or follows until it is cancelled."""
        async with anyio.create_task_group() as tasks:
            for state in self._states.values():
                tasks.start_soon(self._read, state)
            while True:
                await self._run_once()

    async def handle(self, request: Request) -> Response:
        """Answers a follower at the next update, or when its wait expires."""
        known: dict[str, int] = {}
        for name in self._states:
            text = request.query.get(name, "0")
            known[name] = int(text) if text.isdigit() else 0
        wait = request.query.get("wait_ms", "0")
        wait_ms = min(LONG_POLL_MS, float(wait) if wait.isdigit() else 0.0)
        fresh_ms = STALE_MS - max(s.age_ms for s in self._states.values())
        with self._clock.timeout(min(wait_ms, fresh_ms)):
            while not self._has_changes(known):
                await self._change_event.wait()
        return json_response(
            {
                "states": {
                    name: state.encode_since(known[name])
                    for name, state in self._states.items()
                    if state.revision
                }
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
            read = await state.read(wait_ms=LONG_POLL_MS)
            if isinstance(read, Err):
                retry_ms = self._retry_ms()
                self._log_failed_read(
                    "the store", read.err_value.detail, retry_ms, state.name
                )
                await self._clock.sleep(retry_ms)
            elif read.ok_value:
                await self._clock.sleep(COALESCE_MS)

    def _retry_ms(self) -> float:
        is_reader = any(reader.is_local for reader in self._readers.current())
        retry_ms = RETRY_MS if is_reader else NON_READER_RETRY_MS
        return retry_ms * self._rng.uniform(0.5, 1.0)

    async def _run_once(self) -> None:
        source = self._choose_source()
        if source is None or not self._all_listed:
            self._set_source("the store")
            await self._clock.sleep(
                ROLE_CHECK_INTERVAL_MS * self._rng.uniform(0.6, 1.0)
            )
            if not (self._is_fresh and self._all_listed):
                await self._poll_any()
        elif await self._poll(source, wait_ms=LONG_POLL_MS) and self._is_fresh:
            self._set_source(source.name)
        else:
            self._avoided_until[source.name] = self._clock.now() + AVOIDANCE_MS
            self._reads_store.set()

    @property
    def _all_listed(self) -> bool:
        return all(state.listed for state in self._states.values())

    @property
    def _is_fresh(self) -> bool:
        return all(s.age_ms < STALE_MS for s in self._states.values())

    def _choose_source(self) -> PeerDaemon | None:
        now = self._clock.now()
        self._avoided_until = {
            n: at for n, at in self._avoided_until.items() if at > now
        }
        own = next(d for d in self._daemons.all() if d.is_local)
        return state_readers.choose_source(
            own, self._readers.current(), self._avoided_until
        )

    def _set_source(self, source: str) -> None:
        if source == "the store":
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

    async def _poll_any(self) -> None:
        others = [d for d in self._readers.current() if not d.is_local]
        others = others or [d for d in self._daemons.all() if not d.is_local]
        if others:
            await self._poll(self._rng.choice(others), wait_ms=0.0)

    async def _poll(self, peer: PeerDaemon, *, wait_ms: float) -> bool:
        """Merges a daemon's state; returns whether it sent a valid answer."""
        request = Request(
            method="GET",
            path=STATE_PATH,
            query={
                "wait_ms": str(int(wait_ms)),
                **{s.name: str(s.revision) for s in self._states.values()},
            },
        )
        timeout_ms = wait_ms + TIMEOUT_MARGIN_MS
        options = CallOptions(
            connect_timeout_ms=timeout_ms, progress_timeout_ms=timeout_ms
        )
        answer = None
        with self._clock.timeout(timeout_ms):
            answer = await self._network.fetch(peer.address, request, options)
        if answer is None or isinstance(answer, Err):
            detail = answer.err_value.detail if answer else "no answer"
            self._log_failed_read(peer.name, detail, 0.0)
            return False
        body = answer.ok_value.body
        if answer.ok_value.status != 200 or not isinstance(body, bytes):
            detail = f"status {answer.ok_value.status}"
            self._log_failed_read(peer.name, detail, 0.0)
            return False
        try:
            for name, value in parse_object(body).unwrap()["states"].items():
                if name in self._states:
                    self._states[name].merge(value, source=peer.name)
        except (KeyError, TypeError, ValueError) as error:
            events.log(
                events.Event.GOSSIP_REJECTED,
                member=peer.name,
                key="state",
                detail=repr(error),
            )
            return False
        return True
