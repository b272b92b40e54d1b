"""Options of the TCP sockets that carry requests."""

from __future__ import annotations

import socket
import struct
from typing import TYPE_CHECKING

import anyio.abc

if TYPE_CHECKING:
    from anyio.abc import SocketStream

UNACKNOWLEDGED_MS = 3_500
"""Linux ends a connection after this time without an answer to keep-alive
probes too, whatever their number. Within it a host that was silent for a second
and a half has answered a probe, or a packet that was sent again."""
READER_UNACKNOWLEDGED_MS = 12_000
"""For callers. A caller that reads 1 kB a second leaves its window closed for
seconds; with 3.5 s Linux ended such connections after 4 s."""
MOST_UNSENT_IN_KERNEL = 16_384
"""For callers. Without a limit the kernel took 2.8 MB for a caller that read
nothing, which is counted in no budget."""
KEEP_ALIVE_IDLE_S = 1
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_PROBES = 3


AGAINST_SILENCE = (
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES),
)


def guard_against_silence(stream: SocketStream) -> None:
    """Makes the kernel end a connection that has gone silent.

    Something between the two ends forgets the connection and drops its
    packets: writes seem to succeed and nothing ever comes back. Unanswered
    bytes then end it after UNACKNOWLEDGED_MS, an idle one by its probes.
    """
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    guard_socket_against_silence(raw)


def guard_socket_against_silence(raw: socket.socket) -> None:
    """Does the same for a socket."""
    for level, option, value in AGAINST_SILENCE:
        raw.setsockopt(level, option, value)


def guard_reader_against_silence(stream: SocketStream) -> None:
    """Does the same for a caller, who may read slowly."""
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    guard_socket_against_silence(raw)
    raw.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, READER_UNACKNOWLEDGED_MS
    )
    raw.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, MOST_UNSENT_IN_KERNEL
    )


def set_reader_patience(stream: SocketStream, *, unlimited: bool) -> None:
    """Sets whether the kernel may end a caller's connection by itself.

    Linux counts TCP_USER_TIMEOUT from the first probe of a closed window, and
    did not start again as a caller read 6 kB every few seconds. While bytes are
    pending the daemon observes the caller itself.
    """
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    raw.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        0 if unlimited else READER_UNACKNOWLEDGED_MS,
    )


def reset_on_close(stream: SocketStream, *, enabled: bool = True) -> None:
    """Makes closing reset the connection, or end it in order again.

    An answer without a length ends with its connection. Where it is cut short
    an orderly close would make it look complete; a reset does not.
    """
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    reset_socket_on_close(raw, enabled=enabled)


def reset_socket_on_close(raw: socket.socket, *, enabled: bool = True) -> None:
    """Does the same for a socket."""
    linger = struct.pack("ii", int(enabled), 0)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
