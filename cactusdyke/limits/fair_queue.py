"""A queue by priority, and by weighted fair shares among customers.

Start-time fair queueing: each entry is stamped when it is added, with the
later of the queue's virtual time and the end of its customer's last entry.
A customer with many entries stamps itself further and further back, so that
one with few waits only for what is ahead of it in its own share.
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
    """An entry's place in the queue.

    Attributes:
        item: What was added.
        place: Where it stands; smaller is served first.
    """

    item: ItemType
    place: _SortKey


@attrs.define(kw_only=True)
class _PriorityLevel:
    virtual_time: float = 0.0
    finish_tags: dict[str, float] = attrs.field(factory=dict)


class FairQueue(Generic[ItemType]):
    """Entries in the order in which they should be served."""

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
            item: What is to be served.
            customer: Whose it is.
            share: The customer's weight among those of the same priority.
            cost: What serving it takes, in any unit that all entries share.
            priority: Higher is served first, whatever the shares.
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
        """Takes an entry out to serve it, which moves virtual time on."""
        self.drop(ticket)
        level = self._levels[-ticket.place.negated_priority]
        level.virtual_time = max(level.virtual_time, ticket.place.start_tag)
        # A customer whose entries all lie in the past needs no memory.
        level.finish_tags = {
            name: end
            for name, end in level.finish_tags.items()
            if end > level.virtual_time
        }

    def drop(self, ticket: Ticket[ItemType]) -> None:
        """Takes an entry out without serving it."""
        index = bisect.bisect_left(self._tickets, ticket.place, key=_sort_key)
        del self._tickets[index]


def _sort_key(ticket: Ticket[ItemType]) -> _SortKey:
    return ticket.place
