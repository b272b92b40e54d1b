"""Answers other daemons for the services that this daemon decides for."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from result import Err

from cactusdyke.serving.deciders import moved_to_wire
from cactusdyke.serving.dispatch_messages import (
    cancelled,
    failure_to,
    generation_from,
    unreadable,
    work_from,
)
from cactusdyke.serving.holdings import briefing_from
from cactusdyke.transport.messages import (
    Request,
    Response,
    failure_response,
    json_response,
)

if TYPE_CHECKING:
    from cactusdyke.serving.decider import Decider
    from cactusdyke.serving.deciders import Deciders


class DeciderInterface:
    """The paths on which a decider is asked and told."""

    def __init__(self, *, deciders: Deciders, decider: Decider) -> None:
        self._deciders = deciders
        self._decider = decider

    async def handle_stage(self, request: Request) -> Response:
        """Makes results for another daemon."""
        value = request.json()
        if isinstance(value, Err):
            return failure_response(value.err_value)
        try:
            work = work_from(value.ok_value)
        except (KeyError, TypeError, ValueError) as error:
            return failure_response(unreadable(error))
        insists = bool(value.ok_value.get("insists"))
        moved = self._moved(work.service)
        if moved and not insists:
            return json_response({"moved": moved})
        answer = await self._decider.make_work(work, pinned=insists)
        if answer is None:
            moved = self._moved(work.service)
            if moved:
                return json_response({"moved": moved})
            return failure_response(cancelled(work))
        backlog = self._decider.backlog(work.service)
        body: dict[str, Any] = {
            "backlog": [round(backlog.feasible_ms), round(backlog.all_ms)]
        }
        if isinstance(answer, Err):
            body["failure"] = failure_to(answer.err_value)
        else:
            body["handles"] = answer.ok_value.handles
            body["inputs_freed"] = answer.ok_value.inputs_freed
        return json_response(body)

    async def handle_place(self, request: Request) -> Response:
        """Chooses an engine for another daemon."""
        value = request.json()
        if isinstance(value, Err):
            return failure_response(value.err_value)
        body = value.ok_value
        moved = self._moved(str(body.get("service")))
        if moved and not body.get("insists"):
            return json_response({"moved": moved})
        try:
            generation = generation_from(body["generation"])
            if body["id"]:
                replica = self._decider.place(
                    body["service"],
                    body["id"],
                    generation,
                    set(body["exclude"]),
                    {str(k): float(v) for k, v in body["inputs"].items()},
                )
            else:
                replica = self._decider.locate(body["service"], generation)
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            return failure_response(unreadable(error))
        return json_response({"replica": replica.name if replica else None})

    async def handle_notes(self, request: Request) -> Response:
        """Takes what another daemon tells."""
        value = request.json()
        if isinstance(value, Err):
            return failure_response(value.err_value)
        try:
            for kind, service, subject, *rest in value.ok_value["notes"]:
                self._take_note(kind, service, subject, rest)
        except (KeyError, TypeError, ValueError) as error:
            return failure_response(unreadable(error))
        return json_response({})

    def _take_note(
        self, kind: str, service: str, subject: Any, rest: list[Any]
    ) -> None:
        match kind:
            case "free":
                self._decider.free(service, subject)
            case "started":
                self._decider.started(service, subject)
            case "ended":
                self._decider.ended(service, subject, failed=bool(rest[0]))
            case "cancel":
                self._decider.cancel(subject)
            case "briefing":
                self._decider.learn(service, briefing_from(subject))
            case _:
                raise ValueError(f"a note of the unknown kind {kind}")

    def _moved(self, service: str) -> list[str] | None:
        """Returns who decides for a service if it is not this daemon."""
        first = self._deciders.by_members(service)
        return None if first.own else moved_to_wire(first)
