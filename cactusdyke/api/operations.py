"""Answers operators and probes: addresses, status, health and the like."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import prometheus_client
from result import Err

from cactusdyke.transport.messages import (
    Request,
    Response,
    failure_response,
    json_response,
)

if TYPE_CHECKING:
    from cactusdyke.api.authentication import OperatorGate
    from cactusdyke.application import Application
    from cactusdyke.configuration.in_force import InForce
    from cactusdyke.membership.members import Members
    from cactusdyke.observe.cost import CostBook
    from cactusdyke.observe.tracing import Tracing


class OperationHandlers:
    """The handlers that do not run requests."""

    def __init__(
        self,
        *,
        app: Application,
        gate: OperatorGate,
        in_force: InForce,
        members: Members,
        tracing: Tracing,
        cost: CostBook,
    ) -> None:
        self._app = app
        self._gate = gate
        self._in_force = in_force
        self._members = members
        self._tracing = tracing
        self._cost = cost

    async def status(self, request: Request) -> Response:
        """Says what each daemon is and has in force."""
        operator = self._gate.operator_of(request)
        if isinstance(operator, Err):
            return failure_response(operator.err_value)
        return json_response(
            {
                "daemon": self._app.settings.name,
                "revision": self._in_force.current.revision,
                "daemons": [attrs.asdict(m) for m in self._members.all()],
            }
        )

    async def cost(self, request: Request) -> Response:
        """Says what the stages cost at this daemon."""
        operator = self._gate.operator_of(request)
        if isinstance(operator, Err):
            return failure_response(operator.err_value)
        return json_response({"stages": self._cost.table()})

    async def trace(self, request: Request) -> Response:
        """Shows the spans that this daemon keeps of a trace."""
        operator = self._gate.operator_of(request)
        if isinstance(operator, Err):
            return failure_response(operator.err_value)
        spans = self._tracing.find(request.parameters["trace_id"])
        return json_response({"spans": spans})

    async def health(self, request: Request) -> Response:
        """Says that the process answers."""
        del request
        return json_response({"healthy": True})

    async def ready(self, request: Request) -> Response:
        """Says whether requests may be sent here."""
        del request
        ready = self._in_force.current.revision > 0 and not self._app.draining
        return json_response({"ready": ready}, status=200 if ready else 503)

    async def metrics(self, request: Request) -> Response:
        """Shows the metrics in the Prometheus text format."""
        del request
        return Response(
            headers={"content-type": prometheus_client.CONTENT_TYPE_LATEST},
            body=prometheus_client.generate_latest(self._app.metrics),
        )
