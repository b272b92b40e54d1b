"""The core of a daemon: serving of requests, without platform and network."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusdyke.serving.attempt import AttemptRunner
from cactusdyke.serving.brittle_replicas import BrittleRequestLimit
from cactusdyke.serving.cold_replicas import ColdRequestLimit
from cactusdyke.serving.connection_share import ConnectionShare
from cactusdyke.serving.daemon_count import DaemonCount
from cactusdyke.serving.decided_services import DecidedServices
from cactusdyke.serving.decider import Decider
from cactusdyke.serving.decider_directory import DeciderDirectory
from cactusdyke.serving.decider_interface import DeciderInterface
from cactusdyke.serving.dispatch import (
    NOTIFICATIONS_PATH,
    PLACEMENT_PATH,
    STAGE_PATH,
    Dispatch,
)
from cactusdyke.serving.end_check import EndCheck
from cactusdyke.serving.forwarder import Forwarder
from cactusdyke.serving.health import ReplicaHealth
from cactusdyke.serving.limit_exchange import LIMITS_PATH, LimitExchange
from cactusdyke.serving.peer_watch import ALIVE_PATH, PeerWatch
from cactusdyke.serving.quarantine import CRASHES_PATH, Quarantine
from cactusdyke.serving.reach_check import ReachCheck
from cactusdyke.serving.relay import Relay
from cactusdyke.serving.relay_choice import RelayChoice
from cactusdyke.serving.replica_choice import ReplicaChoice
from cactusdyke.serving.replica_connections import ReplicaConnections
from cactusdyke.serving.replica_paths import ReplicaPaths
from cactusdyke.serving.request_limits import RequestLimits
from cactusdyke.serving.retry_budget import RetryBudget
from cactusdyke.serving.retry_policy import RetryPolicy
from cactusdyke.serving.return_questions import RETURN_PATH, ReturnQuestions
from cactusdyke.serving.stages import StageRunner
from cactusdyke.serving.stated_limits import StatedLimits
from cactusdyke.serving.stated_request_limit import StatedRequestLimit
from cactusdyke.serving.statement_exchange import (
    STATEMENTS_PATH,
    StatementExchange,
)
from cactusdyke.serving.stream_continuation import StreamContinuation
from cactusdyke.serving.stream_exchange import STREAMS_PATH, StreamExchange
from cactusdyke.serving.stream_origins import StreamOrigins
from cactusdyke.serving.untold_origins import UntoldOrigins

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from cactusdyke.clock import Clock
    from cactusdyke.kernel import Service
    from cactusdyke.membership.attachments import Attachment
    from cactusdyke.observe.tracing import Tracing
    from cactusdyke.serving.cold_replicas import ColdAllowance
    from cactusdyke.serving.deployment import Deployment
    from cactusdyke.serving.dialect import Dialect
    from cactusdyke.serving.metrics import ServingMetrics
    from cactusdyke.serving.model import Replica
    from cactusdyke.serving.peers import PeerDaemons
    from cactusdyke.serving.planned_stop import StopTimes
    from cactusdyke.serving.quarantine import QuarantineStore
    from cactusdyke.serving.retry_budget import RetryAllowance
    from cactusdyke.serving.untold_origins import OriginStore
    from cactusdyke.transport.exchange import BackendConnections
    from cactusdyke.transport.memory_budget import MemoryBudget
    from cactusdyke.transport.messages import Handler
    from cactusdyke.transport.network import Network
    from cactusdyke.transport.tunnel import TunnelGate, Tunnels


class ServingCore:
    """Composes the services that serve requests from given adapters.

    The users' platform, the emulator and the tests pass in their own dialect,
    networks and clock; the code that takes decisions is the same for all.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        network: Network,
        connections: BackendConnections,
        tunnels: Tunnels,
        dialect: Dialect,
        deployment: Deployment,
        daemons: PeerDaemons,
        data_centre: str,
        retry_allowance: Callable[[], RetryAllowance],
        cold_allowance: Callable[[], ColdAllowance],
        stop_times: Callable[[], StopTimes],
        announce: Callable[[], None],
        quarantine_store: QuarantineStore,
        origin_store: OriginStore,
        metrics: ServingMetrics,
        tracing: Tracing,
        memory: MemoryBudget | None = None,
    ) -> None:
        self._watch = PeerWatch(clock=clock, network=network)
        self._deciders = DeciderDirectory(
            clock=clock, daemons=daemons, watch=self._watch
        )
        paths = self._paths = ReplicaPaths(clock=clock)
        deployment.on_change(
            lambda: paths.remove_unknown(deployment.replica_addresses)
        )
        check = ReachCheck(
            clock=clock,
            rng=rng,
            direct=connections,
            deployment=deployment,
            paths=paths,
        )
        self._relay = Relay(
            clock=clock,
            check=check,
            deployment=deployment,
            paths=paths,
            stop_times=stop_times,
        )
        self._relay.budget = memory
        metrics.watch_paths(paths)
        metrics.watch_relay(self._relay)
        self._connections = replica_connections = ReplicaConnections(
            clock=clock,
            direct=connections,
            tunnels=tunnels,
            check=check,
            paths=paths,
            relays=RelayChoice(
                clock=clock, rng=rng, daemons=daemons, watch=self._watch
            ),
            deployment=deployment,
            metrics=metrics,
        )
        deployment.on_change(
            lambda: replica_connections.remove_unknown(
                deployment.replica_addresses
            )
        )
        stated_limits = StatedLimits(clock=clock)
        metrics.watch_limits(stated_limits)
        decided = DecidedServices(clock=clock, deciders=self._deciders)
        request_limits = self._request_limits = RequestLimits(
            clock=clock,
            cold=ColdRequestLimit(
                clock=clock,
                deployment=deployment,
                allowance=cold_allowance,
                is_announced_decider=decided.announced,
                sees_most_daemons=daemons.sees_most,
            ),
            stated=StatedRequestLimit(
                clock=clock,
                limits=stated_limits,
                announced_since=decided.announced_since,
                sees_most_daemons=daemons.sees_most,
            ),
            brittle=BrittleRequestLimit(
                clock=clock,
                limits=stated_limits,
                announced_since=decided.announced_since,
                sees_most_daemons=daemons.sees_most,
                in_flight=self._in_flight,
            ),
            stated_limits=stated_limits,
        )
        deployment.on_change(
            lambda: request_limits.remove_unknown(deployment.replica_names)
        )
        self._decider = Decider(
            clock=clock,
            deployment=deployment,
            dialect=dialect,
            connections=replica_connections,
            tracing=tracing,
            request_limits=request_limits,
        )
        metrics.watch_returns(self._decider.return_count)
        self._interface = DeciderInterface(
            deciders=self._deciders, decider=self._decider
        )
        self._dispatch = Dispatch(
            clock=clock,
            network=network,
            deciders=self._deciders,
            watch=self._watch,
            decider=self._decider,
            decided=decided,
            deployment=deployment,
            stated_limits=stated_limits,
            announce=announce,
        )
        self._limit_exchange = LimitExchange(
            clock=clock,
            network=network,
            daemons=daemons,
            deciders=self._deciders,
            limits=stated_limits,
        )
        self._statement_exchange = StatementExchange(
            clock=clock,
            rng=rng,
            network=network,
            daemons=daemons,
            deployment=deployment,
            relay_of=replica_connections.relay_of,
        )
        self._quarantine = Quarantine(
            clock=clock,
            network=network,
            connections=replica_connections,
            daemons=daemons,
            store=quarantine_store,
            metrics=metrics,
        )
        origins = StreamOrigins(clock=clock)
        self._untold_origins = UntoldOrigins(
            clock=clock, origins=origins, store=origin_store
        )
        self._stream_exchange = StreamExchange(
            clock=clock,
            network=network,
            daemons=daemons,
            origins=origins,
            untold=self._untold_origins,
        )
        continuation = StreamContinuation(
            clock=clock,
            deployment=deployment,
            dialect=dialect,
            connections=replica_connections,
            origins=origins,
            exchange=self._stream_exchange,
        )
        health = ReplicaHealth(clock=clock)
        daemon_count = DaemonCount(
            clock=clock,
            daemons=daemons,
            window_ms=lambda: retry_allowance().window_ms,
        )
        budget = self._retry_budget = RetryBudget(
            clock=clock,
            allowance=retry_allowance,
            daemon_count=daemon_count,
        )
        metrics.watch_retries(budget)
        retry_policy = RetryPolicy(
            rng=rng,
            data_centre=data_centre,
            deployment=deployment,
            health=health,
            budget=budget,
            connection_share=ConnectionShare(
                deployment=deployment,
                health=health,
                daemon_count=daemon_count,
            ),
            request_limits=request_limits,
            continuation=continuation,
        )
        self._forwarder = Forwarder(
            clock=clock,
            rng=rng,
            dialect=dialect,
            deployment=deployment,
            choice=ReplicaChoice(
                dispatch=self._dispatch,
                retry_policy=retry_policy,
                continuation=continuation,
                statements=deployment.statements,
            ),
            stages=StageRunner(
                clock=clock,
                rng=rng,
                dispatch=self._dispatch,
                deployment=deployment,
                returns=ReturnQuestions(
                    clock=clock,
                    network=network,
                    deciders=self._deciders,
                    watch=self._watch,
                    decider=self._decider,
                ),
            ),
            attempts=AttemptRunner(
                clock=clock,
                dialect=dialect,
                connections=replica_connections,
                stated_limits=stated_limits,
                statements=deployment.statements,
                memory=memory,
                loads=deployment.loads,
                end_check=EndCheck(
                    clock=clock,
                    dialect=dialect,
                    connections=replica_connections,
                    deployment=deployment,
                ),
            ),
            retry_policy=retry_policy,
            health=health,
            budget=budget,
            quarantine=self._quarantine,
            continuation=continuation,
            stop=stop_times,
            metrics=metrics,
            tracing=tracing,
        )

    @property
    def forwarder(self) -> Forwarder:
        """The handler of callers' requests."""
        return self._forwarder

    @property
    def quarantine(self) -> Quarantine:
        """The quarantine of requests that crash replicas."""
        return self._quarantine

    @property
    def retry_budget(self) -> RetryBudget:
        """This process's part of the retry allowance of each service."""
        return self._retry_budget

    @property
    def pending_retries(self) -> int:
        """Retries that are charged to the retry budget and not sent yet."""
        return self._retry_budget.pending_count

    @property
    def tunnel_gate(self) -> TunnelGate:
        """Decides which connections are made for other daemons."""
        return self._relay

    @property
    def cut_off(self) -> bool:
        """Whether this daemon has lost its own paths to all replicas."""
        return self._paths.cut_off

    @property
    def limits_attachment(self) -> Attachment:
        """Attaches the limits of replicas to gossip messages."""
        return self._limit_exchange.attachment

    @property
    def statements_attachment(self) -> Attachment:
        """Attaches the replicas that leave to gossip messages."""
        return self._statement_exchange.attachment

    @property
    def decided_service_hashes(self) -> frozenset[int]:
        """Hashes of the services that this daemon announces to decide for."""
        return self._dispatch.decided_hashes

    def decider_of(self, service: str) -> str:
        """Returns the name of a service's decider in this daemon's view."""
        return self._deciders.decider_by_membership(service).name

    def _in_flight(self, replica: Replica) -> int:
        return self._decider.in_flight(replica)

    @property
    def services(self) -> dict[str, Service]:
        """The services to run, by name, in the order in which they start."""
        return {
            "peer_watch": self._watch,
            "relay": self._relay,
            "replica_connections": self._connections,
            "decider": self._decider,
            "dispatch": self._dispatch,
            "limit_exchange": self._limit_exchange,
            "statement_exchange": self._statement_exchange,
            "stream_exchange": self._stream_exchange,
            "untold_origins": self._untold_origins,
            "quarantine": self._quarantine,
            "forwarder": self._forwarder,
        }

    @property
    def peer_routes(self) -> list[tuple[str, str, Handler]]:
        """The routes for other daemons' calls, as (method, path, handler)."""
        return [
            ("POST", STAGE_PATH, self._interface.handle_stage),
            ("POST", PLACEMENT_PATH, self._interface.handle_placement),
            ("POST", NOTIFICATIONS_PATH, self._interface.handle_notifications),
            ("POST", RETURN_PATH, self._interface.handle_return_time),
            ("GET", ALIVE_PATH, self._watch.handle),
            ("POST", CRASHES_PATH, self._quarantine.handle),
            ("GET", CRASHES_PATH, self._quarantine.show),
            ("POST", LIMITS_PATH, self._limit_exchange.handle),
            ("POST", STREAMS_PATH, self._stream_exchange.handle),
            ("POST", STATEMENTS_PATH, self._statement_exchange.handle),
        ]
