"""cactusdyke submit: puts answers in force."""

from __future__ import annotations

import uuid
from typing import TYPE_CHECKING, Any

from result import Ok, Result

from cactusdyke.clock import SystemClock
from cactusdyke.cmd import connection, fleet_status, output
from cactusdyke.cmd.action import Action, asynchronous
from cactusdyke.cmd.questionnaire import read_answers
from cactusdyke.errors import Failure, Ran
from cactusdyke.util import structure

if TYPE_CHECKING:
    from cactusdyke.client import Client

POLL_MS = 200.0
WAIT_MS = 30_000.0
RESOLVE_MS = 10_000.0


def submit(
    answers_file: str = "",
    *,
    from_revision: int | None = None,
    base_revision: int | None = None,
    id: str = "",  # noqa: A002
    wait: bool = False,
    wait_ms: float = WAIT_MS,
    entry: str = "",
    token_file: str = "",
    json: bool = False,
) -> Action:
    """Submits answers, or goes back to an earlier revision's.

    Going back makes a new, higher revision. A submission whose outcome is
    unknown may be repeated with the same id.

    Args:
        answers_file: A questionnaire in JSON with comments.
        from_revision: Take the answers of this revision instead of a file.
        base_revision: Refuse if another revision is in force by now.
        id: The submission's id; a new one if it is not given.
        wait: Wait until every live daemon has it in force.
        wait_ms: How long to wait, in milliseconds.
        entry: Addresses HOST:PORT, separated by commas.
        token_file: A file with the operator's token.
        json: Print JSON.
    """

    async def work() -> None:
        if bool(answers_file) == (from_revision is not None):
            output.usage("name either an answers file or --from-revision N")
        body: dict[str, Any] = {"id": str(id) if id != "" else uuid.uuid4().hex}
        if base_revision is not None:
            body["base_revision"] = base_revision
        if from_revision is not None:
            body["from_revision"] = from_revision
        else:
            body["answers"] = structure.unstructure(read_answers(answers_file))
        async with connection.connect(entry, token_file) as client:
            accepted = output.unwrap(await _send(client, body))
            revision = int(accepted["revision"])
            behind: list[str] = []
            if wait:
                behind = await _wait(client, revision, wait_ms)
        _show(body["id"], revision, behind, wait=wait, json=json)

    return asynchronous(work)


async def _send(
    client: Client, body: dict[str, Any]
) -> Result[dict[str, Any], Failure]:
    """Submits; a lost answer is looked up by the submission's id.

    The daemon that took a submission may die before it answers. Whether it
    was accepted then stands in the history, which every daemon can read.
    """
    answer = await client.post("/v1/submissions", body)
    if isinstance(answer, Ok) or answer.err_value.ran is not Ran.UNKNOWN:
        return answer
    clock = SystemClock()
    give_up = clock.now() + RESOLVE_MS
    while clock.now() < give_up:
        found = await client.get(f"/v1/submissions/{body['id']}")
        if isinstance(found, Ok):
            return found
        await clock.sleep(POLL_MS)
    return answer


async def _wait(client: Client, revision: int, wait_ms: float) -> list[str]:
    """Returns the live daemons that have not applied the revision in time."""
    clock = SystemClock()
    give_up = clock.now() + wait_ms
    while True:
        behind = [
            daemon["name"]
            for daemon in await fleet_status.read(client)
            if daemon["revision"] < revision
        ]
        if not behind or clock.now() >= give_up:
            return behind
        await clock.sleep(POLL_MS)


def _show(
    submission: str,
    revision: int,
    behind: list[str],
    *,
    wait: bool,
    json: bool,
) -> None:
    if json:
        output.show_json(
            {"id": submission, "revision": revision, "behind": behind}
        )
    elif wait and not behind:
        print(f"revision {revision} is in force at every live daemon")
    else:
        print(f"accepted as revision {revision}, submission {submission}")
    if behind:
        print(f"not yet in force at: {', '.join(behind)}")
        raise SystemExit(output.ExitCode.FAILED)
