"""Decodes the objects that the operator and replicas write to the store."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

from result import Err, Ok, Result

from cactusdyke.clock import MS_PER_SECOND
from cactusdyke.errors import Failure, FailureKind
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

if TYPE_CHECKING:
    from cactusdyke.infrastructure.watched_store import StoreObject

DEFAULT_TIMEOUT_MS = 30_000.0
DEFAULT_CONNECTIONS = 64
BYTES_PER_MB = 1e6
LEAST_PATIENCE_MS = 2_000.0
"""Callers abandon a silent stream after this, or after four times the
objective or eight times the longest pause, whichever is longest."""

_MISFORMED = (KeyError, TypeError, ValueError, AttributeError)


def configuration(spec: Any) -> Result[ServingConfiguration, Failure]:
    """Decodes the operator's configuration; one error rejects all of it."""
    try:
        services = [_service(value) for value in spec["services"]]
        limits = spec.get("limits") or {}
        return Ok(
            ServingConfiguration(
                version=int(spec["version"]),
                routes=tuple(_route(value) for value in spec["routes"]),
                services={service.name: service for service in services},
                customers=tuple(
                    _customer(value) for value in spec.get("tenants") or ()
                ),
                limits=CallerLimits(
                    **{
                        name: limits[name]
                        for name in _LIMITS
                        if limits.get(name)
                    }
                ),
            )
        )
    except _MISFORMED as error:
        return Err(_bad(f"the configuration can't be read: {error!r}"))


def replica(entry: StoreObject) -> Result[Replica, Failure]:
    """Decodes one entry of the list of replicas."""
    try:
        spec = entry.spec
        host, _, port = spec["address"].rpartition(":")
        if not host or not 0 < int(port) < 1 << 16:
            raise ValueError(f"no address: {spec['address']!r}")
        born = spec.get("born", 0)
        return Ok(
            Replica(
                name=entry.name,
                service=_text(spec["service"]),
                address=_text(spec["address"]),
                data_centre=_text(spec.get("zone") or ""),
                state=ReplicaState(spec["state"]),
                slots=int(spec.get("capacity") or 1),
                version=_text(spec.get("version", "")),
                born=born if isinstance(born, int) else 0,
                cold_left_ms=_duration(spec.get("cold_left_ms")),
            )
        )
    except _MISFORMED as error:
        return Err(_bad(f"the entry {entry.name} can't be read: {error!r}"))


_LIMITS = (
    "max_header_bytes",
    "max_body_bytes",
    "header_timeout_ms",
    "idle_timeout_ms",
)


def _route(value: dict[str, Any]) -> Route:
    streaming = value["kind"] == "streaming"
    timeout_ms = float(value.get("timeout_ms") or DEFAULT_TIMEOUT_MS)
    objective_ms = float(value.get("target_latency_ms") or timeout_ms)
    gap_ms = float(value.get("target_gap_ms") or timeout_ms)
    return Route(
        name=_text(value["name"]),
        host=_text(value["host"]).lower(),
        path_prefix=_text(value["path_prefix"]),
        targets=_targets(value),
        repeat_policy=_repeat(value),
        streaming=streaming,
        max_attempts=max(1, int(value.get("max_attempts") or 1)),
        timeout_ms=timeout_ms,
        objective_ms=objective_ms,
        gap_objective_ms=gap_ms,
        first_event_patience_ms=(
            max(LEAST_PATIENCE_MS, 4 * objective_ms, 8 * gap_ms)
            if streaming
            else timeout_ms
        ),
        priority=int(value.get("priority") or 0),
        public=bool(value.get("public")),
        generates=bool(value.get("sticky")),
        stages=tuple(
            StageSpec(
                service=_text(stage["service"]),
                after=tuple(int(number) for number in stage.get("after") or ()),
                result_bytes=float(stage.get("bytes") or 0),
            )
            for stage in value.get("stages") or ()
        ),
    )


def _targets(value: dict[str, Any]) -> tuple[WeightedService, ...]:
    split = value.get("traffic_split")
    if split:
        return tuple(
            WeightedService(
                service=_text(part["service"]), weight=float(part["weight"])
            )
            for part in split
        )
    return (WeightedService(service=_text(value["service"]), weight=1.0),)


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
        name=_text(value["name"]),
        max_connections=int(value.get("max_conns") or DEFAULT_CONNECTIONS),
        health_path=_text(value.get("health_path") or ""),
        engine=(
            EngineSpec(
                slots=int(engine.get("capacity") or 1),
                kv_tokens=int(engine.get("kv_capacity_tokens") or 0),
            )
            if engine
            else None
        ),
        batching=_batching(pieces) if pieces else None,
        cold_ms=float(value.get("cold_s") or 0) * MS_PER_SECOND,
        cold_requests_per_s=float(value.get("cold_per_s") or 0),
    )


def _batching(value: dict[str, Any]) -> BatchSpec:
    return BatchSpec(
        concurrent_calls=max(1, int(value.get("capacity") or 1)),
        queued_calls=int(value.get("queue") or 0),
        batch=max(1, int(value.get("batch") or 1)),
        call_ms=float(value.get("call_ms") or 0),
        piece_ms=float(value.get("item_ms") or 0),
        result_capacity_bytes=float(value["headroom_mb"]) * BYTES_PER_MB,
        result_lifetime_ms=float(value.get("handle_s") or 1) * MS_PER_SECOND,
    )


def _customer(value: dict[str, Any]) -> Customer:
    priority = value.get("priority")
    return Customer(
        name=_text(value["name"]),
        api_keys=frozenset(_text(key) for key in value.get("api_keys") or ()),
        priority=int(priority) if priority is not None else None,
    )


def _duration(value: Any) -> float | None:
    """Returns a duration in milliseconds, None if it is not stated."""
    if value is None:
        return None
    duration_ms = float(value)
    if not math.isfinite(duration_ms) or duration_ms < 0:
        raise ValueError(f"no duration: {value!r}")
    return duration_ms


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"a text is needed in place of {value!r}")
    return value


def _bad(detail: str) -> Failure:
    return Failure(kind=FailureKind.INVALID, detail=detail)
