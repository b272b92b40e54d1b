"""Steps about real daemons that stop, freeze, die or meet odd callers."""

from __future__ import annotations

import json
import pathlib
import signal
import socket
import threading
import time
import urllib.error
import urllib.request
from typing import Any

from behave import given, then, when

from bench.serving import case_g_rolling_restart, rolling
from standins.fleet import (
    CUSTOMER_TOKEN,
    OPERATOR_TOKEN,
    request_json,
    small_fleet,
)

BUILD = pathlib.Path("build/stops")
BOOKING_PATH = "/v1/services/hire-booking"
STREAM_PATH = "/v1/pipelines/summary"
WAIT_S = 60.0
STALLED_BYTES = 16_000_000


def _until(holds: Any) -> Any:
    give_up = time.monotonic() + WAIT_S
    while not (value := holds()):
        assert time.monotonic() < give_up, "waited in vain"
        time.sleep(0.02)
    return value


@when(
    "three daemons are restarted in turn under {callers:d} callers,"
    " each told twice"
)
def when_rolled(context, callers):
    context.rolled = rolling.roll(
        BUILD / "rolling", callers=callers, impatient=True
    )


@then("nothing was cut or refused by the restarts, and no booking was doubled")
def then_nothing_cut(context):
    rolled = context.rolled
    assert set(rolled.answered) == {"whole", "stream", "booking", "plain"}
    assert rolled.cut.total() == 0, rolled.details
    assert rolled.refused == 0, rolled.details
    assert rolled.doubled == 0


@then("every restarted daemon had ended with status 0")
def then_exits(context):
    assert context.rolled.exits == [0, 0, 0]


@given("real daemons whose plain service takes {ms:d} ms")
def given_real(context, ms):
    fleet = small_fleet(_directory(context), daemons=2)
    context.stop_fleet, answers = fleet.__enter__()
    context.add_cleanup(fleet.__exit__, None, None, None)
    address = context.stop_fleet["entry-1"].address
    _post(
        address,
        "/v1/submissions",
        {"id": "stops", "answers": answers},
        token=OPERATOR_TOKEN,
    )
    context.stop_fleet.wait_ready(["entry-1", "entry-2"])
    _plain(context, {"delay_ms": ms})


def _directory(context: Any) -> pathlib.Path:
    return BUILD / pathlib.Path(context.feature.filename).stem


def _plain(context: Any, faults: dict[str, Any]) -> None:
    address = context.stop_fleet["plain-1"].address
    request_json("POST", address, "/faults", faults)


def _post(
    address: str,
    path: str,
    value: Any,
    *,
    token: str = CUSTOMER_TOKEN,
    key: str = "",
) -> dict[str, Any]:
    headers = {"authorization": f"Bearer {token}"}
    if key:
        headers["idempotency-key"] = key
    request = urllib.request.Request(
        f"http://{address}{path}",
        data=json.dumps(value).encode(),
        headers=headers,
        method="POST",
    )
    try:
        with urllib.request.urlopen(request, timeout=WAIT_S) as response:
            return json.loads(response.read())
    except urllib.error.HTTPError as error:
        return json.loads(error.read())


def _book(context: Any, name: str) -> dict[str, Any]:
    address = context.stop_fleet[name].address
    value = {"input": {"trailer": 7}, "deadline_ms": 20_000}
    return _post(address, BOOKING_PATH, value, key="stopped-1")


def _begin_booking(context: Any) -> threading.Thread:
    def book() -> None:
        try:
            context.stop_first = _book(context, "entry-1")
        except OSError as error:
            context.stop_first = {"lost": repr(error)}

    thread = threading.Thread(target=book)
    thread.start()
    path = "/v1/requests/stopped-1"
    _until(lambda: _state(context, path) == "in_progress")
    # The record says so before the call is handed over: a daemon stopped
    # between the two never made it, and its service was waited for in vain.
    _until(lambda: _plain_stats(context)["received"].get("/v1/run"))
    return thread


