"""Schedules the stage batches and engine placements of services."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

import anyio
import attrs

from cactusdyke.background import background_tasks
from cactusdyke.kernel import Service
from cactusdyke.serving.batcher import StageBatcher
from cactusdyke.serving.brittle_replicas import RequestsInFlight
from cactusdyke.serving.placement import EnginePlacer
from cactusdyke.serving.stage_pieces import Backlog, PieceGroup, PieceTask

if TYPE_CHECKING:
    from collections.abc import (
        Callable,
        Collection,
        Iterable,
        Mapping,
        Sequence,
    )

    from result import Result

    from cactusdyke.background import BackgroundTasks
    from cactusdyke.clock import Clock, Instant
    from cactusdyke.errors import Failure
    from cactusdyke.observe.tracing import Tracing
    from cactusdyke.serving.batcher import FreeInputs
    from cactusdyke.serving.deployment import Deployment
    from cactusdyke.serving.dialect import Dialect
    from cactusdyke.serving.dispatch_messages import StageOutcome, StageWork
    from cactusdyke.serving.model import Replica
    from cactusdyke.serving.request import Generation
    from cactusdyke.serving.request_limits import RequestLimits
    from cactusdyke.serving.resource_tracker import ResourceSnapshot
    from cactusdyke.serving.return_questions import (
        ReturnAnswer,
        ReturnQuestion,
    )
    from cactusdyke.transport.exchange import BackendConnections


LARGE_INPUT_SHARE = 0.02
"""Share of a stage replica's memory: 50 requests with such inputs fill it."""
ACTIVE_SERVICE_MS = 5_000.0
"""A service without new work for this long has no queue left to hand over."""
DRAIN_CHECK_INTERVAL_MS = 50.0


@attrs.define(kw_only=True)
class _ActiveGroup:
    service: str
    group: PieceGroup
    scope: anyio.CancelScope
    pinned: bool


