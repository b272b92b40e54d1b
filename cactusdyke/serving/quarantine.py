"""Keeps requests that crash replicas from them, at all daemons.

Each daemon sees only the crashes under its own requests. It reports them to
the daemons that read the store; these add reports up and tell all others of
requests that were under way at more than one crash. Whoever misses a message
hears the same with its next probe, and a daemon that starts reads it from the
store.
"""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING, Any

import anyio
import orjson
from result import Err, Ok

from cactusdyke import events
from cactusdyke.errors import Failure, FailureKind
from cactusdyke.kernel import Service
from cactusdyke.membership.attachments import Attachment
from cactusdyke.serving.crash_suspects import (
    MOST_TOLD,
    TOLD_CRASHES,
    CrashSuspects,
)
from cactusdyke.serving.state_readers import RankedReaders
from cactusdyke.transport.exchange import ExchangeError
from cactusdyke.transport.messages import (
    JSON_TYPE,
    Request,
    Response,
    failure_response,
    json_response,
    parse_object,
)
from cactusdyke.transport.network import CallOptions

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from anyio.abc import TaskGroup
    from result import Result

    from cactusdyke.clock import Clock
    from cactusdyke.membership.member import Member
    from cactusdyke.serving.measures import ServingMetrics
    from cactusdyke.serving.model import Replica
    from cactusdyke.serving.peers import PeerDaemon, PeerDaemons
    from cactusdyke.serving.request import ServingContext
    from cactusdyke.transport.exchange import BackendConnections
    from cactusdyke.transport.network import Network

CRASHES_PATH = "/internal/v1/crashes"
OK_STATUS = 200
GATHER_MS = 20.0
"""Connections to a replica that crashes break within a few milliseconds."""
ENDS_WITHIN_MS = 250.0
"""A process that ends may break its connections before it stops listening."""
CALL_TIMEOUT_MS = 500.0
RETRY_MS = 500.0
SAVE_RETRY_MS = 2_000.0
INFORM_WITHIN_MS = 1_000.0
"""How long a daemon that starts waits for what was saved before it serves."""
MOST_CALLS = 16
"""Calls at once to other daemons; a host has a core at most to spend."""


class QuarantineStore(abc.ABC):
    """Where what has to outlive all daemons is kept."""

    @abc.abstractmethod
    async def save_quarantine(self) -> Result[None, Failure]:
        """Saves what the daemon knows now in place of what it knew before."""


