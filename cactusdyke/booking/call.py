"""A non-idempotent call that is under way at this daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio

from cactusdyke.booking.record import Record, RecordState, record_key
from cactusdyke.util import jsonc

if TYPE_CHECKING:
    from result import Result

    from cactusdyke.clock import Clock
    from cactusdyke.configuration.model import PlainService
    from cactusdyke.errors import Failure
    from cactusdyke.pipeline.request import RequestContext


class Call:
    """One claim on a key, and the answer that its callers wait for."""

    def __init__(
        self,
        *,
        context: RequestContext,
        service: PlainService,
        nonce: str,
    ) -> None:
        assert context.idempotency_key is not None
        self._context = context
        self._service = service
        self._nonce = nonce
        self._answer: Result[Any, Failure] | None = None
        self._answered = anyio.Event()
        self._key = record_key(context.customer.name, context.idempotency_key)
        self._content = content_of(context, service)

    @property
    def context(self) -> RequestContext:
        """The request that began the call."""
        return self._context

    @property
    def service(self) -> PlainService:
        """The service that is called."""
        return self._service

    @property
    def key(self) -> str:
        """The key of the call's record."""
        return self._key

    @property
    def content(self) -> str:
        """Digest of what the caller asked for."""
        return self._content

    @property
    def nonce(self) -> str:
        """Tells this claim from every other."""
        return self._nonce

    @property
    def service_key(self) -> str:
        """What names the call towards the plain service."""
        context = self._context
        return f"{context.customer.name}/{context.idempotency_key}"

    @property
    def answer(self) -> Result[Any, Failure] | None:
        """The answer, once there is one."""
        return self._answer

    def give(self, answer: Result[Any, Failure]) -> None:
        """Sets the answer, the first time, and lets its callers go on."""
        if self._answer is None:
            self._answer = answer
            self._answered.set()

    async def wait(self) -> None:
        """Waits until there is an answer."""
        await self._answered.wait()

    def record(self, state: RecordState, *, owner: str, clock: Clock) -> Record:
        """Returns the record of this claim."""
        wall = clock.wall()
        remaining = max(0.0, self._context.remaining_ms(clock))
        return Record(
            state=state,
            owner=owner,
            nonce=self._nonce,
            content=self._content,
            request_id=self._context.request_id,
            created_at=wall,
            expires_at=wall + int(remaining),
        )


def content_of(context: RequestContext, service: PlainService) -> str:
    """Returns the digest of what a caller asks for."""
    return jsonc.digest(jsonc.canonical([service.name, context.input]))
