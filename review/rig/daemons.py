"""Starts daemons of the project with the command of its deploy file."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import signal
import socket
import subprocess
import time
import tomllib
from typing import IO, Any

from review.rig import wire

ROOT = pathlib.Path(__file__).resolve().parents[2]
READY_S = 20.0
OK = 200
SEEDS = 3
LISTENERS = ("front", "ready", "control", "directory")


class Daemon:
    """One daemon, as a process on a loopback address of its own.

    Attributes:
        name: Its name.
        front: Host and port for callers.
    """

    def __init__(
        self,
        *,
        name: str,
        host: str,
        ports: dict[str, int],
        settings: pathlib.Path,
        log: IO[bytes],
    ) -> None:
        self.name = name
        self.front = (host, ports["front"])
        self._ready = (host, ports["ready"])
        self._settings = settings
        self._log = log
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """The process's id."""
        assert self._process is not None
        return self._process.pid

    @property
    def exit_code(self) -> int | None:
        """The exit code, None while the process runs."""
        assert self._process is not None
        return self._process.poll()

    def start(self) -> None:
        """Starts the process."""
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = role["roles"]["entry"]
        kept = ("PATH", "HOME", "LANG")
        self._process = subprocess.Popen(
            role["run"].split(),
            cwd=ROOT,
            env={
                **{n: os.environ[n] for n in kept if n in os.environ},
                **role.get("env", {}),
                "CACTUSDYKE_CONFIG": str(self._settings),
                "PYTHONPATH": str(ROOT / "target/deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
            },
            stdout=self._log,
            stderr=self._log,
        )

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process, if it still runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def end(self) -> None:
        """Ends the process."""
        if self._process is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            self._process.wait()

    async def wait_ready(self) -> None:
        """Returns once the daemon says that it is ready.

        Raises:
            TimeoutError: It does not in time.
        """
        until = time.monotonic() + READY_S
        while time.monotonic() < until:
            try:
                reader, writer = await asyncio.open_connection(*self._ready)
                writer.write(wire.encode("GET /-/ready HTTP/1.1", {}))
                told = await wire.read_message(reader)
                writer.close()
                if told is not None and told.status == OK:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.1)
        raise TimeoutError(f"{self.name} is not ready")


def free_ports(count: int) -> list[int]:
    """Returns ports that nothing listens on."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for each in sockets:
            each.bind(("127.0.0.1", 0))
        return [each.getsockname()[1] for each in sockets]
    finally:
        for each in sockets:
            each.close()


def make_daemons(
    hosts: list[tuple[str, str]], *, store: str, folder: pathlib.Path
) -> list[Daemon]:
    """Returns daemons with settings like those of a small deployment.

    Args:
        hosts: Zone and loopback address of each daemon.
        store: Address of the platform's store.
        folder: Where settings and logs are written.
    """
    ports = dict(zip(LISTENERS, free_ports(len(LISTENERS)), strict=True))
    daemons = []
    for number, (zone, host) in enumerate(hosts, start=1):
        name = f"front-{zone}-{number}"
        path = folder / f"{name}.yaml"
        settings = _settings(name, (zone, host), hosts, ports, store)
        path.write_text(json.dumps(settings))
        daemons.append(
            Daemon(
                name=name,
                host=host,
                ports=ports,
                settings=path,
                log=(folder / f"{name}.log").open("wb"),
            )
        )
    return daemons


def _settings(
    name: str,
    place: tuple[str, str],
    hosts: list[tuple[str, str]],
    ports: dict[str, int],
    store: str,
) -> dict[str, Any]:
    """Returns the fields that DEPLOY.md shows, in JSON, which is YAML too."""
    zone, host = place
    return {
        "node": name,
        "role": "entry",
        "machine_class": "front",
        "serves": ["front", "control", "directory"],
        "ip": host,
        "zone": zone,
        "region": "tas-south",
        "zones": {each: "tas-south" for each, _ in hosts},
        "listen": {n: f"{host}:{ports[n]}" for n in LISTENERS},
        "port_range": [ports["control"], ports["control"]],
        "seed_addrs": [
            f"{each}:{ports['control']}" for _, each in hosts[:SEEDS]
        ],
        "bootstrap": True,
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
        "contracts": [
            "base",
            "drain",
            "config",
            "cost",
            "retry",
            "recover",
            "engine",
            "stream",
            "tenants",
            "platform",
            "stages",
        ],
        "tolerate": {"machines": 1, "zones": 0, "regions": 0},
        "bounds": {
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
            "retry_budget_ratio": 0.2,
            "budget_window_s": 10,
            "retry_budget_slack": 52,
            "recovery_s": 12,
            "pass_ms": 120,
            "reuse_window_s": 10,
            "ttl_max_s": 5,
        },
        "platform": {
            "address": store,
            "form": "objects",
            "writes_per_s": 400,
            "reads_per_s": 2000,
            "history_s": 20,
            "value_bytes": 1048576,
            "min_ttl_ms": 1000,
        },
    }
