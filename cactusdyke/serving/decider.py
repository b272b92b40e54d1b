"""What one daemon decides for a service: its batches and placements."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import anyio
import attrs

from cactusdyke.kernel import Service
from cactusdyke.serving.batcher import StageBatcher
from cactusdyke.serving.placement import EnginePlacer
from cactusdyke.serving.stage_queue import Backlog, PieceGroup, PieceTask

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Mapping, Sequence

    from anyio.abc import TaskGroup
    from result import Result

    from cactusdyke.clock import Clock, Instant
    from cactusdyke.errors import Failure
    from cactusdyke.observe.tracing import Tracing
    from cactusdyke.serving.batcher import FreeInputs
    from cactusdyke.serving.deployment import Deployment
    from cactusdyke.serving.dialect import Dialect
    from cactusdyke.serving.dispatch_messages import StageMade, StageWork
    from cactusdyke.serving.holdings import Briefing
    from cactusdyke.serving.model import Replica
    from cactusdyke.serving.request import Generation
    from cactusdyke.transport.exchange import BackendConnections


SCARCE_SHARE = 0.02
"""Of a maker's memory: fifty requests that hold as much fill it."""
DECIDED_MS = 5_000.0
"""A service that nothing was asked of for so long has no queue to lose."""
DRAIN_LOOK_MS = 50.0


@attrs.define(kw_only=True)
class _Group:
    service: str
    group: PieceGroup
    scope: anyio.CancelScope
    pinned: bool


