"""Tells all daemons which replicas state limits.

A daemon reports the limits in its own answers to the decider of the service,
which is the only one that sends to limited replicas. The decider sends changes
to all daemons, so that none chooses such a replica by itself. A daemon that
misses a message gets the limits with its next probe.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from result import Err

from cactusdyke.errors import DECODING_ERRORS, Failure, FailureKind
from cactusdyke.kernel import Service
from cactusdyke.membership.attachments import ChangeAttachment
from cactusdyke.serving import broadcast
from cactusdyke.transport.messages import (
    Request,
    Response,
    failure_response,
    json_response,
)

if TYPE_CHECKING:
    from cactusdyke.clock import Clock
    from cactusdyke.membership.attachments import Attachment
    from cactusdyke.serving.decider_directory import DeciderDirectory
    from cactusdyke.serving.peers import PeerDaemons
    from cactusdyke.serving.stated_limits import LimitReport, StatedLimits
    from cactusdyke.transport.network import Network

LIMITS_PATH = "/internal/v1/limits"
COALESCE_MS = 20.0
"""Replicas in need of one cause state their limits within milliseconds."""
BROADCAST_INTERVAL_MS = 1_000.0
"""Between broadcasts of limits that change with every answer."""


class LimitExchange(Service):
    """Sends the changes of limits that this daemon decides under."""

    def __init__(
        self,
        *,
        clock: Clock,
        network: Network,
        daemons: PeerDaemons,
        deciders: DeciderDirectory,
        limits: StatedLimits,
    ) -> None:
        self._clock = clock
        self._network = network
        self._daemons = daemons
        self._deciders = deciders
        self._limits = limits
        self._changed: dict[str, LimitReport] = {}
        self._change = anyio.Event()
        limits.on_change(self._queue)
        self._attachment = ChangeAttachment(
            version=lambda: limits.version,
            encode=limits.encode_all,
            merge=lambda values, sender: limits.merge(values, source=sender),
        )

    @property
    def attachment(self) -> Attachment:
        """Attaches the known limits to gossip messages."""
        return self._attachment

    async def run(self) -> None:
        """Sends changes until it is cancelled."""
        while True:
            await self._change.wait()
            await self._clock.sleep(COALESCE_MS)
            self._change = anyio.Event()
            changed, self._changed = self._changed, {}
            reports = [
                report
                for report in changed.values()
                if self._deciders.decider_of(report.service).is_local
            ]
            if not reports:
                continue
            others = [d for d in self._daemons.all() if not d.is_local]
            values = self._limits.encode(reports)
            await broadcast.post(
                self._network, others, LIMITS_PATH, {"limits": values}
            )
            await self._clock.sleep(BROADCAST_INTERVAL_MS)

    async def handle(self, request: Request) -> Response:
        """Merges the limits that another daemon sends."""
        value = request.json()
        if isinstance(value, Err):
            return failure_response(value.err_value)
        try:
            self._limits.merge(value.ok_value["limits"], source="decider")
        except DECODING_ERRORS as error:
            return failure_response(
                Failure(
                    kind=FailureKind.BAD_REQUEST,
                    detail=f"the limits can't be read: {error!r}",
                )
            )
        return json_response({})

    def _queue(self, report: LimitReport) -> None:
        self._changed[report.replica] = report
        self._change.set()
