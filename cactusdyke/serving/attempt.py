"""One attempt of a request at one replica."""

from __future__ import annotations

import contextlib
from collections.abc import Callable
from typing import TYPE_CHECKING

import anyio
import attrs

from cactusdyke.clock import MS_PER_SECOND, Instant
from cactusdyke.errors import Ran
from cactusdyke.serving.dialect import AnswerKind, AnswerVerdict
from cactusdyke.transport.exchange import Exchange, ExchangeError

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cactusdyke.clock import Clock
    from cactusdyke.serving.dialect import Dialect, StreamEvent
    from cactusdyke.serving.model import Replica
    from cactusdyke.serving.request import ServingContext
    from cactusdyke.transport.exchange import BackendConnections
    from cactusdyke.transport.front_interface import Reply

MAX_BODY_BYTES = 8 * 1024 * 1024
"""Answers are checked whole before the first byte is passed on."""


@attrs.frozen(kw_only=True)
class AttemptResult:
    """How one attempt ended.

    Attributes:
        ran: What is true of it.
        detail: What happened.
        verdict: The answer's head, if one came.
        body: The answer's whole body, if it was read.
        delivered: Whether the caller has got the whole answer.
        sent: Whether a byte was handed over.
        broken: Whether the connection ended with the answer not whole.
    """

    ran: Ran
    detail: str
    verdict: AnswerVerdict | None = None
    body: bytes | None = None
    delivered: bool = False
    sent: bool = True
    connection_broken: bool = False

    @property
    def inputs_gone(self) -> bool:
        """Whether a stage's result was gone."""
        return self._is_kind(AnswerKind.INPUTS_GONE)

    @property
    def completed(self) -> bool:
        """Whether the replica has given its whole answer, a failure or not."""
        whole = self.delivered or self.body is not None
        return whole and self._is_kind(AnswerKind.ANSWER)

    @property
    def wrong_replica(self) -> bool:
        """Whether another replica has the address."""
        return self._is_kind(AnswerKind.WRONG_REPLICA)

    @property
    def refused(self) -> bool:
        """Whether the replica had no place."""
        return self._is_kind(AnswerKind.REFUSED)

    def _is_kind(self, kind: AnswerKind) -> bool:
        return self.verdict is not None and self.verdict.kind is kind


@attrs.define(kw_only=True)
class StreamState:
    """What a caller has got of a stream, over all attempts.

    Attributes:
        begun: Whether the head was sent.
        last: Number of the last event passed on.
        first_event_at: When the first event was passed on.
        longest_gap_ms: The longest pause between two events.
        event_at: When the last event was passed on.
        events: How many were passed on.
        on_begin: Called as the head is sent.
    """

    head_sent: bool = False
    last_event_number: int | None = None
    first_event_at: Instant | None = None
    longest_gap_ms: float = 0.0
    last_event_at: Instant = 0.0
    event_count: int = 0
    on_head: Callable[[], None] = lambda: None


