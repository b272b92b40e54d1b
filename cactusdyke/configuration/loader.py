"""Loads a whole revision from wherever its parts can be had."""

from __future__ import annotations

import abc
from collections.abc import Mapping, Sequence
from typing import TYPE_CHECKING, Any

import anyio
import attrs
from result import Err, Ok, Result

from cactusdyke.configuration import model, objects
from cactusdyke.errors import Failure, FailureKind

if TYPE_CHECKING:
    from cactusdyke.infrastructure.object_store import ObjectStore

READS_AT_ONCE = 8


@attrs.frozen(kw_only=True)
class Snapshot:
    """A whole revision with the bytes it was built from.

    Attributes:
        head: The revision's head.
        references: The reference of each part, by part name.
        data: Bytes of manifests and parts, by reference.
        values: Decoded parts, by reference.
        configuration: What the parts add up to.
    """

    head: objects.Head
    references: Mapping[str, str]
    data: Mapping[str, bytes]
    values: Mapping[str, Any]
    configuration: model.Configuration


NOTHING = Snapshot(
    head=objects.NO_HEAD,
    references={},
    data={},
    values={},
    configuration=model.EMPTY,
)


class PartSource(abc.ABC):
    """Where parts and manifests are read from."""

    @abc.abstractmethod
    async def fetch(
        self, references: Sequence[str]
    ) -> Result[Mapping[str, bytes], Failure]:
        """Returns parts by reference; those that aren't there are left out."""


class StoreSource(PartSource):
    """Reads parts from the platform's object service."""

    def __init__(self, *, object_store: ObjectStore) -> None:
        self._object_store = object_store

    async def fetch(
        self, references: Sequence[str]
    ) -> Result[Mapping[str, bytes], Failure]:
        """Returns parts by reference, read a few at a time."""
        found: dict[str, bytes] = {}
        failures: list[Failure] = []
        limiter = anyio.Semaphore(READS_AT_ONCE)

        async def read(reference: str) -> None:
            async with limiter:
                if failures:
                    return
                match await self._object_store.read(
                    objects.part_key(reference)
                ):
                    case Ok(None):
                        return
                    case Ok(stored):
                        assert stored is not None
                        found[reference] = stored.value
                    case Err(failure):
                        failures.append(failure)

        async with anyio.create_task_group() as tasks:
            for reference in references:
                tasks.start_soon(read, reference)
        return Err(failures[0]) if failures else Ok(found)


class KnownSource(PartSource):
    """Has some parts at hand, such as those just written."""

    def __init__(self, *, parts: Mapping[str, bytes]) -> None:
        self._parts = parts

    async def fetch(
        self, references: Sequence[str]
    ) -> Result[Mapping[str, bytes], Failure]:
        """Returns parts by reference; those that aren't there are left out."""
        return Ok({r: self._parts[r] for r in references if r in self._parts})


async def load(
    head: objects.Head, *, source: PartSource, known: Snapshot
) -> Result[Snapshot, Failure]:
    """Returns the whole revision of a head.

    Args:
        head: The revision's head.
        source: Where to read what `known` has not.
        known: A revision whose parts may be used again.
    """
    listed = await load_references(head, source=source, known=known.data)
    if isinstance(listed, Err):
        return listed
    references, manifests = listed.ok_value
    parts = await _fetch(
        list(references.values()), source=source, known=known.data
    )
    if isinstance(parts, Err):
        return parts
    values: dict[str, Any] = {}
    for name, reference in references.items():
        if reference in known.values:
            values[reference] = known.values[reference]
            continue
        decoded = _decode(name, parts.ok_value[reference])
        if isinstance(decoded, Err):
            return decoded
        values[reference] = decoded.ok_value
    joined = objects.join(
        head.revision,
        {name: values[reference] for name, reference in references.items()},
    )
    return joined.map(
        lambda configuration: Snapshot(
            head=head,
            references=references,
            data={**manifests, **parts.ok_value},
            values=values,
            configuration=configuration,
        )
    )


async def load_references(
    head: objects.Head, *, source: PartSource, known: Mapping[str, bytes]
) -> Result[tuple[dict[str, str], dict[str, bytes]], Failure]:
    """Returns the references of a head's parts, and its manifests' bytes."""
    manifests = await _fetch(
        [reference for reference in head.manifests if reference],
        source=source,
        known=known,
    )
    if isinstance(manifests, Err):
        return manifests
    references: dict[str, str] = {}
    for reference, data in manifests.ok_value.items():
        match objects.decode(data, dict[str, str], name=reference):
            case Ok(listed):
                references.update(listed)
            case Err(failure):
                return Err(failure)
    return Ok((references, manifests.ok_value))


async def _fetch(
    references: Sequence[str], *, source: PartSource, known: Mapping[str, bytes]
) -> Result[dict[str, bytes], Failure]:
    missing = [r for r in references if r not in known]
    found: Mapping[str, bytes] = {}
    if missing:
        fetched = await source.fetch(missing)
        if isinstance(fetched, Err):
            return fetched
        found = fetched.ok_value
    for reference in missing:
        # A part may be missing (deleted, not yet there at a peer) or damaged
        # on its way. Applying the others would put half a change in force.
        # Its reference ends in its digest, so damage is always seen here.
        if reference not in found:
            return Err(_missing(reference))
        if not objects.is_whole(reference, found[reference]):
            return Err(_damaged(reference))
    return Ok({r: known[r] if r in known else found[r] for r in references})


def _decode(part_name: str, data: bytes) -> Result[Any, Failure]:
    kind = objects.part_kind(part_name)
    if kind is None:
        return Err(
            Failure(
                kind=FailureKind.INVALID,
                detail=f"The part {part_name} is of a kind unknown here",
            )
        )
    return objects.decode(data, kind, name=part_name)


def _missing(reference: str) -> Failure:
    return Failure(
        kind=FailureKind.NOT_FOUND,
        detail=f"The configuration part {reference} is missing",
    )


def _damaged(reference: str) -> Failure:
    return Failure(
        kind=FailureKind.INVALID,
        detail=f"The configuration part {reference} is damaged",
    )
