"""Accepted revisions as the store keeps them: the head and those before."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from result import Err, Ok, Result

from cactusdyke.configuration import objects
from cactusdyke.configuration.submission import Accepted
from cactusdyke.errors import Failure, FailureKind
from cactusdyke.infrastructure.object_store import MUST_NOT_EXIST

if TYPE_CHECKING:
    from cactusdyke.infrastructure.object_store import ObjectStore

MAX_LISTED = 50


@attrs.frozen(kw_only=True)
class StoredHead:
    """The head with the version that a conditional write needs."""

    head: objects.Head
    version: int


class History:
    """Reads and keeps accepted heads.

    A head is saved under its revision, and its submission's id is indexed,
    before it is replaced. So whoever finds a newer head finds the record of
    every earlier submission too, wherever a submitter died.
    """

    def __init__(self, *, object_store: ObjectStore) -> None:
        self._object_store = object_store

    async def head(self) -> Result[StoredHead, Failure]:
        """Returns the head, revision 0 where nothing was ever accepted."""
        answer = await self._object_store.read(objects.HEAD_KEY)
        if isinstance(answer, Err):
            return answer
        stored = answer.ok_value
        if stored is None:
            return Ok(StoredHead(head=objects.NO_HEAD, version=MUST_NOT_EXIST))
        return objects.decode_head(stored.value).map(
            lambda head: StoredHead(head=head, version=stored.version)
        )

    async def save(self, head: objects.Head) -> Result[None, Failure]:
        """Saves a head that is about to be replaced; may be repeated."""
        if head.revision == 0:
            return Ok(None)
        record = Accepted(
            revision=head.revision,
            operator=head.operator,
            content=head.content,
            changed=head.changed,
            changed_count=head.changed_count,
        )
        for key, data in (
            (objects.history_key(head.revision), objects.encode(head)),
            (objects.submission_key(head.submission), objects.encode(record)),
        ):
            written = await self._object_store.write(key, data)
            if isinstance(written, Err):
                return written
        return Ok(None)

    async def find(
        self, submission: str, head: objects.Head
    ) -> Result[Accepted | None, Failure]:
        """Returns what a submission became, up to a head read before."""
        if head.submission == submission:
            return Ok(accepted_of(head))
        answer = await self._object_store.read(
            objects.submission_key(submission)
        )
        if isinstance(answer, Err):
            return answer
        if answer.ok_value is None:
            return Ok(None)
        return objects.decode(
            answer.ok_value.value, Accepted, name="submission record"
        )

    async def revision(
        self, revision: int, head: objects.Head
    ) -> Result[objects.Head, Failure]:
        """Returns the head of an earlier revision."""
        if revision == head.revision:
            return Ok(head)
        answer = await self._object_store.read(objects.history_key(revision))
        if isinstance(answer, Err):
            return answer
        if answer.ok_value is None:
            return Err(_not_kept(revision))
        return objects.decode_head(answer.ok_value.value)

    async def latest(self, limit: int) -> Result[list[objects.Head], Failure]:
        """Returns the last accepted heads, the newest first."""
        stored = await self.head()
        if isinstance(stored, Err):
            return stored
        newest = stored.ok_value.head
        if newest.revision == 0:
            return Ok([])
        first = newest.revision - min(limit, MAX_LISTED)
        earlier = await self.between(max(0, first), newest)
        return earlier.map(lambda heads: [newest, *reversed(heads)])

    async def between(
        self, above: int, newest: objects.Head
    ) -> Result[list[objects.Head], Failure]:
        """Returns heads above a revision and before the newest, in order."""
        count = min(MAX_LISTED, newest.revision - above - 1)
        if count <= 0:
            return Ok([])
        listed = await self._object_store.list(
            objects.HISTORY_PREFIX,
            after=objects.history_key(above),
            limit=count,
        )
        if isinstance(listed, Err):
            return listed
        heads = []
        for stored in listed.ok_value:
            match objects.decode_head(stored.value):
                case Ok(head):
                    heads.append(head)
                case Err(failure):
                    return Err(failure)
        return Ok([head for head in heads if head.revision < newest.revision])


def accepted_of(head: objects.Head) -> Accepted:
    """Returns what the submission of a head became."""
    return Accepted(
        revision=head.revision,
        operator=head.operator,
        content=head.content,
        changed=head.changed,
        changed_count=head.changed_count,
    )


def _not_kept(revision: int) -> Failure:
    return Failure(
        kind=FailureKind.NOT_FOUND,
        detail=f"Revision {revision} is not kept; `GET /v1/history` lists"
        " those that are",
    )
