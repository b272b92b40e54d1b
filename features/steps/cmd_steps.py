"""Steps of the command line, run as real processes."""

from __future__ import annotations

import json
import os
import pathlib
import subprocess
import sys

import pyjson5
from behave import given, then, when

from cactusdyke.clock import SystemClock
from cactusdyke.errors import FailureKind
from cactusdyke.events import Event
from cactusdyke.observe import catalogue
from cactusdyke.questionnaire import examples
from features.support.deployment import Deployment
from standins.engine import Engine, generate
from standins.fleet import (
    CUSTOMER_TOKEN,
    OPERATOR_TOKEN,
    request_json,
    small_fleet,
)
from standins.virtual import run_virtual

BUILD = pathlib.Path("build/features/cmd")
PLAN = {"plan": "B68"}


def run_command(context, arguments, token=""):
    environment = {**os.environ, "CACTUSDYKE_TOKEN": token}
    environment.pop("CACTUSDYKE_ENTRY", None)
    if "seeds" in context:
        environment["CACTUSDYKE_ENTRY"] = context.seeds
    context.done = subprocess.run(
        [sys.executable, "-m", "cactusdyke.cmd.main", *arguments],
        capture_output=True,
        text=True,
        env=environment,
        check=False,
    )
    return context.done


@when('the command line is "{line}"')
def when_command_line(context, line):
    run_command(context, line.split())


@then("it ends with exit code {code:d}")
@then("the command ends with exit code {code:d}")
def then_exit_code(context, code):
    assert context.done.returncode == code, context.done


@then('it prints one line on standard error that holds "{text}"')
def then_one_line(context, text):
    lines = context.done.stderr.splitlines()
    assert len(lines) == 1, lines
    assert lines[0].startswith("cactusdyke: "), lines
    assert text in lines[0], lines


@then('it prints JSON in which "{name}" of the first row is "{value}"')
def then_json(context, name, value):
    assert json.loads(context.done.stdout)[0][name] == value


@then('it prints "{text}"')
def then_prints(context, text):
    assert text in context.done.stdout, context.done.stdout


@then("docs/events.md is what the code generates")
def then_catalogue(context):
    page = pathlib.Path("docs/events.md").read_text(encoding="utf-8")
    assert page == catalogue.markdown(), "run make docs"


@then("no two events share a number")
def then_numbers(context):
    numbers = [event.number for event in Event]
    assert len(numbers) > 1
    assert len(numbers) == len(set(numbers))


@given("a fleet of {count:d} daemons as processes")
def given_fleet(context, count):
    manager = small_fleet(BUILD, daemons=count)
    context.fleet, context.answers = manager.__enter__()
    context.add_cleanup(manager.__exit__, None, None, None)
    context.names = [f"entry-{i + 1}" for i in range(count)]
    context.seeds = ",".join(context.fleet[n].address for n in context.names)


@when("the operator submits the answers and waits")
def when_submit(context):
    path = BUILD / "answers.jsonc"
    path.write_text("// by hand\n" + json.dumps(context.answers))
    run_command(context, ["submit", str(path), "--wait"], OPERATOR_TOKEN)


@then("the status shows every daemon with revision 1")
def then_status(context):
    done = run_command(context, ["status", "--json"], OPERATOR_TOKEN)
    daemons = json.loads(done.stdout)["daemons"]
    assert sorted(d["name"] for d in daemons) == context.names
    assert {d["revision"] for d in daemons} == {1}
    assert all(d["answered"] for d in daemons)


@then("the addresses name every daemon")
def then_addresses(context):
    done = run_command(context, ["addresses", "--json"])
    listed = json.loads(done.stdout)["addresses"]
    assert sorted(a["address"] for a in listed) == sorted(
        context.seeds.split(",")
    )


@when("a caller streams the pipeline by the command line")
def when_stream_command(context):
    arguments = ["call", "summary", json.dumps(PLAN), "--stream"]
    run_command(context, arguments, CUSTOMER_TOKEN)
    context.trace_id = context.done.stderr.split()[-1]


@then("the answer is the tokens that the engine generated")
def then_streamed(context):
    value = PLAN
    for kind in ("encoder", "retriever", "reranker"):
        value = Engine(clock=SystemClock(), name=f"{kind}-1").output(value)
    expected = "".join(generate(value, 16)).split()
    assert context.done.stdout.split() == expected, context.done
    arguments = ["call", "summary", json.dumps(PLAN)]
    run_command(context, arguments, CUSTOMER_TOKEN)
    assert context.done.returncode == 0
    assert json.loads(context.done.stdout)["by"] == "engine"


@then("its trace shows a span for each hop")
def then_trace(context):
    done = run_command(context, ["trace", context.trace_id], OPERATOR_TOKEN)
    for name in ("request summary", "stage encode", "stage generate"):
        assert name in done.stdout, done.stdout
    assert done.stdout.count("attempt 1") == 4