class Decider(Service):
    """The batchers and placers of this daemon, created on first use."""

    def __init__(
        self,
        *,
        clock: Clock,
        deployment: Deployment,
        dialect: Dialect,
        connections: BackendConnections,
        tracing: Tracing,
        request_limits: RequestLimits,
    ) -> None:
        self._clock = clock
        self._deployment = deployment
        self._dialect = dialect
        self._connections = connections
        self._tracing = tracing
        self._request_limits = request_limits
        self._batchers: dict[str, StageBatcher] = {}
        self._placers: dict[str, EnginePlacer] = {}
        self._groups: dict[str, _ActiveGroup] = {}
        self._plain_requests = RequestsInFlight(clock=clock)
        self._last_used_at: dict[str, Instant] = {}
        self._asked_for_at: dict[str, Instant] = {}
        self._activity = anyio.Event()
        self._tasks: BackgroundTasks | None = None
        self._free_inputs: FreeInputs = _free_nothing

    def set_free_inputs(self, free: FreeInputs) -> None:
        """Sets the function that frees inputs, at other deciders as well."""
        self._free_inputs = free

    @property
    def active_services(self) -> list[str]:
        """The services that recently had work scheduled by this daemon."""
        now = self._clock.now()
        return [
            service
            for service in self._last_used_at.keys() | self._asked_for_at.keys()
            if now - self._last_used_at.get(service, -math.inf)
            < ACTIVE_SERVICE_MS
            or now - self._asked_for_at.get(service, -math.inf)
            < ACTIVE_SERVICE_MS
        ]

    async def wait_until_active(self) -> None:
        """Returns once a service has work here, or has had some recently."""
        if not self._groups and not self.active_services:
            self._activity = anyio.Event()
            await self._activity.wait()

    def _record_activity(self, times: dict[str, Instant], service: str) -> None:
        times[service] = self._clock.now()
        if not self._activity.is_set():
            self._activity.set()

    async def run(self) -> None:
        """Runs the calls of the batches."""
        async with background_tasks() as tasks:
            self._tasks = tasks
            await anyio.sleep_forever()

    async def drain(self) -> None:
        """Waits until all groups in progress at this daemon are done.

        Other daemons wait for their results, and would otherwise have them
        computed again elsewhere.
        """
        while self._groups:
            await self._clock.sleep(DRAIN_CHECK_INTERVAL_MS)

    async def compute_work(
        self, work: StageWork, *, pinned: bool
    ) -> Result[StageOutcome, Failure] | None:
        """Computes the results of work.

        Args:
            work: The pieces of one stage of one request.
            pinned: Whether the work stays at this daemon even if another one
                becomes the decider.

        Returns:
            The results or a failure; None if another daemon has to do the work.
        """
        now = self._clock.now()
        group = PieceGroup(
            objective_at=now + work.objective_in_ms,
            deadline_at=now + work.deadline_in_ms,
            priority=work.priority,
            result_bytes=work.result_bytes,
            data_centre=work.data_centre,
            transfer_bytes=work.transfer_bytes,
            last_use_of=work.last_use_of,
            started=work.repeated,
            customer=work.customer,
            weight=self._deployment.customer_weight(work.customer),
            digest=work.digest,
            caller_waits_until=now + work.caller_left_ms,
        )
        group.tasks = [PieceTask(piece=p, group=group) for p in work.pieces]
        group.inputs_in_scarce_memory = self._has_large_inputs(work)
        with self._tracing.of_request(
            "pieces",
            work.pieces[0].request_id,
            service=work.service,
            pieces=len(work.pieces),
        ):
            return await self.compute_group(
                work.service,
                work.name,
                group,
                may_refuse=work.may_refuse,
                pinned=pinned,
            )

    async def compute_group(
        self,
        service: str,
        name: str,
        group: PieceGroup,
        *,
        may_refuse: bool,
        pinned: bool,
    ) -> Result[StageOutcome, Failure] | None:
        """Computes the results of a group of pieces.

        Args:
            service: Service that computes the pieces.
            name: Identifies the work across all daemons.
            group: The pieces.
            may_refuse: Whether the group may be refused at once if too little
                time is left for it.
            pinned: Whether the group stays at this daemon even if another one
                becomes the decider.

        Returns:
            The results or a failure; None if another daemon has to do the work.
        """
        batcher = self._batcher(service)
        if batcher is None:
            return None
        now = self._clock.now()
        if now - self._last_used_at.get(service, -math.inf) > ACTIVE_SERVICE_MS:
            batcher.take_over()
        self._record_activity(self._last_used_at, service)
        with anyio.CancelScope() as scope:
            self._groups[name] = _ActiveGroup(
                service=service, group=group, scope=scope, pinned=pinned
            )
            try:
                return await batcher.run(group, may_refuse=may_refuse)
            finally:
                self._groups.pop(name, None)
        return None

    def _has_large_inputs(self, work: StageWork) -> bool:
        """Returns whether the inputs of work fill much of the replicas' memory.

        While late requests with such inputs are queued, the preceding stage
        has no free memory for new results.
        """
        for inputs in work.last_use_of:
            spec = self._deployment.service(inputs.service)
            if spec is None or spec.batching is None:
                continue
            memory_bytes = spec.batching.result_capacity_bytes
            if work.transfer_bytes > LARGE_INPUT_SHARE * memory_bytes:
                return True
        return False

    def cancel(self, name: str) -> None:
        """Cancels a group whose caller no longer waits for it."""
        active = self._groups.get(name)
        if active is not None:
            active.scope.cancel()

    def handover(self, decides_here: Callable[[str], bool]) -> None:
        """Returns groups to their callers if another daemon is now the decider.

        Two queues for one service half-fill their batches, and neither accounts
        for the replica memory that the results of the other one occupy. Groups
        that are pinned or already started stay.

        Args:
            decides_here: Returns whether this daemon is a service's decider.
        """
        for active in tuple(self._groups.values()):
            if active.pinned or active.group.started:
                continue
            if not decides_here(active.service):
                active.scope.cancel()

    def backlog(self, service: str) -> Backlog:
        """Returns the queueing time of a service's pieces at this daemon."""
        batcher = self._batchers.get(service)
        return batcher.queue.backlog() if batcher else Backlog()

    def return_count(self, outcome: str) -> int:
        """Returns how many refused requests have ended in a way here.

        Args:
            outcome: An attribute of `ReturnCounts`, or "held" for reservations
                that are waited for.
        """
        tables = [batcher.returns for batcher in self._batchers.values()]
        if outcome == "held":
            return sum(table.count for table in tables)
        return sum(getattr(table.counts, outcome) for table in tables)

    def return_time(self, question: ReturnQuestion) -> ReturnAnswer | None:
        """Returns when a request should return that a daemon would refuse.

        None if this daemon has no queue of the service.
        """
        batcher = self._batchers.get(question.service)
        return batcher.return_time(question) if batcher else None

    def free(self, service: str, handles: Sequence[str]) -> None:
        """Frees results in the memory of stage replicas."""
        batcher = self._batcher(service)
        if batcher is not None:
            batcher.free(handles)

    def place(
        self,
        service: str,
        placement_id: str,
        generation: Generation,
        exclude: Collection[str],
        inputs: Mapping[str, float],
        version: str = "",
    ) -> Replica | None:
        """Chooses an engine for a request and counts the request there.

        Args:
            service: Service of the engines.
            placement_id: Identifies the attempt in later notifications.
            generation: Parameters of the generation, with the prompt's parts.
            exclude: Names of engines that failed this request.
            inputs: Bytes of stage results to fetch, by data centre.
            version: Software version that the engine must have, empty for any.

        Returns:
            The engine; None if there is none or the service has no engines.
        """
        spec = self._deployment.service(service)
        if spec is None or spec.engine is None:
            return None
        self._record_activity(self._last_used_at, service)
        engines = self._deployment.usable_replicas(service)
        others = {e.name for e in engines if version not in {"", e.version}}
        chosen = self._placer(service).place(
            placement_id,
            generation,
            engines,
            spec.engine,
            exclude={
                *exclude,
                *others,
                *self._request_limits.exhausted(engines),
            },
            inputs=inputs,
        )
        if chosen is not None:
            self._request_limits.record(chosen)
        return chosen

    def in_flight(self, replica: Replica) -> int:
        """Returns how many requests this daemon has sent to a replica.

        Calls of stages are not among them: their queue counts them itself.
        """
        placer = self._placers.get(replica.service)
        if placer is not None:
            return placer.running(replica.name)
        return self._plain_requests.count(replica.name)

    def choose_limited(
        self, service: str, placement_id: str, exclude: Collection[str]
    ) -> Replica | None:
        """Chooses a replica that only the decider may send requests to.

        Args:
            service: A service that daemons send requests to without a decider,
                except to limited replicas.
            placement_id: Identifies the attempt in `record_end`.
            exclude: Names of replicas that must not be used.

        Returns:
            A replica that tolerates another request, or None.
        """
        self._record_activity(self._last_used_at, service)
        replicas = self._deployment.usable_replicas(service)
        chosen = self._request_limits.choose_limited(replicas, exclude)
        if chosen is not None:
            self._plain_requests.start(placement_id, chosen.name)
        return chosen

    def merge_limits(self, values: Iterable[Any], *, source: str) -> None:
        """Merges another daemon's reports of limits.

        Raises:
            TypeError, ValueError: The reports are malformed.
        """
        self._request_limits.merge_reports(values, source=source)

    def merge_loads(self, service: str, values: Any) -> None:
        """Merges another daemon's reports of how slow replicas are.

        Reports that cannot be used are discarded.
        """
        self._deployment.loads.merge(
            service, values, find=self._deployment.replica
        )

    def known_loads(self, service: str) -> list[list[Any]]:
        """Returns the encoded reports of how slow a service's replicas are."""
        return self._deployment.loads.encode_known(service)

    def record_use(self, service: str) -> None:
        """Records that daemons will ask this decider for replicas of a service.

        A daemon announces only services that it has scheduled work for.
        """
        self._record_activity(self._asked_for_at, service)

    def locate(self, service: str, generation: Generation) -> Replica | None:
        """Returns the engine that would be chosen now if it caches the subject.

        Nothing is counted. See `EnginePlacer.locate`.
        """
        spec = self._deployment.service(service)
        if spec is None or spec.engine is None:
            return None
        engines = self._deployment.usable_replicas(service)
        exhausted = self._request_limits.exhausted(engines)
        return self._placer(service).locate(
            generation,
            [e for e in engines if e.name not in exhausted],
            spec.engine,
        )

    def merge_snapshot(self, service: str, snapshot: ResourceSnapshot) -> None:
        """Adds the replica resources that another daemon's requests occupy."""
        spec = self._deployment.service(service)
        batcher = self._batcher(service)
        if batcher is not None:
            batcher.record_held_results(snapshot.results)
        if spec is None or spec.engine is None:
            return
        placer = self._placer(service)
        for prompt in snapshot.prompts:
            if self._deployment.replica(prompt.replica) is None:
                continue
            placer.record_cached_prompt(
                prompt.replica, prompt.generation, spec.engine
            )
            if prompt.placement_id:
                placer.record_running(
                    prompt.placement_id,
                    prompt.replica,
                    prompt.generation,
                    prefilling=prompt.prefilling,
                )

    def data_centre_of(self, handle: str) -> str:
        """Returns a result's data centre; empty if its replica was removed."""
        address = self._dialect.replica_address_of(handle)
        return self._deployment.data_centre_at(address)

    def record_first_token(self, service: str, placement_id: str) -> None:
        """Records the first token of a placed request."""
        self._placer(service).record_first_token(placement_id)

    def record_end(
        self, service: str, placement_id: str, *, failed: bool
    ) -> None:
        """Records that a request has ended at its replica."""
        self._plain_requests.end(placement_id)
        placer = self._placers.get(service)
        if placer is not None:
            placer.record_end(placement_id, failed=failed)

    def _placer(self, service: str) -> EnginePlacer:
        placer = self._placers.get(service)
        if placer is None:
            placer = self._placers[service] = EnginePlacer(
                clock=self._clock, loads=self._deployment.loads
            )
        return placer

    def _batcher(self, service: str) -> StageBatcher | None:
        spec = self._deployment.service(service)
        if spec is None or spec.batching is None or self._tasks is None:
            return None
        batcher = self._batchers.get(service)
        if batcher is None:
            batcher = self._batchers[service] = StageBatcher(
                service=service,
                spec=spec.batching,
                clock=self._clock,
                deployment=self._deployment,
                dialect=self._dialect,
                connections=self._connections,
                tasks=self._tasks,
                free_inputs=self._free_inputs,
                request_limits=self._request_limits,
            )
        batcher.update(spec.batching)
        return batcher


def _free_nothing(service: str, handles: Sequence[str]) -> bool:
    """Frees no inputs early; the default until `set_free_inputs` is called."""
    del service, handles
    return False
