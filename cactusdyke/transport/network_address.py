"""Addresses of hosts and ports, parsed once where they are received."""

from __future__ import annotations

import ipaddress
import re
from typing import Self

import attrs

MAX_PORT = 65_535
MAX_HOST_CHARACTERS = 253
_HOST_NAME = re.compile(
    r"[A-Za-z0-9_]([A-Za-z0-9_-]{0,61}[A-Za-z0-9_])?"
    r"(\.[A-Za-z0-9_]([A-Za-z0-9_-]{0,61}[A-Za-z0-9_])?)*"
)
_PORT = re.compile(r"[0-9]{1,5}")


@attrs.frozen(kw_only=True)
class NetworkAddress:
    """A host and a port that a connection can be made to.

    Attributes:
        host: An IP address without brackets, or a host name.
        port: 1 to 65,535.
    """

    host: str
    port: int

    @classmethod
    def parse(cls, text: object) -> Self:
        """Parses `host:port`, with an IPv6 address in brackets.

        Raises:
            ValueError: No connection can be made to it.
        """
        if not isinstance(text, str):
            raise ValueError(f"no address: {text!r:.60}")
        host, _, port = text.rpartition(":")
        if not _PORT.fullmatch(port) or not 0 < int(port) <= MAX_PORT:
            raise ValueError(f"no port from 1 to {MAX_PORT}: {text!r:.60}")
        if host.startswith("[") and host.endswith("]"):
            host = str(ipaddress.IPv6Address(host[1:-1]))
        elif len(host) > MAX_HOST_CHARACTERS or not _HOST_NAME.fullmatch(host):
            raise ValueError(f"no host: {text!r:.60}")
        return cls(host=host, port=int(port))

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"
