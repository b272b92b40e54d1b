"""Makes one non-idempotent call: claim, mark, dispatch, store the outcome."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

import attrs
from result import Err, Ok, Result

from cactusdyke import events
from cactusdyke.booking import answers
from cactusdyke.booking.record import Record, RecordState, StoredRecord
from cactusdyke.booking.records import Records, Superseded
from cactusdyke.booking.settling import Settler
from cactusdyke.errors import Failure, FailureKind, Ran

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from cactusdyke.booking.asking import Asker
    from cactusdyke.booking.call import Call
    from cactusdyke.booking.sending import Sender
    from cactusdyke.clock import Clock
    from cactusdyke.routing.router import Router

T = TypeVar("T")

STORE_PATIENCE_MS = 1_500.0
"""Longest wait for the store while a caller waits."""
FOLLOW_MS = 1_000.0
"""Longest wait for another daemon's call with the same key."""


class CallRunner:
    """Makes calls, each at most once for its key over all daemons.

    A record goes from open to dispatching by a conditional write that every
    daemon needs which wants to dispatch. Only one of them can succeed, and
    from then on no daemon claims the record again, however long its owner is
    silent.
    """

    def __init__(
        self,
        *,
        daemon: str,
        clock: Clock,
        records: Records,
        router: Router,
        sender: Sender,
        asker: Asker,
    ) -> None:
        self._daemon = daemon
        self._clock = clock
        self._records = records
        self._router = router
        self._sender = sender
        self._settler = Settler(clock=clock, records=records)
        self._asker = asker

    async def make(self, call: Call) -> None:
        """Makes a call, gives its answer and stores how it ended."""
        stored = await self._open(call)
        while stored is not None:
            record = stored.record
            if record.content != call.content:
                call.give(Err(answers.key_reused()))
                return
            if record.may_be_claimed:
                stored = await self._mark(call, stored)
            elif record.nonce == call.nonce:
                await self._dispatch(call, stored)
                return
            else:
                stored = await self._follow(call, stored)

    async def _open(self, call: Call) -> StoredRecord | None:
        """Creates the record, or returns the one that is there."""
        record = self._record(call, RecordState.OPEN)
        created = await self._patiently(
            call, self._records.create(call.key, record)
        )
        if isinstance(created, Err):
            if created.err_value.kind is FailureKind.STORE_CONFLICT:
                call.give(Err(answers.in_progress("The record can't be read")))
                return None
            # The create may still land, long after this. It says open, and
            # whoever needs the key next claims it: `not_run` stays true, and
            # the key is not blocked by a call that was never made.
            call.give(Err(answers.store_down(created.err_value)))
            return None
        outcome = created.ok_value
        if isinstance(outcome, Superseded):
            return self._found(call, outcome.stored)
        return StoredRecord(record=record, version=outcome.version)

    async def _mark(
        self, call: Call, stored: StoredRecord
    ) -> StoredRecord | None:
        """Claims a record for dispatch; the condition is its version.

        An owner that was paused since it created the record, and finds it
        claimed by another daemon, fails here: the version has grown.
        """
        if call.context.remaining_ms(self._clock) <= 0:
            call.give(Err(answers.too_late()))
            return None
        pool = call.context.configuration.pools[call.service.pool]
        if self._router.choose(pool) is None:
            call.give(Err(answers.no_backend_server(call.service)))
            return None
        record = self._record(call, RecordState.DISPATCHING)
        marked = await self._patiently(
            call,
            self._records.replace(call.key, record, if_version=stored.version),
        )
        if isinstance(marked, Err):
            if marked.err_value.ran is Ran.NOT_RUN:
                call.give(Err(answers.store_down(marked.err_value)))
            else:
                await self._withdraw(
                    call, record, stored.version, marked.err_value
                )
            return None
        outcome = marked.ok_value
        if isinstance(outcome, Superseded):
            return self._found(call, outcome.stored)
        if stored.record.nonce != call.nonce:
            events.log(
                events.Event.BOOKING_CLAIMED,
                request_id=call.context.request_id,
                owner=stored.record.owner,
            )
        return StoredRecord(record=record, version=outcome.version)

    async def _withdraw(
        self, call: Call, record: Record, version: int, failure: Failure
    ) -> None:
        """Gives up a call whose mark may be in the store, or yet land there.

        Nothing was sent. But a mark that lands with nobody behind it blocks
        the key for ever (seen as `unknown` for a call that was never made),
        so `not_run` isn't said before the record says it too. The write that
        says so is conditional on the version that the late mark needs.
        """
        events.log(
            events.Event.BOOKING_WITHDRAWN,
            request_id=call.context.request_id,
            detail=failure.detail,
        )
        call.give(Err(answers.in_progress("The store's answer was lost")))
        not_run = attrs.evolve(record, state=RecordState.NOT_RUN)
        await self._settler.settle(call, not_run, version)

    async def _follow(
        self, call: Call, stored: StoredRecord
    ) -> StoredRecord | None:
        """Waits a while for a call that somebody else makes."""
        if stored.record.state is RecordState.DONE:
            call.give(answers.answer_from(stored.record))
            return None
        if stored.record.state is RecordState.UNKNOWN:
            await self._ask(
                call, stored, answers.unknown("Its answer was lost")
            )
            return None
        if answers.is_over(stored.record, wall=self._clock.wall()):
            lost = "The daemon that made the call was lost"
            await self._ask(call, stored, answers.unknown(lost))
            return None
        remaining = call.context.remaining_ms(self._clock)
        wait_ms = min(FOLLOW_MS, remaining)
        if wait_ms <= 0:
            call.give(Err(answers.in_progress()))
            return None
        followed = await self._patiently(
            call,
            self._records.wait(
                call.key, above_version=stored.version, wait_ms=wait_ms
            ),
        )
        if isinstance(followed, Ok) and followed.ok_value is not None:
            return followed.ok_value
        await self._ask(call, stored, answers.in_progress())
        return None

    async def _ask(
        self, call: Call, stored: StoredRecord, otherwise: Failure
    ) -> None:
        """Answers from the service, if it can be asked and knows the call."""
        found = await self._asker.find(call)
        if found is None:
            call.give(Err(otherwise))
            return
        call.give(Ok(found.output))
        done = stored.record.with_output(found.output)
        await self._settler.settle(call, done, stored.version)

    async def _dispatch(self, call: Call, marked: StoredRecord) -> None:
        """Sends a call whose record says dispatching, and stores the end.

        The daemon may be paused for any time between the mark and the send.
        Nobody claims a record that says dispatching, so the late send is
        still the only one; all that others say meanwhile is `unknown`.
        """
        answer = await self._sender.send(call)
        if isinstance(answer, Err) and answer.err_value.ran is Ran.UNKNOWN:
            found = await self._asker.find(call)
            if found is not None:
                answer = Ok(found.output)
        record = marked.record
        match answer:
            case Ok(output):
                call.give(Ok(output))
                done = record.with_output(output)
                await self._settler.settle(call, done, marked.version)
            case Err(failure) if failure.ran is Ran.NOT_RUN:
                not_run = attrs.evolve(record, state=RecordState.NOT_RUN)
                await self._refuse(call, not_run, marked.version, failure)
            case Err(failure):
                events.log(
                    events.Event.BOOKING_OUTCOME_UNKNOWN,
                    request_id=call.context.request_id,
                    idempotency_key=call.service_key,
                    detail=failure.detail,
                )
                call.give(Err(answers.unknown(failure.detail)))
                lost = attrs.evolve(record, state=RecordState.UNKNOWN)
                await self._settler.settle(call, lost, marked.version)

    async def _refuse(
        self, call: Call, not_run: Record, version: int, failure: Failure
    ) -> None:
        """Says `not_run` once the record says it, or promises an answer."""
        settled = False
        with self._clock.timeout(STORE_PATIENCE_MS):
            settled = await self._settler.settle(call, not_run, version)
        if settled:
            call.give(Err(failure))
            return
        call.give(Err(answers.in_progress("The store does not answer")))
        await self._settler.settle(call, not_run, version)

    def _record(self, call: Call, state: RecordState) -> Record:
        return call.record(state, owner=self._daemon, clock=self._clock)

    def _found(
        self, call: Call, stored: StoredRecord | None
    ) -> StoredRecord | None:
        if stored is None:
            call.give(Err(answers.in_progress("The record was deleted")))
        return stored

    async def _patiently(
        self, call: Call, waiting: Awaitable[Result[T, Failure]]
    ) -> Result[T, Failure]:
        """Waits for the store as long as the caller can spare."""
        remaining = call.context.remaining_ms(self._clock)
        with self._clock.timeout(min(STORE_PATIENCE_MS, remaining)):
            return await waiting
        return Err(
            Failure(
                kind=FailureKind.STORE_UNAVAILABLE,
                detail="The object service did not answer in time",
                ran=Ran.UNKNOWN,
            )
        )
