"""A small client for callers: asks for addresses, and calls one of them."""

from __future__ import annotations

import contextlib
import math
import random
from typing import TYPE_CHECKING, Any, Self

import attrs
import orjson
from opentelemetry import trace
from result import Err, Ok, Result

from cactusdyke import client_answers
from cactusdyke.client_tries import Tries, no_address
from cactusdyke.clock import Clock, SystemClock
from cactusdyke.errors import CactusdykeError, Failure, FailureKind
from cactusdyke.observe import tracing
from cactusdyke.transport import address_list
from cactusdyke.transport.address_list import AddressList
from cactusdyke.transport.http_network import HttpNetwork
from cactusdyke.transport.messages import (
    JSON_TYPE,
    Request,
)
from cactusdyke.transport.network import CallOptions, Network

if TYPE_CHECKING:
    from collections.abc import (
        AsyncGenerator,
        AsyncIterator,
        Iterator,
        Mapping,
        Sequence,
    )
    from types import TracebackType

    from opentelemetry.trace import Tracer

CONNECT_TIMEOUT_MS = 1_000.0
ANSWER_MARGIN_MS = 1_000.0
DEFAULT_DEADLINE_MS = 6_000.0
ADDRESSES_DEADLINE_MS = 500.0
FORGET_AFTER_MS = 500.0
"""How soon new addresses are asked for once one has failed."""