def _state(context: Any, path: str) -> str:
    request = urllib.request.Request(
        f"http://{context.stop_fleet['entry-2'].address}{path}",
        headers={"authorization": f"Bearer {CUSTOMER_TOKEN}"},
    )
    try:
        with urllib.request.urlopen(request, timeout=WAIT_S) as response:
            return str(json.loads(response.read())["state"])
    except urllib.error.HTTPError:
        return ""


def _plain_stats(context: Any) -> dict[str, Any]:
    return request_json("GET", context.stop_fleet["plain-1"].address, "/stats")


@when("the booking's daemon gets SIGSTOP in mid-call, and SIGCONT later")
def when_frozen(context):
    thread = _begin_booking(context)
    owner = context.stop_fleet["entry-1"]
    owner.send(signal.SIGSTOP)
    _until(lambda: _plain_stats(context)["executions_by_key"])
    context.stop_meanwhile = _book(context, "entry-2")
    owner.send(signal.SIGCONT)
    thread.join(WAIT_S)
    context.stop_later = _until(lambda: _book(context, "entry-2").get("output"))


@when("the booking's daemon gets SIGKILL in mid-call")
def when_killed(context):
    thread = _begin_booking(context)
    context.stop_fleet["entry-1"].send(signal.SIGKILL)
    thread.join(WAIT_S)
    _until(lambda: _plain_stats(context)["executions_by_key"])
    context.stop_meanwhile = _book(context, "entry-2")


@when("the booking's daemon gets SIGHUP in mid-call")
def when_hung_up(context):
    thread = _begin_booking(context)
    context.stop_fleet["entry-1"].send(signal.SIGHUP)
    thread.join(WAIT_S)


@then("its caller has the booking's answer")
def then_answered(context):
    assert context.stop_first.get("output") == {"booked": {"trailer": 7}}, (
        context.stop_first
    )


@then("the other daemon said unknown while the owner was frozen")
def then_unknown(context):
    assert context.stop_meanwhile["error"]["ran"] == "unknown"


@then("once it woke, the other daemon names the booking's answer")
def then_same(context):
    assert context.stop_later == {"booked": {"trailer": 7}}
    assert context.stop_first["output"] == context.stop_later


@then("the plain service made {count:d} booking")
def then_bookings(context, count):
    runs = _plain_stats(context)["executions_by_key"]
    assert list(runs.values()) == [count], runs


@when("raw callers misbehave towards a daemon in every way at once")
def when_misbehave(context):
    daemon = context.stop_fleet["entry-1"]
    _plain(context, {"output_bytes": STALLED_BYTES})
    for name in ("engine-1", "engine-2"):
        engine = context.stop_fleet[name].address
        request_json("POST", engine, "/faults", {"slow_factor": 100.0})
    raw = context.stop_raw = {}
    before = _memory_bytes(daemon)
    raw["half_head"] = _send(daemon, b"POST /v1/services/x HTTP/1.1\r\nhos")
    raw["half_body"] = _send(daemon, _head(100) + b'{"input')
    cut_off = _send(daemon, _head(100) + b'{"input')
    cut_off.close()
    raw["too_large"] = _send(daemon, _head(2_000_000) + b"x" * 2_000_000)
    doubled = "authorization: Bearer other\r\n"
    raw["doubled"] = _send(daemon, _head(2, doubled) + b"{}")
    broken = "idempotency-key: a\nx-injected: b\r c: d\r\n"
    raw["line_break"] = _send(daemon, _head(2, broken) + b"{}")
    raw["stalled"] = _send(daemon, _booking("stalled-1"), receive_buffer=4_096)
    leaving = _send(daemon, _stream_call())
    assert b"event: token" in _until_bytes(leaving, b"event: token")
    leaving.close()
    context.stop_answers = {
        name: _rest(connection)
        for name, connection in raw.items()
        if name != "stalled"
    }
    context.stop_memory_grown = _memory_bytes(daemon) - before
    daemon.send(signal.SIGTERM)
    context.stop_status = daemon.popen.wait(WAIT_S)