@then("the cost shows every stage")
def then_cost(context):
    done = run_command(context, ["cost", "--json"], OPERATOR_TOKEN)
    rows = json.loads(done.stdout)["stages"]
    stages = [row["stage"] for row in rows]
    assert stages == ["encode", "generate", "rerank", "retrieve"]
    assert all(row["cost"] > 0 for row in rows)


@when("a caller books by the command line twice with one key")
def when_books(context):
    arguments = ["call", "hire-booking", '{"trailer": 7}', "--service"]
    arguments.append("--key=k1")
    context.bookings = [
        json.loads(run_command(context, arguments, CUSTOMER_TOKEN).stdout)
        for _ in range(2)
    ]


@then("both answers are the same and the booking ran once")
def then_booked(context):
    assert context.bookings == [{"booked": {"trailer": 7}}] * 2
    address = context.fleet["plain-1"].address
    executions = request_json("GET", address, "/stats")["executions"]
    assert list(executions.values()) == [1]


@when("a caller with a wrong token calls the pipeline")
def when_wrong_token(context):
    run_command(context, ["call", "summary", json.dumps(PLAN)], "wrong")


@given("a deployment of 1 daemon with nothing in force")
def given_unconfigured(context):
    async def ask():
        async with Deployment() as deployment:
            await deployment.start_daemons(1)
            answers = []
            for token in (OPERATOR_TOKEN, "wrong"):
                async with deployment.client(token=token) as client:
                    answers.append(await client.get("/v1/status"))
            return answers

    context.ask = ask


@when("the settings' operator asks for the status")
def when_status(context):
    context.status, context.refused = run_virtual(context.ask)


@then("the status names the daemon with revision 0")
def then_status_zero(context):
    daemons = context.status.unwrap()["daemons"]
    assert [(d["name"], d["revision"]) for d in daemons] == [("entry-1", 0)]


@then("a wrong token is refused")
def then_refused(context):
    assert context.refused.err_value.kind is FailureKind.UNAUTHENTICATED


@then("what it printed, kept as a file, passes the questionnaire check")
def then_example(context):
    BUILD.mkdir(parents=True, exist_ok=True)
    context.example = BUILD / "example.jsonc"
    context.example.write_text(context.done.stdout)
    done = run_command(
        context, ["questionnaire", "check", str(context.example)]
    )
    assert done.returncode == 0, done
    assert "5 customers" in done.stdout, done.stdout


@then("generating from it twice gives the same configuration")
def then_same_configuration(context):
    arguments = ["questionnaire", "generate", str(context.example)]
    first = run_command(context, arguments).stdout
    assert json.loads(first)["customers"]
    assert run_command(context, arguments).stdout == first


@when("a questionnaire with three errors is checked by the command line")
def when_three_errors(context):
    BUILD.mkdir(parents=True, exist_ok=True)
    value = pyjson5.decode(examples.read("derwent"))
    value["attainment_against_cost"] = 7
    value["customers"][0]["burts"] = 1
    value["jobs"][0]["deadline_ms"] = -1
    path = BUILD / "wrong.jsonc"
    path.write_text(json.dumps(value))
    run_command(context, ["questionnaire", "check", str(path)])


@then("it prints a line for each of the three errors")
def then_three_lines(context):
    lines = context.done.stderr.splitlines()
    for name in ("attainment_against_cost", "burts", "deadline_ms"):
        assert any(name in line for line in lines), (name, lines)
    assert any("burst" in line for line in lines if "burts" in line), lines


@when("the customer's limit is raised in the answers")
def when_raised(context):
    context.answers["customers"][0]["requests_per_second"] = 2000


@then("generate prints what would change at the deployment")
def then_changes(context):
    path = BUILD / "changed.jsonc"
    path.write_text(json.dumps(context.answers))
    arguments = ["questionnaire", "generate", str(path)]
    done = run_command(context, arguments, OPERATOR_TOKEN)
    assert "against revision 1" in done.stdout, done
    assert "customers/road-crews/requests_per_second" in done.stdout
    assert len(done.stdout.splitlines()) == 2, done.stdout


@then("the history shows {count:d} revisions, the last with a new limit")
def then_history(context, count):
    done = run_command(context, ["history", "--json"], OPERATOR_TOKEN)
    rows = json.loads(done.stdout)["revisions"]
    assert [row["revision"] for row in rows] == list(range(count, 0, -1))
    assert rows[0]["changed"] == ["customers/road-crews"], rows[0]


@when("the operator goes back to revision 1")
def when_back(context):
    arguments = ["submit", "--from-revision=1", "--wait"]
    run_command(context, arguments, OPERATOR_TOKEN)
