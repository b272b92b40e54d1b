"""Writes how a call ended, for as long as that makes sense."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Ok

from cactusdyke import events
from cactusdyke.booking.record import Record, RecordState
from cactusdyke.booking.records import Records, Superseded, Written

if TYPE_CHECKING:
    from cactusdyke.booking.call import Call
    from cactusdyke.clock import Clock

SETTLE_FOR_MS = 600_000.0
SETTLE_PAUSE_MS = 100.0
MAX_SETTLE_PAUSE_MS = 5_000.0


class Settler:
    """Stores outcomes, also where the store is down for a while."""

    def __init__(self, *, clock: Clock, records: Records) -> None:
        self._clock = clock
        self._records = records

    async def settle(self, call: Call, final: Record, version: int) -> bool:
        """Writes a claim's last state; returns whether the record is final."""
        give_up_at = self._clock.now() + SETTLE_FOR_MS
        pause_ms = SETTLE_PAUSE_MS
        while self._clock.now() < give_up_at:
            written = await self._records.replace(
                call.key, final, if_version=version
            )
            match written:
                case Ok(Written()):
                    return True
                case Ok(Superseded(stored=stored)):
                    if stored is None or stored.record.nonce != final.nonce:
                        return True
                    if stored.record.state is RecordState.DONE:
                        return True
                    version = stored.version
                case Err():
                    await self._clock.sleep(pause_ms)
                    pause_ms = min(2 * pause_ms, MAX_SETTLE_PAUSE_MS)
        events.log(
            events.Event.BOOKING_NOT_STORED,
            request_id=call.context.request_id,
            idempotency_key=call.service_key,
            state=str(final.state),
        )
        return False
