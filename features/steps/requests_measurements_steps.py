"""Steps that run the serving benchmarks in their smallest size."""

from __future__ import annotations

import importlib

from behave import then, when


@when("the serving case {name} runs in its smallest size")
def when_case(context, name):
    module = importlib.import_module(f"bench.serving.{name}")
    context.rows = module.run_case(tiny=True)


@then("it has the columns {columns}")
def then_columns(context, columns):
    names = [row["column"] for row in context.rows]
    assert names == columns.split("; "), names


@then("no answer was wrong and no refusal was falsely not run")
def then_nothing_wrong(context):
    for row in context.rows:
        assert row["sent"] > 0
        if row["column"].startswith("project"):
            assert row["wrong"] == 0, row
            assert row["false_not_run"] == 0, row


@then("each of its rows counts requests or tokens")
def then_counts(context):
    assert len(context.rows) == 4
    for row in context.rows:
        assert row["requests"] > 0, row
        if "streams" in row["column"]:
            assert row["tokens"] == row["requests"] * 20, row


@then("it measured pools of 18, 60, 180, 600 and 1800 replicas")
def then_sizes(context):
    sizes = [int(row["column"].split()[0]) for row in context.rows]
    assert sizes == [18, 60, 180, 600, 1800], sizes
    assert all(row["choices"] > 0 for row in context.rows)
