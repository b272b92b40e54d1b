"""Configuration the naive way: polled, and applied object by object.

A submission overwrites one object after the other in place and retries what
was not answered. Each daemon polls the objects and takes whatever it reads.
"""

from __future__ import annotations

from typing import Any

import attrs
from result import Err, Ok, Result

from cactusdyke import configuration
from cactusdyke.application import Application, ExtensionMetadata
from cactusdyke.configuration import model, objects
from cactusdyke.configuration.history import accepted_of
from cactusdyke.configuration.in_force import InForce
from cactusdyke.configuration.submission import Accepted, Submission
from cactusdyke.configuration.submission_handler import SubmissionHandler
from cactusdyke.errors import Failure

PREFIX = "naive/"
POLL_MS = 1_000.0


class NaiveInForce(InForce):
    """Polls every object and applies each as it is read."""

    _found = model.EMPTY

    @property
    def current(self) -> model.Configuration:
        """Whatever was read last."""
        return self._found

    async def run(self) -> None:
        """Polls for as long as the daemon runs."""
        values: dict[str, Any] = {}
        revision = 0
        while True:
            listed = await self._object_store.list(PREFIX, limit=1_000)
            for stored in listed.unwrap_or([]):
                name = stored.key.removeprefix(PREFIX)
                if name == "revision":
                    revision = int(stored.value)
                    continue
                kind = objects.part_kind(name)
                values[name] = objects.decode(
                    stored.value, kind, name=name
                ).unwrap()
                joined = objects.join(revision, values)
                if joined.is_ok():
                    self._found = joined.ok_value
            await self._clock.sleep(POLL_MS)

    def permit(self, *, idempotent: bool) -> Result[None, Failure]:
        """Serves whatever may be in force."""
        return Ok(None)


class NaiveDesk(SubmissionHandler):
    """Writes object by object, and takes a lost answer for a failure."""

    async def submit(self, submission: Submission) -> Result[Accepted, Failure]:
        """Overwrites the objects in place."""
        read = await self._object_store.read(f"{PREFIX}revision")
        if isinstance(read, Err):
            return read
        last = int(read.ok_value.value) if read.ok_value else 0
        wanted = submission.configuration or self._in_force.current
        for name, data in objects.split(wanted).items():
            written = await self._object_store.write(f"{PREFIX}{name}", data)
            if isinstance(written, Err):
                return Err(attrs.evolve(written.err_value, ran="not_run"))
        head = attrs.evolve(
            objects.NO_HEAD,
            revision=last + 1,
            submission=submission.id,
            operator=submission.operator,
        )
        for key, data in (
            (f"{PREFIX}revision", str(last + 1).encode()),
            (objects.HEAD_KEY, objects.encode(head)),
        ):
            written = await self._object_store.write(key, data)
            if isinstance(written, Err):
                return Err(attrs.evolve(written.err_value, ran="not_run"))
        return Ok(accepted_of(head))


def setup(app: Application) -> ExtensionMetadata:
    """Registers the naive services under the names of the real ones."""
    return configuration.setup_with(
        app, in_force_type=NaiveInForce, desk_type=NaiveDesk
    )
