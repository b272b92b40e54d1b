"""Makes one non-idempotent call: claim, mark, dispatch, store the outcome."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

import attrs
from result import Err, Ok, Result

from cactusdyke import events
from cactusdyke.booking import answers
from cactusdyke.booking.record import Record, RecordState, StoredRecord
from cactusdyke.booking.records import Records, Superseded, Written
from cactusdyke.errors import Failure, FailureKind, Ran
from cactusdyke.routing.messages import StageCall

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from cactusdyke.booking.call import Call
    from cactusdyke.clock import Clock
    from cactusdyke.routing.backend_client import BackendClient
    from cactusdyke.routing.router import Router

T = TypeVar("T")

STORE_PATIENCE_MS = 1_500.0
"""Longest wait for the store while a caller waits."""
FOLLOW_MS = 1_000.0
"""Longest wait for another daemon's call with the same key."""
SERVERS_PER_CALL = 3
SETTLE_FOR_MS = 600_000.0
SETTLE_PAUSE_MS = 100.0
MAX_SETTLE_PAUSE_MS = 5_000.0


class CallMaker:
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
        client: BackendClient,
    ) -> None:
        self._daemon = daemon
        self._clock = clock
        self._records = records
        self._router = router
        self._client = client

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
        await self._settle(call, not_run, version)

    async def _follow(
        self, call: Call, stored: StoredRecord
    ) -> StoredRecord | None:
        """Waits a while for a call that somebody else makes."""
        if stored.record.state is not RecordState.DISPATCHING:
            call.give(answers.answer_from(stored.record))
            return None
        if answers.is_over(stored.record, wall=self._clock.wall()):
            lost = "The daemon that made the call was lost"
            call.give(Err(answers.unknown(lost)))
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
        call.give(Err(answers.in_progress()))
        return None

    async def _dispatch(self, call: Call, marked: StoredRecord) -> None:
        """Sends a call whose record says dispatching, and stores the end.

        The daemon may be paused for any time between the mark and the send.
        Nobody claims a record that says dispatching, so the late send is
        still the only one; all that others say meanwhile is `unknown`.
        """
        answer = await self._send(call)
        record = marked.record
        match answer:
            case Ok(output):
                call.give(Ok(output))
                done = record.with_output(output)
                await self._settle(call, done, marked.version)
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
                await self._settle(call, lost, marked.version)

    async def _send(self, call: Call) -> Result[Any, Failure]:
        """Hands the call to one backend server after the other.

        The next one is tried only after the one before is known not to have
        run the call: nothing was handed over, or it says so itself.
        """
        pool = call.context.configuration.pools[call.service.pool]
        tried: list[str] = []
        failure = answers.no_backend_server(call.service)
        for attempt in range(1, SERVERS_PER_CALL + 1):
            server = self._router.choose(pool, exclude=tried)
            if server is None:
                break
            remaining = call.context.remaining_ms(self._clock)
            # The clock counts pauses: an owner that wakes after its caller
            # has gone finds the time spent, and leaves the call unmade.
            if remaining <= 0:
                return Err(answers.too_late())
            tried.append(server.name)
            stage_call = StageCall(
                request_id=call.context.request_id,
                stage=call.service.name,
                attempt=attempt,
                model="",
                input=call.context.input,
                remaining_ms=remaining,
                idempotency_key=call.service_key,
            )
            patience_ms = remaining + answers.LATE_ANSWER_MS
            answer: Result[Any, Failure] = Err(
                answers.unknown(f"{server.name} did not answer in time")
            )
            with (
                self._clock.timeout(patience_ms),
                self._router.in_flight(server),
            ):
                answer = await self._client.call(
                    server,
                    stage_call,
                    progress_timeout_ms=patience_ms,
                    fresh=True,
                )
            if isinstance(answer, Ok):
                return Ok(answer.ok_value.output)
            if answer.err_value.ran is not Ran.NOT_RUN:
                return answer
            failure = answer.err_value
        return Err(failure)

    async def _refuse(
        self, call: Call, not_run: Record, version: int, failure: Failure
    ) -> None:
        """Says `not_run` once the record says it, or promises an answer."""
        settled = False
        with self._clock.timeout(STORE_PATIENCE_MS):
            settled = await self._settle(call, not_run, version)
        if settled:
            call.give(Err(failure))
            return
        call.give(Err(answers.in_progress("The store does not answer")))
        await self._settle(call, not_run, version)

    async def _settle(self, call: Call, final: Record, version: int) -> bool:
        """Writes a claim's last state, for as long as that makes sense."""
        give_up_at = self._clock.now() + SETTLE_FOR_MS
        pause_ms = SETTLE_PAUSE_MS
        while self._clock.now() < give_up_at:
            written = await self._records.replace(
                call.key, final, if_version=version
            )
            match written:
                case Ok(Written()):
                    return True
                case Ok(Superseded(stored=stored)):
                    if stored is None or stored.record.nonce != call.nonce:
                        return True
                    version = stored.version
                case Err():
                    await self._clock.sleep(pause_ms)
                    pause_ms = min(2 * pause_ms, MAX_SETTLE_PAUSE_MS)
        events.log(
            events.Event.BOOKING_NOT_STORED,
            request_id=call.context.request_id,
            idempotency_key=call.service_key,
            state=str(final.state),
        )
        return False

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
