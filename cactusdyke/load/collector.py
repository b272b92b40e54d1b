"""Reads the load of the replicas that belong to this daemon."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

import anyio
from result import Err

from cactusdyke.kernel import Service
from cactusdyke.load import replicas as replica_lists
from cactusdyke.load.aggregates import Aggregate, Aggregates
from cactusdyke.load.readings import Reading, Readings
from cactusdyke.membership.member import MemberState
from cactusdyke.routing.messages import LoadReport

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactusdyke.clock import Clock
    from cactusdyke.configuration.model import Configuration
    from cactusdyke.load.departures import Departures
    from cactusdyke.load.replicas import DataCentreReplicas, Replica
    from cactusdyke.membership.control_client import ControlClient
    from cactusdyke.membership.members import Members
    from cactusdyke.routing.load_book import LoadBook

LOAD_PATH = "/v1/load"
READ_INTERVAL_MS = 1_000.0
READ_TIMEOUT_MS = 500.0
# At the target a daemon has five replicas to read and a message costs about a
# millisecond; with three a second each is still read every two seconds.
MAX_READS_AT_ONCE = 3


class LoadCollector(Service):
    """Reads replicas in turn, the one whose reading is oldest first.

    Where a data centre has replicas and no daemon, the daemons of all others
    read them.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        client: ControlClient,
        members: Members,
        departures: Departures,
        load_book: LoadBook,
        configuration: Callable[[], Configuration],
    ) -> None:
        self._clock = clock
        self._client = client
        self._members = members
        self._departures = departures
        self._load_book = load_book
        self._configuration = configuration
        self._data_centre = members.own.data_centre
        self._lists: dict[str, DataCentreReplicas] = {}
        self._listed: Configuration | None = None
        self._assigned: list[Replica] = []
        self._assigned_for: tuple[Any, ...] = ()
        self._tried_at: dict[str, float] = {}
        self.readings = Readings(
            clock=clock,
            data_centre=self._data_centre,
            replicas=self._own_list,
            sink=self._report,
        )
        self.aggregates = Aggregates(
            clock=clock,
            data_centre=self._data_centre,
            replicas=self._own_list,
            readings=self.readings,
        )
        members.attach("load", self.readings)
        members.attach("aggregates", self.aggregates)

    def all_aggregates(self) -> list[Aggregate]:
        """Returns the load by data centre, pool and model."""
        return self.aggregates.all()

    def assigned(self) -> list[Replica]:
        """Returns the replicas that this daemon reads."""
        configuration = self._configuration()
        members = [
            m for m in self._members.all() if m.state is MemberState.LIVE
        ]
        own = self._members.own
        key = (configuration.revision, tuple(sorted(m.name for m in members)))
        if key != self._assigned_for:
            self._assigned_for = key
            self._assigned = []
            here = [m for m in members if m.data_centre == self._data_centre]
            staffed = {m.data_centre for m in members}
            for data_centre in sorted(self._all_lists()):
                if data_centre in staffed and data_centre != self._data_centre:
                    continue
                readers = here if data_centre == self._data_centre else members
                self._assigned += replica_lists.assigned(
                    self._all_lists()[data_centre].replicas, own.name, readers
                )
        return self._assigned if own.state is MemberState.LIVE else []

    async def run(self) -> None:
        """Reads a few replicas each interval until it is cancelled."""
        while True:
            began = self._clock.now()
            self.readings.forget_removed()
            async with anyio.create_task_group() as tasks:
                for replica in self._due():
                    tasks.start_soon(self._read, replica)
            took = self._clock.now() - began
            await self._clock.sleep(READ_INTERVAL_MS - took)

    def _due(self) -> list[Replica]:
        # By the last attempt, not by the last success: replicas that do not
        # answer would otherwise keep the others from being read.
        replicas = sorted(
            self.assigned(),
            key=lambda r: self._tried_at.get(r.server.name, -math.inf),
        )
        return replicas[:MAX_READS_AT_ONCE]

    async def _read(self, replica: Replica) -> None:
        began = self._clock.now()
        self._tried_at[replica.server.name] = began
        answer = await self._client.get(
            "load",
            replica.server.address,
            LOAD_PATH,
            timeout_ms=READ_TIMEOUT_MS,
        )
        if isinstance(answer, Err):
            return
        value = answer.ok_value
        name = value.get("name") or replica.server.name
        if name != replica.server.name:
            return
        if value.get("leaving"):
            self._departures.leaves(replica.server.name)
        model = value.get("model")
        self.readings.add(
            replica.server.name,
            Reading(
                running=int(value["running"]),
                waiting=int(value["waiting"]),
                model=(
                    replica.models.index(model)
                    if model in replica.models
                    else None
                ),
                # The answer speaks of a moment after the question.
                measured_at=began,
            ),
        )

    def _report(self, name: str, reading: Reading) -> None:
        now = self._clock.now()
        report = LoadReport(
            running=reading.running,
            waiting=reading.waiting,
            age_ms=now - reading.measured_at,
        )
        self._load_book.report(name, report, now)

    def _own_list(self) -> DataCentreReplicas:
        self._all_lists()
        known = self._lists.get(self._data_centre)
        if known is None:
            known = replica_lists.in_data_centre(
                self._configuration(), self._data_centre
            )
            self._lists[self._data_centre] = known
        return known

    def _all_lists(self) -> dict[str, DataCentreReplicas]:
        configuration = self._configuration()
        if configuration is not self._listed:
            self._listed = configuration
            centres = {
                server.data_centre
                for pool in configuration.pools.values()
                for server in pool.backend_servers
            }
            self._lists = {
                centre: replica_lists.in_data_centre(configuration, centre)
                for centre in centres
            }
            self._tried_at = {}
        return self._lists
