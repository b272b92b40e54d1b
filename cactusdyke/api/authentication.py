"""Bearer tokens of customers and operators, kept as hashes."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, TypeVar

from result import Err, Ok, Result

from cactusdyke.configuration.model import Customer, Operator
from cactusdyke.errors import Failure, FailureKind

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cactusdyke.configuration.model import Configuration
    from cactusdyke.transport.messages import Request

OwnerType = TypeVar("OwnerType", Customer, Operator)

_SCHEME = "bearer "


def token_hash(token: str) -> str:
    """Returns the stored form of a bearer token."""
    return hashlib.sha256(token.encode()).hexdigest()


def customer_of(
    request: Request, configuration: Configuration
) -> Result[Customer, Failure]:
    """Returns the customer whose token the request carries."""
    return owner_of(request, configuration.customers)


def operator_of(
    request: Request, configuration: Configuration
) -> Result[Operator, Failure]:
    """Returns the operator whose token the request carries."""
    return owner_of(request, configuration.operators)


def owner_of(
    request: Request, owners: Mapping[str, OwnerType]
) -> Result[OwnerType, Failure]:
    """Returns which of the owners' tokens the request carries."""
    header = request.headers.get("authorization", "")
    if header[: len(_SCHEME)].lower() != _SCHEME:
        return Err(_unauthenticated())
    hashed = token_hash(header[len(_SCHEME) :].strip())
    for owner in owners.values():
        if hashed in owner.token_hashes:
            return Ok(owner)
    return Err(_unauthenticated())


def _unauthenticated() -> Failure:
    return Failure(
        kind=FailureKind.UNAUTHENTICATED,
        detail="The request carries no known bearer token",
    )