class Decider(Service):
    """The batchers and placers of this daemon, made when first needed."""

    def __init__(
        self,
        *,
        clock: Clock,
        deployment: Deployment,
        dialect: Dialect,
        connections: BackendConnections,
        tracing: Tracing,
    ) -> None:
        self._clock = clock
        self._deployment = deployment
        self._dialect = dialect
        self._connections = connections
        self._tracing = tracing
        self._batchers: dict[str, StageBatcher] = {}
        self._placers: dict[str, EnginePlacer] = {}
        self._groups: dict[str, _Group] = {}
        self._used_at: dict[str, Instant] = {}
        self._tasks: TaskGroup | None = None
        self._free_inputs: FreeInputs = _keep

    def free_inputs_by(self, free: FreeInputs) -> None:
        """Has inputs freed by `free`, which may reach another decider."""
        self._free_inputs = free

    @property
    def decided(self) -> list[str]:
        """The services that were lately decided for here."""
        now = self._clock.now()
        return [
            service
            for service, at in self._used_at.items()
            if now - at < DECIDED_MS
        ]

    async def run(self) -> None:
        """Runs the batches' calls."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            await anyio.sleep_forever()

    async def drain(self) -> None:
        """Returns once the groups that are being made here are made.

        Other daemons wait for theirs, and would have them made once more.
        """
        while self._groups:
            await self._clock.sleep(DRAIN_LOOK_MS)

    async def make_work(
        self, work: StageWork, *, pinned: bool
    ) -> Result[StageMade, Failure] | None:
        """Makes the results of work; None if it has to be made elsewhere.

        Args:
            work: The pieces of one stage of one request.
            pinned: Whether it stays here though another daemon decides.
        """
        now = self._clock.now()
        group = PieceGroup(
            objective_at=now + work.needed_in_ms,
            deadline_at=now + work.ends_in_ms,
            priority=work.priority,
            result_bytes=work.result_bytes,
            data_centre=work.data_centre,
            transfer_bytes=work.moved_bytes,
            last_use_of=work.last_use_of,
            started=work.again,
        )
        group.tasks = [PieceTask(piece=p, group=group) for p in work.pieces]
        group.inputs_in_scarce_memory = self._holds_scarce(work)
        with self._tracing.of_request(
            "pieces",
            work.pieces[0].request_id,
            service=work.service,
            pieces=len(work.pieces),
        ):
            return await self.make(
                work.service,
                work.name,
                group,
                may_refuse=work.may_refuse,
                pinned=pinned,
            )

    async def make(
        self,
        service: str,
        name: str,
        group: PieceGroup,
        *,
        may_refuse: bool,
        pinned: bool,
    ) -> Result[StageMade, Failure] | None:
        """Makes the results of a group; None if it has to be made elsewhere."""
        batcher = self._batcher(service)
        if batcher is None:
            return None
        now = self._clock.now()
        if now - self._used_at.get(service, -math.inf) > DECIDED_MS:
            batcher.take_over()
        self._used_at[service] = now
        with anyio.CancelScope() as scope:
            self._groups[name] = _Group(
                service=service, group=group, scope=scope, pinned=pinned
            )
            try:
                return await batcher.run(group, may_refuse=may_refuse)
            finally:
                self._groups.pop(name, None)
        return None

    def _holds_scarce(self, work: StageWork) -> bool:
        """Returns whether the inputs of work take much of their makers' memory.

        Late requests that wait with such inputs starve the stage before them.
        """
        configuration = self._deployment.configuration
        if configuration is None:
            return False
        for inputs in work.last_use_of:
            spec = configuration.services.get(inputs.service)
            if spec is None or spec.batching is None:
                continue
            room_bytes = spec.batching.result_room_bytes
            if work.moved_bytes > SCARCE_SHARE * room_bytes:
                return True
        return False

    def cancel(self, name: str) -> None:
        """Gives up a group that nobody waits for."""
        known = self._groups.get(name)
        if known is not None:
            known.scope.cancel()

    def hand_over(self, decides_here: Callable[[str], bool]) -> None:
        """Gives groups back whose service another daemon decides for by now.

        Two queues for one service fill their calls by halves, and neither
        knows what the other's results take of the replicas' memory.
        """
        for known in tuple(self._groups.values()):
            if known.pinned or known.group.started:
                continue
            if not decides_here(known.service):
                known.scope.cancel()

    def backlog(self, service: str) -> Backlog:
        """Returns how long pieces of a service wait here."""
        batcher = self._batchers.get(service)
        return batcher.queue.backlog() if batcher else Backlog()

    def free(self, service: str, handles: Sequence[str]) -> None:
        """Frees results."""
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
    ) -> Replica | None:
        """Chooses an engine."""
        configuration = self._deployment.configuration
        spec = configuration.services.get(service) if configuration else None
        if spec is None or spec.engine is None:
            return None
        self._used_at[service] = self._clock.now()
        return self._placer(service).place(
            placement_id,
            generation,
            self._deployment.usable(service),
            spec.engine,
            exclude=exclude,
            inputs=inputs,
        )

    def locate(self, service: str, generation: Generation) -> Replica | None:
        """Returns the engine that a request would get now."""
        configuration = self._deployment.configuration
        spec = configuration.services.get(service) if configuration else None
        if spec is None or spec.engine is None:
            return None
        return self._placer(service).locate(
            generation, self._deployment.usable(service), spec.engine
        )

    def learn(self, service: str, briefing: Briefing) -> None:
        """Takes what another daemon's requests hold at replicas."""
        configuration = self._deployment.configuration
        spec = configuration.services.get(service) if configuration else None
        batcher = self._batcher(service)
        if batcher is not None:
            batcher.record_held_results(briefing.results)
        if spec is None or spec.engine is None:
            return
        placer = self._placer(service)
        for prompt in briefing.prompts:
            if self._deployment.replica(prompt.replica) is None:
                continue
            placer.learn_held(prompt.replica, prompt.generation, spec.engine)
            if prompt.placement_id:
                placer.learn_running(
                    prompt.placement_id,
                    prompt.replica,
                    prompt.generation,
                    reading=prompt.reading,
                )

    def data_centre_of(self, handle: str) -> str:
        """Returns where a result lies, empty if its maker is gone."""
        address = self._dialect.maker_of(handle)
        return self._deployment.data_centre_at(address)

    def started(self, service: str, placement_id: str) -> None:
        """Notes a placed request's first token."""
        self._placer(service).started(placement_id)

    def ended(self, service: str, placement_id: str, *, failed: bool) -> None:
        """Notes that a placed request has left its engine."""
        self._placer(service).ended(placement_id, failed=failed)

    def _placer(self, service: str) -> EnginePlacer:
        placer = self._placers.get(service)
        if placer is None:
            placer = self._placers[service] = EnginePlacer(clock=self._clock)
        return placer

    def _batcher(self, service: str) -> StageBatcher | None:
        configuration = self._deployment.configuration
        spec = configuration.services.get(service) if configuration else None
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
            )
        batcher.update(spec.batching)
        return batcher


def _keep(service: str, handles: Sequence[str]) -> bool:
    """Frees nothing early, as long as nobody says how."""
    del service, handles
    return False
