"""A deployment whose configuration changes under faults, and its oracle.

Every submission gives all customers one rate of its own, its marker. So a
daemon that mixes two revisions shows two markers, and the oracle is a plain
dictionary from revision to marker.
"""

from __future__ import annotations

import json
from typing import Any

import attrs
import orjson

from cactusdyke.configuration import objects
from cactusdyke.configuration.in_force import InForce
from cactusdyke.transport.messages import Request
from cactusdyke.transport.network import CallOptions
from features.support.deployment import Deployment, answers
from standins.fleet import OPERATOR_TOKEN, token_hash

CUSTOMERS = 5
SAMPLE_MS = 50.0
QUIET_MS = 40_000.0
SUBMIT_TIMEOUT_MS = 30_000.0


class Violation(AssertionError):
    """A promise was broken; `kind` is which."""

    def __init__(self, kind: str, detail: str) -> None:
        super().__init__(f"{kind}: {detail}")
        self.kind = kind


@attrs.define(kw_only=True)
class Sent:
    """A submission and what its submitter was told, in order."""

    id: str
    marker: float | None
    base: int | None
    told: list[tuple[str, int | None]] = attrs.field(factory=list)
    bodies: list[dict[str, Any]] = attrs.field(factory=list)


class World:
    """Submits, breaks things, and checks what the daemons have in force."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.hub = deployment.hub
        self.sent: list[Sent] = []
        self.markers: dict[int, float] = {}
        self.violation: Violation | None = None
        self._highest: dict[int, int] = {}
        self._pending = 0

    async def start(self, daemons: int) -> None:
        """Starts daemons and puts a first revision in force."""
        await self.deployment.start_daemons(daemons)
        self.hub.start(self._monitor)
        first = await self.submit("entry-1", marker=1.0)
        assert first.told == [("accepted", 1)], first
        await self.until_equal(1)
        # Long enough for the monitor to see the first revision's content.
        await self.hub.clock.sleep(2 * SAMPLE_MS)

    def body(
        self, submission: str, marker: float | None, **fields: Any
    ) -> dict[str, Any]:
        """Returns the body of a submission."""
        if marker is None:
            return {"id": submission, **fields}
        customers = [
            {
                "name": f"customer-{number}",
                "token_hashes": [token_hash(f"token-{number}")],
                "requests_per_second": marker,
                "burst": 1000,
            }
            for number in range(CUSTOMERS)
        ]
        value = answers(self.deployment, customers=customers)
        return {"id": submission, "answers": value, **fields}

    async def submit(
        self, daemon: str, *, marker: float | None, **fields: Any
    ) -> Sent:
        """Submits at a daemon and notes what it answered."""
        number = len(self.sent)
        sent = Sent(
            id=f"submission-{number}",
            marker=marker,
            base=fields.get("base_revision"),
        )
        self.sent.append(sent)
        body = self.body(sent.id, marker, **fields)
        sent.bodies.append(body)
        await self.send(sent, daemon)
        return sent

    async def send(self, sent: Sent, daemon: str) -> None:
        """Sends a submission, maybe again, and notes the answer."""
        self._pending += 1
        try:
            status, value = await self.post(
                daemon, "/v1/submissions", sent.bodies[0]
            )
        finally:
            self._pending -= 1
        if status == 200:
            sent.told.append(("accepted", value["revision"]))
        elif status == 0 or value["error"]["ran"] != "not_run":
            sent.told.append(("unknown", None))
        else:
            sent.told.append(("refused", None))
        sent.bodies.append(value)

    async def post(
        self, daemon: str, path: str, value: Any, method: str = "POST"
    ) -> tuple[int, dict[str, Any]]:
        """Calls a daemon as the operator; status 0 where nothing came."""
        request = Request(
            method=method,
            path=path,
            headers={"authorization": f"Bearer {OPERATOR_TOKEN}"},
            body=b"" if value is None else json.dumps(value).encode(),
        )
        answer = await self.hub.network("operator").fetch(
            f"{daemon}:1",
            request,
            CallOptions(progress_timeout_ms=SUBMIT_TIMEOUT_MS),
        )
        if answer.is_err():
            return 0, {}
        return answer.ok_value.status, orjson.loads(answer.ok_value.body)

    async def get(self, daemon: str, path: str) -> tuple[int, dict[str, Any]]:
        """Reads from a daemon as the operator."""
        return await self.post(daemon, path, None, method="GET")

    def in_force(self, daemon: str) -> InForce:
        """Returns a daemon's configuration service."""
        app = self.deployment.daemons[daemon]
        return app.service("configuration", InForce)

    def revisions(self) -> dict[str, int]:
        """Returns the revision in force at each live daemon."""
        return {
            name: self.in_force(name).current.revision
            for name in self.deployment.daemons
        }

    def head(self) -> objects.Head:
        """Returns the accepted head as the store holds it."""
        stored = self.deployment.store.objects.get(objects.HEAD_KEY)
        if stored is None:
            raise Violation("lost", "there is no accepted head")
        return objects.decode_head(stored[1]).unwrap()

    def accepted(self) -> dict[str, list[int]]:
        """Returns the revisions that each submission id became."""
        found: dict[str, list[int]] = {}
        heads = [
            objects.decode_head(value).unwrap()
            for key, (_, value) in self.deployment.store.objects.items()
            if key.startswith(objects.HISTORY_PREFIX)
        ]
        newest = self.head()
        for head in [h for h in heads if h.revision != newest.revision] + [
            newest
        ]:
            found.setdefault(head.submission, []).append(head.revision)
        return found

    async def until_equal(self, revision: int) -> float:
        """Waits until all daemons have a revision; returns how long, in ms."""
        began = self.hub.clock.now()
        with self.hub.clock.timeout(120_000):
            while any(r < revision for r in self.revisions().values()):
                await self.hub.clock.sleep(5)
            return self.hub.clock.now() - began
        raise Violation("slow", f"{self.revisions()}, accepted {revision}")

    async def settle(self) -> None:
        """Mends everything, waits, and checks the promises."""
        self.deployment.store.faults.clear()
        for link in self.hub.links():
            link.cut = link.silent = False
            link.delay_ms = 0.0
            link.lose_answers = 0
        for name in list(self.deployment.daemons):
            self.hub.wake(name)
        while self._pending:
            await self.hub.clock.sleep(100)
        await self.hub.clock.sleep(QUIET_MS)
        if self.violation:
            raise self.violation
        self._check_end()

    def _check_end(self) -> None:
        head = self.head()
        if set(self.revisions().values()) != {head.revision}:
            raise Violation(
                "unequal", f"{self.revisions()}, accepted {head.revision}"
            )
        accepted = self.accepted()
        oldest = min(min(revisions) for revisions in accepted.values())
        for sent in self.sent:
            became = accepted.get(sent.id, [])
            if len(became) > 1:
                raise Violation("doubled", f"{sent.id} became {became}")
            for told, revision in sent.told:
                # A swept revision's submission is forgotten with it.
                if told == "accepted" and revision < oldest:
                    continue
                if told == "accepted" and became != [revision]:
                    raise Violation(
                        "untrue", f"{sent.id} told {sent.told}, {became}"
                    )
            if became and {told for told, _ in sent.told} == {"refused"}:
                raise Violation("untrue", f"{sent.id} refused, became {became}")
            if became and sent.base is not None and became[0] != sent.base + 1:
                raise Violation("overwrote", f"{sent}, became {became}")
            if became and sent.marker is not None:
                seen = self.markers.get(became[0], sent.marker)
                if seen != sent.marker:
                    raise Violation("crossed", f"{sent} in force as {seen}")

    async def _monitor(self) -> None:
        while True:
            for name, app in self.deployment.daemons.items():
                try:
                    self._check(name, app)
                except Violation as violation:
                    self.violation = self.violation or violation
            await self.hub.clock.sleep(SAMPLE_MS)

    def _check(self, name: str, app: Any) -> None:
        current = app.service("configuration", InForce).current
        highest = self._highest.get(id(app), 0)
        if current.revision < highest:
            raise Violation(
                "reverted", f"{name} from {highest} to {current.revision}"
            )
        self._highest[id(app)] = current.revision
        if current.revision == 0:
            return
        markers = {c.requests_per_second for c in current.customers.values()}
        if len(markers) != 1:
            raise Violation(
                "partial", f"{name} has {markers} in {current.revision}"
            )
        known = self.markers.setdefault(current.revision, *markers)
        if markers != {known}:
            raise Violation(
                "crossed",
                f"{name} has {markers} for {known} in {current.revision}",
            )
