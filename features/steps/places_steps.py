"""Steps on the placement of engines and pieces near their inputs."""

from __future__ import annotations

import collections

from behave import given, then, when

from cactusdyke.serving.placement import EnginePlacer
from features.steps.serving_steps import ENGINE, ManualClock, prompt, replica
from features.steps.stage_queue_steps import MB, computed, group

DATA_CENTRES = ("north", "middle", "south")


@given("nine engines in three data centres")
def nine_engines(context):
    context.engines = [
        replica(f"e{n}", "engine", slots=64, data_centre=DATA_CENTRES[n % 3])
        for n in range(9)
    ]
    context.clock = ManualClock()
    context.placer = EnginePlacer(clock=context.clock)


def _place_new(context, inputs):
    placer = EnginePlacer(clock=context.clock)
    found = collections.Counter()
    for subject in range(60):
        context.clock.ms += 200.0
        chosen = placer.place(
            str(subject),
            prompt(subject, shared=4_000),
            context.engines,
            ENGINE,
            inputs=inputs,
        )
        found[chosen.data_centre] += 1
        placer.record_first_token(str(subject))
        placer.record_end(str(subject), failed=False)
    return found


@when("requests of new subjects with 4 MB of inputs in one of them are placed")
def place_new(context):
    context.found = _place_new(context, {"south": 4 * MB})
    context.spread = _place_new(context, {})


@then("nearly all of them get an engine there")
def nearly_all(context):
    assert context.found["south"] >= 54, context.found


@then("without inputs they are spread over all three")
def spread(context):
    assert min(context.spread[name] for name in DATA_CENTRES) >= 10, (
        context.spread
    )


@when("a subject was prefilled in one and 4 MB for it are in another")
def prefilled_there(context):
    context.first = context.placer.place(
        "a", prompt(1), context.engines, ENGINE, inputs={"north": 4 * MB}
    )
    context.placer.record_first_token("a")
    context.placer.record_end("a", failed=False)
    context.clock.ms += 3_000.0
    context.second = context.placer.place(
        "b", prompt(1), context.engines, ENGINE, inputs={"south": 4 * MB}
    )


@then("it is placed where it was prefilled")
def placed_where_prefilled(context):
    assert context.first.data_centre == "north"
    assert context.second.name == context.first.name


@when("a request of 7 large results without inputs is queued")
def seven_large(context):
    context.queue.add(group("a", 7, objective_at=3_000.0, transfer_bytes=MB))
    context.first = context.queue.next_batch(["m1", "m2"])


@then("its last 2 pieces wait for the replica that computed the first 5")
def last_two(context):
    assert len(context.first.tasks) == 5
    assert context.queue.next_batch(["m1", "m2"]) is None
    context.clock.ms += 278.0
    context.queue.call_ended(context.first, computed(context.first))
    rest = context.queue.next_batch(["m1", "m2"])
    assert rest.replica_name == context.first.replica_name
    assert len(rest.tasks) == 2


@when("3 pieces are queued with inputs at a replica that is busy for 270 ms")
def busy_for_long(context):
    context.queue.add(group("a", 5, data_centre="at-m1", transfer_bytes=MB))
    assert context.queue.next_batch(["m1", "m2"]).replica_name == "m1"
    context.queue.add(
        group(
            "b", 3, objective_at=3_000.0, data_centre="at-m1", transfer_bytes=MB
        )
    )


@then("it takes them once 4 more are queued without a data centre")
def takes_more(context):
    context.queue.add(group("c", 4, objective_at=2_900.0, priority=1))
    batch = context.queue.next_batch(["m1", "m2"])
    assert batch.replica_name == "m2"
    assert len(batch.tasks) == 5
