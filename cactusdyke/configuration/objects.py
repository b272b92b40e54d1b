"""Configuration as stored objects: small parts below one head.

A part holds one customer, one pipeline and the like; the replicas of a large
pool are spread over parts of bounded size. Parts are listed by manifests, and
the head names the manifests of a whole revision. A part is written once under
a reference of its own and never changes, so a change is visible in full or
not at all, and one small change costs a part, a manifest and the head.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

import attrs
import orjson
import xxhash
from result import Err, Ok, Result

from cactusdyke.configuration import model
from cactusdyke.errors import Failure, FailureKind
from cactusdyke.util import jsonc, structure

if TYPE_CHECKING:
    from collections.abc import Iterable

HEAD_KEY = "configuration/head"
PART_PREFIX = "configuration/parts/"
HISTORY_PREFIX = "configuration/history/"
SUBMISSION_PREFIX = "configuration/submissions/"

MANIFESTS = 16
"""Manifests of a revision; at 400 parts each lists about 25."""

REPLICAS_PER_PART = 16
"""Mean replicas in a part; one that changes costs about 3 KB."""

MAX_CHANGED_NAMES = 20
"""Changed parts that a head names; of more it gives the number only."""


@attrs.frozen(kw_only=True)
class Replicas:
    """Some of the backend servers of a pool.

    Attributes:
        pool: The pool's name.
        backend_servers: Those replicas that hash to this part.
    """

    pool: str
    backend_servers: tuple[model.BackendServer, ...]


PART_KINDS: Mapping[str, type] = {
    "customers": model.Customer,
    "operators": model.Operator,
    "pools": model.Pool,
    "replicas": Replicas,
    "pipelines": model.Pipeline,
    "services": model.PlainService,
    "policy": model.Policy,
}


@attrs.frozen(kw_only=True)
class Head:
    """Names the manifests of one revision, and how it came to be.

    Attributes:
        revision: Grows by one with each accepted submission.
        submission: The submitter's id of this submission.
        operator: Who submitted it.
        nonce: Drawn for one attempt to submit; part of its references.
        content: Digest of what was submitted, to tell a repeated
            submission from another one under the same id.
        manifests: References of the manifests; empty for an empty one.
        changed: Names of changed parts, at most MAX_CHANGED_NAMES.
        changed_count: How many parts were changed.
        accepted_at: The submitting daemon's wall clock, for people.
        from_revision: The revision that was gone back to, if any.
    """

    revision: int
    submission: str
    operator: str
    nonce: str
    content: str
    manifests: tuple[str, ...]
    changed: tuple[str, ...] = ()
    changed_count: int = 0
    accepted_at: int = 0
    from_revision: int | None = None


NO_HEAD = Head(
    revision=0,
    submission="",
    operator="",
    nonce="",
    content="",
    manifests=("",) * MANIFESTS,
)


def part_key(reference: str) -> str:
    """Returns the key that a part or manifest is stored under."""
    return PART_PREFIX + reference


def history_key(revision: int) -> str:
    """Returns the key that a replaced head is kept under."""
    return f"{HISTORY_PREFIX}{revision:010d}"


def submission_key(submission: str) -> str:
    """Returns the key of the record that tells a submission's revision."""
    return SUBMISSION_PREFIX + jsonc.digest(submission.encode())


def reference(*, base: int, nonce: str, data: bytes) -> str:
    """Returns the reference of a part written on top of revision `base`."""
    return f"{base}-{nonce}-{jsonc.digest(data)}"


def nonce_of(reference: str) -> str:
    """Returns the nonce of the attempt that wrote a part."""
    return reference.split("-")[1]


def is_whole(reference: str, data: bytes) -> bool:
    """Returns whether `data` is what the reference was made for."""
    return jsonc.digest(data) == reference.rpartition("-")[2]


def encode(value: attrs.AttrsInstance) -> bytes:
    """Returns the stored bytes of a head or a part."""
    return jsonc.canonical(structure.unstructure(value))


def decode_head(data: bytes) -> Result[Head, Failure]:
    """Reads a stored head."""
    return decode(data, Head, name=HEAD_KEY)


def decode(
    data: bytes, kind: type[structure.T], *, name: str
) -> Result[structure.T, Failure]:
    """Reads a stored object."""
    return loads(data, name=name).and_then(
        lambda value: structure.structure(value, kind, name=name)
    )


def loads(data: bytes, *, name: str) -> Result[Any, Failure]:
    """Parses stored JSON."""
    try:
        return Ok(orjson.loads(data))
    except orjson.JSONDecodeError as error:
        return Err(
            Failure(
                kind=FailureKind.INVALID,
                detail=f"The stored object {name} is not JSON: {error}",
            )
        )


