"""Finds out whether a replica outlived its answer.

The end of a connection is the end of an answer without a length or chunks, and
looks the same if the replica's process ends. That somebody listens at its
address afterwards proves nothing: a supervisor may keep the listening socket,
and another process may have it by then. So the replica is asked who it is.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusdyke.serving.dialect import Identity
from cactusdyke.transport.exchange import ExchangeError

if TYPE_CHECKING:
    from cactusdyke.clock import Clock
    from cactusdyke.serving.deployment import Deployment
    from cactusdyke.serving.dialect import Dialect, EncodedCall
    from cactusdyke.serving.model import Replica
    from cactusdyke.transport.exchange import BackendConnections

END_CHECK_DELAY_MS = 20.0
"""Before a replica is asked first; doubled before each further time. A process
that ends closes its connections and listeners within this time."""
END_CHECK_LIMIT_MS = 1_000.0
"""What is not known by then stays in doubt. A replica that does not tell its
start is not started again under the same name within this time."""
MAX_ANSWER_BYTES = 65_536


class EndCheck:
    """Asks replicas who they are, once an answer ended with its connection."""

    def __init__(
        self,
        *,
        clock: Clock,
        dialect: Dialect,
        connections: BackendConnections,
        deployment: Deployment,
    ) -> None:
        self._clock = clock
        self._dialect = dialect
        self._connections = connections
        self._deployment = deployment

    async def find_doubt(self, replica: Replica) -> str:
        """Returns why a replica may have ended with its answer.

        Returns:
            Empty if the process that answered is known to be still there.
        """
        ended_at = self._clock.now()
        doubt = "it did not say who it is in time"
        delay_ms = END_CHECK_DELAY_MS
        with self._clock.timeout(END_CHECK_LIMIT_MS):
            while doubt:
                await self._clock.sleep(delay_ms)
                delay_ms *= 2
                try:
                    identity = await self._query_identity(replica)
                except ExchangeError as error:
                    # Only a refusal is certain. A replica that has too many
                    # connections resets them.
                    doubt = str(error)
                    if error.refused:
                        break
                    continue
                if identity is Identity.OTHER:
                    doubt = "another process has its address"
                    break
                known = identity is Identity.SAME
                doubt = "" if known else "it does not say who it is"
        if not doubt and self._clock.now() - ended_at > END_CHECK_LIMIT_MS:
            doubt = "by now it may have been started again"
        if self._deployment.is_replaced(replica):
            doubt = "another process has its address"
        return doubt

    async def _query_identity(self, replica: Replica) -> Identity:
        """Asks for the replica's report, and for its health if need be.

        A report needs no slot. A health check is a request like any other, and
        counts at replicas that are cold or have asked for rest.

        Raises:
            ExchangeError: There was no answer.
        """
        identity = await self._ask(
            replica, self._dialect.encode_memory_query(replica)
        )
        service = self._deployment.service(replica.service)
        if identity is not Identity.UNTOLD or service is None:
            return identity
        check = self._dialect.encode_health_check(replica, service)
        bears_requests = not (
            self._deployment.is_cold(replica)
            or self._deployment.statements.rest_left_ms(replica)
        )
        if check is None or not bears_requests:
            return identity
        return await self._ask(replica, check)

    async def _ask(self, replica: Replica, call: EncodedCall) -> Identity:
        async with self._connections.connect(replica.address) as exchange:
            await exchange.send(
                call.method, call.target, call.headers, call.body
            )
            head = await exchange.head()
            body = await exchange.whole_body(most=MAX_ANSWER_BYTES)
        identity = self._dialect.decode_identity(replica, head, body)
        statement = self._dialect.decode_statement(head)
        if identity is Identity.SAME:
            self._deployment.statements.record(replica, statement)
        else:
            self._deployment.statements.record_refusal(replica, statement)
        return identity
