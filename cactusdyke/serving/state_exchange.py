"""Daemons that the store does not answer learn its state from others."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING, Any

from result import Err

from cactusdyke import events
from cactusdyke.kernel import Service
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

    from cactusdyke.clock import Clock
    from cactusdyke.serving.peers import PeerDaemon, PeerDaemons
    from cactusdyke.transport.network import Network

STATE_PATH = "/internal/v1/known-state"
SILENCE_MS = 2_800.0
"""Longer than a watch that nothing happens on takes to come back."""
ASK_EVERY_MS = 400.0
CALL_TIMEOUT_MS = 800.0


class KnownState(abc.ABC):
    """A state that the store holds, as one daemon knows it."""

    @property
    @abc.abstractmethod
    def name(self) -> str:
        """Names the state."""

    @property
    @abc.abstractmethod
    def revision(self) -> int:
        """What the state is of; grows."""

    @property
    @abc.abstractmethod
    def silent_ms(self) -> float:
        """How long ago the store last answered."""

    @abc.abstractmethod
    def to_wire(self) -> Any:
        """Returns the state as JSON."""

    @abc.abstractmethod
    def take(self, revision: int, value: Any, *, source: str) -> None:
        """Takes a newer state.

        Raises:
            ValueError, TypeError: The value is of no known form.
        """


class StateExchange(Service):
    """Asks one other daemon at a time while the store is silent.

    The store may turn some hosts away and serve the others, and the operator
    with them. What it accepts then has to reach all hosts all the same. No
    message is sent while the store answers.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        network: Network,
        daemons: PeerDaemons,
        states: Sequence[KnownState],
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._network = network
        self._daemons = daemons
        self._states = {state.name: state for state in states}

    async def run(self) -> None:
        """Asks while it has to, until it is cancelled."""
        while True:
            await self._clock.sleep(ASK_EVERY_MS)
            for state in self._states.values():
                if state.revision == 0 or state.silent_ms > SILENCE_MS:
                    await self._ask(state)

    async def handle(self, request: Request) -> Response:
        """Tells another daemon a state that is newer than its own."""
        state = self._states.get(request.query.get("name", ""))
        known = request.query.get("revision", "0")
        if state is None or not known.isdigit():
            return json_response({}, status=404)
        if state.revision <= int(known):
            return json_response({"revision": state.revision})
        return json_response(
            {"revision": state.revision, "state": state.to_wire()}
        )

    async def _ask(self, state: KnownState) -> None:
        others = [d for d in self._daemons.all() if not d.own]
        if not others:
            return
        peer = self._rng.choice(others)
        request = Request(
            method="GET",
            path=STATE_PATH,
            query={"name": state.name, "revision": str(state.revision)},
        )
        options = CallOptions(
            connect_timeout_ms=CALL_TIMEOUT_MS,
            progress_timeout_ms=CALL_TIMEOUT_MS,
        )
        answer = await self._network.fetch(peer.address, request, options)
        if isinstance(answer, Err) or answer.ok_value.status != 200:
            return
        body = answer.ok_value.body
        assert isinstance(body, bytes)
        parsed = parse_object(body)
        if isinstance(parsed, Err) or "state" not in parsed.ok_value:
            return
        self._take(state, peer, parsed.ok_value)

    def _take(
        self, state: KnownState, peer: PeerDaemon, body: dict[str, Any]
    ) -> None:
        before = state.revision
        try:
            state.take(int(body["revision"]), body["state"], source=peer.name)
        except (KeyError, TypeError, ValueError) as error:
            events.log(
                events.Event.GOSSIP_REJECTED,
                member=peer.name,
                key=state.name,
                detail=repr(error),
            )
            return
        events.log(
            events.Event.SERVING_PEER_NEWER,
            state=state.name,
            peer=peer.name,
            before=before,
            revision=state.revision,
            silent_ms=round(state.silent_ms),
        )
