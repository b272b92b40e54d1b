"""Passes on to other daemons what replicas said to this one.

All daemons are told of a replica that leaves, by one of those that its answers
tell so. A daemon that misses the message gets it with its next probe. A rest
that was asked for through another daemon's connection is told to that daemon,
whose host the replica saw.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

import anyio
from result import Err

from cactusdyke.background import background_tasks
from cactusdyke.errors import DECODING_ERRORS, Failure, FailureKind
from cactusdyke.kernel import Service
from cactusdyke.membership.attachments import ChangeAttachment
from cactusdyke.serving import broadcast
from cactusdyke.transport.messages import (
    Request,
    Response,
    failure_response,
    json_response,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

    from cactusdyke.clock import Clock
    from cactusdyke.membership.attachments import Attachment
    from cactusdyke.serving.deployment import Deployment
    from cactusdyke.serving.model import Replica
    from cactusdyke.serving.peers import PeerDaemon, PeerDaemons
    from cactusdyke.transport.network import Network

STATEMENTS_PATH = "/internal/v1/replica-statements"
TOLD_BY = "another daemon told so"
MAX_TELLING_DELAY_MS = 200.0
"""Of several daemons that hear of it at once, the first one tells the rest."""
MAX_SHARED = 256
"""Most leaving replicas in one message."""


class StatementExchange(Service):
    """Tells other daemons what replicas said, and reads what they tell."""

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        network: Network,
        daemons: PeerDaemons,
        deployment: Deployment,
        relay_of: Callable[[str], PeerDaemon | None],
    ) -> None:
        """Creates the exchange.

        Args:
            clock: The clock.
            rng: Source of the delays.
            network: Connections to other daemons.
            daemons: The other daemons.
            deployment: Holds the statements.
            relay_of: Returns the daemon through which an address is reached,
                None if this daemon reaches it by itself.
        """
        self._clock = clock
        self._rng = rng
        self._network = network
        self._daemons = daemons
        self._deployment = deployment
        self._relay_of = relay_of
        self._broadcaster = broadcast.Broadcaster(network=network)
        self._untold: dict[str, int] = {}
        self._rests: dict[str, tuple[PeerDaemon, list[list[Any]]]] = {}
        self._added = anyio.Event()
        statements = self._statements = deployment.statements
        statements.on_leaving(self._queue_leaving)
        statements.on_rest(self._queue_rest)
        self._attachment = ChangeAttachment(
            version=lambda: statements.version,
            encode=lambda: [list(pair) for pair in self._shared()],
            merge=lambda values, sender: self._merge_leaving(values),
        )

    @property
    def attachment(self) -> Attachment:
        """Attaches the leaving replicas to gossip messages."""
        return self._attachment

    async def run(self) -> None:
        """Tells other daemons until it is cancelled."""
        async with background_tasks() as tasks:
            while True:
                await self._added.wait()
                self._added = anyio.Event()
                rests, self._rests = self._rests, {}
                for relay, values in rests.values():
                    tasks.start_soon(self._tell, [relay], {"rests": values})
                if self._untold:
                    tasks.start_soon(self._tell_leaving)

    async def handle(self, request: Request) -> Response:
        """Takes over what another daemon tells."""
        value = request.json()
        if isinstance(value, Err):
            return failure_response(value.err_value)
        try:
            self._merge_leaving(value.ok_value.get("leaving", ()))
            self._merge_rests(value.ok_value.get("rests", ()))
        except DECODING_ERRORS as error:
            return failure_response(
                Failure(
                    kind=FailureKind.BAD_REQUEST,
                    detail=f"the statements can't be read: {error!r}",
                )
            )
        return json_response({})

    def _shared(self) -> list[tuple[str, int]]:
        return self._statements.leaving[:MAX_SHARED]

    def _queue_leaving(self, name: str, born: int, reason: str) -> None:
        if reason == TOLD_BY:
            self._untold.pop(name, None)
            return
        self._untold[name] = born
        self._added.set()

    def _queue_rest(self, replica: Replica) -> None:
        relay = self._relay_of(replica.address)
        if relay is None:
            return
        left_ms = self._statements.rest_left_ms(replica)
        _, values = self._rests.setdefault(relay.name, (relay, []))
        values.append([replica.name, replica.born, round(left_ms)])
        self._added.set()

    async def _tell_leaving(self) -> None:
        await self._clock.sleep(self._rng.uniform(0.0, MAX_TELLING_DELAY_MS))
        untold, self._untold = self._untold, {}
        if untold:
            others = [d for d in self._daemons.all() if not d.is_local]
            await self._tell(
                others, {"leaving": [list(pair) for pair in untold.items()]}
            )

    async def _tell(self, daemons: list[PeerDaemon], body: Any) -> None:
        await self._broadcaster.post(daemons, STATEMENTS_PATH, body)

    def _merge_leaving(self, values: Iterable[Any]) -> None:
        for name, born in values:
            self._untold.pop(str(name), None)
            self._statements.record_leaving(
                str(name), int(born), reason=TOLD_BY
            )

    def _merge_rests(self, values: Iterable[Any]) -> None:
        for name, born, left_ms in values:
            replica = self._deployment.replica(str(name))
            rest_ms = float(left_ms)
            if not math.isfinite(rest_ms) or rest_ms <= 0:
                raise ValueError(f"a rest of {rest_ms} ms")
            if replica is not None and replica.born == int(born):
                self._statements.record_rest(replica, rest_ms)
