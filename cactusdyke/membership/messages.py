"""The gossip message that daemons exchange, with its JSON form."""

from __future__ import annotations

import enum
from typing import Any

import attrs
from result import Err, Ok, Result

from cactusdyke.errors import DECODING_ERRORS, Failure, FailureKind
from cactusdyke.membership.member import Member, decode_member


class GossipKind(enum.StrEnum):
    """Purpose of a message."""

    PROBE = "probe"
    ASK = "ask"
    PULL = "pull"
    URGENT = "urgent"
    ANSWER = "answer"


@attrs.frozen(kw_only=True)
class Gossip:
    """A gossip message or its answer.

    Attributes:
        kind: Its purpose.
        sender: The sender's own entry.
        updates: Entries of other daemons.
        digest: A hash of the sender's member table.
        riders: Values of attachments, by key.
        target: The address to probe, if the kind is ASK.
        digests: The sender's bucket hashes, if the kind is PULL.
        reached: Whether the target answered, in an answer to ASK.
    """

    kind: GossipKind
    sender: Member
    updates: tuple[Member, ...] = ()
    digest: str = ""
    riders: dict[str, Any] = attrs.field(factory=dict)
    target: str = ""
    digests: tuple[str, ...] = ()
    reached: bool = False

    def encode(self) -> dict[str, Any]:
        """Returns the message as a JSON object, without empty fields."""
        fields: dict[str, Any] = {
            "kind": self.kind,
            "from": self.sender.encode(),
            "updates": [member.encode() for member in self.updates],
            "digest": self.digest,
            "riders": self.riders,
            "target": self.target,
            "digests": list(self.digests),
            "reached": self.reached,
        }
        return {key: value for key, value in fields.items() if value}


def decode_gossip(value: dict[str, Any]) -> Result[Gossip, Failure]:
    """Decodes a message; entries that can't be read are left out."""
    try:
        kind = GossipKind(value["kind"])
        updates = [decode_member(item) for item in value.get("updates", [])]
        sender = decode_member(value["from"])
        riders = dict(value.get("riders", {}))
        digests = tuple(map(str, value.get("digests", ())))
    except DECODING_ERRORS as error:
        return Err(_invalid(repr(error)))
    if isinstance(sender, Err):
        return sender
    return Ok(
        Gossip(
            kind=kind,
            sender=sender.ok_value,
            updates=tuple(u.ok_value for u in updates if isinstance(u, Ok)),
            digest=str(value.get("digest", "")),
            riders=riders,
            target=str(value.get("target", "")),
            digests=digests,
            reached=value.get("reached") is True,
        )
    )


def _invalid(detail: str) -> Failure:
    return Failure(
        kind=FailureKind.BAD_REQUEST,
        detail=f"invalid gossip message: {detail}",
    )
