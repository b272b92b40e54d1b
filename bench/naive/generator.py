"""The generator written twice: plain dictionaries, key by key."""

from __future__ import annotations

from typing import Any


def generate(answers: dict[str, Any]) -> dict[str, Any]:
    """Returns the configuration of valid answers as plain JSON."""
    value: dict[str, Any] = {
        "revision": 0,
        "policy": {
            "deployment": answers["deployment"],
            "attainment_weight": float(answers["attainment_against_cost"]),
            "when_unconfirmed": answers["when_cut_off"],
            "unconfirmed_after_ms": float(
                answers.get("cut_off_after_ms", 30_000)
            ),
        },
        "customers": {},
        "operators": {},
        "pools": {},
        "pipelines": {},
        "services": {},
    }
    for operator in answers["operators"]:
        value["operators"][operator["name"]] = {
            "name": operator["name"],
            "token_hashes": list(operator["token_hashes"]),
        }
    for customer in answers["customers"]:
        value["customers"][customer["name"]] = {
            "name": customer["name"],
            "token_hashes": list(customer["token_hashes"]),
            "requests_per_second": float(customer["requests_per_second"]),
            "burst": float(customer["burst"]),
            "share": float(customer.get("share", 1)),
            "priority": customer.get("priority", 0),
        }
    for pool in answers["pools"]:
        servers = []
        for server in pool["backend_servers"]:
            servers.append(
                {
                    "name": server["name"],
                    "address": server["address"],
                    "data_centre": server["data_centre"],
                    "accelerator": server.get("accelerator", "none"),
                    "speed": float(server.get("speed", 1)),
                    "price_per_second": float(
                        server.get("price_per_second", 0)
                    ),
                    "slots": server.get("slots", 8),
                }
            )
        value["pools"][pool["name"]] = {
            "name": pool["name"],
            "kind": pool["kind"],
            "backend_servers": sorted(servers, key=lambda s: s["name"]),
            "checks_fencing": pool.get("checks_fencing_numbers", False),
            "calls_repeatable": pool.get("calls_may_be_repeated", True),
            "models": list(pool.get("models", [])),
        }
    for job in answers["jobs"]:
        stages = []
        for stage in job["stages"]:
            stages.append(
                {
                    "name": stage["name"],
                    "pool": stage["pool"],
                    "model": stage.get("model", ""),
                    "expected_ms": float(stage.get("usually_takes_ms", 100)),
                }
            )
        value["pipelines"][job["name"]] = {
            "name": job["name"],
            "stages": stages,
            "deadline_ms": float(job["deadline_ms"]),
            "priority": job.get("priority", 0),
        }
    for service in answers.get("services", []):
        value["services"][service["name"]] = {
            "name": service["name"],
            "pool": service["pool"],
            "idempotent": not service["must_never_happen_twice"],
            "deadline_ms": float(service["deadline_ms"]),
        }
    return value
