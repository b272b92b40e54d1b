"""Admission control: refuses requests that cannot finish in time."""

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
    """Permission for one request to run, held until the request has ended.

    Attributes:
        admitted_at: Time of admission on this daemon's clock, in
            milliseconds.
    """

    admitted_at: Instant


class Admission(Service, abc.ABC):
    """Decides when a request may start."""

    @abc.abstractmethod
    def enter(
        self, context: RequestContext, pipeline: Pipeline
    ) -> contextlib.AbstractAsyncContextManager[Result[Permit, Failure]]:
        """Waits for a permit and holds it while the block runs.

        Refuses a request as soon as it is expected to miss its deadline. A
        refused request has not run.
        """


class OpenAdmission(Admission):
    """Admits every request immediately."""

    @contextlib.asynccontextmanager
    async def enter(
        self, context: RequestContext, pipeline: Pipeline
    ) -> AsyncIterator[Result[Permit, Failure]]:
        """Yields a permit immediately."""
        del context, pipeline
        yield Ok(Permit(admitted_at=0.0))
