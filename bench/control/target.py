"""A configuration of the target's size, and what changes to it cost."""

from __future__ import annotations

from typing import Any

import attrs

from cactusdyke.configuration import model, objects

CHANGES_PER_DAY = 8_600
MS_PER_DAY = 86_400_000
INTERVAL_MS = MS_PER_DAY / CHANGES_PER_DAY
CUSTOMERS = 210
REPLICAS = 1_800
MODELS = 12


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


def stored_target() -> dict[str, bytes]:
    """Returns the objects that hold the target's revision 1, by key."""
    plan = objects.plan(
        objects.split(target()),
        head=objects.NO_HEAD,
        references={},
        nonce="0" * 12,
    )
    stored = {objects.part_key(r): data for r, data in plan.new.items()}
    return {**stored, objects.HEAD_KEY: objects.encode(_head(plan, 1))}


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
