"""The fair queue once more, by sorting everything at each look."""

from __future__ import annotations

from typing import Any


class SortedQueue:
    """Start-time fair queueing with plain lists and no shortcuts."""

    def __init__(self) -> None:
        self._entries: list[dict[str, Any]] = []
        self._served: list[dict[str, Any]] = []
        self._added: list[dict[str, Any]] = []

    def add(
        self,
        item: Any,
        *,
        customer: str,
        share: float,
        cost: float,
        priority: int,
    ) -> None:
        """Adds an entry, stamped from all that was ever added and served."""
        served = [e["stamp"] for e in self._served if e["priority"] == priority]
        ends = [
            e["stamp"] + e["cost"] / e["share"]
            for e in self._added
            if e["priority"] == priority and e["customer"] == customer
        ]
        entry = {
            "item": item,
            "customer": customer,
            "share": share,
            "cost": cost,
            "priority": priority,
            "stamp": max([0.0, *served, *ends[-1:]]),
            "number": len(self._added),
        }
        self._added.append(entry)
        self._entries.append(entry)

    def order(self) -> list[Any]:
        """Returns the items in the order in which they should be served."""
        ordered = sorted(
            self._entries,
            key=lambda e: (-e["priority"], e["stamp"], e["number"]),
        )
        return [entry["item"] for entry in ordered]

    def take(self, item: Any, *, served: bool) -> None:
        """Takes an entry out, served or dropped."""
        entry = next(e for e in self._entries if e["item"] == item)
        self._entries.remove(entry)
        if served:
            self._served.append(entry)