class Client:
    """Calls a deployment; use as an async context manager.

    With a tracer each call is a span of the caller's, and the daemon's spans
    belong to its trace.
    """

    def __init__(
        self,
        *,
        seeds: Sequence[str],
        token: str,
        network: Network | None = None,
        clock: Clock | None = None,
        rng: random.Random | None = None,
        tracer: Tracer | None = None,
    ) -> None:
        self._seeds = tuple(seeds)
        self._token = token
        self._network = network
        self._clock = clock or SystemClock()
        self._rng = rng or random.Random()
        self._tracer = tracer
        self._addresses: tuple[str, ...] = ()
        self._list_id = ""
        self._valid_until = 0.0
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> Self:
        if self._network is None:
            self._network = await self._stack.enter_async_context(HttpNetwork())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self._stack.aclose()

    def pin(self, address: str) -> None:
        """Keeps to one address, to ask a daemon about itself."""
        self._addresses = (address,)
        self._valid_until = math.inf

    def unpin(self) -> None:
        """Asks for addresses again before the next call."""
        self._addresses = ()
        self._valid_until = 0.0

    async def addresses(self) -> tuple[str, ...]:
        """Returns addresses to use, asking again once they have expired."""
        if self._clock.now() < self._valid_until:
            return self._addresses
        for address in dict.fromkeys((*self._addresses, *self._seeds)):
            answer = await self._fetch(
                address,
                self._request("/v1/addresses", None, None, None),
                ADDRESSES_DEADLINE_MS,
            )
            if isinstance(answer, Ok):
                self._keep(answer.ok_value)
                break
            self._forget(address)
        return self._addresses or self._seeds

    async def call(
        self,
        path: str,
        value: Any,
        *,
        deadline_ms: float = DEFAULT_DEADLINE_MS,
        idempotency_key: str | None = None,
        traceparent: str | None = None,
    ) -> Result[dict[str, Any], Failure]:
        """Calls `/v1/pipelines/NAME` or `/v1/services/NAME` for an answer."""
        with self._traced(f"call {path}", traceparent) as header:
            return await self._call(
                path,
                value,
                deadline_ms=deadline_ms,
                idempotency_key=idempotency_key,
                traceparent=header,
            )

    async def _call(
        self,
        path: str,
        value: Any,
        *,
        deadline_ms: float,
        idempotency_key: str | None,
        traceparent: str | None,
    ) -> Result[dict[str, Any], Failure]:
        tries = Tries(
            clock=self._clock,
            rng=self._rng,
            deadline_ms=deadline_ms,
            has_key=idempotency_key is not None,
        )
        while True:
            for address in await self._shuffled():
                if tries.remaining_ms <= 0:
                    break
                request = self._request(
                    path,
                    {"input": value, "deadline_ms": tries.remaining_ms},
                    idempotency_key,
                    traceparent,
                )
                answer = await self._fetch(address, request, tries.patience_ms)
                if isinstance(answer, Ok):
                    return answer
                tries.failed(answer.err_value)
                if not tries.may_move_on:
                    break
                self._forget(address)
            if not await tries.wait_until_next():
                return Err(tries.failure)

    async def stream(
        self,
        pipeline: str,
        value: Any,
        *,
        deadline_ms: float = DEFAULT_DEADLINE_MS,
        traceparent: str | None = None,
    ) -> AsyncIterator[client_answers.ServerSentEvent]:
        """Calls a pipeline and yields its answer's events.

        Raises:
            CactusdykeError: No answer began, or it broke off.
        """
        with self._traced(f"stream {pipeline}", traceparent) as header:
            events = self._stream(
                pipeline, value, deadline_ms=deadline_ms, traceparent=header
            )
            async with contextlib.aclosing(events):
                async for event in events:
                    yield event

    async def _stream(
        self,
        pipeline: str,
        value: Any,
        *,
        deadline_ms: float,
        traceparent: str | None,
    ) -> AsyncGenerator[client_answers.ServerSentEvent, None]:
        tries = Tries(
            clock=self._clock,
            rng=self._rng,
            deadline_ms=deadline_ms,
            has_key=False,
        )
        while True:
            for address in await self._shuffled():
                if tries.remaining_ms <= 0:
                    break
                remaining = tries.remaining_ms
                request = self._request(
                    f"/v1/pipelines/{pipeline}",
                    {"input": value, "deadline_ms": remaining, "stream": True},
                    None,
                    traceparent,
                )
                async with self._open_network().open(
                    address, request, _options(remaining)
                ) as opened:
                    if isinstance(opened, Ok):
                        self._correct(opened.ok_value.headers)
                    began = await client_answers.begun(opened)
                    if isinstance(began, Ok):
                        async for event in client_answers.events(
                            began.ok_value.chunks()
                        ):
                            yield event
                        return
                    tries.failed(began.err_value)
                if not tries.may_move_on:
                    break
                self._forget(address)
            if not await tries.wait_until_next():
                raise CactusdykeError(tries.failure)

    async def get(
        self, path: str, **query: str
    ) -> Result[dict[str, Any], Failure]:
        """Reads from the first address that answers."""
        request = attrs.evolve(
            self._request(path, None, None, None), query=query
        )
        failure = no_address()
        for address in await self._shuffled():
            answer = await self._fetch(address, request)
            if isinstance(answer, Ok):
                return answer
            failure = answer.err_value
        return Err(failure)

    async def post(
        self, path: str, value: Any
    ) -> Result[dict[str, Any], Failure]:
        """Sends a JSON object to the first address that can be reached."""
        failure = no_address()
        for address in await self._shuffled():
            answer = await self._fetch(
                address, self._request(path, value, None, None)
            )
            if isinstance(answer, Ok):
                return answer
            failure = answer.err_value
            if failure.kind is not FailureKind.NOT_SENT:
                return answer
        return Err(failure)

    @contextlib.contextmanager
    def _traced(
        self, name: str, traceparent: str | None
    ) -> Iterator[str | None]:
        """Gives the header to send; that of a new span if there is a tracer."""
        if self._tracer is None:
            yield traceparent
            return
        parent = tracing.parse_traceparent(traceparent)
        context = trace.set_span_in_context(parent) if parent else None
        with self._tracer.start_as_current_span(name, context=context) as span:
            yield tracing.traceparent(span)

    async def _shuffled(self) -> list[str]:
        addresses = list(await self.addresses())
        self._rng.shuffle(addresses)
        return addresses

    def _forget(self, address: str) -> None:
        """Leaves out an address that fails, and asks for new ones soon."""
        others = tuple(kept for kept in self._addresses if kept != address)
        if others and self._valid_until != math.inf:
            self._addresses = others
            soon = self._clock.now() + FORGET_AFTER_MS
            self._valid_until = min(self._valid_until, soon)

    def _keep(self, value: Mapping[str, Any]) -> None:
        listed = tuple(item["address"] for item in value["addresses"])
        if listed:
            self._use(
                AddressList(addresses=listed, lifetime_ms=value["lifetime_ms"])
            )

    def _correct(self, headers: Mapping[str, str]) -> None:
        """Takes over the list that a daemon tells who was not on the last."""
        told = address_list.from_headers(headers)
        if told is not None and self._valid_until != math.inf:
            self._use(told)

    def _use(self, told: AddressList) -> None:
        self._addresses = told.addresses
        self._list_id = told.list_id
        self._valid_until = self._clock.now() + told.lifetime_ms

    def _request(
        self,
        path: str,
        value: Any,
        idempotency_key: str | None,
        traceparent: str | None,
    ) -> Request:
        headers = {}
        if self._token:
            headers["authorization"] = f"Bearer {self._token}"
        if self._list_id:
            headers[address_list.LIST_HEADER] = self._list_id
        if idempotency_key is not None:
            headers["idempotency-key"] = idempotency_key
        if traceparent is not None:
            headers["traceparent"] = traceparent
        if value is None:
            return Request(method="GET", path=path, headers=headers)
        headers["content-type"] = JSON_TYPE
        return Request(
            method="POST",
            path=path,
            headers=headers,
            body=orjson.dumps(value),
        )

    async def _fetch(
        self,
        address: str,
        request: Request,
        deadline_ms: float = DEFAULT_DEADLINE_MS,
    ) -> Result[dict[str, Any], Failure]:
        answer = await self._open_network().fetch(
            address, request, _options(deadline_ms)
        )
        if isinstance(answer, Err):
            return answer
        self._correct(answer.ok_value.headers)
        return client_answers.parse(answer.ok_value)

    def _open_network(self) -> Network:
        if self._network is None:
            raise RuntimeError("use the client as an async context manager")
        return self._network


def _options(deadline_ms: float) -> CallOptions:
    return CallOptions(
        connect_timeout_ms=CONNECT_TIMEOUT_MS,
        progress_timeout_ms=deadline_ms + ANSWER_MARGIN_MS,
    )
