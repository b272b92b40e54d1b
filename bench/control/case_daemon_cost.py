"""Cost of control by daemon with real processes, idle, by size of the fleet."""

from __future__ import annotations

import json
import pathlib
import statistics
import time
import urllib.request
from typing import Any

from bench.capacity import probe
from bench.control.case_membership import TARGET
from standins.fleet import (
    CUSTOMER_TOKEN,
    OPERATOR_TOKEN,
    Fleet,
    daemon_settings,
    token_hash,
)

SIZES = (3, 6, 12, 24)
TINY_SIZES = (2, 3)
REPLICAS_A_DAEMON = 1800 / 350
CENTRES = ("new-norfolk", "glenorchy", "bridgewater")
JOIN_S = 12.0
WINDOW_S = 20.0
TINY_WINDOW_S = 3.0
BUILD = pathlib.Path("build/bench/daemon-cost")
COUNTED = ("peers", "load", "store", "host_list", "orders")


def run_case(*, tiny: bool) -> list[dict[str, Any]]:
    """Returns a row for each size, and for the slope at 350 daemons."""
    rows = [
        _measure(
            size,
            join_s=TINY_WINDOW_S if tiny else JOIN_S,
            window_s=TINY_WINDOW_S if tiny else WINDOW_S,
        )
        for size in (TINY_SIZES if tiny else SIZES)
    ]
    return [*rows, _at_target(rows)]


def _measure(count: int, *, join_s: float, window_s: float) -> dict[str, Any]:
    replicas = round(count * REPLICAS_A_DAEMON)
    with Fleet(BUILD / str(count)) as fleet:
        store = fleet.stand_in("object_service", "store")
        hosts = fleet.stand_in("host_list", "hosts")
        # One process answers for all replicas at many loopback numbers; it
        # gives no name, because it has none of its own.
        engine = fleet.stand_in("engine", "engine", host="0.0.0.0", name="")
        names = [f"entry-{i}" for i in range(count)]
        settings = daemon_settings(
            names=names,
            data_centres=[CENTRES[i % len(CENTRES)] for i in range(count)],
            object_service=store.address,
            host_list=hosts.address,
        )
        for one in settings:
            one["peers"] = one["peers"][:3]
            fleet.daemon(one)
        _submit(fleet[names[0]].address, engine.address, replicas)
        fleet.wait_ready(names)
        time.sleep(join_s)
        before = [probe.scrape(fleet[name].address) for name in names]
        time.sleep(window_s)
        after = [probe.scrape(fleet[name].address) for name in names]
    rates = [probe.rates(a, b) for a, b in zip(before, after, strict=True)]
    row: dict[str, Any] = {"daemons": count, "replicas": replicas}
    for key in sorted({key for rate in rates for key in rate}):
        if key != "seconds" and not key.endswith("serving"):
            row[key] = statistics.mean(rate.get(key, 0.0) for rate in rates)
    return row


def _submit(address: str, engine: str, replicas: int) -> None:
    body = {"id": "bench", "answers": _answers(engine, replicas)}
    request = urllib.request.Request(
        f"http://{address}/v1/submissions",
        data=json.dumps(body).encode(),
        headers={"authorization": f"Bearer {OPERATOR_TOKEN}"},
        method="POST",
    )
    with urllib.request.urlopen(request, timeout=20) as response:
        response.read()


def _answers(engine: str, replicas: int) -> dict[str, Any]:
    port = engine.rsplit(":", 1)[1]
    servers = [
        {
            "name": f"engine-{i}",
            "address": f"127.1.{i // 250}.{i % 250 + 1}:{port}",
            "data_centre": CENTRES[i % len(CENTRES)],
            "price_per_second": 0.001,
        }
        for i in range(replicas)
    ]
    return {
        "deployment": "bench",
        "attainment_against_cost": 0.5,
        "when_cut_off": "refuse_bookings",
        "operators": [
            {"name": "op", "token_hashes": [token_hash(OPERATOR_TOKEN)]}
        ],
        "customers": [
            {
                "name": "customer",
                "token_hashes": [token_hash(CUSTOMER_TOKEN)],
                "requests_per_second": 100,
                "burst": 100,
            }
        ],
        "pools": [
            {"name": "engines", "kind": "engine", "backend_servers": servers}
        ],
        "jobs": [
            {
                "name": "summary",
                "deadline_ms": 6000,
                "stages": [{"name": "generate", "pool": "engines"}],
            }
        ],
        "services": [],
    }


def _at_target(rows: list[dict[str, Any]]) -> dict[str, Any]:
    first, last = rows[0], rows[-1]
    row: dict[str, Any] = {"daemons": f"{TARGET} by slope", "replicas": 1800}
    # What a daemon holds grows with its data centre, of which there are ten
    # at the target and three here.
    before, after = first["daemons"] / 3, last["daemons"] / 3
    for key, value in last.items():
        if key not in {"daemons", "replicas"}:
            slope = (value - first.get(key, 0.0)) / (after - before)
            row[key] = value + slope * (TARGET / 10 - after)
    return row
