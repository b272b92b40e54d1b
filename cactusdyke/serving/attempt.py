"""Sends a request to one replica and classifies the answer."""

from __future__ import annotations

import contextlib
import enum
from typing import TYPE_CHECKING

import anyio
import attrs

from cactusdyke import events
from cactusdyke.errors import Ran
from cactusdyke.serving.dialect import (
    AnswerKind,
    AnswerVerdict,
    EventStreamError,
)
from cactusdyke.serving.model import RepeatPolicy
from cactusdyke.serving.stream_state import FirstEventNumbers
from cactusdyke.transport.exchange import Exchange, ExchangeError
from cactusdyke.transport.memory_budget import Held, Kind

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from cactusdyke.clock import Clock, Instant
    from cactusdyke.serving.dialect import Dialect, StreamEvent
    from cactusdyke.serving.end_check import EndCheck
    from cactusdyke.serving.model import Replica
    from cactusdyke.serving.replica_load import ReplicaLoads
    from cactusdyke.serving.replica_statements import ReplicaStatements
    from cactusdyke.serving.request import ServingContext
    from cactusdyke.serving.silence_watch import SilenceWatch
    from cactusdyke.serving.stated_limits import StatedLimits
    from cactusdyke.serving.stream_state import StreamState
    from cactusdyke.transport.answer_parser import AnswerHead
    from cactusdyke.transport.exchange import BackendConnections
    from cactusdyke.transport.front_interface import Reply
    from cactusdyke.transport.memory_budget import MemoryBudget

MAX_BODY_BYTES = 8 * 1024 * 1024
"""An answer that is not streamed is buffered and checked in full before its
first byte is forwarded."""


class AttemptEnd(enum.StrEnum):
    """Why an attempt ended, for log events."""

    ANSWERED = "answered"
    """The replica answered, with a failure or a refusal included."""
    SILENT = "silent"
    """Nothing came for as long as the attempt was allowed to wait."""
    CONNECTION = "connection"
    """No connection could be made, or it broke."""
    END_IN_DOUBT = "end_in_doubt"
    """The answer ended with its connection, perhaps by a crash."""
    SPOILED = "spoiled"
    """An event could not be read, or was not the one that had to follow."""
    WITHHELD = "withheld"
    """Nothing was sent, as the replica accepts nothing now."""


class EndInDoubtError(ExchangeError):
    """An answer ended with its connection, perhaps by a crash."""


class SpoiledStreamError(ExchangeError):
    """An event could not be read, or was not the one that had to follow."""


@attrs.frozen(kw_only=True)
class AttemptResult:
    """The result of one attempt.

    Attributes:
        ran: Whether the replica ran the request.
        detail: What happened, for logs and error texts.
        end: Why the attempt ended.
        verdict: The classified head of the answer, if one arrived.
        body: The complete body of the answer, if it was read.
        delivered: Whether the caller has received the complete answer.
        sent: Whether any byte of the request was written to the connection.
        connection_broken: Whether the exchange failed before the answer was
            complete, after a byte was sent.
        unframed: Whether the answer ended with its connection.
        withheld: Whether nothing was sent as the replica accepts nothing now.
    """

    ran: Ran
    detail: str
    end: AttemptEnd = AttemptEnd.ANSWERED
    verdict: AnswerVerdict | None = None
    body: bytes | None = None
    delivered: bool = False
    sent: bool = True
    connection_broken: bool = False
    unframed: bool = False
    withheld: bool = False

    @property
    def inputs_gone(self) -> bool:
        """Whether the replica could no longer fetch a stage's result."""
        return self._is_kind(AnswerKind.INPUTS_GONE)

    @property
    def completed(self) -> bool:
        """Whether the replica sent a complete answer, a failure included."""
        complete = self.delivered or self.body is not None
        return complete and self._is_kind(AnswerKind.ANSWER)

    @property
    def wrong_replica(self) -> bool:
        """Whether the address now belongs to another replica."""
        return self._is_kind(AnswerKind.WRONG_REPLICA)

    @property
    def refused(self) -> bool:
        """Whether the replica refused the request for lack of capacity."""
        return self._is_kind(AnswerKind.REFUSED)

    def _is_kind(self, kind: AnswerKind) -> bool:
        return self.verdict is not None and self.verdict.kind is kind


