"""Bearer tokens of customers and operators, kept as hashes."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, TypeVar

from result import Err, Ok, Result

from cactusdyke.configuration.model import Customer, Operator
from cactusdyke.errors import Failure, FailureKind

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from cactusdyke.configuration.in_force import InForce
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
    if configuration.revision == 0:
        # A daemon that has just started knows no token yet. Told that its
        # token is unknown, a caller would stop instead of moving on.
        return Err(
            Failure(
                kind=FailureKind.UNCONFIRMED,
                detail="This daemon has no configuration in force yet",
            )
        )
    return _owner_of(request, configuration.customers)


class OperatorGate:
    """Knows operators by the configuration in force and by the settings.

    Before the first submission nobody is configured, and a daemon that has
    just started has nothing in force yet: the settings name who may still
    submit and look.
    """

    def __init__(
        self, *, in_force: InForce, settings_token_hashes: Sequence[str]
    ) -> None:
        self._in_force = in_force
        self._settings_operator = Operator(
            name="settings", token_hashes=tuple(settings_token_hashes)
        )

    def operator_of(self, request: Request) -> Result[Operator, Failure]:
        """Returns the operator whose token the request carries."""
        owners = {
            **self._in_force.current.operators,
            "": self._settings_operator,
        }
        return _owner_of(request, owners)


def _owner_of(
    request: Request, owners: Mapping[str, OwnerType]
) -> Result[OwnerType, Failure]:
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
