"""A daemon that only makes connections for others, also as a process."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import anyio

from cactusdyke.transport.direct_server import DirectServer
from cactusdyke.transport.messages import Request, Response
from cactusdyke.transport.tunnel import TunnelGate

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_BODY_BYTES = 100


class OpenGate(TunnelGate):
    """Admits a tunnel to any address."""

    @contextlib.contextmanager
    def admit(self, address: str) -> Iterator[None]:
        """Counts nothing."""
        del address
        yield

    async def reaches_others(self, address: str) -> bool:
        """Returns that a failure is the backend server's."""
        del address
        return True

    def record_connected(self, address: str) -> None:
        """Records nothing."""
        del address


async def _handle(request: Request) -> Response:
    del request
    return Response()


def open_relay() -> DirectServer:
    """Returns a relay that listens on a free port."""
    return DirectServer(
        host="127.0.0.1",
        port=0,
        handler=_handle,
        max_body_bytes=MAX_BODY_BYTES,
        tunnels=OpenGate(),
    )


async def _main() -> None:
    relay = open_relay()
    print(relay.port, flush=True)
    await relay.serve()


if __name__ == "__main__":
    anyio.run(_main)
