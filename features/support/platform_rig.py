"""One platform on loopback: its store, replicas, and daemons of ours."""

from __future__ import annotations

import contextlib
import json
import os
import pathlib
import random
import resource
import signal
import subprocess
import sys
import tempfile

import anyio
import yaml

from cactusdyke.clock import EventLoopClock, SystemClock
from cactusdyke.observe.log_sink import LogSink
from cactusdyke.platform import settings as platform_settings
from cactusdyke.platform.program import Daemon
from cactusdyke.transport.asgi import AsgiAdapter
from cactusdyke.transport.exchange import ExchangeError, connect
from cactusdyke.transport.http_network import HttpNetwork
from cactusdyke.transport.messages import Request
from cactusdyke.transport.network import CallOptions
from cactusdyke.transport.server import HttpServer
from standins.fleet import free_port
from standins.platform_store import PlatformStore
from standins.replica import HEALTH_PATH, PlatformReplica

KEY = "key-of-council"
HOST = "signals.example"


def route(name, service, **changes):
    fields = {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": "idempotent",
        "timeout_ms": 3_000,
        "target_latency_ms": 500,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "public": False,
        "sticky": False,
        "resumable": False,
        "target_gap_ms": 300,
    }
    return {**fields, **changes}


def replica_entry(address, **changes):
    """Returns an entry of the list of replicas."""
    return {
        "service": "plain",
        "address": address,
        "zone": "here",
        "version": "v1",
        "capacity": 6,
        "state": "ready",
        "cold_left_ms": 0,
        "seq": 1,
        **changes,
    }


def configuration(routes, version=1, **changes):
    services = [
        {"name": "plain", "health_path": HEALTH_PATH, "max_conns": 64},
        {
            "name": "engine",
            "health_path": HEALTH_PATH,
            "max_conns": 64,
            "engine": {"capacity": 8, "kv_capacity_tokens": 100_000},
        },
        {
            "name": "stage",
            "health_path": HEALTH_PATH,
            "max_conns": 64,
            "pieces": {
                "capacity": 1,
                "queue": 2,
                "batch": 4,
                "call_ms": 20,
                "item_ms": 2,
                "headroom_mb": 10,
                "handle_s": 2,
            },
        },
    ]
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 4_096,
            "max_body_bytes": 100_000,
            "header_timeout_ms": 300,
            "idle_timeout_ms": 5_000,
        },
        "tenants": [{"name": "council", "api_keys": [KEY], "priority": 1}],
        **changes,
    }


class DaemonProcess:
    """A daemon that runs as a process of its own.

    Attributes:
        settings_path: The file that it reads.
        code: Its exit status, once it has ended.
        log: What it wrote, once it has ended.
    """

    def __init__(self, *, settings_path, most_descriptors=None, metrics_port=0):
        self.settings_path = settings_path
        self.code = None
        self.log = ""
        self._process = subprocess.Popen(
            [sys.executable, "-m", "cactusdyke.platform"],
            env={
                **os.environ,
                "CACTUSDYKE_CONFIG": str(settings_path),
                platform_settings.METRICS_VARIABLE: str(metrics_port),
            },
            stdout=subprocess.PIPE,
        )
        if most_descriptors:
            limits = (most_descriptors, most_descriptors)
            resource.prlimit(self._process.pid, resource.RLIMIT_NOFILE, limits)

    def __enter__(self):
        return self

    def __exit__(self, *error):
        if self.code is None:
            self._process.kill()
            self._process.wait()
            self._process.stdout.close()

    @property
    def pid(self):
        return self._process.pid

    def signal(self, number):
        self._process.send_signal(number)

    def ignores(self, number):
        """Returns whether the process ignores a signal at present."""
        status = pathlib.Path(f"/proc/{self._process.pid}/status").read_text()
        mask = next(
            line.split()[1]
            for line in status.splitlines()
            if line.startswith("SigIgn")
        )
        return bool(int(mask, 16) >> (number - 1) & 1)

    async def end(self):
        """Waits until the process has ended by itself."""
        output, _ = await anyio.to_thread.run_sync(self._process.communicate)
        self.log = output.decode()
        self.code = self._process.returncode

    async def stop(self):
        """Asks the daemon to stop; returns once it has ended."""
        self.signal(signal.SIGTERM)
        await self.end()

    def logged(self, code):
        """Returns the log lines of an event, once the process has ended."""
        lines = [json.loads(line) for line in self.log.splitlines()]
        return [line for line in lines if line["event"].startswith(code)]


