"""Steps of the measurement of control with real processes."""

from __future__ import annotations

from behave import then, when

from bench.control import case_daemon_cost


@when("the daemon cost case of the bench runs tiny")
def when_bench(context):
    context.rows = case_daemon_cost.run_case(tiny=True)


@then("each daemon sent few messages of control")
def then_few(context):
    assert [row["daemons"] for row in context.rows][:2] == [2, 3]
    for row in context.rows[:2]:
        # Both directions are counted, and windows end between two messages.
        assert 0 < row["messages_peers"] <= 4
        assert 0 < row["messages_load"] <= 4
        assert row["bytes_peers"] > 0
