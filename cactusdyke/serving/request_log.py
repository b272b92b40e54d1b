"""Logs and counts how requests end, with one line per request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusdyke import events
from cactusdyke.errors import REFUSAL_STATUSES

if TYPE_CHECKING:
    from cactusdyke.clock import Clock, Instant
    from cactusdyke.errors import Failure
    from cactusdyke.serving.deployment import Deployment
    from cactusdyke.serving.metrics import ServingMetrics
    from cactusdyke.serving.request import ServingContext
    from cactusdyke.serving.stream_state import StreamState


class RequestLog:
    """Logs for each request how it ended, and what led to it."""

    def __init__(
        self,
        *,
        clock: Clock,
        deployment: Deployment,
        metrics: ServingMetrics,
    ) -> None:
        self._clock = clock
        self._deployment = deployment
        self._metrics = metrics

    def answered(self, context: ServingContext, state: StreamState) -> None:
        """Logs and counts a request that a replica answered."""
        now = self._clock.now()
        arrived = context.request.arrived_at
        took_ms = now - arrived
        first_ms = (state.first_event_at or now) - arrived
        on_time = first_ms <= context.route.objective_ms and (
            state.longest_gap_ms <= context.route.gap_objective_ms
            or not context.route.streaming
        )
        outcome = "on_time" if on_time else "late"
        self._metrics.request_ended(context.route.name, outcome, first_ms)
        self._metrics.customers.request_ended(
            context.customer_name, "served" if on_time else "late", first_ms
        )
        events.log(
            events.Event.REQUEST_ANSWERED,
            request_id=context.request.request_id,
            route=context.route.name,
            service=context.service,
            customer=context.customer_name,
            **_kind_fields(context),
            version=self._deployment.version,
            outcome=outcome,
            attempts=context.attempts,
            replicas=context.sent_to,
            stages_ms=round(context.stages_ms),
            parts_ms=_parts_ms(context, state.first_event_at or now),
            waited_ms=round(context.waited_ms),
            objective_ms=round(context.route.objective_ms),
            first_ms=round(first_ms),
            gap_ms=round(state.longest_gap_ms),
            crossed_bytes=round(context.transferred_bytes),
            took_ms=round(took_ms),
            **_said_fields(context),
            **_stream_fields(context, state),
        )

    def failed(
        self,
        failure: Failure,
        request_id: str,
        context: ServingContext | None,
        state: StreamState | None = None,
    ) -> None:
        """Logs and counts a request that ended with a failure."""
        took_ms = 0.0
        fields: dict[str, object] = {}
        if context is not None:
            took_ms = self._clock.now() - context.request.arrived_at
            fields = {
                "route": context.route.name,
                "service": context.service,
                "customer": context.customer_name,
                **_kind_fields(context),
                "attempts": context.attempts,
                "replicas": context.sent_to,
                "waiting_for": context.waiting_for,
                "stages_ms": round(context.stages_ms),
                "parts_ms": _parts_ms(context, 0.0),
                "waited_ms": round(context.waited_ms),
                "results_made": _results_by_service(context),
                **_said_fields(context),
                **_stream_fields(context, state),
            }
        route = context.route.name if context else ""
        self._metrics.request_ended(route, failure.kind.code, took_ms)
        refused = failure.kind.status in REFUSAL_STATUSES
        self._metrics.customers.request_ended(
            context.customer_name if context else "",
            "refused" if refused else "failed",
            None,
        )
        events.log(
            events.Event.REQUEST_FAILED,
            request_id=request_id,
            status=failure.kind.status,
            kind=failure.kind.code,
            ran=str(failure.ran),
            took_ms=round(took_ms),
            **_progress_fields(state),
            retry_after_ms=failure.retry_after_ms,
            version=self._deployment.version,
            detail=failure.detail,
            **fields,
        )

    def caller_left(self, context: ServingContext, state: StreamState) -> None:
        """Logs and counts a request whose caller disconnected."""
        self._unfinished(
            events.Event.REQUEST_LEFT, "caller_left", "left", context, state
        )

    def cut_by_stop(self, context: ServingContext, state: StreamState) -> None:
        """Logs and counts a request that the daemon's stop interrupted."""
        self._unfinished(events.Event.REQUEST_CUT, "cut", "cut", context, state)

    def _unfinished(
        self,
        event: events.Event,
        outcome: str,
        customer_outcome: str,
        context: ServingContext,
        state: StreamState,
    ) -> None:
        took_ms = self._clock.now() - context.request.arrived_at
        self._metrics.request_ended(context.route.name, outcome, took_ms)
        self._metrics.customers.request_ended(
            context.customer_name, customer_outcome, None
        )
        events.log(
            event,
            request_id=context.request.request_id,
            route=context.route.name,
            service=context.service,
            customer=context.customer_name,
            **_kind_fields(context),
            events=state.event_count,
            attempts=context.attempts,
            waiting_for=context.waiting_for,
            stages_ms=round(context.stages_ms),
            parts_ms=_parts_ms(context, 0.0),
            results_made=_results_by_service(context),
            took_ms=round(took_ms),
            **_stream_fields(context, state),
        )


def _kind_fields(context: ServingContext) -> dict[str, object]:
    """Returns what tells kinds of requests apart that have several routes."""
    stages = [stage.service for stage in context.route.stages]
    return {
        "priority": context.priority,
        "pipeline": [*stages, context.service],
    }


def _progress_fields(state: StreamState | None) -> dict[str, object]:
    """Returns how far an answer had come, nothing if none had begun."""
    if state is None or not state.head_sent:
        return {}
    return {"broken_off": True, "events": state.event_count}


def _said_fields(context: ServingContext) -> dict[str, object]:
    """Returns what replicas said of themselves, nothing if none did."""
    said = context.replicas_said
    return {"replicas_said": said} if said else {}


def _stream_fields(
    context: ServingContext, state: StreamState | None
) -> dict[str, object]:
    """Returns what tells which replicas' software wrote a stream."""
    if not context.route.streaming:
        return {}
    return {
        "stream_versions": state.versions if state else [],
        "resumes": context.request.resumes,
        "resume_after": context.request.resume_after,
    }


def _parts_ms(context: ServingContext, first_at: Instant) -> dict[str, int]:
    """Returns how long each part of a request took, by service.

    Args:
        context: The request.
        first_at: When its first event or complete answer arrived, 0 if none.
    """
    parts: dict[str, int] = {}
    for number, took_ms in context.stage_ms.items():
        name = f"{number} {context.route.stages[number].service}"
        parts[name] = round(took_ms)
    if first_at and context.attempt_started_at:
        parts[context.service] = round(first_at - context.attempt_started_at)
    return parts


def _results_by_service(context: ServingContext) -> dict[str, int]:
    """Returns how many results were computed for a request, by service."""
    counts: dict[str, int] = {}
    for number, count in context.results_computed.items():
        service = context.route.stages[number].service
        counts[service] = counts.get(service, 0) + count
    return counts
