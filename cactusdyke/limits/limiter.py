"""The interface to customers' request limits."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

from cactusdyke.kernel import Service
from cactusdyke.limits.subsets import LARGEST_SUBSET

if TYPE_CHECKING:
    from result import Result

    from cactusdyke.configuration.model import Customer
    from cactusdyke.errors import Failure


class Limiter(Service, abc.ABC):
    """Enforces the customers' request limits."""

    @abc.abstractmethod
    async def admit(self, customer: Customer) -> Result[None, Failure]:
        """Takes one request from a customer's limit, or refuses it."""

    def subset_size(self, customer: str) -> int:
        """Returns the number of daemons the customer's callers should use."""
        del customer
        return LARGEST_SUBSET
