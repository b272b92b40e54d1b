"""Decodes the objects that the operator and replicas write to the store."""

from __future__ import annotations

import graphlib
from typing import TYPE_CHECKING, Any

from result import Err, Ok, Result

from cactusdyke.clock import MS_PER_SECOND
from cactusdyke.errors import DECODING_ERRORS, Failure, FailureKind
from cactusdyke.platform.values import (
    header_value,
    number,
    text,
    whole_number,
)
from cactusdyke.serving.model import (
    BatchSpec,
    CallerLimits,
    Customer,
    EngineSpec,
    RepeatPolicy,
    Replica,
    ReplicaState,
    Route,
    ServiceSpec,
    ServingConfiguration,
    StageSpec,
    WeightedService,
)
from cactusdyke.transport.network_address import NetworkAddress

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cactusdyke.infrastructure.watched_store import StoreObject

DEFAULT_TIMEOUT_MS = 30_000.0
DEFAULT_CONNECTIONS = 64
BYTES_PER_MB = 1e6
LEAST_PATIENCE_MS = 2_000.0
"""Callers abandon a silent stream after this, or after four times the
objective or eight times the longest pause, whichever is longest."""


def configuration(spec: Any) -> Result[ServingConfiguration, Failure]:
    """Decodes the operator's configuration; one error rejects all of it."""
    try:
        services = [_service(value) for value in spec["services"]]
        return Ok(
            ServingConfiguration(
                version=whole_number(spec["version"]),
                routes=tuple(_route(value) for value in spec["routes"]),
                services={service.name: service for service in services},
                customers=tuple(
                    _customer(value) for value in spec.get("tenants") or ()
                ),
                limits=_caller_limits(spec.get("limits") or {}),
            )
        )
    except DECODING_ERRORS as error:
        return Err(_bad(f"the configuration can't be read: {error!r}"))


def replica(entry: StoreObject) -> Result[Replica, Failure]:
    """Decodes one entry of the list of replicas.

    A replica states all fields but `born`, which not every platform has. An
    entry that lacks others is of another writer.
    """
    try:
        spec = entry.spec
        whole_number(spec["seq"])
        return Ok(
            Replica(
                name=header_value(entry.name),
                service=text(spec["service"]),
                address=str(NetworkAddress.parse(spec["address"])),
                data_centre=text(spec["zone"]),
                state=ReplicaState(spec["state"]),
                slots=whole_number(spec["capacity"], least=1),
                version=text(spec["version"]),
                born=whole_number(spec.get("born", 0)),
                cold_left_ms=number(spec["cold_left_ms"]),
            )
        )
    except DECODING_ERRORS as error:
        return Err(_bad(f"the entry {entry.name} can't be read: {error!r}"))


def _caller_limits(value: dict[str, Any]) -> CallerLimits:
    default = CallerLimits()
    return CallerLimits(
        max_header_bytes=whole_number(
            value.get("max_header_bytes") or default.max_header_bytes
        ),
        max_body_bytes=whole_number(
            value.get("max_body_bytes") or default.max_body_bytes
        ),
        header_timeout_ms=number(
            value.get("header_timeout_ms") or default.header_timeout_ms
        ),
        idle_timeout_ms=number(
            value.get("idle_timeout_ms") or default.idle_timeout_ms
        ),
    )


def _route(value: dict[str, Any]) -> Route:
    streaming = value["kind"] == "streaming"
    timeout_ms = number(value.get("timeout_ms") or DEFAULT_TIMEOUT_MS)
    objective_ms = number(value.get("target_latency_ms") or timeout_ms)
    gap_ms = number(value.get("target_gap_ms") or timeout_ms)
    return Route(
        name=text(value["name"]),
        host=text(value["host"]).lower(),
        path_prefix=text(value["path_prefix"]),
        targets=_targets(value),
        repeat_policy=_repeat(value),
        streaming=streaming,
        max_attempts=max(1, whole_number(value.get("max_attempts") or 1)),
        timeout_ms=timeout_ms,
        objective_ms=objective_ms,
        gap_objective_ms=gap_ms,
        first_event_patience_ms=(
            max(LEAST_PATIENCE_MS, 4 * objective_ms, 8 * gap_ms)
            if streaming
            else timeout_ms
        ),
        priority=whole_number(value.get("priority") or 0),
        public=bool(value.get("public")),
        generates=bool(value.get("sticky")),
        stages=_stages(value.get("stages") or ()),
    )


def _stages(values: Sequence[dict[str, Any]]) -> tuple[StageSpec, ...]:
    stages = tuple(
        StageSpec(
            service=text(stage["service"]),
            after=tuple(
                whole_number(before, most=len(values) - 1)
                for before in stage.get("after") or ()
            ),
            result_bytes=number(stage.get("bytes") or 0),
        )
        for stage in values
    )
    graph = {n: stage.after for n, stage in enumerate(stages)}
    graphlib.TopologicalSorter(graph).prepare()
    return stages


def _targets(value: dict[str, Any]) -> tuple[WeightedService, ...]:
    split = value.get("traffic_split")
    if split:
        return tuple(
            WeightedService(
                service=text(part["service"]), weight=number(part["weight"])
            )
            for part in split
        )
    return (WeightedService(service=text(value["service"]), weight=1.0),)


def _repeat(value: dict[str, Any]) -> RepeatPolicy:
    if value["kind"] == "idempotent":
        return RepeatPolicy.IDEMPOTENT
    if value["kind"] == "streaming" and value.get("resumable"):
        return RepeatPolicy.RESUMABLE
    return RepeatPolicy.AT_MOST_ONCE


def _service(value: dict[str, Any]) -> ServiceSpec:
    engine = value.get("engine")
    pieces = value.get("pieces")
    return ServiceSpec(
        name=text(value["name"]),
        max_connections=whole_number(
            value.get("max_conns") or DEFAULT_CONNECTIONS
        ),
        health_path=text(value.get("health_path") or ""),
        engine=(
            EngineSpec(
                slots=whole_number(engine.get("capacity") or 1),
                kv_tokens=whole_number(engine.get("kv_capacity_tokens") or 0),
            )
            if engine
            else None
        ),
        batching=_batching(pieces) if pieces else None,
        cold_ms=number(value.get("cold_s") or 0) * MS_PER_SECOND,
        cold_requests_per_s=number(value.get("cold_per_s") or 0),
    )


def _batching(value: dict[str, Any]) -> BatchSpec:
    return BatchSpec(
        concurrent_calls=whole_number(value.get("capacity") or 1, least=1),
        queued_calls=whole_number(value.get("queue") or 0),
        batch=whole_number(value.get("batch") or 1, least=1),
        call_ms=number(value.get("call_ms") or 0),
        piece_ms=number(value.get("item_ms") or 0),
        result_capacity_bytes=number(value["headroom_mb"]) * BYTES_PER_MB,
        result_lifetime_ms=number(value.get("handle_s") or 1) * MS_PER_SECOND,
    )


def _customer(value: dict[str, Any]) -> Customer:
    priority = value.get("priority")
    return Customer(
        name=text(value["name"]),
        api_keys=frozenset(text(key) for key in value.get("api_keys") or ()),
        priority=whole_number(priority) if priority is not None else None,
    )


def _bad(detail: str) -> Failure:
    return Failure(kind=FailureKind.INVALID, detail=detail)
