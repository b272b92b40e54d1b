"""Steps of the capacity measurement, in its smallest sizes."""

from __future__ import annotations

import json

from behave import given, then, when

from bench import capacity
from bench.capacity import axes, page, roles


@when('the capacity axis "{name}" is measured in its smallest sizes')
def when_axis(context, name):
    context.axis = next(axis for axis in axes.AXES if axis.name == name)
    context.result = capacity.measure(context.axis, tiny=True)


@then("there is a sample for each size with CPU, memory and messages")
def then_samples(context):
    samples = context.result["samples"]
    assert len(samples) == len(context.axis.tiny_sizes)
    for sample in samples:
        assert sample["seconds"] > 0
        assert sample["cpu_ms"] >= 0
        assert sample["memory_mb"] > 1
        assert any(name.startswith("messages_") for name in sample)


@then("a line is fitted to each quantity")
def then_lines(context):
    for name in ("cpu_ms", "memory_mb", "messages_peers"):
        line = context.result["lines"][name]
        assert set(line) == {"slope", "intercept", "residual", "fits"}


@then("nothing that was asked for failed")
def then_nothing_failed(context):
    for sample in context.result["samples"]:
        assert sample.get("failed", 0) == 0, sample
        assert sample.get("answered", 1) > 0, sample
        assert sample.get("tokens", 1) > 0, sample


@then("docs/CAPACITY.md holds the tables of docs/capacity.json")
def then_page(context):
    text = page.PAGE.read_text(encoding="utf-8")
    results = json.loads(page.FIGURES.read_text(encoding="utf-8"))
    assert set(results) == {axis.name for axis in axes.AXES}
    assert page.render(text, results) == text


@given("capacity figures with a slope of 2 and an intercept of 3 for daemons")
def given_figures(context):
    flat = {"slope": 0.0, "intercept": 0.0, "residual": 0.0, "fits": True}
    steep = {**flat, "slope": 2.0, "intercept": 3.0}
    quantities = ("cpu_ms", "memory_mb", "messages_peers", "bytes_peers")
    context.figures = {
        axis.name: {
            "lines": dict.fromkeys(
                quantities, steep if axis.name == "daemons" else flat
            ),
            "samples": [],
        }
        for axis in axes.AXES
    }


@then("membership at the target takes 703 of each quantity")
def then_membership(context):
    role = next(role for role in roles.ROLES if role.key == "membership")
    for column in ("messages/s", "bytes/s", "CPU ms/s", "memory MB"):
        found = page.cost(role, column, context.figures, roles.TARGET)
        assert found == 703.0, (column, found)


@then("one that is over its budget stands as over")
def then_over(context):
    text = page.render("<!-- table total -->\n<!-- end -->", context.figures)
    lines = {line.split(" | ")[0]: line for line in text.splitlines()}
    assert lines["| CPU ms/s"].endswith("OVER |"), text
    assert lines["| bytes/s"].endswith("under |"), text
