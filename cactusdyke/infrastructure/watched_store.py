"""A store of objects by kind, as those who follow a kind need it."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING, Any

import attrs

if TYPE_CHECKING:
    from result import Result

    from cactusdyke.errors import Failure


@attrs.frozen(kw_only=True)
class StoreObject:
    """One object, its content as it came.

    Attributes:
        name: Its name in its kind.
        revision: The store's revision of its last change.
        spec: What its writer put there; any JSON value.
    """

    name: str
    revision: int
    spec: Any


@attrs.frozen(kw_only=True)
class Listing:
    """All objects of a kind, as of a revision of the store."""

    objects: tuple[StoreObject, ...]
    revision: int


@attrs.frozen(kw_only=True)
class Change:
    """One change of one object."""

    object: StoreObject
    deleted: bool


@attrs.frozen(kw_only=True)
class Changes:
    """What has changed since a revision.

    Attributes:
        changes: The changes in order.
        revision: The revision to go on from.
        lost: Whether that history is gone and all has to be listed.
    """

    changes: tuple[Change, ...] = ()
    revision: int = 0
    lost: bool = False


class WatchedStore(abc.ABC):
    """Lists a kind, and tells what changes of it."""

    @abc.abstractmethod
    async def list(self, kind: str) -> Result[Listing, Failure]:
        """Returns every object of a kind."""

    @abc.abstractmethod
    async def watch(
        self, kind: str, *, revision: int, wait_ms: float
    ) -> Result[Changes, Failure]:
        """Waits for changes of a kind after a revision."""
