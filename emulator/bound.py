"""What nobody could pass on a play, whoever knew all of it before.

Two limits, each generous: requests whose daemons were all down for as long as
they could have been on time, and pieces beyond what all replicas of a stage
service make in full calls without a pause and with memory for all of them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from emulator.arrivals import Arrival
    from emulator.scenario import Fault, Scenario, StageService

MS_PER_SECOND = 1_000.0
WINDOW_MS = 1_000.0


def bound(scenario: Scenario, arrivals: Sequence[Arrival]) -> float:
    """Returns the part of the worth that can be had on time at most."""
    owed = sum(arrival.kind.worth for arrival in arrivals)
    lost = {a.number for a in arrivals if _is_cut_off(scenario, a)}
    rest = [a for a in arrivals if a.number not in lost]
    lost_worth = sum(
        a.kind.worth - a.kind.late_worth for a in arrivals if a.number in lost
    )
    beyond = max(
        (
            _beyond(rest, name, service)
            for name, service in scenario.stage_services.items()
        ),
        default=0.0,
    )
    return 1 - (lost_worth + beyond) / owed


def least_ms(scenario: Scenario, arrival: Arrival) -> float:
    """Returns the least time to a request's first event."""
    ends: list[float] = []
    for number, stage in enumerate(arrival.kind.stages):
        before = max((ends[n] for n in stage.after), default=0.0)
        service = scenario.stage_services[stage.service]
        took_ms = service.call_ms + service.piece_ms * stage.work
        ends.append(before + (took_ms if arrival.pieces[number] else 0.0))
    last = max(ends, default=0.0)
    if arrival.kind.events:
        return last + scenario.engine_services[arrival.kind.service].first_ms
    return last + scenario.plain_services[arrival.kind.service].work_ms


def _is_cut_off(scenario: Scenario, arrival: Arrival) -> bool:
    """Returns whether a loss of all daemons makes a request late for sure."""
    needs_ms = least_ms(scenario, arrival)
    for fault in scenario.faults:
        if fault.what not in {"daemons_killed", "daemons_lose_power"}:
            continue
        if fault.share < 1:
            continue
        down_ms = fault.at_s * MS_PER_SECOND
        up_ms = _up_ms(scenario, fault)
        if not down_ms - needs_ms < arrival.at_ms < up_ms:
            continue
        latest_ms = up_ms + needs_ms
        if latest_ms > arrival.at_ms + arrival.kind.objective_ms:
            return True
    return False


def _up_ms(scenario: Scenario, fault: Fault) -> float:
    return (fault.at_s + fault.for_s + scenario.start_s) * MS_PER_SECOND


def _beyond(
    arrivals: Sequence[Arrival], name: str, service: StageService
) -> float:
    """Returns the worth of what a service can't make in time.

    Of the requests that come and are needed within a span, the least worth a
    piece are left out until the others fit. Spans that don't overlap leave out
    different requests, so the dearest set of them counts.
    """
    full_ms = service.call_ms + service.batch * service.piece_ms
    rate = service.replicas * service.batch / full_ms
    asked = [(a, _pieces(a, name)) for a in arrivals]
    asked = [(a, pieces) for a, pieces in asked if pieces]
    if not asked:
        return 0.0
    last_ms = max(a.at_ms + a.kind.objective_ms for a, _ in asked)
    edges = int(last_ms // WINDOW_MS) + 2
    most = [0.0] * (edges + 1)
    for end in range(1, edges + 1):
        most[end] = most[end - 1]
        for begin in range(end):
            out = _left_out(asked, begin * WINDOW_MS, end * WINDOW_MS, rate)
            most[end] = max(most[end], most[begin] + out)
    return most[edges]


def _pieces(arrival: Arrival, service: str) -> float:
    return sum(
        pieces * stage.work
        for pieces, stage in zip(
            arrival.pieces, arrival.kind.stages, strict=True
        )
        if stage.service == service
    )


def _left_out(
    asked: Sequence[tuple[Arrival, float]],
    begin_ms: float,
    end_ms: float,
    rate: float,
) -> float:
    inside = sorted(
        (
            (a.kind.worth / pieces, pieces, a.kind.worth)
            for a, pieces in asked
            if a.at_ms >= begin_ms and a.at_ms + a.kind.objective_ms <= end_ms
        ),
        reverse=True,
    )
    room = rate * (end_ms - begin_ms)
    over = sum(pieces for _, pieces, _ in inside) - room
    lost = 0.0
    while over > 0 and inside:
        _, pieces, worth = inside.pop()
        # The last one may fit in part; a part of its worth is as generous.
        lost += worth * min(1.0, over / pieces)
        over -= pieces
    return lost
