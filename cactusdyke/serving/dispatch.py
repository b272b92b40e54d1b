"""Sends stage work and engine placements to the decider of a service.

Pieces of different requests can share calls, and engines can be chosen by
their whole load, only if one daemon schedules all work of a service. That
daemon, the decider, follows from the membership. If it is silent the next one
is used, and as the last resort this daemon.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio
import attrs
import orjson
from result import Err, Ok, Result

from cactusdyke import events
from cactusdyke.background import background_tasks
from cactusdyke.errors import Failure, FailureKind, Ran
from cactusdyke.kernel import Service
from cactusdyke.serving.dispatch_messages import (
    StageOutcome,
    StageWork,
    decode_failure,
    encode_generation,
    encode_work,
)
from cactusdyke.serving.model import Replica
from cactusdyke.serving.peers import PeerDaemon
from cactusdyke.serving.replica_load import MAX_SHARED_REPORTS
from cactusdyke.serving.resource_tracker import ResourceTracker, encode_snapshot
from cactusdyke.serving.stage_pieces import Backlog
from cactusdyke.transport.messages import JSON_TYPE, Request, parse_object
from cactusdyke.transport.network import CallOptions

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Mapping, Sequence

    from cactusdyke.clock import Clock, Instant
    from cactusdyke.serving.decided_services import DecidedServices
    from cactusdyke.serving.decider import Decider
    from cactusdyke.serving.decider_directory import DeciderDirectory
    from cactusdyke.serving.deployment import Deployment
    from cactusdyke.serving.peer_watch import PeerWatch
    from cactusdyke.serving.request import Generation
    from cactusdyke.serving.stated_limits import LimitReport, StatedLimits
    from cactusdyke.transport.network import Network

STAGE_PATH = "/internal/v1/stage-group"
PLACEMENT_PATH = "/internal/v1/placement"
NOTIFICATIONS_PATH = "/internal/v1/notes"
CONNECT_TIMEOUT_MS = 250.0
PLACEMENT_TIMEOUT_MS = 150.0
"""A tenth of the shortest objective; a local choice is better than waiting."""
NOTIFY_INTERVAL_MS = 8.0
NOTIFY_TIMEOUT_MS = 500.0
MAX_NOTIFICATIONS = 2_000
"""Queue limit per receiving daemon; further notifications are dropped."""
BACKLOG_FIELDS = 2
MAX_ROUTING_ATTEMPTS = 4
"""Work that was returned or redirected this often is done by this daemon."""
HANDOVER_INTERVAL_MS = 200.0
LIMITED_RETRY_MS = 500.0
"""Between two questions for a limited replica if there are others."""
EARLY_FREE_BACKLOG_MS = 200.0
"""About the length of a call; below it memory is not the bottleneck."""
EARLY_FREE_STABLE_MS = 3_000.0
"""Within this time all daemons agree on the decider. With two deciders, calls
of one queue wait at the replicas behind those of the other and find their
inputs freed: 1,700 pieces in a day of rolling stops."""


@attrs.frozen(kw_only=True)
class ChosenReplica:
    """A replica chosen for a request, and the decider that chose it."""

    replica: Replica
    service: str
    placement_id: str
    decider: PeerDaemon


class Dispatch(Service):
    """Calls the deciders of services, directly if that is this daemon."""

    def __init__(
        self,
        *,
        clock: Clock,
        network: Network,
        deciders: DeciderDirectory,
        watch: PeerWatch,
        decider: Decider,
        decided: DecidedServices,
        deployment: Deployment,
        stated_limits: StatedLimits,
        announce: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._network = network
        self._deciders = deciders
        self._watch = watch
        self._decider = decider
        self._deployment = deployment
        self._stated_limits = stated_limits
        stated_limits.on_answer(self._notify_limit)
        self._refused_until: dict[str, Instant] = {}
        self._announce = announce
        self._tracker = ResourceTracker(clock=clock)
        self._last_decider: dict[str, str] = {}
        self._decided = decided
        self._notifications: dict[str, list[Any]] = {}
        self._backlogs: dict[str, tuple[Backlog, Instant]] = {}
        self._notification_added = anyio.Event()
        decider.set_free_inputs(self._free_early)

    @property
    def decided_hashes(self) -> frozenset[int]:
        """Service hashes of the services that this daemon is the decider of."""
        return self._decided.service_hashes

    async def run(self) -> None:
        """Sends queued notifications and hands groups over to new deciders."""
        async with background_tasks() as tasks:
            tasks.start_loop(self._handover_loop)
            while True:
                await self._notification_added.wait()
                await self._clock.sleep(NOTIFY_INTERVAL_MS)
                self._notification_added = anyio.Event()
                pending, self._notifications = self._notifications, {}
                for address, notifications in pending.items():
                    tasks.start_soon(
                        self._send_notifications, address, notifications
                    )

    async def _handover_loop(self) -> None:
        while True:
            await self._decider.wait_until_active()
            await self._clock.sleep(HANDOVER_INTERVAL_MS)
            self._decider.handover(
                lambda name: self._deciders.decider_by_membership(name).is_local
            )
            # A daemon that has run for two seconds ranks before newer ones,
            # unless these announce that they are the decider. Announced with
            # the regular probes only, this arrives too late: after the loss
            # of all daemons a service had three to seven deciders in the
            # third second.
            if self._decided.update(self._decider.active_services):
                self._announce()

    def _decider_for(self, service: str) -> PeerDaemon:
        """Returns the decider of a service, and informs a new one.

        Without this daemon's resource snapshot a new decider would assume
        that the memory of stage replicas is empty, and would send prompts to
        engines other than those that have cached them.
        """
        peer = self._deciders.decider_of(service)
        before = self._last_decider.get(service)
        if before == peer.name:
            return peer
        self._last_decider[service] = peer.name
        snapshot = self._tracker.snapshot(service)
        if before is None or snapshot.is_empty:
            return peer
        events.log(
            events.Event.DECIDER_CHANGED,
            service=service,
            before=before,
            now=peer.name,
            results=len(snapshot.results),
            prompts=len(snapshot.prompts),
        )
        if peer.is_local:
            self._decider.merge_snapshot(service, snapshot)
        else:
            self._notify(peer, ["briefing", service, encode_snapshot(snapshot)])
        return peer

    async def compute_stage(
        self, work: StageWork
    ) -> Result[StageOutcome, Failure]:
        """Computes the results of one stage.

        Follows redirects. In the attempt before the last one the other daemon
        has to accept the work; in the last one this daemon does it.
        """
        began = self._clock.now()
        for attempt in range(MAX_ROUTING_ATTEMPTS):
            peer = self._decider_for(work.service)
            remaining = _after_elapsed(work, self._clock.now() - began)
            last = attempt == MAX_ROUTING_ATTEMPTS - 1
            if peer.is_local or last:
                answer = await self._decider.compute_work(
                    remaining, pinned=last
                )
            else:
                must_accept = attempt == MAX_ROUTING_ATTEMPTS - 2
                answer = await self._compute_at(
                    peer, remaining, must_accept=must_accept
                )
            if isinstance(answer, Ok):
                computed = [h for h in answer.ok_value.handles if h]
                self._tracker.record_results(
                    work.service, computed, work.result_bytes
                )
            if answer is not None:
                return answer
        return Err(_unknown_service_failure(work))

    def backlog(self, service: str) -> Backlog:
        """Returns the queueing time of a service's pieces, as last reported.

        A reported time is reduced by its age, as the queue has been processed
        since.
        """
        if self._deciders.decider_of(service).is_local:
            return self._decider.backlog(service)
        reported, at = self._backlogs.get(service, (Backlog(), 0.0))
        age_ms = self._clock.now() - at
        return Backlog(
            feasible_ms=max(0.0, reported.feasible_ms - age_ms),
            all_ms=max(0.0, reported.all_ms - age_ms),
        )

    def _update_backlog(self, service: str, value: Any) -> None:
        if isinstance(value, list) and len(value) == BACKLOG_FIELDS:
            reported = Backlog(
                feasible_ms=float(value[0]), all_ms=float(value[1])
            )
            self._backlogs[service] = (reported, self._clock.now())

    def free(self, service: str, handles: Sequence[str]) -> None:
        """Frees results at the decider, which accounts for them."""
        if not handles:
            return
        self._tracker.record_freed(service, handles)
        peer = self._decider_for(service)
        if peer.is_local:
            self._decider.free(service, handles)
        else:
            self._notify(peer, ["free", service, list(handles)])

    def _free_early(self, service: str, handles: Sequence[str]) -> bool:
        """Frees inputs that calls have fetched, if memory is a bottleneck.

        If a piece fails afterwards, as for 2 in 100 requests, the request
        loses all its results. Where memory is the bottleneck, batches become
        a third larger.

        Args:
            service: Service that computed the inputs.
            handles: Handles of the inputs.

        Returns:
            Whether the inputs are freed.
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
        version: str = "",
    ) -> ChosenReplica | None:
        """Chooses an engine for a request.

        Args:
            service: Service of the engines.
            placement_id: Identifies the attempt in later notifications.
            generation: Parameters of the generation, with the prompt's parts.
            exclude: Names of engines that failed the request.
            inputs: Bytes of stage results to fetch, by data centre.
            version: Software version that the engine must have, empty for any.

        Returns:
            The chosen engine; None if there is none.
        """
        local = self._deciders.local_daemon()
        peer = self._decider_for(service)
        replica: Replica | None = None
        if not peer.is_local:
            replica = await self._place_at(
                peer,
                service,
                placement_id,
                generation,
                exclude,
                inputs,
                version,
            )
            peer = self._deciders.decider_of(service)
        # The decider may know another entry of the replica than this daemon,
        # or be of a release that ignores the version.
        if (
            replica is None
            or not self._deployment.is_usable(replica)
            or version not in {"", replica.version}
        ):
            peer = local
            replica = self._decider.place(
                service, placement_id, generation, exclude, inputs, version
            )
        if replica is None:
            return None
        self._tracker.record_placement(
            service, placement_id, replica.name, generation
        )
        return ChosenReplica(
            replica=replica,
            service=service,
            placement_id=placement_id,
            decider=peer,
        )

    async def choose_limited(
        self,
        service: str,
        placement_id: str,
        exclude: Collection[str],
        *,
        has_alternative: bool,
    ) -> ChosenReplica | None:
        """Asks the decider for a limited replica that tolerates a request.

        Args:
            service: The service.
            placement_id: Identifies the attempt in later notifications.
            exclude: Names of replicas that must not be used.
            has_alternative: Whether another replica can be used. The decider is
                then not asked again soon after it had none.
        """
        now = self._clock.now()
        if has_alternative and now < self._refused_until.get(service, 0.0):
            return None
        peer = self._deciders.decider_of(service)
        if peer.is_local:
            replica = self._decider.choose_limited(
                service, placement_id, exclude
            )
        else:
            body = {
                "service": service,
                "id": placement_id,
                "exclude": list(exclude),
            }
            replica = await self._fetch_choice(peer, service, body)
            if replica is None:
                self._refused_until[service] = now + LIMITED_RETRY_MS
        if replica is None or not self._deployment.is_usable(replica):
            return None
        return ChosenReplica(
            replica=replica,
            service=service,
            placement_id=placement_id,
            decider=peer,
        )

    async def locate(self, service: str, generation: Generation) -> str:
        """Returns the data centre of the engine that caches a subject.

        Empty if none does, or if the one that does is too busy.
        """
        peer = self._deciders.decider_of(service)
        replica: Replica | None = None
        if not peer.is_local:
            replica = await self._place_at(
                peer, service, "", generation, (), {}
            )
        else:
            replica = self._decider.locate(service, generation)
        return replica.data_centre if replica else ""

    def data_centre_of(self, handle: str) -> str:
        """Returns a result's data centre; empty if its replica was removed."""
        return self._decider.data_centre_of(handle)

    def notify_first_token(self, chosen: ChosenReplica) -> None:
        """Notifies the decider of a request's first token."""
        self._tracker.record_first_token(chosen.service, chosen.placement_id)
        if chosen.decider.is_local:
            self._decider.record_first_token(
                chosen.service, chosen.placement_id
            )
        else:
            self._notify(
                chosen.decider,
                ["started", chosen.service, chosen.placement_id],
            )

    def notify_end(self, chosen: ChosenReplica, *, failed: bool) -> None:
        """Notifies the decider that a request has ended at its engine."""
        self._tracker.record_end(chosen.service, chosen.placement_id)
        if chosen.decider.is_local:
            self._decider.record_end(
                chosen.service, chosen.placement_id, failed=failed
            )
        else:
            self._notify(
                chosen.decider,
                ["ended", chosen.service, chosen.placement_id, failed],
            )

    async def _compute_at(
        self, peer: PeerDaemon, work: StageWork, *, must_accept: bool
    ) -> Result[StageOutcome, Failure] | None:
        """Sends work to another daemon; None if it has to be sent elsewhere."""
        answered = False
        try:
            with self._watch.cancel_if_silent(peer):
                body = {**encode_work(work), "insists": must_accept}
                self._add_loads(body, work.service)
                answer = await self._fetch(
                    peer, STAGE_PATH, body, work.deadline_in_ms
                )
                answered = True
        finally:
            if not answered:
                self._notify(peer, ["cancel", work.service, work.name])
        if not answered:
            return None
        if isinstance(answer, Err):
            if answer.err_value.ran is Ran.NOT_RUN:
                detail = answer.err_value.detail
                self._watch.mark_silent(peer, detail=detail)
            else:
                self._watch.start_probing(peer)
            return None
        body = answer.ok_value
        if "moved" in body:
            self._deciders.apply_redirect(work.service, body["moved"])
            return None
        self._merge_loads(work.service, body)
        self._update_backlog(work.service, body.get("backlog"))
        if "handles" in body:
            return Ok(
                StageOutcome(
                    handles=tuple(body["handles"]),
                    inputs_freed=bool(body.get("inputs_freed")),
                )
            )
        return Err(decode_failure(body["failure"]))

    async def _place_at(
        self,
        peer: PeerDaemon,
        service: str,
        placement_id: str,
        generation: Generation,
        exclude: Collection[str],
        inputs: Mapping[str, float],
        version: str = "",
    ) -> Replica | None:
        body: dict[str, Any] = {
            "service": service,
            "id": placement_id,
            "generation": encode_generation(generation),
            "exclude": list(exclude),
            "inputs": {dc: round(size) for dc, size in inputs.items()},
        }
        if version:
            body["version"] = version
        return await self._fetch_choice(peer, service, body)

    async def _fetch_choice(
        self, peer: PeerDaemon, service: str, body: dict[str, Any]
    ) -> Replica | None:
        """Returns the replica that a decider chooses, None if there is none."""
        answer: Result[dict[str, Any], Failure] | None = None
        # The decider must know what this daemon knows before it chooses: a
        # notification may be lost, and a new decider has had none.
        reports = self._stated_limits.reports_of(service)
        if reports:
            body["limits"] = self._stated_limits.encode(reports)
        self._add_loads(body, service)
        with self._clock.timeout(PLACEMENT_TIMEOUT_MS):
            answer = await self._fetch(
                peer, PLACEMENT_PATH, body, PLACEMENT_TIMEOUT_MS
            )
            if isinstance(answer, Ok) and "moved" in answer.ok_value:
                self._deciders.apply_redirect(service, answer.ok_value["moved"])
                peer = self._deciders.decider_of(service)
                body["insists"] = True
                answer = await self._fetch(
                    peer, PLACEMENT_PATH, body, PLACEMENT_TIMEOUT_MS
                )
        if answer is None or isinstance(answer, Err):
            # A late answer may be caused by this daemon itself. The other one
            # is probed before all requests avoid it as silent.
            self._watch.start_probing(peer)
            return None
        self._merge_loads(service, answer.ok_value)
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
        self._watch.record_answer(peer.address)
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

    def _add_loads(self, body: dict[str, Any], service: str) -> None:
        loads = self._deployment.loads.take_unsent(service)
        if loads:
            body["loads"] = loads

    def _merge_loads(self, service: str, answer: dict[str, Any]) -> None:
        loads = answer.get("loads")
        if loads is not None:
            self._deployment.loads.merge(
                service, loads, find=self._deployment.replica
            )

    def _notify_limit(self, report: LimitReport) -> None:
        peer = self._deciders.decider_of(report.service)
        if peer.is_local:
            self._decider.record_use(report.service)
        else:
            values = self._stated_limits.encode([report])
            self._notify(peer, ["limits", report.service, values])

    def _notify(self, peer: PeerDaemon, notification: list[Any]) -> None:
        queued = self._notifications.setdefault(peer.address, [])
        if len(queued) < MAX_NOTIFICATIONS:
            queued.append(notification)
        self._notification_added.set()

    def _encode_notifications(self, notifications: list[Any]) -> dict[str, Any]:
        """Encodes notifications, with reports on the services they are on."""
        body: dict[str, Any] = {"notes": notifications}
        unsent = self._deployment.loads.unsent_services
        if not unsent:
            return body
        left = MAX_SHARED_REPORTS
        for service in dict.fromkeys(note[1] for note in notifications):
            reports = self._deployment.loads.take_unsent(service, left)
            if reports:
                body.setdefault("loads", {})[service] = reports
                left -= len(reports)
        return body

    async def _send_notifications(
        self, address: str, notifications: list[Any]
    ) -> None:
        request = Request(
            method="POST",
            path=NOTIFICATIONS_PATH,
            headers={"content-type": JSON_TYPE},
            body=orjson.dumps(self._encode_notifications(notifications)),
        )
        options = CallOptions(
            connect_timeout_ms=CONNECT_TIMEOUT_MS,
            progress_timeout_ms=NOTIFY_TIMEOUT_MS,
        )
        # A lost notification only costs accuracy: results expire by
        # themselves, and placements are dropped after a while.
        answer = await self._network.fetch(address, request, options)
        if answer.is_ok():
            self._watch.record_answer(address)


def _after_elapsed(work: StageWork, elapsed_ms: float) -> StageWork:
    return attrs.evolve(
        work,
        objective_in_ms=work.objective_in_ms - elapsed_ms,
        deadline_in_ms=work.deadline_in_ms - elapsed_ms,
        caller_left_ms=work.caller_left_ms - elapsed_ms,
    )


def _unknown_service_failure(work: StageWork) -> Failure:
    return Failure(
        kind=FailureKind.NO_BACKEND_SERVER,
        detail=f"the stage service {work.service} is not configured",
        retry_after_ms=500,
    )
