"""What the system needs of the platform's object service."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from prometheus_client import CollectorRegistry
    from result import Result

    from cactusdyke.errors import Failure

MUST_NOT_EXIST = 0
"""The version to name in a conditional write that must create the object."""


@attrs.frozen(kw_only=True)
class StoredObject:
    """An object as the service holds it.

    Attributes:
        key: Its name, parts separated by slashes.
        value: Its bytes, at most a megabyte.
        version: Grows with every write to the service.
    """

    key: str
    value: bytes
    version: int


class ObjectStore(abc.ABC):
    """Versions, conditional writes and watches; fails with typed kinds.

    A write fails with STORE_CONFLICT (not done), STORE_UNAVAILABLE (not
    done) or STORE_UNKNOWN (done or not: its answer was lost, read back).
    """

    def publish(self, registry: CollectorRegistry) -> None:
        """Registers the store's metrics, if it has any."""
        del registry

    @abc.abstractmethod
    async def read(self, key: str) -> Result[StoredObject | None, Failure]:
        """Returns an object, or None where there is none."""

    @abc.abstractmethod
    async def write(
        self, key: str, value: bytes, *, if_version: int | None = None
    ) -> Result[int, Failure]:
        """Writes an object and returns its new version.

        Args:
            key: The object's name.
            value: Its new bytes.
            if_version: Write only if this is the current version;
                MUST_NOT_EXIST creates, None writes in any case.
        """

    @abc.abstractmethod
    async def delete(
        self, key: str, *, if_version: int | None = None
    ) -> Result[None, Failure]:
        """Deletes an object; deleting one that isn't there succeeds."""

    @abc.abstractmethod
    async def list(
        self, prefix: str, *, after: str = "", limit: int = 100
    ) -> Result[list[StoredObject], Failure]:
        """Returns objects by key order, from the first key above `after`."""

    @abc.abstractmethod
    async def watch(
        self, key: str, *, above_version: int, wait_ms: float
    ) -> Result[StoredObject | None, Failure]:
        """Waits until an object's version is above `above_version`.

        Returns None when `wait_ms` went by without a change.
        """
