"""Requests between daemons for quota leases."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING, Any

import attrs
import orjson
from result import Err, Ok, Result

from cactusdyke.errors import Failure, FailureKind
from cactusdyke.limits.account import QuotaLease, QuotaRequest
from cactusdyke.limits.quota_owner import NotOwner
from cactusdyke.transport.messages import (
    JSON_TYPE,
    Request,
    Response,
    failure_response,
    json_response,
    parse_object,
)
from cactusdyke.transport.network import CallOptions
from cactusdyke.util import structure

if TYPE_CHECKING:
    from cactusdyke.limits.quota_owner import QuotaOwner
    from cactusdyke.transport.network import Network

QUOTA_LEASES_PATH = "/internal/v1/limits/loans"
LEASE_TIMEOUT_MS = 300.0


@attrs.frozen(kw_only=True)
class QuotaLeaseBody:
    """The body of a request for a quota lease."""

    holder: str
    ask: QuotaRequest


class QuotaLeaseClient(abc.ABC):
    """Requests quota leases from the daemons that own limits."""

    @abc.abstractmethod
    async def request_lease(
        self, address: str, holder: str, lease_request: QuotaRequest
    ) -> Result[QuotaLease | NotOwner, Failure]:
        """Requests a lease from a daemon; an error if it is unreachable."""


class HttpQuotaLeaseClient(QuotaLeaseClient):
    """Requests quota leases over HTTP with JSON."""

    def __init__(self, *, network: Network) -> None:
        self._network = network

    async def request_lease(
        self, address: str, holder: str, lease_request: QuotaRequest
    ) -> Result[QuotaLease | NotOwner, Failure]:
        """Requests a lease from the daemon at an address."""
        body = QuotaLeaseBody(holder=holder, ask=lease_request)
        request = Request(
            method="POST",
            path=QUOTA_LEASES_PATH,
            headers={"content-type": JSON_TYPE},
            body=orjson.dumps(attrs.asdict(body)),
        )
        options = CallOptions(
            connect_timeout_ms=LEASE_TIMEOUT_MS,
            progress_timeout_ms=LEASE_TIMEOUT_MS,
        )
        answer = await self._network.fetch(address, request, options)
        if isinstance(answer, Err):
            return answer
        return _read_answer(answer.ok_value)


class QuotaLeaseHandler:
    """Answers lease requests from other daemons."""

    def __init__(self, *, quota_owner: QuotaOwner) -> None:
        self._quota_owner = quota_owner

    async def handle(self, request: Request) -> Response:
        """Grants a lease, or names the daemon that owns the limit."""
        value = request.json().and_then(
            lambda value: structure.structure(
                value, QuotaLeaseBody, name="loan"
            )
        )
        if isinstance(value, Err):
            return failure_response(value.err_value)
        body = value.ok_value
        match self._quota_owner.grant(body.holder, body.ask):
            case Ok(lease):
                return json_response({"loan": attrs.asdict(lease)})
            case Err(not_owner):
                return json_response({"not_owner": attrs.asdict(not_owner)})


def _read_answer(response: Response) -> Result[QuotaLease | NotOwner, Failure]:
    assert isinstance(response.body, bytes)
    parsed = parse_object(response.body)
    if isinstance(parsed, Err):
        return parsed
    value: dict[str, Any] = parsed.ok_value
    if "loan" in value:
        return structure.structure(value["loan"], QuotaLease, name="loan")
    if "not_owner" in value:
        return structure.structure(
            value["not_owner"], NotOwner, name="not_owner"
        )
    return Err(
        Failure(
            kind=FailureKind.INTERNAL,
            detail="Quota lease response has neither `loan` nor `not_owner`",
        )
    )
