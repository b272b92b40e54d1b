"""The lease of the role that orders engines, kept in the object service."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs
import orjson
from result import Err, Ok, Result

from cactusdyke import events
from cactusdyke.clock import Instant
from cactusdyke.errors import FailureKind
from cactusdyke.infrastructure.object_store import MUST_NOT_EXIST
from cactusdyke.kernel import Service

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from cactusdyke.clock import Clock
    from cactusdyke.errors import Failure
    from cactusdyke.infrastructure.object_store import ObjectStore, StoredObject

LEASE_KEY = "orders/lease"
TERM_MS = 12_000.0
HOLDER_MARGIN_MS = 2_000.0
RENEW_MS = 3_000.0
LOOK_MS = 3_000.0
RANK_DELAY_MS = 3_000.0
CANDIDATES = 3


@attrs.frozen(kw_only=True)
class Grant:
    """What the object service holds.

    Attributes:
        holder: Name of the daemon that was granted the lease.
        fencing_number: Grows with each grant, not with renewals.
        nonce: Names the write, so that a lost answer is known again.
        released: Whether the holder gave it back.
    """

    holder: str
    fencing_number: int
    nonce: str
    released: bool = False


@attrs.frozen(kw_only=True)
class Lease:
    """A time-bounded right to give orders.

    Attributes:
        fencing_number: Engines may refuse lower ones.
        valid_until: Instant on this daemon's clock after which it is over.
    """

    fencing_number: int
    valid_until: Instant


class LeaseKeeper(Service):
    """Contends for the lease, renews it, and gives it back.

    Only the first few daemons in an order that all work out alike look at the
    lease, the later ones with longer patience, so that the calls do not grow
    with the fleet. Hosts' clocks are never compared: a candidate takes over
    once it has itself seen the same write unchanged for longer than a term.
    """

    def __init__(
        self,
        *,
        name: str,
        clock: Clock,
        rng: random.Random,
        object_store: ObjectStore,
        rank: Callable[[], int | None],
    ) -> None:
        self._name = name
        self._clock = clock
        self._rng = rng
        self._object_store = object_store
        self._rank = rank
        self._lease: Lease | None = None
        self._version = MUST_NOT_EXIST
        self._seen: tuple[int, Instant] | None = None
        self._draining = False

    @property
    def held(self) -> Lease | None:
        """The lease, if this daemon holds it by its own clock."""
        if self._lease is None or self._clock.now() >= self._lease.valid_until:
            return None
        return self._lease

    def holds(self, fencing_number: int) -> bool:
        """Returns whether the lease with that number is held right now."""
        held = self.held
        return held is not None and held.fencing_number == fencing_number

    async def run(self) -> None:
        """Renews or contends until it is cancelled."""
        while True:
            if self.held is not None:
                await self._renew()
                await self._clock.sleep(RENEW_MS)
            else:
                await self._look()
                await self._clock.sleep(LOOK_MS)

    async def announce_stop(self) -> None:
        """Gives the lease back, so that another takes it at once."""
        self._draining = True
        lease, self._lease = self._lease, None
        if lease is not None:
            await self._write(lease.fencing_number, released=True)

    async def _renew(self) -> None:
        lease = self.held
        if lease is None:
            return
        if not await self._write(lease.fencing_number):
            events.log(
                events.Event.LEASE_NOT_RENEWED,
                daemon=self._name,
                fencing_number=lease.fencing_number,
            )

    async def _look(self) -> None:
        rank = self._rank()
        if rank is None or rank >= CANDIDATES or self._draining:
            self._seen = None
            return
        answer = await self._object_store.read(LEASE_KEY)
        if isinstance(answer, Err):
            return
        stored = answer.ok_value
        version = stored.version if stored else MUST_NOT_EXIST
        grant = _read(stored)
        if self._seen is None or self._seen[0] != version:
            self._seen = (version, self._clock.now())
        unchanged_ms = self._clock.now() - self._seen[1]
        free = grant is None or grant.released
        patience_ms = rank * RANK_DELAY_MS + (0.0 if free else TERM_MS)
        if unchanged_ms < patience_ms:
            return
        self._version = version
        number = grant.fencing_number + 1 if grant else 1
        if await self._write(number):
            events.log(
                events.Event.LEASE_GRANTED,
                daemon=self._name,
                fencing_number=number,
            )

    async def _write(self, number: int, *, released: bool = False) -> bool:
        # The term counts from before the write was sent. From the answer on,
        # a slow answer would let the holder believe longer than others wait.
        began = self._clock.now()
        nonce = f"{self._rng.getrandbits(64):016x}"
        grant = Grant(
            holder=self._name,
            fencing_number=number,
            nonce=nonce,
            released=released,
        )
        written = await self._object_store.write(
            LEASE_KEY,
            orjson.dumps(attrs.asdict(grant)),
            if_version=self._version,
        )
        version = await self._resolve(written, nonce)
        if version is None:
            return False
        self._version = version
        if not released:
            self._lease = Lease(
                fencing_number=number,
                valid_until=began + TERM_MS - HOLDER_MARGIN_MS,
            )
        return True

    async def _resolve(
        self, written: Result[int, Failure], nonce: str
    ) -> int | None:
        if isinstance(written, Ok):
            return written.ok_value
        if written.err_value.kind is FailureKind.STORE_UNAVAILABLE:
            return None
        # A write whose answer was lost may have been done, also when a repeat
        # of it met a conflict with itself. Without reading back, the daemon
        # would wait out its own lease, and nobody would hold it meanwhile.
        answer = await self._object_store.read(LEASE_KEY)
        if isinstance(answer, Err) or answer.ok_value is None:
            return None
        stored = answer.ok_value
        grant = _read(stored)
        if grant is None or grant.nonce != nonce:
            if written.err_value.kind is FailureKind.STORE_CONFLICT:
                self._lease = None
            return None
        return stored.version


def _read(stored: StoredObject | None) -> Grant | None:
    if stored is None:
        return None
    value: dict[str, Any] = orjson.loads(stored.value)
    return Grant(**value)
