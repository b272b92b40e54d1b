"""Runs non-idempotent calls at most once, with records in the store."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, Any, Self

import anyio
from result import Err, Ok, Result

from cactusdyke import events
from cactusdyke.background import run_contained
from cactusdyke.booking import answers
from cactusdyke.booking.call import Call, content_of
from cactusdyke.booking.record import record_key
from cactusdyke.kernel import Service

if TYPE_CHECKING:
    import random
    from types import TracebackType

    from cactusdyke.booking.answers import Outcome
    from cactusdyke.booking.call_runner import CallRunner
    from cactusdyke.booking.records import Records
    from cactusdyke.clock import Clock
    from cactusdyke.configuration.model import PlainService
    from cactusdyke.errors import Failure
    from cactusdyke.pipeline.request import RequestContext

MAX_CALLS = 512
"""Calls under way or waiting to be recorded; bounds the memory they take."""
ANSWER_GRACE_MS = 50.0
DRAIN_MS = 30_000.0


class Bookings(Service):
    """The calls under way at this daemon, each in a task of its own.

    A caller that leaves, or whose deadline passes, does not end its call:
    the answer is still stored for whoever asks with the key.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        records: Records,
        maker: CallRunner,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._records = records
        self._maker = maker
        self._calls: dict[str, Call] = {}
        self._changed = anyio.Event()
        self._stack = contextlib.AsyncExitStack()

    @property
    def count(self) -> int:
        """How many calls are under way or wait to be recorded."""
        return len(self._calls)

    async def __aenter__(self) -> Self:
        self._tasks = await self._stack.enter_async_context(
            anyio.create_task_group()
        )
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._tasks.cancel_scope.cancel()
        await self._stack.__aexit__(kind, error, trace)

    async def drain(self) -> None:
        """Waits until every call has ended and its outcome is stored."""
        with self._clock.timeout(DRAIN_MS):
            while self._calls:
                await self._changed.wait()
        for call in self._calls.values():
            events.log(
                events.Event.BOOKING_NOT_STORED,
                request_id=call.context.request_id,
                idempotency_key=call.service_key,
            )

    async def book(
        self, context: RequestContext, service: PlainService
    ) -> Result[Any, Failure]:
        """Makes the call, or answers with what the record says of it."""
        assert context.idempotency_key is not None
        key = record_key(context.customer.name, context.idempotency_key)
        call = self._calls.get(key)
        if call is None:
            if len(self._calls) >= MAX_CALLS:
                return Err(answers.overloaded())
            call = Call(
                context=context,
                service=service,
                nonce=f"{self._rng.getrandbits(128):032x}",
            )
            self._calls[key] = call
            self._tasks.start_soon(run_contained, self._run, call)
        elif call.content != content_of(context, service):
            return Err(answers.key_reused())
        remaining = context.remaining_ms(self._clock)
        with self._clock.timeout(remaining + ANSWER_GRACE_MS):
            await call.wait()
        if call.answer is not None:
            return call.answer
        return Err(
            answers.in_progress("The deadline passed while the call ran")
        )

    async def find(
        self, customer: str, idempotency_key: str
    ) -> Result[Outcome | None, Failure]:
        """Returns how the call of a key stands, or None if there is none."""
        key = record_key(customer, idempotency_key)
        call = self._calls.get(key)
        if call is not None and isinstance(call.answer, Ok):
            return Ok(answers.done(call.answer.ok_value))
        stored = await self._records.read(key)
        if isinstance(stored, Err):
            return stored
        if stored.ok_value is None:
            return Ok(None)
        record = stored.ok_value.record
        return Ok(answers.outcome_of(record, wall=self._clock.wall()))

    async def _run(self, call: Call) -> None:
        try:
            await self._maker.make(call)
        except Exception as error:
            events.log(
                events.Event.INTERNAL_ERROR,
                request_id=call.context.request_id,
                error=repr(error),
            )
            call.give(Err(answers.unknown("The daemon met an error")))
        finally:
            del self._calls[call.key]
            self._changed.set()
            self._changed = anyio.Event()
