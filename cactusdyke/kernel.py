"""The micro-kernel: services by name and their life cycle."""

from __future__ import annotations

import abc
import contextlib
import logging
from typing import TYPE_CHECKING, Self, TypeVar

import anyio

from cactusdyke import background, events

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from types import TracebackType

logger = logging.getLogger(__name__)

ServiceType = TypeVar("ServiceType", bound="Service")


class Service(abc.ABC):
    """A part of a daemon that others find by name.

    A service is entered before and left after every service that was
    registered later, so that it may use those registered before it.
    """

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        return None

    async def run(self) -> None:
        """Runs the service's background work until it is cancelled.

        After an error it is run again, with the state that the service has.
        """
        return None

    async def announce_stop(self) -> None:
        """Tells others that the daemon is about to stop."""
        return None

    async def drain(self) -> None:
        """Returns once nothing is in flight that a stop would cut."""
        return None


class Kernel:
    """The registry of services, which starts, drains and stops them."""

    def __init__(self) -> None:
        self._services: dict[str, Service] = {}
        self._stack = contextlib.AsyncExitStack()

    def add(self, name: str, service: Service) -> None:
        """Registers a service.

        Raises:
            ValueError: The name is already taken.
        """
        if name in self._services:
            raise ValueError(f"service {name!r} is registered twice")
        self._services[name] = service

    def find(self, name: str, kind: type[ServiceType]) -> ServiceType:
        """Returns the service of that name.

        Raises:
            LookupError: No such service is registered.
            TypeError: The service is of another kind.
        """
        if name not in self._services:
            known = ", ".join(sorted(self._services)) or "none"
            raise LookupError(
                f"no service {name!r}; load its extension first"
                f" (known: {known})"
            )
        service = self._services[name]
        if not isinstance(service, kind):
            raise TypeError(f"service {name!r} is not a {kind.__name__}")
        return service

    async def __aenter__(self) -> Self:
        self._tasks = await self._stack.enter_async_context(
            anyio.create_task_group()
        )
        for service in self._services.values():
            await self._stack.enter_async_context(service)
        for name, service in self._services.items():
            self._tasks.start_soon(
                background.keep_running, service.run, name=f"service {name}"
            )
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._tasks.cancel_scope.cancel()
        await self._stack.__aexit__(kind, error, trace)

    async def drain(self) -> None:
        """Drains the services, those registered last first.

        All of them announce the stop before the first is drained: while
        requests in flight end, nobody must be sent here any more.
        """
        async with anyio.create_task_group() as tasks:
            for name, service in self._services.items():
                tasks.start_soon(self._contain, name, service.announce_stop)
        for name, service in reversed(self._services.items()):
            logger.debug("draining %s", name)
            await self._contain(name, service.drain)

    async def _contain(
        self, name: str, step: Callable[[], Awaitable[None]]
    ) -> None:
        try:
            await step()
        except Exception as error:
            # A stop goes on: an error here would end it, and cut what is in
            # flight.
            events.log(
                events.Event.INTERNAL_ERROR,
                path=f"stop of {name}",
                error=repr(error),
            )
