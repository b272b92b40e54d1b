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

MOST_WHOLE_BODY_BYTES = 8 * 1024 * 1024
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
    broken: bool = False

    @property
    def inputs_gone(self) -> bool:
        """Whether a stage's result was gone."""
        return self._is(AnswerKind.INPUTS_GONE)

    @property
    def ran_to_its_end(self) -> bool:
        """Whether the replica has given its whole answer, a failure or not."""
        whole = self.delivered or self.body is not None
        return whole and self._is(AnswerKind.ANSWER)

    @property
    def wrong_replica(self) -> bool:
        """Whether another replica has the address."""
        return self._is(AnswerKind.WRONG_REPLICA)

    @property
    def refused(self) -> bool:
        """Whether the replica had no place."""
        return self._is(AnswerKind.REFUSED)

    def _is(self, kind: AnswerKind) -> bool:
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

    begun: bool = False
    last: int | None = None
    first_event_at: Instant | None = None
    longest_gap_ms: float = 0.0
    event_at: Instant = 0.0
    events: int = 0
    on_begin: Callable[[], None] = lambda: None


class Attempts:
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

    async def whole(
        self,
        context: ServingContext,
        replica: Replica,
        *,
        handles: Sequence[str],
        timeout_ms: float,
    ) -> AttemptResult:
        """Makes an attempt and reads its answer whole."""
        result = _no_answer(timeout_ms)
        exchange: Exchange | None = None
        with self._clock.timeout(timeout_ms):
            try:
                async with self._connections.connect(
                    replica.address
                ) as exchange:
                    await self._send(exchange, context, replica, handles, None)
                    result = await self._read_whole(exchange, context)
            except ExchangeError as error:
                return _broken(error)
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
        first_wait_ms: float,
        gap_wait_ms: float,
        on_first: Callable[[], None],
    ) -> AttemptResult:
        """Makes an attempt and passes its events on as they come.

        Args:
            context: The request.
            replica: Where to send it.
            reply: Where events go.
            state: What the caller has got so far; carried on.
            handles: The results that the request needs.
            first_wait_ms: Longest wait for the first event.
            gap_wait_ms: Longest wait between two events.
            on_first: Called with the first event of this attempt.
        """
        result = _no_answer(first_wait_ms)
        sent = False
        try:
            with self._clock.timeout(first_wait_ms) as wait:
                async with self._connections.connect(
                    replica.address
                ) as exchange:
                    sent = True
                    await self._send(
                        exchange, context, replica, handles, state.last
                    )
                    head = await exchange.head()
                    verdict = self._dialect.decode_answer(context, head)
                    if not (verdict.succeeded and verdict.is_event_stream):
                        return await self._judge(exchange, verdict)
                    await self._pass_on(
                        exchange,
                        verdict,
                        reply,
                        state,
                        wait=wait,
                        gap_wait_ms=gap_wait_ms,
                        on_first=on_first,
                    )
                    result = AttemptResult(
                        ran=Ran.RAN,
                        detail="",
                        verdict=verdict,
                        delivered=True,
                    )
        except ExchangeError as error:
            return _broken(error)
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
        return await self._judge(
            exchange, self._dialect.decode_answer(context, head)
        )

    async def _judge(
        self, exchange: Exchange, verdict: AnswerVerdict
    ) -> AttemptResult:
        if verdict.kind is AnswerKind.ANSWER:
            body = await exchange.whole_body(most=MOST_WHOLE_BODY_BYTES)
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

    async def _pass_on(
        self,
        exchange: Exchange,
        verdict: AnswerVerdict,
        reply: Reply,
        state: StreamState,
        *,
        wait: anyio.CancelScope,
        gap_wait_ms: float,
        on_first: Callable[[], None],
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
                    on_first()
                self._check_order(events, state, exchange)
                now = self._clock.now()
                wait.deadline = (
                    anyio.current_time() + gap_wait_ms / MS_PER_SECOND
                )
                # A frozen daemon wakes with events to read and the time for
                # them over. Ended between counting them as passed on and
                # writing them, the attempt was resumed behind them: seen as a
                # stream that lacked one. Writes have a time of their own.
                with anyio.CancelScope(shield=True):
                    if not state.begun:
                        state.begun = True
                        state.first_event_at = now
                        state.on_begin()
                        await reply.begin(verdict.status, verdict.headers)
                    else:
                        state.longest_gap_ms = max(
                            state.longest_gap_ms, now - state.event_at
                        )
                    state.event_at = now
                    state.events += len(events)
                    await reply.part(b"".join(event.data for event in events))
        if reader.remainder.strip():
            raise ExchangeError(
                "the stream ended within an event", sent=exchange.sent
            )
        with anyio.CancelScope(shield=True):
            if not state.begun:
                state.begun = True
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
            expected = None if state.last is None else state.last + 1
            if expected is not None and event.number != expected:
                raise ExchangeError(
                    f"event {event.number} came in place of {expected}",
                    sent=exchange.sent,
                )
            state.last = event.number


def _no_answer(timeout_ms: float) -> AttemptResult:
    return AttemptResult(
        ran=Ran.UNKNOWN, detail=f"no answer in {timeout_ms:.0f} ms"
    )


def _broken(error: ExchangeError) -> AttemptResult:
    return AttemptResult(
        ran=Ran.UNKNOWN if error.sent else Ran.NOT_RUN,
        detail=str(error),
        sent=error.sent,
        broken=error.sent,
    )
