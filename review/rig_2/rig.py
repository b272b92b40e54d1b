"""A small deployment: the daemons as processes, the rest as stand-ins."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import secrets
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from typing import TYPE_CHECKING, Any, Self

from rig_2 import http11
from rig_2.replica import Arrival, Replica
from rig_2.store import Store

if TYPE_CHECKING:
    from types import TracebackType

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "pule25.example"
KEY = "9dnn2ctnfzs989anu6ws"
TENANT = "bozi300"
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "outer_ms": 5000,
    "revoke_strict": False,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "retry_budget_slack": 52,
    "recovery_s": 12,
    "pass_ms": 120,
    "reuse_window_s": 10,
    "ttl_max_s": 5,
}
"""Those of the Derwent Valley sheet in SYSTEM.md."""
CONTRACTS = (
    "base drain config cost retry recover engine stream tenants platform stages"
)
TIMEOUT_MS = 4000
PIECES = {
    "capacity": 1,
    "queue": 2,
    "batch": 5,
    "call_ms": 150.0,
    "item_ms": 25.6,
    "headroom_mb": 28.75,
    "handle_s": 4.0,
    "link_mbps": 10000,
}
"""Of `depot-roster` on the same sheet."""
KEPT_VARIABLES = ("PATH", "HOME", "LANG")


class Daemon:
    """One process of the deploy file, on a loopback address of its own."""

    def __init__(self, *, name: str, ip: str, zone: str, folder: str) -> None:
        self.name = name
        self.ip = ip
        self.zone = zone
        self._settings_path = pathlib.Path(folder) / f"{name}.yaml"
        self._log_path = pathlib.Path(folder) / f"{name}.log"
        self._process: asyncio.subprocess.Process | None = None
        self.ports: dict[str, int] = {}

    def address(self, listener: str) -> str:
        """Returns where it listens for callers of a kind."""
        return f"{self.ip}:{self.ports[listener]}"

    @property
    def pid(self) -> int:
        """The id of its process."""
        assert self._process is not None
        return self._process.pid

    @property
    def running(self) -> bool:
        """Whether its process runs."""
        return self._process is not None and self._process.returncode is None

    @property
    def log(self) -> str:
        """What its processes wrote."""
        return self._log_path.read_text(encoding="utf-8", errors="replace")

    def write_settings(self, settings: dict[str, Any]) -> None:
        """Writes its settings file; JSON is YAML too."""
        self._settings_path.write_text(json.dumps(settings), encoding="utf-8")

    async def start(self) -> None:
        """Starts it with the command of the deploy file."""
        deploy = tomllib.loads(
            (ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
        )
        role = deploy["roles"]["entry"]
        variables = {
            name: os.environ[name]
            for name in KEPT_VARIABLES
            if name in os.environ
        }
        variables |= role["env"]
        variables["CACTUSDYKE_CONFIG"] = str(self._settings_path)
        variables["PYTHONPATH"] = "target/deps"
        with self._log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *role["run"].split(),
                cwd=ROOT,
                env=variables,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: int) -> None:
        """Sends its process a signal, if it runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def wait(self) -> None:
        """Returns once its process has ended."""
        if self._process is not None:
            await self._process.wait()

    async def kill(self) -> None:
        """Kills its process."""
        self.signal(signal.SIGKILL)
        await self.wait()

    async def is_ready(self) -> bool:
        """Asks it as the platform does once a second."""
        asked = b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n"
        answer = await http11.call(self.address("ready"), asked, timeout_s=1)
        return answer.status == 200


