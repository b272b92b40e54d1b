"""A naive lease: believed until a renewal fails, and short-sighted."""

from __future__ import annotations

from cactusdyke.orders.lease import LeaseKeeper


class NaiveLeaseKeeper(LeaseKeeper):
    """Looks at no clock of its own, and at no number before an order.

    Every daemon contends, not only the first few.
    """

    def __init__(self, *, rank, **others) -> None:
        del rank
        super().__init__(rank=lambda: 0, **others)

    @property
    def held(self):
        """The lease last granted, however long ago."""
        return self._lease

    def holds(self, fencing_number: int) -> bool:
        """Takes any lease for the one asked about."""
        return self._lease is not None
