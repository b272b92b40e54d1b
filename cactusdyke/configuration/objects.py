"""Configuration as stored objects: small ones under one head.

Every part is stored under the digest of its content and never changes. The
head names the digests of a whole revision. A change is therefore visible in
full or not at all, and writing a part twice does no harm.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

import attrs
import orjson
from result import Err, Ok, Result

from cactusdyke.configuration import model
from cactusdyke.util import jsonc, structure

if TYPE_CHECKING:
    from cactusdyke.errors import Failure

HEAD_KEY = "configuration/head"
PART_PREFIX = "configuration/parts/"

PART_KINDS: Mapping[str, type] = {
    "customers": model.Customer,
    "operators": model.Operator,
    "pools": model.Pool,
    "pipelines": model.Pipeline,
    "services": model.PlainService,
    "policy": model.Policy,
}


@attrs.frozen(kw_only=True)
class Head:
    """Names the parts of one revision.

    Attributes:
        revision: Grows by one with each accepted submission.
        submission: The submitter's id of this submission.
        operator: Who submitted it.
        parts: Digest by part name, such as `customers/derwent-depot`.
    """

    revision: int
    submission: str
    operator: str
    parts: Mapping[str, str]


def part_key(digest: str) -> str:
    """Returns the key that a part is stored under."""
    return PART_PREFIX + digest


def encode(value: attrs.AttrsInstance) -> bytes:
    """Returns the stored bytes of a head or a part."""
    return jsonc.canonical(structure.unstructure(value))


def decode_head(data: bytes) -> Result[Head, Failure]:
    """Reads a stored head."""
    return structure.structure(orjson.loads(data), Head, name=HEAD_KEY)


def split(configuration: model.Configuration) -> dict[str, bytes]:
    """Returns the stored bytes of every part by part name."""
    parts = {"policy/policy": encode(configuration.policy)}
    for kind in PART_KINDS:
        if kind == "policy":
            continue
        for name, value in getattr(configuration, kind).items():
            parts[f"{kind}/{name}"] = encode(value)
    return parts


def join(
    revision: int, parts: Mapping[str, bytes]
) -> Result[model.Configuration, Failure]:
    """Builds the configuration of a revision from its parts."""
    fields: dict[str, Any] = {kind: {} for kind in PART_KINDS}
    for part_name, data in parts.items():
        kind, _, name = part_name.partition("/")
        match structure.structure(
            orjson.loads(data), PART_KINDS[kind], name=part_name
        ):
            case Ok(value):
                fields[kind][name] = value
            case Err(failure):
                return Err(failure)
    policy = fields.pop("policy").get("policy", model.Policy())
    return Ok(model.Configuration(revision=revision, policy=policy, **fields))
