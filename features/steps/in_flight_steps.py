"""Steps for requests in flight while their daemon stops."""

from __future__ import annotations

import anyio
from behave import given, then, when

from cactusdyke.clock import EventLoopClock
from cactusdyke.serving.durations import RequestDuration, RouteDurations
from cactusdyke.serving.in_flight import CHECK_INTERVAL_MS, InFlightRequests
from cactusdyke.serving.planned_stop import StopTimes
from cactusdyke.serving.stream_state import StreamState
from features.steps.serving_steps import route
from features.support.serving_values import serving_context
from standins.virtual import run_virtual

ANSWERS_BY_MS = 10_000.0
ATTEMPT_MS = 4_000.0
TOOK_MS = 6_000.0


@given("a stop in ten seconds and a route whose attempts take four")
def stop_in_ten(context):
    context.route = route(streaming=True)
    context.durations = RouteDurations()
    context.durations.record(
        context.route,
        RequestDuration(took_ms=TOOK_MS, attempt_ms=ATTEMPT_MS),
    )


@when("requests wait for stages, for a replica and for the end of a stream")
def three_requests_wait(context):
    states = {
        "stages": ("", StreamState()),
        "replica": ("e1", StreamState()),
        "stream": ("e1", StreamState(head_sent=True)),
    }
    context.cancelled_ms = {}

    async def run():
        clock = EventLoopClock()
        began = clock.now()
        requests = InFlightRequests(
            clock=clock,
            durations=context.durations,
            stop=lambda: StopTimes(answer_deadline_at=began + ANSWERS_BY_MS),
        )

        async def serve(name, asking, state):
            served = serving_context(context.route)
            served.current_replica = asking
            with anyio.CancelScope() as scope:
                with requests.track(served, state, scope) as request:
                    await anyio.sleep_forever()
            assert request.stopped
            context.cancelled_ms[name] = clock.now() - began

        async with anyio.create_task_group() as tasks:
            for name, (asking, state) in states.items():
                tasks.start_soon(serve, name, asking, state)
            tasks.start_soon(requests.end_before_stop)
            await clock.sleep(2 * ANSWERS_BY_MS)
            tasks.cancel_scope.cancel()

    run_virtual(run)


def is_soon_after(cancelled_ms, due_ms):
    return due_ms <= cancelled_ms <= due_ms + 2 * CHECK_INTERVAL_MS


@then("the first is cancelled once an attempt would no longer end in time")
def check_first(context):
    due_ms = ANSWERS_BY_MS - ATTEMPT_MS
    assert is_soon_after(context.cancelled_ms["stages"], due_ms), (
        context.cancelled_ms
    )


@then("the second is cancelled at the time of the last answers, the third not")
def check_others(context):
    assert is_soon_after(context.cancelled_ms["replica"], ANSWERS_BY_MS)
    assert "stream" not in context.cancelled_ms
