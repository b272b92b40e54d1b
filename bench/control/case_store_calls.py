"""Calls to the object service by kind, and bytes that a change costs."""

from __future__ import annotations

import contextlib
from typing import Any
from unittest import mock

import attrs

from bench.control.configuration_fleet import FleetWorld, play
from cactusdyke.configuration import model, objects, peers

SIZES = (6, 12, 24, 48)
CHANGES_PER_DAY = 8_600
MS_PER_DAY = 86_400_000
INTERVAL_MS = MS_PER_DAY / CHANGES_PER_DAY
CHANGES = 12
OUTAGE_MS = 3_600_000.0
TINY_OUTAGE_MS = 20_000.0
AFTER_MS = 30_000.0
KINDS = {
    "read": "reads",
    "write": "writes",
    "list": "lists",
    "watch": "watches",
}
CUSTOMERS = 210
REPLICAS = 1_800
MODELS = 12


async def steady(world: FleetWorld, changes: int) -> dict[str, float]:
    """Counts calls while changes come as often as at the target."""
    world.reset()
    began = world.hub.clock.now()
    for _ in range(changes):
        await world.hub.clock.sleep(INTERVAL_MS)
        await world.change_one()
    seconds = (world.hub.clock.now() - began) / 1_000
    return {
        **{
            f"{plural}_per_s": world.calls[kind] / seconds
            for kind, plural in KINDS.items()
        },
        "store_kb_per_s_per_daemon": (
            world.bytes_read / 1_000 / seconds / len(world.revisions())
        ),
    }


async def outage(world: FleetWorld, duration_ms: float) -> dict[str, float]:
    """Counts calls through an outage and after its end."""
    world.reset()
    world.deployment.store.faults["down"] = True
    await world.hub.clock.sleep(duration_ms)
    calls = world.calls.total()
    world.deployment.store.faults["down"] = False
    world.reset()
    await world.hub.clock.sleep(AFTER_MS)
    return {
        "outage_s": duration_ms / 1_000,
        "calls_per_s_per_daemon_in_it": (
            calls / duration_ms * 1_000 / len(world.revisions())
        ),
        "most_calls_in_a_second_after_it": max(world.by_second.values()),
    }


def target() -> model.Configuration:
    """Returns a configuration of the target's size."""
    per_model = REPLICAS // MODELS
    return model.Configuration(
        revision=1,
        customers={
            f"customer-{number:03}": model.Customer(
                name=f"customer-{number:03}",
                token_hashes=("0" * 64, "1" * 64),
                requests_per_second=4.5,
                burst=20.0,
            )
            for number in range(CUSTOMERS)
        },
        pools={
            f"pool-{number}": model.Pool(
                name=f"pool-{number}",
                kind=model.PoolKind.ENGINE,
                backend_servers=tuple(
                    model.BackendServer(
                        name=f"model-{number}-{replica:04}",
                        address=f"10.{number}.{replica // 250}"
                        f".{replica % 250}:8000",
                        data_centre=f"data-centre-{replica % 10}",
                        accelerator="accelerator-a",
                    )
                    for replica in range(per_model)
                ),
            )
            for number in range(MODELS)
        },
    )


def _limit(configuration: model.Configuration) -> model.Configuration:
    changed = attrs.evolve(configuration.customers["customer-007"], burst=30.0)
    return attrs.evolve(
        configuration,
        customers={**configuration.customers, changed.name: changed},
    )


def _replica(configuration: model.Configuration) -> model.Configuration:
    pool = configuration.pools["pool-3"]
    servers = list(pool.backend_servers)
    servers[70] = attrs.evolve(servers[70], address="10.99.0.1:8000")
    changed = attrs.evolve(pool, backend_servers=tuple(servers))
    return attrs.evolve(
        configuration, pools={**configuration.pools, pool.name: changed}
    )


def change_costs() -> list[dict[str, Any]]:
    """Returns the bytes that a daemon reads for a change, by layout."""
    first = target()
    whole = objects.split(first)
    plan = objects.plan(
        whole, head=objects.NO_HEAD, references={}, nonce="0" * 12
    )
    head = _head(plan, 1)
    references = {}
    for manifest in plan.manifests:
        listed = objects.decode(
            plan.new[manifest], dict[str, str], name="manifest"
        )
        references.update(listed.unwrap())
    rows = []
    for change in (_limit, _replica):
        parts = objects.split(change(first))
        again = objects.plan(
            parts, head=head, references=references, nonce="1" * 12
        )
        new_head = len(objects.encode(_head(again, 2)))
        pool = len(objects.encode(change(first).pools["pool-3"]))
        customer = len(parts["customers/customer-007"])
        flat_head = sum(len(name) + 38 for name in whole)
        layouts = {
            "one object": sum(map(len, parts.values())),
            "flat head, a part a pool": flat_head
            + (customer if change is _limit else pool),
            "manifests, split pools": new_head
            + sum(map(len, again.new.values())),
        }
        for layout, size in layouts.items():
            rows.append(
                {
                    "column": layout,
                    "change": change.__name__.strip("_"),
                    "bytes_per_change": size,
                    "bytes_per_s_at_target": size * 1_000 / INTERVAL_MS,
                }
            )
    return rows


def _head(plan: objects.Plan, revision: int) -> objects.Head:
    return objects.Head(
        revision=revision,
        submission="0" * 32,
        operator="operator",
        nonce="0" * 12,
        content="0" * 32,
        manifests=plan.manifests,
        changed=plan.changed[: objects.MAX_CHANGED_NAMES],
        changed_count=len(plan.changed),
    )


def _watchers(count: int | None) -> contextlib.AbstractContextManager[Any]:
    """Sets how many daemons of a data centre watch, None for the usual."""
    if count is None:
        return contextlib.nullcontext()
    return mock.patch.object(peers, "WATCHERS_PER_DATA_CENTRE", count)


def run_case(*, tiny: bool) -> list[dict[str, Any]]:
    """Returns a row for each size and column, and for each layout."""
    rows = []
    for size in SIZES[:1] if tiny else SIZES:
        for column in ("naive", "all daemons watch", "project"):
            with _watchers(1_000 if column.startswith("all") else None):
                counted = play(
                    lambda world: steady(world, 2 if tiny else CHANGES),
                    daemons=size,
                    column="naive" if column == "naive" else "project",
                )
            rows.append({"column": column, "daemons": size, **counted})
    for guarded in (False, True):
        duration_ms = TINY_OUTAGE_MS if tiny else OUTAGE_MS
        counted = play(
            lambda world, ms=duration_ms: outage(world, ms),
            daemons=SIZES[0],
            column="project",
            guarded=guarded,
        )
        column = "project" if guarded else "project, unguarded store"
        rows.append({"column": column, "daemons": SIZES[0], **counted})
    return rows + change_costs()