def split(configuration: model.Configuration) -> dict[str, bytes]:
    """Returns the stored bytes of every part by part name."""
    parts = {"policy/policy": encode(configuration.policy)}
    for kind in ("customers", "operators", "pipelines", "services"):
        for name, value in getattr(configuration, kind).items():
            parts[f"{kind}/{name}"] = encode(value)
    for name, pool in configuration.pools.items():
        parts[f"pools/{name}"] = encode(attrs.evolve(pool, backend_servers=()))
        for number, replicas in _spread(pool).items():
            parts[f"replicas/{name}/{number}"] = encode(replicas)
    return parts


def _spread(pool: model.Pool) -> dict[int, Replicas]:
    count = 1
    while count * REPLICAS_PER_PART < len(pool.backend_servers):
        count *= 2
    chosen: dict[int, list[model.BackendServer]] = {}
    for server in sorted(pool.backend_servers, key=lambda s: s.name):
        number = _hash(server.name) % count
        chosen.setdefault(number, []).append(server)
    return {
        number: Replicas(pool=pool.name, backend_servers=tuple(servers))
        for number, servers in chosen.items()
    }


def join(
    revision: int, values: Mapping[str, Any]
) -> Result[model.Configuration, Failure]:
    """Builds the configuration of a revision from its parts' values."""
    fields: dict[str, dict[str, Any]] = {kind: {} for kind in PART_KINDS}
    for part_name, value in values.items():
        kind, _, name = part_name.partition("/")
        fields[kind][name] = value
    servers: dict[str, list[model.BackendServer]] = {}
    for replicas in fields.pop("replicas").values():
        servers.setdefault(replicas.pool, []).extend(replicas.backend_servers)
    if strays := sorted(set(servers) - set(fields["pools"])):
        return Err(
            Failure(
                kind=FailureKind.INVALID,
                detail=f"Revision {revision} has replicas without a pool:"
                f" {', '.join(strays)}",
            )
        )
    fields["pools"] = {
        name: attrs.evolve(
            pool,
            backend_servers=tuple(
                sorted(servers.get(name, ()), key=lambda s: s.name)
            ),
        )
        for name, pool in fields["pools"].items()
    }
    policy = fields.pop("policy").get("policy", model.Policy())
    return Ok(model.Configuration(revision=revision, policy=policy, **fields))


def part_kind(part_name: str) -> type | None:
    """Returns what a part of that name holds, None for an unknown kind."""
    return PART_KINDS.get(part_name.partition("/")[0])


def content_digest(parts: Mapping[str, bytes]) -> str:
    """Returns a digest of a whole configuration, the same for the same."""
    return jsonc.digest(
        jsonc.canonical({name: jsonc.digest(d) for name, d in parts.items()})
    )


@attrs.frozen(kw_only=True)
class Plan:
    """What to write for a revision on top of another.

    Attributes:
        manifests: References of all manifests of the new revision.
        new: Bytes of the parts and manifests to write, by reference.
        changed: Names of changed, added and removed parts.
    """

    manifests: tuple[str, ...]
    new: Mapping[str, bytes]
    changed: tuple[str, ...]


def plan(
    parts: Mapping[str, bytes],
    *,
    head: Head,
    references: Mapping[str, str],
    nonce: str,
) -> Plan:
    """Works out what a submission writes on top of `head`.

    Args:
        parts: The new revision's parts by name.
        head: The head that it replaces.
        references: The references of that head's parts, by part name.
        nonce: Drawn for this attempt.
    """
    new: dict[str, bytes] = {}
    manifests: list[dict[str, str]] = [{} for _ in range(MANIFESTS)]
    changed = set(references) - set(parts)
    for name, data in parts.items():
        known = references.get(name)
        if known is None or not is_whole(known, data):
            known = reference(base=head.revision, nonce=nonce, data=data)
            new[known] = data
            changed.add(name)
        manifests[_hash(name) % MANIFESTS][name] = known
    named = []
    for manifest, old in zip(manifests, head.manifests, strict=True):
        data = jsonc.canonical(manifest)
        if not manifest:
            named.append("")
        elif old and is_whole(old, data):
            named.append(old)
        else:
            named.append(reference(base=head.revision, nonce=nonce, data=data))
            new[named[-1]] = data
    return Plan(
        manifests=tuple(named), new=new, changed=tuple(_for_people(changed))
    )


def _for_people(names: Iterable[str]) -> list[str]:
    """Names a pool where only some of its replicas' parts changed."""
    shown = set()
    for name in names:
        kind, _, rest = name.partition("/")
        if kind == "replicas":
            shown.add(f"pools/{rest.rpartition('/')[0]}")
        else:
            shown.add(name)
    return sorted(shown)


def _hash(name: str) -> int:
    return xxhash.xxh64_intdigest(name.encode())
