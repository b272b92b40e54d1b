"""Accepts a submission: all or nothing, against the revision it saw."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from result import Err, Ok, Result

from cactusdyke.configuration import model, objects
from cactusdyke.errors import Failure, FailureKind
from cactusdyke.platform.object_store import MUST_NOT_EXIST
from cactusdyke.util import jsonc

if TYPE_CHECKING:
    from cactusdyke.platform.object_store import ObjectStore


@attrs.frozen(kw_only=True)
class Submission:
    """A configuration that an operator wants in force.

    Attributes:
        id: Chosen by the submitter; a repeated one is recognised.
        operator: Who submits.
        configuration: What to put in force; its revision is ignored.
        base_revision: The revision that the operator saw, None for any.
    """

    id: str
    operator: str
    configuration: model.Configuration
    base_revision: int | None = None


async def submit(
    store: ObjectStore, submission: Submission
) -> Result[int, Failure]:
    """Puts a submission in the store and returns its revision."""
    current = await store.read(objects.HEAD_KEY)
    if isinstance(current, Err):
        return current
    head = objects.Head(revision=0, submission="", operator="", parts={})
    version = MUST_NOT_EXIST
    if current.ok_value is not None:
        decoded = objects.decode_head(current.ok_value.value)
        if isinstance(decoded, Err):
            return decoded
        head = decoded.ok_value
        version = current.ok_value.version
    if head.submission == submission.id:
        return Ok(head.revision)
    if submission.base_revision not in (None, head.revision):
        return Err(_conflict(submission, head))
    return await _write(store, submission, head, version)


async def _write(
    store: ObjectStore,
    submission: Submission,
    head: objects.Head,
    version: int,
) -> Result[int, Failure]:
    digests: dict[str, str] = {}
    for name, data in objects.split(submission.configuration).items():
        digests[name] = jsonc.digest(data)
        if digests[name] in head.parts.values():
            continue
        written = await store.write(objects.part_key(digests[name]), data)
        if isinstance(written, Err):
            return written
    new_head = objects.Head(
        revision=head.revision + 1,
        submission=submission.id,
        operator=submission.operator,
        parts=digests,
    )
    accepted = await store.write(
        objects.HEAD_KEY, objects.encode(new_head), if_version=version
    )
    return accepted.map(lambda _: new_head.revision)


def _conflict(submission: Submission, head: objects.Head) -> Failure:
    return Failure(
        kind=FailureKind.CONFLICT,
        detail=(
            f"The submission was made against revision"
            f" {submission.base_revision}, but {head.operator} has put"
            f" revision {head.revision} in force"
        ),
    )
