"""A queue ordered by priority, and by weighted fair shares among customers.

It implements start-time fair queueing: the start tag of an entry is the later
of the queue's virtual time and the finish tag of its customer's last entry.
The start tags of a customer with many entries move further into the future,
so that a customer with few entries is served between them.
"""

from __future__ import annotations

import bisect
from typing import TYPE_CHECKING, Generic, TypeVar

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterator

ItemType = TypeVar("ItemType")

MIN_SHARE = 1e-6


@attrs.frozen(kw_only=True, order=True)
class _SortKey:
    negated_priority: int
    start_tag: float
    number: int


@attrs.frozen(kw_only=True, eq=False)
class Ticket(Generic[ItemType]):
    """A queued entry.

    Attributes:
        item: The item that was added.
        place: Sort key; the smallest is served first.
    """

    item: ItemType
    place: _SortKey


@attrs.define(kw_only=True)
class _PriorityLevel:
    virtual_time: float = 0.0
    finish_tags: dict[str, float] = attrs.field(factory=dict)


class FairQueue(Generic[ItemType]):
    """Entries in the order in which they are to be served."""

    def __init__(self) -> None:
        self._tickets: list[Ticket[ItemType]] = []
        self._levels: dict[int, _PriorityLevel] = {}
        self._count = 0

    def __len__(self) -> int:
        return len(self._tickets)

    def __iter__(self) -> Iterator[Ticket[ItemType]]:
        return iter(self._tickets)

    def add(
        self,
        item: ItemType,
        *,
        customer: str,
        share: float,
        cost: float,
        priority: int = 0,
    ) -> Ticket[ItemType]:
        """Adds an entry.

        Args:
            item: The item to be served.
            customer: Name of the customer that the item belongs to.
            share: The customer's weight among those of the same priority.
            cost: Cost of serving the item, in a unit common to all entries.
            priority: Higher priorities are served first, whatever the shares.
        """
        level = self._levels.setdefault(priority, _PriorityLevel())
        stamp = max(level.virtual_time, level.finish_tags.get(customer, 0.0))
        level.finish_tags[customer] = stamp + cost / max(share, MIN_SHARE)
        self._count += 1
        ticket = Ticket(
            item=item,
            place=_SortKey(
                negated_priority=-priority, start_tag=stamp, number=self._count
            ),
        )
        bisect.insort(self._tickets, ticket, key=_sort_key)
        return ticket

    def serve(self, ticket: Ticket[ItemType]) -> None:
        """Removes an entry to serve it, and advances the virtual time."""
        self.drop(ticket)
        level = self._levels[-ticket.place.negated_priority]
        level.virtual_time = max(level.virtual_time, ticket.place.start_tag)
        # Finish tags not later than the virtual time have no effect.
        level.finish_tags = {
            name: tag
            for name, tag in level.finish_tags.items()
            if tag > level.virtual_time
        }

    def drop(self, ticket: Ticket[ItemType]) -> None:
        """Removes an entry without serving it."""
        index = bisect.bisect_left(self._tickets, ticket.place, key=_sort_key)
        del self._tickets[index]


def _sort_key(ticket: Ticket[ItemType]) -> _SortKey:
    return ticket.place
