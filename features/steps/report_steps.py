"""Steps of the report from logs."""

from __future__ import annotations

import json
import pathlib
import subprocess
import sys
import tempfile

from behave import given, then, when


def line(at, daemon, event, **fields):
    value = {"at": at, "daemon": daemon, "event": event, **fields}
    return f"  12.5 host {json.dumps(value)}\n"


ANSWER = {
    "route": "plans",
    "service": "pool",
    "stages_ms": 300,
    "first_ms": 800,
    "outcome": "on_time",
}


@given("logs of two daemons with answers, a refusal and calls of a stage")
def logs(context):
    context.folder = tempfile.TemporaryDirectory()
    folder = pathlib.Path(context.folder.name)
    one = folder / "one.log"
    two = folder / "two.log"
    one.write_text(
        line(10_000, "d1", "CD4301:request_answered", **ANSWER)
        + "not a line of ours {\n"
        + line(
            13_000,
            "d1",
            "CD4302:request_failed",
            route="plans",
            service="pool",
            status=503,
            detail="no replica of pool can be used",
        )
    )
    call = {"service": "roster", "pieces": 5, "made": 4, "waiting": 7}
    two.write_text(
        line(10_500, "d2", "CD4301:request_answered", **ANSWER)
        + line(
            13_500,
            "d2",
            "CD4314:stage_call_ended",
            failures=["no_room"],
            **call,
        )
    )
    context.files = [str(one), str(two)]


USUAL = {"0 roster": 250, "pool": 300}


def _answer(at, daemon, parts, **changes):
    fields = {
        **ANSWER,
        "parts_ms": parts,
        "objective_ms": 1_000,
        "crossed_bytes": 1_500_000,
        **changes,
    }
    return line(at, daemon, "CD4301:request_answered", **fields)


@given("logs of a minute in which a stage was slow and a decider changed")
def slow_minute(context):
    context.folder = tempfile.TemporaryDirectory()
    path = pathlib.Path(context.folder.name) / "one.log"
    slow = {**USUAL, "0 roster": 900}
    late = {"outcome": "late", "first_ms": 1_300}
    path.write_text(
        _answer(10_000, "d1", USUAL)
        + _answer(10_100, "d1", USUAL)
        + _answer(12_100, "d1", slow, **late)
        + _answer(12_200, "d1", USUAL, outcome="late", first_ms=800)
        + line(
            12_300,
            "d1",
            "CD4303:request_left",
            route="plans",
            events=0,
            attempts=0,
            results_made={"roster": 3},
        )
        + line(
            12_350,
            "d1",
            "CD4304:request_cut",
            route="plans",
            events=4,
            attempts=1,
        )
        + line(
            12_400,
            "d1",
            "CD4302:request_failed",
            route="plans",
            service="pool",
            status=503,
            detail="stages are busy for 950 ms",
            results_made={"roster": 2},
        )
        + line(12_500, "d1", "CD4316:decider_changed", service="roster")
        + line(
            12_600,
            "d2",
            "CD4314:stage_call_ended",
            service="roster",
            pieces=5,
            made=4,
            waiting=7,
            failures=["no_room"],
            crossed_bytes=2_000_000,
        )
    )
    context.files = [str(path)]


@then("it says of each span what was lost and which part took the time")
def check_losses(context):
    report = json.loads(context.done.stdout)
    lost = {(x["outcome"], x["cause"]): x["requests"] for x in report["lost"]}
    assert lost == {
        ("late", "long in 0 roster"): 1,
        ("late", "a long pause between events"): 1,
        ("left", "waiting for stages"): 1,
        ("cut", "in mid-stream"): 1,
        ("refused", "stages are busy for # ms"): 1,
    }, lost
    assert {x["from s"] for x in report["lost"]} == {2.0}
    (span,) = [x for x in report["spans"] if x["from s"] == 2.0]
    name = "stages: calls/pieces/made/waiting/deciders (changed)"
    assert span[name] == "roster 1/5/4/7/1 (1)"


