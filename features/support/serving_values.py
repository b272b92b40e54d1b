"""Default values for tests of serving."""

from __future__ import annotations

from cactusdyke.serving.brittle_replicas import BrittleRequestLimit
from cactusdyke.serving.cold_replicas import ColdAllowance, ColdRequestLimit
from cactusdyke.serving.daemon_count import DaemonCount
from cactusdyke.serving.peers import PeerDaemons
from cactusdyke.serving.request import ClientRequest, ServingContext
from cactusdyke.serving.request_limits import RequestLimits
from cactusdyke.serving.stated_limits import StatedLimits
from cactusdyke.serving.stated_request_limit import StatedRequestLimit
from cactusdyke.transport.exchange import BackendConnections, ExchangeError
from cactusdyke.transport.tunnel import Tunnels, TunnelUnavailableError


class CountedDaemons(PeerDaemons):
    """Daemons of which only the number is known."""

    count_known_at = 0.0

    def __init__(self, count):
        self.count = count

    def all(self):
        return ()

    def estimated_count(self):
        return self.count


def daemon_count_of(daemons, clock):
    return DaemonCount(clock=clock, daemons=daemons, window_ms=lambda: 10_000.0)


def daemon_count(count, clock):
    return daemon_count_of(CountedDaemons(count), clock)


def client_request(pieces=(), **changes):
    fields = {
        "request_id": "request",
        "method": "POST",
        "host": "h",
        "target": "/a/x",
        "path": "/a/x",
        "headers": (),
        "body": b"",
        "api_key": "",
        "patience_ms": 5_000.0,
        "generation": None,
        "piece_counts": tuple(pieces),
        "piece_key": "key",
        "resume_after": None,
        "arrived_at": 0.0,
    }
    return ClientRequest(**{**fields, **changes})


def serving_context(route, pieces=(), **changes):
    return ServingContext(
        request=client_request(pieces, **changes),
        route=route,
        service=route.targets[0].service,
        customer=None,
        priority=route.priority,
        deadline_at=2_000.0,
        start_deadline_at=2_000.0,
        caller_waits_until=5_000.0,
        objective_at=300.0,
    )


def request_limits(clock, deployment, *, announced=True, **allowance):
    """Returns the limits of a daemon that is the decider and sees all others.

    Args:
        clock: The clock.
        deployment: The deployment.
        announced: Whether the daemon has announced that it is the decider.
        allowance: What all daemons may send to a cold replica.
    """
    stated_limits = StatedLimits(clock=clock)
    return RequestLimits(
        clock=clock,
        cold=ColdRequestLimit(
            clock=clock,
            deployment=deployment,
            allowance=lambda: ColdAllowance(**allowance),
            is_announced_decider=lambda service: announced,
            sees_most_daemons=lambda: True,
        ),
        stated=StatedRequestLimit(
            clock=clock,
            limits=stated_limits,
            announced_since=lambda service: 0.0 if announced else None,
            sees_most_daemons=lambda: True,
        ),
        brittle=BrittleRequestLimit(
            clock=clock,
            limits=stated_limits,
            announced_since=lambda service: 0.0 if announced else None,
            sees_most_daemons=lambda: True,
            in_flight=lambda replica: 0,
        ),
        stated_limits=stated_limits,
    )


class NoConnections(BackendConnections):
    """Refuses every connection attempt."""

    def connect(self, address):
        raise ExchangeError(f"{address}: connection refused", sent=False)


class NoReturnTimes:
    """Stub of questions that no decider answers."""

    async def ask(self, question):
        del question


class NoTunnels(Tunnels):
    """Has no daemon that makes connections for others."""

    def connect(self, relay, address):
        raise TunnelUnavailableError(f"{relay}: connection refused")
