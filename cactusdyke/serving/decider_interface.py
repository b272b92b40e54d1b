"""Serves the internal endpoints of a decider to other daemons."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from result import Err

from cactusdyke.errors import DECODING_ERRORS
from cactusdyke.serving.decider_directory import encode_redirect
from cactusdyke.serving.dispatch_messages import (
    cancelled_failure,
    decode_generation,
    decode_work,
    encode_failure,
    malformed_message_failure,
)
from cactusdyke.serving.resource_tracker import decode_snapshot
from cactusdyke.serving.return_questions import decode_question, encode_answer
from cactusdyke.transport.messages import (
    Request,
    Response,
    failure_response,
    json_response,
)

if TYPE_CHECKING:
    from cactusdyke.serving.decider import Decider
    from cactusdyke.serving.decider_directory import DeciderDirectory
    from cactusdyke.serving.model import Replica


class DeciderInterface:
    """Request handlers for stage work, placements and notifications."""

    def __init__(self, *, deciders: DeciderDirectory, decider: Decider) -> None:
        self._deciders = deciders
        self._decider = decider

    async def handle_stage(self, request: Request) -> Response:
        """Computes the pieces of a stage for another daemon."""
        value = request.json()
        if isinstance(value, Err):
            return failure_response(value.err_value)
        try:
            work = decode_work(value.ok_value)
        except DECODING_ERRORS as error:
            return failure_response(malformed_message_failure(error))
        self._decider.merge_loads(work.service, value.ok_value.get("loads"))
        must_accept = bool(value.ok_value.get("insists"))
        redirect = self._redirect(work.service)
        if redirect and not must_accept:
            return json_response({"moved": redirect})
        answer = await self._decider.compute_work(work, pinned=must_accept)
        if answer is None:
            redirect = self._redirect(work.service)
            if redirect:
                return json_response({"moved": redirect})
            return failure_response(cancelled_failure(work))
        backlog = self._decider.backlog(work.service)
        body: dict[str, Any] = {
            "backlog": [round(backlog.feasible_ms), round(backlog.all_ms)]
        }
        if isinstance(answer, Err):
            body["failure"] = encode_failure(answer.err_value)
        else:
            body["handles"] = answer.ok_value.handles
            body["inputs_freed"] = answer.ok_value.inputs_freed
        self._add_loads(body, work.service)
        return json_response(body)

    async def handle_placement(self, request: Request) -> Response:
        """Chooses an engine for another daemon."""
        value = request.json()
        if isinstance(value, Err):
            return failure_response(value.err_value)
        body = value.ok_value
        redirect = self._redirect(str(body.get("service")))
        if redirect and not body.get("insists"):
            return json_response({"moved": redirect})
        try:
            self._merge_limits(body.get("limits", ()))
            service = str(body["service"])
            self._decider.merge_loads(service, body.get("loads"))
            replica = self._choose(body)
        except DECODING_ERRORS as error:
            return failure_response(malformed_message_failure(error))
        answer: dict[str, Any] = {"replica": replica.name if replica else None}
        self._add_loads(answer, service)
        return json_response(answer)

    def _add_loads(self, body: dict[str, Any], service: str) -> None:
        loads = self._decider.known_loads(service)
        if loads:
            body["loads"] = loads

    def _choose(self, body: dict[str, Any]) -> Replica | None:
        service = str(body["service"])
        if "generation" not in body:
            return self._decider.choose_limited(
                service, str(body.get("id", "")), set(body["exclude"])
            )
        generation = decode_generation(body["generation"])
        if not body["id"]:
            return self._decider.locate(service, generation)
        return self._decider.place(
            service,
            body["id"],
            generation,
            set(body["exclude"]),
            {str(k): float(v) for k, v in body["inputs"].items()},
            str(body.get("version", "")),
        )

    async def handle_return_time(self, request: Request) -> Response:
        """Tells another daemon when a request that it refuses should return."""
        value = request.json()
        if isinstance(value, Err):
            return failure_response(value.err_value)
        try:
            question = decode_question(value.ok_value)
        except DECODING_ERRORS as error:
            return failure_response(malformed_message_failure(error))
        redirect = self._redirect(question.service)
        if redirect:
            return json_response({"moved": redirect})
        return json_response(encode_answer(self._decider.return_time(question)))

    async def handle_notifications(self, request: Request) -> Response:
        """Applies the notifications of another daemon."""
        value = request.json()
        if isinstance(value, Err):
            return failure_response(value.err_value)
        # First, as a notification tells of the same answer as its report.
        self._merge_all_loads(value.ok_value.get("loads"))
        try:
            for kind, service, subject, *rest in value.ok_value["notes"]:
                self._apply_notification(kind, service, subject, rest)
        except DECODING_ERRORS as error:
            return failure_response(malformed_message_failure(error))
        return json_response({})

    def _apply_notification(
        self, kind: str, service: str, subject: Any, rest: list[Any]
    ) -> None:
        match kind:
            case "free":
                self._decider.free(service, subject)
            case "started":
                self._decider.record_first_token(service, subject)
            case "ended":
                self._decider.record_end(service, subject, failed=bool(rest[0]))
            case "limits":
                self._merge_limits(subject)
                self._decider.record_use(service)
            case "cancel":
                self._decider.cancel(subject)
            case "briefing":
                self._decider.merge_snapshot(service, decode_snapshot(subject))
            case _:
                raise ValueError(f"unknown kind of notification: {kind}")

    def _merge_all_loads(self, loads: Any) -> None:
        if isinstance(loads, dict):
            for service, values in loads.items():
                self._decider.merge_loads(service, values)

    def _merge_limits(self, reports: Any) -> None:
        self._decider.merge_limits(reports, source="a daemon that asked")

    def _redirect(self, service: str) -> list[str] | None:
        """Returns a redirect to the decider if that is another daemon."""
        first = self._deciders.decider_by_membership(service)
        return None if first.is_local else encode_redirect(first)