class Rig:
    """The store, the replicas and the daemons of one run, and its record."""

    def __init__(self, *, folder: pathlib.Path, daemons: int = 3) -> None:
        self._folder = tempfile.mkdtemp(prefix="review-")
        self._record = (folder / "record.txt").open("w", encoding="utf-8")
        self._began = time.monotonic()
        self._ids = itertools.count(1)
        self._run_id = secrets.token_hex(3)
        self.store = Store()
        self.bounds = dict(BOUNDS)
        self.replicas: list[Replica] = []
        zones = ("new-norfolk", "glenorchy", "bridgewater")
        self.daemons = [
            Daemon(
                name=f"front-{zones[n % 3]}-{n // 3 + 1}",
                ip=f"127.0.0.{11 + n}",
                zone=zones[n % 3],
                folder=self._folder,
            )
            for n in range(daemons)
        ]
        self.answers: list[tuple[float, str, http11.Answer]] = []

    async def __aenter__(self) -> Self:
        await self.store.start()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for daemon in self.daemons:
            await daemon.kill()
        for replica in self.replicas:
            replica.crash()
        self.store.stop()
        self._record.close()
        shutil.rmtree(self._folder, ignore_errors=True)

    @property
    def now_s(self) -> float:
        """Seconds since the run began."""
        return time.monotonic() - self._began

    def seconds(self, at: float) -> float:
        """Returns an instant in seconds since the run began."""
        return at - self._began

    def note(self, text: str) -> None:
        """Writes a line to the record."""
        self._record.write(f"{self.now_s:9.3f} s  {text}\n")
        self._record.flush()

    def configure(
        self,
        routes: list[dict[str, Any]],
        services: list[dict[str, Any]],
        *,
        version: int = 7,
    ) -> float:
        """Writes the operator's configuration."""
        return self.store.put(
            "config",
            "main",
            {
                "version": version,
                "routes": routes,
                "services": services,
                "limits": {
                    "max_header_bytes": 16384,
                    "max_body_bytes": 4194304,
                    "header_timeout_ms": 3000,
                    "idle_timeout_ms": 15000,
                },
                "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
            },
        )

    async def add_replica(
        self, service: str, *, slots: int = 6, name: str = ""
    ) -> Replica:
        """Starts a replica in the next zone."""
        zone = self.daemons[len(self.replicas) % len(self.daemons)].zone
        replica = Replica(
            store=self.store,
            service=service,
            zone=zone,
            slots=slots,
            name=name,
        )
        await replica.start()
        self.replicas.append(replica)
        return replica

    async def start_daemons(self, *, bootstrap: bool = True) -> None:
        """Writes the settings and starts every daemon."""
        front, ready, control, directory, first = _free_ports(
            [daemon.ip for daemon in self.daemons], 5
        )
        for daemon in self.daemons:
            daemon.ports = daemon.ports or {
                "front": front,
                "ready": ready,
                "control": control,
                "directory": directory,
                "range": first,
            }
        for daemon in self.daemons:
            daemon.write_settings(self._settings(daemon, bootstrap=bootstrap))
            await daemon.start()

    def _settings(self, daemon: Daemon, *, bootstrap: bool) -> dict[str, Any]:
        listeners = ("front", "ready", "control", "directory")
        seeds = [d.address("control") for d in self.daemons[:3]]
        return {
            "node": daemon.name,
            "role": "entry",
            "machine_class": "front",
            "serves": ["front", "control", "directory"],
            "ip": daemon.ip,
            "zone": daemon.zone,
            "region": "tas-south",
            "zones": {d.zone: "tas-south" for d in self.daemons},
            "listen": {name: daemon.address(name) for name in listeners},
            "port_range": [daemon.ports["range"], daemon.ports["range"]],
            "seed_addrs": seeds,
            "bootstrap": bootstrap,
            "failure_counted": False,
            "limits": {
                "cpu_share": 0.537,
                "cpu_cores": 2,
                "memory_mb": 300,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_dir": None,
            "discovery_source": "platform",
            "entry_mode": "directory",
            "heartbeat_ms": 1200,
            "contracts": CONTRACTS.split(),
            "tolerate": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": self.bounds,
            "platform": {
                "address": self.store.address,
                "form": "objects",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
                "min_ttl_ms": 1000,
            },
        }

    async def wait_ready(self, *, most_s: float) -> list[bool]:
        """Waits until all daemons are ready; returns which are."""
        until = time.monotonic() + most_s
        while True:
            ready = [await daemon.is_ready() for daemon in self.daemons]
            if all(ready) or time.monotonic() >= until:
                return ready
            await asyncio.sleep(0.1)

    async def request(
        self,
        daemon: Daemon,
        target: str,
        *,
        method: str = "GET",
        body: bytes = b"",
        deadline_ms: int = 4000,
        headers: dict[str, str] | None = None,
    ) -> http11.Answer:
        """Sends a client's request, and notes its answer."""
        request_id = f"{self._run_id}{next(self._ids):08x}"
        lines = [
            f"{method} {target} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Attempt-Id: {request_id}",
            f"X-Deadline-Ms: {deadline_ms}",
            f"Authorization: Bearer {KEY}",
        ]
        lines += [f"{n}: {v}" for n, v in (headers or {}).items()]
        if method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        data = "\r\n".join([*lines, "", ""]).encode() + body
        sent_at = time.monotonic()
        answer = await http11.call(
            daemon.address("front"), data, timeout_s=deadline_ms / 1000
        )
        self.answers.append((sent_at, request_id, answer))
        self.note(
            f"request {request_id} {method} {target} to {daemon.name}, sent at"
            f" {self.seconds(sent_at):.3f} s: {answer.status}"
            f"{'' if answer.complete else ' not complete'} {answer.detail}"
        )
        return answer

    def arrivals(self) -> list[Arrival]:
        """Returns what reached any replica, in order."""
        found = [a for replica in self.replicas for a in replica.arrivals]
        return sorted(found, key=lambda arrival: arrival.at)

    def note_arrivals(self) -> None:
        """Writes what reached the replicas to the record."""
        for arrival in self.arrivals():
            self.note(
                f"request {arrival.request_id} reached {arrival.replica} at"
                f" {self.seconds(arrival.at):.3f} s,"
                f" {'ran' if arrival.ran else 'was rejected'}:"
                f" {arrival.ended}"
            )


def route(
    name: str,
    prefix: str,
    service: str,
    kind: str,
    *,
    timeout_ms: int = TIMEOUT_MS,
    target_ms: int = 400,
    **more: Any,
) -> dict[str, Any]:
    """Returns a route of the configuration."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": target_ms,
        "priority": 1,
        "service": service,
        "max_attempts": 1,
        "stages": [],
        "public": False,
        "sticky": False,
        "resumable": False,
        **more,
    }


def service(name: str, **more: Any) -> dict[str, Any]:
    """Returns a service of the configuration."""
    return {
        "name": name,
        "health_path": "/healthz",
        "max_conns": 360,
        "protocol": "h1",
        "tls": False,
        **more,
    }


def troubled() -> bool:
    """Returns whether the disruption is to happen."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(case: Any, folder: pathlib.Path) -> None:
    """Runs a case, and exits with 1 if the rule was broken, 0 if it held."""
    status = 2
    with contextlib.suppress(KeyboardInterrupt):
        try:
            status = asyncio.run(_run(case, folder))
        except Exception as error:
            print(f"the case could not run: {error!r}", file=sys.stderr)
    sys.exit(status)


async def _run(case: Any, folder: pathlib.Path) -> int:
    async with asyncio.timeout(115):
        broken: int = await case(folder)
    return broken


def _free_ports(hosts: list[str], count: int) -> list[int]:
    """Returns ports that are free on all of some addresses."""
    found: list[int] = []
    while len(found) < count:
        with contextlib.ExitStack() as stack:
            port = 0
            try:
                for host in hosts:
                    probe = stack.enter_context(socket.socket())
                    probe.bind((host, port))
                    port = probe.getsockname()[1]
            except OSError:
                continue
            if port not in found:
                found.append(port)
    return found
