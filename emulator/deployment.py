"""A scenario as the product knows a deployment: routes, services, replicas."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from cactusdyke.clock import MS_PER_SECOND
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
from emulator.engines import Engine, PlainServer
from emulator.links import Backend, Links, ListedEntry
from emulator.stage_replicas import WAITING_CALLS, EmulatedStageReplica
from emulator.world import MB

if TYPE_CHECKING:
    from emulator.scenario import EngineService, Kind, PlainService, Scenario
    from emulator.world import World

GAP_MS = 300.0
LEAST_STREAM_PATIENCE_MS = 2_000.0
OBJECTIVES_WAITED = 4
MANY = 500


def configuration(scenario: Scenario) -> ServingConfiguration:
    """Returns what the operator would have configured."""
    services = {}
    for name, stage in scenario.stage_services.items():
        services[name] = ServiceSpec(
            name=name,
            max_connections=MANY,
            batching=BatchSpec(
                concurrent_calls=1,
                queued_calls=WAITING_CALLS,
                batch=stage.batch,
                call_ms=stage.call_ms,
                piece_ms=stage.piece_ms,
                result_capacity_bytes=stage.room_mb * MB,
                result_lifetime_ms=stage.lifetime_s * 1_000,
            ),
        )
    for name, engine in scenario.engine_services.items():
        services[name] = ServiceSpec(
            name=name,
            max_connections=MANY,
            engine=EngineSpec(slots=engine.slots, kv_tokens=engine.kv_tokens),
            cold_ms=engine.cold_s * MS_PER_SECOND,
            cold_requests_per_s=engine.cold_per_s,
        )
    for name, plain in scenario.plain_services.items():
        services[name] = ServiceSpec(
            name=name,
            max_connections=MANY,
            cold_ms=plain.cold_s * MS_PER_SECOND,
            cold_requests_per_s=plain.cold_per_s,
        )
    return ServingConfiguration(
        version=1,
        routes=tuple(
            _route(kind, public=not scenario.customers)
            for kind in scenario.kinds
        ),
        services=services,
        customers=tuple(
            Customer(
                name=customer.name,
                api_keys=frozenset({customer.name}),
                weight=customer.weight,
            )
            for customer in scenario.customers
        ),
        limits=CallerLimits(),
    )


def _route(kind: Kind, *, public: bool) -> Route:
    streaming = kind.events > 0
    repeat = RepeatPolicy.RESUMABLE if streaming else RepeatPolicy.IDEMPOTENT
    if kind.runs_once:
        repeat = RepeatPolicy.AT_MOST_ONCE
    return Route(
        name=kind.name,
        host="emulated",
        path_prefix=f"/{kind.name}/",
        targets=(WeightedService(service=kind.service, weight=1.0),),
        repeat_policy=repeat,
        streaming=streaming,
        max_attempts=2,
        timeout_ms=kind.patience_ms,
        objective_ms=kind.objective_ms,
        gap_objective_ms=GAP_MS,
        first_event_patience_ms=max(
            LEAST_STREAM_PATIENCE_MS, OBJECTIVES_WAITED * kind.objective_ms
        ),
        priority=kind.priority,
        public=public,
        generates=streaming,
        stages=tuple(
            StageSpec(
                service=stage.service,
                after=stage.after,
                result_bytes=stage.result_kb * 1_000,
            )
            for stage in kind.stages
        ),
    )


def add_backends(world: World, links: Links) -> None:
    """Starts every replica of the scenario."""
    for name, stage in world.scenario.stage_services.items():
        for number in range(stage.replicas):
            place = _place(world, name, number)
            links.add(EmulatedStageReplica(world=world, spec=stage, **place))
    for name, engine in world.scenario.engine_services.items():
        for number in range(engine.replicas):
            add_engine(world, links, name, number, version=engine.version)
    for name, plain in world.scenario.plain_services.items():
        for number in range(plain.replicas):
            place = _place(world, name, number) | _cold(plain)
            links.add(PlainServer(world=world, spec=plain, **place))


def add_engine(
    world: World, links: Links, service: str, number: int, *, version: str
) -> Engine:
    """Starts one engine."""
    spec = world.scenario.engine_services[service]
    place = _place(world, service, number) | _cold(spec)
    engine = Engine(world=world, spec=spec, version=version, **place)
    links.add(engine)
    return engine


def _cold(spec: EngineService | PlainService) -> dict[str, Any]:
    return {"cold_s": spec.cold_s, "cold_per_s": spec.cold_per_s}


def _place(world: World, service: str, number: int) -> dict[str, Any]:
    return {
        "name": f"{service}-{number}",
        "service": service,
        "data_centre": world.place(number),
    }


def replicas(links: Links) -> list[Replica]:
    """Returns the replicas that the platform lists now."""
    listed = [(b, b.entry) for b in links.backends.values()]
    return [
        _replica(backend, entry)
        for backend, entry in listed
        if entry is not None
    ]


def _replica(backend: Backend, entry: ListedEntry) -> Replica:
    return Replica(
        name=entry.name,
        version=entry.version,
        born=entry.born,
        service=backend.service,
        address=backend.address,
        data_centre=backend.data_centre,
        state=ReplicaState.READY,
        slots=backend.slots,
        cold_left_ms=backend.cold_left_ms,
    )
