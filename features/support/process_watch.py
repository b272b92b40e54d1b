"""Watches what a process takes from its host: memory and descriptors."""

from __future__ import annotations

import os
import pathlib

import anyio

SAMPLE_S = 0.05
KB = 1_024
LISTENING = "0A"


class ProcessWatch:
    """The most that a process has had of its host, as sampled.

    Attributes:
        memory_bytes: Resident memory together with the bytes that its ports
            have received and the process has not read.
        unread_bytes: The latter alone.
        descriptors: Descriptors that it has open.
        sockets: Those of them that are sockets.
    """

    def __init__(self, *, pid, ports):
        self._pid = pid
        self._ports = {f"{port:04X}" for port in ports}
        self.memory_bytes = 0
        self.unread_bytes = 0
        self.descriptors = 0
        self.sockets = 0

    async def run(self):
        """Samples until it is cancelled or the process has ended."""
        while self.sample():
            await anyio.sleep(SAMPLE_S)

    def sample(self):
        """Looks once; returns whether the process lives."""
        proc = pathlib.Path(f"/proc/{self._pid}")
        try:
            status = (proc / "status").read_text()
            names = os.listdir(proc / "fd")
        except OSError:
            return False
        links = [_link(proc / "fd" / name) for name in names]
        unread = self._unread()
        self.memory_bytes = max(
            self.memory_bytes,
            _field(status, "VmHWM"),
            _field(status, "VmRSS") + unread,
        )
        self.unread_bytes = max(self.unread_bytes, unread)
        self.descriptors = max(self.descriptors, len(names))
        self.sockets = max(
            self.sockets, sum(link.startswith("socket:") for link in links)
        )
        return True

    def _unread(self):
        unread = 0
        for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
            _, local, _, state, queues, *_ = line.split()
            if local.rpartition(":")[2] in self._ports and state != LISTENING:
                unread += int(queues.partition(":")[2], 16)
        return unread


def _link(path):
    try:
        return os.readlink(path)
    except OSError:
        return ""


def _field(status, name):
    for line in status.splitlines():
        if line.startswith(f"{name}:"):
            return int(line.split()[1]) * KB
    return 0
