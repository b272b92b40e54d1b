"""Control calls between daemons, with counts of messages and bytes."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Any

import orjson
import prometheus_client
from result import Err, Ok, Result

from cactusdyke.errors import Failure, FailureKind
from cactusdyke.kernel import Service
from cactusdyke.transport.messages import JSON_TYPE, Request, parse_object
from cactusdyke.transport.network import CallOptions

if TYPE_CHECKING:
    from cactusdyke.transport.network import Network

HEADER_BYTES = 120
"""Estimated size of the HTTP head of a small request or answer."""


class ControlTraffic(Service):
    """Counts control messages and bytes sent, by kind of message."""

    def __init__(self, registry: prometheus_client.CollectorRegistry) -> None:
        self._messages = prometheus_client.Counter(
            "cactusdyke_control_messages",
            "Control messages sent, answers not counted.",
            ("kind",),
            registry=registry,
        )
        self._bytes = prometheus_client.Counter(
            "cactusdyke_control_bytes",
            "Bytes of control sent, heads counted with an estimate.",
            ("kind",),
            registry=registry,
        )
        self._by_kind: collections.Counter[str] = collections.Counter()
        self.messages_sent = 0
        self.bytes_sent = 0

    def count_message(self, kind: str, body: bytes) -> None:
        """Counts a message and its bytes."""
        self.messages_sent += 1
        self._by_kind[kind] += 1
        self._messages.labels(kind).inc()
        self._count_bytes(kind, body)

    def messages_of(self, kind: str) -> int:
        """Returns how many messages of a kind were sent."""
        return self._by_kind[kind]

    def count_answer(self, body: bytes) -> None:
        """Counts the bytes of an answer."""
        self._count_bytes("answer", body)

    def _count_bytes(self, kind: str, body: bytes) -> None:
        size = HEADER_BYTES + len(body)
        self.bytes_sent += size
        self._bytes.labels(kind).inc(size)


class ControlClient(Service):
    """Sends JSON objects to other daemons and to backend servers."""

    def __init__(self, *, network: Network, traffic: ControlTraffic) -> None:
        self._network = network
        self._traffic = traffic

    async def post(
        self,
        kind: str,
        address: str,
        path: str,
        value: Any,
        *,
        timeout_ms: float,
    ) -> Result[dict[str, Any], Failure]:
        """Posts a JSON object and returns the JSON object of the answer."""
        request = Request(
            method="POST",
            path=path,
            headers={"content-type": JSON_TYPE},
            body=orjson.dumps(value),
        )
        return await self._call(kind, address, request, timeout_ms)

    async def get(
        self, kind: str, address: str, path: str, *, timeout_ms: float
    ) -> Result[dict[str, Any], Failure]:
        """Gets a JSON object."""
        request = Request(method="GET", path=path)
        return await self._call(kind, address, request, timeout_ms)

    async def _call(
        self, kind: str, address: str, request: Request, timeout_ms: float
    ) -> Result[dict[str, Any], Failure]:
        self._traffic.count_message(kind, request.body)
        options = CallOptions(
            connect_timeout_ms=timeout_ms, progress_timeout_ms=timeout_ms
        )
        answer = await self._network.fetch(address, request, options)
        if isinstance(answer, Err):
            return answer
        response = answer.ok_value
        if response.status != 200 or not isinstance(response.body, bytes):
            return Err(
                Failure(
                    kind=FailureKind.BACKEND_FAILED,
                    detail=f"{address} answered {response.status}",
                )
            )
        parsed = parse_object(response.body)
        return parsed if isinstance(parsed, Err) else Ok(parsed.ok_value)
