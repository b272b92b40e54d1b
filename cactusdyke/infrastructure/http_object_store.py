"""Talks to the platform's object service over HTTP with JSON."""

from __future__ import annotations

import base64
from typing import TYPE_CHECKING, Any

from result import Err, Ok, Result

from cactusdyke.errors import Failure, FailureKind, Ran
from cactusdyke.infrastructure.object_store import ObjectStore, StoredObject
from cactusdyke.transport.messages import Request, Response, parse_object
from cactusdyke.transport.network import CallOptions, Network

if TYPE_CHECKING:
    from collections.abc import Mapping

CONNECT_TIMEOUT_MS = 500.0
ANSWER_TIMEOUT_MS = 2_000.0
WATCH_MARGIN_MS = 2_000.0
RETRY_AFTER_MS = 1_000


class HttpObjectStore(ObjectStore):
    """An object store behind HTTP."""

    def __init__(self, *, address: str, network: Network) -> None:
        self._address = address
        self._network = network

    async def read(self, key: str) -> Result[StoredObject | None, Failure]:
        """Returns an object, or None where there is none."""
        answer = await self._call("GET", f"/objects/{key}")
        if isinstance(answer, Err):
            return answer
        if answer.ok_value.status == 404:
            return Ok(None)
        return _parse_object(answer.ok_value)

    async def write(
        self, key: str, value: bytes, *, if_version: int | None = None
    ) -> Result[int, Failure]:
        """Writes an object and returns its new version."""
        answer = await self._call(
            "PUT", f"/objects/{key}", query=_condition(if_version), body=value
        )
        if isinstance(answer, Err):
            return Err(_write_failure(answer.err_value))
        if answer.ok_value.status == 409:
            return Err(_conflict(key))
        return parse_object(_bytes(answer.ok_value)).map(
            lambda value: int(value["version"])
        )

    async def delete(
        self, key: str, *, if_version: int | None = None
    ) -> Result[None, Failure]:
        """Deletes an object; deleting one that isn't there succeeds."""
        answer = await self._call(
            "DELETE", f"/objects/{key}", query=_condition(if_version)
        )
        if isinstance(answer, Err):
            return Err(_write_failure(answer.err_value))
        if answer.ok_value.status == 409:
            return Err(_conflict(key))
        return Ok(None)

    async def list(
        self, prefix: str, *, after: str = "", limit: int = 100
    ) -> Result[list[StoredObject], Failure]:
        """Returns objects by key order, from the first key above `after`."""
        query = {"prefix": prefix, "after": after, "limit": str(limit)}
        answer = await self._call("GET", "/list", query=query)
        if isinstance(answer, Err):
            return answer
        return parse_object(_bytes(answer.ok_value)).map(
            lambda value: [_to_object(item) for item in value["objects"]]
        )

    async def watch(
        self, key: str, *, above_version: int, wait_ms: float
    ) -> Result[StoredObject | None, Failure]:
        """Waits until an object's version is above `above_version`."""
        query = {"above": str(above_version), "wait_ms": str(int(wait_ms))}
        answer = await self._call(
            "GET",
            f"/watch/{key}",
            query=query,
            timeout_ms=wait_ms + WATCH_MARGIN_MS,
        )
        if isinstance(answer, Err):
            return answer
        if answer.ok_value.status == 204:
            return Ok(None)
        return _parse_object(answer.ok_value)

    async def _call(
        self,
        method: str,
        path: str,
        *,
        query: Mapping[str, str] | None = None,
        body: bytes = b"",
        timeout_ms: float = ANSWER_TIMEOUT_MS,
    ) -> Result[Response, Failure]:
        request = Request(
            method=method, path=path, query=query or {}, body=body
        )
        options = CallOptions(
            connect_timeout_ms=CONNECT_TIMEOUT_MS,
            progress_timeout_ms=timeout_ms,
        )
        answer = await self._network.fetch(self._address, request, options)
        if isinstance(answer, Err):
            return Err(_unavailable(answer.err_value))
        status = answer.ok_value.status
        if status >= 500:
            return Err(_refused(status))
        if status not in (200, 204, 404, 409):
            return Err(_declined(status))
        return answer


def _condition(if_version: int | None) -> dict[str, str]:
    return {} if if_version is None else {"if_version": str(if_version)}


def _bytes(response: Response) -> bytes:
    assert isinstance(response.body, bytes)
    return response.body


def _to_object(item: Mapping[str, Any]) -> StoredObject:
    return StoredObject(
        key=item["key"],
        value=base64.b64decode(item["value"]),
        version=item["version"],
    )


def _parse_object(
    response: Response,
) -> Result[StoredObject | None, Failure]:
    return parse_object(_bytes(response)).map(_to_object)


def _unavailable(failure: Failure) -> Failure:
    return Failure(
        kind=FailureKind.STORE_UNAVAILABLE,
        detail=f"The object service did not answer: {failure.detail}",
        ran=failure.ran,
        retry_after_ms=RETRY_AFTER_MS,
    )


def _refused(status: int) -> Failure:
    return Failure(
        kind=FailureKind.STORE_UNAVAILABLE,
        detail=f"The object service answered {status}",
        # A server error does not say whether a write was done before it.
        ran=Ran.UNKNOWN,
        retry_after_ms=RETRY_AFTER_MS,
    )


def _declined(status: int) -> Failure:
    return Failure(
        kind=FailureKind.STORE_UNAVAILABLE,
        detail=f"The object service declined the call with {status}",
        retry_after_ms=RETRY_AFTER_MS,
    )


def _write_failure(failure: Failure) -> Failure:
    if failure.ran is Ran.NOT_RUN:
        return failure
    return Failure(
        kind=FailureKind.STORE_UNKNOWN,
        detail=failure.detail,
        ran=Ran.UNKNOWN,
        retry_after_ms=RETRY_AFTER_MS,
    )


def _conflict(key: str) -> Failure:
    return Failure(
        kind=FailureKind.STORE_CONFLICT,
        detail=f"The object {key} has changed",
    )
