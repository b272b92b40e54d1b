"""Whether a daemon may still take its revision for the one in force."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from cactusdyke.configuration.model import WhenUnconfirmed
from cactusdyke.errors import Failure, FailureKind

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from cactusdyke.clock import Instant
    from cactusdyke.configuration.model import Policy

RETRY_AFTER_MS = 2_000


class Confirmation(enum.StrEnum):
    """Who has lately confirmed the revision in force here."""

    BY_STORE = "by_store"
    BY_PEERS = "by_peers"
    NONE = "none"


class Confirmations:
    """When the store and each data centre last confirmed a revision.

    The store down for all is not the same as this daemon cut off alone: in
    the first case the daemons of most data centres agree, and nobody can
    have had another revision accepted. So a majority of the known data
    centres, this one included, stands in for a silent store.
    """

    def __init__(self, *, data_centre: str) -> None:
        self._data_centre = data_centre
        self._store_at: Instant | None = None
        self._heard: dict[str, tuple[int, Instant]] = {}

    def store_answered(self, at: Instant) -> None:
        """Notes that the store named no higher revision at an instant."""
        if self._store_at is None or at > self._store_at:
            self._store_at = at

    def peer_answered(
        self, data_centre: str, revision: int, at: Instant
    ) -> None:
        """Notes the revision that a daemon of a data centre has in force."""
        known = self._heard.get(data_centre)
        if known is None or (revision, at) > known:
            self._heard[data_centre] = (revision, at)

    def store_age_ms(self, now: Instant) -> float | None:
        """Returns how old the store's last word is, None if there is none."""
        return None if self._store_at is None else now - self._store_at

    def state(
        self,
        now: Instant,
        *,
        revision: int,
        within_ms: float,
        data_centres: Callable[[], Collection[str]],
    ) -> Confirmation:
        """Returns who confirmed `revision` in the last `within_ms`."""
        age = self.store_age_ms(now)
        if age is not None and age <= within_ms:
            return Confirmation.BY_STORE
        known = {*data_centres(), self._data_centre}
        agreeing = {
            centre
            for centre, (heard, at) in self._heard.items()
            if heard == revision and now - at <= within_ms
        }
        others = agreeing - {self._data_centre}
        # One data centre alone can only ask the daemons that stand in it.
        needed = agreeing if known == {self._data_centre} else others
        if needed and 2 * len(agreeing | {self._data_centre}) > len(known):
            return Confirmation.BY_PEERS
        return Confirmation.NONE


def permit(
    confirmation: Confirmation, policy: Policy, *, idempotent: bool
) -> Result[None, Failure]:
    """Refuses a request that the policy forbids to a daemon cut off."""
    if confirmation is not Confirmation.NONE:
        return Ok(None)
    match policy.when_unconfirmed:
        case WhenUnconfirmed.SERVE:
            return Ok(None)
        case WhenUnconfirmed.REFUSE_BOOKINGS if idempotent:
            return Ok(None)
    return Err(
        Failure(
            kind=FailureKind.UNCONFIRMED,
            detail=(
                "This daemon could not confirm its configuration within"
                f" {policy.unconfirmed_after_ms:.0f} ms"
            ),
            retry_after_ms=RETRY_AFTER_MS,
        )
    )