class PlatformWorld:
    """Starts what a story needs and ends it."""

    def __init__(self):
        self.store = PlatformStore(clock=SystemClock())
        self.replicas = {}
        self.daemons = {}
        self.settings = {}
        self.grace_s = 3
        self.further_bounds = {}
        self.host_limits = {}
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self):
        self.network = await self._stack.enter_async_context(HttpNetwork())
        self.tasks = await self._stack.enter_async_context(
            anyio.create_task_group()
        )
        # Not before what is entered later has ended: each of these would be
        # cancelled as it ends, and an error of the story lost among them.
        self._stack.callback(self.tasks.cancel_scope.cancel)
        self.folder = self._stack.enter_context(tempfile.TemporaryDirectory())
        port = free_port()
        self.store_address = f"127.0.0.1:{port}"
        server = HttpServer(
            host="127.0.0.1",
            port=port,
            adapter=AsgiAdapter(
                handler=self.store.routes.handle, clock=SystemClock()
            ),
        )
        self.tasks.start_soon(server.serve)
        return self

    async def __aexit__(self, *error):
        return await self._stack.__aexit__(*error)

    async def add_replica(self, name, service="plain"):
        replica = PlatformReplica(name=name)
        replica.on_start = lambda before: self._replace_listed(
            replica, before, service
        )
        await self._stack.enter_async_context(replica)
        self.replicas[name] = replica
        self.list_replica(name, service)
        return replica

    def _replace_listed(self, replica, before, service):
        self.store.remove("servers", before)
        del self.replicas[before]
        self.replicas[replica.name] = replica
        self.list_replica(replica.name, service)

    def list_replica(self, name, service="plain", **changes):
        fields = {"address": self.replicas[name].address, "service": service}
        entry = replica_entry(**{**fields, **changes})
        self.store.put("servers", name, entry)

    def configure(self, routes, **changes):
        self.store.put("config", "main", configuration(routes, **changes))

    def settings_text(self, name, seeds=()):
        ports = [free_port() for _ in range(4)]
        listen = dict(
            zip(
                ("front", "ready", "control", "directory"),
                (f"127.0.0.1:{port}" for port in ports),
                strict=True,
            )
        )
        return yaml.safe_dump(
            {
                "node": name,
                "zone": "here",
                "region": "region",
                "listen": listen,
                "port_range": [ports[0], ports[0]],
                "seed_addrs": list(seeds),
                "limits": self.host_limits,
                "bounds": {
                    "grace_s": self.grace_s,
                    "retry_budget_slack": 50,
                    # So short that a daemon has its share of the slack at once.
                    "budget_window_s": 1e-6,
                    **self.further_bounds,
                },
                "platform": {"address": self.store_address},
            }
        )

    async def start_daemon(self, name, seeds=(), *, ready=True, metrics_port=0):
        path = self._write_settings(name, seeds)
        settings = self.settings[name]
        clock = SystemClock()
        daemon = Daemon(
            settings=settings,
            settings_path=str(path),
            clock=clock,
            rng=random.Random(name),
            network=self.network,
            sink=LogSink(
                clock=EventLoopClock(),
                daemon=name,
                descriptor=self._open_log(name),
            ),
            metrics_port=metrics_port,
        )
        self.daemons[name] = daemon
        self.tasks.start_soon(daemon.run)
        if ready:
            await until(lambda: daemon.ready)
        await self.listens(settings.front.address)
        return daemon

    async def start_processes(self, *names):
        """Starts daemons as processes together; returns them once ready."""
        processes = {}

        async def start(name):
            processes[name] = await self.start_process(name)

        async with anyio.create_task_group() as tasks:
            for name in names:
                tasks.start_soon(start, name)
        return [processes[name] for name in names]

    async def start_group(self, *names):
        """Starts daemons as processes that know each other."""
        processes = []
        seeds = []
        for name in names:
            processes.append(await self.start_process(name, seeds=seeds))
            seeds.append(self.settings[name].peer.address)
        for name in names:
            await self._knows(name, len(names))
        return processes

    async def _knows(self, name, count):
        """Returns once a daemon knows so many daemons for callers."""
        with anyio.fail_after(10):
            while True:
                _, told = await self.ask(
                    self.settings[name].directory.address, "/-/resolve"
                )
                if len(told.get("addresses", ())) == count:
                    return
                await anyio.sleep(0.05)

    async def start_process(self, name, seeds=(), **limits):
        """Starts a daemon as a process, and waits until it is ready."""
        path = self._write_settings(name, seeds)
        process = DaemonProcess(settings_path=path, **limits)
        self._stack.enter_context(process)
        settings = self.settings[name]
        await self.listens(settings.front.address)
        for _ in range(100):
            if (await self.ask(settings.ready.address, "/-/ready"))[0] == 200:
                return process
            await anyio.sleep(0.05)
        raise AssertionError(f"{name} did not become ready")

    def start_copy(self, name):
        """Starts a second process with the settings of one that runs."""
        path = pathlib.Path(self.folder) / f"{name}.yaml"
        return self._stack.enter_context(DaemonProcess(settings_path=path))

    async def metric(self, daemon, name):
        """Returns a metric of a daemon that has no labels, None if unknown."""
        request = Request(method="GET", path="/metrics")
        answer = await self.network.fetch(
            self.settings[daemon].peer.address, request, CallOptions()
        )
        lines = answer.unwrap().body.decode().splitlines()
        values = [
            float(line.split()[1])
            for line in lines
            if line.startswith(f"{name} ")
        ]
        return values[0] if values else None

    def _write_settings(self, name, seeds):
        path = pathlib.Path(self.folder) / f"{name}.yaml"
        path.write_text(self.settings_text(name, seeds), encoding="utf-8")
        self.settings[name] = platform_settings.load(str(path)).unwrap()
        return path

    def _open_log(self, name):
        file = (pathlib.Path(self.folder) / f"{name}.log").open("wb")
        return self._stack.enter_context(file).fileno()

    async def listens(self, address):
        host, _, port = address.rpartition(":")
        for _ in range(400):
            try:
                async with await anyio.connect_tcp(host, int(port)):
                    return
            except OSError:
                await anyio.sleep(0.01)
        raise AssertionError(f"nobody listens at {address}")

    async def request(self, path, *, daemon="d1", request_id="r-1", **changes):
        """Sends a request; returns status, headers and body."""
        settings = self.settings[daemon]
        headers = {
            "Host": HOST,
            "X-Attempt-Id": request_id,
            "X-Deadline-Ms": "2000",
            "Authorization": f"Bearer {KEY}",
            **changes.pop("headers", {}),
        }
        body = changes.pop("body", b"")
        method = changes.pop("method", "POST")
        if method == "POST":
            headers["Content-Length"] = str(len(body))
        async with connect(
            settings.front.address, clock=SystemClock()
        ) as exchange:
            await exchange.send(
                method,
                path,
                [(k.encode(), v.encode()) for k, v in headers.items()],
                body,
            )
            head = await exchange.head()
            got = {k.decode(): v.decode() for k, v in head.headers}
            try:
                data = await exchange.whole_body(most=1 << 20)
            except ExchangeError:
                data = None
            return head.status, got, data

    async def raw(self, data, *, daemon="d1", wait_s=2.0):
        """Sends bytes; returns what comes back until the connection ends."""
        settings = self.settings[daemon]
        stream = await anyio.connect_tcp(
            settings.front.host, settings.front.port
        )
        got = b""
        async with stream:
            await stream.send(data)
            with anyio.move_on_after(wait_s):
                with contextlib.suppress(
                    anyio.EndOfStream, anyio.BrokenResourceError
                ):
                    while True:
                        got += await stream.receive()
        return got

    async def ask(self, address, path, query=None):
        """Gets a path of a small interface; returns status and JSON."""
        request = Request(method="GET", path=path, query=query or {})
        answer = await self.network.fetch(address, request, CallOptions())
        response = answer.unwrap()
        return response.status, json.loads(response.body or b"{}")


async def until(condition, seconds=5.0):
    with anyio.move_on_after(seconds):
        while not condition():
            await anyio.sleep(0.01)
    assert condition(), "it did not come to be"
