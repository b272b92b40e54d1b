"""Sends, receives and answers gossip messages."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, TypeAlias

import orjson
from result import Err, Ok, Result

from cactusdyke import events
from cactusdyke.errors import DECODING_ERRORS
from cactusdyke.membership import messages
from cactusdyke.membership.messages import Gossip, GossipKind
from cactusdyke.membership.table import BUCKETS
from cactusdyke.transport.messages import (
    JSON_TYPE,
    Request,
    Response,
    failure_response,
)

if TYPE_CHECKING:
    from cactusdyke.errors import Failure
    from cactusdyke.membership.attachments import Attachment
    from cactusdyke.membership.control_client import (
        ControlClient,
        ControlTraffic,
    )
    from cactusdyke.membership.member import Member
    from cactusdyke.membership.table import MemberTable

GOSSIP_PATH = "/internal/v1/gossip"
MAX_UPDATES = 10
MAX_PULLED_MEMBERS = 64
MAX_INDIRECT_PROBES = 4
INDIRECT_PROBE_TIMEOUT_MS = 500.0
KINDS_WITH_ATTACHMENTS = frozenset({GossipKind.PROBE, GossipKind.ANSWER})

RevisionHook: TypeAlias = Callable[[int, str], None]


class Exchange:
    """Composes gossip from the member table and merges received gossip."""

    def __init__(
        self,
        *,
        table: MemberTable,
        client: ControlClient,
        traffic: ControlTraffic,
    ) -> None:
        self._table = table
        self._client = client
        self._traffic = traffic
        self._attachments: dict[str, Attachment] = {}
        self._revision_hooks: list[RevisionHook] = []
        self._indirect_probes = 0
        self._first_bucket = 0

    def attach(self, key: str, attachment: Attachment) -> None:
        """Sends an attachment's values under a key.

        Raises:
            ValueError: The key is in use.
        """
        if key in self._attachments:
            raise ValueError(f"an attachment with the key {key!r} exists")
        self._attachments[key] = attachment

    def on_revision(self, hook: RevisionHook) -> None:
        """Calls `hook(revision, address)` if a sender's revision is higher."""
        self._revision_hooks.append(hook)

    async def send(
        self,
        kind: GossipKind,
        address: str,
        *,
        receiver: Member | None = None,
        timeout_ms: float,
        **parts: Any,
    ) -> Result[Gossip, Failure]:
        """Sends a message, then applies and returns its answer."""
        gossip = self._compose(kind, receiver, parts)
        answer = await self._client.post(
            kind,
            address,
            GOSSIP_PATH,
            gossip.encode(),
            timeout_ms=timeout_ms,
        )
        if isinstance(answer, Err):
            return answer
        parsed = messages.decode_gossip(answer.ok_value)
        if isinstance(parsed, Ok):
            self.apply(parsed.ok_value)
        return parsed

    async def handle(self, request: Request) -> Response:
        """Applies another daemon's message and answers with updates."""
        value = request.json()
        if isinstance(value, Err):
            return failure_response(value.err_value)
        parsed = messages.decode_gossip(value.ok_value)
        if isinstance(parsed, Err):
            return failure_response(parsed.err_value)
        gossip = parsed.ok_value
        self.apply(gossip)
        answer = await self._answer(gossip)
        body = orjson.dumps(answer.encode())
        self._traffic.count_answer(body)
        return Response(headers={"content-type": JSON_TYPE}, body=body)

    def apply(self, gossip: Gossip) -> None:
        """Merges a message's entries and attachments."""
        for member in (gossip.sender, *gossip.updates):
            self._table.merge(member)
        for key, value in gossip.riders.items():
            attachment = self._attachments.get(key)
            if attachment is None:
                continue
            try:
                attachment.read(gossip.sender, value)
            except DECODING_ERRORS as error:
                events.log(
                    events.Event.GOSSIP_REJECTED,
                    member=gossip.sender.name,
                    key=key,
                    detail=repr(error),
                )
        if gossip.sender.revision > self._table.own.revision:
            for hook in self._revision_hooks:
                hook(gossip.sender.revision, gossip.sender.address)

    async def _answer(self, gossip: Gossip) -> Gossip:
        parts: dict[str, Any] = {}
        match gossip.kind:
            case GossipKind.ASK:
                parts["reached"] = await self._probe_for_sender(gossip.target)
            case GossipKind.PULL:
                parts["updates"] = self._differing(gossip.digests)
            case _:
                pass
        return self._compose(GossipKind.ANSWER, gossip.sender, parts)

    async def _probe_for_sender(self, address: str) -> bool:
        if self._indirect_probes >= MAX_INDIRECT_PROBES:
            return False
        self._indirect_probes += 1
        try:
            answer = await self.send(
                GossipKind.PROBE, address, timeout_ms=INDIRECT_PROBE_TIMEOUT_MS
            )
        finally:
            self._indirect_probes -= 1
        return answer.is_ok()

    def _differing(self, digests: tuple[str, ...]) -> tuple[Member, ...]:
        if len(digests) != BUCKETS:
            return ()
        # Starts at another bucket each time, so that a table that needs more
        # than one answer is not sent its first buckets repeatedly.
        self._first_bucket = (self._first_bucket + 5) % BUCKETS
        order = [(self._first_bucket + i) % BUCKETS for i in range(BUCKETS)]
        chosen: list[Member] = []
        for bucket in order:
            if digests[bucket] == self._table.digests[bucket]:
                continue
            entries = self._table.in_buckets([bucket])
            if chosen and len(chosen) + len(entries) > MAX_PULLED_MEMBERS:
                break
            chosen.extend(entries)
        return tuple(chosen)

    def _compose(
        self, kind: GossipKind, receiver: Member | None, parts: dict[str, Any]
    ) -> Gossip:
        name = receiver.name if receiver else ""
        attached: dict[str, Any] = {}
        for key, attachment in self._attachments.items():
            if kind in KINDS_WITH_ATTACHMENTS or (
                attachment.urgent and kind is GossipKind.URGENT
            ):
                value = attachment.write(receiver)
                if value is not None:
                    attached[key] = value
        if "updates" not in parts:
            parts["updates"] = tuple(
                self._table.next_updates(limit=MAX_UPDATES, receiver=name)
            )
        return Gossip(
            kind=kind,
            sender=self._table.own,
            digest=self._table.digest,
            riders=attached,
            **parts,
        )
