"""Decides where a stream that has begun may go on.

Replicas of several software versions may serve side by side. What two versions
write does not fit together and replicas do not check it, so a stream goes on
only at the version that began it: in one answer, and over a caller's attempts
at different daemons. If that version is not known the stream does not go on.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from cactusdyke import events
from cactusdyke.errors import Failure, FailureKind
from cactusdyke.serving.stream_origins import StreamOrigin
from cactusdyke.transport.exchange import ExchangeError

if TYPE_CHECKING:
    from cactusdyke.clock import Clock
    from cactusdyke.serving.deployment import Deployment
    from cactusdyke.serving.dialect import Dialect
    from cactusdyke.serving.model import Replica
    from cactusdyke.serving.request import ServingContext
    from cactusdyke.serving.stream_exchange import StreamExchange
    from cactusdyke.serving.stream_origins import StreamOrigins
    from cactusdyke.transport.exchange import BackendConnections

REPORT_TIMEOUT_MS = 300.0
MAX_REPORT_BYTES = 65_536
UNKNOWN_RETRY_AFTER_MS = 100
"""Another daemon may know the stream."""
GONE_RETRY_AFTER_MS = 500
_UNNAMED = "the request does not name the attempt that began its stream"


class StreamContinuation:
    """Knows the origins of streams and which replicas can continue them."""

    def __init__(
        self,
        *,
        clock: Clock,
        deployment: Deployment,
        dialect: Dialect,
        connections: BackendConnections,
        origins: StreamOrigins,
        exchange: StreamExchange,
    ) -> None:
        self._clock = clock
        self._deployment = deployment
        self._dialect = dialect
        self._connections = connections
        self._origins = origins
        self._exchange = exchange
        deployment.on_change(self._follow_versions)

    async def resume(self, context: ServingContext) -> Failure | None:
        """Finds the origin of the stream that a request resumes, if it does.

        Returns:
            Why the stream cannot go on now, None if it can or is a new one.
        """
        if context.request.resume_after is None or not context.route.streaming:
            return None
        origin = await self._find(context)
        if origin is None or not origin.version:
            return self._refusal(
                context, _why_unknown(context), UNKNOWN_RETRY_AFTER_MS
            )
        targets = {target.service for target in context.route.targets}
        if origin.service not in targets:
            return self._refusal(
                context,
                f"the route no longer leads to {origin.service}, which began"
                " the stream",
                GONE_RETRY_AFTER_MS,
            )
        context.service = origin.service
        context.origin = origin
        if not context.request.resumes and not self._is_only_version(origin):
            return self._refusal(
                context,
                f"{_UNNAMED}, and {origin.service} has replicas of other"
                f" software versions than {origin.version}",
                GONE_RETRY_AFTER_MS,
            )
        usable = self._deployment.usable_replicas(origin.service)
        if any(self.allows(context, replica) for replica in usable):
            return None
        return self._refusal(
            context,
            f"no replica of {origin.service} has the software version"
            f" {origin.version}, which began the stream",
            GONE_RETRY_AFTER_MS,
        )

    def begin(self, context: ServingContext, replica: Replica) -> None:
        """Records that a replica's first event is about to be forwarded."""
        if context.origin is None:
            context.origin = StreamOrigin(
                service=replica.service,
                version=replica.version,
                replica=replica.name,
                born=replica.born,
            )
        context.origin.is_local = True
        if not context.route.resumable:
            return
        # A resumed stream is told again: daemons that knew it may have ended.
        context.origin = self._origins.put(context.stream_id, context.origin)
        self._tell(context, context.origin)

    def allows(self, context: ServingContext, replica: Replica) -> bool:
        """Returns whether a request may go to a replica."""
        origin = context.origin
        if origin is None:
            return True
        return (
            bool(origin.version)
            and replica.version == origin.version
            and replica.service == origin.service
        )

    def can_follow(self, replica: Replica, before: Replica) -> bool:
        """Returns whether a replica could continue a stream of another one."""
        return bool(before.version) and replica.version == before.version

    async def admits(self, context: ServingContext, replica: Replica) -> bool:
        """Returns whether a chosen replica may be sent a request now.

        The choice may have taken time, and the replica's entry may be out of
        date: another process may have its id, with other software. It is asked
        for its start, but only if it is to continue a stream.
        """
        if context.origin is not None:
            await self._confirm(context, context.origin)
        if not self.allows(context, replica):
            return False
        if context.origin is None or not replica.born:
            return True
        if not self._deployment.statements.accepts(replica):
            return False
        born = await self._query_born(replica)
        if born is None or born == replica.born:
            return True
        self._deployment.mark_leaving(
            replica, reason="another process has its id now"
        )
        return False

    async def _confirm(
        self, context: ServingContext, origin: StreamOrigin
    ) -> None:
        """Asks the replica that began a stream whether it is still the same.

        It may have come back under its id with other software just before, and
        its entry be late. If it does not answer, its entry is believed.
        """
        replica = self._deployment.replica(origin.replica)
        known = origin.version and not origin.is_confirmed and origin.born
        if replica is None or not known:
            return
        if replica.born != origin.born:
            if replica.version != origin.version:
                self._forget_version(context, origin)
            return
        born = await self._query_born(replica)
        if born is None:
            return
        if born == origin.born:
            origin.is_confirmed = True
            return
        self._forget_version(context, origin)
        self._deployment.mark_leaving(
            replica, reason="another process has its id now"
        )

    async def _find(self, context: ServingContext) -> StreamOrigin | None:
        stream_id = context.stream_id
        if not stream_id:
            return None
        if not context.request.resumes:
            return await self._exchange.find_agreed(stream_id)
        origin = self._origins.find(stream_id)
        return origin or await self._exchange.find(stream_id)

    def _is_only_version(self, origin: StreamOrigin) -> bool:
        """Returns whether all replicas of a service have a stream's version.

        A caller that names no attempt may have had its events from one whose
        origin nobody could be told. It goes on only if that changes nothing.
        """
        versions = self._deployment.software_versions(origin.service)
        return versions == {origin.version}

    def _forget_version(
        self, context: ServingContext, origin: StreamOrigin
    ) -> None:
        origin.version = ""
        self._tell(context, origin)

    def _tell(self, context: ServingContext, origin: StreamOrigin) -> None:
        for name in context.stream_names:
            # Under each name another attempt may make the origin unknown.
            known = self._origins.put(name, attrs.evolve(origin))
            self._exchange.tell(name, known)

    async def _query_born(self, replica: Replica) -> int | None:
        """Returns the start that a replica reports, None if it does not."""
        call = self._dialect.encode_memory_query(replica)
        with self._clock.timeout(REPORT_TIMEOUT_MS):
            try:
                async with self._connections.connect(
                    replica.address
                ) as exchange:
                    await exchange.send(
                        call.method, call.target, call.headers, call.body
                    )
                    head = await exchange.head()
                    body = await exchange.whole_body(most=MAX_REPORT_BYTES)
                    born = self._dialect.decode_born(head, body)
                    statement = self._dialect.decode_statement(head)
                    if born == replica.born:
                        self._deployment.statements.record(replica, statement)
                    else:
                        self._deployment.statements.record_refusal(
                            replica, statement
                        )
                    return born
            except ExchangeError:
                return None
        return None

    def _refusal(
        self, context: ServingContext, detail: str, retry_after_ms: int
    ) -> Failure:
        events.log(
            events.Event.STREAM_NOT_CONTINUED,
            request_id=context.request.request_id,
            resumes=context.request.resumes,
            service=context.service,
            version=context.origin.version if context.origin else "",
            detail=detail,
        )
        return Failure(
            kind=FailureKind.STREAM_LOST,
            detail=detail,
            retry_after_ms=retry_after_ms,
        )

    def _follow_versions(self) -> None:
        """Forgets the version of streams whose replica's id has another now.

        A stream that was sent there before its entry changed may already have
        been begun by the new software.
        """
        for stream_id, origin in self._origins.begun_here():
            replica = self._deployment.replica(origin.replica)
            if replica is None or replica.version == origin.version:
                continue
            if origin.version:
                origin.version = ""
                self._exchange.tell(stream_id, origin)


def _why_unknown(context: ServingContext) -> str:
    if context.request.resumes:
        return "no daemon that answers knows which software began the stream"
    if not context.content_id:
        return f"{_UNNAMED}, and its prompt has no part that identifies it"
    return f"{_UNNAMED}, and what it asks for does not tell how that began"