class AttemptRunner:
    """Makes attempts and judges what came back."""

    def __init__(
        self,
        *,
        clock: Clock,
        dialect: Dialect,
        connections: BackendConnections,
    ) -> None:
        self._clock = clock
        self._connections = connections
        self._dialect = dialect

    async def fetch(
        self,
        context: ServingContext,
        replica: Replica,
        *,
        handles: Sequence[str],
        timeout_ms: float,
    ) -> AttemptResult:
        """Makes an attempt and reads its answer whole."""
        result = _timed_out(timeout_ms)
        exchange: Exchange | None = None
        with self._clock.timeout(timeout_ms):
            try:
                async with self._connections.connect(
                    replica.address
                ) as exchange:
                    await self._send(exchange, context, replica, handles, None)
                    result = await self._read_whole(exchange, context)
            except ExchangeError as error:
                return _from_exchange_error(error)
        if exchange is None or not exchange.sent:
            return attrs.evolve(result, sent=False, ran=Ran.NOT_RUN)
        return result

    async def stream(
        self,
        context: ServingContext,
        replica: Replica,
        reply: Reply,
        state: StreamState,
        *,
        handles: Sequence[str],
        first_event_timeout_ms: float,
        gap_timeout_ms: float,
        on_first_event: Callable[[], None],
    ) -> AttemptResult:
        """Makes an attempt and passes its events on as they come.

        Args:
            context: The request.
            replica: Where to send it.
            reply: Where events go.
            state: What the caller has got so far; carried on.
            handles: The results that the request needs.
            first_event_timeout_ms: Longest wait for the first event.
            gap_timeout_ms: Longest wait between two events.
            on_first_event: Called with the first event of this attempt.
        """
        result = _timed_out(first_event_timeout_ms)
        sent = False
        try:
            with self._clock.timeout(first_event_timeout_ms) as wait:
                async with self._connections.connect(
                    replica.address
                ) as exchange:
                    sent = True
                    await self._send(
                        exchange,
                        context,
                        replica,
                        handles,
                        state.last_event_number,
                    )
                    head = await exchange.head()
                    verdict = self._dialect.decode_answer(context, head)
                    if not (verdict.succeeded and verdict.events):
                        return await self._classify(exchange, verdict)
                    await self._forward_events(
                        exchange,
                        verdict,
                        reply,
                        state,
                        timeout_scope=wait,
                        gap_timeout_ms=gap_timeout_ms,
                        on_first_event=on_first_event,
                    )
                    result = AttemptResult(
                        ran=Ran.RAN,
                        detail="",
                        verdict=verdict,
                        delivered=True,
                    )
        except ExchangeError as error:
            return _from_exchange_error(error)
        if not sent:
            return attrs.evolve(result, sent=False, ran=Ran.NOT_RUN)
        return result

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
        await exchange.send(call.method, call.target, call.headers, call.body)

    async def _read_whole(
        self, exchange: Exchange, context: ServingContext
    ) -> AttemptResult:
        head = await exchange.head()
        return await self._classify(
            exchange, self._dialect.decode_answer(context, head)
        )

    async def _classify(
        self, exchange: Exchange, verdict: AnswerVerdict
    ) -> AttemptResult:
        if verdict.kind is AnswerKind.ANSWER:
            body = await exchange.whole_body(most=MAX_BODY_BYTES)
            return AttemptResult(
                ran=Ran.RAN,
                detail=f"the replica answered {verdict.status}",
                verdict=verdict,
                body=body,
            )
        foreign = verdict.kind is AnswerKind.FOREIGN
        return AttemptResult(
            ran=Ran.UNKNOWN if foreign else Ran.NOT_RUN,
            detail=f"the replica answered {verdict.status}:"
            f" {verdict.kind.value}",
            verdict=verdict,
        )

    async def _forward_events(
        self,
        exchange: Exchange,
        verdict: AnswerVerdict,
        reply: Reply,
        state: StreamState,
        *,
        timeout_scope: anyio.CancelScope,
        gap_timeout_ms: float,
        on_first_event: Callable[[], None],
    ) -> None:
        reader = self._dialect.event_reader()
        first = True
        async with contextlib.aclosing(exchange.body()) as chunks:  # type: ignore[type-var]
            async for chunk in chunks:
                events = reader.feed(chunk)
                if not events:
                    continue
                if first:
                    first = False
                    on_first_event()
                self._check_order(events, state, exchange)
                now = self._clock.now()
                timeout_scope.deadline = (
                    anyio.current_time() + gap_timeout_ms / MS_PER_SECOND
                )
                # A frozen daemon wakes with events to read and the time for
                # them over. Ended between counting them as passed on and
                # writing them, the attempt was resumed behind them: seen as a
                # stream that lacked one. Writes have a time of their own.
                with anyio.CancelScope(shield=True):
                    if not state.head_sent:
                        state.head_sent = True
                        state.first_event_at = now
                        state.on_head()
                        await reply.begin(verdict.status, verdict.headers)
                    else:
                        state.longest_gap_ms = max(
                            state.longest_gap_ms, now - state.last_event_at
                        )
                    state.last_event_at = now
                    state.event_count += len(events)
                    await reply.part(b"".join(event.data for event in events))
        if reader.rest.strip():
            raise ExchangeError(
                "the stream ended within an event", sent=exchange.sent
            )
        with anyio.CancelScope(shield=True):
            if not state.head_sent:
                state.head_sent = True
                await reply.begin(verdict.status, verdict.headers)
            await reply.end()

    def _check_order(
        self,
        events: list[StreamEvent],
        state: StreamState,
        exchange: Exchange,
    ) -> None:
        for event in events:
            if event.number is None:
                continue
            expected = (
                None
                if state.last_event_number is None
                else state.last_event_number + 1
            )
            if expected is not None and event.number != expected:
                raise ExchangeError(
                    f"event {event.number} came in place of {expected}",
                    sent=exchange.sent,
                )
            state.last_event_number = event.number


def _timed_out(timeout_ms: float) -> AttemptResult:
    return AttemptResult(
        ran=Ran.UNKNOWN, detail=f"no answer in {timeout_ms:.0f} ms"
    )


def _from_exchange_error(error: ExchangeError) -> AttemptResult:
    return AttemptResult(
        ran=Ran.UNKNOWN if error.sent else Ran.NOT_RUN,
        detail=str(error),
        sent=error.sent,
        connection_broken=error.sent,
    )
