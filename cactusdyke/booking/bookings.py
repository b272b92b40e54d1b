"""Runs non-idempotent calls at most once, with records in the store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs
from result import Err, Ok, Result

from cactusdyke import events
from cactusdyke.booking.record import Record, RecordState, decode, record_key
from cactusdyke.errors import Failure, FailureKind, Ran
from cactusdyke.kernel import Service
from cactusdyke.platform.object_store import MUST_NOT_EXIST
from cactusdyke.routing.messages import StageCall
from cactusdyke.util import jsonc

if TYPE_CHECKING:
    import random

    from cactusdyke.clock import Clock
    from cactusdyke.configuration.model import PlainService
    from cactusdyke.pipeline.request import RequestContext
    from cactusdyke.platform.object_store import ObjectStore
    from cactusdyke.routing.backend_client import BackendClient
    from cactusdyke.routing.router import Router

RETRY_AFTER_MS = 1_000


class Bookings(Service):
    """Makes a call only after its record was created by this daemon."""

    def __init__(
        self,
        *,
        daemon: str,
        clock: Clock,
        rng: random.Random,
        object_store: ObjectStore,
        router: Router,
        client: BackendClient,
    ) -> None:
        self._daemon = daemon
        self._clock = clock
        self._rng = rng
        self._object_store = object_store
        self._router = router
        self._client = client

    async def book(
        self, context: RequestContext, service: PlainService
    ) -> Result[Any, Failure]:
        """Makes the call, or answers with what the record says of it."""
        assert context.idempotency_key is not None
        key = record_key(context.customer.name, context.idempotency_key)
        record = Record(
            state=RecordState.OPEN,
            owner=self._daemon,
            nonce=f"{self._rng.getrandbits(128):032x}",
            content=jsonc.digest(
                jsonc.canonical([service.name, context.input])
            ),
            created_at=self._clock.wall(),
        )
        created = await self._object_store.write(
            key, record.encode(), if_version=MUST_NOT_EXIST
        )
        match created:
            case Ok(version):
                return await self._dispatch(
                    context, service, key, record, version
                )
            case Err(failure) if failure.kind is FailureKind.STORE_CONFLICT:
                return await self._existing(key, record)
            case Err(failure):
                return Err(_store_down(failure))

    async def find(
        self, customer: str, idempotency_key: str
    ) -> Result[Record | None, Failure]:
        """Returns the record of a key, or None where there is none."""
        stored = await self._object_store.read(
            record_key(customer, idempotency_key)
        )
        if isinstance(stored, Err):
            return stored
        if stored.ok_value is None:
            return Ok(None)
        return decode(stored.ok_value.value)

    async def _existing(self, key: str, wanted: Record) -> Result[Any, Failure]:
        stored = await self._object_store.read(key)
        if isinstance(stored, Err):
            return stored
        if stored.ok_value is None:
            return Err(_in_progress())
        decoded = decode(stored.ok_value.value)
        if isinstance(decoded, Err):
            return decoded
        return answer_from(decoded.ok_value, wanted.content)

    async def _dispatch(
        self,
        context: RequestContext,
        service: PlainService,
        key: str,
        record: Record,
        version: int,
    ) -> Result[Any, Failure]:
        pool = context.configuration.pools[service.pool]
        server = self._router.choose(pool)
        if server is None:
            await self._finish(key, record, version, RecordState.NOT_RUN)
            return Err(_no_server(service))
        remaining = context.remaining_ms(self._clock)
        call = StageCall(
            request_id=context.request_id,
            stage=service.name,
            attempt=1,
            model="",
            input=context.input,
            remaining_ms=remaining,
        )
        with self._router.in_flight(server):
            answer = await self._client.call(
                server, call, progress_timeout_ms=remaining, fresh=True
            )
        if isinstance(answer, Ok):
            output = answer.ok_value.output
            await self._finish(key, record, version, RecordState.DONE, output)
            return Ok(output)
        if answer.err_value.ran is Ran.NOT_RUN:
            await self._finish(key, record, version, RecordState.NOT_RUN)
            return answer
        events.log(
            events.Event.BOOKING_OUTCOME_UNKNOWN,
            request_id=context.request_id,
            detail=answer.err_value.detail,
        )
        await self._finish(key, record, version, RecordState.UNKNOWN)
        return Err(_unknown(answer.err_value.detail))

    async def _finish(
        self,
        key: str,
        record: Record,
        version: int,
        state: RecordState,
        output: Any = None,
    ) -> None:
        finished = attrs.evolve(record, state=state, output=output)
        await self._object_store.write(
            key, finished.encode(), if_version=version
        )


def answer_from(record: Record, content: str) -> Result[Any, Failure]:
    """Returns what a record says to a caller who sends `content`."""
    if record.content != content:
        return Err(
            Failure(
                kind=FailureKind.KEY_REUSED,
                detail="The idempotency key was used for another request",
            )
        )
    match record.state:
        case RecordState.DONE:
            return Ok(record.output)
        case RecordState.NOT_RUN:
            return Err(
                Failure(
                    kind=FailureKind.BACKEND_FAILED,
                    detail="The call did not run; use a new key",
                )
            )
        case RecordState.UNKNOWN:
            return Err(_unknown("The call's answer was lost"))
        case RecordState.OPEN:
            return Err(_in_progress())


def _unknown(detail: str) -> Failure:
    return Failure(
        kind=FailureKind.OUTCOME_UNKNOWN, detail=detail, ran=Ran.UNKNOWN
    )


def _in_progress() -> Failure:
    return Failure(
        kind=FailureKind.IN_PROGRESS,
        detail="A call with this key is under way",
        ran=Ran.UNKNOWN,
        retry_after_ms=RETRY_AFTER_MS,
    )


def _no_server(service: PlainService) -> Failure:
    return Failure(
        kind=FailureKind.NO_BACKEND_SERVER,
        detail=f"No backend server of {service.name} can be chosen",
        retry_after_ms=RETRY_AFTER_MS,
    )


def _store_down(failure: Failure) -> Failure:
    return Failure(
        kind=FailureKind.STORE_UNAVAILABLE,
        detail=f"The call was not recorded and not made: {failure.detail}",
        retry_after_ms=RETRY_AFTER_MS,
    )
