"""Refuses requests that crash replicas, at all daemons.

Each daemon sees only the crashes that its own requests run into. It reports
them to the collectors, which are the daemons that read the store. These merge
the reports, and send all daemons the properties of requests that were in
progress at more than one crash. A daemon that misses a message gets the same
evidence with its next probe, and a daemon that starts reads it from the store.
"""

from __future__ import annotations

import abc
import collections
from typing import TYPE_CHECKING, Any

import anyio
import attrs
from result import Err

from cactusdyke import events
from cactusdyke.background import background_tasks
from cactusdyke.clock import Instant
from cactusdyke.errors import DECODING_ERRORS, Failure, FailureKind
from cactusdyke.kernel import Service
from cactusdyke.membership.attachments import ChangeAttachment
from cactusdyke.serving import broadcast
from cactusdyke.serving.crash_suspects import (
    MAX_SHARED_PROPERTIES,
    MIN_SHARED_CRASHES,
    Blame,
    CrashSuspects,
)
from cactusdyke.serving.recent_answers import RecentAnswers
from cactusdyke.serving.shared_properties import (
    prompt_parts,
    shared_properties,
    whole_request,
)
from cactusdyke.serving.state_readers import RankedReaders
from cactusdyke.transport.exchange import ExchangeError
from cactusdyke.transport.messages import (
    Request,
    Response,
    failure_response,
    json_response,
    parse_object,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from result import Result

    from cactusdyke.background import BackgroundTasks
    from cactusdyke.clock import Clock
    from cactusdyke.membership.attachments import Attachment
    from cactusdyke.serving.metrics import ServingMetrics
    from cactusdyke.serving.model import Replica
    from cactusdyke.serving.peers import PeerDaemons
    from cactusdyke.serving.request import ServingContext
    from cactusdyke.transport.exchange import BackendConnections
    from cactusdyke.transport.network import Network

CRASHES_PATH = "/internal/v2/crashes"
COALESCE_MS = 20.0
"""All connections to a crashing replica break within a few milliseconds."""
RECHECK_MS = 250.0
"""A process that ends may close its connections before it stops listening."""
RECHECK_INTERVAL_MS = 50.0
"""A process that is restarted at once is down for not much longer."""
BEGUN_MS = 250.0
"""From its first event on an answer has begun; a request that crashes replicas
as they begin to answer it ends before that."""
CONFIRM_MS = 100.0
"""How long requests wait once something is blamed: another daemon may know that
it is harmless."""
TRIAL_DELAY_MS = 2_000.0
"""After this time one request is sent although the parts of its prompt are
blamed, if that is doubtful."""
MAX_TRIED_CRASHES = 5
"""Crashes from which on such requests are not tried any more."""
MAX_BEGUN = 1_024
RETRY_MS = 500.0
SAVE_RETRY_MS = 2_000.0
LOAD_TIMEOUT_MS = 1_000.0
"""How long a starting daemon waits for saved evidence before it serves."""


class QuarantineStore(abc.ABC):
    """Stores the evidence that has to survive the loss of all daemons."""

    @abc.abstractmethod
    async def save_quarantine(self) -> Result[None, Failure]:
        """Saves this daemon's evidence, replacing what it saved before."""


@attrs.frozen(kw_only=True)
class _Trial:
    """The last request that was sent although it is blamed."""

    at: Instant
    request_id: str


@attrs.define(kw_only=True)
class _FirstEvent:
    """The first event of an answer that is still under way.

    Attributes:
        at: When it came.
        parts: The parts of the prompt that it speaks for.
    """

    at: Instant
    parts: frozenset[str]


class Quarantine(Service):
    """Detects which requests crash replicas, and refuses them."""

    def __init__(
        self,
        *,
        clock: Clock,
        network: Network,
        connections: BackendConnections,
        daemons: PeerDaemons,
        store: QuarantineStore,
        metrics: ServingMetrics,
    ) -> None:
        self._clock = clock
        self._network = network
        self._connections = connections
        self._daemons = daemons
        self._store = store
        self._metrics = metrics
        self._local_suspects = CrashSuspects(clock=clock)
        self._suspects = CrashSuspects(clock=clock)
        self._broadcaster = broadcast.Broadcaster(network=network)
        self._collectors = RankedReaders(daemons=daemons)
        self._blamed_at: dict[frozenset[str], Instant] = {}
        self._trials: dict[frozenset[str], _Trial] = {}
        self._broken: dict[str, dict[str, frozenset[str]]] = {}
        self._broken_at: dict[str, Instant] = {}
        self._first_events: dict[int, _FirstEvent] = {}
        self._recent_answers = RecentAnswers(clock=clock)
        self._begun: collections.OrderedDict[str, Instant] = (
            collections.OrderedDict()
        )
        self._reported_versions: dict[str, int] = {}
        self._local_change = anyio.Event()
        self._shared_change = anyio.Event()
        self._tasks: BackgroundTasks | None = None
        self._loaded = False
        self._loaded_hook: Callable[[], None] = lambda: None

    @property
    def loaded(self) -> bool:
        """Whether saved evidence is loaded, or the wait for it has ended."""
        return self._loaded

    def on_loaded(self, hook: Callable[[], None]) -> None:
        """Sets the hook that is called once evidence has been loaded."""
        self._loaded_hook = hook

    def mark_loaded(self) -> None:
        """Records that saved evidence has been merged, or is not available."""
        if not self._loaded:
            self._loaded = True
            self._loaded_hook()

    @property
    def suspects(self) -> CrashSuspects:
        """All evidence of this daemon, its own and what it has received."""
        return self._suspects

    @property
    def attachment(self) -> Attachment:
        """Attaches the evidence for all daemons to gossip messages."""
        return ChangeAttachment(
            version=lambda: self._suspects.shared_version,
            encode=lambda: self.evidence,
            merge=lambda evidence, _: self.merge(evidence),
        )

    @property
    def evidence(self) -> dict[str, Any] | None:
        """The evidence that all daemons get, None if there is none."""
        return self._suspects.encode(
            min_crashes=MIN_SHARED_CRASHES,
            max_properties=MAX_SHARED_PROPERTIES,
        )

    def refusal(self, context: ServingContext) -> Failure | None:
        """Returns a failure if a request is quarantined, otherwise None."""
        blame = self._blame_for(context)
        if blame is None:
            return None
        names = ", ".join(sorted(blame.properties))
        return Failure(
            kind=FailureKind.QUARANTINED,
            detail=f"{len(blame.replicas)} replicas crashed as they ran"
            f" requests with {names}",
            retry_after_ms=round(blame.ends_at - self._clock.now()),
        )

    async def check(self, context: ServingContext) -> Failure | None:
        """Returns a failure if a request is quarantined, otherwise None.

        A request waits for a moment if what it is refused for was blamed just
        now.
        """
        while (blame := self._blame_for(context)) is not None:
            if blame.properties not in self._blamed_at:
                self._on_shared_change()
            blamed_at = self._blamed_at[blame.properties]
            wait_ms = blamed_at + CONFIRM_MS - self._clock.now()
            if wait_ms <= 0:
                is_tried = self._may_try(context, blame)
                return None if is_tried else self.refusal(context)
            shared_change = self._shared_change
            with self._clock.timeout(wait_ms):
                await shared_change.wait()
        return None

    def _may_try(self, context: ServingContext, blame: Blame) -> bool:
        """Returns whether a request is sent to see if it is still to blame.

        One daemon tries one request at a time, so that a part that was blamed
        wrongly, when nothing could be answered, is not refused for long.
        """
        if (
            not blame.doubtful
            or len(blame.replicas) >= MAX_TRIED_CRASHES
            or not self._is_first_collector
            or len(self._suspects.blames_for(shared_properties(context))) > 1
            or not blame.properties <= prompt_parts(context)
        ):
            return False
        now = self._clock.now()
        tried = self._trials.get(blame.properties)
        if tried is not None and tried.request_id == context.request.request_id:
            return True
        began_at = tried.at if tried else self._blamed_at[blame.properties]
        if now - began_at < TRIAL_DELAY_MS:
            return False
        self._trials[blame.properties] = _Trial(
            at=now, request_id=context.request.request_id
        )
        events.log(
            events.Event.QUARANTINE_TRIED,
            request_id=context.request.request_id,
            properties=sorted(blame.properties),
        )
        return True

    def _blame_for(self, context: ServingContext) -> Blame | None:
        if self._suspects.empty:
            return None
        return self._suspects.blame_for(shared_properties(context))

    def on_attempt_broken(
        self, context: ServingContext, replica: Replica
    ) -> None:
        """Starts to check if the replica of a broken attempt has crashed.

        An answer that has begun speaks for the parts of its prompt; only its
        repetitions remain suspect.
        """
        self._settle()
        has_begun = id(context) not in self._first_events and (
            context.answer_began_at is not None
        )
        self._first_events.pop(id(context), None)
        properties = (
            frozenset({whole_request(context)})
            if has_begun
            else shared_properties(context)
        )
        broken = self._broken.get(replica.name)
        if broken is not None:
            broken[context.digest] = properties
        elif self._tasks is not None:
            self._broken[replica.name] = {context.digest: properties}
            self._broken_at[replica.name] = self._clock.now()
            self._tasks.start_soon(self._check_replica, replica)

    def on_first_event(self, context: ServingContext) -> None:
        """Notes that a replica begins to answer a request."""
        self._settle()
        self._first_events.pop(id(context), None)
        self._first_events[id(context)] = _FirstEvent(
            at=self._clock.now(), parts=prompt_parts(context)
        )
        if not self._suspects.empty:
            self._settle_soon()

    def on_attempt_ended(self, context: ServingContext) -> None:
        """Notes that an attempt has ended in whatever way."""
        self._settle()
        self._first_events.pop(id(context), None)

    def on_served(self, context: ServingContext) -> None:
        """Clears what a request shares that a replica has completed."""
        self.on_attempt_ended(context)
        now = self._clock.now()
        parts = prompt_parts(context)
        self._note_begun(parts, now)
        if not self._suspects.empty:
            self._clear(parts | {whole_request(context)}, now)

    def on_unframed_end(
        self, context: ServingContext, replica: Replica
    ) -> None:
        """Checks what ended an answer that ends with its connection.

        A process that ends may close its connections before it stops
        listening, so the request counts as served only some time later.
        """
        self.on_attempt_ended(context)
        if self._tasks is not None:
            self._tasks.start_soon(self._check_unframed, context, replica)

    async def _check_unframed(
        self, context: ServingContext, replica: Replica
    ) -> None:
        if await self._goes_down(replica):
            self.on_attempt_broken(context, replica)
        else:
            self.on_served(context)

    def _settle(self) -> None:
        """Notes answers as begun whose first event was a while ago."""
        now = self._clock.now()
        while self._first_events:
            key, first_event = next(iter(self._first_events.items()))
            if now - first_event.at < BEGUN_MS:
                return
            del self._first_events[key]
            self._note_begun(first_event.parts, first_event.at)
            self._clear(first_event.parts, first_event.at)

    def _settle_soon(self) -> None:
        if self._tasks is not None and self._first_events:
            self._tasks.start_soon(self._settle_later)

    async def _settle_later(self) -> None:
        await self._clock.sleep(BEGUN_MS + 1.0)
        self._settle()

    def _note_begun(self, parts: frozenset[str], at: Instant) -> None:
        """Remembers when answers with parts of prompts last began here."""
        if parts:
            self._recent_answers.record(parts)
        for part in parts:
            self._begun[part] = max(at, self._begun.get(part, at))
            self._begun.move_to_end(part)
        while len(self._begun) > MAX_BEGUN:
            self._begun.popitem(last=False)

    def _clear(self, properties: frozenset[str], at: Instant) -> None:
        """Records an answer if it refutes evidence, and tells the others."""
        refuted = [
            name
            for name in properties
            if self._suspects.is_refuted_by(name, at)
        ]
        if not refuted:
            return
        before = self._suspects.shared_version
        for name in refuted:
            self._local_suspects.record_harmless(name, at)
            self._suspects.record_harmless(name, at)
        self._notify_local_change()
        if self._suspects.shared_version != before:
            self._on_shared_change()

    def _clear_begun(self) -> None:
        """Refutes evidence by answers that began here already."""
        self._settle()
        for name in self._suspects.properties:
            begun_at = self._begun.get(name)
            if begun_at is not None:
                self._clear(frozenset({name}), begun_at)

    def merge(
        self, evidence: Mapping[str, Any], elapsed_ms: float = 0.0
    ) -> None:
        """Merges another daemon's evidence.

        Args:
            evidence: The evidence as that daemon encoded it.
            elapsed_ms: Time since it was encoded.

        Raises:
            KeyError, TypeError, ValueError: The evidence is malformed.
        """
        before = self._suspects.shared_version
        self._suspects.merge(evidence, elapsed_ms=elapsed_ms)
        if self._suspects.shared_version != before:
            self._clear_begun()
            self._on_shared_change()
            self._settle_soon()

    async def run(self) -> None:
        """Checks replicas and exchanges evidence until it is cancelled."""
        async with background_tasks() as tasks:
            self._tasks = tasks
            tasks.start_loop(self._report_to_collectors)
            tasks.start_loop(self._save)
            tasks.start_soon(self._mark_loaded_after_timeout)
            await self._broadcast(tasks)

    async def handle(self, request: Request) -> Response:
        """Merges another daemon's evidence."""
        body = request.body if isinstance(request.body, bytes) else b""
        value = parse_object(body)
        if isinstance(value, Err):
            return failure_response(value.err_value)
        try:
            self.merge(value.ok_value)
        except DECODING_ERRORS as error:
            return failure_response(
                Failure(
                    kind=FailureKind.BAD_REQUEST,
                    detail=f"the report can't be read: {error!r}",
                )
            )
        return json_response({})

    async def show(self, request: Request) -> Response:
        """Answers an operator who asks what is blamed, on which crashes."""
        del request
        blames = self._suspects.blames()
        return json_response({"blamed": [self._describe(b) for b in blames]})

    async def _mark_loaded_after_timeout(self) -> None:
        await self._clock.sleep(LOAD_TIMEOUT_MS)
        self.mark_loaded()

    async def _check_replica(self, replica: Replica) -> None:
        """Treats a replica as crashed if it refuses connections.

        A broken connection alone proves nothing: it may have been reset on the
        network, or closed by a replica that has too many connections.
        """
        try:
            await self._clock.sleep(COALESCE_MS)
            is_down = await self._goes_down(replica)
        finally:
            suspects = self._broken.pop(replica.name)
            broken_at = self._broken_at.pop(replica.name)
        # A refusal may also come from a path that breaks. By now it is known
        # whether another daemon reaches the replica.
        if not is_down or self._connections.is_path_lost(replica.address):
            return
        events.log(
            events.Event.REPLICA_CRASHED,
            backend_server=replica.name,
            address=replica.address,
            suspects={d: sorted(names) for d, names in suspects.items()},
        )
        self._metrics.replica_crashed(replica.service)
        name = f"{replica.name}/{replica.born}"
        before = self._suspects.shared_version
        common = self._recent_answers.common()
        for suspect in suspects.values():
            for known in (self._local_suspects, self._suspects):
                known.record_crash(
                    suspect, name, broken_at, common=common & suspect
                )
        self._clear_begun()
        self._notify_local_change()
        self._settle_soon()
        if self._suspects.shared_version != before:
            self._on_shared_change()

    async def _goes_down(self, replica: Replica) -> bool:
        """Looks at a replica for a while, as it may be down only briefly."""
        ends_at = self._clock.now() + RECHECK_MS
        while not await self._is_down(replica):
            if self._clock.now() >= ends_at:
                return False
            await self._clock.sleep(RECHECK_INTERVAL_MS)
        return True

    async def _is_down(self, replica: Replica) -> bool:
        try:
            async with self._connections.connect(replica.address):
                return False
        except ExchangeError as error:
            return error.refused

    def _notify_local_change(self) -> None:
        local_change, self._local_change = self._local_change, anyio.Event()
        local_change.set()

    def _on_shared_change(self) -> None:
        blames = {blame.properties: blame for blame in self._suspects.blames()}
        for properties, blame in blames.items():
            if properties not in self._blamed_at:
                self._blamed_at[properties] = self._clock.now()
                self._log_blame(events.Event.REQUESTS_QUARANTINED, blame)
        for properties in self._blamed_at.keys() - blames.keys():
            del self._blamed_at[properties]
            self._trials.pop(properties, None)
            events.log(
                events.Event.QUARANTINE_ENDED, properties=sorted(properties)
            )
        self._metrics.set_quarantined(len(blames))
        shared_change, self._shared_change = self._shared_change, anyio.Event()
        shared_change.set()

    def _log_blame(self, event: events.Event, blame: Blame) -> None:
        events.log(event, **self._describe(blame))

    def _describe(self, blame: Blame) -> dict[str, Any]:
        now = self._clock.now()
        return {
            "properties": sorted(blame.properties),
            "replicas": list(blame.replicas),
            "blamed_for_ms": round(now - blame.since),
            "ends_in_ms": round(blame.ends_at - now),
        }

    async def _report_to_collectors(self) -> None:
        """Sends every collector the crashes that this daemon has seen."""
        while True:
            local_change = self._local_change
            evidence = self._local_suspects.encode()
            if evidence is None:
                self._reported_versions.clear()
                await local_change.wait()
                continue
            version = self._local_suspects.version
            outdated = [
                collector
                for collector in self._collectors.current()
                if not collector.is_local
                and self._reported_versions.get(collector.name) != version
            ]
            for name in await broadcast.post(
                self._network, outdated, CRASHES_PATH, evidence
            ):
                self._reported_versions[name] = version
            # A daemon that becomes a collector later has to be sent it, too.
            with self._clock.timeout(RETRY_MS):
                await local_change.wait()

    async def _broadcast(self, tasks: BackgroundTasks) -> None:
        """Sends merged evidence to all daemons if this one is a collector."""
        sent_version = 0
        while True:
            shared_change = self._shared_change
            if self._suspects.shared_version == sent_version:
                await shared_change.wait()
                await self._clock.sleep(COALESCE_MS)
            sent_version = self._suspects.shared_version
            evidence = self.evidence
            if evidence is not None and self._is_collector:
                others = [d for d in self._daemons.all() if not d.is_local]
                # Newer evidence must not wait for daemons that are silent.
                tasks.start_soon(
                    self._broadcaster.post, others, CRASHES_PATH, evidence
                )

    async def _save(self) -> None:
        """Saves the evidence for all daemons if this one is a collector.

        A daemon that becomes a collector saves too, as previous collectors may
        be gone.
        """
        saved = 0
        while True:
            shared_change = self._shared_change
            version = self._suspects.shared_version
            if version != saved and self._is_collector:
                answer = await self._store.save_quarantine()
                if isinstance(answer, Err):
                    events.log(
                        events.Event.QUARANTINE_NOT_SAVED,
                        detail=answer.err_value.detail,
                    )
                else:
                    saved = version
            if self._suspects.empty:
                await shared_change.wait()
            else:
                with self._clock.timeout(SAVE_RETRY_MS):
                    await shared_change.wait()
            await self._clock.sleep(COALESCE_MS)

    @property
    def _is_first_collector(self) -> bool:
        collectors = self._collectors.current()
        return bool(collectors) and collectors[0].is_local

    @property
    def _is_collector(self) -> bool:
        return any(daemon.is_local for daemon in self._collectors.current())
