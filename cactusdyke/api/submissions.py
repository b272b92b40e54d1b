"""Takes submissions from operators, and shows them what was accepted."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs
from result import Err, Ok, Result

from cactusdyke.configuration.submission import Submission
from cactusdyke.errors import Failure, FailureKind
from cactusdyke.questionnaire import check, diff
from cactusdyke.questionnaire.answers import Answers
from cactusdyke.questionnaire.generate import answers_of, generate
from cactusdyke.transport.messages import (
    Request,
    Response,
    failure_response,
    json_response,
)
from cactusdyke.util import structure
from cactusdyke.util.checks import Matching, checked

if TYPE_CHECKING:
    from cactusdyke.api.authentication import OperatorGate
    from cactusdyke.configuration.in_force import InForce
    from cactusdyke.configuration.model import Configuration, Operator
    from cactusdyke.configuration.submission_handler import SubmissionHandler

SUBMISSION_ID = Matching(
    pattern=r"[A-Za-z0-9._:-]{1,128}",
    form="1 to 128 letters, digits, dots, colons, dashes and underscores",
)
DEFAULT_LISTED = 20
SHOWN_HASH_DIGITS = 8


@attrs.frozen(kw_only=True)
class SubmissionBody:
    """What an operator sends: answers, or a revision to go back to.

    Attributes:
        id: Chosen by the operator's client; a repeated one is recognised.
        answers: The whole questionnaire.
        from_revision: The revision to go back to.
        base_revision: The revision that the operator saw, None for any.
        dry_run: Whether only to say what would change.
    """

    id: str = attrs.field(metadata=checked(SUBMISSION_ID))
    answers: Answers | None = None
    from_revision: int | None = None
    base_revision: int | None = None
    dry_run: bool = False


class SubmissionHandlers:
    """The handlers behind /v1/submissions, /v1/history, /v1/configuration."""

    def __init__(
        self,
        *,
        gate: OperatorGate,
        in_force: InForce,
        submissions: SubmissionHandler,
    ) -> None:
        self._gate = gate
        self._in_force = in_force
        self._submissions = submissions

    async def submit(self, request: Request) -> Response:
        """Accepts or refuses a submission, or says what it would change."""
        operator = self._gate.operator_of(request)
        if isinstance(operator, Err):
            return failure_response(operator.err_value)
        submission = _submission(request, operator.ok_value)
        if isinstance(submission, Err):
            return failure_response(submission.err_value)
        body, wanted = submission.ok_value
        if body.dry_run:
            return _respond(await self._dry_run(body, wanted))
        accepted = await self._submissions.submit(wanted)
        return _respond(
            accepted.map(
                lambda found: {
                    **structure.unstructure(found),
                    "warnings": _warnings(body),
                }
            )
        )

    async def find(self, request: Request) -> Response:
        """Says what became of a submission, by its id."""
        operator = self._gate.operator_of(request)
        if isinstance(operator, Err):
            return failure_response(operator.err_value)
        name = request.parameters["id"]
        found = await self._submissions.find(name)
        if isinstance(found, Err):
            return failure_response(found.err_value)
        if found.ok_value is None:
            return failure_response(
                Failure(
                    kind=FailureKind.NOT_FOUND,
                    detail="No submission of this id has been accepted so far",
                )
            )
        return json_response(structure.unstructure(found.ok_value))

    async def history(self, request: Request) -> Response:
        """Lists the revisions accepted last, the newest first."""
        operator = self._gate.operator_of(request)
        if isinstance(operator, Err):
            return failure_response(operator.err_value)
        limit = request.query.get("limit", str(DEFAULT_LISTED))
        if not limit.isdecimal() or int(limit) == 0:
            return failure_response(
                Failure(
                    kind=FailureKind.BAD_REQUEST,
                    detail="limit is not a whole number above 0",
                )
            )
        heads = await self._submissions.history.latest(int(limit))
        return _respond(
            heads.map(
                lambda some: {
                    "revisions": [
                        {
                            "revision": head.revision,
                            "submission": head.submission,
                            "operator": head.operator,
                            "changed": list(head.changed),
                            "changed_count": head.changed_count,
                            "accepted_at": head.accepted_at,
                            "from_revision": head.from_revision,
                        }
                        for head in some
                    ]
                }
            )
        )

    async def configuration(self, request: Request) -> Response:
        """Shows what is in force at this daemon, without whole hashes."""
        operator = self._gate.operator_of(request)
        if isinstance(operator, Err):
            return failure_response(operator.err_value)
        current = self._in_force.current
        return json_response(
            {
                "revision": current.revision,
                "confirmation": str(self._in_force.confirmation()),
                "confirmed_ms_ago": self._in_force.confirmed_ms_ago(),
                "answers": _redacted(current),
            }
        )

    async def _dry_run(
        self, body: SubmissionBody, wanted: Submission
    ) -> Result[dict[str, Any], Failure]:
        stored = await self._submissions.history.head()
        if isinstance(stored, Err):
            return stored
        head = stored.ok_value.head
        current = await self._submissions.accepted()
        if isinstance(current, Err):
            return current
        new = await self._submissions.resolve(wanted, head)
        return new.map(
            lambda configuration: {
                "base_revision": current.ok_value.revision,
                "changes": diff.describe(current.ok_value, configuration),
                "warnings": _warnings(body),
            }
        )


def _submission(
    request: Request, operator: Operator
) -> Result[tuple[SubmissionBody, Submission], Failure]:
    value = request.json()
    if isinstance(value, Err):
        return value
    parsed = structure.structure(
        value.ok_value, SubmissionBody, name="submission"
    )
    if isinstance(parsed, Err):
        return parsed
    body = parsed.ok_value
    if (body.answers is None) == (body.from_revision is None):
        return Err(
            _invalid("submission: give either 'answers' or 'from_revision'")
        )
    configuration = None
    if body.answers is not None:
        generated = generate(body.answers)
        if isinstance(generated, Err):
            return generated
        configuration = generated.ok_value
    submission = Submission(
        id=body.id,
        operator=operator.name,
        configuration=configuration,
        from_revision=body.from_revision,
        base_revision=body.base_revision,
    )
    return Ok((body, submission))


def _warnings(body: SubmissionBody) -> list[str]:
    return [] if body.answers is None else list(check.warnings(body.answers))


def _redacted(configuration: Configuration) -> Any:
    value = structure.unstructure(answers_of(configuration))
    for people in (value["customers"], value["operators"]):
        for person in people:
            person["token_hashes"] = [
                f"{full[:SHOWN_HASH_DIGITS]}..."
                for full in person["token_hashes"]
            ]
    return value


def _respond(answer: Result[dict[str, Any], Failure]) -> Response:
    match answer:
        case Ok(value):
            return json_response(value)
        case Err(failure):
            return failure_response(failure)


def _invalid(detail: str) -> Failure:
    return Failure(kind=FailureKind.INVALID, detail=detail)
