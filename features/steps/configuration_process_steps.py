"""Steps about configuration on real processes."""

from __future__ import annotations

import json
import pathlib
import signal
import time
import urllib.error

from behave import given, then, when

from standins.fleet import OPERATOR_TOKEN, request_json, small_fleet

BUILD = pathlib.Path("build/features/configuration")
GIVE_UP_S = 30.0


def submit(context, number):
    context.answers["customers"][0]["burst"] = 1_000 + number
    body = {"id": f"change-{number}", "answers": context.answers}
    return request_json(
        "POST",
        context.fleet["entry-1"].address,
        "/v1/submissions",
        body,
        token=OPERATOR_TOKEN,
    )["revision"]


def wait_for(context, name, revision):
    give_up = time.monotonic() + GIVE_UP_S
    while time.monotonic() < give_up:
        found = request_json(
            "GET",
            context.fleet[name].address,
            "/v1/configuration",
            token=OPERATOR_TOKEN,
        )
        if found["revision"] >= revision:
            return found
        time.sleep(0.02)
    raise AssertionError(f"{name} never had revision {revision}")


def store_faults(context, **faults):
    store = context.fleet["object-service"].address
    request_json("POST", store, "/faults", faults)


@given("a fleet of {count:d} daemons whose store goes down after a change")
def given_fleet(context, count):
    manager = small_fleet(BUILD, daemons=count)
    context.fleet, context.answers = manager.__enter__()
    context.add_cleanup(manager.__exit__, None, None, None)
    context.names = [f"entry-{number + 1}" for number in range(count)]
    for number in (1, 2):
        revision = submit(context, number)
    for name in context.names:
        wait_for(context, name, revision)
    store_faults(context, down=True)


@when("a daemon is killed and started again during the outage")
def when_killed(context):
    process = context.fleet["entry-3"]
    process.send(signal.SIGKILL)
    process.popen.wait()
    settings = json.loads((BUILD / "entry-3.json").read_text())
    context.fleet.daemon(settings)


@then("it has its peers' revision in force before the store is back")
def then_replaced(context):
    assert wait_for(context, "entry-3", 2)["revision"] == 2


@then("a change that is accepted after the outage reaches every process")
def then_reaches(context):
    store_faults(context, down=False)
    give_up = time.monotonic() + GIVE_UP_S
    while True:
        try:
            revision = submit(context, 3)
            break
        except urllib.error.HTTPError:
            # Calls to the store are still held back for up to two seconds.
            assert time.monotonic() < give_up
            time.sleep(0.1)
    assert revision == 3
    for name in context.names:
        assert wait_for(context, name, 3)["revision"] == 3
