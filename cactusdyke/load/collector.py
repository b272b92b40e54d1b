"""Reads the load of the replicas assigned to this daemon."""

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
    from cactusdyke.routing.load_tracker import LoadTracker

LOAD_PATH = "/v1/load"
READ_INTERVAL_MS = 1_000.0
READ_TIMEOUT_MS = 500.0
# In a full-size fleet a daemon reads five replicas, and a message costs about a
# millisecond of processor time; at three reads a second, each replica is still
# read every two seconds.
MAX_CONCURRENT_READS = 3


class LoadCollector(Service):
    """Polls the assigned replicas, the least recently tried one first.

    The replicas of a data centre without daemons are read by the daemons of
    all other data centres.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        client: ControlClient,
        members: Members,
        departures: Departures,
        load_tracker: LoadTracker,
        configuration: Callable[[], Configuration],
    ) -> None:
        self._clock = clock
        self._client = client
        self._members = members
        self._departures = departures
        self._load_tracker = load_tracker
        self._configuration = configuration
        self._data_centre = members.own.data_centre
        self._replicas: dict[str, DataCentreReplicas] = {}
        self._replicas_for: Configuration | None = None
        self._assigned: list[Replica] = []
        self._assigned_for: tuple[Any, ...] = ()
        self._attempted_at: dict[str, float] = {}
        self.readings = Readings(
            clock=clock,
            data_centre=self._data_centre,
            replicas=self._local_replicas,
            on_reading=self._track_load,
        )
        self.aggregates = Aggregates(
            clock=clock,
            data_centre=self._data_centre,
            replicas=self._local_replicas,
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
            local = [m for m in members if m.data_centre == self._data_centre]
            with_daemons = {m.data_centre for m in members}
            for data_centre in sorted(self._replicas_by_data_centre()):
                if (
                    data_centre in with_daemons
                    and data_centre != self._data_centre
                ):
                    continue
                readers = local if data_centre == self._data_centre else members
                self._assigned += replica_lists.assigned(
                    self._replicas_by_data_centre()[data_centre].replicas,
                    own.name,
                    readers,
                )
        return self._assigned if own.state is MemberState.LIVE else []

    async def run(self) -> None:
        """Reads a few replicas each interval until cancelled."""
        while True:
            started_at = self._clock.now()
            self.readings.drop_removed()
            async with anyio.create_task_group() as tasks:
                for replica in self._due():
                    tasks.start_soon(self._read, replica)
            elapsed_ms = self._clock.now() - started_at
            await self._clock.sleep(READ_INTERVAL_MS - elapsed_ms)

    def _due(self) -> list[Replica]:
        # Ordered by the last attempt, not the last success: otherwise replicas
        # that do not answer would always come first and block the others.
        replicas = sorted(
            self.assigned(),
            key=lambda r: self._attempted_at.get(r.server.name, -math.inf),
        )
        return replicas[:MAX_CONCURRENT_READS]

    async def _read(self, replica: Replica) -> None:
        sent_at = self._clock.now()
        self._attempted_at[replica.server.name] = sent_at
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
            self._departures.mark_leaving(replica.server.name)
        model = value.get("model")
        self.readings.add(
            replica.server.name,
            Reading(
                running=int(value["running"]),
                waiting=int(value["waiting"]),
                model_index=(
                    replica.models.index(model)
                    if model in replica.models
                    else None
                ),
                # The load is measured after the request is sent, so the
                # reading is never older than this.
                measured_at=sent_at,
            ),
        )

    def _track_load(self, name: str, reading: Reading) -> None:
        now = self._clock.now()
        report = LoadReport(
            running=reading.running,
            waiting=reading.waiting,
            age_ms=now - reading.measured_at,
        )
        self._load_tracker.record_report(name, report, now)

    def _local_replicas(self) -> DataCentreReplicas:
        self._replicas_by_data_centre()
        known = self._replicas.get(self._data_centre)
        if known is None:
            known = replica_lists.in_data_centre(
                self._configuration(), self._data_centre
            )
            self._replicas[self._data_centre] = known
        return known

    def _replicas_by_data_centre(self) -> dict[str, DataCentreReplicas]:
        configuration = self._configuration()
        if configuration is not self._replicas_for:
            self._replicas_for = configuration
            centres = {
                server.data_centre
                for pool in configuration.pools.values()
                for server in pool.backend_servers
            }
            self._replicas = {
                centre: replica_lists.in_data_centre(configuration, centre)
                for centre in centres
            }
            self._attempted_at = {}
        return self._replicas