@then("it says who fetched across data centres and what was made for nothing")
def check_waste(context):
    report = json.loads(context.done.stdout)
    crossed = {x["fetched by"]: x["MB"] for x in report["crossed"]}
    assert crossed == {"engines for plans": 6.0, "calls of roster": 2.0}
    wasted = {
        (x["service"], x["request"]): x["results"] for x in report["wasted"]
    }
    assert wasted == {("roster", "left"): 3, ("roster", "refused"): 2}
    (not_made,) = report["not made"]
    assert not_made == {"pieces": 1, "service": "roster", "why": "no_room"}


@given("logs of requests of two customers, and one without a customer")
def customers(context):
    context.folder = tempfile.TemporaryDirectory()
    path = pathlib.Path(context.folder.name) / "one.log"
    failed = "CD4302:request_failed"
    detail = {"route": "plans", "service": "pool", "detail": "busy"}
    path.write_text(
        _answer(10_000, "d1", USUAL)
        + _answer(10_100, "d1", USUAL, customer="a")
        + _answer(10_200, "d1", USUAL, customer="a", first_ms=900)
        + _answer(10_300, "d1", USUAL, customer="a", outcome="late")
        + line(10_400, "d1", failed, customer="b", status=503, **detail)
        + line(10_500, "d1", failed, customer="b", status=502, **detail)
        + line(10_600, "d1", "CD4303:request_left", customer="b")
        + line(10_700, "d1", "CD4304:request_cut", customer="")
    )
    context.files = [str(path)]


@then("it counts for each customer how its requests ended")
def check_customers(context):
    assert context.done.returncode == 0, context.done.stderr
    rows = json.loads(context.done.stdout)["customers"]
    names = ("served", "late", "refused", "failed", "left", "cut")
    counts = {
        row["customer"]: [row[name] for name in names]
        + [row["median first event ms"]]
        for row in rows
    }
    assert counts == {
        "a": [2, 1, 0, 0, 0, 0, 800],
        "b": [0, 0, 1, 1, 1, 0, None],
        "(unknown)": [0, 0, 0, 0, 0, 1, None],
    }, counts


@given("logs of two kinds of requests, on time and not")
def kinds(context):
    context.folder = tempfile.TemporaryDirectory()
    path = pathlib.Path(context.folder.name) / "one.log"
    long = {**USUAL, "0 roster": 900}
    drafts = {"priority": 1, "pipeline": ["roster", "pool"]}
    refused = {**drafts, "status": 503, "results_made": {"roster": 2}}
    path.write_text(
        _answer(10_000, "d1", USUAL, **drafts)
        + _answer(10_100, "d2", USUAL, **drafts, route="other")
        + _answer(10_200, "d1", USUAL, **drafts, waited_ms=400)
        + _answer(10_300, "d1", long, **drafts, outcome="late", first_ms=1_300)
        + _answer(10_400, "d1", USUAL, **drafts, outcome="late")
        + line(10_500, "d1", "CD4302:request_failed", parts_ms=long, **refused)
        + line(12_100, "d1", "CD4303:request_left", **drafts)
        + _answer(12_200, "d1", USUAL, priority=0, pipeline=["pool"])
        + _answer(12_300, "d1", USUAL)
    )
    context.files = [str(path)]


@then("it counts for each kind how its requests ended and where they were long")
def check_kinds(context):
    assert context.done.returncode == 0, context.done.stderr
    first, urgent, left = json.loads(context.done.stdout)["kinds"]
    assert (first["priority"], first["pipeline"]) == (1, "roster, pool")
    assert first["on_time"] == 2, first
    for outcome in ("late_after_return", "late", "paused", "refused"):
        assert first[outcome] == 1, (outcome, first)
    assert first["results wasted"] == 2
    parts = first["not on time, longest in"].split("  ")
    assert sorted(parts) == ["0 roster 2", "pool 2"], first
    assert (urgent["from s"], urgent["priority"]) == (2.0, 0)
    assert (urgent["on_time"], left["left"]) == (1, 1)


