"""Bookings over a deployment whose every step a fault can be tied to."""

from __future__ import annotations

import collections
from collections.abc import Mapping
from typing import Any

import attrs
import orjson
from result import Ok

from cactusdyke.booking.record import RECORD_PREFIX, record_key
from cactusdyke.transport.messages import Request, Response
from cactusdyke.transport.network import CallOptions
from features.support.deployment import STORE, Deployment, answers
from standins.fleet import CUSTOMER_TOKEN

PATH = "/v1/services/hire-booking"
SETTLE_MS = 20_000.0
PROBE_PAUSE_MS = 5_000.0
PROBES = 24
RESTART_MS = 3_000.0
RECORDS = "/objects/bookings/"
STEPS = (
    "before_open",
    "after_open",
    "before_dispatching",
    "after_dispatching",
    "in_flight",
    "after_run",
    "before_done",
    "after_done",
)


class BrokenPromise(AssertionError):
    """The oracle found a promise broken."""


@attrs.frozen(kw_only=True)
class Said:
    """One answer that a caller got.

    Attributes:
        key: The idempotency key it sent.
        content: What it asked for.
        request_id: The id the daemon gave to the request, if known.
        output: What it got.
        ran: What the daemon said of the request, if it failed.
        kind: The failure's kind.
        detail: What the daemon said.
    """

    key: str
    content: int
    request_id: str = ""
    output: Any = None
    ran: str = ""
    kind: str = ""
    detail: str = ""


