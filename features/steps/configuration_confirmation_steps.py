"""Steps about confirmation, on the plain rules."""

from __future__ import annotations

from behave import then, when

from cactusdyke.configuration.confirmation import (
    Confirmation,
    Confirmations,
    permit,
)
from cactusdyke.configuration.model import Policy, WhenUnconfirmed

LIMIT_MS = 30_000.0


def state(confirmations, now, centres=("own",)):
    return confirmations.state(
        now, revision=7, within_ms=LIMIT_MS, data_centres=lambda: centres
    )


@when(
    "{agreeing:d} of {others:d} other data centres have the same revision in"
    " force"
)
def when_agreeing(context, agreeing, others):
    confirmations = Confirmations(data_centre="own")
    centres = [f"centre-{number}" for number in range(others)]
    for number, centre in enumerate(centres):
        revision = 7 if number < agreeing else 6
        confirmations.peer_answered(centre, revision, 1_000.0)
    context.found = state(confirmations, 2_000.0, centres)
    context.later = state(confirmations, 2_000.0 + LIMIT_MS, centres)


@then('the confirmation is "{expected}"')
def then_state(context, expected):
    assert context.found == expected, context.found
    assert context.later is Confirmation.NONE


@when('a daemon is cut off under the policy "{policy}"')
def when_policy(context, policy):
    context.policy = Policy(when_unconfirmed=WhenUnconfirmed(policy))


@then("a cut off {call} is {outcome}")
def then_call(context, call, outcome):
    found = permit(
        Confirmation.NONE, context.policy, idempotent=call == "pipeline"
    )
    assert found.is_ok() == (outcome == "allowed"), found
    if found.is_err():
        assert found.unwrap_err().kind.code == "unconfirmed"
        assert str(found.unwrap_err().ran) == "not_run"


@when("a peer passes on what the store said {seconds:d} seconds ago")
def when_passed_on(context, seconds):
    context.confirmations = Confirmations(data_centre="own")
    context.confirmations.store_answered(100_000.0 - seconds * 1_000)


@then("it confirms for {seconds:d} second and no longer")
def then_for(context, seconds):
    end = 100_000.0 + seconds * 1_000
    assert state(context.confirmations, end) is Confirmation.BY_STORE
    assert state(context.confirmations, end + 1) is Confirmation.NONE