def _memory_bytes(process) -> int:
    status = pathlib.Path(f"/proc/{process.popen.pid}/status").read_text()
    line = next(x for x in status.splitlines() if x.startswith("VmRSS:"))
    return int(line.split()[1]) * 1024


def _head(length: int, more: str = "", path: str = BOOKING_PATH) -> bytes:
    return (
        f"POST {path} HTTP/1.1\r\nhost: d\r\ncontent-length: {length}\r\n"
        f"authorization: Bearer {CUSTOMER_TOKEN}\r\n{more}\r\n"
    ).encode()


def _booking(key: str) -> bytes:
    body = json.dumps({"input": 1, "deadline_ms": 20_000}).encode()
    return _head(len(body), f"idempotency-key: {key}\r\n") + body


def _stream_call() -> bytes:
    body = json.dumps(
        {"input": 1, "deadline_ms": 20_000, "stream": True}
    ).encode()
    return _head(len(body), path=STREAM_PATH) + body


def _send(daemon: Any, data: bytes, *, receive_buffer: int = 0) -> Any:
    host, _, port = daemon.address.partition(":")
    connection = socket.socket()
    if receive_buffer:
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer
        )
    connection.settimeout(WAIT_S)
    connection.connect((host, int(port)))
    connection.sendall(data)
    return connection


def _until_bytes(connection: Any, wanted: bytes) -> bytes:
    received = b""
    while wanted not in received:
        received += connection.recv(65_536) or b"[end]" + wanted
    return received


def _rest(connection: Any) -> bytes:
    received = b""
    try:
        while chunk := connection.recv(65_536):
            received += chunk
            if received.endswith(b"}}"):
                break
    except ConnectionResetError:
        received += b"[reset]"
    return received


@then("the half head was ended without an answer")
def then_half_head(context):
    assert context.stop_answers["half_head"] in {b"", b"[reset]"}


@then("the {what} was answered {status:d} {kind}")
def then_answered(context, what, status, kind):
    name = {
        "half body": "half_body",
        "too large body": "too_large",
        "doubled header": "doubled",
    }[what]
    answer = context.stop_answers[name]
    assert answer.startswith(f"HTTP/1.1 {status} ".encode()), answer
    assert f'"kind":"{kind}"'.encode() in answer
    assert b'"ran":"not_run"' in answer


@then("the body that was cut off left the daemon unharmed")
def then_unharmed(context):
    log = (_directory(context) / "entry-1.log").read_text()
    assert "Traceback" not in log
    assert "CD1004" not in log


@then("the header with a line break reached no handler")
def then_line_break(context):
    answer = context.stop_answers["line_break"]
    assert answer.startswith(b"HTTP/1.1 400 "), answer


@then("the caller that left ended the engine's stream")
def then_left(context):
    def all_left() -> bool:
        # A slow stream may have been hedged; both attempts must end.
        engines = [context.stop_fleet[f"engine-{n}"] for n in (1, 2)]
        counts = [
            request_json("GET", engine.address, "/stats")["counts"]
            for engine in engines
        ]
        return all(
            each.get("streams_left", 0) == each.get("calls", 0)
            for each in counts
        )

    _until(all_left)


@then("the misbehaving callers cost the daemon less than {limit:d} MB")
def then_memory(context, limit):
    assert context.stop_memory_grown < limit * 1e6, context.stop_memory_grown


@then(
    "the daemon told to stop ended with status {status:d}"
    " despite the stalled reader"
)
def then_status(context, status):
    context.stop_raw["stalled"].close()
    assert context.stop_status == status


@when("the rolling restart is measured in its smallest size")
def when_measured(context):
    context.rolling_rows = case_g_rolling_restart.run_case(tiny=True)


@then("it has a row for the naive and one for the project's stop")
def then_rows(context):
    columns = [row["column"] for row in context.rolling_rows]
    assert columns == ["naive", "project"]
    assert all(row["answered"] > 0 for row in context.rolling_rows)


@then("the project's stop cut and doubled nothing")
def then_project(context):
    row = context.rolling_rows[1]
    assert (row["cut"], row["refused"], row["doubled"]) == (0, 0, 0), row
    assert row["exits"] == [0]