def _retry(at, daemon, event, *, share=5.8, daemons=9, age_ms=9_000):
    return line(
        at,
        daemon,
        event,
        service="pool",
        share=share,
        daemons=daemons,
        daemons_unchanged_ms=age_ms,
    )


@given("logs of retries by two processes of one daemon and by another daemon")
def retries(context):
    context.folder = tempfile.TemporaryDirectory()
    path = pathlib.Path(context.folder.name) / "one.log"
    charged = "CD4015:retry_charged"
    path.write_text(
        _answer(10_900, "d1", USUAL, took_ms=1_000)
        + _retry(10_000, "d1", charged)
        + line(10_050, "d1", "CD4016:retry_sent", service="pool", waited_ms=50)
        + line(10_100, "d1", "CD1001:daemon_started")
        + _retry(10_200, "d1", charged, share=13.0, daemons=4, age_ms=100)
        + _retry(10_300, "d2", "CD4014:retry_refused")
        + line(12_050, "d1", "CD4016:retry_sent", service="pool", waited_ms=1)
    )
    context.files = [str(path)]


@then("it says for each service and span what was charged, refused and sent")
def check_retries(context):
    assert context.done.returncode == 0, context.done.stderr
    first, second = json.loads(context.done.stdout)["retries"]
    assert first == {
        "service": "pool",
        "from s": 10.0,
        "requests": 0,
        "charged": 2,
        "refused": 1,
        "sent": 1,
        "shares": "5.8 to 13",
        "daemons": "4 to 9",
        "unchanged for ms": "100 to 9000",
    }, first
    assert (second["from s"], second["sent"]) == (12.0, 1), second


@given("a file of other text")
def other_text(context):
    context.folder = tempfile.TemporaryDirectory()
    path = pathlib.Path(context.folder.name) / "other.txt"
    path.write_text("nothing\n{}\n")
    context.files = [str(path)]


def _report(context, *arguments):
    context.done = subprocess.run(
        [
            *(sys.executable, "-m", "cactusdyke.cmd.main", "report"),
            *context.files,
            *arguments,
        ],
        capture_output=True,
        text=True,
        check=False,
    )


@when("a report is made of them")
def make(context):
    _report(context, "--json")


@when("a report is made of them with a picture")
def make_picture(context):
    context.picture = pathlib.Path(context.folder.name) / "report.png"
    _report(context, "--plot", str(context.picture))


@then("it counts them in their spans of two seconds")
def check_spans(context):
    assert context.done.returncode == 0, context.done.stderr
    spans = json.loads(context.done.stdout)["spans"]
    assert [span["on_time"] for span in spans] == [2, 0]
    assert [span["503"] for span in spans] == [0, 1]
    called = spans[1]["stages: calls/pieces/made/waiting/deciders (changed)"]
    assert called == "roster 1/5/4/7/1 (0)"


@then("it names the refusal's route and reason")
def check_reason(context):
    (reason,) = json.loads(context.done.stdout)["reasons"]
    assert reason["route"] == "plans"
    assert reason["reason"] == "no replica of its service can be used"


@then("it says how long stages took before the first event")
def check_parts(context):
    (part,) = json.loads(context.done.stdout)["parts"]
    assert part["stages ms"] == 300
    assert part["then first event ms"] == 500


@then("it ends with exit code 2 and says why")
def check_refused(context):
    assert context.done.returncode == 2
    assert "no line of a served request" in context.done.stderr


@then("the picture is a PNG")
def check_picture(context):
    assert context.done.returncode == 0, context.done.stderr
    assert context.picture.read_bytes().startswith(b"\x89PNG")
