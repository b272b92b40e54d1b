"""Decodes the platform's settings file."""

from __future__ import annotations

import math
import os
import pathlib
from typing import Any

import attrs
import yaml
from result import Err, Ok, Result

from cactusdyke.errors import DECODING_ERRORS, Failure, FailureKind
from cactusdyke.serving.cold_replicas import ColdAllowance
from cactusdyke.serving.retry_budget import RetryAllowance
from cactusdyke.serving.state_timings import STRICTEST_APPLY_MS, StateTimings
from cactusdyke.settings import Peer, Settings

METRICS_VARIABLE = "CACTUSDYKE_METRICS_PORT"
MOST_PORT = 65_535
PATH_VARIABLE = "CACTUSDYKE_CONFIG"


@attrs.frozen(kw_only=True)
class Endpoint:
    """An address to listen on."""

    host: str
    port: int

    @property
    def address(self) -> str:
        """The address as `ip:port`."""
        return f"{self.host}:{self.port}"


@attrs.frozen(kw_only=True)
class PlatformSettings:
    """The settings of one process.

    Attributes:
        node: The daemon's name.
        zone: The data centre that the host stands in.
        region: The region of the data centre.
        front: Where callers connect.
        ready: Address of the readiness check.
        directory: Where callers ask for addresses.
        peer: Where other daemons connect; `control` on the wire, which
            nobody else calls.
        seeds: Addresses of other daemons, which may be stale.
        store: Address of the platform's store.
        grace_ms: From SIGTERM to SIGKILL.
        address_ttl_ms: Longest time that callers may keep an address.
        retries: What all daemons may spend on retries, by service.
        memory_mb: Memory at which the process is killed, None if not told.
        max_fds: Descriptors that the process may have, None if not told.
        cores: The host's processor, in cores.
        link_mbps: The host's own link.
        cold_requests: What all daemons may send to a cold replica.
        follows_evacuations: Whether the operator may evacuate data centres.
        state_timings: Times that follow from how soon changes must be in
            force.
    """

    node: str
    zone: str
    region: str
    front: Endpoint
    ready: Endpoint
    directory: Endpoint
    peer: Endpoint
    seeds: tuple[str, ...]
    store: str
    grace_ms: float
    address_ttl_ms: float
    retries: RetryAllowance
    memory_mb: float | None
    max_fds: int | None
    cores: float
    link_mbps: float
    cold_requests: ColdAllowance
    follows_evacuations: bool
    state_timings: StateTimings

    def product_settings(self) -> Settings:
        """Returns the settings of the product's own daemon."""
        seeds = [s for s in self.seeds if s != self.peer.address]
        return Settings(
            name=self.node,
            host=self.peer.host,
            port=self.peer.port,
            data_centre=self.zone,
            region=self.region,
            object_service=self.store,
            host_list=self.store,
            peers=tuple(
                Peer(name=f"seed-{i}", address=seed, data_centre=self.zone)
                for i, seed in enumerate(seeds)
            ),
        )


def path() -> str:
    """Returns the path of the settings file."""
    return os.environ.get(PATH_VARIABLE, "/etc/cactusdyke/settings.yaml")


def metrics_port() -> Result[int, Failure]:
    """Returns where metrics are served, as the deploy file says; 0 if not."""
    text = os.environ.get(METRICS_VARIABLE, "0")
    if text.isdecimal() and int(text) <= MOST_PORT:
        return Ok(int(text))
    return Err(
        _bad(f"{METRICS_VARIABLE} is {text!r}; give a port, 1 to {MOST_PORT}")
    )


def load(file_path: str) -> Result[PlatformSettings, Failure]:
    """Reads and checks the settings file."""
    try:
        text = pathlib.Path(file_path).read_text(encoding="utf-8")
        value = yaml.load(text, Loader=_LOADER)
        return Ok(_decode(value))
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
        return Err(_bad(f"{file_path} can't be read: {error}"))
    except DECODING_ERRORS as error:
        return Err(
            _bad(f"{file_path} lacks a value or has one wrong: {error!r}")
        )


_LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


def _decode(value: dict[str, Any]) -> PlatformSettings:
    listen = value["listen"]
    bounds = value.get("bounds") or {}
    limits = value.get("limits") or {}
    front = _endpoint(listen["front"])
    peer = listen.get("control")
    ports = value.get("port_range") or [0]
    return PlatformSettings(
        node=str(value["node"]),
        zone=str(value["zone"]),
        region=str(value.get("region") or "default"),
        front=front,
        ready=_endpoint(listen["ready"]),
        directory=_endpoint(listen["directory"]),
        peer=(
            _endpoint(peer)
            if peer
            else Endpoint(host=front.host, port=int(ports[0]))
        ),
        seeds=tuple(str(seed) for seed in value.get("seed_addrs") or ()),
        store=str(value["platform"]["address"]),
        grace_ms=float(bounds.get("grace_s", 8)) * 1000.0,
        address_ttl_ms=float(bounds.get("ttl_max_s", 5)) * 1000.0,
        retries=RetryAllowance(
            ratio=float(bounds.get("retry_budget_ratio", 0.1)),
            slack=float(bounds.get("retry_budget_slack", 10)),
            window_ms=float(bounds.get("budget_window_s", 10)) * 1000.0,
        ),
        memory_mb=_memory_mb(limits.get("memory_mb")),
        max_fds=_max_fds(limits.get("max_fds")),
        cores=float(limits.get("cpu_share", 1))
        * float(limits.get("cpu_cores", 1)),
        link_mbps=float(limits.get("link_mbps", 1_000)),
        cold_requests=ColdAllowance(
            overshoot=float(bounds.get("cold_overshoot", 1)),
            slack=float(bounds.get("cold_slack", 0)),
        ),
        follows_evacuations="evacuate_ms" in bounds,
        state_timings=StateTimings(
            apply_ms=float(bounds.get("config_apply_ms", STRICTEST_APPLY_MS))
        ),
    )


def _memory_mb(value: Any) -> float | None:
    if value is None:
        return None
    memory_mb = float(value)
    if not 0 < memory_mb < math.inf:
        raise ValueError(f"memory_mb is {value!r}")
    return memory_mb


def _max_fds(value: Any) -> int | None:
    if value is None:
        return None
    max_fds = int(value)
    if max_fds <= 0:
        raise ValueError(f"max_fds is {value!r}")
    return max_fds


def _endpoint(value: str) -> Endpoint:
    host, _, port = value.rpartition(":")
    return Endpoint(host=host, port=int(port))


def _bad(detail: str) -> Failure:
    return Failure(kind=FailureKind.INVALID, detail=detail)