class BookingWorld:
    """Three daemons and two backend servers, with faults at each step."""

    def __init__(
        self,
        *,
        seed: int = 0,
        replacements: Mapping[str, str] | None = None,
        by_key: bool = False,
    ) -> None:
        self._by_key = by_key
        self.deployment = Deployment(seed=seed, replacements=replacements)
        self.said: list[Said] = []
        self.client_said: list[Said] = []
        self.marked: set[str] = set()
        self.record_writes = 0
        self._armed: dict[str, collections.deque[Any]] = {
            step: collections.deque() for step in STEPS
        }
        self._owners: dict[str, str] = {}
        self._addressed = "entry-1"
        self._open = 0
        self._asked_again = False

    @property
    def hub(self) -> Any:
        return self.deployment.hub

    async def __aenter__(self) -> BookingWorld:
        await self.deployment.__aenter__()
        for name in ("plain-1", "plain-2"):
            server = self.deployment.plain(name, receipts=True, work_ms=20.0)
            server.clock = self.hub.clock_of(name)
            self.hub.listen(f"{name}:1", self._at_server(server), owner=name)
        await self.deployment.start_daemons(3)
        self.names = tuple(self.deployment.daemons)
        first = answers(self.deployment)
        first["services"][0]["can_be_asked_by_key"] = self._by_key
        await self.deployment.submit(first, submission="first")
        self.hub.listen(STORE, self._at_store, owner="store")
        return self

    async def __aexit__(self, *error: Any) -> None:
        await self.deployment.__aexit__(*error)

    # What callers do.

    def book(self, name: str, key: str, content: int) -> None:
        """Sends a booking to one daemon, without waiting for its answer."""
        self._addressed = name
        self._open += 1
        self.hub.start(self._book, name, key, content)

    async def book_and_wait(self, name: str, key: str, content: int) -> Said:
        """Sends a booking to one daemon and returns its answer."""
        self._addressed = name
        return await self._book(name, key, content, counted=False)

    def book_with_client(self, key: str, content: int) -> None:
        """Books as a caller does, with the client's tries."""
        self._open += 1
        self.hub.start(self._book_with_client, key, content)

    async def ask(self, name: str, key: str) -> dict[str, Any]:
        """Returns what GET /v1/requests/KEY says at a daemon."""
        answer = await self._send(
            name, Request(method="GET", path=f"/v1/requests/{key}")
        )
        return answer or {}

    # Faults; each is a method that takes the owner it strikes.

    def arm(self, step: str, fault: str, duration_ms: float) -> None:
        """Lets a fault strike the owner of the next booking at a step."""
        self._armed[step].append((fault, duration_ms))

    async def strike(
        self, fault: str, owner: str, duration_ms: float, *, peer: str = "store"
    ) -> None:
        """Lets a fault strike now."""
        hub = self.hub
        if fault == "late":
            await hub.clock.sleep(duration_ms)
        elif fault == "lose":
            hub.link(peer, owner).lose_answers += 1
        elif fault == "kill" and owner in self.deployment.daemons:
            self.deployment.kill_daemon(owner)
            self._later(duration_ms, self._restart, owner)
        elif fault == "freeze":
            hub.freeze(owner)
            self._later(duration_ms, self._wake, owner)
        elif fault == "cut":
            hub.link(owner, "store").silent = True
            self._later(duration_ms, self._mend, owner)
        elif fault == "one_way":
            hub.link("store", owner).silent = True
            self._later(duration_ms, self._mend, owner)
        elif fault == "store_down":
            self.deployment.store.faults["down"] = True
            self._later(duration_ms, self._store_up)
        elif fault == "store_slow":
            self.deployment.store.faults["delay_ms"] = 1_200.0
            self._later(duration_ms, self._store_up)
        elif fault == "stop" and owner in self.deployment.daemons:
            hub.start(self._stop, owner)

    def strike_server(
        self, fault: str, server: str, duration_ms: float
    ) -> None:
        """Lets a fault strike a backend server."""
        stand_in = self.deployment.servers[server]
        if fault == "refuse":
            stand_in.faults["refuse"] = 2
        elif fault == "slow":
            stand_in.work_ms = 4_500.0
            self._later(duration_ms, self._server_up, server)
        elif fault == "lose":
            stand_in.faults["lose_answers"] = 1
        elif fault == "kill":
            self.hub.kill(server)
            self._later(duration_ms, self._server_up, server)
        elif fault == "freeze":
            self.hub.freeze(server)
            self._later(duration_ms, self._wake, server)

    async def heal(self) -> None:
        """Ends every fault and waits until the callers have their answers."""
        for armed in self._armed.values():
            armed.clear()
        await self.hub.clock.sleep(SETTLE_MS)
        for name in (*self.names, *self.deployment.servers):
            self._wake(name)
            self._mend(name)
        self._store_up()
        for server in self.deployment.servers:
            self._server_up(server)
            self.deployment.servers[server].faults.clear()
        for name in self.names:
            await self._restart(name)
        while self._open:
            await self.hub.clock.sleep(100.0)
        await self.hub.clock.sleep(SETTLE_MS)

    # The oracle.

    def executions(self, key: str) -> int:
        """Returns how often the booking of a key was made."""
        name = f"road-crews/{key}"
        return sum(
            server.executions_by_key.get(name, 0)
            for server in self.deployment.servers.values()
        )

    def check(self) -> None:
        """Compares what was said with what was done."""
        ran: collections.Counter[str] = collections.Counter()
        for server in self.deployment.servers.values():
            ran.update(server.executions)
        for said in (*self.said, *self.client_said):
            if self.executions(said.key) > 1:
                raise BrokenPromise(f"{said.key} ran more than once")
            if said.ran == "not_run" and ran[said.request_id]:
                raise BrokenPromise(f"{said} is false")
        # Once the keys are asked for again they run.
        for said in () if self._asked_again else self.client_said:
            if said.ran == "not_run" and self.executions(said.key):
                raise BrokenPromise(f"{said} is false, seen by the client")
        outputs: dict[str, Any] = {}
        for said in (*self.said, *self.client_said):
            if said.output is None:
                continue
            if said.output["booked"] != said.content:
                raise BrokenPromise(f"{said} is another's answer")
            if outputs.setdefault(said.key, said.output) != said.output:
                raise BrokenPromise(f"{said.key} got two answers")

    async def check_keys(self) -> None:
        """Asks for every key until its answer is final."""
        self._check_records()
        self._asked_again = True
        contents: dict[str, set[int]] = {}
        for said in (*self.said, *self.client_said):
            contents.setdefault(said.key, set()).add(said.content)
        for key, wanted in contents.items():
            await self._check_outcome(key)
            finals = [await self._final(key, each) for each in sorted(wanted)]
            if finals.count("done") + finals.count("unknown") < 1:
                raise BrokenPromise(f"{key} is blocked: {finals}")
            if "unknown" in finals and not self._was_marked(key):
                raise BrokenPromise(f"{key} is unknown but was never sent")
        self.check()

    def _check_records(self) -> None:
        refused = {said.request_id for said in self.said if _is_refused(said)}
        for key, (_, value) in self.deployment.store.objects.items():
            if not key.startswith(RECORD_PREFIX):
                continue
            record = orjson.loads(value)
            if record["request_id"] not in refused:
                continue
            if record["state"] not in {"open", "not_run"}:
                raise BrokenPromise(
                    f"a caller was told not_run, but the key is {record}"
                )

    def _was_marked(self, key: str) -> bool:
        return f"/objects/{record_key('road-crews', key)}" in self.marked

    async def _check_outcome(self, key: str) -> None:
        outcome = await self.ask("entry-2", key)
        state = outcome.get("state")
        executions = self.executions(key)
        if (state == "done") and executions != 1:
            raise BrokenPromise(f"{key} is said done, but ran {executions}")
        if state == "not_run" and executions:
            raise BrokenPromise(f"{key} is said not_run, but ran")

    async def _final(self, key: str, content: int) -> str:
        for _ in range(PROBES):
            said = await self._book("entry-1", key, content, counted=False)
            if said.output is not None:
                return "done"
            if said.kind in {"outcome_unknown", "key_reused"}:
                return {"outcome_unknown": "unknown"}.get(said.kind, said.kind)
            await self.hub.clock.sleep(PROBE_PAUSE_MS)
        return said.kind

    # How it is done.

    async def _book(
        self, name: str, key: str, content: int, *, counted: bool = True
    ) -> Said:
        body = await self._send(
            name,
            Request(
                method="POST",
                path=PATH,
                headers={"idempotency-key": key},
                body=orjson.dumps({"input": content, "deadline_ms": 3_000}),
            ),
        )
        said = _said(key, content, body)
        self.said.append(said)
        self._open -= counted
        return said

    async def _book_with_client(self, key: str, content: int) -> None:
        async with self.deployment.client() as client:
            answer = await client.call(
                PATH, content, idempotency_key=key, deadline_ms=6_000.0
            )
        if isinstance(answer, Ok):
            said = _said(key, content, answer.ok_value)
        else:
            failure = answer.err_value
            said = Said(
                key=key,
                content=content,
                ran=str(failure.ran),
                kind=failure.kind.code,
                detail=failure.detail,
            )
        self.client_said.append(said)
        self._open -= 1

    async def _send(self, name: str, request: Request) -> dict[str, Any] | None:
        headers = {
            "authorization": f"Bearer {CUSTOMER_TOKEN}",
            **request.headers,
        }
        answer = await self.hub.network("caller").fetch(
            f"{name}:1",
            attrs.evolve(request, headers=headers),
            CallOptions(progress_timeout_ms=5_000.0),
        )
        if isinstance(answer, Ok):
            return orjson.loads(answer.ok_value.body)
        return None

    async def _at_store(self, request: Request) -> Response:
        handle = self.deployment.store.routes.handle
        if request.method != "PUT" or not request.path.startswith(RECORDS):
            return await handle(request)
        self.record_writes += 1
        record = orjson.loads(request.body)
        state = {"unknown": "done", "not_run": "done"}.get(
            record["state"], record["state"]
        )
        owner = record["owner"]
        self._owners[record["request_id"]] = owner
        await self._step(f"before_{state}", owner, "store")
        response = await handle(request)
        if state == "dispatching" and response.status == 200:
            self.marked.add(request.path)
        await self._step(f"after_{state}", owner, "store")
        return response

    def _at_server(self, server: Any) -> Any:
        async def handle(request: Request) -> Response:
            if request.path != "/v1/run":
                return await server.routes.handle(request)
            call = orjson.loads(request.body)
            owner = self._owners.get(call["request_id"], self._addressed)
            await self._step("in_flight", owner, server.name)
            await self.hub.awake(server.name)
            response = await server.routes.handle(request)
            await self._step("after_run", owner, server.name)
            return response

        return handle

    async def _step(self, step: str, owner: str, peer: str) -> None:
        if self._armed[step]:
            fault, duration_ms = self._armed[step].popleft()
            await self.strike(fault, owner, duration_ms, peer=peer)

    def _later(self, duration_ms: float, action: Any, *args: Any) -> None:
        async def act() -> None:
            await self.hub.clock.sleep(duration_ms)
            done = action(*args)
            if done is not None:
                await done

        self.hub.start(act)

    async def _restart(self, name: str) -> None:
        if name not in self.deployment.daemons:
            self._wake(name)
            await self.deployment.start_daemon(name, self.names)

    async def _stop(self, name: str) -> None:
        app = self.deployment.daemons[name]
        await app.drain()
        if self.deployment.daemons.get(name) is app:
            self.deployment.kill_daemon(name)
            await self.hub.clock.sleep(RESTART_MS)
            await self._restart(name)

    def _wake(self, name: str) -> None:
        self.hub.wake(name)

    def _mend(self, name: str) -> None:
        self.hub.link(name, "store").silent = False
        self.hub.link("store", name).silent = False

    def _store_up(self) -> None:
        self.deployment.store.faults.clear()

    def _server_up(self, name: str) -> None:
        server = self.deployment.servers[name]
        server.work_ms = 20.0
        self.hub.listen(f"{name}:1", self._at_server(server), owner=name)


def _is_refused(said: Said) -> bool:
    return said.ran == "not_run" and said.request_id != ""


def _said(key: str, content: int, body: dict[str, Any] | None) -> Said:
    if body is None:
        return Said(key=key, content=content, ran="unknown", kind="lost")
    if error := body.get("error"):
        return Said(
            key=key,
            content=content,
            request_id=error.get("request_id", ""),
            ran=error["ran"],
            kind=error["kind"],
            detail=error["message"],
        )
    return Said(
        key=key,
        content=content,
        request_id=body["request_id"],
        output=body["output"],
    )
