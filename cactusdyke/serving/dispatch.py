"""Takes each decision to the daemon that decides for its service.

Pieces of different requests share calls, and engines are chosen with all of
their work known, only where one daemon sees both. Which one it is follows
from the members; if it is silent the next one decides, and at last this one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio
import attrs
import orjson
from result import Err, Ok, Result

from cactusdyke import events
from cactusdyke.errors import Failure, FailureKind, Ran
from cactusdyke.kernel import Service
from cactusdyke.serving.decided import DecidedServices
from cactusdyke.serving.dispatch_messages import (
    StageMade,
    StageWork,
    failure_from,
    generation_to,
    work_to,
)
from cactusdyke.serving.holdings import Holdings, briefing_to
from cactusdyke.serving.model import Replica
from cactusdyke.serving.peers import PeerDaemon
from cactusdyke.serving.stage_queue import Backlog
from cactusdyke.transport.messages import JSON_TYPE, Request, parse_object
from cactusdyke.transport.network import CallOptions

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Mapping, Sequence

    from cactusdyke.clock import Clock, Instant
    from cactusdyke.serving.decider import Decider
    from cactusdyke.serving.deciders import Deciders
    from cactusdyke.serving.deployment import Deployment
    from cactusdyke.serving.peer_watch import PeerWatch
    from cactusdyke.serving.request import Generation
    from cactusdyke.transport.network import Network

STAGE_PATH = "/internal/v1/stage-group"
PLACE_PATH = "/internal/v1/placement"
NOTES_PATH = "/internal/v1/notes"
CONNECT_TIMEOUT_MS = 250.0
PLACE_TIMEOUT_MS = 150.0
"""A tenth of the shortest objectives; choosing alone is better than waiting."""
NOTES_EVERY_MS = 8.0
NOTES_TIMEOUT_MS = 500.0
MOST_NOTES = 2_000
BACKLOG_VALUES = 2
MOST_TURNS = 4
"""After so many daemons that gave the work back it is made here."""
HAND_OVER_EVERY_MS = 200.0
EARLY_FREE_BACKLOG_MS = 200.0
"""About a call: with less waiting for it the memory is not what binds."""
EARLY_FREE_STABLE_MS = 3_000.0
"""By then all agree on who decides. While two did, calls waited behind the
other's at the replicas and found their inputs freed, 1,700 pieces in a day of
rolling stops."""


@attrs.frozen(kw_only=True)
class Placed:
    """An engine that was chosen, and by whom."""

    replica: Replica
    service: str
    placement_id: str
    decider: PeerDaemon


class Dispatch(Service):
    """Asks the deciding daemons, this one where it decides itself."""

    def __init__(
        self,
        *,
        clock: Clock,
        network: Network,
        deciders: Deciders,
        watch: PeerWatch,
        decider: Decider,
        deployment: Deployment,
        announce: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._network = network
        self._deciders = deciders
        self._watch = watch
        self._decider = decider
        self._deployment = deployment
        self._announce = announce
        self._holdings = Holdings(clock=clock)
        self._met: dict[str, str] = {}
        self._decided = DecidedServices(clock=clock, deciders=deciders)
        self._notes: dict[str, list[Any]] = {}
        self._backlogs: dict[str, tuple[Backlog, Instant]] = {}
        self._noted = anyio.Event()
        decider.free_inputs_by(self._free_early)

    @property
    def decides(self) -> frozenset[int]:
        """Marks of the services that this daemon decides for."""
        return self._decided.marks

    async def run(self) -> None:
        """Sends notes to the daemons that decide."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._hand_over)
            while True:
                await self._noted.wait()
                await self._clock.sleep(NOTES_EVERY_MS)
                self._noted = anyio.Event()
                notes, self._notes = self._notes, {}
                for address, lines in notes.items():
                    tasks.start_soon(self._send_notes, address, lines)

    async def _hand_over(self) -> None:
        while True:
            await self._clock.sleep(HAND_OVER_EVERY_MS)
            self._decider.hand_over(
                lambda name: self._deciders.by_members(name).own
            )
            # Whoever has run for two seconds goes before daemons that have not,
            # but for what these say that they decide. Told in the rounds of
            # probes that came too late: seen as three to seven deciders for a
            # service in the third second after a loss of all daemons.
            if self._decided.update(self._decider.decided):
                self._announce()

    def _meet(self, service: str) -> PeerDaemon:
        """Returns who decides; tells a new one what is held from here.

        It would take the makers' memory for empty, and send engines prompts
        that others have read.
        """
        peer = self._deciders.first(service)
        before = self._met.get(service)
        if before == peer.name:
            return peer
        self._met[service] = peer.name
        briefing = self._holdings.briefing(service)
        if before is None or briefing.empty:
            return peer
        events.log(
            events.Event.DECIDER_CHANGED,
            service=service,
            before=before,
            now=peer.name,
            results=len(briefing.results),
            prompts=len(briefing.prompts),
        )
        if peer.own:
            self._decider.learn(service, briefing)
        else:
            self._note(peer, ["briefing", service, briefing_to(briefing)])
        return peer

    async def make(self, work: StageWork) -> Result[StageMade, Failure]:
        """Makes the results of one stage."""
        began = self._clock.now()
        for turn in range(MOST_TURNS):
            peer = self._meet(work.service)
            left = _later(work, self._clock.now() - began)
            last = turn == MOST_TURNS - 1
            if peer.own or last:
                answer = await self._decider.make_work(left, pinned=last)
            else:
                insists = turn == MOST_TURNS - 2
                answer = await self._make_at(peer, left, insists=insists)
            if isinstance(answer, Ok):
                made = [h for h in answer.ok_value.handles if h]
                self._holdings.made(work.service, made, work.result_bytes)
            if answer is not None:
                return answer
        return Err(_no_service(work))

    def backlog(self, service: str) -> Backlog:
        """Returns how long pieces of a service wait, as last told.

        What was told fades as time passes: the queue has been worked on.
        """
        if self._deciders.first(service).own:
            return self._decider.backlog(service)
        told, at = self._backlogs.get(service, (Backlog(), 0.0))
        age_ms = self._clock.now() - at
        return Backlog(
            feasible_ms=max(0.0, told.feasible_ms - age_ms),
            all_ms=max(0.0, told.all_ms - age_ms),
        )

    def _told_backlog(self, service: str, value: Any) -> None:
        if isinstance(value, list) and len(value) == BACKLOG_VALUES:
            told = Backlog(feasible_ms=float(value[0]), all_ms=float(value[1]))
            self._backlogs[service] = (told, self._clock.now())

    def free(self, service: str, handles: Sequence[str]) -> None:
        """Frees results at the daemon that keeps count of them."""
        if not handles:
            return
        self._holdings.freed(service, handles)
        peer = self._meet(service)
        if peer.own:
            self._decider.free(service, handles)
        else:
            self._note(peer, ["free", service, list(handles)])

    def _free_early(self, service: str, handles: Sequence[str]) -> bool:
        """Frees inputs that calls have fetched, if that helps anybody.

        It costs the requests of which a piece fails afterwards, 2 in 100, all
        their results; where memory binds it makes calls a third fuller.
        """
        if self.backlog(service).all_ms < EARLY_FREE_BACKLOG_MS:
            return False
        if self._deciders.stable_ms < EARLY_FREE_STABLE_MS:
            return False
        self.free(service, handles)
        return True

    async def place(
        self,
        service: str,
        placement_id: str,
        generation: Generation,
        exclude: Collection[str],
        inputs: Mapping[str, float],
    ) -> Placed | None:
        """Chooses an engine for a request.

        Args:
            service: The engines' service.
            placement_id: Names the attempt in `started` and `ended`.
            generation: What the request asks for.
            exclude: Names of engines that failed the request.
            inputs: Bytes of stages' results to fetch, by data centre.
        """
        own = self._deciders.own()
        peer = self._meet(service)
        replica: Replica | None = None
        if not peer.own:
            replica = await self._place_at(
                peer, service, placement_id, generation, exclude, inputs
            )
            peer = self._deciders.first(service)
        if replica is None or not self._deployment.may_use(replica):
            peer = own
            replica = self._decider.place(
                service, placement_id, generation, exclude, inputs
            )
        if replica is None:
            return None
        self._holdings.placed(service, placement_id, replica.name, generation)
        return Placed(
            replica=replica,
            service=service,
            placement_id=placement_id,
            decider=peer,
        )

    async def locate(self, service: str, generation: Generation) -> str:
        """Returns the data centre of the engine that knows a subject.

        Empty if none does, or the one that does has too much work.
        """
        peer = self._deciders.first(service)
        replica: Replica | None = None
        if not peer.own:
            replica = await self._place_at(
                peer, service, "", generation, (), {}
            )
        else:
            replica = self._decider.locate(service, generation)
        return replica.data_centre if replica else ""

    def data_centre_of(self, handle: str) -> str:
        """Returns where a result lies, empty if its maker is gone."""
        return self._decider.data_centre_of(handle)

    def started(self, placed: Placed) -> None:
        """Tells that a request's first token has come."""
        self._holdings.started(placed.service, placed.placement_id)
        if placed.decider.own:
            self._decider.started(placed.service, placed.placement_id)
        else:
            self._note(
                placed.decider,
                ["started", placed.service, placed.placement_id],
            )

    def ended(self, placed: Placed, *, failed: bool) -> None:
        """Tells that a request has left its engine."""
        self._holdings.ended(placed.service, placed.placement_id)
        if placed.decider.own:
            self._decider.ended(
                placed.service, placed.placement_id, failed=failed
            )
        else:
            self._note(
                placed.decider,
                ["ended", placed.service, placed.placement_id, failed],
            )

    async def _make_at(
        self, peer: PeerDaemon, work: StageWork, *, insists: bool
    ) -> Result[StageMade, Failure] | None:
        """Asks another daemon; None if it has to be asked elsewhere."""
        answered = False
        try:
            with self._watch.waiting_for(peer):
                body = {**work_to(work), "insists": insists}
                answer = await self._fetch(
                    peer, STAGE_PATH, body, work.ends_in_ms
                )
                answered = True
        finally:
            if not answered:
                self._note(peer, ["cancel", work.service, work.name])
        if not answered:
            return None
        if isinstance(answer, Err):
            if answer.err_value.ran is Ran.NOT_RUN:
                detail = answer.err_value.detail
                self._watch.mark_silent(peer, detail=detail)
            else:
                self._watch.suspect(peer)
            return None
        body = answer.ok_value
        if "moved" in body:
            self._deciders.take_moved(work.service, body["moved"])
            return None
        self._told_backlog(work.service, body.get("backlog"))
        if "handles" in body:
            return Ok(
                StageMade(
                    handles=tuple(body["handles"]),
                    inputs_freed=bool(body.get("inputs_freed")),
                )
            )
        return Err(failure_from(body["failure"]))

    async def _place_at(
        self,
        peer: PeerDaemon,
        service: str,
        placement_id: str,
        generation: Generation,
        exclude: Collection[str],
        inputs: Mapping[str, float],
    ) -> Replica | None:
        body: dict[str, Any] = {
            "service": service,
            "id": placement_id,
            "generation": generation_to(generation),
            "exclude": list(exclude),
            "inputs": {dc: round(size) for dc, size in inputs.items()},
        }
        answer: Result[dict[str, Any], Failure] | None = None
        with self._clock.timeout(PLACE_TIMEOUT_MS):
            answer = await self._fetch(peer, PLACE_PATH, body, PLACE_TIMEOUT_MS)
            if isinstance(answer, Ok) and "moved" in answer.ok_value:
                self._deciders.take_moved(service, answer.ok_value["moved"])
                peer = self._deciders.first(service)
                body["insists"] = True
                answer = await self._fetch(
                    peer, PLACE_PATH, body, PLACE_TIMEOUT_MS
                )
        if answer is None or isinstance(answer, Err):
            # One late answer may be this daemon's own fault; whether the other
            # one is silent is asked before everyone's requests leave it.
            self._watch.suspect(peer)
            return None
        name = answer.ok_value.get("replica")
        return self._deployment.replica(name) if name else None

    async def _fetch(
        self, peer: PeerDaemon, path: str, body: Any, timeout_ms: float
    ) -> Result[dict[str, Any], Failure]:
        request = Request(
            method="POST",
            path=path,
            headers={"content-type": JSON_TYPE},
            body=orjson.dumps(body),
        )
        options = CallOptions(
            connect_timeout_ms=CONNECT_TIMEOUT_MS,
            progress_timeout_ms=timeout_ms,
        )
        answer = await self._network.fetch(peer.address, request, options)
        if isinstance(answer, Err):
            return answer
        self._watch.heard(peer.address)
        response = answer.ok_value
        if response.status != 200 or not isinstance(response.body, bytes):
            return Err(
                Failure(
                    kind=FailureKind.BACKEND_FAILED,
                    detail=f"{peer.name} answered {response.status}",
                    ran=Ran.UNKNOWN,
                )
            )
        return parse_object(response.body)

    def _note(self, peer: PeerDaemon, line: list[Any]) -> None:
        lines = self._notes.setdefault(peer.address, [])
        if len(lines) < MOST_NOTES:
            lines.append(line)
        self._noted.set()

    async def _send_notes(self, address: str, lines: list[Any]) -> None:
        request = Request(
            method="POST",
            path=NOTES_PATH,
            headers={"content-type": JSON_TYPE},
            body=orjson.dumps({"notes": lines}),
        )
        options = CallOptions(
            connect_timeout_ms=CONNECT_TIMEOUT_MS,
            progress_timeout_ms=NOTES_TIMEOUT_MS,
        )
        # A note that is lost costs accuracy: results expire by themselves,
        # and placements are forgotten after a while.
        answer = await self._network.fetch(address, request, options)
        if answer.is_ok():
            self._watch.heard(address)


def _later(work: StageWork, passed_ms: float) -> StageWork:
    return attrs.evolve(
        work,
        needed_in_ms=work.needed_in_ms - passed_ms,
        ends_in_ms=work.ends_in_ms - passed_ms,
    )


def _no_service(work: StageWork) -> Failure:
    return Failure(
        kind=FailureKind.NO_BACKEND_SERVER,
        detail=f"the stage service {work.service} is not configured",
        retry_after_ms=500,
    )
