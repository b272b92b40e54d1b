"""What each listener of a daemon may take of its host."""

from __future__ import annotations

import enum
import resource
import sys

import attrs

from cactusdyke.transport.memory_budget import available_bytes

FILE_DESCRIPTORS = 200
"""Kept for files; sockets share the others."""
MOST_CONNECTIONS = 1_000
"""Of a listener that nothing else is said of."""
RECEIVE_BUFFER_BYTES = 32_768
"""What the kernel keeps of a connection that is not read. A caller 100 ms away
sends 300 kB a second with it."""
SMALL_BUFFER_BYTES = 8_192
"""Where requests have no bodies."""


@attrs.frozen(kw_only=True)
class Share:
    """A listener's share.

    Attributes:
        descriptors: Of those that sockets share; what is left is for
            connections to replicas, other daemons and the store.
        memory: Of what the process leaves, for what the kernel has received.
        buffer_bytes: What the kernel keeps of a connection.
    """

    descriptors: float
    memory: float
    buffer_bytes: int


class Listener(enum.Enum):
    """The listeners of a daemon; the values are labels of metrics."""

    FRONT = "front"
    DIRECTORY = "directory"
    READINESS = "readiness"
    METRICS = "metrics"
    DAEMONS = "daemons"


SHARES = {
    Listener.FRONT: Share(
        descriptors=0.4, memory=0.25, buffer_bytes=RECEIVE_BUFFER_BYTES
    ),
    Listener.DAEMONS: Share(
        descriptors=0.15, memory=0.12, buffer_bytes=RECEIVE_BUFFER_BYTES
    ),
    Listener.DIRECTORY: Share(
        descriptors=0.05, memory=0.02, buffer_bytes=SMALL_BUFFER_BYTES
    ),
    Listener.READINESS: Share(
        descriptors=0.02, memory=0.005, buffer_bytes=SMALL_BUFFER_BYTES
    ),
    Listener.METRICS: Share(
        descriptors=0.02, memory=0.005, buffer_bytes=SMALL_BUFFER_BYTES
    ),
}


def most_connections(
    listener: Listener, *, max_fds: int | None, memory_mb: float | None
) -> int:
    """Returns how many connections a listener may have.

    Args:
        listener: The listener.
        max_fds: The descriptors of the process; None for the limit that the
            kernel tells.
        memory_mb: The host's memory, None if the settings do not tell it.
    """
    if max_fds is None:
        max_fds, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if max_fds == resource.RLIM_INFINITY:
        max_fds = sys.maxsize
    share = SHARES[listener]
    files = min(FILE_DESCRIPTORS, max_fds // 2)
    by_descriptors = share.descriptors * (max_fds - files)
    by_memory = share.memory * available_bytes(memory_mb) / share.buffer_bytes
    return max(1, int(min(by_descriptors, by_memory)))
