"""Lets requests begin only where they can still end in time."""

from __future__ import annotations

import abc
import contextlib
from typing import TYPE_CHECKING

import attrs
from result import Ok, Result

from cactusdyke.clock import Instant
from cactusdyke.kernel import Service

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from cactusdyke.configuration.model import Pipeline
    from cactusdyke.errors import Failure
    from cactusdyke.pipeline.request import RequestContext


@attrs.frozen(kw_only=True)
class Permit:
    """The right of one request to begin, held until it has ended.

    Attributes:
        admitted_at: Instant on this daemon's clock.
    """

    admitted_at: Instant


class Admission(Service, abc.ABC):
    """Decides when a request may begin."""

    @abc.abstractmethod
    def enter(
        self, context: RequestContext, pipeline: Pipeline
    ) -> contextlib.AbstractAsyncContextManager[Result[Permit, Failure]]:
        """Waits for a permit and holds it while the block runs.

        Refuses as soon as it is plain that the request would be late. A
        refused request has not run.
        """


class OpenAdmission(Admission):
    """Lets every request begin at once."""

    @contextlib.asynccontextmanager
    async def enter(
        self, context: RequestContext, pipeline: Pipeline
    ) -> AsyncIterator[Result[Permit, Failure]]:
        """Gives a permit at once."""
        del context, pipeline
        yield Ok(Permit(admitted_at=0.0))
