"""Accepts submissions: all or nothing, against the revision they saw."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any, TypeAlias

import anyio
import attrs
from result import Err, Ok, Result

from cactusdyke import events
from cactusdyke.configuration import conflicts, loader, model, objects
from cactusdyke.configuration.history import History, StoredHead, accepted_of
from cactusdyke.configuration.sweeper import Sweeper
from cactusdyke.errors import Failure, FailureKind, Ran
from cactusdyke.kernel import Service

if TYPE_CHECKING:
    import random

    from cactusdyke.clock import Clock
    from cactusdyke.configuration.in_force import InForce
    from cactusdyke.configuration.submission import Accepted, Submission
    from cactusdyke.infrastructure.object_store import ObjectStore

RESOLVE_MS = 10_000.0
"""How long a lost answer is looked into before it is called unknown."""

RETRY_MS = 400.0
WRITE_TRIES = 3
WRITES_AT_ONCE = 8
RETRY_AFTER_MS = 2_000
NONCE_BITS = 48


_Write: TypeAlias = Callable[[], Awaitable[Result[Any, Failure]]]


class SubmissionHandler(Service):
    """Takes submissions of this daemon's callers to the store."""

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        object_store: ObjectStore,
        in_force: InForce,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._object_store = object_store
        self._source = loader.StoreSource(object_store=object_store)
        self._in_force = in_force
        self._history = History(object_store=object_store)
        self._sweeper = Sweeper(
            clock=clock, object_store=object_store, history=self._history
        )

    @property
    def history(self) -> History:
        """The accepted revisions that the store keeps."""
        return self._history

    async def run(self) -> None:
        """Deletes what old revisions leave behind, after submissions."""
        await self._sweeper.run()

    async def submit(self, submission: Submission) -> Result[Accepted, Failure]:
        """Puts a submission in the store and returns what it became.

        Fails with CONFLICT, STORE_UNAVAILABLE and the like (not accepted), or
        with OUTCOME_UNKNOWN: then it may be submitted again under its id.
        """
        stored = await self._history.head()
        if isinstance(stored, Err):
            return stored
        head = stored.ok_value.head
        content = _content_of(submission)
        earlier = await self._history.find(submission.id, head)
        if isinstance(earlier, Err):
            return earlier
        if earlier.ok_value is not None:
            return _repeated(submission, earlier.ok_value, content)
        if submission.base_revision not in (None, head.revision):
            assert submission.base_revision is not None
            return await conflicts.describe(
                self._history, submission.base_revision, head
            )
        wanted = await self.resolve(submission, head)
        if isinstance(wanted, Err):
            return wanted
        return await self._write(
            submission, stored.ok_value, wanted.ok_value, content
        )

    async def find(self, submission: str) -> Result[Accepted | None, Failure]:
        """Returns what a submission became, None if not accepted so far."""
        stored = await self._history.head()
        if isinstance(stored, Err):
            return stored
        return await self._history.find(submission, stored.ok_value.head)

    async def accepted(self) -> Result[model.Configuration, Failure]:
        """Returns the configuration accepted last, from the store."""
        stored = await self._history.head()
        if isinstance(stored, Err):
            return stored
        return await self._load(stored.ok_value.head)

    async def resolve(
        self, submission: Submission, head: objects.Head
    ) -> Result[model.Configuration, Failure]:
        """Returns the configuration that a submission asks for."""
        if submission.configuration is not None:
            return Ok(submission.configuration)
        assert submission.from_revision is not None
        earlier = await self._history.revision(submission.from_revision, head)
        if isinstance(earlier, Err):
            return earlier
        return await self._load(earlier.ok_value)

    async def _load(
        self, head: objects.Head
    ) -> Result[model.Configuration, Failure]:
        if head.revision == 0:
            return Ok(model.EMPTY)
        loaded = await loader.load(
            head, source=self._source, known=self._in_force.snapshot
        )
        return loaded.map(lambda snapshot: snapshot.configuration)

    async def _write(
        self,
        submission: Submission,
        stored: StoredHead,
        wanted: model.Configuration,
        content: str,
    ) -> Result[Accepted, Failure]:
        head = stored.head
        listed = await loader.load_references(
            head, source=self._source, known=self._in_force.snapshot.data
        )
        if isinstance(listed, Err):
            return listed
        nonce = f"{self._rng.getrandbits(NONCE_BITS):012x}"
        plan = objects.plan(
            objects.split(wanted),
            head=head,
            references=listed.ok_value[0],
            nonce=nonce,
        )
        written = await self._write_parts(plan)
        if isinstance(written, Err):
            return written
        saved = await self._repeat(lambda: self._history.save(head))
        if isinstance(saved, Err):
            return Err(_not_accepted(saved.err_value))
        new_head = objects.Head(
            revision=head.revision + 1,
            submission=submission.id,
            operator=submission.operator,
            nonce=nonce,
            content=content,
            manifests=plan.manifests,
            changed=plan.changed[: objects.MAX_CHANGED_NAMES],
            changed_count=len(plan.changed),
            accepted_at=self._clock.wall(),
            from_revision=submission.from_revision,
        )
        accepted = await self._replace_head(stored, new_head)
        if isinstance(accepted, Ok):
            events.log(
                events.Event.SUBMISSION_ACCEPTED,
                submission=submission.id,
                operator=submission.operator,
                revision=accepted.ok_value.revision,
            )
            self._sweeper.wake()
            if accepted.ok_value.revision == new_head.revision:
                known = {**listed.ok_value[1], **plan.new}
                await self._in_force.learn(new_head, known)
        return accepted

    async def _write_parts(self, plan: objects.Plan) -> Result[None, Failure]:
        limiter = anyio.Semaphore(WRITES_AT_ONCE)
        failures: list[Failure] = []

        async def write(reference: str, data: bytes) -> None:
            async with limiter:
                if failures:
                    return
                # References are of this attempt alone, so a write that took
                # effect although its answer was lost may be repeated.
                done = await self._repeat(
                    lambda: self._object_store.write(
                        objects.part_key(reference), data
                    )
                )
                if isinstance(done, Err):
                    failures.append(done.err_value)

        async with anyio.create_task_group() as tasks:
            for reference, data in plan.new.items():
                tasks.start_soon(write, reference, data)
        return Err(_not_accepted(failures[0])) if failures else Ok(None)

    async def _repeat(self, write: _Write) -> Result[None, Failure]:
        """Repeats a write that may be done twice."""
        for _ in range(WRITE_TRIES - 1):
            done = await write()
            if done.is_ok():
                return Ok(None)
            await self._pause()
        done = await write()
        return done.map(lambda _: None)

    async def _replace_head(
        self, stored: StoredHead, new_head: objects.Head
    ) -> Result[Accepted, Failure]:
        """Writes the head, and finds out what a lost answer meant."""
        give_up_at = self._clock.now() + RESOLVE_MS
        doubtful = False
        while True:
            written = await self._object_store.write(
                objects.HEAD_KEY,
                objects.encode(new_head),
                if_version=stored.version,
            )
            if isinstance(written, Ok):
                return Ok(accepted_of(new_head))
            failure = written.err_value
            doubtful = doubtful or failure.ran is not Ran.NOT_RUN
            # The store's answer to a write can be lost after it took effect,
            # so neither "accepted" nor "not accepted" may be said from the
            # failure alone. The head tells: ours, or one after ours (then
            # our id is indexed), or another one (then our write can no
            # longer take effect, as its condition fails for good), or the old
            # one (then the same conditional write may be repeated).
            while True:
                outcome = await self._read_back(stored, new_head)
                if outcome is not None and not _is_unclear(outcome):
                    return outcome
                if self._clock.now() >= give_up_at:
                    return Err(self._given_up(new_head, failure, doubtful))
                await self._pause()
                if outcome is None:
                    break

    async def _read_back(
        self, stored: StoredHead, new_head: objects.Head
    ) -> Result[Accepted, Failure] | None:
        """Returns what became of a submission, None if it may be repeated."""
        now = await self._history.head()
        if isinstance(now, Err):
            return now
        if now.ok_value.version == stored.version:
            return None
        current = now.ok_value.head
        found = await self._history.find(new_head.submission, current)
        if isinstance(found, Err):
            return found
        if found.ok_value is not None:
            if found.ok_value.content != new_head.content:
                return Err(_id_taken(new_head.submission, found.ok_value))
            return Ok(found.ok_value)
        return await conflicts.describe(
            self._history, stored.head.revision, current
        )

    def _given_up(
        self,
        new_head: objects.Head,
        failure: Failure,
        doubtful: bool,
    ) -> Failure:
        if not doubtful:
            return _not_accepted(failure)
        events.log(
            events.Event.SUBMISSION_UNKNOWN, submission=new_head.submission
        )
        return Failure(
            kind=FailureKind.OUTCOME_UNKNOWN,
            detail=(
                f"Submission {new_head.submission!r} may or may not have been"
                " accepted; submit it again under the same id"
            ),
            ran=Ran.UNKNOWN,
            retry_after_ms=RETRY_AFTER_MS,
        )

    async def _pause(self) -> None:
        await self._clock.sleep(RETRY_MS * self._rng.uniform(0.5, 1.5))


def _content_of(submission: Submission) -> str:
    if submission.configuration is None:
        return f"revision {submission.from_revision}"
    return objects.content_digest(objects.split(submission.configuration))


def _repeated(
    submission: Submission, earlier: Accepted, content: str
) -> Result[Accepted, Failure]:
    if earlier.content != content:
        return Err(_id_taken(submission.id, earlier))
    return Ok(attrs.evolve(earlier, repeated=True))


def _id_taken(submission: str, earlier: Accepted) -> Failure:
    return Failure(
        kind=FailureKind.CONFLICT,
        detail=(
            f"The id {submission!r} is that of another submission, by"
            f" {earlier.operator}, which became revision {earlier.revision}"
        ),
    )


def _not_accepted(failure: Failure) -> Failure:
    return Failure(
        kind=FailureKind.STORE_UNAVAILABLE,
        detail=f"The submission was not accepted: {failure.detail}",
        retry_after_ms=failure.retry_after_ms or RETRY_AFTER_MS,
    )


def _is_unclear(outcome: Result[Accepted, Failure]) -> bool:
    return (
        isinstance(outcome, Err)
        and outcome.err_value.kind is not FailureKind.CONFLICT
    )
