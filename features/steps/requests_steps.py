"""Steps of requests under faults, in virtual time."""

from __future__ import annotations

from behave import then, when

from features.support.request_machine import (
    NaiveMachine,
    RequestMachine,
    run_machine,
)


def _found(machine, examples, shrink=True):
    try:
        run_machine(machine, examples=examples, shrink=shrink)
    except (AssertionError, ExceptionGroup) as error:
        return str(error) or repr(error)
    return ""


@when("the request machine runs {count:d} examples")
def when_machine(context, count):
    context.found = _found(RequestMachine, count)


@when("the request machine runs {count:d} examples on the naive runner")
def when_naive_machine(context, count):
    context.found = _found(NaiveMachine, count, shrink=False)


@then("the request oracle found no violated guarantee")
def then_nothing_found(context):
    assert not context.found, context.found


@then("the request oracle found a violated guarantee")
def then_something_found(context):
    assert "request " in context.found, context.found