class AttemptRunner:
    """Sends requests to replicas, and classifies and forwards the answers."""

    def __init__(
        self,
        *,
        clock: Clock,
        dialect: Dialect,
        connections: BackendConnections,
        stated_limits: StatedLimits,
        statements: ReplicaStatements,
        memory: MemoryBudget | None = None,
        loads: ReplicaLoads,
        end_check: EndCheck,
    ) -> None:
        self._clock = clock
        self._connections = connections
        self._dialect = dialect
        self._stated_limits = stated_limits
        self._statements = statements
        self._memory = memory
        self._loads = loads
        self._end_check = end_check
        self._first_numbers = FirstEventNumbers()

    def is_replica_to_blame(
        self, replica: Replica, result: AttemptResult | None
    ) -> bool:
        """Returns whether a failure tells something of the replica.

        An answer does; the lack of one may be due to this daemon's path.
        """
        if result is not None and result.withheld:
            return False
        answered = result is not None and result.verdict is not None
        return answered or not self._connections.is_path_in_doubt(
            replica.address
        )

    async def fetch(
        self,
        context: ServingContext,
        replica: Replica,
        *,
        handles: Sequence[str],
        watch: SilenceWatch,
    ) -> AttemptResult:
        """Makes an attempt and reads the complete answer.

        Args:
            context: The request.
            replica: The replica to send it to.
            handles: The stage results that the request needs.
            watch: Gives the attempt up.
        """
        result: AttemptResult | None = None
        exchange: Exchange | None = None
        with watch.attempt_scope:
            try:
                async with self._connections.connect(
                    replica.address
                ) as exchange:
                    # Connecting takes time, in which another answer may come.
                    if not self._statements.accepts(replica):
                        return _WITHHELD
                    sent_at = self._clock.now()
                    await self._send(exchange, context, replica, handles, None)
                    head = await exchange.head()
                    verdict = self._decode_head(context, replica, head, sent_at)
                    result = await self._classify(
                        context, exchange, verdict, replica
                    )
            except ExchangeError as error:
                return _from_exchange_error(error)
        sent = exchange is not None and exchange.sent
        return result or _given_up(watch, sent=sent)

    async def stream(
        self,
        context: ServingContext,
        replica: Replica,
        reply: Reply,
        state: StreamState,
        *,
        handles: Sequence[str],
        watch: SilenceWatch,
        gap_limit_ms: float,
        on_first_event: Callable[[], None],
    ) -> AttemptResult:
        """Makes an attempt and forwards its events as they arrive.

        Args:
            context: The request.
            replica: The replica to send it to.
            reply: Receives the events.
            state: What the caller has received so far; updated in place.
            handles: The stage results that the request needs.
            watch: Gives the attempt up.
            gap_limit_ms: How long the replica may be silent between two
                events, in milliseconds.
            on_first_event: Called with the first event of this attempt.
        """
        result: AttemptResult | None = None
        sent = False
        try:
            with watch.attempt_scope:
                async with self._connections.connect(
                    replica.address
                ) as exchange:
                    if not self._statements.accepts(replica):
                        return _WITHHELD
                    sent = True
                    sent_at = self._clock.now()
                    await self._send(
                        exchange,
                        context,
                        replica,
                        handles,
                        state.last_event_number,
                    )
                    head = await exchange.head()
                    verdict = self._decode_head(context, replica, head, sent_at)
                    if not (verdict.succeeded and verdict.is_event_stream):
                        return await self._classify(
                            context, exchange, verdict, replica
                        )
                    await self._forward_events(
                        exchange,
                        replica,
                        verdict,
                        reply,
                        state,
                        watch=watch,
                        gap_limit_ms=gap_limit_ms,
                        on_first_event=on_first_event,
                    )
                    result = AttemptResult(
                        ran=Ran.RAN,
                        detail="",
                        verdict=verdict,
                        delivered=True,
                        unframed=exchange.ends_with_connection,
                    )
        except ExchangeError as error:
            return _from_exchange_error(error)
        return result or _given_up(watch, sent=sent)

    async def _send(
        self,
        exchange: Exchange,
        context: ServingContext,
        replica: Replica,
        handles: Sequence[str],
        resume_after: int | None,
    ) -> None:
        call = self._dialect.encode_attempt(
            context,
            replica,
            remaining_ms=context.remaining_ms(self._clock),
            handles=handles,
            resume_after=resume_after,
        )
        self._record_send(context, replica)
        await exchange.send(call.method, call.target, call.headers, call.body)

    def _record_send(self, context: ServingContext, replica: Replica) -> None:
        context.sends += 1
        retry = context.retry
        if context.sends == 1 or retry is None:
            return
        retry.mark_sent()
        events.log(
            events.Event.RETRY_SENT,
            request_id=context.request.request_id,
            service=context.service,
            backend_server=replica.name,
            waited_ms=round(self._clock.now() - retry.charged_at),
        )

    def _decode_head(
        self,
        context: ServingContext,
        replica: Replica,
        head: AnswerHead,
        sent_at: Instant,
    ) -> AnswerVerdict:
        """Decodes the head of an answer and records what it states."""
        verdict = self._dialect.decode_answer(context, head)
        if verdict.is_own:
            self._statements.record(replica, verdict.statement)
            if verdict.load is not None:
                self._loads.record(replica, verdict.load.slowdown)
        # A replica that refuses or fails a request may leave the limit out.
        states = (
            verdict.stated_limit is not None
            or verdict.stated_refusals is not None
        )
        if verdict.is_own and (states or verdict.succeeded):
            self._stated_limits.record_answer(
                replica,
                verdict.stated_limit,
                refusals_per_s=verdict.stated_refusals,
                sent_at=sent_at,
            )
        return verdict

    async def _classify(
        self,
        context: ServingContext,
        exchange: Exchange,
        verdict: AnswerVerdict,
        replica: Replica,
    ) -> AttemptResult:
        if verdict.kind is AnswerKind.ANSWER:
            body = await self._whole_body(context, exchange)
            await self._confirm_end(exchange, replica)
            return AttemptResult(
                ran=Ran.RAN,
                detail=f"the replica answered {verdict.status}",
                verdict=verdict,
                body=body,
                unframed=exchange.ends_with_connection,
            )
        foreign = verdict.kind is AnswerKind.FOREIGN
        return AttemptResult(
            ran=Ran.UNKNOWN if foreign else Ran.NOT_RUN,
            detail=f"the replica answered {verdict.status}:"
            f" {verdict.kind.value}",
            verdict=verdict,
        )

    async def _whole_body(
        self, context: ServingContext, exchange: Exchange
    ) -> bytes:
        if self._memory is None:
            return await exchange.whole_body(most=MAX_BODY_BYTES)
        if context.held_answer is None:
            context.held_answer = Held(self._memory, Kind.ANSWERS)
        repeat = context.route.repeat_policy
        return await exchange.whole_body(
            most=MAX_BODY_BYTES,
            held=context.held_answer,
            must_finish=repeat is RepeatPolicy.AT_MOST_ONCE,
        )

    async def _confirm_end(self, exchange: Exchange, replica: Replica) -> None:
        """Checks that an answer was not ended by a crash of its replica.

        Raises:
            EndInDoubtError: The replica's process is gone, or nothing shows
                that it is not.
        """
        if not exchange.ends_with_connection:
            return
        doubt = await self._end_check.find_doubt(replica)
        if doubt:
            raise EndInDoubtError(
                f"{replica.address}: the replica may have ended with its"
                f" answer: {doubt}",
                sent=exchange.sent,
            )

    async def _forward_events(
        self,
        exchange: Exchange,
        replica: Replica,
        verdict: AnswerVerdict,
        reply: Reply,
        state: StreamState,
        *,
        watch: SilenceWatch,
        gap_limit_ms: float,
        on_first_event: Callable[[], None],
    ) -> None:
        reader = self._dialect.event_reader()
        is_first = True
        async with contextlib.aclosing(exchange.body()) as chunks:  # type: ignore[type-var]
            async for chunk in chunks:
                try:
                    arrived = reader.feed(chunk)
                except EventStreamError as error:
                    raise SpoiledStreamError(
                        f"{replica.address}: {error}", sent=exchange.sent
                    ) from error
                # What came in front of a spoiled event is sound: callers wait
                # less, and no engine has to make it again.
                sound, fault = self._split(arrived, state, replica)
                if sound:
                    if is_first:
                        is_first = False
                        on_first_event()
                    watch.restart(gap_limit_ms)
                    await self._pass_on(
                        sound, replica, verdict, reply, state, watch
                    )
                    watch.restart(gap_limit_ms)
                if fault:
                    raise SpoiledStreamError(
                        f"{replica.address}: {fault}", sent=exchange.sent
                    )
        if reader.remainder.strip():
            raise ExchangeError(
                "the stream ended within an event", sent=exchange.sent
            )
        with anyio.CancelScope(shield=True):
            await self._confirm_end(exchange, replica)
            if not state.head_sent:
                state.head_sent = True
                await reply.begin(verdict.status, verdict.headers)
            await reply.end()

    def _split(
        self,
        events: Sequence[StreamEvent],
        state: StreamState,
        replica: Replica,
    ) -> tuple[Sequence[StreamEvent], str]:
        """Separates the events that continue a stream from what follows."""
        known = self._first_numbers.known(replica.service, replica.version)
        sound, fault = state.split(events, known)
        if fault and not sound and state.last_event_number is None:
            number = events[0].number
            if known is not None and number is not None:
                self._first_numbers.contradict(
                    replica.service, number, replica.version
                )
        return sound, fault

    async def _pass_on(
        self,
        events: Sequence[StreamEvent],
        replica: Replica,
        verdict: AnswerVerdict,
        reply: Reply,
        state: StreamState,
        watch: SilenceWatch,
    ) -> None:
        """Writes events to the caller, and then records them.

        A daemon that was suspended resumes with events to read and their
        timeout expired. Cancelled between the two, the attempt would be resumed
        before events that the caller has. Writes have timeouts of their own.
        """
        arrived_at = self._clock.now()
        with anyio.CancelScope(shield=True):
            if not state.head_sent:
                state.record_head(arrived_at)
                state.on_head()
                await reply.begin(verdict.status, verdict.headers)
            if reply.full:
                # The replica is not read meanwhile, and not to blame.
                watch.suspend()
            await reply.part(b"".join(event.data for event in events))
            self._record(events, state, replica, arrived_at)

    def _record(
        self,
        events: Sequence[StreamEvent],
        state: StreamState,
        replica: Replica,
        arrived_at: Instant,
    ) -> None:
        """Records events that the caller has, and what they show."""
        confirmed = state.record_events(
            events,
            arrived_at,
            first_number=self._first_numbers.known(
                replica.service, replica.version
            ),
        )
        if confirmed is not None:
            self._first_numbers.confirm(
                replica.service, confirmed, replica.version
            )


_WITHHELD = AttemptResult(
    ran=Ran.NOT_RUN,
    detail="the replica leaves, or has asked for rest",
    end=AttemptEnd.WITHHELD,
    sent=False,
    withheld=True,
)


def _given_up(watch: SilenceWatch, *, sent: bool) -> AttemptResult:
    return AttemptResult(
        ran=Ran.UNKNOWN if sent else Ran.NOT_RUN,
        detail=f"no answer in {watch.silent_ms:.0f} ms",
        end=AttemptEnd.SILENT,
        sent=sent,
    )


def _from_exchange_error(error: ExchangeError) -> AttemptResult:
    match error:
        case EndInDoubtError():
            end = AttemptEnd.END_IN_DOUBT
        case SpoiledStreamError():
            end = AttemptEnd.SPOILED
        case _:
            end = AttemptEnd.CONNECTION
    return AttemptResult(
        ran=Ran.UNKNOWN if error.sent else Ran.NOT_RUN,
        detail=str(error),
        end=end,
        sent=error.sent,
        connection_broken=error.sent,
    )
