"""One attempt at a streamed answer, from its opening to its end event."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from cactusdyke.errors import CactusdykeError, Failure
from cactusdyke.pipeline.attempts import timeout_failure
from cactusdyke.routing.messages import StreamEnd, TokenBatch
from cactusdyke.transport.network import ProgressLimit

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, Callable

    from cactusdyke.clock import Clock, Instant
    from cactusdyke.configuration.model import BackendServer
    from cactusdyke.pipeline.attempts import AttemptRecord, Attempts
    from cactusdyke.pipeline.work import StageWork
    from cactusdyke.routing.messages import StageCall


class StreamAttempt:
    """Opens a stream and returns its parts one at a time.

    It may be opened in one task and read in another, so no cancel scope stays
    open between calls. The caller of `open` must call `close`.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        attempts: Attempts,
        work: StageWork,
        server: BackendServer,
        call: StageCall,
        fresh: bool,
        may_give_up: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._attempts = attempts
        self._work = work
        self._server = server
        self._call = call
        self._fresh = fresh
        self._progress_limit = ProgressLimit(until=0.0, may_give_up=may_give_up)
        self._stack = contextlib.AsyncExitStack()
        self._parts: AsyncGenerator[TokenBatch | StreamEnd, None] | None = None
        self._record: AttemptRecord | None = None
        self._first_part: TokenBatch | StreamEnd | None = None

    @property
    def server(self) -> BackendServer:
        """The backend server that is called."""
        return self._server

    async def open(
        self, *, until: Instant, latest: Instant
    ) -> Result[StreamAttempt, Failure]:
        """Waits for the first part; closes the attempt if it fails.

        Args:
            until: When the attempt may be given up for another one.
            latest: When it is given up in any case.
        """
        failure: Failure | None = timeout_failure(self._server)
        opened = False
        try:
            with self._clock.timeout(latest - self._clock.now()):
                failure = await self._open(until, latest)
            opened = failure is None
            if failure is not None and self._record is not None:
                self._record.set_failed(failure)
        finally:
            if not opened:
                await self.close()
        return Ok(self) if failure is None else Err(failure)

    async def next_part(
        self, *, until: Instant, latest: Instant
    ) -> Result[TokenBatch | StreamEnd, Failure]:
        """Returns the next part, starting with the first one.

        Args:
            until: When the attempt may be given up for another one.
            latest: When it is given up in any case.
        """
        if self._first_part is not None:
            part, self._first_part = self._first_part, None
            return Ok(part)
        return await self._read(until, latest)

    async def close(self) -> None:
        """Ends the attempt; closes the connection of an unfinished one."""
        await self._stack.aclose()

    async def _open(self, until: Instant, latest: Instant) -> Failure | None:
        began = self._clock.now()
        self._record = self._stack.enter_context(
            self._attempts.track(self._work, self._server, self._call)
        )
        stream = self._attempts.client.stream(
            self._server,
            self._call,
            limit=self._progress_limit,
            connect_timeout_ms=until - began,
            fresh=self._fresh,
            traceparent=self._record.traceparent,
        )
        self._parts = await self._stack.enter_async_context(
            contextlib.aclosing(stream)
        )
        first = await self._read(until, latest)
        if isinstance(first, Err):
            return first.err_value
        self._first_part = first.ok_value
        self._record.typical_ms = self._clock.now() - began
        return None

    async def _read(
        self, until: Instant, latest: Instant
    ) -> Result[TokenBatch | StreamEnd, Failure]:
        assert self._parts is not None
        assert self._record is not None
        self._progress_limit.until = until
        self._progress_limit.latest = latest
        try:
            part = await anext(self._parts)
        except CactusdykeError as error:
            self._record.set_failed(error.failure)
            return Err(error.failure)
        if isinstance(part, StreamEnd):
            self._record.set_succeeded(part.busy_ms)
            self._attempts.record_load(self._server, part.load)
        return Ok(part)
