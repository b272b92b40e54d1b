"""Takes submissions from operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from result import Err, Ok, Result

from cactusdyke.configuration.submit import Submission, submit
from cactusdyke.errors import Failure, FailureKind
from cactusdyke.questionnaire.answers import Answers
from cactusdyke.questionnaire.generate import generate
from cactusdyke.transport.messages import (
    Request,
    Response,
    failure_response,
    json_response,
)
from cactusdyke.util import structure

if TYPE_CHECKING:
    from cactusdyke.api.authentication import OperatorGate
    from cactusdyke.configuration.model import Operator
    from cactusdyke.platform.object_store import ObjectStore


@attrs.frozen(kw_only=True)
class SubmissionBody:
    """What an operator sends.

    Attributes:
        id: Chosen by the operator's client; a repeated one is recognised.
        answers: The whole questionnaire.
        base_revision: The revision that the operator saw, None for any.
    """

    id: str
    answers: Answers
    base_revision: int | None = None


class SubmissionHandlers:
    """The handler behind /v1/submissions."""

    def __init__(
        self,
        *,
        gate: OperatorGate,
        object_store: ObjectStore,
    ) -> None:
        self._gate = gate
        self._object_store = object_store

    async def submit(self, request: Request) -> Response:
        """Accepts or refuses a submission."""
        operator = self._gate.operator_of(request)
        if isinstance(operator, Err):
            return failure_response(operator.err_value)
        accepted = await self._submit(request, operator.ok_value)
        match accepted:
            case Ok(revision):
                return json_response({"revision": revision})
            case Err(failure):
                return failure_response(failure)

    async def _submit(
        self, request: Request, operator: Operator
    ) -> Result[int, Failure]:
        value = request.json()
        if isinstance(value, Err):
            return value
        body = structure.structure(
            value.ok_value, SubmissionBody, name="submission"
        )
        if isinstance(body, Err):
            return body
        configuration = generate(body.ok_value.answers)
        if isinstance(configuration, Err):
            return configuration
        if not body.ok_value.id:
            return Err(
                Failure(
                    kind=FailureKind.INVALID, detail="submission/id is empty"
                )
            )
        return await submit(
            self._object_store,
            Submission(
                id=body.ok_value.id,
                operator=operator.name,
                configuration=configuration.ok_value,
                base_revision=body.ok_value.base_revision,
            ),
        )