class Quarantine(Service):
    """Finds out which requests crash replicas, and refuses them."""

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
        self._own = CrashSuspects(clock=clock)
        self._known = CrashSuspects(clock=clock)
        self._collectors = RankedReaders(daemons=daemons)
        self._quarantined: set[str] = set()
        self._broken: dict[str, set[str]] = {}
        self._reported: dict[str, int] = {}
        self._seen = anyio.Event()
        self._told = anyio.Event()
        self._tasks: TaskGroup | None = None
        self._informed = False
        self._on_informed: Callable[[], None] = lambda: None

    @property
    def informed(self) -> bool:
        """Whether what others know is known here, or waited for in vain."""
        return self._informed

    def on_informed(self, hook: Callable[[], None]) -> None:
        """Calls `hook` once that is so."""
        self._on_informed = hook

    def inform(self) -> None:
        """Notes that all that was saved has been taken, or can't be had."""
        if not self._informed:
            self._informed = True
            self._on_informed()

    @property
    def known(self) -> CrashSuspects:
        """What this daemon has seen and heard."""
        return self._known

    @property
    def rider(self) -> Attachment:
        """Has what all daemons are told travel with membership's messages."""
        return _EvidenceRider(quarantine=self, known=self._known)

    @property
    def evidence(self) -> dict[str, Any] | None:
        """What all daemons are told, None for nothing."""
        return self._known.to_wire(least=TOLD_CRASHES, most=MOST_TOLD)

    def refusal(self, context: ServingContext) -> Failure | None:
        """Returns why a request is sent to no replica, None if it may be."""
        if self._known.empty:
            return None
        left_ms = self._known.quarantined_ms(context.digest)
        if not left_ms:
            return None
        count = len(self._known.crashes(context.digest))
        return Failure(
            kind=FailureKind.QUARANTINED,
            detail=f"{count} replicas crashed as they ran this request",
            retry_after_ms=round(left_ms),
        )

    def attempt_broke(self, context: ServingContext, replica: Replica) -> None:
        """Finds out whether the replica of a broken attempt has crashed."""
        broken = self._broken.get(replica.name)
        if broken is not None:
            broken.add(context.digest)
        elif self._tasks is not None:
            self._broken[replica.name] = {context.digest}
            self._tasks.start_soon(self._look_at, replica)

    def served(self, context: ServingContext) -> None:
        """Clears a request that a replica has run to its end."""
        if self._known.empty or context.digest not in self._known:
            return
        before = self._known.told_version
        self._own.served(context.digest)
        self._known.served(context.digest)
        self._note_own()
        if self._known.told_version != before:
            self._note_told()

    def take(self, evidence: Mapping[str, Any], passed_ms: float = 0.0) -> None:
        """Takes what another daemon knows, or knew.

        Raises:
            KeyError, TypeError, ValueError: The value is of no known form.
        """
        before = self._known.told_version
        self._known.take(evidence, passed_ms=passed_ms)
        if self._known.told_version != before:
            self._note_told()

    async def run(self) -> None:
        """Looks, reports and tells until it is cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._report)
            tasks.start_soon(self._save)
            tasks.start_soon(self._wait_for_saved)
            await self._tell_others()

    async def handle(self, request: Request) -> Response:
        """Takes another daemon's report."""
        body = request.body if isinstance(request.body, bytes) else b""
        value = parse_object(body)
        if isinstance(value, Err):
            return failure_response(value.err_value)
        try:
            self.take(value.ok_value)
        except (KeyError, TypeError, ValueError) as error:
            return failure_response(
                Failure(
                    kind=FailureKind.BAD_REQUEST,
                    detail=f"the report can't be read: {error!r}",
                )
            )
        return json_response({})

    async def _wait_for_saved(self) -> None:
        await self._clock.sleep(INFORM_WITHIN_MS)
        self.inform()

    async def _look_at(self, replica: Replica) -> None:
        """Takes a replica for crashed if its host refuses connections.

        A connection alone also ends by a reset on its way, or because the
        replica has too many.
        """
        try:
            await self._clock.sleep(GATHER_MS)
            down = await self._is_down(replica)
            if not down:
                await self._clock.sleep(ENDS_WITHIN_MS)
                down = await self._is_down(replica)
        finally:
            digests = self._broken.pop(replica.name)
        if not down:
            return
        events.log(
            events.Event.REPLICA_CRASHED,
            backend_server=replica.name,
            address=replica.address,
            digests=sorted(digests),
        )
        self._metrics.replica_crashed(replica.service)
        name = f"{replica.name}/{replica.born}"
        before = self._known.told_version
        for digest in digests:
            self._own.crashed(digest, name)
            self._known.crashed(digest, name)
        self._note_own()
        if self._known.told_version != before:
            self._note_told()

    async def _is_down(self, replica: Replica) -> bool:
        try:
            async with self._connections.connect(replica.address):
                return False
        except ExchangeError as error:
            return error.refused

    def _note_own(self) -> None:
        seen, self._seen = self._seen, anyio.Event()
        seen.set()

    def _note_told(self) -> None:
        now = self._known.quarantined()
        for digest in now - self._quarantined:
            events.log(
                events.Event.REQUEST_QUARANTINED,
                digest=digest,
                replicas=self._known.crashes(digest),
            )
        self._quarantined = now
        self._metrics.quarantined(len(now))
        told, self._told = self._told, anyio.Event()
        told.set()

    async def _report(self) -> None:
        """Has every collector know what was seen here."""
        while True:
            seen = self._seen
            evidence = self._own.to_wire()
            if evidence is None:
                self._reported.clear()
                await seen.wait()
                continue
            version = self._own.version
            late = [
                collector
                for collector in self._collectors.now()
                if not collector.own
                and self._reported.get(collector.name) != version
            ]
            for name in await self._post(late, evidence):
                self._reported[name] = version
            # Whoever becomes a collector later knows nothing of it yet.
            with self._clock.timeout(RETRY_MS):
                await seen.wait()

    async def _tell_others(self) -> None:
        """Tells all daemons what reports add up to, if this one collects."""
        told_version = 0
        while True:
            told = self._told
            if self._known.told_version == told_version:
                await told.wait()
                await self._clock.sleep(GATHER_MS)
            told_version = self._known.told_version
            evidence = self.evidence
            if evidence is not None and self._collects:
                others = [d for d in self._daemons.all() if not d.own]
                await self._post(others, evidence)

    async def _save(self) -> None:
        """Keeps in the store what all daemons are told, if this one collects.

        Whoever becomes a collector saves as well: those before may be gone.
        """
        saved = 0
        while True:
            told = self._told
            version = self._known.told_version
            if version != saved and self._collects:
                answer = await self._store.save_quarantine()
                if isinstance(answer, Err):
                    events.log(
                        events.Event.QUARANTINE_NOT_SAVED,
                        detail=answer.err_value.detail,
                    )
                else:
                    saved = version
            if self._known.empty:
                await told.wait()
            else:
                with self._clock.timeout(SAVE_RETRY_MS):
                    await told.wait()
            await self._clock.sleep(GATHER_MS)

    @property
    def _collects(self) -> bool:
        return any(daemon.own for daemon in self._collectors.now())

    async def _post(
        self, daemons: list[PeerDaemon], evidence: Mapping[str, Any]
    ) -> list[str]:
        """Sends evidence to daemons; returns the names of who took it."""
        request = Request(
            method="POST",
            path=CRASHES_PATH,
            headers={"content-type": JSON_TYPE},
            body=orjson.dumps(evidence),
        )
        options = CallOptions(
            connect_timeout_ms=CALL_TIMEOUT_MS,
            progress_timeout_ms=CALL_TIMEOUT_MS,
        )
        limiter = anyio.CapacityLimiter(MOST_CALLS)
        took: list[str] = []

        async def post(daemon: PeerDaemon) -> None:
            async with limiter:
                answer = await self._network.fetch(
                    daemon.address, request, options
                )
            if isinstance(answer, Ok) and answer.ok_value.status == OK_STATUS:
                took.append(daemon.name)

        async with anyio.create_task_group() as tasks:
            for daemon in daemons:
                tasks.start_soon(post, daemon)
        return took


class _EvidenceRider(Attachment):
    """Tells each daemon once what there is to know, and again as it changes.

    It reaches those that were started, frozen or cut off as others were told.
    """

    def __init__(self, *, quarantine: Quarantine, known: CrashSuspects) -> None:
        self._quarantine = quarantine
        self._known = known
        self._sent: dict[str, tuple[int, int]] = {}

    def write(self, receiver: Member | None) -> Any:
        """Returns the evidence, None if there is none or it was sent."""
        version = self._known.told_version
        if receiver is None or not version:
            return None
        told = (receiver.incarnation, version)
        if self._sent.get(receiver.name) == told:
            return None
        self._sent[receiver.name] = told
        return self._quarantine.evidence

    def read(self, sender: Member, value: Any) -> None:
        """Takes another daemon's evidence."""
        del sender
        self._quarantine.take(value)
