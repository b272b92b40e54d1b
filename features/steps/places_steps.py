"""Steps of where engines and pieces are placed, by what has to be fetched."""

from __future__ import annotations

import collections

from behave import given, then, when

from cactusdyke.serving.placement import EnginePlacer
from features.steps.serving_steps import ENGINE, ManualClock, prompt, replica
from features.steps.stage_queue_steps import MB, group, made

PLACES = ("north", "middle", "south")


@given("nine engines in three data centres")
def nine_engines(context):
    context.engines = [
        replica(f"e{n}", "engine", slots=64, data_centre=PLACES[n % 3])
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
        placer.started(str(subject))
        placer.ended(str(subject), failed=False)
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
    assert min(context.spread[place] for place in PLACES) >= 10, context.spread


@when("a subject was read in one and 4 MB for it lie in another")
def read_there(context):
    context.first = context.placer.place(
        "a", prompt(1), context.engines, ENGINE, inputs={"north": 4 * MB}
    )
    context.placer.started("a")
    context.placer.ended("a", failed=False)
    context.clock.ms += 3_000.0
    context.second = context.placer.place(
        "b", prompt(1), context.engines, ENGINE, inputs={"south": 4 * MB}
    )


@then("it is placed where it was read")
def placed_where_read(context):
    assert context.first.data_centre == "north"
    assert context.second.name == context.first.name


@when("a request of 7 large results without inputs is queued")
def seven_large(context):
    context.queue.add(group("a", 7, needed_by=3_000.0, moved_bytes=MB))
    context.first = context.queue.next_batch(["m1", "m2"])


@then("its last 2 pieces wait for the replica that made the first 5")
def last_two(context):
    assert len(context.first.tasks) == 5
    assert context.queue.next_batch(["m1", "m2"]) is None
    context.clock.ms += 278.0
    context.queue.ended(context.first, made(context.first))
    rest = context.queue.next_batch(["m1", "m2"])
    assert rest.maker == context.first.maker
    assert len(rest.tasks) == 2


@when("3 pieces wait whose inputs lie with a replica that is busy for 270 ms")
def busy_for_long(context):
    context.queue.add(group("a", 5, data_centre="at-m1", moved_bytes=MB))
    assert context.queue.next_batch(["m1", "m2"]).maker == "m1"
    context.queue.add(
        group("b", 3, needed_by=3_000.0, data_centre="at-m1", moved_bytes=MB)
    )


@then("it takes them where 4 more wait that belong nowhere")
def takes_more(context):
    context.queue.add(group("c", 4, needed_by=2_900.0, priority=1))
    batch = context.queue.next_batch(["m1", "m2"])
    assert batch.maker == "m2"
    assert len(batch.tasks) == 5
